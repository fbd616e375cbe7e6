// Whether this process may issue commands to VMs as the owner.
#pragma once

namespace cranberrydock::fleet_daemon {

class command_permission {
public:
    virtual ~command_permission() = default;
    // Whether commands to VMs may be issued now.
    virtual bool may_issue_commands() = 0;
};

}  // namespace cranberrydock::fleet_daemon
