// Encodes the owner's row, and decides on takeovers and renewals.
#include <cranberrydock/fleet/ownership.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace cranberrydock::fleet {

using nlohmann::json;

namespace {

json encode_job_counts(const std::map<queue_name, std::int64_t>& jobs) {
    json out = json::object();
    for (const auto& it : jobs) {
        out[it.first.str()] = it.second;
    }
    return out;
}

bool is_same_count(const waiting_job_counts& a, const waiting_job_counts& b) {
    return a.counted_by == b.counted_by && a.sequence == b.sequence;
}

}  // namespace

void vm_set_digest::add(const vm_id& vm) {
    ++count_;
    hash_ ^= XXH64(vm.str().data(), vm.str().size(), 0);
}

std::string encode_owner(const owner_record& record) {
    json overloaded = json::object();
    for (const auto& it : record.overloaded) {
        overloaded[it.first.str()] = it.second.count();
    }
    json labels = json::array();
    for (const auto& it : record.labels) {
        labels.push_back(it.str());
    }
    // Earlier versions require the field "waiting".
    json out = {{"holder", record.holder},
                {"waiting", record.waiting_jobs ? encode_job_counts(record.waiting_jobs->jobs)
                                                : json::object()},
                {"labels", std::move(labels)},
                {"vms", record.vm_count},
                {"run", record.process_run},
                {"address", record.address},
                {"fence", record.token.value()},
                {"earlier_ended", record.earlier_owners_ended},
                {"overloaded_ms", std::move(overloaded)},
                {"largest_cores", record.largest_vm.cores.value()},
                {"largest_memory", record.largest_vm.memory.value()},
                {"largest_accelerators", record.largest_vm.accelerators.value()}};
    if (record.vm_set) {
        out["vm_set"] = {{"count", record.vm_set->count()}, {"hash", record.vm_set->hash()}};
    }
    if (record.vm_record_checksum) {
        out["vm_rows"] = *record.vm_record_checksum;
    }
    if (record.waiting_jobs) {
        out["count"] = {{"by", record.waiting_jobs->counted_by.value()},
                        {"number", record.waiting_jobs->sequence}};
    }
    const std::vector<std::uint8_t> buf = json::to_cbor(out);
    return {buf.begin(), buf.end()};
}

std::optional<owner_record> decode_owner(const std::string& value) {
    try {
        const json fields = json::from_cbor(value);
        owner_record out;
        out.holder = fields.at("holder").get<std::string>();
        out.process_run = fields.at("run").get<std::string>();
        // Earlier versions do not write the address.
        out.address = fields.value("address", std::string());
        out.token = fencing_token(fields.at("fence").get<std::int64_t>());
        // Earlier versions do not write which count it is.
        if (fields.contains("count")) {
            waiting_job_counts count;
            count.counted_by = fencing_token(fields.at("count").at("by").get<std::int64_t>());
            count.sequence = fields.at("count").at("number").get<std::int64_t>();
            for (const auto& it : fields.at("waiting").items()) {
                count.jobs[queue_name(it.key())] = it.value().get<std::int64_t>();
            }
            out.waiting_jobs = std::move(count);
        }
        for (const auto& it : fields.at("overloaded_ms").items()) {
            out.overloaded[queue_name(it.key())] = milliseconds(it.value().get<std::int64_t>());
        }
        out.earlier_owners_ended = fields.value("earlier_ended", false);
        out.vm_count = fields.value("vms", std::size_t{0});
        // Earlier versions do not write the set.
        if (fields.contains("vm_set")) {
            out.vm_set = vm_set_digest(fields.at("vm_set").at("count").get<std::size_t>(),
                                       fields.at("vm_set").at("hash").get<std::uint64_t>());
        }
        if (fields.contains("vm_rows")) {
            out.vm_record_checksum = fields.at("vm_rows").get<std::uint64_t>();
        }
        for (const auto& it : fields.value("labels", json::array())) {
            out.labels.insert(vm_label(it.get<std::string>()));
        }
        out.largest_vm.cores = base::millicores(fields.value("largest_cores", std::int64_t{0}));
        out.largest_vm.memory = base::mebibytes(fields.value("largest_memory", std::int64_t{0}));
        out.largest_vm.accelerators =
            base::accelerator_count(fields.value("largest_accelerators", std::int64_t{0}));
        return out;
    } catch (const std::exception&) {
        return std::nullopt;  // the caller logs the row
    }
}

owner_record unknown_owner(const owner_record& last) {
    owner_record out;
    out.holder = "unknown";
    out.process_run = "unknown";
    out.token = last.token;
    out.largest_vm = last.largest_vm;
    out.labels = last.labels;
    out.vm_count = last.vm_count;
    return out;
}

ownership::ownership(std::string holder, std::string run, std::string address,
                     const ownership_settings& settings)
    : holder_(std::move(holder)),
      run_(std::move(run)),
      address_(std::move(address)),
      settings_(settings) {}

void ownership::row_read(const std::optional<owner_record>& record, store_version version,
                         base::time_point now) {
    if (row_known_ && version <= version_) {
        row_unchanged(now);
        return;
    }
    row_known_ = true;
    version_ = version;
    // The write may have been in transit for long, but its writer had read the version before it.
    set_record(record.value_or(owner_record{}), version_written_after_);
    version_written_after_ = last_read_;
    last_read_ = now;
    unchanged_since_ = now;
    unchanged_until_ = now;
    const bool is_own = record_.holder == holder_ && record_.process_run == run_;
    const bool is_deferred = now < takeovers_deferred_until_;
    if (owns_ != is_own && !retired_ && !(is_own && is_deferred)) {
        owns_ = is_own;
        if (is_own && first_write_sent_) {
            // A write whose outcome was unknown has made this daemon the owner.
            last_renewal_sent_ = *first_write_sent_;
        }
    }
    first_write_sent_.reset();
}

// `count_made_after`: if the record has a new count, the count was made after this point in time.
void ownership::set_record(const owner_record& record,
                           std::optional<base::time_point> count_made_after) {
    if (!record.waiting_jobs) {
        counted_after_.reset();
    } else if (!record_.waiting_jobs ||
               !is_same_count(*record.waiting_jobs, *record_.waiting_jobs)) {
        counted_after_ = count_made_after;
    }
    record_ = record;
}

void ownership::row_unchanged(base::time_point now) {
    last_read_ = now;
    if (!unchanged_since_) {
        unchanged_since_ = now;
    }
    unchanged_until_ = now;
}

void ownership::store_unreadable() {
    unchanged_since_.reset();
    unchanged_until_.reset();
}

ownership::step ownership::next(base::time_point now) {
    if (writing_ || retired_ || !row_known_ || now < next_write_) {
        return step::none;
    }
    if (owns_) {
        writing_ = true;
        first_write_sent_ = first_write_sent_.value_or(now);
        next_write_ = now + settings_.renewal_interval;
        return step::renew;
    }
    const bool is_own_predecessor = record_.holder == holder_ && record_.process_run != run_;
    if (now < takeovers_deferred_until_) {
        return step::none;
    }
    const bool ended = is_own_predecessor || record_.process_run == ended_run_;
    auto wait = stagger_;
    if (!record_.holder.empty() && !ended) {
        wait += record_.process_run == refusing_run_       ? settings_.takeover_after_refusal
                : record_.process_run == unresponsive_run_ ? settings_.takeover_after_unresponsive
                                                           : settings_.takeover_after;
    }
    if (!unchanged_since_ || !unchanged_until_) {
        return step::none;
    }
    const auto observed_until = std::min(now, *unchanged_until_ + settings_.max_read_gap);
    if (observed_until - *unchanged_since_ < wait) {
        return step::none;
    }
    writing_ = true;
    first_write_sent_ = first_write_sent_.value_or(now);
    const bool is_replaced = is_own_predecessor && record_.address == address_;
    previous_owner_ended_ =
        record_.holder.empty() || is_replaced || record_.process_run == ended_run_;
    return step::acquire;
}

void ownership::written(store_version version, const owner_record& record, base::time_point sent) {
    writing_ = false;
    row_known_ = true;
    if (version < version_) {
        return;  // the change feed has already delivered a later write of another daemon
    }
    version_ = version;
    first_write_sent_.reset();
    set_record(record, sent);
    version_written_after_ = sent;
    last_read_ = sent;
    owns_ = record.holder == holder_ && record.process_run == run_ && !retired_;
    last_renewal_sent_ = sent;
    unchanged_since_ = sent;
    unchanged_until_ = sent;
}

void ownership::failed(base::time_point now) {
    constexpr milliseconds retry_pause{100};
    writing_ = false;
    next_write_ = now + retry_pause;
}

bool ownership::may_issue_commands(base::time_point now) const {
    return owns_ && now - last_renewal_sent_ < settings_.validity;
}

}  // namespace cranberrydock::fleet
