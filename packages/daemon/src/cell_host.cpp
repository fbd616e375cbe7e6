// Runs this daemon's cells on a thread of their own.
#include "cell_host.hpp"

#include <cranberrydock/base/clock.hpp>

#include "owned_cell.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <utility>

namespace cranberrydock::daemon {
namespace {

constexpr base::milliseconds tick_period{50};
constexpr base::milliseconds loads_period{500};
constexpr base::milliseconds client_retry_delay{200};

cell::cell_settings make_cell_settings(const config::daemon_settings& settings,
                                       const base::daemon_id& self, const cell_start& start) {
    cell::cell_settings out;
    out.cell = start.cell;
    out.epoch = start.epoch;
    out.owner = self;
    out.vm_lease = settings.vm.lease;
    out.watch_wait = settings.vm.watch;
    out.command_timeout = settings.vm.command_timeout;
    out.drift_percent = settings.vm.drift_percent;
    out.unproven_renewal = settings.vm.unproven_renewal;
    out.unknown_wait = settings.vm.unknown_wait;
    return out;
}

}  // namespace

// All functions except the constructor and loop() run on the host's own thread.
class cell_host::worker final : public owned_cell_listener {
public:
    worker(const config::daemon_settings& settings, base::daemon_id self,
           net::event_loop& daemon_loop, cell_io_factory& io, base::metrics& metrics,
           cell_host_listener& listener)
        : settings_(settings),
          self_(std::move(self)),
          daemon_loop_(daemon_loop),
          io_(io),
          metrics_(metrics),
          listener_(listener) {}

    net::event_loop& loop() { return loop_; }

    void run() {
        vms_ = io_.make_upstream_client(loop_);
        table_ = io_.make_table_service(loop_);
        const auto tick = loop_.every(tick_period, [this] { tick_cells(); });
        const auto loads = loop_.every(loads_period, [this] { publish_loads(); });
        loop_.run();
        cells_.clear();
        table_.reset();
        vms_.reset();
    }

    void add_cell(const cell_start& start) {
        cells_[start.cell] =
            std::make_unique<owned_cell>(start, make_cell_settings(settings_, self_, start), loop_,
                                         *vms_, *table_, clock_, metrics_, *this);
    }

    void remove_cell(const base::cell_id& id) { cells_.erase(id); }

    // Returns false when this host has no such cell.
    bool handle(const base::cell_id& id, const cell::cell_event& event) {
        const auto it = cells_.find(id);
        if (it == cells_.end()) {
            return false;
        }
        it->second->handle(event);
        return true;
    }

    void set_members(const std::vector<platform::member>& members) { vms_->set_members(members); }

    void handle_all(const cell::cell_event& event) {
        for (const auto& it : cells_) {
            it.second->handle(event);
        }
    }

    owned_cell* find(const base::cell_id& id) {
        const auto it = cells_.find(id);
        return it == cells_.end() ? nullptr : it->second.get();
    }

    const std::map<base::cell_id, std::unique_ptr<owned_cell>>& cells() const { return cells_; }

    // Runs `message` on the daemon's loop; drops and counts it when the mailbox is full.
    void post_to_daemon(std::function<void()> message) {
        if (!daemon_loop_.post(std::move(message))) {
            metrics_.count("cranberrydock_mailbox_full_total", "to=\"daemon\"");
        }
    }

    void reply(const cell::reply& effect) override {
        post_to_daemon(
            [this, effect] { listener_.on_reply(effect.to, effect.outcome, effect.trace); });
    }
    void drained(const base::cell_id& cell) override {
        post_to_daemon([this, cell] { listener_.on_drained(cell); });
    }
    void superseded(const base::cell_id& cell, base::epoch seen_epoch) override {
        post_to_daemon([this, cell, seen_epoch] { listener_.on_superseded(cell, seen_epoch); });
    }

private:
    void tick_cells() { handle_all(cell::clock_tick{}); }

    void publish_loads() {
        for (const auto& it : cells_) {
            post_to_daemon([this, cell = it.first, loads = it.second->machine().loads()] {
                listener_.on_loads(cell, loads);
            });
        }
    }

    const config::daemon_settings settings_;
    const base::daemon_id self_;
    net::event_loop& daemon_loop_;
    cell_io_factory& io_;
    base::metrics& metrics_;
    cell_host_listener& listener_;
    net::event_loop loop_;
    base::monotonic_clock clock_;
    std::unique_ptr<upstream_client> vms_;
    std::unique_ptr<platform::table_service> table_;
    std::map<base::cell_id, std::unique_ptr<owned_cell>> cells_;
};

cell_host::cell_host(const config::daemon_settings& settings, const base::daemon_id& self,
                     net::event_loop& daemon_loop, cell_io_factory& io, base::metrics& metrics,
                     cell_host_listener& listener)
    : worker_(std::make_shared<worker>(settings, self, daemon_loop, io, metrics, listener)),
      thread_([worker = worker_] { worker->run(); }) {}

cell_host::~cell_host() {
    worker_->loop().post([worker = worker_] { worker->loop().stop(); });
    thread_.join();
}

void cell_host::add_cell(const cell_start& start) {
    worker_->loop().post([worker = worker_, start] { worker->add_cell(start); });
}

void cell_host::remove_cell(const base::cell_id& cell) {
    worker_->loop().post([worker = worker_, cell] { worker->remove_cell(cell); });
}

void cell_host::drain(const base::cell_id& cell) {
    worker_->loop().post([worker = worker_, cell] {
        const owned_cell* const found = worker->find(cell);
        if (found == nullptr || !found->live()) {
            // The cell has accepted no work yet.
            worker->drained(cell);
            return;
        }
        worker->handle(cell, cell::drain_requested{});
    });
}

void cell_host::extend_evidence(const base::cell_id& cell, base::time_point until) {
    worker_->loop().post([worker = worker_, cell, until] {
        worker->handle(cell, cell::ownership_evidence_extended{until});
    });
}

void cell_host::set_rules(const base::cell_id& cell, cell::rules_changed rules) {
    worker_->loop().post(
        [worker = worker_, cell, rules = std::move(rules)] { worker->handle(cell, rules); });
}

void cell_host::set_limits(const base::cell_id& cell, std::vector<cell::team_limit> limits) {
    worker_->loop().post([worker = worker_, cell, limits = std::move(limits)] {
        if (auto* const found = worker->find(cell); found != nullptr) {
            found->set_limits(limits);
        }
    });
}

void cell_host::set_vms(const base::cell_id& cell, std::vector<platform::member> vms) {
    worker_->loop().post([worker = worker_, cell, vms = std::move(vms)] {
        worker->set_members(vms);
        worker->handle(cell, cell::vms_listed{vms});
    });
}

void cell_host::drain_vm(const base::vm_id& vm, bool drain) {
    worker_->loop().post([worker = worker_, vm, drain] {
        worker->handle_all(cell::drain_vm{vm, drain});
    });
}

bool cell_host::submit(const base::cell_id& cell, const base::work& spec, cell::reply_id reply_to) {
    return worker_->loop().post([worker = worker_, cell, spec, reply_to] {
        if (!worker->handle(cell, cell::submit{spec, reply_to})) {
            const base::refusal not_owned{base::refusal_reason::cell_without_owner, true,
                                          client_retry_delay,
                                          "this daemon no longer owns the cell"};
            worker->reply({reply_to, not_owned, {}});
        }
    });
}

void cell_host::query_job(const base::cell_id& cell, const base::team_id& team,
                          const base::job_id& job, bool cancel, job_query_callback done) {
    worker_->loop().post([worker = worker_, cell, team, job, cancel, done = std::move(done)] {
        if (cancel) {
            worker->handle(cell, cell::cancel_job{team, job});
        }
        const owned_cell* const found = worker->find(cell);
        job_query_result answer;
        if (found != nullptr && found->live()) {
            answer = {true, found->machine().view(team, job)};
        }
        worker->post_to_daemon([done, answer = std::move(answer)] { done(answer); });
    });
}

void cell_host::list(const base::team_id& team, const base::job_id& after, std::size_t limit,
                     job_list_callback done) {
    worker_->loop().post([worker = worker_, team, after, limit, done = std::move(done)] {
        std::vector<base::job_view> all;
        for (const auto& it : worker->cells()) {
            auto jobs = it.second->machine().list(team, after, limit);
            all.insert(all.end(), jobs.begin(), jobs.end());
        }
        std::sort(all.begin(), all.end(),
                  [](const auto& a, const auto& b) { return a.job < b.job; });
        all.resize(std::min(all.size(), limit));
        worker->post_to_daemon([done, all = std::move(all)] { done(all); });
    });
}

void cell_host::vms(host_vms_callback done) {
    worker_->loop().post([worker = worker_, done = std::move(done)] {
        std::vector<cell::vm_view> all;
        for (const auto& it : worker->cells()) {
            auto cell_vms = it.second->machine().vms();
            all.insert(all.end(), cell_vms.begin(), cell_vms.end());
        }
        worker->post_to_daemon([done, all = std::move(all)] { done(all); });
    });
}

void cell_host::promises(host_promises_callback done) {
    worker_->loop().post([worker = worker_, done = std::move(done)] {
        std::vector<cell::broken_promise> all;
        for (const auto& it : worker->cells()) {
            auto broken = it.second->machine().broken_promises();
            all.insert(all.end(), broken.begin(), broken.end());
        }
        worker->post_to_daemon([done, all = std::move(all)] { done(all); });
    });
}

}  // namespace cranberrydock::daemon
