// Lookup of queues by request path and by name.
#include <cranberrydock/fleet/configuration.hpp>

namespace cranberrydock::fleet {

const queue_config* fleet_configuration::find_queue(std::string_view host,
                                                    std::string_view path) const {
    const queue_config* out = nullptr;
    for (const auto& it : queues) {
        const bool matches = it.host == host && path.substr(0, it.prefix.size()) == it.prefix;
        if (matches && (out == nullptr || it.prefix.size() > out->prefix.size())) {
            out = &it;
        }
    }
    return out;
}

const queue_config* fleet_configuration::find_queue(const queue_name& name) const {
    for (const auto& it : queues) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

}  // namespace cranberrydock::fleet
