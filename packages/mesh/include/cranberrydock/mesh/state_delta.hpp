// A daemon's state in its heartbeats, as what has changed since the last one on the same
// connection: with hundreds of teams the whole state is some kilobytes, and most of it stays as it
// was. Team names are sent once a connection; later changes name a team by its number.
//
// Both sides are pure and belong to one connection, on which no heartbeat is lost.
#pragma once

#include <cranberrydock/base/finding.hpp>
#include <cranberrydock/mesh/messages.hpp>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cranberrydock::mesh::detail {

class object_reader;

class state_sender {
public:
    // The bytes that bring the other end from the last state to this one; without `with_usage`, its
    // teams stay as they were there.
    std::string next(const heartbeat& state, bool with_usage = true);

private:
    using json = nlohmann::json;

    struct numbered_usage {
        std::int64_t number = 0;  // in the order of the first mention
        bool present = false;     // in the last state
        std::int64_t state = 0;   // the last one that names it
        base::slot_count running;
        base::slot_count queued;
    };

    void write_usage(const std::vector<team_usage>& usage, json& out);

    std::int64_t states_ = 0;        // so far
    std::vector<owned_cell> owned_;  // of the last state
    std::map<base::team_id, numbered_usage> teams_;
};

class state_receiver {
public:
    // The other end's state after these bytes, its teams in the order of their numbers. After a
    // fault the connection is of no more use.
    tl::expected<heartbeat, base::findings> receive(const std::string& bytes);

private:
    struct known_team {
        base::team_id team;
        bool present = false;
        base::slot_count running;
        base::slot_count queued;
    };

    void read_cells(object_reader& in);
    void read_usage(object_reader& in);
    void read_gone(object_reader& in);
    known_team* team_of(std::int64_t number, const char* key, object_reader& in);

    std::vector<owned_cell> owned_;
    std::vector<known_team> teams_;  // by number
};

}  // namespace cranberrydock::mesh::detail
