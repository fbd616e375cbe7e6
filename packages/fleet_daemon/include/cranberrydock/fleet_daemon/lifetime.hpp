// Guards callbacks that may be called after the object that created them has been destroyed.
#pragma once

#include <memory>
#include <utility>

namespace cranberrydock::fleet_daemon {

// Held as a member by a class that passes out callbacks. A guarded callback does nothing once the
// `lifetime` has been destroyed.
class lifetime {
public:
    template <typename Function>
    auto guard(Function function) const {
        return [alive = std::weak_ptr<char>(token_),
                function = std::move(function)](auto&&... arguments) mutable {
            if (!alive.expired()) {
                function(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

private:
    std::shared_ptr<char> token_ = std::make_shared<char>();
};

}  // namespace cranberrydock::fleet_daemon
