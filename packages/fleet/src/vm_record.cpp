// Encodes the record of VMs.
#include <cranberrydock/fleet/vm_record.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace cranberrydock::fleet {

using nlohmann::json;

namespace {

constexpr int fields_per_vm = 5;

std::size_t part_of(vm_key vm) {
    return static_cast<std::uint64_t>(vm.value()) % vm_record_parts;
}

}  // namespace

vm_key key_of(const vm_id& vm) {
    return vm_key(static_cast<std::int64_t>(XXH64(vm.str().data(), vm.str().size(), 0)));
}

address_key key_of_address(const std::string& address) {
    return address.empty()
               ? address_key(0)
               : address_key(static_cast<std::int64_t>(XXH64(address.data(), address.size(), 0)));
}

vm_set_digest vm_record::digest() const {
    std::uint64_t hash = 0;
    for (const auto& it : vms_) {
        hash ^= static_cast<std::uint64_t>(it.first.value());
    }
    return {vms_.size(), hash};
}

std::vector<std::string> encode_vm_record(const vm_record& record) {
    std::vector<json> parts(vm_record_parts, json::array());
    for (const auto& it : record.vms()) {
        const resources& capacity = it.second.capacity;
        json& part = parts[part_of(it.first)];
        for (const std::int64_t field :
             {it.first.value(), it.second.address.value(), capacity.cores.value(),
              capacity.memory.value(), capacity.accelerators.value()}) {
            part.push_back(field);
        }
    }
    std::vector<std::string> out;
    out.reserve(parts.size());
    for (const auto& it : parts) {
        const std::vector<std::uint8_t> buf = json::to_cbor(it);
        out.emplace_back(buf.begin(), buf.end());
    }
    return out;
}

std::optional<vm_record> decode_vm_record(const std::vector<std::string>& parts) {
    if (parts.size() != vm_record_parts) {
        return std::nullopt;
    }
    try {
        vm_record out;
        for (const auto& it : parts) {
            const auto fields = json::from_cbor(it).get<std::vector<std::int64_t>>();
            if (fields.size() % fields_per_vm != 0) {
                return std::nullopt;
            }
            for (auto field = fields.begin(); field != fields.end(); field += fields_per_vm) {
                recorded_vm vm;
                vm.address = address_key(field[1]);
                vm.capacity = {base::millicores(field[2]),
                               base::mebibytes(field[3]),
                               base::accelerator_count(field[4]),
                               {}};
                out.add(vm_key(field[0]), vm);
            }
        }
        return out;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::uint64_t checksum_of(const std::vector<std::string>& parts) {
    std::uint64_t out = parts.size();
    for (const auto& it : parts) {
        out = XXH64(it.data(), it.size(), out);
    }
    return out;
}

}  // namespace cranberrydock::fleet
