// The public interface of the ownership state machine.
#include "ownership_machine.hpp"

namespace cranberrydock::cell {

ownership::ownership(const ownership_settings& settings)
    : machine_(std::make_unique<machine>(settings)) {}

ownership::~ownership() = default;
ownership::ownership(ownership&&) noexcept = default;
ownership& ownership::operator=(ownership&&) noexcept = default;

std::vector<ownership_effect> ownership::handle(const ownership_event& event,
                                                base::time_point now) {
    return machine_->handle(event, now);
}

bool ownership::may_place(const base::cell_id& cell, base::time_point now) const {
    return machine_->may_place(cell, now);
}

base::time_point ownership::placement_valid_until(const base::cell_id& cell) const {
    return machine_->placement_valid_until(cell);
}

}  // namespace cranberrydock::cell
