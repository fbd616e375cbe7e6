// A cell's journal in the platform's table service.
#include "cell_journal.hpp"

#include <utility>

namespace cranberrydock::daemon {

cell_journal::cell_journal(const cell_start& /*start*/, net::event_loop& loop,
                           platform::table_service& /*table*/, const base::clock& /*clock*/,
                           journal_event_sink sink)
    : loop_(loop), sink_(std::move(sink)) {}

void cell_journal::read(journal_read_callback done) {
    soon_ = loop_.after(base::duration{0}, [done = std::move(done)] { done({}); });
}

void cell_journal::append(cell::record_id id, const cell::work_record& /*record*/) {
    loop_.post([this, id] { sink_(cell::record_failed{id, false}); });
}

}  // namespace cranberrydock::daemon
