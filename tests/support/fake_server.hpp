// A stand-in for a server or for discovery, in the test's own event loop.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/sockets.hpp"
#include "support/peer.hpp"

namespace elmbay::test {

/// An ephemeral port on loopback.
inline Endpoint ephemeral_loopback_endpoint() { return {asio::ip::address_v4::loopback(), 0}; }

/// "127.0.0.1:8080", as configurations and endpoint lists write an address.
inline std::string endpoint_text(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Accepts every connection on an ephemeral port and answers nothing by itself: each test does.
struct FakeServer {
    explicit FakeServer(asio::io_context& io) : acceptor(io, ephemeral_loopback_endpoint()) { accept(); }

    void accept() {
        acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error) return;
            connections.push_back(std::make_shared<Peer>(std::move(socket)));
            if (reads_automatically) connections.back()->read();
            accept();
        });
    }

    /// How many requests have arrived whole, on all connections together.
    std::size_t request_count() const {
        std::size_t count = 0;
        for (const auto& peer : connections) count += peer->request_count();
        return count;
    }

    /// Answers each request that has arrived whole and that this has not answered before.
    void respond_to_all() {
        for (const auto& peer : connections) {
            while (!peer->closed && peer->answered_request_count < peer->request_count()) {
                ++peer->answered_request_count;
                peer->respond("200 OK", "answer");
            }
        }
    }

    /// The connection that was accepted last.
    Peer& last_connection() { return *connections.back(); }
    std::string address() const { return endpoint_text(acceptor.local_endpoint()); }

    tcp::acceptor acceptor;
    bool reads_automatically = true;  // false: what arrives stays in the kernel until the test reads it
    std::vector<std::shared_ptr<Peer>> connections;
};

/// Fills a server's accept queue, so that further connections stay in the making.
///
/// The kernel drops the SYN of a connection that finds the queue full (listen(2)); its client tries again a
/// second later. open() lets the server accept as before.
class FullAcceptQueue {
public:
    explicit FullAcceptQueue(FakeServer& server) : server_(server) {
        server.acceptor.cancel();
        // A backlog of 0 leaves one place, which `filler_` takes.
        EXPECT_EQ(::listen(server.acceptor.native_handle(), 0), 0);
        tcp::socket filler(server.acceptor.get_executor());
        filler.connect(server.acceptor.local_endpoint());
        filler_ = std::move(filler);
    }

    void open() {
        constexpr int kUsualBacklog = 128;
        ::listen(server_.acceptor.native_handle(), kUsualBacklog);
        server_.accept();
    }

private:
    FakeServer& server_;
    std::optional<tcp::socket> filler_;
};

}  // namespace elmbay::test
