// A daemon's row in the store: where its peers reach it, which run of it that is, and how strong
// its VM is.
#pragma once

#include <cranberrydock/fleet/work.hpp>
#include <cranberrydock/net/http.hpp>

#include <string>

namespace cranberrydock::steward::detail {

struct daemon_record {
    net::endpoint address;
    std::string run;
    double strength = 0;    // cores that it may use
    fleet::zone_name zone;  // empty: an earlier version has not told it
};

std::string encode_daemon(const daemon_record& record);
// Port 0: the row can't be read.
daemon_record decode_daemon(const std::string& value);

// Whether `later` is a run that began after `earlier`: runs are named by their start, so that a row
// that is older than the owner's is told apart.
bool began_later(const std::string& earlier, const std::string& later);

}  // namespace cranberrydock::steward::detail
