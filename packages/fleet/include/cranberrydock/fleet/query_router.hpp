// Selects the daemon that sends a placement query to the placement advisor.
//
// The advisor's service handles the queries of each daemon one after another: a short query that is
// queued behind a long one waits for it, and a distant daemon adds its round-trip time. A daemon
// with an overdue answer gets no further queries. A daemon whose queries have failed is retried
// with one query at a time, after a pause that doubles with each further failure while other
// daemons answer. The class does no I/O: the caller reports which queries were sent and answered,
// and when. Its times exclude those in which the caller did not process answers.
//
// This handles the overload case in which a burst of urgent work has queries that take milliseconds
// while wide gangs have queries that take most of a second.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cranberrydock::fleet {

class query_router {
public:
    // Sets the daemons that can send queries. Keeps the state of the daemons that remain.
    void set_daemons(const std::set<std::string>& names);

    // How many queries may be sent now.
    query_budget budget(base::time_point now) const;

    // Returns the daemon that is expected to receive the answer first. Long queries avoid the
    // nearest daemons, which are reserved for short queries. Requires at least one daemon.
    std::string select(base::time_point now, milliseconds service_time, bool is_long) const;

    // The timeout of a query that the daemon sends now.
    milliseconds timeout(const std::string& name, base::time_point now,
                         milliseconds service_time) const;

    using query_number = std::uint64_t;
    // Records that the daemon sends a query now. The returned number goes into query_completed().
    query_number query_sent(const std::string& name, base::time_point now,
                            milliseconds service_time);
    // `succeeded`: an answer was received before the timeout.
    void query_completed(const std::string& name, query_number number, base::time_point now,
                         bool succeeded);
    // The query timed out while the caller was late itself, so an answer may have been missed.
    void query_missed(const std::string& name, query_number number, base::time_point now);

private:
    struct open_query {
        base::time_point sent_at;
        base::time_point answer_expected_at;
        milliseconds service_time{0};
        bool was_alone = false;  // no other query was open, so its time gives the round trip
    };
    struct daemon_state {
        std::map<query_number, open_query> open_queries;
        base::time_point service_free_at{};  // when all open queries are expected to be handled
        base::duration round_trip{0};        // owner to daemon to service, and back
        bool has_round_trip = false;
        int failures = 0;  // consecutive
        int missed = 0;    // since the last answer
        base::time_point avoid_until{};
    };

    // Removes the query; empty if the daemon does not have it open.
    std::optional<open_query> take_query(const std::string& name, query_number number,
                                         base::time_point now);
    static bool usable(const daemon_state& daemon, base::time_point now);
    static base::time_point expected_answer_time(const daemon_state& daemon, base::time_point now,
                                                 milliseconds service_time);
    std::set<std::string> usable_daemons(base::time_point now) const;
    // The subset of `names` with the shortest round trips, which long queries avoid.
    std::set<std::string> reserved_for_short(const std::set<std::string>& names) const;

    std::map<std::string, daemon_state> daemons_;
    query_number last_query_ = 0;
    base::time_point last_answer_{};  // through any daemon
};

}  // namespace cranberrydock::fleet
