// Starts and ends processes for tests.
#include "process.hpp"

#include <cranberrydock/base/clock.hpp>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

namespace cranberrydock::standins {
namespace {

constexpr int exit_cannot_start = 127;
constexpr int signal_status = 128;

// Returns whether the descriptor becomes readable, or its other end closes, within `timeout`.
bool wait_readable(int fd, base::milliseconds timeout) {
    pollfd descriptor{fd, POLLIN, 0};
    const auto ms = std::max<std::int64_t>(timeout.count(), 0);
    return poll(&descriptor, 1, static_cast<int>(ms)) > 0;
}

// Redirects a standard stream of the child. Safe between fork and exec, as run_program().
void append_to(const char* file, int stream) {
    constexpr int mode = 0644;
    if (*file != '\0') {
        dup2(open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode), stream);
    }
}

// Runs in the child between fork and exec, and makes only calls that are safe there.
[[noreturn]] void run_program(const char* path, char* const* arguments, int output_fd,
                              const program& started) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output_fd, STDOUT_FILENO);
    append_to(started.output_file.c_str(), STDOUT_FILENO);
    append_to(started.log_file.c_str(), STDERR_FILENO);
    // Close all other descriptors: a listening socket of the test that stayed open in the child
    // would keep the test from listening on that port again.
    syscall(SYS_close_range, STDERR_FILENO + 1, ~0U, 0);
    execv(path, arguments);
    _exit(exit_cannot_start);
}

}  // namespace

std::string program_folder() {
    const char* const folder = std::getenv("CRANBERRYDOCK_BIN");
    if (folder == nullptr) {
        throw std::runtime_error(
            "expected CRANBERRYDOCK_BIN to name the folder of the built programs; run the test by "
            "ctest or set it");
    }
    return folder;
}

process::process(const program& started) : name_(started.name) {
    const std::string path = program_folder() + "/" + started.name;
    std::vector<std::string> command_line = {path};
    command_line.insert(command_line.end(), started.arguments.begin(), started.arguments.end());
    std::vector<char*> arguments;
    arguments.reserve(command_line.size() + 1);
    for (auto& it : command_line) {
        arguments.push_back(it.data());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> pipe_fds{};
    if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error(std::string("cannot create a pipe: ") + std::strerror(errno));
    }
    id_ = fork();
    if (id_ == 0) {
        run_program(path.c_str(), arguments.data(), pipe_fds[1], started);
    }
    close(pipe_fds[1]);
    output_fd_ = pipe_fds[0];
    if (id_ < 0) {
        close(output_fd_);
        throw std::runtime_error("cannot start " + path + ": " + std::strerror(errno));
    }
    process_fd_ = static_cast<int>(syscall(SYS_pidfd_open, id_, 0));
}

process::~process() {
    constexpr base::milliseconds exit_timeout{10'000};
    signal(SIGKILL);
    wait_until_ended(exit_timeout);
    close(output_fd_);
    close(process_fd_);
}

void process::signal(int number) const {
    if (!status_) {
        kill(id_, number);
    }
}

std::optional<int> process::wait_until_ended(base::milliseconds timeout) {
    if (!status_ && wait_readable(process_fd_, timeout)) {
        int raw = 0;
        if (waitpid(id_, &raw, 0) == id_) {
            status_ = WIFSIGNALED(raw) ? signal_status + WTERMSIG(raw) : WEXITSTATUS(raw);
        }
    }
    return status_;
}

bool process::read_more(base::milliseconds timeout) {
    if (!wait_readable(output_fd_, timeout)) {
        return false;
    }
    std::array<char, 4096> buf{};
    const ssize_t n = read(output_fd_, buf.data(), buf.size());
    if (n > 0) {
        output_.append(buf.data(), static_cast<std::size_t>(n));
    }
    return n > 0;
}

net::endpoint process::wait_until_listening(base::milliseconds timeout) {
    static const std::string prefix = "listening ";
    const base::monotonic_clock clock;
    const auto deadline = clock.now() + timeout;
    for (;;) {
        const auto from = output_.find(prefix);
        const auto to = from == std::string::npos ? from : output_.find('\n', from);
        if (to != std::string::npos) {
            return net::parse_endpoint(
                output_.substr(from + prefix.size(), to - from - prefix.size()));
        }
        const auto remaining =
            std::chrono::duration_cast<base::milliseconds>(deadline - clock.now());
        if (remaining.count() <= 0 || !read_more(remaining)) {
            throw std::runtime_error("expected " + name_ + " to print '" + prefix +
                                     "ADDRESS:PORT', found: " + output_);
        }
    }
}

}  // namespace cranberrydock::standins
