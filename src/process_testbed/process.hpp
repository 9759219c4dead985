// Runs one sidecar as a separate process, with its configuration files.
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
        : std::runtime_error(path.string() + ": the file could not be written"), path_(path) {}
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
};

/// Owns a child process and its files NAME.json, NAME.toml and NAME.log in a folder.
///
/// The destructor kills the process. The kernel kills it if the thread that started it ends
/// (PR_SET_PDEATHSIG). Not thread-safe.
class Process {
public:
    /// Maximum number of times that freeze() yields while it waits for the process to sleep.
    static constexpr int kMaxYieldsBeforeFreeze = 20000;

    /// @param command command for /bin/sh. It must replace the shell, so "exec " is prepended unless it
    /// begins with it.
    /// @param folder  existing folder for the files.
    Process(std::string name, const std::string& command, std::filesystem::path folder);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Replaces the configuration file atomically, so that the process never reads a partial file.
    /// @throws FileWriteError
    void write_config(const nlohmann::json& config) const;
    /// Replaces the operator's file for the next start. An empty text means no file.
    /// @throws FileWriteError
    void write_operator_file(const std::string& toml);
    /// Sets the command for the next start.
    void set_command(const std::string& command);
    /// @throws std::system_error if the process cannot be created.
    void start();
    /// Sends a signal if the process is running.
    void signal(int number) const;
    /// Stops the process (SIGSTOP), if possible while it waits in its event loop. A process that is stopped
    /// between a check and the write that follows it sends the write first when it resumes, and no program
    /// can prevent this.
    void freeze();
    /// Resumes the process (SIGCONT) with unchanged state and with socket buffers that filled in the
    /// meantime.
    void thaw();
    bool is_frozen() const { return is_frozen_; }
    /// Sets the soft limit of open descriptors of the running process (setrlimit(2)).
    void limit_descriptors(std::size_t max_descriptors) const;
    /// @return the process id; negative if no process is running.
    pid_t pid() const { return pid_; }
    /// @return whether the process is sleeping in a system call.
    bool is_waiting() const;
    /// @return the status in the format of waitpid(2) if the process has ended since the last call.
    std::optional<int> poll_exit();
    bool is_running() const { return pid_ > 0; }
    /// Sends SIGKILL and returns when the process has ended.
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
