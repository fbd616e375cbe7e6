// A peer that accepts every call and answers none. Tests override the calls that they answer.
#pragma once

#include <cranberrydock/fleet_daemon/peer.hpp>

namespace cranberrydock::standins {

class unresponsive_peer : public fleet_daemon::peer {
public:
    void commit(const fleet::row_transaction& /*transaction*/, base::milliseconds /*timeout*/,
                fleet::commit_callback /*done*/) override {}
    void read(const fleet::table_name& /*table*/, const fleet::partition_name& /*part*/,
              const fleet::row_name& /*from*/, std::size_t /*limit*/,
              base::milliseconds /*timeout*/, fleet::read_callback /*done*/) override {}
    void follow(const fleet::table_name& /*table*/, fleet::store_version /*after*/,
                base::milliseconds /*wait*/, fleet::read_callback /*done*/) override {}
    void query(const fleet::placement_query& /*question*/, base::milliseconds /*timeout*/,
               fleet::placement_callback /*done*/) override {}
    void job_status(const fleet::job_id& /*job*/, base::milliseconds /*timeout*/,
                    fleet_daemon::status_callback /*done*/) override {}
    void probe(base::milliseconds /*timeout*/, fleet_daemon::probe_callback /*done*/) override {}
    void job_written(const fleet_daemon::written_job& /*job*/, base::milliseconds /*timeout*/,
                     std::function<void()> /*done*/) override {}
    void write_job(const fleet_daemon::delegated_job& /*job*/, base::milliseconds /*timeout*/,
                   fleet_daemon::write_callback /*done*/) override {}
    void exchange_commands(const fleet_daemon::command_batch& /*batch*/,
                           base::milliseconds /*timeout*/,
                           std::function<void(fleet_daemon::exchange_result)> /*done*/) override {}
    void follow_configuration(fleet::store_version /*after*/, base::milliseconds /*wait*/,
                              fleet::read_callback /*done*/) override {}
};

}  // namespace cranberrydock::standins
