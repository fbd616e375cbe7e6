// A cell's journal in the platform's table service: what this owner's decider wants written down,
// and what earlier owners wrote.
#pragma once

#include <cranberrydock/base/clock.hpp>
#include <cranberrydock/cell/cell_messages.hpp>
#include <cranberrydock/net/event_loop.hpp>
#include <cranberrydock/platform/table_service.hpp>

#include "cell_host.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace cranberrydock::daemon {

using journal_event_sink = std::function<void(const cell::cell_event&)>;
using journal_read_callback = std::function<void(std::vector<cell::work_record>)>;

class cell_journal {
public:
    // `sink` gets record_durable and record_failed.
    cell_journal(const cell_start& start, net::event_loop& loop, platform::table_service& table,
                 const base::clock& clock, journal_event_sink sink);

    // Reads what earlier owners wrote, however long that takes.
    void read(journal_read_callback done);

    void append(cell::record_id id, const cell::work_record& record);

private:
    net::event_loop& loop_;
    journal_event_sink sink_;
    std::unique_ptr<net::timer> soon_;
};

}  // namespace cranberrydock::daemon
