// One version of the fleet's configuration: queues, services and customers.
#pragma once

#include <cranberrydock/fleet/work.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberrydock::fleet {

// The cost of a placement query to the advisor's service, and how long its tickets are valid.
struct placement_query_cost {
    milliseconds per_query{0};
    base::microseconds per_vm{0};
    milliseconds ticket_lifetime{0};
};

struct queue_config {
    queue_name name;
    std::string host;
    std::string prefix;  // of the request path, up to the job's id
    queue_terms terms;
    std::optional<placement_query_cost> query_cost;  // empty: tasks need no placement grant
    bool allows_anonymous = false;                   // requests need no key
};

struct service_config {
    service_name name;
    bool refuses_overcommit = false;  // its VMs reject tasks that exceed their capacity
};

struct customer_config {
    customer_name name;
    std::vector<std::string> keys;
    double share = 1.0;     // also the entitlement in jobs per second
    resources upper_limit;  // 0: no limit
};

struct fleet_configuration {
    base::config_version version;
    std::vector<queue_config> queues;
    std::map<service_name, service_config> services;
    std::map<customer_name, customer_config> customers;
    std::map<std::string, customer_name> customers_by_key;
    base::byte_count max_body{262'144};  // the default until a configuration is read

    // The queue whose prefix is the longest one that `path` starts with, or null if none matches.
    const queue_config* find_queue(std::string_view host, std::string_view path) const;
    // Null if there is no such queue.
    const queue_config* find_queue(const queue_name& name) const;
};

}  // namespace cranberrydock::fleet
