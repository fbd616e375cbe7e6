// Defers the destruction of objects that are no longer used but may still be on the call stack to a
// later iteration of the event loop.
#pragma once

#include <cranberrydock/net/event_loop.hpp>

#include <memory>
#include <vector>

namespace cranberrydock::mesh::detail {

class deferred_deletion {
public:
    explicit deferred_deletion(net::event_loop& loop) : loop_(loop) {}

    void schedule(std::shared_ptr<void> object) {
        pending_.push_back(std::move(object));
        if (!sweep_) {
            sweep_ = loop_.after(base::duration{0}, [this] { sweep(); });
        }
    }

private:
    void sweep() {
        const auto timer = std::move(sweep_);
        // The destructors of these objects may schedule further objects.
        const auto expired = std::move(pending_);
        pending_.clear();
    }

    net::event_loop& loop_;
    std::vector<std::shared_ptr<void>> pending_;
    std::unique_ptr<net::timer> sweep_;  // set while pending_ is not empty
};

}  // namespace cranberrydock::mesh::detail
