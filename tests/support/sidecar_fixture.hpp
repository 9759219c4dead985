// A complete sidecar on loopback, with scripted servers, discovery and clients in the same event loop.
#pragma once

#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "sidecar/sidecar.hpp"
#include "support/event_loop.hpp"
#include "support/fake_server.hpp"
#include "support/peer.hpp"

namespace elmbay::test {

using Json = nlohmann::json;

/// Runs one sidecar with servers, discovery and clients that the test scripts.
///
/// Usage: construct it with the number of servers, change `config` where the test needs other settings, call
/// start(), then script the connections. Every address has an ephemeral port. All handlers run on the
/// caller's thread, inside until() and the functions that call it.
///
/// The settings define three request classes: "safe" (idempotent), "unsafe" (non-idempotent) and "keyed"
/// (idempotent by key). All timeouts are far longer than a test runs, unless the test sets others.
struct SidecarFixture {
    asio::io_context io{1};
    FakeServer discovery{io};
    std::list<FakeServer> servers;
    Json config;
    std::unique_ptr<Sidecar> sidecar;
    std::uint64_t list_version = 1;  // version of the endpoint list that was sent last

    explicit SidecarFixture(std::size_t server_count = 1) {
        for (std::size_t i = 0; i < server_count; ++i) servers.emplace_back(io);
        config = {{"name", "n"},
                  {"listen", "127.0.0.1:0"},
                  {"discovery", discovery.address()},
                  {"seed", "1f"},
                  {"limits", {{"sockets", 1024}}},
                  {"settings",
                   {{"classes", request_classes()},
                    {"limits",
                     {{"max-attempts", 4},
                      {"may-cancel", true},
                      {"connect-timeout-ms", 10000.0},
                      {"idle-close-ms", 15000.0}}},
                    {"rules", {{"stop-sending-within-ms", 600000.0}}},
                    {"membership-mode", "pushed"},
                    {"siblings", 1}}},
                  {"known", {{"rev", 1}, {"all", true}, {"targets", targets()}}}};
    }

    // ---- Endpoint lists -----------------------------------------------------------------------------------

    /// An entry of the endpoint list for server number `index`.
    static Json target(std::size_t index, const std::string& endpoint, const std::string& state = "active") {
        return {{"uid", "s-" + std::to_string(index)},
                {"endpoint", endpoint},
                {"az", "a"},
                {"model", "m"},
                {"pod_group", 1},
                {"state", state},
                {"boot_ms", 0}};
    }

    /// Entries for all of `servers`.
    Json targets(const std::string& state = "active") const {
        Json entries = Json::array();
        for (const FakeServer& server : servers) {
            entries.push_back(target(entries.size(), server.address(), state));
        }
        return entries;
    }

    /// A line of the watch with the next version. If `all`, `entries` is the whole list, otherwise the
    /// changes.
    std::string watch_line(const Json& entries, bool all) {
        ++list_version;
        return Json{{"rev", list_version}, {"all", all}, {"targets", entries}}.dump() + "\n";
    }

    /// Sends the head of a watch response on the last connection to discovery.
    void begin_watch() {
        discovery.last_connection().send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// Sends one chunk of the watch on the last connection to discovery.
    void send_chunk(const std::string& text) {
        std::ostringstream message;
        message << std::hex << text.size() << "\r\n" << text << "\r\n";
        discovery.last_connection().send(message.str());
    }

    // ---- The sidecar --------------------------------------------------------------------------------------

    /// Starts the sidecar with `config` and waits for its first call to discovery.
    void start(std::optional<Sidecar::RestoredState> restored = {},
               const websocket::Settings& websocket = {}) {
        sidecar = std::make_unique<Sidecar>(io, parse_config(config.dump()), std::move(restored), websocket);
        ASSERT_TRUE(until([&] { return discovery.request_count() > 0; }));
    }

    /// Reloads the sidecar's configuration from `config`.
    void reload() { sidecar->reload(parse_config(config.dump())); }

    /// Runs the event loop until `condition` returns true. Returns false if kWaitLimit passes before.
    template <class Condition>
    bool until(Condition condition) {
        return run_until(io, condition);
    }

    /// Runs the event loop for `span` of real time.
    void run_for(std::chrono::milliseconds span) {
        bool over = false;
        asio::steady_timer timer(io, span);
        timer.async_wait([&over](boost::system::error_code) { over = true; });
        ASSERT_TRUE(until([&over] { return over; }));
    }

    /// Sends a health check and waits for its response, so that all events that were pending before are
    /// handled.
    void handle_pending_events() {
        const auto probe = connect_client();
        probe->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(until([&] { return !probe->received.empty(); }));
    }

    // ---- Clients ------------------------------------------------------------------------------------------

    /// A request of the class with a unique correlation id. `time_left` is the value of X-Time-Left.
    static std::string request(const std::string& request_class, const std::string& time_left = "50000m",
                               const std::string& headers = "") {
        static int number = 0;
        ++number;
        const bool idempotent = request_class == "safe";
        std::string text = idempotent ? "GET" : "POST";
        text += " /api?a=b HTTP/1.1\r\nHost: app.svc\r\n";
        text += "X-Correlation-Id: id-" + std::to_string(number) + "\r\n";
        text += "X-Service-Class: " + request_class + "\r\n";
        text += "X-Time-Left: " + time_left + "\r\n";
        if (request_class == "keyed") text += "Idempotency-Key: k\r\n";
        text += headers;
        text += idempotent ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
        return text;
    }

    /// Opens a new client connection to the sidecar and starts to read from it.
    std::shared_ptr<Peer> connect_client() {
        tcp::socket socket(io);
        socket.connect(sidecar->local_endpoint());
        auto peer = std::make_shared<Peer>(std::move(socket));
        peer->read();
        return peer;
    }

    /// Opens a client connection and has the first server serve one request on it. The connection stays open.
    std::shared_ptr<Peer> connect_served_client() {
        FakeServer& server = servers.front();
        const std::size_t requests_before = server.request_count();
        auto peer = connect_client();
        peer->send(request("safe"));
        EXPECT_TRUE(until([&] { return server.request_count() == requests_before + 1; }));
        server.last_connection().respond("200 OK", "answer");
        ++server.last_connection().answered_request_count;
        EXPECT_TRUE(until([&] { return peer->received.find("answer") != std::string::npos; }));
        peer->received.clear();
        return peer;
    }

    /// Opens a client connection that does not read, with a small receive buffer and small segments, so that
    /// the kernel can't buffer a long response for it. Call read() on it to receive the response.
    std::shared_ptr<Peer> connect_slow_client() {
        constexpr int kSmallestSegment = 536;
        tcp::socket socket(io);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size(4096));
        EXPECT_EQ(::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &kSmallestSegment,
                               sizeof kSmallestSegment),
                  0);
        socket.connect(sidecar->local_endpoint());
        return std::make_shared<Peer>(std::move(socket));
    }

private:
    static Json request_classes() {
        Json idempotent = {
            {"name", "safe"}, {"effect", "repeatable"}, {"on-time-ms", 20000.0}, {"give-up-ms", 60000.0}};
        Json non_idempotent = {
            {"name", "unsafe"}, {"effect", "once"}, {"on-time-ms", 20000.0}, {"give-up-ms", 60000.0}};
        Json keyed = {{"name", "keyed"},       {"effect", "by_key"},
                      {"dedup-scope", "all"},  {"dedup-window-ms", 30000.0},
                      {"on-time-ms", 20000.0}, {"give-up-ms", 60000.0}};
        return Json::array({idempotent, non_idempotent, keyed});
    }
};

}  // namespace elmbay::test
