// Interfaces of the daemon that the entry uses: the configuration in force, the routing of work to
// the owners of cells, and the state of the cluster that operators query.
#pragma once

#include <cranberrydock/base/work.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/mesh/latency_attribution.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::entry {

// The configuration in force at this daemon.
class configuration_source {
public:
    virtual ~configuration_source() = default;
    virtual config::configuration_ptr current() const = 0;  // null before the first version
    // Returns true if the last proof that current() was the newest version is recent enough for
    // work with a key (config::configuration_settings::freshness).
    virtual bool fresh() const = 0;
};

struct routed_outcome {
    base::work_outcome outcome;
    std::vector<base::trace_step> trace;
};

using outcome_callback = std::function<void(routed_outcome)>;

struct job_lookup {
    base::team_id team;
    base::job_id job;
    bool cancel = false;  // also cancels the job
};

using job_callback = std::function<void(tl::expected<base::job_view, base::refusal>)>;

struct job_page {
    base::team_id team;
    base::job_id after;
    std::size_t limit = 0;
};

using page_callback = std::function<void(std::vector<base::job_view>)>;

// Sends work to the daemon that owns its home cell, and returns the outcome. Each callback is
// called exactly once, on the event loop of the entry.
class work_router {
public:
    virtual ~work_router() = default;
    virtual void submit(const base::work& spec, outcome_callback done) = 0;
    virtual void query_job(const job_lookup& query, job_callback done) = 0;
    // Lists the team's jobs in the cells that this daemon owns.
    virtual void list(const job_page& page, page_callback done) = 0;
    // Explains the latency of the job's last request through this daemon. Returns nullopt when
    // there was no such request.
    virtual std::optional<mesh::latency_verdict> explain(const base::job_id& job) const = 0;
};

struct patch_request {
    base::config_version base;
    std::string patch;  // RFC 7396
    std::string author;
};

struct patch_refusal {
    base::refusal cause;
    base::config_version current;  // the newest version, if the patch is a conflict
    base::findings findings;       // if the patch is invalid
};

using patch_callback = std::function<void(tl::expected<base::config_version, patch_refusal>)>;

struct version_document {
    base::config_version version;
    std::string document;
    std::string author;
};

using versions_callback =
    std::function<void(tl::expected<std::vector<version_document>, base::refusal>)>;

// The chain of configuration versions.
class configuration_editor {
public:
    virtual ~configuration_editor() = default;
    virtual void patch(const patch_request& request, patch_callback done) = 0;
    virtual version_document newest() const = 0;
    // Lists versions greater than `after` in ascending order, at most `limit` of them.
    virtual void list(base::config_version after, std::size_t limit, versions_callback done) = 0;
};

struct cell_status {
    base::cell_id cell;
    base::daemon_id owner;  // empty: no owner known
    base::epoch epoch;
    bool owned_here = false;  // true if this daemon is the owner
};

struct link_view {
    base::daemon_id peer;
    bool up = false;
    base::microseconds round_trip{0};  // smoothed; 0 before the first measurement
};

using vms_callback = std::function<void(std::vector<cell::vm_view>)>;
using promises_callback = std::function<void(std::vector<cell::broken_promise>)>;

// The state of the cluster as seen by this daemon, for operators.
class cluster_view {
public:
    virtual ~cluster_view() = default;
    virtual std::vector<cell_status> cells() const = 0;
    virtual std::vector<link_view> links() const = 0;
    virtual void vms(vms_callback done) = 0;
    virtual void drain(const base::vm_id& vm, bool drain) = 0;
    virtual void promises(promises_callback done) = 0;
    // Returns true if the load balancer may send new callers to this daemon.
    virtual bool ready() const = 0;
};

}  // namespace cranberrydock::entry
