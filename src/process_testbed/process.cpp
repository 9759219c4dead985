#include "process_testbed/process.hpp"

#include <fcntl.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>
#include <vector>

namespace elmbay::process_testbed {

namespace {

void replace(const std::filesystem::path& path, const std::string& text) {
    const std::filesystem::path fresh = path.string() + ".new";
    std::ofstream file(fresh);
    file << text;
    file.close();
    if (!file) throw std::runtime_error(fresh.string() + ": can't be written");
    std::filesystem::rename(fresh, path);
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

void Process::write_config(const nlohmann::json& json) const { replace(config(), json.dump(1) + "\n"); }

void Process::write_operator_file(const std::string& toml) {
    with_operator_file_ = !toml.empty();
    if (with_operator_file_) replace(operator_file(), toml);
}

bool Process::at_rest() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string number, name, state;
    return static_cast<bool>(stat >> number >> name >> state) && state == "S";
}

void Process::freeze() {
    if (pid_ <= 0 || frozen_) return;
    for (int i = 0; i < kRestLooks && !at_rest(); ++i) ::sched_yield();
    ::kill(pid_, SIGSTOP);
    int status = 0;
    while (::waitpid(pid_, &status, WUNTRACED) < 0 && errno == EINTR) continue;
    frozen_ = WIFSTOPPED(status);
    if (!frozen_) pid_ = -1;  // it had ended
}

void Process::thaw() {
    if (std::exchange(frozen_, false)) ::kill(pid_, SIGCONT);
}

void Process::limit_descriptors(std::size_t most) const {
    rlimit limit{};
    if (pid_ <= 0 || ::prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit) != 0) return;
    limit.rlim_cur = std::min<rlim_t>(most, limit.rlim_max);
    ::prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr);
}

void Process::start() {
    // All that allocates is done before the fork.
    const std::string config_variable = "RELAY_CONFIG=" + config().string();
    std::vector<char*> environment;
    for (char** entry = environ; *entry; ++entry)
        if (std::string_view(*entry).substr(0, 6) != "RELAY_") environment.push_back(*entry);
    environment.push_back(const_cast<char*>(config_variable.c_str()));
    environment.push_back(nullptr);
    const std::string command =
        with_operator_file_ ? command_ + " --operator '" + operator_file().string() + "'" : command_;
    const char* const arguments[] = {"sh", "-c", command.c_str(), nullptr};
    const std::string log_path = log().string();
    const pid_t child = ::fork();
    if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a simulation that is killed leaves nothing behind
        const int log_file = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        const int nothing = ::open("/dev/null", O_RDONLY);
        ::dup2(nothing, STDIN_FILENO);
        ::dup2(log_file, STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::signal(SIGPIPE, SIG_DFL);  // links ignore it, and what is ignored stays so over execve(2)
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        ::execve("/bin/sh", const_cast<char* const*>(arguments), environment.data());
        ::_exit(127);
    }
    pid_ = child;
    frozen_ = false;
}

void Process::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}

std::optional<int> Process::ended() {
    if (pid_ <= 0) return {};
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return {};
    pid_ = -1;
    return status;
}

void Process::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);  // also of one that is frozen
    frozen_ = false;
    int status = 0;
    while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) continue;
    pid_ = -1;
}

}  // namespace elmbay::process_testbed
