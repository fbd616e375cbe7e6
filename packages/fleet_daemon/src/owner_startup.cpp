// Loading: reads the state that an owner needs before its first decision.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cranberrydock::fleet_daemon {
namespace {

constexpr base::milliseconds store_timeout{1'000};
constexpr base::milliseconds retry_pause{100};
// Changes of the jobs are queried every 0.7 s. The age of an answer counts from when its query was
// sent.
constexpr base::milliseconds max_jobs_age{2'000};

}  // namespace

void owner_task::state::load() {
    read_vm_record();
    members.start();
    for (const auto& it : layout.partitions()) {
        fencing_token_partition(it);
    }
}

void owner_task::state::fencing_token_partition(const fleet::partition_name& partition) {
    const auto row = fencing_token_row(partition);
    const auto retry = [this, partition] {
        retries.push_back(
            loop.after(retry_pause, [this, partition] { fencing_token_partition(partition); }));
    };
    const auto write_token = [this, partition, row, retry](fleet::store_version version) {
        fleet::row_transaction transaction;
        transaction.conditions.push_back({row, version});
        transaction.puts.push_back({row, std::to_string(owner.value())});
        store.commit(transaction, store_timeout,
                     alive.guard([this, partition, retry](const auto& answer) {
                         if (!answer) {
                             retry();
                             return;
                         }
                         partitions[partition].fencing_token_row_version = *answer;
                         if (++partitions_fenced == layout.partitions().size()) {
                             // No previous owner can write progress any more.
                             read_progress();
                             jobs.start();
                         }
                     }));
    };
    store.read(row.table, row.partition, row.name, 1, store_timeout,
               alive.guard([this, row, write_token, retry](const auto& read) {
                   if (!read) {
                       retry();
                       return;
                   }
                   const bool exists =
                       !read->rows.empty() && read->rows.front().address.name == row.name;
                   if (exists && std::atoll(read->rows.front().value.c_str()) > owner.value()) {
                       rights.on_superseded("fencing token row");
                       return;
                   }
                   write_token(exists ? read->rows.front().version : fleet::store_version(0));
               }));
}

// Reads the progress of every partition before the jobs themselves.
void owner_task::state::read_progress() {
    struct read_position {
        fleet::partition_name partition;
        fleet::row_name from;
    };
    constexpr std::size_t rows_per_read = 500;
    const auto read_from = std::make_shared<std::function<void(read_position)>>();
    // The function holds itself only weakly, so that it is released once all reads are done.
    const std::weak_ptr<std::function<void(read_position)>> weak = read_from;
    *read_from = [this, weak](const read_position& position) {
        const auto self = weak.lock();
        store.read(progress_table, position.partition, position.from, rows_per_read, store_timeout,
                   alive.guard([this, self, position](const auto& read) {
                       if (!read) {
                           retries.push_back(
                               loop.after(retry_pause, [self, position] { (*self)(position); }));
                           return;
                       }
                       for (const auto& it : read->rows) {
                           load_progress_row(it);
                       }
                       if (read->more && !read->rows.empty()) {
                           (*self)({position.partition,
                                    fleet::row_name(read->rows.back().address.name.str() + "!")});
                       } else if (++partitions_read == layout.partitions().size()) {
                           on_progress_loaded();
                       }
                   }));
    };
    for (const auto& it : layout.partitions()) {
        (*read_from)({it, {}});
    }
}

void owner_task::state::load_progress_row(const fleet::stored_row& row) {
    const auto name = parse_progress_row(row.address.name);
    const auto log_unreadable = [&row](const std::string& error) {
        spdlog::error("event=row_unreadable table=progress row={} error=\"{}\"",
                      row.address.name.str(), error);
    };
    if (name.block) {
        block_rows[name.job].insert(*name.block);
        auto block = fleet::decode_block(row.value);
        if (!block) {
            log_unreadable(block.error());
            return;
        }
        auto& entry = progress[name.job];
        if (progress_rows.count(name.job) == 0) {
            entry.state = fleet::job_state::active;  // its blocks are written first
        }
        entry.blocks.emplace(*name.block, std::move(*block));
        return;
    }
    progress_rows.insert(name.job);
    auto decoded = fleet::decode_progress(row.value);
    if (!decoded) {
        log_unreadable(decoded.error());
        return;
    }
    auto& entry = progress[name.job];
    decoded->blocks = std::move(entry.blocks);
    entry = std::move(*decoded);
}

void owner_task::state::remove_blocks_of_ended_jobs(
    const std::vector<fleet::stored_row>& open_jobs) {
    std::unordered_set<fleet::job_id> open;
    for (const auto& it : open_jobs) {
        open.insert(fleet::job_id(it.address.name.str()));
    }
    for (auto it = block_rows.begin(); it != block_rows.end();) {
        if (open.count(it->first) > 0) {
            ++it;
            continue;
        }
        for (const auto& block : it->second) {
            partitions[layout.partition_of(it->first)].stale_rows.push_back(
                layout.block_row(it->first, block));
        }
        it = block_rows.erase(it);
    }
}

void owner_task::state::read_vm_record() {
    if (!settings.expected_vm_record) {
        inherited_vms.record_read(std::nullopt);
        return;
    }
    const fleet::row_address first = vm_record_row(0);
    store.read(first.table, first.partition, {}, fleet::vm_record_parts, store_timeout,
               alive.guard([this](const auto& read) {
                   if (read) {
                       on_vm_record(read->rows);
                   } else {
                       retries.push_back(loop.after(retry_pause, [this] { read_vm_record(); }));
                   }
               }));
}

void owner_task::state::on_vm_record(const std::vector<fleet::stored_row>& rows_found) {
    std::vector<std::string> parts(fleet::vm_record_parts);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const auto row = std::find_if(rows_found.begin(), rows_found.end(), [&](const auto& it) {
            return it.address.name == vm_record_row(part).name;
        });
        parts[part] = row == rows_found.end() ? std::string() : row->value;
    }
    // Rows that the owner's row does not name are older than it.
    const bool matches = fleet::checksum_of(parts) == *settings.expected_vm_record;
    const auto record = matches ? fleet::decode_vm_record(parts) : std::nullopt;
    inherited_vms.record_read(record);
    spdlog::info("event=vm_record_read fence={} rows={} matches={} readable={} vms={} missing={}",
                 owner.value(), rows_found.size(), matches, record.has_value(),
                 record ? record->vms().size() : 0, inherited_vms.missing_count(clock.now()));
    wake();
}

void owner_task::state::add_job(const fleet::stored_row& row, bool loaded) {
    const fleet::job_id id(row.address.name.str());
    const auto known = submitted_versions.find(id);
    if (known != submitted_versions.end() && known->second == row.version) {
        return;  // both a notification and the change feed deliver the row
    }
    const auto decoded = fleet::decode_job(id, row.value);
    if (!decoded) {
        spdlog::error("event=row_unreadable table=jobs row={} error=\"{}\"", id.str(),
                      decoded.error());
        return;
    }
    const fleet::fencing_token accepted_under = decoded->job.accepted_under;
    if (accepted_under > owner) {
        // A newer owner may start the job.
        rights.on_superseded("job " + id.str());
        return;
    }
    const bool inherited = accepted_under < owner && (loaded || !inherited_known);
    if (inherited && !inherited_known) {
        inherited_jobs.insert(id);
    }
    if (!inherited_known && job_log_limiter.allows(clock.now())) {
        spdlog::info("event=job_found job={} accepted_under={} fence={} inherited={}", id.str(),
                     accepted_under.value(), owner.value(), inherited);
    }
    const auto saved = progress.find(id);
    if (decoded->kind == fleet::job_row_kind::submitted) {
        if (row.version.value() > 0 && ended_statuses.count(id) == 0) {
            submitted_versions[id] = row.version;
        }
        scheduler.add_job(decoded->job, saved == progress.end() ? nullptr : &saved->second,
                          inherited, now());
        return;
    }
    if (decoded->kind == fleet::job_row_kind::withdrawn) {
        withdrawn_jobs.insert(id);
    }
    // The row says that the job was cancelled. The job may not be on record: a previous owner did
    // not complete the cancellation, or the row of its submission arrives later. Adding and
    // cancelling it here stops its runs when they are found, gives the job its end, and prevents it
    // from being started later.
    scheduler.add_job(decoded->job, nullptr, inherited, now());
    scheduler.cancel_job(id, now());
}

void owner_task::state::on_progress_loaded() {
    progress_loaded = true;
    if (early_job_rows) {
        const auto rows_found = std::move(*early_job_rows);
        early_job_rows.reset();
        on_job_table(rows_found);
    }
}

void owner_task::state::on_job_table(const std::vector<fleet::stored_row>& rows_found) {
    if (!progress_loaded) {
        early_job_rows = rows_found;
        return;
    }
    const bool first = !jobs_known;
    for (const auto& it : rows_found) {
        if (!it.removed) {
            add_job(it, first);
        }
    }
    jobs_known = true;
    if (first) {
        loaded_at = clock.now();
        remove_blocks_of_ended_jobs(rows_found);
        spdlog::info(
            "event=owner_loaded fence={} jobs={} took_ms={}", owner.value(), rows_found.size(),
            std::chrono::duration_cast<base::milliseconds>(clock.now() - started_at).count());
    }
    progress.clear();
    process_early_reports();
    wake();
}

bool owner_task::state::jobs_are_current() const {
    return jobs_known && clock.now() - jobs.as_of() < max_jobs_age;
}

void owner_task::state::on_job_changes(const std::vector<fleet::stored_row>& rows_found) {
    if (early_job_rows) {
        early_job_rows->insert(early_job_rows->end(), rows_found.begin(), rows_found.end());
        return;
    }
    for (const auto& it : rows_found) {
        if (!it.removed) {
            add_job(it, false);
        }
    }
    wake();
}

bool owner_task::state::add_member(const fleet::vm_id& id, const std::string& value) {
    const auto facts = rows.read_member(id, value);
    if (!facts) {
        metrics.count("cranberrydock_members_unreadable_total", "");
        if (unreadable_log_limiter.allows(clock.now())) {
            spdlog::warn("event=member_unreadable vm={} error=\"{}\"", id.str(), facts.error());
        }
        return false;
    }
    largest_vm = max_of(largest_vm, facts->capacity);
    labels.insert(facts->labels.begin(), facts->labels.end());
    scheduler.vm_listed(*facts);
    inherited_vms.listed(*facts, clock.now());
    auto& session = sessions[id];
    if (session) {
        session->update(*facts);
        return true;
    }
    spdlog::info("event=vm_seen vm={} address={} zone={} leaving={}", id.str(), facts->address,
                 facts->zone.str(), facts->leaving);
    session = std::make_unique<vm_session>(loop, vms, *facts, owner, settings.session, inherited,
                                           listening, *this);
    session->start();
    return true;
}

void owner_task::state::on_member_table(const std::vector<fleet::stored_row>& rows_found) {
    std::set<fleet::vm_id> listed;
    for (const auto& it : rows_found) {
        const fleet::vm_id id(it.address.name.str());
        if (add_member(id, it.value)) {
            listed.insert(id);
        }
    }
    if (!members_known) {
        members_known = true;
        rights.renew_soon();
    }
    for (const auto& it : sessions) {
        if (listed.count(it.first) == 0) {
            it.second->mark_unlisted();
        }
    }
    inherited_vms.members_read();
    wake();
}

void owner_task::state::on_member_changes(const std::vector<fleet::stored_row>& rows_found) {
    for (const auto& it : rows_found) {
        const fleet::vm_id id(it.address.name.str());
        const bool is_listed = !it.removed && add_member(id, it.value);
        const auto session = sessions.find(id);
        if (!is_listed && session != sessions.end()) {
            session->second->mark_unlisted();
        }
    }
    inherited_vms.members_read();
    wake();
}

}  // namespace cranberrydock::fleet_daemon
