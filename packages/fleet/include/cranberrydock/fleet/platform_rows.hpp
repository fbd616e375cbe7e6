// Reads the rows that the platform maintains in its store: the configuration and the member list.
#pragma once

#include <cranberrydock/fleet/configuration.hpp>
#include <cranberrydock/fleet/row_store.hpp>
#include <cranberrydock/fleet/vm_control.hpp>

#include <tl/expected.hpp>

#include <string>

namespace cranberrydock::fleet {

class platform_rows {
public:
    virtual ~platform_rows() = default;

    virtual table_name configuration_table() const = 0;
    virtual row_name configuration_row() const = 0;
    virtual table_name member_table() const = 0;

    // The errors describe why a row cannot be read.
    virtual tl::expected<fleet_configuration, std::string> read_configuration(
        const std::string& value) const = 0;
    virtual tl::expected<vm_info, std::string> read_member(const vm_id& id,
                                                           const std::string& value) const = 0;
};

}  // namespace cranberrydock::fleet
