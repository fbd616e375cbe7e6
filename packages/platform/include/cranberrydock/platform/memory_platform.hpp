// A whole platform in memory, with faults to order: table service, object store and member list.
// Used by `cranberrydock --platform=memory`, by tests, and by the stand-in server.
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

// What goes wrong. Nothing does by default.
struct platform_faults {
    bool down = false;  // every call gives unavailable, and nothing is written
    // Every call takes effect only after so long; a caller that gave up may find it written later.
    base::milliseconds slow{0};
    base::milliseconds slow_answer{0};  // and its answer comes so much later still
    // So many of the next commits give answer_lost: first those that are applied all the same, then
    // those that are not. every_commit: all of them from now on.
    std::int64_t lose_applied = 0;
    std::int64_t lose_unapplied = 0;
    // Besides, this many of 1,000 commits give answer_lost, about half of them applied.
    int lose_permille = 0;
    std::uint32_t seed = 1;  // of those
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

// The state behind any number of the services made below. Safe to use from any thread. Its calls
// take effect at once; the services add the delays.
class memory_platform {
public:
    // `clock` must outlive it; it times how the member list lags.
    explicit memory_platform(const base::clock& clock);

    void set_faults(const platform_faults& faults);
    platform_faults faults() const;
    platform_counters counters() const;

    // The member list as it truly is from now on; readers see it after `lag`.
    void set_members(std::vector<member> members, base::milliseconds lag);
    // Adds the members or replaces those of the same id.
    void put_members(const std::vector<member>& members, base::milliseconds lag);
    void remove_members(const std::vector<base::vm_id>& ids, base::milliseconds lag);

    tl::expected<std::optional<row>, store_error> read(const row_key& key);
    tl::expected<std::vector<row>, store_error> scan(const row_key& prefix, const row_key& after,
                                                     std::size_t limit);
    tl::expected<commit_result, store_error> commit(const transaction& what);
    tl::expected<std::optional<std::string>, store_error> get(const object_name& name);
    tl::expected<void, store_error> put(const object_name& name, std::string content);
    tl::expected<std::vector<member>, store_error> read_members();

private:
    enum class commit_fate { as_asked, lost_applied, lost_unapplied };

    struct published_members {
        base::time_point visible_from;
        std::vector<member> members;
    };

    commit_fate draw_fate();
    void publish(std::vector<member> members, base::milliseconds lag);
    std::vector<member> true_members() const;

    const base::clock& clock_;
    mutable std::mutex mutex_;  // guards all below
    platform_faults faults_;
    platform_counters counters_;
    std::minstd_rand random_;
    memory_table table_;
    std::map<object_name, std::string> objects_;
    std::vector<published_members> published_;  // in the order of publishing; the last is true
};

// Services on `loop`, to be used and destroyed on its thread. Destroying one drops the answers that
// are still to come.
std::unique_ptr<table_service> make_memory_table_service(net::event_loop& loop,
                                                         std::shared_ptr<memory_platform> platform);
std::unique_ptr<object_store> make_memory_object_store(net::event_loop& loop,
                                                       std::shared_ptr<memory_platform> platform);
std::unique_ptr<member_list> make_memory_member_list(net::event_loop& loop,
                                                     std::shared_ptr<memory_platform> platform);

}  // namespace cranberrydock::platform
