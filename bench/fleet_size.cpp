// What a sidecar costs by the size of the fleet: the real program with 200, 1,000 and 3,200 stand-in servers
// on loopback addresses, a stand-in discovery that sends changes of the endpoint list, and one client. Beside
// each figure is the limit that the operators allow the growth from 200 servers (STANDING, "More than these
// days").
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

// What one run plays.
struct Workload {
    std::size_t servers = 200;
    std::uint32_t sidecars = 300;
    double seconds = 30;
    double rate = 10;                   // requests a second
    double changes_per_server = 0.005;  // changes of the endpoint list a second, for each server
    bool list_in_configuration = false;
    std::chrono::milliseconds response_time{20};
};

// What one run measured.
struct Figures {
    double processor_seconds = 0;
    double peak_memory_mb = 0;
    std::size_t descriptors = 0;
    std::uint64_t connections = 0;
    std::uint64_t list_bytes = 0;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;

    double share_served() const {
        return requests == 0 ? 0 : static_cast<double>(served) / static_cast<double>(requests);
    }
};

// A connection of a stand-in. Calls back with each whole head that has arrived.
struct Connection : std::enable_shared_from_this<Connection> {
    using OnHead = std::function<void(const std::shared_ptr<Connection>&, const std::string& head)>;

    Connection(tcp::socket connected, OnHead handler)
        : socket(std::move(connected)), on_head(std::move(handler)) {}

    void read() {
        socket.async_read_some(asio::buffer(buffer),
                               [self = shared_from_this()](Error error, std::size_t size) {
                                   if (error) {
                                       self->socket.close(error);
                                       return;
                                   }
                                   self->unread.append(self->buffer.data(), size);
                                   self->handle_heads();
                                   self->read();
                               });
    }

    void handle_heads() {
        const std::string head_end = "\r\n\r\n";
        std::size_t size = unread.find(head_end);
        while (size != std::string::npos) {
            const std::string head = unread.substr(0, size);
            unread.erase(0, size + head_end.size());
            on_head(shared_from_this(), head);
            size = unread.find(head_end);
        }
    }

    void send(std::string message) {
        const auto kept = std::make_shared<std::string>(std::move(message));
        asio::async_write(socket, asio::buffer(*kept),
                          [kept, self = shared_from_this()](Error, std::size_t) {});
    }

    tcp::socket socket;
    OnHead on_head;
    std::array<char, 4096> buffer{};
    std::string unread;
};

// Accepts connections on one address and counts them.
class Acceptor {
public:
    Acceptor(asio::io_context& io, const tcp::endpoint& endpoint, std::uint64_t& accepted,
             Connection::OnHead on_head)
        : acceptor_(io, endpoint), accepted_(accepted), on_head_(std::move(on_head)) {
        accept();
    }
    std::string address() const {
        const tcp::endpoint endpoint = acceptor_.local_endpoint();
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
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

// An ephemeral port on address number `host` of 127.0.0.0/8.
tcp::endpoint loopback(std::size_t host = 1) {
    return {asio::ip::address_v4(static_cast<std::uint32_t>(0x7f000000U + host)), 0};
}

// One run: servers, discovery and the client in this process, the sidecar in one of its own.
class Run {
public:
    Run(const Workload& workload, std::string program) : workload_(workload), program_(std::move(program)) {
        constexpr std::size_t kFirstHost = 0x010001;  // 127.1.0.1
        for (std::size_t i = 0; i < workload_.servers; ++i) {
            servers_.emplace_back(
                io_, loopback(kFirstHost + i), connections_,
                [this](const auto& connection, const std::string&) { respond(connection); });
        }
        states_.assign(workload_.servers, "active");
        discovery_.emplace_back(
            io_, loopback(), calls_,
            [this](const auto& connection, const std::string& head) { respond_with_list(connection, head); });
    }

    Figures play() {
        start();
        await_ready();
        begin_ = Steady::now();
        send_requests();
        send_changes();
        send_heartbeats();
        measure_repeatedly();
        const auto length = std::chrono::duration<double>(workload_.seconds);
        io_.run_until(begin_ + std::chrono::duration_cast<Steady::duration>(length));
        sending_ = false;
        io_.run_for(std::chrono::seconds(2));
        measure_memory_and_descriptors();
        stop();
        figures_.connections = connections_;
        return figures_;
    }

private:
    // ---- Servers --------------------------------------------------------------------------------------

    void respond(const std::shared_ptr<Connection>& connection) {
        const auto timer = std::make_shared<asio::steady_timer>(io_, workload_.response_time);
        timer->async_wait([timer, connection](Error) {
            connection->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
    }

    // ---- Discovery ------------------------------------------------------------------------------------

    // An entry of the endpoint list. Uids are spread as the platform's are, so that no order by uid is one by
    // address.
    Json target(std::size_t index) {
        constexpr std::array<const char*, 3> kZones{"a", "b", "c"};
        return {{"uid", fmt::format("s-{:08x}", index * 2654435761U & 0xffffffffU)},
                {"endpoint", servers_[index].address()},
                {"az", kZones[index % kZones.size()]},
                {"model", "m" + std::to_string(index % 4)},
                {"pod_group", index % 7},
                {"state", states_[index]},
                {"capacity_hint", 1.0},
                {"boot_ms", 0}};
    }
    std::string list_of(const Json& targets, bool all) {
        return Json{{"rev", revision_}, {"all", all}, {"targets", targets}}.dump();
    }
    std::string whole_list() {
        Json targets = Json::array();
        for (std::size_t i = 0; i < workload_.servers; ++i) targets.push_back(target(i));
        return list_of(targets, true);
    }
    // Begins a watch, or sends the whole list.
    void respond_with_list(const std::shared_ptr<Connection>& connection, const std::string& head) {
        if (head.find("stream=1") != std::string::npos) {
            watch_ = connection;
            connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            return;
        }
        const std::string body = whole_list();
        figures_.list_bytes += body.size();
        connection->send(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body));
    }
    void send_line(const std::string& line) {
        if (!watch_) return;
        figures_.list_bytes += line.size() + 1;
        watch_->send(fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line));
    }
    // One server after another starts to drain, or is active again.
    void send_changes() {
        const std::size_t index = random_() % workload_.servers;
        states_[index] = states_[index] == "active" ? "leaving" : "active";
        ++revision_;
        send_line(list_of(Json::array({target(index)}), false));
        const double changes_per_second =
            workload_.changes_per_server * static_cast<double>(workload_.servers);
        after(1 / changes_per_second, [this] { send_changes(); });
    }
    void send_heartbeats() {
        send_line("");
        after(2, [this] { send_heartbeats(); });
    }

    // ---- The client -----------------------------------------------------------------------------------

    std::shared_ptr<Connection> idle_connection() {
        while (!idle_.empty()) {
            const auto connection = idle_.front();
            idle_.pop_front();
            if (connection->socket.is_open()) return connection;  // the sidecar closes what is idle for long
        }
        tcp::socket socket(io_);
        socket.connect(listen_);
        socket.set_option(tcp::no_delay(true));
        // The body is read with the next head; a head alone tells how the request went.
        const auto connection = std::make_shared<Connection>(
            std::move(socket), [this](const std::shared_ptr<Connection>& responded, const std::string& head) {
                const bool served = head.find("HTTP/1.1 200") != std::string::npos;
                if (served) ++figures_.served;
                idle_.push_back(responded);
            });
        connection->read();
        return connection;
    }
    void send_requests() {
        if (!sending_) return;
        ++figures_.requests;
        idle_connection()->send(fmt::format(
            "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-{}\r\nX-Service-Class: safe\r\n"
            "X-Time-Left: 1000m\r\n\r\n",
            figures_.requests));
        after(std::exponential_distribution<>(workload_.rate)(random_), [this] { send_requests(); });
    }

    // ---- The sidecar ----------------------------------------------------------------------------------

    Json configuration() {
        const Json idempotent = {
            {"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 400}, {"give-up-ms", 1000}};
        Json config = {{"name", "sidecar"},
                       {"listen", "127.0.0.1:" + std::to_string(listen_.port())},
                       {"discovery", discovery_.front().address()},
                       {"seed", "1f"},
                       {"limits", {{"sockets", 4096}}},
                       {"settings",
                        {{"classes", Json::array({idempotent})},
                         {"limits", {{"max-attempts", 4}, {"may-cancel", true}, {"idle-close-ms", 15000}}},
                         {"membership-mode", "pushed"},
                         {"siblings", workload_.sidecars}}}};
        if (workload_.list_in_configuration) config["known"] = Json::parse(whole_list());
        return config;
    }

    void start() {
        // A free port, which the sidecar takes over.
        listen_ = tcp::acceptor(io_, loopback()).local_endpoint();
        file_ = std::filesystem::temp_directory_path() / fmt::format("fleet_size.{}.json", ::getpid());
        std::ofstream(file_) << configuration().dump();
        process_ = ::fork();
        if (process_ != 0) return;
        // The sidecar must not inherit this process's descriptors: its own are counted.
        constexpr int kFirstInherited = 3;
        constexpr int kMaxDescriptors = 20000;
        for (int descriptor = kFirstInherited; descriptor < kMaxDescriptors; ++descriptor)
            ::close(descriptor);
        ::setenv("RELAY_CONFIG", file_.c_str(), 1);
        ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void await_ready() {
        for (bool ready = false; !ready;) {
            tcp::socket socket(io_);
            Error error;
            socket.connect(listen_, error);
            if (!error) {
                const auto probe = std::make_shared<Connection>(
                    std::move(socket), [&ready](const auto&, const std::string& head) {
                        ready = head.find(" 200 ") != std::string::npos;
                    });
                probe->read();
                probe->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
                io_.run_for(std::chrono::milliseconds(50));
                probe->socket.close(error);
            }
            io_.run_for(std::chrono::milliseconds(20));
        }
    }
    void measure_repeatedly() {
        measure_memory_and_descriptors();
        after(0.5, [this] { measure_repeatedly(); });
    }
    void measure_memory_and_descriptors() {
        const std::string process = "/proc/" + std::to_string(process_);
        const std::filesystem::directory_iterator files(process + "/fd");
        const auto open = static_cast<std::size_t>(std::distance(begin(files), end(files)));
        figures_.descriptors = std::max(figures_.descriptors, open);
        std::ifstream status(process + "/status");
        const std::string peak_memory_kb = "VmHWM:";
        for (std::string line; std::getline(status, line);) {
            if (!line.starts_with(peak_memory_kb)) continue;
            figures_.peak_memory_mb = std::stod(line.substr(peak_memory_kb.size())) / 1024;
        }
    }
    void stop() {
        ::kill(process_, SIGTERM);
        rusage used{};
        int status = 0;
        while (::wait4(process_, &status, WNOHANG, &used) == 0) io_.run_for(std::chrono::milliseconds(10));
        const auto seconds = [](const timeval& time) {
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
        };
        figures_.processor_seconds = seconds(used.ru_utime) + seconds(used.ru_stime);
        std::filesystem::remove(file_);
    }

    // Calls `then` on the event loop once.
    void after(double seconds, std::function<void()> then) {
        const auto timer = std::make_shared<asio::steady_timer>(io_);
        timer->expires_after(
            std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds)));
        timer->async_wait([timer, then = std::move(then)](Error) { then(); });
    }

    const Workload workload_;
    const std::string program_;
    asio::io_context io_{1};
    std::uint64_t connections_ = 0;  // from the sidecar to servers
    std::uint64_t calls_ = 0;        // from the sidecar to discovery
    std::uint64_t revision_ = 1;     // of the endpoint list
    std::deque<Acceptor> servers_;
    std::deque<Acceptor> discovery_;
    std::vector<std::string> states_;
    std::shared_ptr<Connection> watch_;
    std::deque<std::shared_ptr<Connection>> idle_;  // the client's
    tcp::endpoint listen_;
    std::filesystem::path file_;
    pid_t process_ = 0;
    Steady::time_point begin_;
    bool sending_ = true;
    std::mt19937_64 random_{1};
    Figures figures_;
};

// Prints each figure beside the operators' limit on its growth from the `usual` fleet.
void print(const Figures& usual, const Figures& figures, const Workload& workload) {
    const double thousands = static_cast<double>(workload.servers) / 1000;
    const auto print_row = [&](const char* name, double value, double limit, bool within) {
        fmt::print("| {} | {} | {} | {:.3f} | {:.3f} | {} |\n", workload.servers, workload.sidecars, name,
                   value, limit, within ? "within" : "NOT within");
    };
    const auto at_most = [&](const char* name, double value, double limit) {
        print_row(name, value, limit, value <= limit);
    };
    const auto at_least = [&](const char* name, double value, double limit) {
        print_row(name, value, limit, value >= limit);
    };
    at_most("CPU seconds", figures.processor_seconds,
            1.4 * usual.processor_seconds + 0.02 + 0.03 * thousands);
    at_most("peak memory, MB", figures.peak_memory_mb, 1.5 * usual.peak_memory_mb + 8 + 4 * thousands);
    at_most("descriptors", static_cast<double>(figures.descriptors),
            2.0 * static_cast<double>(usual.descriptors) + 40);
    at_most("connections to servers", static_cast<double>(figures.connections),
            2.5 * static_cast<double>(usual.connections) + 40);
    at_most("bytes of lists, KB", static_cast<double>(figures.list_bytes) / 1000,
            2 * static_cast<double>(usual.list_bytes) / 1000 + 64 + 500 * thousands);
    at_least("share served", figures.share_served(), 0.85 * usual.share_served());
}

}  // namespace

int main(int argc, char** argv) {
    Workload usual;
    std::string program = "build/elmbay";
    std::vector<std::size_t> sizes{200, 1000, 3200};
    std::vector<std::uint32_t> sidecar_counts{300, 900};
    CLI::App app("what a sidecar costs by the size of the fleet");
    app.add_option("--sidecar", program, "the program")->capture_default_str();
    app.add_option("--seconds", usual.seconds, "length of each run")->capture_default_str();
    app.add_option("--rate", usual.rate, "requests a second")->capture_default_str();
    app.add_option("--changes", usual.changes_per_server, "of the fleet that the list tells of in a second")
        ->capture_default_str();
    app.add_flag("--known", usual.list_in_configuration, "the configuration has the whole list");
    app.add_option("--servers", sizes, "sizes; the first is the usual one");
    app.add_option("--sidecars", sidecar_counts,
                   "numbers that the sidecar is told; the first is the usual one");
    CLI11_PARSE(app, argc, argv);
    fmt::print(
        "| servers | sidecars | what | measured | at most (share: at least) | |\n"
        "|---|---|---|---|---|---|\n");
    std::optional<Figures> usual_figures;
    for (const std::uint32_t sidecars : sidecar_counts) {
        for (const std::size_t servers : sizes) {
            Workload workload = usual;
            workload.servers = servers;
            workload.sidecars = sidecars;
            const Figures figures = Run(workload, program).play();
            if (!usual_figures) usual_figures = figures;
            print(*usual_figures, figures, workload);
            std::fflush(stdout);
        }
    }
}
