// Hashes the names and addresses of VMs.
#include <cranberrydock/fleet/vm_key.hpp>

#include <xxhash.h>

namespace cranberrydock::fleet {

vm_key key_of(const vm_id& vm) {
    return vm_key(static_cast<std::int64_t>(XXH64(vm.str().data(), vm.str().size(), 0)));
}

address_key key_of_address(const std::string& address) {
    return address.empty()
               ? address_key(0)
               : address_key(static_cast<std::int64_t>(XXH64(address.data(), address.size(), 0)));
}

}  // namespace cranberrydock::fleet
