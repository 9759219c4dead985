// A scripted server or discovery service, which runs in the test's own event loop.
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

/// A loopback address with port 0, for which the kernel chooses an ephemeral port.
inline Endpoint ephemeral_loopback_endpoint() { return {asio::ip::address_v4::loopback(), 0}; }

/// Formats an address as in configurations and endpoint lists, for example "127.0.0.1:8080".
inline std::string endpoint_text(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/// Accepts every connection on an ephemeral port. It sends no response by itself; each test scripts them.
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

    /// The number of complete requests that were received on all connections together.
    std::size_t request_count() const {
        std::size_t count = 0;
        for (const auto& peer : connections) count += peer->request_count();
        return count;
    }

    /// Responds to each complete request that has had no response from this function yet.
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
    bool reads_automatically = true;  // if false, received bytes stay in the kernel until the test reads them
    std::vector<std::shared_ptr<Peer>> connections;
};

/// Fills a server's accept queue, so that further connections can't be established.
///
/// While the queue is full, the kernel drops the SYN of a new connection (listen(2)), and the client sends it
/// again a second later. open() makes the server accept as before.
class FullAcceptQueue {
public:
    explicit FullAcceptQueue(FakeServer& server) : server_(server) {
        server.acceptor.cancel();
        // A backlog of 0 leaves room for one connection, which is `filler_`.
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
