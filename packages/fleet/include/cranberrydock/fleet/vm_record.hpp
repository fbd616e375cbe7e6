// The VMs on record at an owner: those on which it, or an owner before it, may have started tasks.
// A new owner compares them one by one with the VMs that it finds. The record is stored in a fixed
// number of parts, each in a row of its own, so that a change rewrites only the parts that it
// affects.
#pragma once

#include <cranberrydock/fleet/ownership.hpp>
#include <cranberrydock/fleet/vm_control.hpp>
#include <cranberrydock/fleet/vm_key.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::fleet {

struct recorded_vm {
    resources capacity;
    address_key address;

    friend bool operator==(const recorded_vm& a, const recorded_vm& b) {
        return a.capacity == b.capacity && a.address == b.address;
    }
};

class vm_record {
public:
    void add(const vm_info& vm) { vms_[key_of(vm.id)] = {vm.capacity, key_of_address(vm.address)}; }
    void add(vm_key vm, const recorded_vm& facts) { vms_[vm] = facts; }
    const std::map<vm_key, recorded_vm>& vms() const { return vms_; }
    // The digest of the VMs, as an owner without the record computes it.
    vm_set_digest digest() const;

private:
    std::map<vm_key, recorded_vm> vms_;
};

constexpr std::size_t vm_record_parts = 16;

// The values of the record's rows, `vm_record_parts` of them.
std::vector<std::string> encode_vm_record(const vm_record& record);
// Empty if a part is missing or can't be decoded.
std::optional<vm_record> decode_vm_record(const std::vector<std::string>& parts);
// Identifies the record in the owner's row.
std::uint64_t checksum_of(const std::vector<std::string>& parts);

}  // namespace cranberrydock::fleet
