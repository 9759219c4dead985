// Stand-ins for clients, servers and discovery, and a runner for the sidecar. Used by the cases review/6 to
// review/10. Standard library and POSIX only. Each stand-in uses blocking sockets and a thread for each
// connection.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::string;

// ---- time, random numbers, record ------------------------------------------------------------------------

inline double clock_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
inline const double started_at = clock_ms();
/// Milliseconds since the start of the test.
inline double now_ms() { return clock_ms() - started_at; }
inline void sleep_ms(double ms) {
    if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline double random_between(double low, double high) {
    // Each thread has a seed of its own, by the order in which threads come here first.
    static std::atomic<unsigned> threads = 0;
    static thread_local std::mt19937_64 engine(++threads);
    return std::uniform_real_distribution<>(low, high)(engine);
}
inline double random_interval(double mean) { return -mean * std::log(1 - random_between(0, 1)); }

/// The file record.txt: what was sent, answered and run. Each line begins with the time in milliseconds.
class Record {
public:
    void open(const string& path) { file_ = std::fopen(path.c_str(), "w"); }
    __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
        const std::lock_guard lock(mutex_);
        va_list arguments;
        if (file_) {
            std::fprintf(file_, "%10.2f ", now_ms());
            va_start(arguments, format);
            std::vfprintf(file_, format, arguments);
            va_end(arguments);
            std::fputc('\n', file_);
        }
    }
    /// Writes a line to the record and to standard output.
    __attribute__((format(printf, 2, 3))) void say(const char* format, ...) {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        line("%s", text);
        std::printf("%s\n", text);
        std::fflush(stdout);
    }
    void flush() {
        const std::lock_guard lock(mutex_);
        if (file_) std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_ = nullptr;
};
inline Record record;

inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return !value || string(value) != "0";
}

// ---- sockets ---------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on a free port of 127.0.0.1.
inline int listen_on_free_port(int& port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 1024) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    port = ntohs(address.sin_port);
    return fd;
}

inline int free_port() {
    int port = 0;
    ::close(listen_on_free_port(port));
    return port;
}

struct Message {
    string first_line;
    std::map<string, string> headers;  // names in lower case
    string body;
    string header(const string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

enum class ReadResult { complete, closed, reset, timed_out };

/// A connected socket with a read buffer.
class Connection {
public:
    Connection() = default;
    explicit Connection(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(Connection&& other) noexcept
        : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}
    Connection& operator=(Connection&& other) noexcept {
        std::swap(fd_, other.fd_);
        std::swap(buffer_, other.buffer_);
        return *this;
    }
    ~Connection() { close(); }

    static Connection to(int port) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (fd >= 0 && ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return Connection(fd);
        if (fd >= 0) ::close(fd);
        return {};
    }
    bool is_open() const { return fd_ >= 0; }
    int fd() const { return fd_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
        buffer_.clear();
    }
    bool write(const string& text) {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Whether bytes have come that were not read, or the peer has ended its sending.
    bool has_input() const {
        char byte = 0;
        return !buffer_.empty() || ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
    }
    /// Reads a message with Content-Length or without a body. The time limit is a time of now_ms().
    ReadResult read(Message& message, double until) {
        message = {};
        std::size_t head_end = 0;
        while ((head_end = buffer_.find("\r\n\r\n")) == string::npos) {
            const ReadResult result = fill(until);
            if (result != ReadResult::complete) return result;
        }
        std::istringstream head(buffer_.substr(0, head_end));
        buffer_.erase(0, head_end + 4);
        string line;
        std::getline(head, message.first_line);
        if (!message.first_line.empty() && message.first_line.back() == '\r') message.first_line.pop_back();
        while (std::getline(head, line)) {
            if (!line.empty() && line.back() == '\r') line.pop_back();
            const auto colon = line.find(':');
            if (colon == string::npos) continue;
            string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const auto begin = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = begin == string::npos ? "" : line.substr(begin);
        }
        const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            const ReadResult result = fill(until);
            if (result != ReadResult::complete) return result;
        }
        message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return ReadResult::complete;
    }

private:
    ReadResult fill(double until) {
        for (;;) {
            pollfd entry{fd_, POLLIN, 0};
            const double left = until - now_ms();
            if (left <= 0) return ReadResult::timed_out;
            const int ready = ::poll(&entry, 1, static_cast<int>(std::ceil(std::min(left, 1e6))));
            if (ready <= 0) continue;
            char bytes[65536];
            const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return ReadResult::reset;
            if (n == 0) return ReadResult::closed;
            buffer_.append(bytes, static_cast<std::size_t>(n));
            return ReadResult::complete;
        }
    }
    int fd_ = -1;
    string buffer_;
};

inline string ok_answer(const string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a free port and handles each in a thread of its own, until the process ends.
class Acceptor {
public:
    explicit Acceptor(std::function<void(Connection)> handle) : handle_(std::move(handle)) {
        fd_ = listen_on_free_port(port_);
        std::thread([this] {
            for (;;) {
                const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) std::thread([this, fd] { handle_(Connection(fd)); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }

private:
    std::function<void(Connection)> handle_;
    int fd_ = -1;
    int port_ = 0;
};

// ---- discovery -------------------------------------------------------------------------------------------

struct Target {
    string uid;
    int port = 0;
    string state = "active";
    double capacity_hint = 1.0;
};

inline string json_list(int revision, bool is_whole, const std::vector<Target>& targets) {
    std::ostringstream text;
    text << "{\"rev\":" << revision << ",\"all\":" << (is_whole ? "true" : "false") << ",\"targets\":[";
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const Target& target = targets[i];
        text << (i ? "," : "") << "{\"uid\":\"" << target.uid << "\",\"endpoint\":\"127.0.0.1:" << target.port
             << "\",\"az\":\""
             << "abc"[i % 3] << "\",\"model\":\"standard-4\",\"pod_group\":0,\"state\":\"" << target.state
             << "\",\"capacity_hint\":" << target.capacity_hint << ",\"boot_ms\":0}";
    }
    text << "]}";
    return text.str();
}

/// Discovery as PROTOCOL describes it. While it is down, it accepts calls and is silent; when it is back, it
/// answers them.
class Discovery {
public:
    Discovery(string name, std::vector<Target> targets, int revision)
        : name_(std::move(name)),
          targets_(std::move(targets)),
          revision_(revision),
          acceptor_([this](Connection connection) { serve(std::move(connection)); }) {}
    int port() const { return acceptor_.port(); }
    string whole_list() {
        const std::lock_guard lock(mutex_);
        return json_list(revision_, true, targets_);
    }
    void set_down(bool is_down) { is_down_ = is_down; }
    /// Delays the answer to each call for the whole list until release_answers().
    void hold_answers() { holds_answers_ = true; }
    void release_answers() { holds_answers_ = false; }
    int held_calls() const { return held_calls_; }
    int watches() {
        const std::lock_guard lock(mutex_);
        return static_cast<int>(watches_.size());
    }
    /// Changes the state of a server, and tells the open watches.
    void change(const string& uid, const string& state, double capacity_hint = 1.0) {
        const std::lock_guard lock(mutex_);
        ++revision_;
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            if (targets_[i].uid != uid) continue;
            targets_[i].state = state;
            targets_[i].capacity_hint = capacity_hint;
            const string line = json_list(revision_, false, {targets_[i]});
            record.line("%s tells %zu watches: %s", name_.c_str(), watches_.size(), line.c_str());
            for (const int fd : watches_) send_line(fd, line);
        }
    }
    /// Closes the open watches, as an address that was replaced does after 1.5 s.
    void close_watches() {
        const std::lock_guard lock(mutex_);
        for (const int fd : watches_) ::shutdown(fd, SHUT_RDWR);
    }

private:
    static void send_line(int fd, const string& line) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
        const string chunk = size + line + "\n\r\n";
        (void)::send(fd, chunk.data(), chunk.size(), MSG_NOSIGNAL);
    }
    void serve(Connection connection) {
        Message call;
        while (connection.read(call, 1e12) == ReadResult::complete) {
            while (is_down_) sleep_ms(1);
            const bool is_watch = call.first_line.find("stream=1") != string::npos;
            const auto index = call.first_line.find("index=");
            if (is_watch) {
                return serve_watch(
                    connection, index == string::npos ? 0 : std::atoi(call.first_line.c_str() + index + 6));
            }
            ++held_calls_;
            while (holds_answers_) sleep_ms(1);
            --held_calls_;
            const string list = whole_list();
            record.line("%s answers with the whole list: %s", name_.c_str(), list.c_str());
            if (!connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) +
                                  "\r\n\r\n" + list))
                return;
        }
    }
    void serve_watch(Connection& connection, int index) {
        {
            const std::lock_guard lock(mutex_);
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            // The first line holds what changed after the caller's version, or the whole list. Nothing is
            // sent if nothing changed.
            const string list = json_list(revision_, true, targets_);
            const bool is_current = index == revision_;
            record.line("%s opens a watch from version %d: %s", name_.c_str(), index,
                        is_current ? "nothing has changed" : list.c_str());
            if (!is_current) send_line(connection.fd(), list);
            watches_.push_back(connection.fd());
        }
        Message ignored;
        while (connection.read(ignored, now_ms() + 2000) == ReadResult::timed_out) {
            const std::lock_guard lock(mutex_);
            if (!is_down_) send_line(connection.fd(), "");
        }
        const std::lock_guard lock(mutex_);
        std::erase(watches_, connection.fd());
        record.line("%s: a watch has ended", name_.c_str());
    }

    const string name_;
    std::mutex mutex_;
    std::vector<Target> targets_;
    int revision_;
    std::vector<int> watches_;
    std::atomic<bool> is_down_ = false;
    std::atomic<bool> holds_answers_ = false;
    std::atomic<int> held_calls_ = 0;
    Acceptor acceptor_;
};

// ---- the sidecar -----------------------------------------------------------------------------------------

struct Limits {
    int memory_mb = 64;
    int sockets = 512;
    int give_up_ms = 1200;  // of the class `deposit`
};

/// Settings like those of voices-archive, with the names of the wire page.
inline string settings_json(const string& membership_mode, int give_up_ms) {
    const auto request_class = [](const char* name, const char* effect, int window, int aim, int give_up) {
        char text[400];
        std::snprintf(text, sizeof text,
                      R"({"name":"%s","effect":"%s","dedup-scope":"all","dedup-window-ms":%d.0,)"
                      R"("on-time-ms":%d.0,"give-up-ms":%d.0,"credit":3.0,"late-value":0.0,"stream":false})",
                      name, effect, window, aim, give_up);
        return string(text);
    };
    return R"({"azs":"a,b,c","my-zone":"a","membership-mode":")" + membership_mode +
           R"(","my-number":0,"siblings":1,"classes":[)" +
           request_class("listen", "repeatable", 5000, 400, 1500) + "," +
           request_class("deposit", "once", 5000, give_up_ms / 4, give_up_ms) + "," +
           request_class("annotate", "by_key", 3000, 500, 1500) +
           R"(],"limits":{"max-attempts":4,"may-cancel":true,"may-probe":true,"may-tell":true,)"
           R"("parallel-tries":false,"retry-after":true,"connect-timeout-ms":150.0,"idle-close-ms":15000.0,)"
           R"("max-retry-after-ms":1500.0},"rules":{"cold-from":0.16,"fall-multiple":2.5,"fall-ms":1000.0,)"
           R"("grace-to-answer-ms":20.0,"stop-sending-within-ms":500.0,"warm-within-ms":20000.0,)"
           R"("ask-within-ms":10000.0}})";
}

/// One sidecar, started by the deploy file's `run`.
class Sidecar {
public:
    Sidecar(string root, int discovery_port, string known, Limits limits, string mode = "pushed")
        : root_(std::move(root)), known_(std::move(known)), limits_(limits), mode_(std::move(mode)) {
        port_ = free_port();
        discovery_port_ = discovery_port;
        const char* base = std::getenv("TMPDIR");
        string pattern = string(base ? base : "/tmp") + "/review-XXXXXX";
        if (!::mkdtemp(pattern.data())) std::exit(2);
        folder_ = pattern;
        write_config();
    }
    ~Sidecar() {
        kill();
        ::unlink(config_path().c_str());
        ::rmdir((folder_ + "/tmp").c_str());
        ::rmdir(folder_.c_str());
    }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }
    void signal(int number) const { ::kill(pid_, number); }

    void set_discovery(int port) {
        discovery_port_ = port;
        write_config();
    }
    void start(bool sets_discovery_variable = true) {
        const string command = run_command();
        const string temporary = folder_ + "/tmp";
        ::mkdir(temporary.c_str(), 0700);
        ::setenv("RELAY_NAME", "n0", 1);
        ::setenv("RELAY_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
        ::setenv("RELAY_CONFIG", config_path().c_str(), 1);
        ::unsetenv("RELAY_DISCOVERY");
        if (sets_discovery_variable)
            ::setenv("RELAY_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery_port_)).c_str(), 1);
        const char* const arguments[] = {"/bin/sh", "-c", command.c_str(), nullptr};
        const pid_t parent = ::getpid();
        pid_ = ::fork();
        if (pid_ != 0) {
            record.line("sidecar started, process %d, 127.0.0.1:%d", static_cast<int>(pid_), port_);
            return;
        }
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent || ::chdir(root_.c_str()) != 0) ::_exit(127);
        ::setenv("TMPDIR", temporary.c_str(), 1);
        ::execv("/bin/sh", const_cast<char* const*>(arguments));
        ::_exit(127);
    }
    bool has_ended() {
        if (pid_ <= 0) return true;
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
        record.line("sidecar has ended, status %d", status);
        pid_ = 0;
        return true;
    }
    void kill() {
        if (pid_ <= 0) return;
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    /// Waits until GET /up is answered with 200. Returns false after 30 s.
    bool wait_until_ready() {
        const double until = now_ms() + 30000;
        while (now_ms() < until && !has_ended()) {
            Connection connection = Connection::to(port_);
            Message answer;
            if (connection.is_open() && connection.write("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n") &&
                connection.read(answer, now_ms() + 1000) == ReadResult::complete && answer.status() == 200) {
                record.line("GET /up answered with 200");
                return true;
            }
            sleep_ms(5);
        }
        return false;
    }
    /// Resident memory without that of files, in kB.
    long anonymous_kb() const {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        string line;
        while (std::getline(status, line)) {
            if (line.starts_with("RssAnon:")) return std::strtol(line.c_str() + 8, nullptr, 10);
        }
        return 0;
    }

private:
    string config_path() const { return folder_ + "/config.json"; }
    void write_config() const {
        const string next = config_path() + ".next";
        std::ofstream file(next);
        file << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << port_
             << "\",\"discovery\":\"127.0.0.1:" << discovery_port_
             << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
             << limits_.memory_mb << ",\"sockets\":" << limits_.sockets << "},\"known\":" << known_
             << ",\"settings\":" << settings_json(mode_, limits_.give_up_ms) << "}\n";
        file.close();
        std::rename(next.c_str(), config_path().c_str());
    }
    string run_command() const {
        std::ifstream file(root_ + "/deploy/balancer.toml");
        string line;
        while (std::getline(file, line)) {
            if (!line.starts_with("run = \"")) continue;
            return line.substr(7, line.rfind('"') - 7);
        }
        std::fprintf(stderr, "deploy/balancer.toml has no run\n");
        std::exit(2);
    }

    const string root_;
    const string known_;
    const Limits limits_;
    const string mode_;
    string folder_;
    int port_ = 0;
    int discovery_port_ = 0;
    pid_t pid_ = 0;
};

// ---- clients ---------------------------------------------------------------------------------------------

inline string new_id() {
    static std::atomic<unsigned> last = 0;
    char id[32];
    std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(::getpid()), ++last);
    return id;
}

/// The head of a request of the class `deposit`, which may not run twice, without the headers that frame it.
inline string deposit_head(const string& id, int time_left_ms) {
    return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id +
           "\r\nX-Service-Class: deposit\r\nX-Time-Left: " + std::to_string(time_left_ms) + "m\r\n";
}
inline string deposit_request(const string& id, int time_left_ms) {
    return deposit_head(id, time_left_ms) + "Content-Length: 4\r\n\r\nbody";
}

/// Ends the test: the destructors of stand-ins do not run, their threads end with the process.
[[noreturn]] inline void end_test(Sidecar& sidecar, int code, const char* verdict) {
    record.say("%s", verdict);
    sidecar.~Sidecar();
    record.flush();
    std::_Exit(code);
}

}  // namespace review
