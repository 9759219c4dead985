// Measures the resource use of a sidecar for different fleet sizes. It runs the sidecar program with 200,
// 1,000 and 3,200 emulated servers on loopback addresses, an emulated discovery that sends changes of the
// endpoint list, and one client. Next to each figure it prints the operators' limit on growth compared to 200
// servers (STANDING, "More than these days").
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

// The load and the fleet of one run.
struct Workload {
    std::size_t servers = 200;
    std::uint32_t sidecars = 300;
    double seconds = 30;
    double rate = 10;                   // requests a second
    double changes_per_server = 0.005;  // changes of the endpoint list a second per server
    bool list_in_configuration = false;
    std::chrono::milliseconds response_time{20};
};

// The measurements of one run.
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

// A connection of an emulated server, discovery or client. Calls its handler with each complete head that
// arrives.
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
        const auto message_buffer = std::make_shared<std::string>(std::move(message));
        asio::async_write(socket, asio::buffer(*message_buffer),
                          [message_buffer, self = shared_from_this()](Error, std::size_t) {});
    }

    tcp::socket socket;
    OnHead on_head;
    std::array<char, 4096> buffer{};
    std::string unread;
};

// Accepts connections on one address and counts the accepted connections.
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

// Returns an endpoint with an ephemeral port on address number `host` of 127.0.0.0/8.
tcp::endpoint loopback(std::size_t host = 1) {
    return {asio::ip::address_v4(static_cast<std::uint32_t>(0x7f000000U + host)), 0};
}

// One run. The servers, discovery and the client are in this process, and the sidecar is in a child process.
class BenchmarkRun {
public:
    BenchmarkRun(const Workload& workload, std::string program)
        : workload_(workload), program_(std::move(program)) {
        constexpr std::size_t kFirstHost = 0x010001;  // 127.1.0.1
        for (std::size_t i = 0; i < workload_.servers; ++i) {
            servers_.emplace_back(
                io_, loopback(kFirstHost + i), connections_,
                [this](const auto& connection, const std::string&) { respond(connection); });
        }
        server_states_.assign(workload_.servers, "active");
        discovery_.emplace_back(
            io_, loopback(), discovery_connections_,
            [this](const auto& connection, const std::string& head) { respond_with_list(connection, head); });
    }

    Figures execute() {
        start();
        await_ready();
        started_at_ = Steady::now();
        send_requests();
        send_changes();
        send_heartbeats();
        measure_repeatedly();
        const auto length = std::chrono::duration<double>(workload_.seconds);
        io_.run_until(started_at_ + std::chrono::duration_cast<Steady::duration>(length));
        is_sending_ = false;
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

    // Returns an entry of the endpoint list. As on the platform, the order of uids differs from the order of
    // addresses.
    Json endpoint_entry(std::size_t index) {
        constexpr std::array<const char*, 3> kZones{"a", "b", "c"};
        return {{"uid", fmt::format("s-{:08x}", index * 2654435761U & 0xffffffffU)},
                {"endpoint", servers_[index].address()},
                {"az", kZones[index % kZones.size()]},
                {"model", "m" + std::to_string(index % 4)},
                {"pod_group", index % 7},
                {"state", server_states_[index]},
                {"capacity_hint", 1.0},
                {"boot_ms", 0}};
    }
    std::string list_text(const Json& targets, bool all) {
        return Json{{"rev", revision_}, {"all", all}, {"targets", targets}}.dump();
    }
    std::string whole_list() {
        Json targets = Json::array();
        for (std::size_t i = 0; i < workload_.servers; ++i) targets.push_back(endpoint_entry(i));
        return list_text(targets, true);
    }
    // Begins the watch if the request is for a stream, and sends the whole list otherwise.
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
    // Changes the state of one random server between draining and active, and schedules the next change.
    void send_changes() {
        const std::size_t index = random_() % workload_.servers;
        server_states_[index] = server_states_[index] == "active" ? "leaving" : "active";
        ++revision_;
        send_line(list_text(Json::array({endpoint_entry(index)}), false));
        const double changes_per_second =
            workload_.changes_per_server * static_cast<double>(workload_.servers);
        call_after(1 / changes_per_second, [this] { send_changes(); });
    }
    void send_heartbeats() {
        send_line("");
        call_after(2, [this] { send_heartbeats(); });
    }

    // ---- The client -----------------------------------------------------------------------------------

    std::shared_ptr<Connection> idle_connection() {
        while (!idle_connections_.empty()) {
            const auto connection = idle_connections_.front();
            idle_connections_.pop_front();
            // The sidecar closes connections that stay idle.
            if (connection->socket.is_open()) return connection;
        }
        tcp::socket socket(io_);
        socket.connect(sidecar_endpoint_);
        socket.set_option(tcp::no_delay(true));
        // The head contains the status of the response. The body is read together with the next head.
        const auto connection = std::make_shared<Connection>(
            std::move(socket), [this](const std::shared_ptr<Connection>& responded, const std::string& head) {
                const bool served = head.find("HTTP/1.1 200") != std::string::npos;
                if (served) ++figures_.served;
                idle_connections_.push_back(responded);
            });
        connection->read();
        return connection;
    }
    void send_requests() {
        if (!is_sending_) return;
        ++figures_.requests;
        idle_connection()->send(fmt::format(
            "GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: id-{}\r\nX-Service-Class: safe\r\n"
            "X-Time-Left: 1000m\r\n\r\n",
            figures_.requests));
        call_after(std::exponential_distribution<>(workload_.rate)(random_), [this] { send_requests(); });
    }

    // ---- The sidecar ----------------------------------------------------------------------------------

    Json configuration() {
        const Json idempotent = {
            {"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 400}, {"give-up-ms", 1000}};
        Json config = {{"name", "sidecar"},
                       {"listen", "127.0.0.1:" + std::to_string(sidecar_endpoint_.port())},
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
        // Finds a free port for the sidecar to listen on.
        sidecar_endpoint_ = tcp::acceptor(io_, loopback()).local_endpoint();
        configuration_file_ =
            std::filesystem::temp_directory_path() / fmt::format("fleet_size.{}.json", ::getpid());
        std::ofstream(configuration_file_) << configuration().dump();
        sidecar_process_ = ::fork();
        if (sidecar_process_ != 0) return;
        // The sidecar must not inherit this process's descriptors, because its open descriptors are counted.
        constexpr int kFirstInherited = 3;
        constexpr int kMaxDescriptors = 20000;
        for (int descriptor = kFirstInherited; descriptor < kMaxDescriptors; ++descriptor)
            ::close(descriptor);
        ::setenv("RELAY_CONFIG", configuration_file_.c_str(), 1);
        ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    void await_ready() {
        for (bool ready = false; !ready;) {
            tcp::socket socket(io_);
            Error error;
            socket.connect(sidecar_endpoint_, error);
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
        call_after(0.5, [this] { measure_repeatedly(); });
    }
    void measure_memory_and_descriptors() {
        const std::string process = "/proc/" + std::to_string(sidecar_process_);
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
        ::kill(sidecar_process_, SIGTERM);
        rusage used{};
        int status = 0;
        while (::wait4(sidecar_process_, &status, WNOHANG, &used) == 0)
            io_.run_for(std::chrono::milliseconds(10));
        const auto seconds = [](const timeval& time) {
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
        };
        figures_.processor_seconds = seconds(used.ru_utime) + seconds(used.ru_stime);
        std::filesystem::remove(configuration_file_);
    }

    // Calls `callback` once on the event loop after the delay.
    void call_after(double seconds, std::function<void()> callback) {
        const auto timer = std::make_shared<asio::steady_timer>(io_);
        timer->expires_after(
            std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds)));
        timer->async_wait([timer, callback = std::move(callback)](Error) { callback(); });
    }

    const Workload workload_;
    const std::string program_;
    asio::io_context io_{1};
    std::uint64_t connections_ = 0;            // connections from the sidecar to servers
    std::uint64_t discovery_connections_ = 0;  // connections from the sidecar to discovery
    std::uint64_t revision_ = 1;               // version of the endpoint list
    std::deque<Acceptor> servers_;
    std::deque<Acceptor> discovery_;
    std::vector<std::string> server_states_;
    std::shared_ptr<Connection> watch_;
    std::deque<std::shared_ptr<Connection>> idle_connections_;  // idle connections of the client
    tcp::endpoint sidecar_endpoint_;
    std::filesystem::path configuration_file_;
    pid_t sidecar_process_ = 0;
    Steady::time_point started_at_;
    bool is_sending_ = true;
    std::mt19937_64 random_{1};
    Figures figures_;
};

// Prints each figure next to the operators' limit on its growth compared to the `baseline` figures.
void print(const Figures& baseline, const Figures& figures, const Workload& workload) {
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
            1.4 * baseline.processor_seconds + 0.02 + 0.03 * thousands);
    at_most("peak memory, MB", figures.peak_memory_mb, 1.5 * baseline.peak_memory_mb + 8 + 4 * thousands);
    at_most("descriptors", static_cast<double>(figures.descriptors),
            2.0 * static_cast<double>(baseline.descriptors) + 40);
    at_most("connections to servers", static_cast<double>(figures.connections),
            2.5 * static_cast<double>(baseline.connections) + 40);
    at_most("endpoint lists received, KB", static_cast<double>(figures.list_bytes) / 1000,
            2 * static_cast<double>(baseline.list_bytes) / 1000 + 64 + 500 * thousands);
    at_least("share of requests served", figures.share_served(), 0.85 * baseline.share_served());
}

}  // namespace

int main(int argc, char** argv) {
    Workload baseline_workload;
    std::string program = "build/elmbay";
    std::vector<std::size_t> sizes{200, 1000, 3200};
    std::vector<std::uint32_t> sidecar_counts{300, 900};
    CLI::App app("measures the resource use of a sidecar for different fleet sizes");
    app.add_option("--sidecar", program, "path of the sidecar program")->capture_default_str();
    app.add_option("--seconds", baseline_workload.seconds, "length of each run, in seconds")
        ->capture_default_str();
    app.add_option("--rate", baseline_workload.rate, "number of requests a second")->capture_default_str();
    app.add_option("--changes", baseline_workload.changes_per_server,
                   "changes of the endpoint list a second, per server")
        ->capture_default_str();
    app.add_flag("--known", baseline_workload.list_in_configuration,
                 "put the whole endpoint list into the sidecar's configuration");
    app.add_option("--servers", sizes, "fleet sizes in servers; the first is the baseline");
    app.add_option("--sidecars", sidecar_counts,
                   "numbers of sidecars in the sidecar's settings; the first is the baseline");
    CLI11_PARSE(app, argc, argv);
    fmt::print(
        "| servers | sidecars | figure | measured | limit (maximum; minimum for the share) | |\n"
        "|---|---|---|---|---|---|\n");
    std::optional<Figures> baseline_figures;
    for (const std::uint32_t sidecars : sidecar_counts) {
        for (const std::size_t servers : sizes) {
            Workload workload = baseline_workload;
            workload.servers = servers;
            workload.sidecars = sidecars;
            const Figures figures = BenchmarkRun(workload, program).execute();
            if (!baseline_figures) baseline_figures = figures;
            print(*baseline_figures, figures, workload);
            std::fflush(stdout);
        }
    }
}
