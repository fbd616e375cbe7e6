// Encodes the record of VMs.
#include <cranberrydock/fleet/vm_record.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>

namespace cranberrydock::fleet {

using nlohmann::json;

namespace {

constexpr std::size_t key_bytes = sizeof(std::int64_t);
constexpr int byte_bits = 8;

void append_key(std::vector<std::uint8_t>& out, std::int64_t key) {
    for (std::size_t n = 0; n < key_bytes; ++n) {
        out.push_back(
            static_cast<std::uint8_t>(static_cast<std::uint64_t>(key) >> (n * byte_bits)));
    }
}

std::int64_t read_key(const std::vector<std::uint8_t>& keys, std::size_t from) {
    std::uint64_t out = 0;
    for (std::size_t n = 0; n < key_bytes; ++n) {
        out |= static_cast<std::uint64_t>(keys[from + n]) << (n * byte_bits);
    }
    return static_cast<std::int64_t>(out);
}

std::size_t part_of(vm_key vm) {
    return static_cast<std::uint64_t>(vm.value()) % vm_record_parts;
}

}  // namespace

vm_set_digest vm_record::digest() const {
    std::uint64_t hash = 0;
    for (const auto& it : vms_) {
        hash ^= static_cast<std::uint64_t>(it.first.value());
    }
    return {vms_.size(), hash};
}

// A part is a list of capacities, each with the keys of the VMs that have it.
std::vector<std::string> encode_vm_record(const vm_record& record) {
    using capacity_fields = std::array<std::int64_t, 3>;
    std::vector<std::map<capacity_fields, std::vector<std::uint8_t>>> parts(vm_record_parts);
    for (const auto& it : record.vms()) {
        const resources& capacity = it.second.capacity;
        auto& keys = parts[part_of(it.first)][{capacity.cores.value(), capacity.memory.value(),
                                               capacity.accelerators.value()}];
        append_key(keys, it.first.value());
        append_key(keys, it.second.address.value());
    }
    std::vector<std::string> out;
    out.reserve(parts.size());
    for (const auto& part : parts) {
        json groups = json::array();
        for (const auto& it : part) {
            groups.push_back({it.first, json::binary(it.second)});
        }
        const std::vector<std::uint8_t> buf = json::to_cbor(groups);
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
        for (const auto& part : parts) {
            for (const auto& it : json::from_cbor(part)) {
                const auto& capacity = it.at(0);
                recorded_vm vm;
                vm.capacity = {base::millicores(capacity.at(0).get<std::int64_t>()),
                               base::mebibytes(capacity.at(1).get<std::int64_t>()),
                               base::accelerator_count(capacity.at(2).get<std::int64_t>()),
                               {}};
                const auto& keys = it.at(1).get_binary();
                if (keys.size() % (2 * key_bytes) != 0) {
                    return std::nullopt;
                }
                for (std::size_t n = 0; n < keys.size(); n += 2 * key_bytes) {
                    vm.address = address_key(read_key(keys, n + key_bytes));
                    out.add(vm_key(read_key(keys, n)), vm);
                }
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
