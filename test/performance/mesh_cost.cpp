// Measures the cost of mesh links: bytes and processor time per second for idle meshes of several
// sizes and numbers of teams, the slopes per peer and per team, and the peak message rate between
// two daemons.
#include <spdlog/spdlog.h>
#include <standins/mesh_node.hpp>
#include <sys/resource.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace cranberrydock;
using standins::mesh_node;
using standins::mesh_test_loop;

constexpr base::seconds warm_up_time{2};
constexpr base::seconds measuring_time{6};
constexpr double micro = 1e6;
constexpr int few_daemons = 3;
constexpr int many_daemons = 14;
constexpr int few_teams = 6;
constexpr int many_teams = 260;

double seconds_of(base::microseconds d) {
    return std::chrono::duration<double>(d).count();
}

double processor_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& cpu_time) {
        return static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_usec) / micro;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

void run_for(mesh_test_loop& environment, base::duration time) {
    const auto end = environment.loop.after(time, [&] { environment.loop.stop(); });
    environment.loop.run();
}

// The state of a daemon that owns one cell in which each team has running tasks.
mesh::heartbeat busy_state(int owner, int teams) {
    mesh::heartbeat out;
    out.version = base::config_version(1'000);
    out.owned = {{base::cell_id("cell-" + std::to_string(owner)), base::epoch(12)}};
    for (int i = 0; i < teams; ++i) {
        out.usage.push_back({base::team_id("team-" + std::to_string(i)),
                             base::slot_count(40 + i % 50), base::slot_count(i % 7)});
    }
    return out;
}

using nodes = std::vector<std::unique_ptr<mesh_node>>;

std::int64_t bytes_sent(const nodes& all) {
    std::int64_t out = 0;
    for (const auto& node : all) {
        for (const auto& it : node->mesh->links()) {
            out += it.sent.value();
        }
    }
    return out;
}

// The number of near peers, and the heartbeat period of the others.
struct pace {
    std::size_t near_peers = 0;  // 0: all
    base::milliseconds far_period{0};
};

nodes full_mesh(mesh_test_loop& environment, int n, int teams, const pace& link_pace) {
    // The product's defaults, except for the pace.
    const mesh::mesh_settings defaults{};
    nodes out;
    std::vector<mesh::peer> peers;
    for (int i = 0; i < n; ++i) {
        mesh_node::options options{"daemon-" + std::to_string(100 + i)};
        options.heartbeat_period = defaults.heartbeat_period;
        options.silence_deadline = defaults.peer_timeout;
        options.near_peers = link_pace.near_peers;
        options.far_period = link_pace.far_period;
        options.active_period = base::milliseconds{0};
        out.push_back(std::make_unique<mesh_node>(environment, options));
        out.back()->own_state = busy_state(i, teams);
        peers.push_back(out.back()->as_peer());
    }
    for (auto& it : out) {
        it->mesh->set_peers(peers);
    }
    return out;
}

struct idle_cost {
    double bytes = 0;      // sent per second and daemon, as websocket frames
    double processor = 0;  // seconds per second and daemon
    double watched = 0;    // links at the full heartbeat rate per daemon
};

double watched_links(const nodes& all) {
    double out = 0;
    for (const auto& node : all) {
        for (const auto& it : node->mesh->links()) {
            out += it.watched ? 1 : 0;
        }
    }
    return out;
}

// With `changing`, the usage of each team changes between any two heartbeats.
idle_cost measure(int n, int teams, const pace& link_pace, bool changing = false,
                  base::seconds time = measuring_time) {
    mesh_test_loop environment;
    const nodes all = full_mesh(environment, n, teams, link_pace);
    environment.run_until([&] {
        for (const auto& it : all) {
            if (it->link_up_count < n - 1) {
                return false;
            }
        }
        return true;
    });
    const auto churn = environment.loop.every(base::milliseconds{250}, [&] {
        for (const auto& node : all) {
            for (auto& it : node->own_state.usage) {
                it.running += base::slot_count(changing ? 1 : 0);
            }
        }
    });
    run_for(environment, warm_up_time);
    const std::int64_t before = bytes_sent(all);
    const base::time_point begin = environment.clock.now();
    const double processor = processor_seconds();
    run_for(environment, time);
    const double daemon_seconds = seconds_of(environment.clock.now() - begin) * n;
    return {static_cast<double>(bytes_sent(all) - before) / daemon_seconds,
            (processor_seconds() - processor) / daemon_seconds, watched_links(all) / n};
}

void print(const std::string& name, double value, const char* unit) {
    std::printf("%s %.3f %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

idle_cost print_idle(int daemons, int teams) {
    const idle_cost cost = measure(daemons, teams, {});
    const std::string prefix =
        "idle_" + std::to_string(daemons) + "_daemons_" + std::to_string(teams) + "_teams_";
    print(prefix + "sent", cost.bytes, "bytes/s/daemon");
    print(prefix + "processor", cost.processor * micro, "us/s/daemon");
    return cost;
}

// Returns the cost with `many_daemons`, from which the slope per team is computed.
idle_cost print_idle_of_sizes(int teams) {
    const idle_cost few = print_idle(few_daemons, teams);
    print_idle(7, teams);
    const idle_cost many = print_idle(many_daemons, teams);
    const std::string prefix = "slope_a_peer_" + std::to_string(teams) + "_teams_";
    constexpr double peers = many_daemons - few_daemons;
    print(prefix + "sent", (many.bytes - few.bytes) / peers, "bytes/s/peer");
    print(prefix + "processor", (many.processor - few.processor) / peers * micro, "us/s/peer");
    return many;
}

void print_slope_per_team(const idle_cost& few, const idle_cost& many) {
    constexpr double links_and_teams = (many_daemons - 1) * (many_teams - few_teams);
    print("slope_a_peer_and_team_sent", (many.bytes - few.bytes) / links_and_teams,
          "bytes/s/peer/team");
    print("slope_a_peer_and_team_processor",
          (many.processor - few.processor) / links_and_teams * micro, "us/s/peer/team");
}

// The parts of the cost of a large fleet: per near link, and per heartbeat of a far link.
void print_cost_by_link_kind(bool changing) {
    constexpr int n = 16;
    // Far links send one heartbeat per second of the measuring time.
    constexpr base::seconds short_far_period{1};
    constexpr std::size_t near_peers = 2;
    const std::string prefix = changing ? "paced_changing_" : "paced_unchanged_";
    const idle_cost near_only =
        measure(n, many_teams, {near_peers, base::seconds{1'000}}, changing);
    const idle_cost with_far = measure(n, many_teams, {near_peers, short_far_period}, changing);
    const double far = n - 1 - with_far.watched;
    print(prefix + "near_links", near_only.watched, "links/daemon");
    print(prefix + "sent_a_near_link", near_only.bytes / near_only.watched, "bytes/s/link");
    print(prefix + "processor_a_near_link", near_only.processor / near_only.watched * micro,
          "us/s/link");
    print(prefix + "sent_a_far_heartbeat",
          (with_far.bytes - near_only.bytes) / far * seconds_of(short_far_period), "bytes");
    print(prefix + "processor_a_far_heartbeat",
          (with_far.processor - near_only.processor) / far * seconds_of(short_far_period) * micro,
          "us");
}

// A fleet at the pace planned for the long-term size, with as many daemons as one process holds
// easily.
void print_fleet() {
    constexpr int n = 60;
    constexpr base::seconds two_far_periods{60};
    const idle_cost cost = measure(n, many_teams, {2, base::seconds{30}}, false, two_far_periods);
    print("fleet_60_daemons_260_teams_near_links", cost.watched, "links/daemon");
    print("fleet_60_daemons_260_teams_sent", cost.bytes, "bytes/s/daemon");
    print("fleet_60_daemons_260_teams_processor", cost.processor * micro, "us/s/daemon");
}

void print_peak() {
    constexpr std::size_t n = 100'000;
    constexpr std::size_t burst = 1'000;  // messages kept in transit
    mesh_test_loop environment;
    mesh_node a(environment, {"a"});
    mesh_node b(environment, {"b"});
    standins::connect_nodes(environment, a, b);
    mesh::submit_work work;
    work.work.payload.assign(500, 'x');
    std::size_t sent = 0;
    const base::time_point begin = environment.clock.now();
    const double processor = processor_seconds();
    environment.run_until([&] {
        while (sent < n && sent < b.messages.size() + burst) {
            work.call = mesh::call_id(static_cast<std::int64_t>(sent));
            sent += a.mesh->send(b.id, work) ? 1 : 0;
        }
        return b.messages.size() == n;
    });
    print("peak_between_two", static_cast<double>(n) / seconds_of(environment.clock.now() - begin),
          "messages/s");
    print("peak_processor_both_ends",
          (processor_seconds() - processor) / static_cast<double>(n) * micro, "us/message");
}

}  // namespace

int main() {
    spdlog::set_level(spdlog::level::off);
    print_peak();
    const idle_cost few = print_idle_of_sizes(few_teams);
    const idle_cost many = print_idle_of_sizes(many_teams);
    print_slope_per_team(few, many);
    print_cost_by_link_kind(false);
    print_cost_by_link_kind(true);
    print_fleet();
}
