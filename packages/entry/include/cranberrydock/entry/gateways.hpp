// What the entry needs of the rest of the daemon, as interfaces: the configuration in force, the
// way to the owners of cells, and what operators ask about.
#pragma once

#include <cranberrydock/base/work.hpp>
#include <cranberrydock/cell/cell_machine.hpp>
#include <cranberrydock/config/configuration.hpp>
#include <cranberrydock/mesh/link_blame.hpp>

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::entry {

// The configuration in force at this daemon, and whether it can show that it is the newest.
class configuration_source {
public:
    virtual ~configuration_source() = default;
    virtual config::configuration_ptr current() const = 0;  // null before the first version
    virtual bool fresh() const = 0;
};

struct routed_outcome {
    base::work_outcome outcome;
    std::vector<base::trace_step> trace;
};

using outcome_callback = std::function<void(routed_outcome)>;

struct job_question {
    base::team_id team;
    base::job_id job;
    bool cancel = false;
};

using job_callback = std::function<void(tl::expected<base::job_view, base::refusal>)>;

struct job_page {
    base::team_id team;
    base::job_id after;
    std::size_t limit = 0;
};

using page_callback = std::function<void(std::vector<base::job_view>)>;

// Brings work to the owner of its home cell, wherever that is, and its outcome back. Callbacks come
// once, on the entry's loop.
class work_router {
public:
    virtual ~work_router() = default;
    virtual void submit(const base::work& what, outcome_callback done) = 0;
    virtual void ask(const job_question& what, job_callback done) = 0;
    // Jobs in the cells that this daemon owns.
    virtual void list(const job_page& page, page_callback done) = 0;
    // What to blame for the job's last request through this daemon; nothing when it has none.
    virtual std::optional<mesh::verdict> explain(const base::job_id& job) const = 0;
};

struct patch_request {
    base::config_version base;
    std::string patch;  // RFC 7396
    std::string author;
};

struct patch_refusal {
    base::refusal why;
    base::config_version current;  // of a conflict
    base::findings findings;       // of an invalid patch
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
    virtual void patch(const patch_request& what, patch_callback done) = 0;
    virtual version_document newest() const = 0;
    // Versions greater than `after`, in order, at most `limit`.
    virtual void list(base::config_version after, std::size_t limit, versions_callback done) = 0;
};

struct cell_status {
    base::cell_id cell;
    base::daemon_id owner;  // empty: none is known
    base::epoch epoch;
    bool here = false;  // this daemon owns it
};

struct link_view {
    base::daemon_id peer;
    bool up = false;
    base::microseconds round_trip{0};
};

using vms_callback = std::function<void(std::vector<cell::vm_view>)>;
using promises_callback = std::function<void(std::vector<cell::broken_promise>)>;

// What operators see of the cluster from this daemon.
class cluster_view {
public:
    virtual ~cluster_view() = default;
    virtual std::vector<cell_status> cells() const = 0;
    virtual std::vector<link_view> links() const = 0;
    virtual void vms(vms_callback done) = 0;
    virtual void drain(const base::vm_id& vm, bool drain) = 0;
    virtual void promises(promises_callback done) = 0;
    // Whether the balancer may send new callers here.
    virtual bool ready() const = 0;
};

}  // namespace cranberrydock::entry
