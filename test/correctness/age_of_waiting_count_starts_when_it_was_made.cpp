// The row of the owner contains a count of waiting jobs. The age of the count runs from the
// earliest point in time at which it can have been made, regardless of when the row was last
// written or read.
#include <cranberrydock/fleet/ownership.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cranberrydock;

class waiting_count : public testing::Test {
public:
    static fleet::owner_record row(std::optional<std::int64_t> number, int fencing_token = 3) {
        fleet::owner_record out;
        out.holder = "vm-2";
        out.process_run = "7";
        out.token = fleet::fencing_token(fencing_token);
        if (number) {
            out.waiting_jobs = fleet::waiting_job_counts{
                fleet::fencing_token(3), *number, {{fleet::queue_name("q"), 9}}};
        }
        return out;
    }

    void read(const fleet::owner_record& record) {
        // Encodes and decodes the record, as in a round trip through the store.
        daemon.row_read(fleet::decode_owner(fleet::encode_owner(record)),
                        fleet::store_version(++version), now);
    }

    void pass(base::milliseconds time) { now += time; }

    static constexpr base::milliseconds interval{400};
    base::time_point now{std::chrono::seconds(50)};
    std::int64_t version = 0;
    fleet::ownership daemon{"vm-1", "100", {}, {}};
};

TEST_F(waiting_count, survives_encoding) {
    read(row(4));
    ASSERT_TRUE(daemon.record().waiting_jobs);
    EXPECT_EQ(daemon.record().waiting_jobs->sequence, 4);
    EXPECT_EQ(daemon.record().waiting_jobs->jobs.at(fleet::queue_name("q")), 9);
}

TEST_F(waiting_count, is_written_in_compatible_format) {
    for (const auto& record : {row(4), row(std::nullopt)}) {
        const auto encoded = nlohmann::json::from_cbor(fleet::encode_owner(record));
        ASSERT_TRUE(encoded.contains("waiting"));
        for (const auto& it : encoded.at("waiting").items()) {
            EXPECT_TRUE(it.value().is_number_integer()) << it.key();
        }
    }
}

TEST_F(waiting_count, is_absent_in_record_of_earlier_version) {
    auto encoded = nlohmann::json::from_cbor(fleet::encode_owner(row(4)));
    encoded.erase("count");
    const auto buf = nlohmann::json::to_cbor(encoded);
    const auto decoded = fleet::decode_owner({buf.begin(), buf.end()});
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->holder, "vm-2");
    EXPECT_FALSE(decoded->waiting_jobs);
}

TEST_F(waiting_count, has_unknown_age_at_first_read) {
    read(row(4));
    EXPECT_EQ(daemon.counted_after(), std::nullopt);
}

// The owner counts before it writes, and the write may take seconds. The count is still newer than
// the replaced version, because the owner had read that version before it counted.
TEST_F(waiting_count, is_newer_than_replaced_version) {
    read(row(4));
    pass(interval);
    daemon.row_unchanged(now);
    const auto last_read_before_change = now;
    pass(interval);
    read(row(5));
    pass(interval);
    daemon.row_unchanged(now);
    pass(interval);
    read(row(6));
    EXPECT_EQ(daemon.counted_after(), last_read_before_change);
}

TEST_F(waiting_count, has_unknown_age_when_replacing_first_read) {
    read(row(4));
    pass(interval);
    daemon.row_unchanged(now);
    pass(interval);
    read(row(5));
    EXPECT_EQ(daemon.counted_after(), std::nullopt);
}

TEST_F(waiting_count, may_date_from_start_of_store_outage) {
    read(row(4));
    const auto before_outage = now;
    daemon.store_unreadable();
    pass(interval);
    read(row(5));
    pass(interval);
    read(row(6));
    EXPECT_EQ(daemon.counted_after(), before_outage);
}

TEST_F(waiting_count, ages_across_renewals_and_takeovers) {
    read(row(4));
    const auto first_read = now;
    pass(interval);
    read(row(5));
    pass(interval);
    read(row(6));
    pass(interval);
    read(row(6));
    pass(interval);
    read(row(6, 4));
    EXPECT_EQ(daemon.counted_after(), first_read);
}

TEST_F(waiting_count, of_this_daemon_dates_from_its_write) {
    read(row(4));
    pass(interval);
    const auto sent = now;
    pass(interval);
    daemon.written(fleet::store_version(++version), row(5), sent);
    EXPECT_EQ(daemon.counted_after(), sent);
}

TEST_F(waiting_count, is_absent_without_a_count) {
    read(row(4));
    pass(interval);
    read(row(5));
    read(row(std::nullopt));
    EXPECT_EQ(daemon.counted_after(), std::nullopt);
    EXPECT_FALSE(daemon.record().waiting_jobs);
}

}  // namespace
