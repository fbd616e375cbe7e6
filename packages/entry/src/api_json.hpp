// Creates the JSON bodies of responses to callers and operators (docs/API.md).
#pragma once

#include <cranberrydock/base/work.hpp>
#include <cranberrydock/entry/daemon_interfaces.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::entry {

std::string accepted_json(const base::work& spec);
std::string answered_json(const base::work& spec, const base::work_answered& outcome);
std::string job_json(const base::job_view& job);
// The job, with the verdict on its last request through this entry if there is one.
std::string explain_json(const base::job_view& job,
                         const std::optional<mesh::latency_verdict>& verdict);
std::string jobs_json(const std::vector<base::job_view>& jobs);
std::string cells_json(const std::vector<cell_status>& cells, const std::vector<link_view>& links);
std::string vms_json(const std::vector<cell::vm_view>& vms);
std::string promises_json(const std::vector<cell::broken_promise>& promises);
std::string newest_version_json(const version_document& version);
std::string versions_json(const std::vector<version_document>& versions);

}  // namespace cranberrydock::entry
