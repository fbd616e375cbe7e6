// Accounts for the VMs on which runs of previous owners can exist.
#include <cranberrydock/fleet/inherited_vms.hpp>

#include <algorithm>

namespace cranberrydock::fleet {
namespace {

// An owner sends each VM a new watch command within 0.7 s, and learns of a higher fencing token
// from the answer.
constexpr milliseconds previous_owner_detection_time{1'000};

}  // namespace

const char* to_string(vms_unknown reason) {
    switch (reason) {
        case vms_unknown::nothing:
            return "nothing";
        case vms_unknown::record_not_read:
            return "record_not_read";
        case vms_unknown::names_differ:
            return "names_differ";
        case vms_unknown::members_incomplete:
            return "members_incomplete";
        case vms_unknown::vms_missing:
            return "vms_missing";
    }
    return "";
}

const char* to_string(wait_ended_by reason) {
    return reason == wait_ended_by::reports ? "reports" : "expiry";
}

inherited_vms::inherited_vms(const previous_vms& previous, const inherited_leases& leases,
                             base::time_point owner_since)
    : previous_(previous), leases_(leases), owner_since_(owner_since) {}

void inherited_vms::record_read(const std::optional<vm_record>& record) {
    record_read_ = true;
    previous_record_ = record;
    ++revision_;
    if (!record) {
        return;
    }
    for (const auto& it : record->vms()) {
        if (listed_.count(it.first) == 0) {
            missing_.insert(it);
        }
    }
    for (const auto& it : vms_) {
        drop_replaced(it.second);
    }
}

void inherited_vms::listed(const vm_info& vm, base::time_point now) {
    const vm_key key = key_of(vm.id);
    listed_.insert(key);
    missing_.erase(key);
    const auto added = vms_.try_emplace(vm.id);
    vm_state& state = added.first->second;
    // A VM that has shrunk may still run what it was started with before.
    const recorded_vm facts{max_of(state.facts.capacity, vm.capacity), key_of_address(vm.address)};
    const bool is_elsewhere = added.second || state.facts.address != facts.address;
    const bool is_used_again = state.drained && !vm.leaving;
    state.drained &= vm.leaving;
    if (is_elsewhere || is_used_again || !(state.facts == facts)) {
        ++revision_;
        state.facts = facts;
        state.facts_since = now;
        state.answers_at_address &= !is_elsewhere;
    }
}

void inherited_vms::members_read() {
    ++revision_;
    members_read_ = true;
    const bool is_first_owner = previous_.count == 0 && !previous_.set;
    if (set_was_listed_ || is_first_owner) {
        set_was_listed_ = true;
        return;
    }
    vm_set_digest set;
    for (const auto& it : vms_) {
        set.add(it.first);
    }
    set_was_listed_ = set == previous_.set;
}

void inherited_vms::reported(const vm_id& vm, base::time_point requested_at,
                             bool lists_all_completions) {
    const auto it = vms_.find(vm);
    if (it == vms_.end()) {
        return;
    }
    it->second.reported = true;
    it->second.completions_known |= lists_all_completions;
    it->second.unresponsive = false;
    it->second.ended = false;
    it->second.answers_at_address = requested_at >= it->second.facts_since;
    drop_replaced(it->second);
}

void inherited_vms::drop_replaced(const vm_state& vm) {
    if (!vm.answers_at_address || vm.facts.address == address_key(0)) {
        return;
    }
    for (auto it = missing_.begin(); it != missing_.end();) {
        if (it->second.address != vm.facts.address) {
            ++it;
            continue;
        }
        it = missing_.erase(it);
        ++replaced_count_;
        ++revision_;
    }
}

void inherited_vms::unresponsive(const vm_id& vm) {
    const auto it = vms_.find(vm);
    if (it != vms_.end()) {
        it->second.unresponsive = true;
    }
}

void inherited_vms::ended(const vm_id& vm) {
    const auto it = vms_.find(vm);
    if (it != vms_.end()) {
        it->second.ended = true;
        it->second.reported = false;
        it->second.completions_known = false;
    }
}

void inherited_vms::report_outdated(const vm_id& vm) {
    const auto it = vms_.find(vm);
    if (it != vms_.end()) {
        it->second.reported = false;
        it->second.completions_known = false;
    }
}

void inherited_vms::gone(const vm_id& vm) {
    vms_.erase(vm);
    ++revision_;
}

void inherited_vms::drained(const vm_id& vm, bool is_drained, base::time_point now) {
    const auto it = vms_.find(vm);
    if (it == vms_.end() || it->second.drained == is_drained) {
        return;
    }
    it->second.drained = is_drained;
    ++revision_;
    if (!is_drained) {
        it->second.facts_since = now;  // nothing is started there before it is on record again
    }
}

bool inherited_vms::all_accounted(base::time_point now) const {
    return unknown(now) == vms_unknown::nothing;
}

vms_unknown inherited_vms::unknown(base::time_point now) const {
    if (!members_read_) {
        return vms_unknown::record_not_read;
    }
    if (previous_record_) {
        return missing_.empty() ? vms_unknown::nothing : vms_unknown::vms_missing;
    }
    if (!set_was_listed_) {
        return record_read_ ? vms_unknown::names_differ : vms_unknown::record_not_read;
    }
    return now >= previous_.members_complete_from ? vms_unknown::nothing
                                                  : vms_unknown::members_incomplete;
}

std::size_t inherited_vms::missing_count(base::time_point now) const {
    if (all_accounted(now)) {
        return 0;
    }
    if (previous_record_) {
        return missing_.size();
    }
    // If other VMs are listed in place of the missing ones, the number of those is not known.
    const std::size_t known = vms_.size() < previous_.count ? vms_.size() : 0;
    return previous_.count - known;
}

std::size_t inherited_vms::silent_count() const {
    return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](const auto& it) {
        return !it.second.reported && !it.second.ended;
    }));
}

std::size_t inherited_vms::partly_listed_count() const {
    return static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](const auto& it) {
        return it.second.reported && !it.second.completions_known;
    }));
}

resources inherited_vms::silent_capacity() const {
    resources out;
    for (const auto& it : vms_) {
        if (!it.second.reported && !it.second.ended) {
            out += it.second.facts.capacity;
        }
    }
    return out;
}

resources inherited_vms::missing_capacity(const resources& largest_vm, base::time_point now) const {
    if (all_accounted(now)) {
        return {};
    }
    resources out;
    if (previous_record_) {
        for (const auto& it : missing_) {
            out += it.second.capacity;
        }
        return out;
    }
    const auto missing = static_cast<std::int64_t>(missing_count(now));
    return {base::millicores(largest_vm.cores.value() * missing),
            base::mebibytes(largest_vm.memory.value() * missing),
            base::accelerator_count(largest_vm.accelerators.value() * missing),
            {}};
}

bool inherited_vms::can_hold_runs(const vm_id& vm) const {
    return !previous_record_ || previous_record_->vms().count(key_of(vm)) > 0;
}

template <typename Predicate>
bool inherited_vms::all_holders(const Predicate& predicate) const {
    return std::all_of(vms_.begin(), vms_.end(), [&](const auto& it) {
        return predicate(it.second) || !can_hold_runs(it.first);
    });
}

bool inherited_vms::starts_ended(base::time_point now) {
    if (starts_ended_ || !members_read_) {
        return starts_ended_;
    }
    const bool accounted = all_accounted(now);
    proofs_.all_reported = accounted && all_holders([](const vm_state& it) { return it.reported; });
    // A previous owner that can still reach one of the VMs that have reported has learned of this
    // owner by now. The incarnations of the remaining VMs have ended: there it could start a task
    // only if it were the first to reach the next incarnation.
    proofs_.others_have_ended =
        accounted && now - owner_since_ > previous_owner_detection_time &&
        all_holders([](const vm_state& it) { return it.reported || it.ended; });
    proofs_.commands_ended = leases_.commands_ended(now);
    starts_ended_ = proofs_.all_reported || proofs_.others_have_ended || proofs_.commands_ended;
    return starts_ended_;
}

bool inherited_vms::runs_known(base::time_point now, base::time_point renewal_sent,
                               const std::function<bool(const vm_id&)>& own_leases_expired) {
    if (ended_by_ || !starts_ended(now)) {
        return ended_by_.has_value();
    }
    if (all_accounted(now) &&
        all_holders([](const vm_state& it) { return it.completions_known || it.ended; })) {
        ended_by_ = wait_ended_by::reports;
    } else if (leases_.all_expired(renewal_sent) &&
               std::all_of(vms_.begin(), vms_.end(), [&](const auto& it) {
                   // A VM that answers may hold runs whose leases this owner has extended, and
                   // completions that it has not listed yet.
                   const vm_state& vm = it.second;
                   return vm.completions_known || !can_hold_runs(it.first) ||
                          (vm.unresponsive && own_leases_expired(it.first));
               })) {
        ended_by_ = wait_ended_by::expiry;
    }
    revision_ += ended_by_ ? 1 : 0;
    return ended_by_.has_value();
}

std::optional<vm_record> inherited_vms::record() const {
    const bool all_known = ended_by_ || previous_record_ || set_was_listed_;
    if (!members_read_ || !all_known) {
        return std::nullopt;
    }
    vm_record out;
    if (!ended_by_) {
        for (const auto& it : missing_) {
            out.add(it.first, it.second);
        }
    }
    for (const auto& it : vms_) {
        if (!it.second.drained) {
            out.add(key_of(it.first), it.second.facts);
        }
    }
    return out;
}

bool inherited_vms::is_on_record(const vm_id& vm, base::time_point renewal_sent) const {
    const auto it = vms_.find(vm);
    return it != vms_.end() && it->second.facts_since < renewal_sent;
}

}  // namespace cranberrydock::fleet
