// What the socket tests share: a sidecar on loopback with scripted servers, discovery and clients around it,
// all in one loop. Every address has an ephemeral port; all waiting is for events, with a generous limit.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "sidecar/sidecar.hpp"

namespace elmbay::test {

using tcp = asio::ip::tcp;
using Json = nlohmann::json;

inline Endpoint loopback() { return {asio::ip::address_v4::loopback(), 0}; }

inline std::string text_of(const Endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
}

// One end of a connection: collects what comes.
struct Peer : std::enable_shared_from_this<Peer> {
    explicit Peer(tcp::socket s) : socket(std::move(s)) { socket.set_option(tcp::no_delay(true)); }
    void read() {
        socket.async_read_some(asio::buffer(piece),
                               [self = shared_from_this()](boost::system::error_code error, std::size_t n) {
                                   if (error) {
                                       self->closed = true;
                                       self->why = error;
                                       return;
                                   }
                                   self->got.append(self->piece.data(), n);
                                   self->read();
                               });
    }
    void send(const std::string& text) {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(text), error);
    }
    void close() {
        boost::system::error_code error;
        socket.close(error);
    }
    // Resets the connection, as a process that dies does.
    void reset() {
        socket.set_option(asio::socket_base::linger(true, 0));
        close();
    }
    // The requests that have come whole (none of the tests' requests has a body with a blank line in it).
    std::size_t requests() const {
        std::size_t count = 0;
        for (std::size_t at = 0; (at = got.find("\r\n\r\n", at)) != std::string::npos; at += 4) ++count;
        return count;
    }
    void respond(const std::string& status, const std::string& body = "", const std::string& headers = "") {
        send("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body);
    }

    tcp::socket socket;
    std::array<char, 4096> piece{};
    std::string got;
    bool closed = false;
    boost::system::error_code why;  // how it ended: asio::error::eof in good order
    std::size_t answered = 0;       // for a test that answers each request once
};

struct FakeServer {
    explicit FakeServer(asio::io_context& io) : acceptor(io, loopback()) { accept(); }
    void accept() {
        acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            peers.push_back(std::make_shared<Peer>(std::move(socket)));
            if (reads) peers.back()->read();
            accept();
        });
    }
    std::size_t requests() const {
        std::size_t count = 0;
        for (const auto& p : peers) count += p->requests();
        return count;
    }
    Peer& last() { return *peers.back(); }
    std::string address() const { return text_of(acceptor.local_endpoint()); }

    tcp::acceptor acceptor;
    bool reads = true;  // else what comes stays in the kernel until a test reads it
    std::vector<std::shared_ptr<Peer>> peers;
};

struct NetRig {
    asio::io_context io{1};
    FakeServer discovery{io};
    std::list<FakeServer> servers;
    Json config;
    std::unique_ptr<Sidecar> sidecar;
    std::uint64_t rev = 1;

    explicit NetRig(std::size_t count = 1) {
        config = {
            {"name", "n"},
            {"listen", "127.0.0.1:0"},
            {"discovery", discovery.address()},
            {"seed", "1f"},
            {"limits", {{"sockets", 1024}}},
            {"settings",
             {{"classes",
               {{{"name", "safe"},
                 {"effect", "repeatable"},
                 {"on-time-ms", 20000.0},
                 {"give-up-ms", 60000.0}},
                {{"name", "unsafe"}, {"effect", "once"}, {"on-time-ms", 20000.0}, {"give-up-ms", 60000.0}},
                {{"name", "keyed"},
                 {"effect", "by_key"},
                 {"dedup-scope", "all"},
                 {"dedup-window-ms", 30000.0},
                 {"on-time-ms", 20000.0},
                 {"give-up-ms", 60000.0}}}},
              {"limits",
               {{"max-attempts", 4},
                {"may-cancel", true},
                {"connect-timeout-ms", 10000.0},
                {"idle-close-ms", 15000.0}}},
              {"membership-mode", "pushed"},
              {"siblings", 1}}}};
        for (std::size_t i = 0; i < count; ++i) servers.emplace_back(io);
        config["known"] = {{"rev", 1}, {"all", true}, {"targets", targets()}};
    }
    static Json target(std::size_t index, const std::string& endpoint, const std::string& state = "active") {
        return {{"uid", "s-" + std::to_string(index)},
                {"endpoint", endpoint},
                {"az", "a"},
                {"model", "m"},
                {"pod_group", 1},
                {"state", state},
                {"boot_ms", 0}};
    }
    Json targets(const std::string& state = "active") const {
        Json list = Json::array();
        std::size_t index = 0;
        for (const auto& s : servers) list.push_back(target(index++, s.address(), state));
        return list;
    }
    void start(std::optional<Sidecar::RestoredState> remembered = {},
               const websocket::Settings& websocket = {}) {
        sidecar =
            std::make_unique<Sidecar>(io, parse_config(config.dump()), std::move(remembered), websocket);
        ASSERT_TRUE(until([&] { return discovery.requests() > 0; }));
    }

    template <class Happened>
    bool until(Happened happened) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!happened()) {
            if (std::chrono::steady_clock::now() > limit) return false;
            io.run_one_for(std::chrono::milliseconds(100));
        }
        return true;
    }
    // Something that goes through the whole loop, so that what was pending before has been handled.
    void settle() {
        const auto probe = client();
        probe->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(until([&] { return !probe->got.empty(); }));
    }

    std::shared_ptr<Peer> client() {
        tcp::socket socket(io);
        socket.connect(sidecar->local_endpoint());
        auto peer = std::make_shared<Peer>(std::move(socket));
        peer->read();
        return peer;
    }
    static std::string request(const std::string& grade, const std::string& left = "50000m",
                               const std::string& more = "") {
        static int number = 0;
        return (grade == "safe" ? "GET" : "POST") + std::string(" /api?a=b HTTP/1.1\r\nHost: app.svc\r\n") +
               "X-Correlation-Id: id-" + std::to_string(++number) + "\r\nX-Service-Class: " + grade +
               "\r\nX-Time-Left: " + left + "\r\n" + (grade == "keyed" ? "Idempotency-Key: k\r\n" : "") +
               more + (grade == "safe" ? "" : "Content-Length: 4\r\n") + "\r\n" +
               (grade == "safe" ? "" : "body");
    }

    // Discovery's side of the watch.
    void watch_begins() { discovery.last().send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
    void chunk(const std::string& text) {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        discovery.last().send(size + text + "\r\n");
    }
    std::string line(const Json& entries, bool all) {
        return Json{{"rev", ++rev}, {"all", all}, {"targets", entries}}.dump() + "\n";
    }
};

inline std::string status_of(const Peer& peer) { return peer.got.substr(0, 12); }

}  // namespace elmbay::test
