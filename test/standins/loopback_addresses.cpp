// Derives the addresses from the process id, and counts the ports.
#include "loopback_addresses.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>

namespace cranberrydock::standins {
namespace {

// Below the range in which Linux chooses ports (net.ipv4.ip_local_port_range).
constexpr int first_port = 10'000;
constexpr int port_count = 20'000;

bool can_listen(const std::string& address, int port) {
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &bound.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int reuse = 1;  // as the daemons' listeners do
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    const bool out =
        bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof bound) == 0 && listen(fd, 1) == 0;
    close(fd);
    return out;
}

}  // namespace

std::string loopback_address(int number) {
    constexpr int values = 250;
    const int pid = static_cast<int>(getpid());
    return "127." + std::to_string(1 + pid / values % values) + "." +
           std::to_string(1 + pid % values) + "." + std::to_string(number + 1);
}

std::uint16_t unused_port(const std::string& address) {
    static std::atomic<unsigned> drawn{0};
    for (int i = 0; i < port_count; ++i) {
        const int port = first_port + static_cast<int>(drawn++ % port_count);
        if (can_listen(address, port)) {
            return static_cast<std::uint16_t>(port);
        }
    }
    throw std::runtime_error("no unused port on " + address);
}

}  // namespace cranberrydock::standins
