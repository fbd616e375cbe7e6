// A daemon's row in the store.
#include "daemon_record.hpp"

#include <sstream>

namespace cranberrydock::fleet_daemon::detail {

std::string encode_daemon(const daemon_record& record) {
    return record.address.text() + " " + record.run + " " + std::to_string(record.cores) + " " +
           record.zone.str();
}

daemon_record decode_daemon(const std::string& value) {
    std::istringstream in(value);
    std::string address;
    daemon_record out;
    in >> address >> out.run >> out.cores;
    std::string zone;
    in >> zone;
    out.zone = fleet::zone_name(zone);
    out.address = net::parse_endpoint(address);
    return out;
}

bool began_later(const std::string& earlier, const std::string& later) {
    return earlier.size() == later.size() ? earlier < later : earlier.size() < later.size();
}

}  // namespace cranberrydock::fleet_daemon::detail
