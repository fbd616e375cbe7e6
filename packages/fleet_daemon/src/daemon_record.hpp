// A daemon's row in the store: the address for its peers, its run, and the number of cores that it
// may use.
#pragma once

#include <cranberrydock/fleet/work.hpp>
#include <cranberrydock/net/http.hpp>

#include <string>

namespace cranberrydock::fleet_daemon::detail {

struct daemon_record {
    net::endpoint address;
    std::string run;        // names one process of the daemon
    double cores = 0;       // number of cores that it may use
    fleet::zone_name zone;  // empty if the row was written by a version without this field
};

std::string encode_daemon(const daemon_record& record);
// Returns a record with port 0 if the row is malformed.
daemon_record decode_daemon(const std::string& value);

// Whether the run `later` began after the run `earlier`. Runs are named by their start time, so
// that a daemon's row that is older than the owner's row can be recognized.
bool began_later(const std::string& earlier, const std::string& later);

}  // namespace cranberrydock::fleet_daemon::detail
