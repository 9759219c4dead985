#include "rehearsal/real/sidecar_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <nlohmann/json.hpp>
#include <system_error>
#include <vector>

namespace elmbay::rehearsal {

SidecarProcess::SidecarProcess(std::string name, std::string command, std::filesystem::path folder)
    : name_(std::move(name)),
      command_(command.starts_with("exec ") ? std::move(command) : "exec " + command),
      folder_(std::move(folder)) {}

SidecarProcess::~SidecarProcess() { kill(); }

void SidecarProcess::write_config(const nlohmann::json& json) const {
    const std::filesystem::path fresh = folder_ / (name_ + ".new");
    std::ofstream file(fresh);
    file << json.dump(1) << "\n";
    file.close();
    if (!file) throw std::runtime_error(fresh.string() + ": can't be written");
    std::filesystem::rename(fresh, config());
}

void SidecarProcess::start() {
    // All that allocates is done before the fork.
    const std::string config_variable = "RELAY_CONFIG=" + config().string();
    std::vector<char*> environment;
    for (char** entry = environ; *entry; ++entry)
        if (std::string_view(*entry).substr(0, 6) != "RELAY_") environment.push_back(*entry);
    environment.push_back(const_cast<char*>(config_variable.c_str()));
    environment.push_back(nullptr);
    const char* const arguments[] = {"sh", "-c", command_.c_str(), nullptr};
    const std::string log_path = log().string();
    const pid_t child = ::fork();
    if (child < 0) throw std::system_error(errno, std::generic_category(), "fork");
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a rehearsal that is killed leaves nothing behind
        const int log_file = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        const int nothing = ::open("/dev/null", O_RDONLY);
        ::dup2(nothing, STDIN_FILENO);
        ::dup2(log_file, STDOUT_FILENO);
        ::dup2(log_file, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        ::execve("/bin/sh", const_cast<char* const*>(arguments), environment.data());
        ::_exit(127);
    }
    pid_ = child;
}

void SidecarProcess::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}

std::optional<int> SidecarProcess::ended() {
    if (pid_ <= 0) return {};
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return {};
    pid_ = -1;
    return status;
}

void SidecarProcess::kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) continue;
    pid_ = -1;
}

}  // namespace elmbay::rehearsal
