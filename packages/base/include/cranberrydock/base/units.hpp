// Quantities with units, and the resource amounts that a task requests or a VM provides.
#pragma once

#include <cranberrydock/base/strong_type.hpp>

#include <algorithm>
#include <chrono>

namespace cranberrydock::base {

using millicores = strong_number<struct millicores_tag>;
using mebibytes = strong_number<struct mebibytes_tag>;
using accelerator_count = strong_number<struct accelerator_count_tag>;
using slot_count = strong_number<struct slot_count_tag>;  // the unit of a team's upper limit
using byte_count = strong_number<struct byte_count_tag>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An amount of each resource. A task occupies at least one slot.
struct resources {
    millicores cores{0};
    mebibytes memory{0};
    accelerator_count accelerators{0};
    slot_count slots{0};

    resources& operator+=(const resources& other) {
        cores += other.cores;
        memory += other.memory;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }
    resources& operator-=(const resources& other) {
        cores -= other.cores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }
    friend resources operator+(resources a, const resources& b) { return a += b; }
    friend resources operator-(resources a, const resources& b) { return a -= b; }
    friend bool operator==(const resources& a, const resources& b) {
        return a.cores == b.cores && a.memory == b.memory && a.accelerators == b.accelerators &&
               a.slots == b.slots;
    }
    friend bool operator!=(const resources& a, const resources& b) { return !(a == b); }
};

// Whether `need` is at most `available` for every resource.
inline bool fits(const resources& need, const resources& available) {
    return need.cores <= available.cores && need.memory <= available.memory &&
           need.accelerators <= available.accelerators && need.slots <= available.slots;
}

// The maximum of both amounts for each resource.
inline resources max_of(const resources& a, const resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

}  // namespace cranberrydock::base
