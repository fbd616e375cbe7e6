// Serves the platform's protocol and checks the starts.
#include "platform_site.hpp"

#include <cranberrydock/base/base64.hpp>
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/http_server.hpp>

#include "fleet_vm.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <future>
#include <optional>
#include <set>
#include <sstream>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr base::milliseconds vm_step{10};
constexpr int status_ok = 200;
constexpr int status_refused = 409;
constexpr int status_conflict = 412;
constexpr int status_gone = 410;
constexpr int status_invalid = 400;
constexpr int status_unavailable = 503;

using row_id = std::tuple<std::string, std::string, std::string>;  // table, partition, key

struct site_row {
    std::string value;  // base64
    std::int64_t version = 0;
};

// The store's rows, their versions and the changes that its feeds can still deliver.
class site_rows {
public:
    struct change {
        std::int64_t version;
        row_id row;
        bool removed;
    };

    json row_json(const row_id& id) const {
        json out = {
            {"table", std::get<0>(id)}, {"part", std::get<1>(id)}, {"key", std::get<2>(id)}};
        const auto it = rows.find(id);
        out["ver"] = it == rows.end() ? 0 : it->second.version;
        if (it != rows.end()) {
            out["value"] = it->second.value;
        }
        return out;
    }

    void put(const row_id& id, const std::string& value) {
        rows[id] = {value, version};
        changes.push_back({version, id, false});
    }

    void remove(const row_id& id) {
        if (rows.erase(id) > 0) {
            changes.push_back({version, id, true});
        }
    }

    std::map<row_id, site_row> rows;
    std::vector<change> changes;
    std::int64_t version = 1;
    std::int64_t history_from = 0;
};

row_id id_of(const json& from) {
    return {from.at("table").get<std::string>(), from.value("part", ""),
            from.at("key").get<std::string>()};
}

std::string task_name(const fleet::task_ref& task) {
    return task.job.str() + "." + std::to_string(task.occurrence) + "." +
           std::to_string(task.step) + "." + std::to_string(task.index);
}

fleet::task_ref task_of(const std::string& name) {
    std::istringstream in(name);
    std::string job;
    std::string fields[3];
    std::getline(in, job, '.');
    std::getline(in, fields[0], '.');
    std::getline(in, fields[1], '.');
    std::getline(in, fields[2], '.');
    return {fleet::job_id(job), std::stoi(fields[0]), std::stoi(fields[1]), std::stoi(fields[2])};
}

const char* wire_word(fleet::completion_kind kind) {
    switch (kind) {
        case fleet::completion_kind::done:
            return "done";
        case fleet::completion_kind::failed:
            return "failed";
        case fleet::completion_kind::lease_expired:
            return "lapsed";
        case fleet::completion_kind::gang_broken:
            return "broken";
        case fleet::completion_kind::gang_incomplete:
            return "alone";
        case fleet::completion_kind::stopped:
            return "stopped";
    }
    return "stopped";
}

const char* wire_word(fleet::command_failure failure) {
    switch (failure) {
        case fleet::command_failure::stale_fencing_token:
            return "fence";
        case fleet::command_failure::too_late:
            return "late";
        case fleet::command_failure::no_room:
            return "room";
        default:
            return "old";
    }
}

}  // namespace

struct platform_site::state {
    explicit state(const platform_site_options& site_plan)
        : plan(site_plan), store_request_handler(*this) {
        store_server = std::make_unique<net::http_server>(
            loop, net::endpoint{"127.0.0.1", 0}, net::http_server_limits{}, store_request_handler);
        for (int i = 0; i < plan.vms; ++i) {
            vms.push_back(std::make_unique<vm_request_handler>(*this, i));
        }
        for (const auto& it : vms) {
            it->write_entry();
        }
        step_timer = loop.every(vm_step, [this] { advance(); });
    }

    // Serves the calls to one VM on its own port.
    struct vm_request_handler final : net::http_handler {
        vm_request_handler(state& owner, int number) : site(owner) {
            server = std::make_unique<net::http_server>(loop(), net::endpoint{"127.0.0.1", 0},
                                                        net::http_server_limits{}, *this);
            fleet::vm_info facts;
            facts.id = fleet::vm_id("i-" + std::to_string(number));
            facts.boot = fleet::boot_time(1'000 + number);
            vm = std::make_unique<fleet_vm>(facts, [this](const auto& task, const auto&) {
                task_behavior out;
                out.run_time = site.plan.task_time;
                out.fails = site.plan.task_fails && site.plan.task_fails(task);
                out.need.cores = base::millicores(1'000);
                return out;
            });
        }
        net::event_loop& loop() const { return site.loop; }

        void write_entry() const {
            constexpr int memory_mb = 65'536;
            const json row = {
                {"service", "svc"},
                {"address", site.routed_address(server->listen_endpoint()).text()},
                {"zone", "z"},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"capacity", {{"cpu", site.plan.vm_millicores}, {"memMb", memory_mb}, {"gpu", 0}}},
                {"labels", {"a", "r1-1"}},
                {"born", vm->facts().boot.value()},
                {"seq", 1}};
            site.write({"servers", "", vm->facts().id.str()}, row.dump());
        }

        void handle(net::http_request request, net::http_responder respond) override {
            if (silent) {
                unanswered.push_back(std::move(respond));
                return;
            }
            const json body = json::parse(request.body);
            const fleet::fencing_token owner(body.at("fencingToken").get<std::int64_t>());
            if (request.path == "/cranberrydock/hold") {
                ++site.watch_count;
                pending_watch pending{fleet::fencing_token(owner), std::move(respond),
                                      clock.now() + base::milliseconds(body.value("waitMs", 0))};
                fleet::watch_command order;
                order.lease_until = fleet::vm_time(body.value("deadlineMs", std::int64_t{0}));
                order.acknowledged =
                    fleet::completion_number(body.value("ackSeq", std::int64_t{0}));
                const auto report = vm->watch(owner, order);
                if (!report) {
                    refuse(pending.respond, report.error());
                } else {
                    waiting.push_back(std::move(pending));
                    answer_watches();
                }
                return;
            }
            const auto task = task_of(body.at("task").get<std::string>());
            const fleet::run_number run(body.at("run").get<std::int32_t>());
            if (request.path == "/cranberrydock/run-stop") {
                answer(respond, vm->stop(owner, task, run));
                return;
            }
            fleet::start_command order;
            order.task = task;
            order.run = run;
            order.lease_until = fleet::vm_time(body.at("deadlineMs").get<std::int64_t>());
            const bool already_running = vm->running().count(task) > 0;
            const auto started = vm->start(owner, order);
            if (started && !already_running) {
                site.check_start(*this, task);
            }
            answer(respond, started);
        }

        static void refuse(const net::http_responder& respond, fleet::command_failure reason) {
            respond(net::json_response(status_refused, json{{"reason", wire_word(reason)}}.dump()));
        }

        static void answer(const net::http_responder& respond,
                           const tl::expected<fleet::vm_time, fleet::command_failure>& result) {
            if (result) {
                respond(net::json_response(status_ok, json{{"clockMs", result->value()}}.dump()));
            } else {
                refuse(respond, result.error());
            }
        }

        // Answers the watches whose wait is over, or all of them if there is a completion to
        // report.
        void answer_watches() {
            for (auto it = waiting.begin(); it != waiting.end();) {
                const auto report = vm->watch(it->owner, {});
                if (!report) {
                    refuse(it->respond, report.error());
                } else if (report->completions.empty() && clock.now() < it->deadline) {
                    ++it;
                    continue;
                } else {
                    it->respond(net::json_response(status_ok, report_json(*report).dump()));
                }
                it = waiting.erase(it);
            }
        }

        static json report_json(const fleet::vm_report& report) {
            json running = json::array();
            for (const auto& it : report.running) {
                running.push_back({task_name(it.task), it.run.value(), "", it.percent});
            }
            json finished = json::array();
            for (const auto& it : report.completions) {
                finished.push_back({it.number.value(), task_name(it.task), it.run.value(),
                                    wire_word(it.kind), ""});
            }
            return {{"clockMs", report.now.value()},
                    {"born", report.boot.value()},
                    {"running", running},
                    {"finished", finished}};
        }

        struct pending_watch {
            fleet::fencing_token owner;
            net::http_responder respond;
            base::time_point deadline;
        };

        double fractional_ms = 0;  // time of the VM's clock that is not yet a full millisecond
        state& site;
        base::monotonic_clock clock;
        std::unique_ptr<net::http_server> server;
        net::endpoint address;  // while the server is closed
        std::unique_ptr<fleet_vm> vm;
        std::deque<pending_watch> waiting;
        bool silent = false;
        std::vector<net::http_responder> unanswered;
    };

    struct store_handler final : net::http_handler {
        explicit store_handler(state& owner) : site(owner) {}
        void handle(net::http_request request, net::http_responder respond) override {
            site.serve(request, respond);
        }
        state& site;
    };

    void serve(const net::http_request& request, const net::http_responder& respond) {
        if (request.path == "/cranberrydock/advise") {
            advise(request, respond);
            return;
        }
        ++call_count;
        if (mode == store_mode::refuses) {
            respond(net::json_response(status_unavailable, "{}"));
        } else if (mode == store_mode::unresponsive) {
            unanswered.push_back(respond);
        } else if (request.path == "/cranberrydock/rows-tx") {
            transact(request, respond);
        } else if (request.path == "/cranberrydock/rows-get") {
            read(request, respond);
        } else {
            feeds.push_back({request.parameter("table"),
                             std::atoll(request.parameter("after").c_str()), respond,
                             clock.now() + base::milliseconds(
                                               std::atoll(request.parameter("waitMs").c_str()))});
            answer_feeds();
        }
    }

    // Grants every other VM of the query, so the same query always gets the same VMs.
    void advise(const net::http_request& request, const net::http_responder& respond) const {
        const json body = json::parse(request.body);
        json granted = json::array();
        int n = 0;
        for (const auto& it : body.at("workers")) {
            if (n++ % 2 == 0) {
                granted.push_back({it, "ticket"});
            }
        }
        respond(
            net::json_response(status_ok, json{{"granted", granted}, {"validMs", 2'500}}.dump()));
    }

    void transact(const net::http_request& request, const net::http_responder& respond) {
        const json body = json::parse(request.body);
        const auto& puts = body.at("puts");
        if (std::any_of(puts.begin(), puts.end(), [this](const auto& it) {
                const auto value = base::from_base64(it.at("value").template get<std::string>());
                return !value || value->size() > plan.max_row_bytes;
            })) {
            respond(net::json_response(status_invalid, R"({"error":"row too large"})"));
            return;
        }
        json existing_rows = json::array();
        bool holds = true;
        for (const auto& it : body.at("precondition")) {
            const json row = rows.row_json(id_of(it));
            holds = holds && row.at("ver") == it.at("ver");
            if (row.at("ver") != 0) {
                existing_rows.push_back(row);  // only rows that exist
            }
        }
        if (!holds) {
            respond(net::json_response(status_conflict, json{{"rows", existing_rows}}.dump()));
            return;
        }
        ++rows.version;
        for (const auto& it : body.at("puts")) {
            rows.put(id_of(it), it.at("value").get<std::string>());
        }
        for (const auto& it : body.at("remove")) {
            rows.remove(id_of(it));
        }
        answer_feeds();
        if (answers_to_lose > 0) {
            --answers_to_lose;
            unanswered.push_back(respond);
            return;
        }
        respond(net::json_response(status_ok, json{{"ver", rows.version}, {"nowMs", 1}}.dump()));
    }

    void read(const net::http_request& request, const net::http_responder& respond) const {
        const std::string table = request.parameter("table");
        const std::string part = request.parameter("part");
        const auto limit = static_cast<std::size_t>(std::atoll(request.parameter("limit").c_str()));
        json found = json::array();
        bool more = false;
        for (auto it = rows.rows.lower_bound({table, part, request.parameter("from")});
             it != rows.rows.end() && std::get<0>(it->first) == table &&
             std::get<1>(it->first) == part;
             ++it) {
            if (found.size() >= limit) {
                more = true;
                break;
            }
            found.push_back(rows.row_json(it->first));
        }
        respond(net::json_response(
            status_ok, json{{"rows", found}, {"hasMore", more}, {"ver", rows.version}}.dump()));
    }

    void answer_feeds() {
        for (auto it = feeds.begin(); it != feeds.end();) {
            if (suspended_feeds.count(it->table) > 0) {
                ++it;
                continue;
            }
            if (it->after < rows.history_from) {
                it->respond(net::json_response(status_gone, "{}"));
                it = feeds.erase(it);
                continue;
            }
            json found = json::array();
            for (const auto& change : rows.changes) {
                if (change.version > it->after && std::get<0>(change.row) == it->table) {
                    json row = rows.row_json(change.row);
                    if (change.removed) {
                        row["deleted"] = true;
                    }
                    found.push_back(row);
                }
            }
            if (found.empty() && clock.now() < it->deadline) {
                ++it;
                continue;
            }
            it->respond(
                net::json_response(status_ok, json{{"rows", found}, {"ver", rows.version}}.dump()));
            it = feeds.erase(it);
        }
    }

    net::endpoint routed_address(const net::endpoint& at) const {
        return plan.route ? plan.route(at) : at;
    }

    void write(const row_id& id, const std::string& value) {
        ++rows.version;
        rows.put(id, base::to_base64(value));
        answer_feeds();
    }

    void set_listed(const vm_request_handler& handler, bool listed) {
        if (listed) {
            handler.write_entry();
            return;
        }
        ++rows.version;
        rows.remove({"servers", "", handler.vm->facts().id.str()});
        answer_feeds();
    }

    void check_start(const vm_request_handler& started_on, const fleet::task_ref& task) {
        ++start_count;
        ++starts_per_job[task.job];
        if (done.count(task) > 0) {
            breaches.push_back("started again after it was done: " + task_name(task));
        }
        std::int64_t used = 0;
        for (const auto& it : started_on.vm->running()) {
            used += it.second.behavior.need.cores.value();
        }
        if (used > plan.vm_millicores) {
            breaches.push_back("overcommitted: " + started_on.vm->facts().id.str());
        }
        for (const auto& it : vms) {
            if (it.get() != &started_on && it->vm->running().count(task) > 0) {
                breaches.push_back("runs in two places: " + task_name(task));
            }
        }
    }

    // A completion that the owner has not acknowledged no longer counts after its VM has crashed or
    // the VM's lease has expired: the task may run again.
    void discard_unacknowledged(const vm_request_handler& vm_handler) {
        for (const auto& it : vm_handler.vm->unacknowledged()) {
            done.erase(it.task);
        }
    }

    void advance() {
        for (std::size_t i = 0; i < vms.size(); ++i) {
            vm_request_handler& handler = *vms[i];
            const double rate =
                plan.clock_rates.empty() ? 1.0 : plan.clock_rates[i % plan.clock_rates.size()];
            handler.fractional_ms += static_cast<double>(vm_step.count()) * rate;
            const base::milliseconds step(static_cast<std::int64_t>(handler.fractional_ms));
            handler.fractional_ms -= static_cast<double>(step.count());
            const auto running_before = handler.vm->running();
            handler.vm->advance(step);
            for (const auto& run : running_before) {
                const bool ended = handler.vm->running().count(run.first) == 0;
                if (ended && run.second.remaining <= step && !run.second.behavior.fails) {
                    done.insert(run.first);
                    ever_done_tasks.insert(run.first);
                }
            }
            if (handler.vm->leases_expired()) {
                discard_unacknowledged(handler);
            }
            handler.answer_watches();
        }
        answer_feeds();
    }

    struct feed {
        std::string table;
        std::int64_t after;
        net::http_responder respond;
        base::time_point deadline;
    };

    platform_site_options plan;
    net::event_loop loop;
    base::monotonic_clock clock;
    store_handler store_request_handler;
    std::unique_ptr<net::http_server> store_server;
    std::vector<std::unique_ptr<vm_request_handler>> vms;
    site_rows rows;
    std::deque<feed> feeds;
    std::set<std::string> suspended_feeds;  // names of the tables
    std::vector<net::http_responder> unanswered;
    store_mode mode = store_mode::serves;
    int answers_to_lose = 0;
    std::set<fleet::task_ref> done;             // tasks that must not start again
    std::set<fleet::task_ref> ever_done_tasks;  // also tasks whose completion was lost
    std::vector<std::string> breaches;
    std::map<fleet::job_id, int> starts_per_job;
    int start_count = 0;
    int call_count = 0;
    int watch_count = 0;
    std::unique_ptr<net::timer> step_timer;
};

platform_site::platform_site(const platform_site_options& plan)
    : state_(std::make_unique<state>(plan)), thread_([this] { state_->loop.run(); }) {}

platform_site::~platform_site() {
    on_loop([this] { state_->loop.stop(); });
    thread_.join();
}

// Runs the action on the platform's thread and waits until it has returned.
void platform_site::on_loop(const std::function<void()>& action) {
    std::promise<void> done;
    while (!state_->loop.post([&] {
        action();
        done.set_value();
    })) {
        std::this_thread::yield();
    }
    done.get_future().wait();
}

net::endpoint platform_site::store() const {
    return state_->store_server->listen_endpoint();
}

net::endpoint platform_site::advisor() const {
    return store();
}

void platform_site::put_row(const std::string& table, const std::string& key,
                            const std::string& value) {
    on_loop([&] { state_->write({table, "", key}, value); });
}

void platform_site::set_store_mode(store_mode mode) {
    on_loop([&] { state_->mode = mode; });
}

void platform_site::lose_answers(int count) {
    on_loop([&] { state_->answers_to_lose = count; });
}

void platform_site::stop_vm_process(int index) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        state_->discard_unacknowledged(handler);
        handler.vm->crash();
        handler.waiting.clear();
        handler.server.reset();
    });
}

void platform_site::make_vm_unresponsive(int index) {
    on_loop([&] { state_->vms[static_cast<std::size_t>(index)]->silent = true; });
}

void platform_site::make_vm_responsive(int index) {
    on_loop([&] { state_->vms[static_cast<std::size_t>(index)]->silent = false; });
}

void platform_site::set_vm_refuses_connections(int index, bool refuses) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        if (refuses) {
            handler.address = handler.server->listen_endpoint();
            handler.waiting.clear();
            handler.server.reset();
        } else {
            handler.server = std::make_unique<net::http_server>(state_->loop, handler.address,
                                                                net::http_server_limits{}, handler);
        }
    });
}

void platform_site::set_vm_listed(int index, bool listed) {
    on_loop([&] { state_->set_listed(*state_->vms[static_cast<std::size_t>(index)], listed); });
}

bool platform_site::vm_is_busy(int index) {
    bool out = false;
    on_loop([&] { out = !state_->vms[static_cast<std::size_t>(index)]->vm->running().empty(); });
    return out;
}

void platform_site::crash_vm(int index) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        state_->discard_unacknowledged(handler);
        handler.vm->crash();
        handler.write_entry();
    });
}

void platform_site::set_vms_listed(bool listed) {
    on_loop([&] {
        for (std::size_t i = 1; i < state_->vms.size(); ++i) {
            state_->set_listed(*state_->vms[i], listed);
        }
    });
}

void platform_site::truncate_feed_history() {
    on_loop([&] { state_->rows.history_from = ++state_->rows.version; });
}

void platform_site::set_feed_held(const std::string& table, bool held) {
    on_loop([&] {
        if (held) {
            state_->suspended_feeds.insert(table);
        } else {
            state_->suspended_feeds.erase(table);
            state_->answer_feeds();
        }
    });
}

std::string platform_site::row_value(const std::string& table, const std::string& key) {
    std::string out;
    on_loop([&] {
        for (const auto& it : state_->rows.rows) {
            if (std::get<0>(it.first) == table && std::get<2>(it.first) == key) {
                out = base::from_base64(it.second.value).value_or("");
            }
        }
    });
    return out;
}

std::int64_t platform_site::row_version(const std::string& table, const std::string& key) {
    std::int64_t out = 0;
    on_loop([&] {
        for (const auto& it : state_->rows.rows) {
            if (std::get<0>(it.first) == table && std::get<2>(it.first) == key) {
                out = it.second.version;
            }
        }
    });
    return out;
}

void platform_site::rewrite_row(const std::string& table, const std::string& key,
                                const std::string& value) {
    on_loop([&] {
        const auto& all = state_->rows.rows;
        const auto it = std::find_if(all.begin(), all.end(), [&](const auto& one) {
            return std::get<0>(one.first) == table && std::get<2>(one.first) == key;
        });
        if (it != all.end()) {
            state_->write(row_id(it->first), value);
        }
    });
}

std::vector<std::string> platform_site::violations() {
    std::vector<std::string> out;
    on_loop([&] { out = state_->breaches; });
    return out;
}

platform_site::job_counts platform_site::counts_of(const fleet::job_id& job) {
    job_counts out;
    on_loop([&] {
        for (const auto& it : state_->ever_done_tasks) {
            out.done += it.job == job ? 1 : 0;
        }
        for (const auto& vm : state_->vms) {
            for (const auto& it : vm->vm->running()) {
                out.running += it.first.job == job ? 1 : 0;
            }
        }
        const auto starts = state_->starts_per_job.find(job);
        out.starts = starts == state_->starts_per_job.end() ? 0 : starts->second;
    });
    return out;
}

int platform_site::start_count() {
    int out = 0;
    on_loop([&] { out = state_->start_count; });
    return out;
}

int platform_site::store_call_count() {
    int out = 0;
    on_loop([&] { out = state_->call_count; });
    return out;
}

int platform_site::watch_count() {
    int out = 0;
    on_loop([&] { out = state_->watch_count; });
    return out;
}

}  // namespace cranberrydock::standins
