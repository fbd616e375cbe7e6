// A process that a test starts. It is signalled and killed by its process id only.
#pragma once

#include <cranberrydock/base/units.hpp>
#include <cranberrydock/net/http.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace cranberrydock::standins {

struct program {
    std::string name;  // file name in the build's bin folder, e.g. "standin_vm"
    std::vector<std::string> arguments;
    // The standard error is appended to this file; empty: it goes to the test's standard error.
    std::string log_file;
    // The standard output is appended to this file; empty: it goes to a pipe, which only
    // wait_until_listening() reads.
    std::string output_file = {};
};

// The folder of the built programs: the environment variable CRANBERRYDOCK_BIN, which ctest sets.
// Throws std::runtime_error if it is not set.
std::string program_folder();

class process {
public:
    // Starts the program. Throws std::runtime_error if no pipe or process can be created. The
    // kernel kills the process when the thread that started it ends, also after a crash.
    explicit process(const program& what);
    // Kills the process if it has not ended, also if it is stopped by a signal, and waits for its
    // end.
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    pid_t id() const { return id_; }
    const std::string& name() const { return name_; }

    // Reads the standard output up to the line "listening ADDRESS:PORT" and returns that address.
    // Throws std::runtime_error if the process ends or `timeout` passes before.
    net::endpoint wait_until_listening(base::milliseconds timeout);

    // Sends the signal to this process only. Does nothing after wait_until_ended() has returned a
    // status.
    void signal(int number) const;

    // The exit status, or 128 plus the number of the signal that ended the process; nullopt if it
    // does not end within `timeout`.
    std::optional<int> wait_until_ended(base::milliseconds timeout);

    // What was read from the standard output so far.
    const std::string& output() const { return output_; }

private:
    bool read_more(base::milliseconds timeout);

    std::string name_;
    pid_t id_ = -1;
    int output_fd_ = -1;
    int process_fd_ = -1;  // readable once the process has ended
    std::string output_;
    std::optional<int> status_;  // set by wait_until_ended()
};

}  // namespace cranberrydock::standins
