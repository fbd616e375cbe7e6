// Loading: what an owner has to know before it decides.
#include "owner_state.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace cranberrydock::steward {
namespace {

constexpr base::milliseconds store_timeout{1'000};
constexpr base::milliseconds retry_pause{100};
// The store is asked for changes of the jobs each 0.7 s; an answer counts from when it was asked.
constexpr base::milliseconds jobs_current_for{2'000};

}  // namespace

void owner_task::state::load() {
    members.start();
    for (const auto& it : layout.parts()) {
        fence_part(it);
    }
}

void owner_task::state::fence_part(const fleet::part_name& part) {
    const auto row = fence_row(part);
    const auto again = [this, part] {
        retries.push_back(loop.after(retry_pause, [this, part] { fence_part(part); }));
    };
    const auto put = [this, part, row, again](fleet::store_version version) {
        fleet::row_transaction what;
        what.conditions.push_back({row, version});
        what.puts.push_back({row, std::to_string(owner.value())});
        store.commit(what, store_timeout, alive.guard([this, part, again](const auto& answer) {
            if (!answer) {
                again();
                return;
            }
            parts[part].fence_version = *answer;
            if (++parts_fenced == layout.parts().size()) {
                // No other owner writes progress any more.
                read_progress();
                jobs.start();
            }
        }));
    };
    store.read(row.table, row.part, row.name, 1, store_timeout,
               alive.guard([this, row, put, again](const auto& read) {
                   if (!read) {
                       again();
                       return;
                   }
                   const bool exists =
                       !read->rows.empty() && read->rows.front().address.name == row.name;
                   if (exists && std::atoll(read->rows.front().value.c_str()) > owner.value()) {
                       rights.superseded("fence row");
                       return;
                   }
                   put(exists ? read->rows.front().version : fleet::store_version(0));
               }));
}

// Reads the progress of every part before the jobs themselves.
void owner_task::state::read_progress() {
    struct reading {
        fleet::part_name part;
        fleet::row_name from;
    };
    constexpr std::size_t rows_per_read = 500;
    const auto read_from = std::make_shared<std::function<void(reading)>>();
    const std::weak_ptr<std::function<void(reading)>> weak = read_from;
    *read_from = [this, weak](const reading& at) {
        const auto self = weak.lock();
        store.read(
            progress_table, at.part, at.from, rows_per_read, store_timeout,
            alive.guard([this, self, at](const auto& read) {
                if (!read) {
                    retries.push_back(loop.after(retry_pause, [self, at] { (*self)(at); }));
                    return;
                }
                for (const auto& it : read->rows) {
                    const fleet::job_id id(it.address.name.str());
                    progress_rows.insert(id);
                    const auto found = fleet::decode_progress(it.value);
                    if (!found) {
                        spdlog::error("event=row_unreadable table=progress row={} error=\"{}\"",
                                      id.str(), found.error());
                    } else {
                        progress.emplace(id, *found);
                    }
                }
                if (read->more && !read->rows.empty()) {
                    (*self)({at.part, fleet::row_name(read->rows.back().address.name.str() + "!")});
                } else if (++parts_read == layout.parts().size()) {
                    progress_known();
                }
            }));
    };
    for (const auto& it : layout.parts()) {
        (*read_from)({it, {}});
    }
}

void owner_task::state::take_job(const fleet::stored_row& row, bool loaded) {
    const fleet::job_id id(row.address.name.str());
    const bool known_to_earlier =
        !may_start_known && !(new_jobs_after && row.version > *new_jobs_after);
    const bool inherited = loaded || known_to_earlier;
    const auto found = fleet::decode_job(id, row.value);
    if (!found) {
        spdlog::error("event=row_unreadable table=jobs row={} error=\"{}\"", id.str(),
                      found.error());
        return;
    }
    const auto saved = progress.find(id);
    if (found->kind == fleet::job_row_kind::submitted) {
        if (row.version.value() > 0 && endings.count(id) == 0) {
            submitted_versions[id] = row.version;
        }
        scheduler.job_submitted(found->job, saved == progress.end() ? nullptr : &saved->second,
                                inherited, now());
        return;
    }
    // Of a job that is not known: an earlier owner has not seen the cancellation through, or the
    // news of its submission comes later. What runs of it is stopped when it is found, and the job
    // gets its end, so that it is not begun any more.
    scheduler.job_submitted(found->job, nullptr, inherited, now());
    scheduler.job_cancelled(id, now());
}

void owner_task::state::progress_known() {
    progress_read = true;
    if (read_jobs) {
        const auto rows_found = std::move(*read_jobs);
        read_jobs.reset();
        on_job_table(rows_found);
    }
}

void owner_task::state::on_job_table(const std::vector<fleet::stored_row>& rows_found) {
    if (!progress_read) {
        read_jobs = rows_found;
        return;
    }
    const bool first = !jobs_known;
    for (const auto& it : rows_found) {
        if (!it.removed) {
            take_job(it, first);
        }
    }
    jobs_known = true;
    if (first) {
        spdlog::info("event=owner_loaded fence={} jobs={} took_ms={}", owner.value(),
                     rows_found.size(),
                     std::chrono::duration_cast<base::milliseconds>(clock.now() - begun).count());
    }
    progress.clear();
    const auto early = std::move(early_reports);
    early_reports.clear();
    for (const auto& it : early) {
        on_report(it.first, it.second.report, it.second.asked);
    }
    wake();
}

bool owner_task::state::jobs_current() const {
    return jobs_known && clock.now() - jobs.as_of() < jobs_current_for;
}

void owner_task::state::on_job_changes(const std::vector<fleet::stored_row>& rows_found) {
    if (read_jobs) {
        read_jobs->insert(read_jobs->end(), rows_found.begin(), rows_found.end());
        return;
    }
    for (const auto& it : rows_found) {
        if (!it.removed) {
            take_job(it, false);
        }
    }
    wake();
}

void owner_task::state::take_member(const fleet::vm_id& id, const std::string& value) {
    const auto facts = rows.read_member(id, value);
    if (!facts) {
        spdlog::warn("event=member_unreadable vm={} error=\"{}\"", id.str(), facts.error());
        return;
    }
    largest_vm = max_of(largest_vm, facts->capacity);
    labels.insert(facts->labels.begin(), facts->labels.end());
    scheduler.vm_seen(*facts);
    auto& session = sessions[id];
    if (session) {
        session->update(*facts);
        return;
    }
    spdlog::info("event=vm_seen vm={} address={} zone={} leaving={}", id.str(), facts->address,
                 facts->zone.str(), facts->leaving);
    session = std::make_unique<vm_session>(loop, vms, *facts, owner, settings.session, *this);
    session->start();
}

void owner_task::state::on_member_table(const std::vector<fleet::stored_row>& rows_found) {
    std::set<fleet::vm_id> listed;
    for (const auto& it : rows_found) {
        const fleet::vm_id id(it.address.name.str());
        listed.insert(id);
        take_member(id, it.value);
    }
    if (!members_known) {
        members_known = true;
        members_read = clock.now();
    }
    for (const auto& it : sessions) {
        if (listed.count(it.first) == 0) {
            it.second->unlisted();
        }
    }
    wake();
}

void owner_task::state::on_member_changes(const std::vector<fleet::stored_row>& rows_found) {
    for (const auto& it : rows_found) {
        const fleet::vm_id id(it.address.name.str());
        const auto session = sessions.find(id);
        if (!it.removed) {
            take_member(id, it.value);
        } else if (session != sessions.end()) {
            session->second->unlisted();
        }
    }
    wake();
}

}  // namespace cranberrydock::steward
