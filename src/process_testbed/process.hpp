// Runs one sidecar as a process of its own, with the files that it is configured by.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace elmbay::process_testbed {

/// A file of a process could not be written.
class FileWriteError : public std::runtime_error {
public:
    explicit FileWriteError(const std::filesystem::path& path)
        : std::runtime_error(path.string() + ": can't be written"), path_(path) {}
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

/// Owns a child process and its files NAME.json, NAME.toml and NAME.log in a folder.
///
/// The process is killed with this object, and by the kernel if the thread that started it ends
/// (PR_SET_PDEATHSIG). Not thread-safe.
class Process {
public:
    /// Times that freeze() yields while it waits for the process to come to rest.
    static constexpr int kMaxYieldsBeforeFreeze = 20000;

    /// @param command for /bin/sh. It should replace the shell: "exec " is put before it if it does not begin
    /// so.
    /// @param folder  must exist.
    Process(std::string name, const std::string& command, std::filesystem::path folder);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Replaces the configuration as a whole: a process never reads half a file.
    /// @throws FileWriteError
    void write_config(const nlohmann::json& config) const;
    /// Replaces the operator's file for the next start; empty: none.
    /// @throws FileWriteError
    void write_operator_file(const std::string& toml);
    /// Chooses the command of the next start.
    void set_command(const std::string& command);
    /// @throws std::system_error if no process can be made.
    void start();
    /// Sends a signal, if the process runs.
    void signal(int number) const;
    /// Stops the process (SIGSTOP), if possible while it waits in its event loop: one that is stopped between
    /// a check and the write that follows writes first thing when it resumes, which no program can help.
    void freeze();
    /// Resumes the process (SIGCONT) with the state it had, and full socket buffers.
    void thaw();
    bool is_frozen() const { return is_frozen_; }
    /// Sets the soft limit of descriptors of the running process (setrlimit(2)).
    void limit_descriptors(std::size_t max_descriptors) const;
    /// @return the process id; negative while none runs.
    pid_t pid() const { return pid_; }
    /// @return whether the process sleeps in a system call.
    bool is_waiting() const;
    /// @return the status as of waitpid(2) if the process has ended since the last call.
    std::optional<int> poll_exit();
    bool is_running() const { return pid_ > 0; }
    /// SIGKILL; returns when the process has ended.
    void kill();
    std::filesystem::path log_path() const { return folder_ / (name_ + ".log"); }

private:
    std::filesystem::path config_path() const { return folder_ / (name_ + ".json"); }
    std::filesystem::path operator_file_path() const { return folder_ / (name_ + ".toml"); }
    std::string shell_command() const;

    const std::string name_;
    std::string command_;
    const std::filesystem::path folder_;
    bool has_operator_file_ = false;
    bool is_frozen_ = false;
    pid_t pid_ = -1;
};

}  // namespace elmbay::process_testbed
