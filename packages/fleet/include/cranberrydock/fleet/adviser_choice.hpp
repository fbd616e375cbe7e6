// Which daemon asks a placement question. The adviser's service answers each daemon's questions one
// after another, so a short question behind a long one waits for it, and a far daemon costs the way
// to it and back. A daemon whose answer is overdue is asked nothing more, and one that has failed
// is tried with single questions, ever more rarely. Pure: the caller tells what was asked and
// answered, and when.
//
// Answers overload: a burst of urgent work whose questions take milliseconds, while wide gangs ask
// questions that take most of a second.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cranberrydock::fleet {

class adviser_choice {
public:
    // The daemons that can ask; what is known of those that stay is kept.
    void set_advisers(const std::set<std::string>& names);

    adviser_room room(base::time_point now) const;

    // The daemon that is expected to have the answer first; long questions leave the nearest
    // daemons to short ones. Needs at least one daemon.
    std::string choose(base::time_point now, milliseconds service_time, bool is_long) const;

    // How long the daemon may take for the question before it counts as failed.
    milliseconds patience(const std::string& name, base::time_point now,
                          milliseconds service_time) const;

    using question_number = std::uint64_t;
    question_number asked(const std::string& name, base::time_point now, milliseconds service_time);
    void answered(const std::string& name, question_number question, base::time_point now,
                  bool worked);

private:
    struct open_question {
        base::time_point asked;
        base::time_point expected;  // the answer
        milliseconds service_time{0};
        bool alone = false;  // nothing else was open: its time tells how far the daemon is
    };
    struct adviser {
        std::map<question_number, open_question> open;
        base::time_point free_from{};  // when the service is expected to have answered all of these
        base::duration round_trip{0};  // to the daemon, from there to the service, and back
        bool measured = false;
        int failures = 0;  // in a row
        base::time_point avoid_until{};
    };

    static bool usable(const adviser& one, base::time_point now);
    static base::time_point expected_answer(const adviser& one, base::time_point now,
                                            milliseconds service_time);
    std::set<std::string> usable_names(base::time_point now) const;
    // Of these the nearest, which long questions leave alone.
    std::set<std::string> kept_for_short(const std::set<std::string>& names) const;

    std::map<std::string, adviser> advisers_;
    question_number last_question_ = 0;
};

}  // namespace cranberrydock::fleet
