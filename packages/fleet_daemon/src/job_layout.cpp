// The tables and rows of the daemons in the store.
#include <cranberrydock/fleet_daemon/job_layout.hpp>

#include <xxhash.h>

#include <charconv>

namespace cranberrydock::fleet_daemon {

const fleet::table_name job_table("jobs");
const fleet::table_name progress_table("progress");
const fleet::table_name ended_table("ended");
const fleet::table_name fleet_table("fleet");
const fleet::table_name fencing_token_table("fences");
const fleet::table_name vm_record_table("vm_record");

namespace {

const std::string daemon_prefix = "daemon-";
constexpr char block_separator = '.';
constexpr std::size_t max_partitions = 10'000;  // more are taken for an invalid value

fleet::partition_name numbered_partition(std::size_t n) {
    return fleet::partition_name("p" + std::to_string(n));
}

}  // namespace

fleet::partition_name job_layout::partition_of(const fleet::job_id& job) const {
    return numbered_partition(XXH64(job.str().data(), job.str().size(), 0) % partition_count_);
}

std::vector<fleet::partition_name> job_layout::partitions() const {
    std::vector<fleet::partition_name> out;
    for (std::size_t n = 0; n < partition_count_; ++n) {
        out.push_back(numbered_partition(n));
    }
    return out;
}

fleet::row_address job_layout::job_row(const fleet::job_id& job) const {
    return {job_table, partition_of(job), fleet::row_name(job.str())};
}

fleet::row_address job_layout::progress_row(const fleet::job_id& job) const {
    return {progress_table, partition_of(job), fleet::row_name(job.str())};
}

fleet::row_address job_layout::block_row(const fleet::job_id& job,
                                         const fleet::block_ref& block) const {
    return {progress_table, partition_of(job),
            fleet::row_name(job.str() + block_separator + fleet::to_string(block))};
}

progress_row_name parse_progress_row(const fleet::row_name& row) {
    const auto at = row.str().find(block_separator);
    const auto block =
        at == std::string::npos ? std::nullopt : fleet::parse_block_ref(row.str().substr(at + 1));
    return {fleet::job_id(block ? row.str().substr(0, at) : row.str()), block};
}

fleet::row_address job_layout::ended_row(const fleet::job_id& job) const {
    return {ended_table, partition_of(job), fleet::row_name(job.str())};
}

std::string encode_layout(const job_layout& layout) {
    return std::to_string(layout.partition_count());
}

job_layout decode_layout(const std::string& value) {
    std::size_t count = 0;
    const auto read = std::from_chars(value.data(), value.data() + value.size(), count);
    return read.ec == std::errc() && count <= max_partitions ? job_layout(count) : job_layout();
}

fleet::row_address layout_row() {
    return {fleet_table, fleet::partition_name(""), fleet::row_name("layout")};
}

fleet::row_address owner_row() {
    return {fleet_table, fleet::partition_name(""), fleet::row_name("owner")};
}

fleet::row_address vm_record_row(std::size_t part) {
    return {vm_record_table, owner_row().partition, fleet::row_name(std::to_string(part))};
}

fleet::row_address fencing_token_row(const fleet::partition_name& partition) {
    return {fencing_token_table, partition, fleet::row_name("fence")};
}

fleet::row_address daemon_row(const std::string& vm_name) {
    return {fleet_table, fleet::partition_name(""), fleet::row_name(daemon_prefix + vm_name)};
}

std::string vm_of_daemon_row(const fleet::row_name& row) {
    return row.str().compare(0, daemon_prefix.size(), daemon_prefix) == 0
               ? row.str().substr(daemon_prefix.size())
               : std::string();
}

}  // namespace cranberrydock::fleet_daemon
