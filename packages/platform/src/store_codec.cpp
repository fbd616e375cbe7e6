// Wire format of the table service and the member list.
#include <cranberrydock/platform/document.hpp>
#include <cranberrydock/platform/store_codec.hpp>

#include <event2/http.h>

#include <cstdlib>
#include <memory>

namespace cranberrydock::platform {
namespace {

using detail::binary;
using detail::object_reader;
using nlohmann::json;

// Decodes a CBOR object with `read` and returns its value or all faults.
template <typename Read>
auto decode_cbor(const std::string& bytes, Read read)
    -> tl::expected<decltype(read(std::declval<const object_reader&>())), base::findings> {
    const auto document = detail::from_cbor(bytes);
    if (!document) {
        return tl::unexpected(document.error());
    }
    base::findings faults;
    auto out = read(object_reader(*document, "", faults));
    return detail::value_or_findings(std::move(out), std::move(faults));
}

json document_of(const row& source) {
    return {{"key", source.key.str()},
            {"version", source.version.value()},
            {"value", binary(source.value)}};
}

row read_row(const object_reader& in) {
    return {in.id<row_key>("key"), in.number_of<row_version>("version"), in.bytes("value")};
}

std::vector<row> read_rows(const object_reader& in) {
    std::vector<row> out;
    for (const auto& it : in.objects("rows")) {
        out.push_back(read_row(it));
    }
    return out;
}

transaction read_transaction(const object_reader& in) {
    transaction out;
    for (const auto& it : in.objects("conditions")) {
        out.conditions.push_back({it.id<row_key>("key"), it.number_of<row_version>("version")});
    }
    for (const auto& it : in.objects("writes")) {
        row_write write{it.id<row_key>("key"), std::nullopt};
        if (it.has("value")) {
            write.value = it.bytes("value");
        }
        out.writes.push_back(std::move(write));
    }
    return out;
}

const std::vector<member_role> all_roles = {member_role::entry, member_role::worker,
                                            member_role::runner};
const std::vector<member_state> all_states = {member_state::live, member_state::leaving};

json document_of(const member& source) {
    return {{"id", source.id.str()},
            {"role", to_string(source.role)},
            {"state", to_string(source.state)},
            {"address", source.address.text()},
            {"region", source.region.str()},
            {"zone", source.zone.str()},
            {"rack", source.rack.str()},
            {"capacity", detail::document_of(source.capacity)}};
}

member read_member(const object_reader& in) {
    member out;
    out.id = in.id<base::vm_id>("id");
    out.role = in.word("role", all_roles);
    out.state = in.word("state", all_states);
    out.address = net::parse_endpoint(in.text("address"));
    if (out.address.port == 0) {
        in.add_fault("address", "ADDRESS:PORT");
    }
    out.region = in.id<base::region_name>("region");
    out.zone = in.id<base::zone_name>("zone");
    out.rack = in.id<base::rack_name>("rack");
    out.capacity = in.resources("capacity");
    return out;
}

}  // namespace

std::string to_string(member_role role) {
    switch (role) {
        case member_role::entry:
            return "entry";
        case member_role::worker:
            return "worker";
        case member_role::runner:
            return "runner";
    }
    return "worker";
}

std::string to_string(member_state state) {
    return state == member_state::live ? "live" : "leaving";
}

std::string encode(const row_key& key) {
    return detail::to_cbor({{"key", key.str()}});
}

std::string encode(const scan_request& request) {
    return detail::to_cbor({{"prefix", request.prefix.str()},
                            {"after", request.after.str()},
                            {"limit", request.limit}});
}

std::string encode(const transaction& changes) {
    json conditions = json::array();
    for (const auto& it : changes.conditions) {
        conditions.push_back({{"key", it.key.str()}, {"version", it.version.value()}});
    }
    json writes = json::array();
    for (const auto& it : changes.writes) {
        json write = {{"key", it.key.str()}};
        if (it.value) {
            write["value"] = binary(*it.value);
        }
        writes.push_back(std::move(write));
    }
    return detail::to_cbor({{"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

std::string encode(const std::optional<row>& found) {
    return encode(found ? std::vector<row>{*found} : std::vector<row>{});
}

std::string encode(const std::vector<row>& rows) {
    json list = json::array();
    for (const auto& it : rows) {
        list.push_back(document_of(it));
    }
    return detail::to_cbor({{"rows", std::move(list)}});
}

std::string encode(const commit_result& result) {
    json versions = json::array();
    for (const auto it : result.versions) {
        versions.push_back({{"version", it.value()}});
    }
    return detail::to_cbor({{"versions", std::move(versions)}});
}

std::string encode(const std::vector<member>& members) {
    json list = json::array();
    for (const auto& it : members) {
        list.push_back(document_of(it));
    }
    return json{{"members", std::move(list)}}.dump();
}

tl::expected<row_key, base::findings> decode_row_key(const std::string& bytes) {
    return decode_cbor(bytes, [](const object_reader& in) { return in.id<row_key>("key"); });
}

tl::expected<scan_request, base::findings> decode_scan_request(const std::string& bytes) {
    return decode_cbor(bytes, [](const object_reader& in) {
        return scan_request{in.id<row_key>("prefix"), in.id<row_key>("after"),
                            static_cast<std::size_t>(in.amount("limit"))};
    });
}

tl::expected<transaction, base::findings> decode_transaction(const std::string& bytes) {
    return decode_cbor(bytes, read_transaction);
}

tl::expected<std::optional<row>, base::findings> decode_row(const std::string& bytes) {
    return decode_cbor(bytes, [](const object_reader& in) {
        const auto rows = read_rows(in);
        return rows.empty() ? std::optional<row>{} : std::optional<row>{rows.front()};
    });
}

tl::expected<std::vector<row>, base::findings> decode_rows(const std::string& bytes) {
    return decode_cbor(bytes, read_rows);
}

tl::expected<commit_result, base::findings> decode_commit_result(const std::string& bytes) {
    return decode_cbor(bytes, [](const object_reader& in) {
        commit_result out;
        for (const auto& it : in.objects("versions")) {
            out.versions.push_back(it.number_of<row_version>("version"));
        }
        return out;
    });
}

tl::expected<std::vector<member>, base::findings> decode_members(const std::string& text) {
    const auto document = detail::from_json(text);
    if (!document) {
        return tl::unexpected(document.error());
    }
    base::findings faults;
    std::vector<member> out;
    for (const auto& it : object_reader(*document, "", faults).objects("members")) {
        out.push_back(read_member(it));
    }
    return detail::value_or_findings(std::move(out), std::move(faults));
}

std::string object_query(const object_name& name) {
    const std::unique_ptr<char, void (*)(void*)> encoded(
        evhttp_uriencode(name.str().data(), static_cast<ev_ssize_t>(name.str().size()), 0),
        &std::free);
    return std::string("name=") + encoded.get();
}

}  // namespace cranberrydock::platform
