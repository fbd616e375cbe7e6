// Starts and ends programs for tests.
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

// Whether the descriptor becomes readable, or its other end closes, within `timeout`.
bool wait_readable(int fd, base::milliseconds timeout) {
    pollfd one{fd, POLLIN, 0};
    const auto ms = std::max<std::int64_t>(timeout.count(), 0);
    return poll(&one, 1, static_cast<int>(ms)) > 0;
}

// As become(), safe between fork and exec.
void append_to(const char* file, int stream) {
    constexpr int mode = 0644;
    if (*file != '\0') {
        dup2(open(file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, mode), stream);
    }
}

// Runs in the child between fork and exec: only calls that are safe there.
[[noreturn]] void become(const char* path, char* const* arguments, int output_fd,
                         const program& what) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output_fd, STDOUT_FILENO);
    append_to(what.output_file.c_str(), STDOUT_FILENO);
    append_to(what.log_file.c_str(), STDERR_FILENO);
    // A listening socket of the test's that lived on in the program could not be opened anew.
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

process::process(const program& what) : name_(what.name) {
    const std::string path = program_folder() + "/" + what.name;
    std::vector<std::string> words = {path};
    words.insert(words.end(), what.arguments.begin(), what.arguments.end());
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& it : words) {
        arguments.push_back(it.data());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> pipe_fds{};
    if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error(std::string("no pipe: ") + std::strerror(errno));
    }
    id_ = fork();
    if (id_ == 0) {
        become(path.c_str(), arguments.data(), pipe_fds[1], what);
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
    constexpr base::milliseconds long_enough{10'000};
    signal(SIGKILL);
    wait_until_ended(long_enough);
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
    static const std::string word = "listening ";
    const base::monotonic_clock clock;
    const auto deadline = clock.now() + timeout;
    for (;;) {
        const auto from = output_.find(word);
        const auto to = from == std::string::npos ? from : output_.find('\n', from);
        if (to != std::string::npos) {
            return net::parse_endpoint(output_.substr(from + word.size(), to - from - word.size()));
        }
        const auto left = std::chrono::duration_cast<base::milliseconds>(deadline - clock.now());
        if (left.count() <= 0 || !read_more(left)) {
            throw std::runtime_error("expected " + name_ + " to print '" + word +
                                     "ADDRESS:PORT', found: " + output_);
        }
    }
}

}  // namespace cranberrydock::standins
