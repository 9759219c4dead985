// One sidecar as a process of its own, started by a command and told what PROTOCOL and DEPLOY say.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace elmbay::process_testbed {

class Process {
public:
    // command is given to /bin/sh and should replace the shell ("exec ..." is put before it where it is not
    // there). folder holds the configuration and the log and must exist.
    Process(std::string name, const std::string& command, std::filesystem::path folder);
    ~Process();  // SIGKILL, and waits
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    // The file is replaced as a whole, never half written.
    void write_config(const nlohmann::json& config) const;
    // An operator's file for its next start; empty: none.
    void write_operator_file(const std::string& toml);
    // Another build for its next start.
    void set_command(const std::string& command);
    void start();
    void signal(int number) const;  // nothing if it does not run
    // SIGSTOP, in the wait of its loop if it comes there within kRestLooks: one that is stopped between a
    // check and the write that it is for does that write first thing as it wakes, which no program can help.
    // SIGCONT: it wakes with what it believed, and full buffers.
    static constexpr int kRestLooks = 20000;
    void freeze();
    void thaw();
    bool frozen() const { return frozen_; }
    // How many descriptors it may hold from now on (setrlimit(2), the soft limit of the running process).
    void limit_descriptors(std::size_t most) const;
    pid_t pid() const { return pid_; }
    bool at_rest() const;  // waiting for something
    // Whether it has ended, with its status as waitpid gives it.
    std::optional<int> ended();
    bool running() const { return pid_ > 0; }
    void kill();
    std::filesystem::path log() const { return folder_ / (name_ + ".log"); }

private:
    std::filesystem::path config() const { return folder_ / (name_ + ".json"); }

    std::filesystem::path operator_file() const { return folder_ / (name_ + ".toml"); }

    const std::string name_;
    std::string command_;
    const std::filesystem::path folder_;
    bool with_operator_file_ = false, frozen_ = false;
    pid_t pid_ = -1;
};

}  // namespace elmbay::process_testbed
