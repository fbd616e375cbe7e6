// Creates the clients of the platform's services for the daemon's loops.
#include "platform_services.hpp"

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/platform/http_platform.hpp>
#include <cranberrydock/platform/memory_platform.hpp>
#include <cranberrydock/platform/runner_vm_adapter.hpp>

#include <string>
#include <utility>
#include <vector>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds store_timeout{2'000};
constexpr std::size_t max_calls_per_runner = 60;

// The table service over HTTP, together with the HTTP client that it uses.
class http_table final : public platform::table_service {
public:
    http_table(net::event_loop& loop, const net::endpoint& address)
        : client_(net::make_http_client(loop, {})),
          inner_(platform::make_http_table_service(*client_, address, store_timeout)) {}

    void read(const platform::row_key& key, platform::read_callback done) override {
        inner_->read(key, std::move(done));
    }
    void scan(const platform::row_key& prefix, const platform::row_key& after, std::size_t limit,
              platform::scan_callback done) override {
        inner_->scan(prefix, after, limit, std::move(done));
    }
    void commit(platform::transaction what, platform::commit_callback done) override {
        inner_->commit(std::move(what), std::move(done));
    }

private:
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<platform::table_service> inner_;
};

// The member list over HTTP, together with the HTTP client that it uses.
class http_members final : public platform::member_list {
public:
    http_members(net::event_loop& loop, const net::endpoint& address)
        : client_(net::make_http_client(loop, {})),
          inner_(platform::make_http_member_list(*client_, address, store_timeout)) {}

    void read(platform::members_callback done) override { inner_->read(std::move(done)); }

private:
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<platform::member_list> inner_;
};

// Commands to worker VMs and runners over HTTP, together with the HTTP client that they use.
class http_upstreams final : public upstream_client {
public:
    explicit http_upstreams(net::event_loop& loop)
        : client_(net::make_http_client(loop, {})),
          workers_(platform::make_http_vm_client(*client_)),
          runners_(platform::make_http_runner_client(loop, *client_, max_calls_per_runner)),
          upstreams_(*workers_, *runners_, loop, clock_, {}) {}

    void set_members(const std::vector<platform::member>& members) override {
        upstreams_.set_members(members);
    }
    void send(const net::endpoint& vm, platform::vm_command command, base::milliseconds timeout,
              platform::vm_callback done) override {
        upstreams_.send(vm, std::move(command), timeout, std::move(done));
    }

private:
    base::monotonic_clock clock_;
    std::unique_ptr<net::http_client> client_;
    std::unique_ptr<platform::vm_client> workers_;
    std::unique_ptr<platform::runner_client> runners_;
    platform::runner_vm_adapter upstreams_;
};

class http_services final : public platform_services {
public:
    explicit http_services(net::endpoint address) : address_(std::move(address)) {}

    std::unique_ptr<upstream_client> make_upstream_client(net::event_loop& loop) override {
        return std::make_unique<http_upstreams>(loop);
    }
    std::unique_ptr<platform::table_service> make_table_service(net::event_loop& loop) override {
        return std::make_unique<http_table>(loop, address_);
    }
    std::unique_ptr<platform::member_list> make_member_list(net::event_loop& loop) override {
        return std::make_unique<http_members>(loop, address_);
    }

private:
    net::endpoint address_;
};

class memory_services final : public platform_services {
public:
    memory_services(const std::vector<net::endpoint>& workers,
                    const config::identity_settings& identity) {
        std::vector<platform::member> members;
        for (const auto& it : workers) {
            platform::member worker;
            worker.id = base::vm_id("worker-" + std::to_string(members.size() + 1));
            worker.address = it;
            worker.region = identity.region;
            worker.zone = identity.zone;
            members.push_back(std::move(worker));
        }
        platform_->set_members(std::move(members), base::milliseconds{0});
    }

    std::unique_ptr<upstream_client> make_upstream_client(net::event_loop& loop) override {
        return std::make_unique<http_upstreams>(loop);
    }
    std::unique_ptr<platform::table_service> make_table_service(net::event_loop& loop) override {
        return platform::make_memory_table_service(loop, platform_);
    }
    std::unique_ptr<platform::member_list> make_member_list(net::event_loop& loop) override {
        return platform::make_memory_member_list(loop, platform_);
    }

private:
    base::monotonic_clock clock_;
    std::shared_ptr<platform::memory_platform> platform_ =
        std::make_shared<platform::memory_platform>(clock_);
};

}  // namespace

std::unique_ptr<platform_services> make_platform_services(
    const config::platform_settings& settings, const config::identity_settings& identity) {
    if (settings.kind == config::platform_kind::memory) {
        return std::make_unique<memory_services>(settings.workers, identity);
    }
    return std::make_unique<http_services>(settings.address);
}

}  // namespace cranberrydock::daemon
