// The interface of cranberryctl's commands, and the functions that create them.
#pragma once

#include <cranberrydock/ctl/run.hpp>

#include "api_client.hpp"
#include "options.hpp"
#include "output.hpp"

#include <memory>
#include <string>
#include <vector>

namespace cranberrydock::ctl {

struct command_description {
    std::string name;       // one or two words
    std::string arguments;  // as in a usage line; empty when the command takes none
    std::string summary;
    std::vector<std::string> options;  // in addition to the common options
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
};

struct command_context {
    const options& settings;
    api_client& api;
    const output& out;
};

class command {
public:
    virtual ~command() = default;
    virtual command_description describe() const = 0;
    // The caller has checked the number of `arguments` against the description.
    virtual exit_code run(const std::vector<std::string>& arguments,
                          const command_context& context) const = 0;
};

using command_ptr = std::unique_ptr<command>;

command_ptr make_submit();
command_ptr make_job();
command_ptr make_jobs();
command_ptr make_cancel();
command_ptr make_explain();
command_ptr make_config_get();
command_ptr make_config_patch();
command_ptr make_config_diff();
command_ptr make_config_history();
command_ptr make_key_create();
command_ptr make_key_withdraw();
command_ptr make_team_set();
command_ptr make_team_list();
command_ptr make_queue_set();
command_ptr make_queue_list();
command_ptr make_cells();
command_ptr make_vms();
command_ptr make_drain();
command_ptr make_promises();
command_ptr make_check_settings();

}  // namespace cranberrydock::ctl
