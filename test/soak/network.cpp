// Runs the relay links of a soak on their own thread.
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

// Runs the action on the network's thread and waits until it has returned.
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
        out = links_.back()->listen_endpoint();
    });
    return out;
}

void network::begin(std::size_t link, link_fault fault, base::milliseconds delay) {
    on_loop([&] {
        auto& faulty_link = *links_[link];
        switch (fault) {
            case link_fault::delay:
                faulty_link.set_delay(delay);
                break;
            case link_fault::reset:
                faulty_link.cut();
                faulty_link.restore();
                break;
            case link_fault::silence:
                faulty_link.swallow_open_connections();
                break;
            case link_fault::black_hole:
                faulty_link.swallow_all_connections();
                break;
            case link_fault::one_way:
                faulty_link.swallow_answers();
                break;
            case link_fault::refuse:
                faulty_link.cut();
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
