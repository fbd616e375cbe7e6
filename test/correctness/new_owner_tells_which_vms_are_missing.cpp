// A new owner tells from its predecessor's record which VMs are missing. What is lost, unreadable
// or of an earlier version proves nothing, so that all VMs count as missing.
#include <cranberrydock/fleet/inherited_vms.hpp>

#include <gtest/gtest.h>

namespace {

using namespace cranberrydock;
using base::milliseconds;

constexpr std::int64_t capacity = 8'000;

fleet::vm_info vm(const std::string& name, const std::string& address) {
    fleet::vm_info out;
    out.id = fleet::vm_id(name);
    out.address = address;
    out.capacity.cores = base::millicores(capacity);
    return out;
}

bool no_own_leases(const fleet::vm_id& /*vm*/) {
    return true;
}

class missing_vms : public testing::Test {
public:
    missing_vms() {
        for (const auto& it : {first, second, third}) {
            record.add(it);
        }
    }

    // A new owner that finds the first VM, and another one in place of the others.
    fleet::inherited_vms owner(const std::optional<fleet::vm_record>& read) {
        fleet::inherited_vms out({3, record.digest(), {}}, leases, start);
        out.record_read(read);
        out.listed(first, start);
        out.listed(replacement, start);
        out.listed(vm("fourth", "d:1"), start);
        out.members_read();
        return out;
    }

    std::int64_t held_back(const fleet::inherited_vms& by) const {
        return by.missing_capacity(first.capacity, start).cores.value() / capacity;
    }

    const base::time_point start{std::chrono::seconds(100)};
    const fleet::inherited_leases leases{{}, start, milliseconds(6'500)};
    const fleet::vm_info first = vm("first", "a:1");
    const fleet::vm_info second = vm("second", "b:1");
    const fleet::vm_info third = vm("third", "c:1");
    const fleet::vm_info replacement = vm("second-next", "b:1");
    fleet::vm_record record;
};

TEST_F(missing_vms, are_counted_one_by_one) {
    const auto known = owner(record);
    EXPECT_EQ(known.unknown(start), fleet::vms_unknown::vms_missing);
    EXPECT_EQ(held_back(known), 2);
    EXPECT_EQ(held_back(owner(std::nullopt)), 3);
    EXPECT_EQ(owner(std::nullopt).record(), std::nullopt);
}

TEST_F(missing_vms, stay_on_record_until_leases_have_expired) {
    auto known = owner(record);
    ASSERT_TRUE(known.record());
    EXPECT_EQ(known.record()->vms().size(), 5U);
    const auto expired = start + milliseconds(6'500 + 4'888);
    for (const auto& it : {"first", "second-next", "fourth"}) {
        known.reported(fleet::vm_id(it), start, true);
    }
    const auto before = expired - milliseconds(200);
    EXPECT_FALSE(known.runs_known(before, before, no_own_leases));
    // A later owner may have extended a lease.
    EXPECT_FALSE(known.runs_known(expired, before, no_own_leases));
    EXPECT_TRUE(known.runs_known(expired, expired, no_own_leases));
    EXPECT_EQ(known.ended_by(), fleet::wait_ended_by::expiry);
    EXPECT_EQ(known.record()->vms().size(), 3U);
}

// An entry alone does not prove that the VM of that address has ended, nor does an answer from the
// entry's earlier address.
TEST_F(missing_vms, have_ended_only_if_another_vm_answers_at_their_address) {
    auto known = owner(record);
    const auto moved_at = start + milliseconds(100);
    known.listed(vm("fourth", third.address), moved_at);
    known.reported(fleet::vm_id("fourth"), start, true);
    EXPECT_EQ(held_back(known), 2);
    known.reported(replacement.id, start, true);
    EXPECT_EQ(held_back(known), 1);
    known.reported(fleet::vm_id("fourth"), moved_at, true);
    EXPECT_EQ(known.unknown(start), fleet::vms_unknown::nothing);
    known.reported(first.id, start, true);
    EXPECT_TRUE(known.runs_known(start, start, no_own_leases));
    EXPECT_EQ(known.ended_by(), fleet::wait_ended_by::reports);
}

TEST_F(missing_vms, of_changed_entry_are_not_on_record_before_next_renewal) {
    auto known = owner(record);
    const auto renewed = start + milliseconds(400);
    EXPECT_TRUE(known.is_on_record(first.id, renewed));
    known.listed(vm("first", "elsewhere:1"), renewed);
    EXPECT_FALSE(known.is_on_record(first.id, renewed));
    EXPECT_TRUE(known.is_on_record(first.id, renewed + milliseconds(400)));
}

TEST_F(missing_vms, are_not_told_from_incomplete_record) {
    auto parts = fleet::encode_vm_record(record);
    ASSERT_EQ(parts.size(), fleet::vm_record_parts);
    const auto decoded = fleet::decode_vm_record(parts);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->vms(), record.vms());
    const auto checksum = fleet::checksum_of(parts);
    for (auto& it : parts) {
        const std::string whole = it;
        it.clear();
        EXPECT_FALSE(fleet::decode_vm_record(parts));
        EXPECT_NE(fleet::checksum_of(parts), checksum);
        it = whole;
    }
}

// The record fits into one transaction and its parts into rows (docs/CAPACITY.md: 37,000 workers).
TEST_F(missing_vms, of_largest_fleet_fit_on_record) {
    constexpr int vms = 37'000;
    constexpr std::size_t row_bytes = 65'536;
    constexpr std::size_t transaction_bytes = 700'000;
    for (int i = 0; i < vms; ++i) {
        record.add(vm("vm-" + std::to_string(i), "address-" + std::to_string(i)));
    }
    std::size_t bytes = row_bytes;
    const auto parts = fleet::encode_vm_record(record);
    for (const auto& it : parts) {
        EXPECT_LE(it.size(), row_bytes);
        bytes += it.size();
    }
    EXPECT_LE(bytes, transaction_bytes);
    EXPECT_EQ(fleet::decode_vm_record(parts)->vms(), record.vms());
}

// Rolling upgrade: an earlier version neither writes nor keeps the checksum, and reads a row with
// it.
TEST_F(missing_vms, are_not_told_from_row_of_earlier_version) {
    fleet::owner_record row;
    row.holder = "daemon";
    row.vm_set = record.digest();
    EXPECT_FALSE(fleet::decode_owner(fleet::encode_owner(row))->vm_record_checksum);
    row.vm_record_checksum = 7;
    EXPECT_EQ(fleet::decode_owner(fleet::encode_owner(row))->vm_record_checksum, 7U);
    EXPECT_EQ(fleet::decode_owner(fleet::encode_owner(row))->vm_set, record.digest());
}

TEST_F(missing_vms, have_digest_of_earlier_versions) {
    fleet::vm_set_digest digest;
    for (const auto& it : {first, second, third}) {
        digest.add(it.id);
    }
    EXPECT_EQ(record.digest(), digest);
}

// Guards against a task that runs in two places (TWICE): its VM answers, so that its lease is
// extended, but the report is held back while the owner's row does not show the VM.
TEST_F(missing_vms, do_not_hide_leases_that_this_owner_has_extended) {
    auto known = owner(record);
    const auto expired = start + milliseconds(6'500 + 4'888);
    for (const auto& it : {"first", "second-next", "fourth"}) {
        known.unresponsive(fleet::vm_id(it));
    }
    const auto not_first = [&](const fleet::vm_id& it) { return it != first.id; };
    EXPECT_FALSE(known.runs_known(expired, expired, not_first));
    EXPECT_TRUE(known.runs_known(expired, expired, no_own_leases));
}

TEST_F(missing_vms, vm_that_shrinks_stays_on_record_with_what_it_had) {
    auto known = owner(record);
    const auto later = start + milliseconds(100);
    auto resized = first;
    resized.capacity.cores = base::millicores(capacity / 2);
    known.listed(resized, later);
    EXPECT_TRUE(known.is_on_record(first.id, later));
    EXPECT_EQ(known.record()->vms().at(fleet::key_of(first.id)).capacity, first.capacity);
    resized.capacity.cores = base::millicores(capacity * 2);
    known.listed(resized, later);
    EXPECT_FALSE(known.is_on_record(first.id, later)) << "the record shows less than it has";
}

TEST_F(missing_vms, drained_vm_is_not_on_record) {
    auto known = owner(record);
    auto leaving = first;
    leaving.leaving = true;
    known.listed(leaving, start);
    known.drained(first.id, true, start);
    EXPECT_EQ(known.record()->vms().count(fleet::key_of(first.id)), 0U);
    const auto later = start + milliseconds(100);
    known.drained(first.id, false, later);
    EXPECT_EQ(known.record()->vms().count(fleet::key_of(first.id)), 1U);
    EXPECT_FALSE(known.is_on_record(first.id, later)) << "the store does not show it again yet";
    known.drained(first.id, true, later);
    known.listed(first, later);
    EXPECT_EQ(known.record()->vms().count(fleet::key_of(first.id)), 1U);
}

}  // namespace
