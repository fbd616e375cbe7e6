// Encodes and decodes the registry's rows as JSON.
#include <cranberrydock/cell/registry_rows.hpp>

#include "json_fields.hpp"

#include <limits>

namespace cranberrydock::cell {

namespace {

using detail::json_fields;
using detail::parse_object;
using nlohmann::json;

json to_json(const net::endpoint& address) {
    return {{"address", address.address}, {"port", address.port}};
}

net::endpoint read_endpoint(const json& object, const char* name, const json_fields& parent,
                            base::findings& faults) {
    const json missing = nullptr;
    const auto it = object.find(name);
    json_fields fields(it != object.end() ? *it : missing, parent.place_of(name), faults);
    net::endpoint result;
    result.address = fields.text("address");
    const auto port = fields.number("port");
    if (port < 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        faults.add({fields.place_of("port"), "0 to 65535", std::to_string(port), ""});
        return result;
    }
    result.port = static_cast<std::uint16_t>(port);
    return result;
}

template <typename Row>
tl::expected<Row, base::findings> result_of(Row row, const base::findings& faults) {
    if (!faults.empty()) {
        return tl::make_unexpected(faults);
    }
    return row;
}

}  // namespace

platform::row_key daemon_row_key(const base::daemon_id& id) {
    return platform::row_key(daemon_prefix + id.str());
}

platform::row_key cell_row_key(const base::cell_id& id) {
    return platform::row_key(cell_prefix + id.str());
}

std::string encode(const daemon_row& row) {
    const json object = {{"id", row.id.str()},
                         {"vm", row.vm.str()},
                         {"region", row.region.str()},
                         {"zone", row.zone.str()},
                         {"mesh_address", to_json(row.mesh_address)},
                         {"http_address", to_json(row.http_address)},
                         {"renewals", row.renewals},
                         {"stopping", row.stopping}};
    return object.dump();
}

std::string encode(const cell_row& row) {
    const json object = {{"id", row.id.str()},
                         {"owner", row.owner.str()},
                         {"epoch", row.epoch.value()},
                         {"address", to_json(row.address)},
                         {"offered_by", row.offered_by.str()}};
    return object.dump();
}

tl::expected<daemon_row, base::findings> decode_daemon_row(const std::string& text) {
    base::findings faults;
    const json object = parse_object(text, faults);
    json_fields fields(object, "", faults);
    daemon_row row;
    row.id = fields.id<base::daemon_id>("id");
    row.vm = fields.id<base::vm_id>("vm");
    row.region = fields.id<base::region_name>("region");
    row.zone = fields.id<base::zone_name>("zone");
    row.mesh_address = read_endpoint(object, "mesh_address", fields, faults);
    row.http_address = read_endpoint(object, "http_address", fields, faults);
    row.renewals = fields.number("renewals");
    row.stopping = fields.flag("stopping");
    return result_of(std::move(row), faults);
}

tl::expected<cell_row, base::findings> decode_cell_row(const std::string& text) {
    base::findings faults;
    const json object = parse_object(text, faults);
    json_fields fields(object, "", faults);
    cell_row row;
    row.id = fields.id<base::cell_id>("id");
    row.owner = fields.id<base::daemon_id>("owner");
    row.epoch = fields.count<base::epoch>("epoch");
    row.address = read_endpoint(object, "address", fields, faults);
    row.offered_by = fields.id<base::daemon_id>("offered_by");
    return result_of(std::move(row), faults);
}

}  // namespace cranberrydock::cell
