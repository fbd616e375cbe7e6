// Serves the platform's protocol and checks the starts.
#include "platform_site.hpp"

#include <cranberrydock/base/base64.hpp>
#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/http_server.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <future>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>

namespace cranberrydock::standins {
namespace {

using nlohmann::json;

constexpr base::milliseconds vm_step{10};
constexpr base::milliseconds gang_timeout{3'000};  // the daemons' default of gangTimeoutMs
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
        changes[std::get<0>(id)].push_back({version, id, false});
    }

    void remove(const row_id& id) {
        if (rows.erase(id) > 0) {
            changes[std::get<0>(id)].push_back({version, id, true});
        }
    }

    // The changes of the table after a version, as the feed sends them.
    json changes_after(const std::string& table, std::int64_t after) const {
        json out = json::array();
        const auto found = changes.find(table);
        if (found == changes.end()) {
            return out;
        }
        auto it = std::upper_bound(
            found->second.begin(), found->second.end(), after,
            [](std::int64_t known, const change& one) { return known < one.version; });
        for (; it != found->second.end(); ++it) {
            json row = row_json(it->row);
            if (it->removed) {
                row["deleted"] = true;
            }
            out.push_back(std::move(row));
        }
        return out;
    }

    std::map<row_id, site_row> rows;
    std::map<std::string, std::vector<change>> changes;  // by table, ordered by version
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
        vm_request_handler(state& owner, int number) : site(owner), index(number) {
            server = std::make_unique<net::http_server>(loop(), net::endpoint{"127.0.0.1", 0},
                                                        net::http_server_limits{}, *this);
            fleet::vm_info facts;
            facts.id = fleet::vm_id("i-" + std::to_string(number));
            facts.boot = fleet::boot_time(1'000 + number);
            const auto behavior = [this](const auto& task, const auto& /*run*/) {
                task_behavior out;
                if (site.plan.behavior) {
                    out = site.plan.behavior(task);
                } else {
                    out.run_time = site.plan.task_time;
                    out.fails = site.plan.task_fails && site.plan.task_fails(task);
                }
                if (out.need.cores.value() == 0) {
                    out.need.cores = base::millicores(1'000);
                }
                return out;
            };
            const auto& stop_times = site.plan.stop_times;
            vm = std::make_unique<fleet_vm>(
                facts, behavior,
                stop_times.empty()
                    ? site.plan.stop_time
                    : stop_times[static_cast<std::size_t>(index) % stop_times.size()],
                [this](const auto& end) { site.record_end(*this, end); });
            vm->set_max_lease(site.plan.max_lease);
        }
        net::event_loop& loop() const { return site.loop; }

        // A room that has shrunk counts once the system can have read that for a while.
        std::int64_t enforced_millicores() const {
            constexpr base::milliseconds notice{4'100};
            const auto readable_since = std::max(resized_at, site.store_serves_since);
            const bool is_noticed =
                site.mode == store_mode::serves && clock.now() - readable_since >= notice;
            return is_noticed ? millicores : std::max(millicores, millicores_before);
        }

        // A run that crashes its VM takes all others with it.
        void crash_if_due() {
            const auto due =
                std::find_if(vm->running().begin(), vm->running().end(), [](const auto& it) {
                    const auto& after = it.second.behavior.crashes_vm_after;
                    return after && it.second.age >= *after;
                });
            if (due != vm->running().end()) {
                ++site.crashes[due->first];
                crash();
                write_entry();
            }
        }

        void write_entry() {
            constexpr int memory_mb = 65'536;
            if (entry_address.empty() || !site.plan.keep_vm_addresses) {
                entry_address = site.routed_address(server->listen_endpoint()).text();
            }
            const auto& zones = site.plan.zones;
            const std::size_t zone = static_cast<std::size_t>(index) % zones.size();
            const int rack = site.plan.vms_per_rack > 0
                                 ? index / static_cast<int>(zones.size()) / site.plan.vms_per_rack
                                 : 0;
            const std::string rack_label =
                "r" + std::to_string(zone + 1) + "-" + std::to_string(rack + 1);
            const json row = {{"service", "svc"},
                              {"address", entry_address},
                              {"zone", zones[zone].name},
                              {"version", "v1"},
                              {"slots", 8},
                              {"state", "ready"},
                              {"capacity", {{"cpu", millicores}, {"memMb", memory_mb}, {"gpu", 0}}},
                              {"labels", {"a", rack_label}},
                              {"born", vm->facts().boot.value()},
                              {"seq", 1}};
            site.write({"servers", "", vm->facts().id.str()}, row.dump());
        }

        void handle(net::http_request request, net::http_responder respond) override {
            if (silent) {
                unanswered.push_back(std::move(respond));
                return;
            }
            const bool is_hold = request.path == "/cranberrydock/hold";
            if (delay == command_delay::all ||
                (delay == command_delay::some && !is_hold && ++delayable % 2 == 0)) {
                held_up.push_back(std::move(request));
                unanswered.push_back(std::move(respond));
                return;
            }
            receive(std::move(request), std::move(respond));
        }

        void receive(net::http_request request, net::http_responder respond) {
            site.advance_clock(*this);
            if (vm->paused() || !late.empty()) {
                late.push_back({std::move(request), std::move(respond)});
            } else {
                carry_out(request, respond);
            }
        }

        void carry_out_late_commands() {
            while (!vm->paused() && !late.empty()) {
                const auto command = std::move(late.front());
                late.pop_front();
                carry_out(command.request, command.respond);
            }
        }

        // The VM's process ends with the state of its runs and the commands that it has not read.
        void crash() {
            site.advance_clock(*this);
            site.discard_unacknowledged(*this);
            site.lapsed_runs.erase(index);
            vm->crash();
            for (auto& it : std::exchange(late, {})) {
                unanswered.push_back(std::move(it.respond));
            }
        }

        void carry_out(const net::http_request& request, const net::http_responder& respond) {
            const std::string expected = request.header("X-Expect-Instance");
            if (!expected.empty() && expected != vm->facts().id.str()) {
                constexpr int status_other_instance = 421;
                respond(net::json_response(status_other_instance, "{}"));
                return;
            }
            site.advance_clock(*this);
            const json body = json::parse(request.body);
            const fleet::fencing_token owner(body.at("fencingToken").get<std::int64_t>());
            if (request.path == "/cranberrydock/hold") {
                ++site.watch_count;
                pending_watch pending{fleet::fencing_token(owner), respond,
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
                site.add_gang_member(*this, task, run);
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
            if (vm->paused()) {
                return;
            }
            for (auto it = waiting.begin(); it != waiting.end();) {
                const bool superseded = it->owner < vm->fencing_token();
                if (!superseded && vm->unacknowledged().empty() && clock.now() < it->deadline) {
                    ++it;
                    continue;
                }
                const auto report = vm->watch(it->owner, {});
                if (!report) {
                    refuse(it->respond, report.error());
                } else {
                    it->respond(net::json_response(status_ok, report_json(*report).dump()));
                    site.record_report(*this, it->owner);
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

        struct late_command {
            net::http_request request;
            net::http_responder respond;
        };

        struct pending_watch {
            fleet::fencing_token owner;
            net::http_responder respond;
            base::time_point deadline;
        };

        base::monotonic_clock clock;
        base::time_point advanced_at = clock.now();
        double fractional_ms = 0;  // time of the VM's clock that is not yet a full millisecond
        state& site;
        std::unique_ptr<net::http_server> server;
        net::endpoint address;  // while the server is closed
        std::unique_ptr<fleet_vm> vm;
        std::deque<pending_watch> waiting;
        std::deque<late_command> late;  // received while the VM was held up
        const int index;
        std::int64_t millicores = site.plan.vm_millicores;
        std::int64_t millicores_before = 0;
        base::time_point resized_at{};
        std::string entry_address;  // as last written to the member list
        bool silent = false;
        command_delay delay = command_delay::none;
        int delayable = 0;
        std::vector<net::http_request> held_up;
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
                return !value || value->size() > plan.max_row_bytes ||
                       (plan.rejects_row &&
                        plan.rejects_row(it.at("table").template get<std::string>(),
                                         it.at("key").template get<std::string>()));
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

    struct feed_answer {
        bool empty = true;
        std::string body;
    };

    void answer_feeds() {
        std::map<std::pair<std::string, std::int64_t>, feed_answer> answers;
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
            // Many daemons follow a table from the same version.
            const auto key = std::make_pair(it->table, it->after);
            auto known = answers.find(key);
            if (known == answers.end()) {
                const json found = rows.changes_after(it->table, it->after);
                known = answers.emplace(key, feed_answer{found.empty(), {}}).first;
                known->second.body = json{{"rows", found}, {"ver", rows.version}}.dump();
            }
            if (known->second.empty && clock.now() < it->deadline) {
                ++it;
                continue;
            }
            it->respond(net::json_response(status_ok, known->second.body));
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

    void set_listed(vm_request_handler& handler, bool listed) {
        if (listed) {
            handler.write_entry();
            return;
        }
        ++rows.version;
        rows.remove({"servers", "", handler.vm->facts().id.str()});
        answer_feeds();
    }

    static std::string describe_run(const vm_request_handler& handler,
                                    const fleet::task_ref& task) {
        return handler.vm->facts().id.str() + " (run " +
               std::to_string(handler.vm->running().at(task).number.value()) + ", fence " +
               std::to_string(handler.vm->fencing_token().value()) + ")";
    }

    void check_start(const vm_request_handler& started_on, const fleet::task_ref& task) {
        ++start_count;
        ++starts_per_job[task.job];
        if (done.count(task) > 0) {
            // The completion may have been lost with a lease that has expired since.
            for (const auto& it : vms) {
                advance_clock(*it);
            }
        }
        if (done.count(task) > 0) {
            breaches.push_back("started again after it was done: " + task_name(task));
        }
        std::int64_t used = 0;
        for (const auto& it : started_on.vm->running()) {
            used += it.second.behavior.need.cores.value();
        }
        if (used > started_on.enforced_millicores()) {
            breaches.push_back("overcommitted: " + started_on.vm->facts().id.str());
        }
        for (const auto& it : vms) {
            if (it.get() == &started_on || it->vm->running().count(task) == 0) {
                continue;
            }
            advance_clock(*it);
            if (it->vm->running().count(task) > 0) {
                breaches.push_back("runs in two places: " + task_name(task) + " on " +
                                   describe_run(*it, task) + " and on " +
                                   describe_run(started_on, task));
                return;
            }
        }
        measure_restart(started_on, task);
    }

    struct ended_run {
        int vm = 0;
        base::time_point at{};
        bool lapsed = false;
    };

    static base::time_point time_of(const vm_request_handler& handler, double rate,
                                    fleet::vm_time at) {
        const double vm_ms = static_cast<double>(handler.vm->now().value() - at.value());
        const std::chrono::duration<double, std::milli> ago((vm_ms + handler.fractional_ms) / rate);
        return handler.advanced_at - std::chrono::duration_cast<base::time_point::duration>(ago);
    }

    void record_end(const vm_request_handler& handler, const fleet_vm::run_end& end) {
        const auto at = time_of(handler, rate_of(handler), end.at);
        const auto known = ended_runs.find(end.task);
        if (known == ended_runs.end() || known->second.at <= at) {
            const bool lapsed = end.kind == fleet::completion_kind::lease_expired;
            ended_runs[end.task] = {handler.index, at, lapsed};
            if (lapsed) {
                lapsed_runs[handler.index][end.task] = {};
            }
        }
    }

    void record_report(const vm_request_handler& handler, fleet::fencing_token owner) {
        for (auto& it : lapsed_runs[handler.index]) {
            it.second = owner;
        }
    }

    void measure_restart(const vm_request_handler& started_on, const fleet::task_ref& task) {
        const auto earlier = ended_runs.find(task);
        if (earlier == ended_runs.end()) {
            return;
        }
        const auto& run = earlier->second;
        const auto passed = std::chrono::duration_cast<base::milliseconds>(clock.now() - run.at);
        const auto add = [&](restart_distance& out) {
            if (out.restarts++ == 0 || passed < out.closest) {
                out.closest = passed;
                out.closest_vms = "i-" + std::to_string(run.vm) + ", " +
                                  started_on.vm->facts().id.str() + ": " + task_name(task);
            }
        };
        add(distances.all);
        if (run.lapsed) {
            add(distances.lapsed);
            const auto& lapsed = lapsed_runs[run.vm];
            const auto it = lapsed.find(task);
            if (it != lapsed.end() && it->second != started_on.vm->fencing_token()) {
                add(distances.lapsed_unreported);
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

    // The runs of one gang. The members make progress while all of them run, and end together.
    struct gang_key {
        fleet::task_ref first;
        fleet::run_number run;
        bool operator<(const gang_key& other) const {
            return first < other.first || (!(other.first < first) && run < other.run);
        }
    };

    struct gang {
        std::map<fleet::task_ref, vm_request_handler*> members;
        base::milliseconds worked{0};
        base::milliseconds waited{0};
    };

    void add_gang_member(vm_request_handler& handler, const fleet::task_ref& task,
                         fleet::run_number run) {
        if (handler.vm->running().at(task).behavior.gang_size > 0) {
            auto first = task;
            first.index = 0;
            gangs[{first, run}].members[task] = &handler;
        }
    }

    void advance_gangs() {
        const auto now = clock.now();
        const auto passed = std::chrono::duration_cast<base::milliseconds>(now - gangs_advanced_at);
        gangs_advanced_at += passed;
        for (auto it = gangs.begin(); it != gangs.end();) {
            auto& gang = it->second;
            task_behavior behavior;
            for (auto member = gang.members.begin(); member != gang.members.end();) {
                const auto& running = member->second->vm->running();
                const auto run = running.find(member->first);
                if (run == running.end() || run->second.number != it->first.run) {
                    member = gang.members.erase(member);
                    continue;
                }
                behavior = run->second.behavior;
                ++member;
            }
            const bool complete = gang.members.size() == behavior.gang_size;
            if (gang.members.empty()) {
                it = gangs.erase(it);
                continue;
            }
            (complete ? gang.worked : gang.waited) += passed;
            if (complete && gang.worked >= behavior.run_time) {
                end_gang(gang, fleet::completion_kind::done);
            } else if (!complete && gang.worked.count() > 0) {
                end_gang(gang, fleet::completion_kind::gang_broken);
            } else if (!complete && gang.waited >= gang_timeout) {
                end_gang(gang, fleet::completion_kind::gang_incomplete);
            }
            ++it;
        }
    }

    void end_gang(const gang& ended, fleet::completion_kind kind) {
        for (const auto& it : ended.members) {
            const std::size_t before = it.second->vm->unacknowledged().size();
            it.second->vm->end_run(it.first, kind);
            record_done(*it.second->vm, before);
        }
    }

    // Records the tasks that ended as done; `first` is the number of completions before that.
    void record_done(const fleet_vm& vm, std::size_t first) {
        for (std::size_t i = first; i < vm.unacknowledged().size(); ++i) {
            const auto& completion = vm.unacknowledged()[i];
            if (completion.kind == fleet::completion_kind::done) {
                ever_done_tasks.insert(completion.task);
                // A gang's completion at one VM stands for all, so a lost one proves nothing.
                if (!plan.behavior || plan.behavior(completion.task).gang_size == 0) {
                    done.insert(completion.task);
                }
            }
        }
    }

    double rate_of(const vm_request_handler& handler) const {
        return plan.clock_rates.empty() ? 1.0
                                        : plan.clock_rates[static_cast<std::size_t>(handler.index) %
                                                           plan.clock_rates.size()];
    }

    // Moves the VM's clock on by the time that has passed, also when the platform's thread is late.
    void advance_clock(vm_request_handler& handler) {
        const auto now = clock.now();
        const double rate = rate_of(handler);
        const std::chrono::duration<double, std::milli> passed = now - handler.advanced_at;
        handler.advanced_at = now;
        handler.fractional_ms += passed.count() * rate;
        const base::milliseconds step(static_cast<std::int64_t>(handler.fractional_ms));
        handler.fractional_ms -= static_cast<double>(step.count());
        const std::size_t completions_before = handler.vm->unacknowledged().size();
        handler.vm->advance(step);
        record_done(*handler.vm, completions_before);
        if (handler.vm->leases_expired()) {
            discard_unacknowledged(handler);
        }
    }

    void advance() {
        for (const auto& it : vms) {
            advance_clock(*it);
            it->carry_out_late_commands();
            it->crash_if_due();
        }
        advance_gangs();
        for (const auto& it : vms) {
            it->answer_watches();
        }
        answer_feeds();
    }

    struct feed {
        std::string table;
        std::int64_t after;
        net::http_responder respond;
        base::time_point deadline;
    };

    base::time_point store_serves_since{};
    std::map<fleet::task_ref, int> crashes;  // caused by the task
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
    std::map<fleet::task_ref, ended_run> ended_runs;  // the latest of each task
    // By VM, the tasks whose runs lapsed there since its start, and the last owner to which the VM
    // has reported that.
    std::map<int, std::map<fleet::task_ref, fleet::fencing_token>> lapsed_runs;
    restart_distances distances;
    std::map<gang_key, gang> gangs;
    base::time_point gangs_advanced_at = clock.now();
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
    on_loop([&] {
        if (mode == store_mode::serves && state_->mode != store_mode::serves) {
            state_->store_serves_since = state_->clock.now();
        }
        state_->mode = mode;
    });
}

void platform_site::lose_answers(int count) {
    on_loop([&] { state_->answers_to_lose = count; });
}

void platform_site::stop_vm_process(int index) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        handler.crash();
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

std::vector<int> platform_site::vms_by_remaining_time() {
    std::vector<std::pair<base::milliseconds, int>> found;
    on_loop([&] {
        for (const auto& it : state_->vms) {
            base::milliseconds longest{0};
            for (const auto& run : it->vm->running()) {
                longest = std::max(longest, run.second.remaining);
            }
            found.emplace_back(-longest, it->index);
        }
    });
    std::sort(found.begin(), found.end());
    std::vector<int> out;
    std::transform(found.begin(), found.end(), std::back_inserter(out),
                   [](const auto& it) { return it.second; });
    return out;
}

void platform_site::crash_vm(int index) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        handler.crash();
        handler.write_entry();
    });
}

void platform_site::set_vm_capacity(int index, std::int64_t millicores) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        handler.millicores_before = handler.enforced_millicores();
        handler.millicores = millicores;
        handler.resized_at = state_->clock.now();
        if (state_->rows.rows.count({"servers", "", handler.vm->facts().id.str()}) > 0) {
            handler.write_entry();
        }
    });
}

int platform_site::crash_count(const fleet::task_ref& task) {
    int out = 0;
    on_loop([&] { out = state_->crashes[task]; });
    return out;
}

void platform_site::replace_vm(int index) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        state_->set_listed(handler, false);
        handler.crash();
        handler.vm->restart_as(fleet::vm_id(handler.vm->facts().id.str() + "-next"));
        handler.write_entry();
    });
}

void platform_site::set_vm_command_delay(int index, command_delay delay) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        handler.delay = delay;
        if (delay == command_delay::none) {
            for (auto& it : std::exchange(handler.held_up, {})) {
                handler.receive(std::move(it), [](const net::http_response&) {});
            }
        }
    });
}

void platform_site::hold_up_vm(int index, base::milliseconds time) {
    on_loop([&] {
        auto& handler = *state_->vms[static_cast<std::size_t>(index)];
        state_->advance_clock(handler);
        const auto spare = state_->plan.max_stop_time - handler.vm->stop_time();
        handler.vm->pause(std::clamp(time, base::milliseconds{0}, spare));
    });
}

void platform_site::restart_vm_unlisted(int index) {
    on_loop([&] { state_->vms[static_cast<std::size_t>(index)]->crash(); });
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

restart_distances platform_site::closest_restarts() {
    restart_distances out;
    on_loop([&] { out = state_->distances; });
    return out;
}

platform_site::job_counts platform_site::counts_of(const fleet::job_id& job) {
    job_counts out;
    on_loop([&] {
        const fleet::task_ref first{job, 0, 0, 0};
        const auto count = [&](const auto& tasks, const auto& task_of_entry) {
            int n = 0;
            for (auto it = tasks.lower_bound(first);
                 it != tasks.end() && task_of_entry(*it).job == job; ++it) {
                ++n;
            }
            return n;
        };
        out.done = count(state_->ever_done_tasks, [](const auto& it) { return it; });
        for (const auto& vm : state_->vms) {
            out.running += count(vm->vm->running(), [](const auto& it) { return it.first; });
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
