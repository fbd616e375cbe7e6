// A complete platform in memory with configurable faults: table service, object store and member
// list. Used by `cranberrydock --platform=memory`, by tests and by the stand-in server.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/platform/member_list.hpp>
#include <cranberrydock/platform/memory_table.hpp>
#include <cranberrydock/platform/object_store.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace cranberrydock::platform {

constexpr std::int64_t every_commit = -1;

// The faults to simulate; none by default.
struct platform_faults {
    bool unavailable = false;  // every call fails as unavailable and writes nothing
    // Delay before a call takes effect. The write of a caller that has timed out may be applied
    // later.
    base::milliseconds apply_delay{0};
    base::milliseconds answer_delay{0};  // further delay before the answer
    // The number of coming commits that fail as answer_lost: first those that are applied
    // nevertheless, then those that are not. every_commit makes all further commits fail.
    std::int64_t lost_applied_commits = 0;
    std::int64_t lost_unapplied_commits = 0;
    // In addition, this many of 1,000 commits fail as answer_lost; about half of them are applied.
    int lose_permille = 0;
    std::uint32_t seed = 1;  // of the random choice of those commits
};

struct platform_counters {
    std::int64_t reads = 0;
    std::int64_t scans = 0;
    std::int64_t commits = 0;
    std::int64_t conflicts = 0;
    std::int64_t object_gets = 0;
    std::int64_t object_puts = 0;
    std::int64_t member_reads = 0;
    std::int64_t bytes_written = 0;  // row values and objects
};

// The state that any number of the services below share. Thread-safe. Its calls take effect at
// once; the services add the delays.
class memory_platform {
public:
    // `clock` times the lag of the member list and must outlive the platform.
    explicit memory_platform(const base::clock& clock);

    void set_faults(const platform_faults& faults);
    platform_faults faults() const;
    platform_counters counters() const;

    // Replaces the member list. Readers see the change after `lag`.
    void set_members(std::vector<member> members, base::milliseconds lag);
    // Adds members, replacing those with the same ids.
    void put_members(const std::vector<member>& members, base::milliseconds lag);
    void remove_members(const std::vector<base::vm_id>& ids, base::milliseconds lag);

    tl::expected<std::optional<row>, store_error> read(const row_key& key);
    tl::expected<std::vector<row>, store_error> scan(const row_key& prefix, const row_key& after,
                                                     std::size_t limit);
    tl::expected<commit_result, store_error> commit(const transaction& changes);
    tl::expected<std::optional<std::string>, store_error> get(const object_name& name);
    tl::expected<void, store_error> put(const object_name& name, std::string content);
    tl::expected<std::vector<member>, store_error> read_members();

private:
    enum class commit_fate { normal, lost_applied, lost_unapplied };

    struct published_members {
        base::time_point visible_from;
        std::vector<member> members;
    };

    commit_fate draw_fate();
    void publish(std::vector<member> members, base::milliseconds lag);
    std::vector<member> current_members() const;

    const base::clock& clock_;
    mutable std::mutex mutex_;  // guards all members below
    platform_faults faults_;
    platform_counters counters_;
    std::minstd_rand random_;
    memory_table table_;
    std::map<object_name, std::string> objects_;
    std::vector<published_members> published_;  // in the order of publishing; the last is current
};

// Services on `loop`, to be used and destroyed on its thread. Destroying a service drops its
// pending answers.
std::unique_ptr<table_service> make_memory_table_service(net::event_loop& loop,
                                                         std::shared_ptr<memory_platform> platform);
std::unique_ptr<object_store> make_memory_object_store(net::event_loop& loop,
                                                       std::shared_ptr<memory_platform> platform);
std::unique_ptr<member_list> make_memory_member_list(net::event_loop& loop,
                                                     std::shared_ptr<memory_platform> platform);

}  // namespace cranberrydock::platform
