// Quantities with their units, and the amounts of several resources that a task asks for or a VM
// has.
#pragma once

#include <cranberrydock/base/strong_type.hpp>

#include <algorithm>
#include <chrono>

namespace cranberrydock::base {

using millicores = strong_number<struct millicores_tag>;
using mebibytes = strong_number<struct mebibytes_tag>;
using accelerator_count = strong_number<struct accelerator_count_tag>;
using slot_count = strong_number<struct slot_count_tag>;  // what a team's upper limit is stated in
using byte_count = strong_number<struct byte_count_tag>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Amounts of every resource. A task occupies at least one slot.
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

// Whether `need` fits into `room` in every dimension.
inline bool fits(const resources& need, const resources& room) {
    return need.cores <= room.cores && need.memory <= room.memory &&
           need.accelerators <= room.accelerators && need.slots <= room.slots;
}

// The larger of the two in each dimension.
inline resources max_of(const resources& a, const resources& b) {
    return {std::max(a.cores, b.cores), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

}  // namespace cranberrydock::base
