// The test's end of a TCP connection: collects received bytes and sends the bytes that the test specifies.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace elmbay::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A client's connection to the sidecar, or a FakeServer's connection from it.
///
/// Writes block until the kernel has accepted all bytes. Reads run on the event loop, from read() until the
/// other end closes. Always owned by a std::shared_ptr, which a pending read keeps alive.
struct Peer : std::enable_shared_from_this<Peer> {
    explicit Peer(tcp::socket connected) : socket(std::move(connected)) {
        socket.set_option(tcp::no_delay(true));
    }

    /// Starts to append received bytes to `received`, until the connection ends.
    void read() {
        socket.async_read_some(asio::buffer(buffer), [self = shared_from_this()](
                                                         boost::system::error_code error, std::size_t size) {
            if (error) {
                self->closed = true;
                self->close_error = error;
                return;
            }
            self->received.append(self->buffer.data(), size);
            self->read();
        });
    }

    /// Appends the bytes that the kernel holds to `received`, without running the event loop.
    void read_available() {
        boost::system::error_code error;
        while (socket.is_open() && socket.available(error) > 0 && !error) {
            const std::size_t size = socket.read_some(asio::buffer(buffer), error);
            received.append(buffer.data(), size);
        }
    }

    /// Writes all of `text`. Errors are ignored: the other end may have closed.
    void send(const std::string& text) {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(text), error);
    }

    void close() {
        boost::system::error_code error;
        socket.close(error);
    }

    /// Resets the connection, as the kernel does when a process is killed.
    void reset() {
        socket.set_option(asio::socket_base::linger(true, 0));
        close();
    }

    /// The number of complete requests that were received. No test sends a body that contains a blank line.
    std::size_t request_count() const { return occurrences("\r\n\r\n"); }

    /// The number of responses whose status line was received.
    std::size_t response_count() const { return occurrences("HTTP/1.1 "); }

    /// Sends a response with a Content-Length.
    void respond(const std::string& status, const std::string& body = "", const std::string& headers = "") {
        const std::string length = "Content-Length: " + std::to_string(body.size());
        send("HTTP/1.1 " + status + "\r\n" + headers + length + "\r\n\r\n" + body);
    }

    tcp::socket socket;
    std::array<char, 4096> buffer{};
    std::string received;  // all bytes received so far
    bool closed = false;
    boost::system::error_code close_error;   // asio::error::eof for a clean close
    std::size_t answered_request_count = 0;  // requests that respond_to_all() has answered

private:
    std::size_t occurrences(const std::string& text) const {
        std::size_t count = 0;
        std::size_t position = received.find(text);
        while (position != std::string::npos) {
            ++count;
            position = received.find(text, position + text.size());
        }
        return count;
    }
};

/// The version and status code of the first response that `peer` received, for example "HTTP/1.1 200".
inline std::string status_of(const Peer& peer) {
    constexpr std::size_t kStatusLength = 12;
    return peer.received.substr(0, kStatusLength);
}

}  // namespace elmbay::test
