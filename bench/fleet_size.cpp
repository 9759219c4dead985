// What a sidecar costs by the size of the fleet: the real program with 200, 1,000 and 3,200 stand-in servers
// on loopback addresses, a stand-in discovery that tells changes, and one client. Beside each figure is the
// limit that the operators allow the growth from 200 servers (STANDING, "More than these days").
//
//     build/fleet_size --sidecar build/elmbay
#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Steady = std::chrono::steady_clock;
using Error = boost::system::error_code;

struct Day {
    std::size_t servers = 200;
    std::uint32_t sidecars = 300;
    double seconds = 30;
    double rate = 10;        // requests a second
    double changes = 0.005;  // of the fleet that the list tells of in a second
    bool known = false;      // the configuration has the whole list, as the platform gives it
    std::chrono::milliseconds answer_after{20};
};

struct Figures {
    double processor_seconds = 0;
    double peak_memory_mb = 0;
    std::size_t descriptors = 0;
    std::uint64_t connections = 0;
    std::uint64_t list_bytes = 0;
    std::uint64_t asked = 0, served = 0;

    double share_served() const {
        return asked == 0 ? 0 : static_cast<double>(served) / static_cast<double>(asked);
    }
};

// A connection of a stand-in: calls back with each whole head that has come.
struct Connection : std::enable_shared_from_this<Connection> {
    using OnHead = std::function<void(const std::shared_ptr<Connection>&, const std::string& head)>;

    Connection(tcp::socket s, OnHead h) : socket(std::move(s)), on_head(std::move(h)) {}
    void read() {
        socket.async_read_some(
            asio::buffer(piece), [self = shared_from_this()](Error error, std::size_t got) {
                if (error) return self->socket.close(error), void();
                self->text.append(self->piece.data(), got);
                for (std::size_t end; (end = self->text.find("\r\n\r\n")) != std::string::npos;) {
                    const std::string head = self->text.substr(0, end);
                    self->text.erase(0, end + 4);
                    self->on_head(self, head);
                }
                self->read();
            });
    }
    void send(std::string message) {
        const auto kept = std::make_shared<std::string>(std::move(message));
        asio::async_write(socket, asio::buffer(*kept),
                          [kept, self = shared_from_this()](Error, std::size_t) {});
    }

    tcp::socket socket;
    OnHead on_head;
    std::array<char, 4096> piece{};
    std::string text;
};

// Accepts on one address.
class Acceptor {
public:
    Acceptor(asio::io_context& io, const tcp::endpoint& at, std::uint64_t& accepted,
             Connection::OnHead on_head)
        : acceptor_(io, at), accepted_(accepted), on_head_(std::move(on_head)) {
        accept();
    }
    std::string address() const {
        const tcp::endpoint at = acceptor_.local_endpoint();
        return at.address().to_string() + ":" + std::to_string(at.port());
    }

private:
    void accept() {
        acceptor_.async_accept([this](Error error, tcp::socket socket) {
            if (error) return;
            ++accepted_;
            socket.set_option(tcp::no_delay(true));
            std::make_shared<Connection>(std::move(socket), on_head_)->read();
            accept();
        });
    }

    tcp::acceptor acceptor_;
    std::uint64_t& accepted_;
    Connection::OnHead on_head_;
};

tcp::endpoint loopback(std::size_t host = 1) {
    return {asio::ip::address_v4(static_cast<std::uint32_t>(0x7f000000U + host)), 0};
}

// One run: servers, discovery and the client in this process, the sidecar in one of its own.
class Run {
public:
    Run(const Day& day, std::string sidecar) : day_(day), sidecar_(std::move(sidecar)) {
        constexpr std::size_t kFirstHost = 0x010001;  // 127.1.0.1
        for (std::size_t i = 0; i < day_.servers; ++i)
            servers_.emplace_back(io_, loopback(kFirstHost + i), connections_,
                                  [this](const auto& connection, const std::string&) { answer(connection); });
        states_.assign(day_.servers, "active");
        discovery_.emplace_back(
            io_, loopback(), calls_,
            [this](const auto& connection, const std::string& head) { list(connection, head); });
    }

    Figures play() {
        start();
        await_ready();
        begin_ = Steady::now();
        ask();
        change();
        heartbeat();
        look();
        const auto length = std::chrono::duration<double>(day_.seconds);
        io_.run_until(begin_ + std::chrono::duration_cast<Steady::duration>(length));
        asking_ = false;
        io_.run_for(std::chrono::seconds(2));
        look();
        stop();
        figures_.connections = connections_;
        return figures_;
    }

private:
    // ---- Servers --------------------------------------------------------------------------------------

    void answer(const std::shared_ptr<Connection>& connection) {
        const auto timer = std::make_shared<asio::steady_timer>(io_, day_.answer_after);
        timer->async_wait([timer, connection](Error) {
            connection->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    }

    // ---- Discovery ------------------------------------------------------------------------------------

    Json target(std::size_t i) {
        return {{"uid", fmt::format("s-{:08x}", i * 2654435761U & 0xffffffffU)},
                {"endpoint", servers_[i].address()},
                {"az", i % 3 == 0   ? "a"
                       : i % 3 == 1 ? "b"
                                    : "c"},
                {"model", "m" + std::to_string(i % 4)},
                {"pod_group", i % 7},
                {"state", states_[i]},
                {"capacity_hint", 1.0},
                {"boot_ms", 0}};
    }
    std::string told(bool all, const Json& targets) {
        return Json{{"rev", rev_}, {"all", all}, {"targets", targets}}.dump();
    }
    std::string whole_list() {
        Json targets = Json::array();
        for (std::size_t i = 0; i < day_.servers; ++i) targets.push_back(target(i));
        return told(true, targets);
    }
    void list(const std::shared_ptr<Connection>& connection, const std::string& head) {
        if (head.find("stream=1") != std::string::npos) {
            watch_ = connection;
            return connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }
        const std::string body = whole_list();
        figures_.list_bytes += body.size();
        connection->send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
    }
    void say(const std::string& line) {
        if (!watch_) return;
        figures_.list_bytes += line.size() + 1;
        watch_->send(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line));
    }
    // One server drains, or one that did is back.
    void change() {
        const std::size_t i = random_() % day_.servers;
        states_[i] = states_[i] == "active" ? "leaving" : "active";
        ++rev_;
        say(told(false, Json::array({target(i)})));
        const double a_second = day_.changes * static_cast<double>(day_.servers);
        after(1 / a_second, [this] { change(); });
    }
    void heartbeat() {
        say("");
        after(2, [this] { heartbeat(); });
    }

    // ---- The client -----------------------------------------------------------------------------------

    std::shared_ptr<Connection> free_connection() {
        while (!free_.empty()) {
            const auto connection = free_.front();
            free_.pop_front();
            if (connection->socket.is_open()) return connection;  // the sidecar closes what is idle for long
        }
        tcp::socket socket(io_);
        socket.connect(listen_);
        socket.set_option(tcp::no_delay(true));
        // The body is read with the next head; a head alone tells how the request went.
        const auto connection = std::make_shared<Connection>(
            std::move(socket), [this](const std::shared_ptr<Connection>& c, const std::string& head) {
                figures_.served += head.find("HTTP/1.1 200") != std::string::npos;
                free_.push_back(c);
            });
        connection->read();
        return connection;
    }
    void ask() {
        if (!asking_) return;
        ++figures_.asked;
        free_connection()->send(fmt::format(
            "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-{}\r\nX-Service-Class: safe\r\n"
            "X-Time-Left: 1000m\r\n\r\n",
            figures_.asked));
        after(std::exponential_distribution<>(day_.rate)(random_), [this] { ask(); });
    }

    // ---- The sidecar ----------------------------------------------------------------------------------

    void start() {
        // A free port that the sidecar takes over.
        listen_ = tcp::acceptor(io_, loopback()).local_endpoint();
        const Json safe = {
            {"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 400}, {"give-up-ms", 1000}};
        Json config = {{"name", "sidecar"},
                       {"listen", "127.0.0.1:" + std::to_string(listen_.port())},
                       {"discovery", discovery_.front().address()},
                       {"seed", "1f"},
                       {"limits", {{"sockets", 4096}}},
                       {"settings",
                        {{"classes", Json::array({safe})},
                         {"limits", {{"max-attempts", 4}, {"may-cancel", true}, {"idle-close-ms", 15000}}},
                         {"membership-mode", "pushed"},
                         {"siblings", day_.sidecars}}}};
        if (day_.known) config["known"] = Json::parse(whole_list());
        file_ = std::filesystem::temp_directory_path() / fmt::format("fleet_size.{}.json", ::getpid());
        std::ofstream(file_) << config.dump();
        process_ = ::fork();
        if (process_ != 0) return;
        // Not one of this process's descriptors: the sidecar's are counted.
        for (int fd = 3; fd < 20000; ++fd) ::close(fd);
        ::setenv("RELAY_CONFIG", file_.c_str(), 1);
        ::execl(sidecar_.c_str(), sidecar_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void await_ready() {
        for (bool ready = false; !ready;) {
            tcp::socket socket(io_);
            Error error;
            socket.connect(listen_, error);
            if (!error) {
                const auto up = std::make_shared<Connection>(
                    std::move(socket), [&ready](const auto&, const std::string& head) {
                        ready = head.find(" 200 ") != std::string::npos;
                    });
                up->read();
                up->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
                io_.run_for(std::chrono::milliseconds(50));
                up->socket.close(error);
            }
            io_.run_for(std::chrono::milliseconds(20));
        }
    }
    void look() {
        const std::string process = "/proc/" + std::to_string(process_);
        const std::filesystem::directory_iterator files(process + "/fd"), end;
        const auto open = static_cast<std::size_t>(std::distance(begin(files), end));
        figures_.descriptors = std::max(figures_.descriptors, open);
        std::ifstream status(process + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("VmHWM:")) figures_.peak_memory_mb = std::stod(line.substr(6)) / 1024;
        after(0.5, [this] { look(); });
    }
    void stop() {
        ::kill(process_, SIGTERM);
        rusage used{};
        int status = 0;
        while (::wait4(process_, &status, WNOHANG, &used) == 0) io_.run_for(std::chrono::milliseconds(10));
        const auto seconds = [](const timeval& t) {
            return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
        };
        figures_.processor_seconds = seconds(used.ru_utime) + seconds(used.ru_stime);
        std::filesystem::remove(file_);
    }

    void after(double seconds, std::function<void()> then) {
        const auto timer = std::make_shared<asio::steady_timer>(io_);
        timer->expires_after(
            std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds)));
        timer->async_wait([timer, then = std::move(then)](Error) { then(); });
    }

    const Day day_;
    const std::string sidecar_;
    asio::io_context io_{1};
    std::uint64_t connections_ = 0, calls_ = 0, rev_ = 1;
    std::deque<Acceptor> servers_, discovery_;
    std::vector<std::string> states_;
    std::shared_ptr<Connection> watch_;
    std::deque<std::shared_ptr<Connection>> free_;
    tcp::endpoint listen_;
    std::filesystem::path file_;
    pid_t process_ = 0;
    Steady::time_point begin_;
    bool asking_ = true;
    std::mt19937_64 random_{1};
    Figures figures_;
};

// The operators' limits on the growth from `usual`.
void print(const Figures& usual, const Figures& f, const Day& day) {
    const double thousands = static_cast<double>(day.servers) / 1000;
    const auto row = [&](const char* what, double value, double most, bool least = false) {
        const bool within = least ? value >= most : value <= most;
        fmt::print("| {} | {} | {} | {:.3f} | {:.3f} | {} |\n", day.servers, day.sidecars, what, value, most,
                   within ? "within" : "NOT within");
    };
    row("CPU seconds", f.processor_seconds, 1.4 * usual.processor_seconds + 0.02 + 0.03 * thousands);
    row("peak memory, MB", f.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8 + 4 * thousands);
    row("descriptors", static_cast<double>(f.descriptors), 2.0 * static_cast<double>(usual.descriptors) + 40);
    row("connections to servers", static_cast<double>(f.connections),
        2.5 * static_cast<double>(usual.connections) + 40);
    row("bytes of lists, KB", static_cast<double>(f.list_bytes) / 1000,
        2 * static_cast<double>(usual.list_bytes) / 1000 + 64 + 500 * thousands);
    row("share served", f.share_served(), 0.85 * usual.share_served(), true);
}

}  // namespace

int main(int argc, char** argv) {
    Day usual;
    std::string sidecar = "build/elmbay";
    std::vector<std::size_t> sizes{200, 1000, 3200};
    std::vector<std::uint32_t> fleets{300, 900};
    CLI::App app("what a sidecar costs by the size of the fleet");
    app.add_option("--sidecar", sidecar, "the program")->capture_default_str();
    app.add_option("--seconds", usual.seconds, "length of each run")->capture_default_str();
    app.add_option("--rate", usual.rate, "requests a second")->capture_default_str();
    app.add_option("--changes", usual.changes, "of the fleet that the list tells of in a second")
        ->capture_default_str();
    app.add_flag("--known", usual.known, "the configuration has the whole list");
    app.add_option("--servers", sizes, "sizes; the first is the usual one");
    app.add_option("--sidecars", fleets, "numbers that the sidecar is told; the first is the usual one");
    CLI11_PARSE(app, argc, argv);
    fmt::print(
        "| servers | sidecars | what | measured | at most (share: at least) | "
        "|\n|---|---|---|---|---|---|\n");
    std::optional<Figures> base;
    for (const std::uint32_t sidecars : fleets)
        for (const std::size_t servers : sizes) {
            Day day = usual;
            day.servers = servers;
            day.sidecars = sidecars;
            const Figures figures = Run(day, sidecar).play();
            if (!base) base = figures;
            print(*base, figures, day);
            std::fflush(stdout);
        }
}
