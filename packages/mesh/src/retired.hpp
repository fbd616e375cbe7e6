// Objects that have ended but may still be on the call stack: kept until a later turn of the loop.
#pragma once

#include <cranberrydock/net/event_loop.hpp>

#include <memory>
#include <vector>

namespace cranberrydock::mesh::detail {

class retired {
public:
    explicit retired(net::event_loop& loop) : loop_(loop) {}

    void keep(std::shared_ptr<void> one) {
        kept_.push_back(std::move(one));
        if (!sweep_) {
            sweep_ = loop_.after(base::duration{0}, [this] { sweep(); });
        }
    }

private:
    void sweep() {
        const auto timer = std::move(sweep_);
        // What goes may bring more here.
        const auto going = std::move(kept_);
        kept_.clear();
    }

    net::event_loop& loop_;
    std::vector<std::shared_ptr<void>> kept_;
    std::unique_ptr<net::timer> sweep_;  // pending while kept_ holds something
};

}  // namespace cranberrydock::mesh::detail
