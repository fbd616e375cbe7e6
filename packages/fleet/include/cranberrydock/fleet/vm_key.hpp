// Short names of VMs and of their addresses in the store's rows.
#pragma once

#include <cranberrydock/fleet/work.hpp>

#include <string>

namespace cranberrydock::fleet {

// Identifies a VM by a hash of its id.
using vm_key = base::strong_number<struct vm_key_tag>;
// A hash of a VM's address; 0 if the address is not known.
using address_key = base::strong_number<struct address_key_tag>;

vm_key key_of(const vm_id& vm);
address_key key_of_address(const std::string& address);

}  // namespace cranberrydock::fleet
