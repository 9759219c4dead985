#include "process_testbed/process.hpp"

#include <fcntl.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace elmbay::process_testbed {

namespace {

constexpr int kExecFailed = 127;  // exit status of a shell that cannot run a command
constexpr std::string_view kPlatformVariablePrefix =
    "RELAY_";  // prefix of the platform's environment variables

void replace_file(const std::filesystem::path& path, const std::string& text) {
    const std::filesystem::path temporary = path.string() + ".new";
    std::ofstream file(temporary);
    file << text;
    file.close();
    if (!file) throw FileWriteError(temporary);
    std::filesystem::rename(temporary, path);
}

// Waits until the process stops or ends, depending on the flags of waitpid(2), and returns its status.
int wait_for_status(pid_t pid, int flags) {
    int status = 0;
    while (::waitpid(pid, &status, flags) < 0 && errno == EINTR) continue;
    return status;
}

// Returns the environment of this process without the platform's variables, with `variable` added and a null
// pointer at the end.
std::vector<char*> environment_with(const std::string& variable) {
    std::vector<char*> environment;
    for (char** entry = environ; *entry != nullptr; ++entry) {
        if (!std::string_view(*entry).starts_with(kPlatformVariablePrefix)) environment.push_back(*entry);
    }
    environment.push_back(const_cast<char*>(variable.c_str()));
    environment.push_back(nullptr);
    return environment;
}

// Runs in the child after fork(2), and therefore calls only async-signal-safe functions.
[[noreturn]] void exec_child(const char* log_path, char* const* arguments, char* const* environment) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a killed test leaves no processes behind
    const int log_file = ::open(log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
    const int null_device = ::open("/dev/null", O_RDONLY);
    ::dup2(null_device, STDIN_FILENO);
    ::dup2(log_file, STDOUT_FILENO);
    ::dup2(log_file, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::signal(SIGPIPE, SIG_DFL);  // links ignore SIGPIPE, and execve(2) would keep it ignored
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    ::execve("/bin/sh", arguments, environment);
    ::_exit(kExecFailed);
}

}  // namespace

Process::Process(std::string name, const std::string& command, std::filesystem::path folder)
    : name_(std::move(name)), folder_(std::move(folder)) {
    set_command(command);
}

Process::~Process() { kill(); }

void Process::set_command(const std::string& command) {
    command_ = command.starts_with("exec ") ? command : "exec " + command;
}

void Process::write_config(const nlohmann::json& config) const {
    replace_file(config_path(), config.dump(1) + "\n");
}

void Process::write_operator_file(const std::string& toml) {
    has_operator_file_ = !toml.empty();
    if (has_operator_file_) replace_file(operator_file_path(), toml);
}

std::string Process::shell_command() const {
    return has_operator_file_ ? command_ + " --operator '" + operator_file_path().string() + "'" : command_;
}

void Process::start() {
    // All allocations must precede the fork.
    const std::string config_variable = "RELAY_CONFIG=" + config_path().string();
    const std::vector<char*> environment = environment_with(config_variable);
    const std::string command = shell_command();
    const std::array<const char*, 4> arguments{"sh", "-c", command.c_str(), nullptr};
    const std::string log = log_path().string();
    const pid_t child = ::fork();
    if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (child == 0) exec_child(log.c_str(), const_cast<char* const*>(arguments.data()), environment.data());
    pid_ = child;
    is_frozen_ = false;
}

bool Process::is_waiting() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string number, name, state;
    return static_cast<bool>(stat >> number >> name >> state) && state == "S";
}

void Process::freeze() {
    if (!is_running() || is_frozen_) return;
    for (int i = 0; i < kMaxYieldsBeforeFreeze && !is_waiting(); ++i) ::sched_yield();
    ::kill(pid_, SIGSTOP);
    is_frozen_ = WIFSTOPPED(wait_for_status(pid_, WUNTRACED));
    if (!is_frozen_) pid_ = -1;  // the process had already ended
}

void Process::thaw() {
    if (std::exchange(is_frozen_, false)) ::kill(pid_, SIGCONT);
}

void Process::limit_descriptors(std::size_t max_descriptors) const {
    rlimit limit{};
    if (!is_running() || ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit) != 0) return;
    limit.rlim_cur = std::min<rlim_t>(max_descriptors, limit.rlim_max);
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
}

void Process::signal(int number) const {
    if (is_running()) ::kill(pid_, number);
}

std::optional<int> Process::poll_exit() {
    if (!is_running()) return {};
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return {};
    pid_ = -1;
    return status;
}

void Process::kill() {
    if (!is_running()) return;
    ::kill(pid_, SIGKILL);  // SIGKILL also ends a stopped process
    is_frozen_ = false;
    wait_for_status(pid_, 0);
    pid_ = -1;
}

}  // namespace elmbay::process_testbed
