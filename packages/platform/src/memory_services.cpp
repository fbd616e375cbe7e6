// Implements the platform's interfaces on an event loop, answered from memory.
#include <cranberrydock/platform/delayed_calls.hpp>
#include <cranberrydock/platform/memory_platform.hpp>

#include <utility>

namespace cranberrydock::platform {
namespace {

// Delays the effect and the answer of each call by the delays in the current faults.
class delayed_platform {
public:
    delayed_platform(net::event_loop& loop, std::shared_ptr<memory_platform> platform)
        : calls_(loop), platform_(std::move(platform)) {}

    // Passes the result of `operation` to `done`.
    template <typename Work, typename Done>
    void call(Work operation, Done done) {
        calls_.after(platform_->faults().apply_delay, [this, operation, done] {
            auto answer = operation(*platform_);
            calls_.after(platform_->faults().answer_delay,
                         [done, answer = std::move(answer)] { done(answer); });
        });
    }

private:
    delayed_calls calls_;
    std::shared_ptr<memory_platform> platform_;
};

class memory_table_service final : public table_service {
public:
    memory_table_service(net::event_loop& loop, std::shared_ptr<memory_platform> platform)
        : platform_(loop, std::move(platform)) {}

    void read(const row_key& key, read_callback done) override {
        platform_.call([key](memory_platform& it) { return it.read(key); }, std::move(done));
    }

    void scan(const row_key& prefix, const row_key& after, std::size_t limit,
              scan_callback done) override {
        platform_.call([=](memory_platform& it) { return it.scan(prefix, after, limit); },
                       std::move(done));
    }

    void commit(transaction changes, commit_callback done) override {
        platform_.call(
            [changes = std::move(changes)](memory_platform& it) { return it.commit(changes); },
            std::move(done));
    }

private:
    delayed_platform platform_;
};

class memory_object_store final : public object_store {
public:
    memory_object_store(net::event_loop& loop, std::shared_ptr<memory_platform> platform)
        : platform_(loop, std::move(platform)) {}

    void get(const object_name& name, get_callback done) override {
        platform_.call([name](memory_platform& it) { return it.get(name); }, std::move(done));
    }

    void put(const object_name& name, std::string content, put_callback done) override {
        platform_.call([name, content = std::move(content)](
                           memory_platform& it) { return it.put(name, content); },
                       std::move(done));
    }

private:
    delayed_platform platform_;
};

class memory_member_list final : public member_list {
public:
    memory_member_list(net::event_loop& loop, std::shared_ptr<memory_platform> platform)
        : platform_(loop, std::move(platform)) {}

    void read(members_callback done) override {
        platform_.call([](memory_platform& it) { return it.read_members(); }, std::move(done));
    }

private:
    delayed_platform platform_;
};

}  // namespace

std::unique_ptr<table_service> make_memory_table_service(
    net::event_loop& loop, std::shared_ptr<memory_platform> platform) {
    return std::make_unique<memory_table_service>(loop, std::move(platform));
}

std::unique_ptr<object_store> make_memory_object_store(net::event_loop& loop,
                                                       std::shared_ptr<memory_platform> platform) {
    return std::make_unique<memory_object_store>(loop, std::move(platform));
}

std::unique_ptr<member_list> make_memory_member_list(net::event_loop& loop,
                                                     std::shared_ptr<memory_platform> platform) {
    return std::make_unique<memory_member_list>(loop, std::move(platform));
}

}  // namespace cranberrydock::platform
