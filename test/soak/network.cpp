// The loopback network of a soak.
#include "network.hpp"

#include <future>

namespace cranberrydock::soak {

network::network() : thread_([this] { loop_.run(); }) {}

network::~network() {
    on_loop([this] {
        links_.clear();
        loop_.stop();
    });
    thread_.join();
}

// Runs the action on the network's thread and waits for it.
void network::on_loop(const std::function<void()>& action) {
    std::promise<void> done;
    while (!loop_.post([&] {
        action();
        done.set_value();
    })) {
        std::this_thread::yield();
    }
    done.get_future().wait();
}

net::endpoint network::add(const net::endpoint& target) {
    net::endpoint out;
    on_loop([&] {
        links_.push_back(std::make_unique<standins::relay_link>(
            loop_, clock_, net::endpoint{"127.0.0.1", 0}, target));
        out = links_.back()->listening_on();
    });
    return out;
}

void network::begin(std::size_t link, link_fault fault, base::milliseconds delay) {
    on_loop([&] {
        auto& one = *links_[link];
        switch (fault) {
            case link_fault::delay:
                one.set_delay(delay);
                break;
            case link_fault::reset:
                one.cut();
                one.restore();
                break;
            case link_fault::silence:
                one.silence();
                break;
            case link_fault::black_hole:
                one.black_hole();
                break;
            case link_fault::one_way:
                one.one_way();
                break;
        }
    });
}

void network::end(std::size_t link) {
    on_loop([&] {
        links_[link]->set_delay(base::milliseconds{0});
        links_[link]->restore();
    });
}

}  // namespace cranberrydock::soak
