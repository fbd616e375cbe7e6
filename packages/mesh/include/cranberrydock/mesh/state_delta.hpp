// Delta encoding of the state in heartbeats. A heartbeat carries only the changes since the
// previous one on the same connection: with hundreds of teams the full state takes several
// kilobytes, and most of it does not change. Each team name is sent once per connection; later
// changes refer to the team by number.
//
// Both sides do no I/O and belong to one connection, which loses no heartbeat.
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

class state_delta_encoder {
public:
    // Encodes the changes from the previous state to this one. Without `with_usage` the receiver
    // keeps the teams' usage that it has.
    std::string encode(const heartbeat& state, bool with_usage = true);

private:
    using json = nlohmann::json;

    struct numbered_usage {
        std::int64_t number = 0;  // in order of first appearance
        bool present = false;     // has usage in the last state
        std::int64_t state = 0;   // number of the last state that lists the team
        base::slot_count running;
        base::slot_count queued;
    };

    void write_usage(const std::vector<team_usage>& usage, json& out);

    std::int64_t states_ = 0;        // number of states encoded so far
    std::vector<owned_cell> owned_;  // in the last state
    std::map<base::team_id, numbered_usage> teams_;
};

class state_delta_decoder {
public:
    // Applies the delta and returns the sender's full state, with the teams in the order of their
    // numbers. After a fault the connection must be closed, because later deltas build on this one.
    tl::expected<heartbeat, base::findings> decode(const std::string& bytes);

private:
    struct known_team {
        base::team_id team;
        bool present = false;
        base::slot_count running;
        base::slot_count queued;
    };

    void read_cells(object_reader& in);
    void read_usage(object_reader& in);
    void read_removed(object_reader& in);
    known_team* team_of(std::int64_t number, const char* key, object_reader& in);

    std::vector<owned_cell> owned_;
    std::vector<known_team> teams_;  // by number
};

}  // namespace cranberrydock::mesh::detail
