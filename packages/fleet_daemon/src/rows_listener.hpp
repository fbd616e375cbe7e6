// A table_listener that passes the events of a table_follower to functions.
#pragma once

#include <cranberrydock/fleet_daemon/table_follower.hpp>

#include <functional>
#include <utility>
#include <vector>

namespace cranberrydock::fleet_daemon::detail {

class rows_listener final : public table_listener {
public:
    using rows = std::vector<fleet::stored_row>;

    rows_listener(
        std::function<void(const rows&)> table, std::function<void(const rows&)> changes,
        std::function<void()> current = [] {}, std::function<void()> refuse_unreadable = [] {})
        : table_(std::move(table)),
          changes_(std::move(changes)),
          current_(std::move(current)),
          unreadable_(std::move(refuse_unreadable)) {}

    void on_table(const rows& all) override { table_(all); }
    void on_changes(const rows& changed) override { changes_(changed); }
    void on_up_to_date() override { current_(); }
    void on_unavailable() override { unreadable_(); }

private:
    std::function<void(const rows&)> table_;
    std::function<void(const rows&)> changes_;
    std::function<void()> current_;
    std::function<void()> unreadable_;
};

}  // namespace cranberrydock::fleet_daemon::detail
