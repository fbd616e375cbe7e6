// What links cost: bytes and processor time a second for idle meshes of several sizes and numbers
// of teams, their slopes a peer and a team, and the peak of messages between two daemons.
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
using standins::mesh_world;

constexpr base::seconds warm_up{2};
constexpr base::seconds measured{6};
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
    const auto seconds = [](const timeval& of) {
        return static_cast<double>(of.tv_sec) + static_cast<double>(of.tv_usec) / micro;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

void run_for(mesh_world& world, base::duration time) {
    const auto end = world.loop.after(time, [&] { world.loop.stop(); });
    world.loop.run();
}

// A daemon that owns one cell in which each team has something running.
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

// How many peers are near, and how often the others have a heartbeat.
struct pace {
    std::size_t near_peers = 0;  // 0: all
    base::milliseconds far_period{0};
};

nodes full_mesh(mesh_world& world, int n, int teams, const pace& of_links) {
    // As the product runs, but for the pace.
    const mesh::mesh_settings defaults{};
    nodes out;
    std::vector<mesh::peer> peers;
    for (int i = 0; i < n; ++i) {
        mesh_node::options options{"daemon-" + std::to_string(100 + i)};
        options.heartbeat_period = defaults.heartbeat_period;
        options.silence_deadline = defaults.silence_deadline;
        options.near_peers = of_links.near_peers;
        options.far_period = of_links.far_period;
        options.active_time = base::milliseconds{0};
        out.push_back(std::make_unique<mesh_node>(world, options));
        out.back()->state = busy_state(i, teams);
        peers.push_back(out.back()->as_peer());
    }
    for (auto& it : out) {
        it->mesh->set_peers(peers);
    }
    return out;
}

struct idle_cost {
    double bytes = 0;      // a second and daemon, sent, as websocket frames
    double processor = 0;  // seconds a second and daemon
    double watched = 0;    // links at the full rate, a daemon
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

// With `changing`, each team's usage changes between any two heartbeats.
idle_cost measure(int n, int teams, const pace& of_links, bool changing = false,
                  base::seconds time = measured) {
    mesh_world world;
    const nodes all = full_mesh(world, n, teams, of_links);
    world.run_until([&] {
        for (const auto& it : all) {
            if (it->ups < n - 1) {
                return false;
            }
        }
        return true;
    });
    const auto churn = world.loop.every(base::milliseconds{250}, [&] {
        for (const auto& node : all) {
            for (auto& it : node->state.usage) {
                it.running += base::slot_count(changing ? 1 : 0);
            }
        }
    });
    run_for(world, warm_up);
    const std::int64_t before = bytes_sent(all);
    const base::time_point begin = world.clock.now();
    const double processor = processor_seconds();
    run_for(world, time);
    const double each = seconds_of(world.clock.now() - begin) * n;
    return {static_cast<double>(bytes_sent(all) - before) / each,
            (processor_seconds() - processor) / each, watched_links(all) / n};
}

void print(const std::string& name, double value, const char* unit) {
    std::printf("%s %.3f %s\n", name.c_str(), value, unit);
    std::fflush(stdout);
}

idle_cost print_idle(int daemons, int teams) {
    const idle_cost cost = measure(daemons, teams, {});
    const std::string what =
        "idle_" + std::to_string(daemons) + "_daemons_" + std::to_string(teams) + "_teams_";
    print(what + "sent", cost.bytes, "bytes/s/daemon");
    print(what + "processor", cost.processor * micro, "us/s/daemon");
    return cost;
}

// The cost with `many_daemons`, for the slope a team.
idle_cost print_idle_of_sizes(int teams) {
    const idle_cost few = print_idle(few_daemons, teams);
    print_idle(7, teams);
    const idle_cost many = print_idle(many_daemons, teams);
    const std::string what = "slope_a_peer_" + std::to_string(teams) + "_teams_";
    constexpr double peers = many_daemons - few_daemons;
    print(what + "sent", (many.bytes - few.bytes) / peers, "bytes/s/peer");
    print(what + "processor", (many.processor - few.processor) / peers * micro, "us/s/peer");
    return many;
}

void print_slope_a_team(const idle_cost& few, const idle_cost& many) {
    constexpr double links_and_teams = (many_daemons - 1) * (many_teams - few_teams);
    print("slope_a_peer_and_team_sent", (many.bytes - few.bytes) / links_and_teams,
          "bytes/s/peer/team");
    print("slope_a_peer_and_team_processor",
          (many.processor - few.processor) / links_and_teams * micro, "us/s/peer/team");
}

// The parts of a large fleet's cost: a near link, and a far one by the number of its heartbeats.
void print_paced(bool changing) {
    constexpr int n = 16;
    constexpr base::seconds often{1};  // as many far heartbeats as the measured time holds
    constexpr std::size_t near_peers = 2;
    const std::string what = changing ? "paced_changing_" : "paced_unchanged_";
    const idle_cost none = measure(n, many_teams, {near_peers, base::seconds{1'000}}, changing);
    const idle_cost some = measure(n, many_teams, {near_peers, often}, changing);
    const double far = n - 1 - some.watched;
    print(what + "near_links", none.watched, "links/daemon");
    print(what + "sent_a_near_link", none.bytes / none.watched, "bytes/s/link");
    print(what + "processor_a_near_link", none.processor / none.watched * micro, "us/s/link");
    print(what + "sent_a_far_heartbeat", (some.bytes - none.bytes) / far * seconds_of(often),
          "bytes");
    print(what + "processor_a_far_heartbeat",
          (some.processor - none.processor) / far * seconds_of(often) * micro, "us");
}

// A whole fleet at the pace meant for the long-term size, as large as one process holds with ease.
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
    constexpr std::size_t burst = 1'000;  // kept under way
    mesh_world world;
    mesh_node a(world, {"a"});
    mesh_node b(world, {"b"});
    standins::link_up(world, a, b);
    mesh::submit_work work;
    work.work.payload.assign(500, 'x');
    std::size_t sent = 0;
    const base::time_point begin = world.clock.now();
    const double processor = processor_seconds();
    world.run_until([&] {
        while (sent < n && sent < b.messages.size() + burst) {
            work.call = mesh::call_id(static_cast<std::int64_t>(sent));
            sent += a.mesh->send(b.id, work) ? 1 : 0;
        }
        return b.messages.size() == n;
    });
    print("peak_between_two", static_cast<double>(n) / seconds_of(world.clock.now() - begin),
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
    print_slope_a_team(few, many);
    print_paced(false);
    print_paced(true);
    print_fleet();
}
