/// @file
/// A Unix stream socket that serves the status of a sidecar to operators and tests. It sends one JSON object
/// on each connection and closes the connection. It reads nothing from connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace elmbay {

/// The listening status socket, which is open from construction to destruction. Not thread-safe: it runs on
/// the event loop's thread, and the event loop must outlive it. Memory: at most kMaxConnections copies of the
/// status.
class StatusSocket {
public:
    /// Maximum number of open connections. Further connections are closed at once.
    static constexpr std::size_t kMaxConnections = 8;

    /// Returns the object to write. Called for each connection.
    using StatusSource = std::function<nlohmann::json()>;

    /// Opens the socket with file mode 0600. Replaces the socket file of a process that has ended, but not
    /// one on which a process listens.
    /// @param path path of the socket file.
    /// @throws boost::system::system_error if the socket can't listen at the path.
    StatusSocket(boost::asio::io_context& io, const std::string& path, StatusSource source);
    ~StatusSocket();  ///< removes the socket file
    StatusSocket(const StatusSocket&) = delete;
    StatusSocket& operator=(const StatusSocket&) = delete;

private:
    void accept();
    void write_status(boost::asio::local::stream_protocol::socket socket);
    void accept_failed(const boost::system::error_code& error);

    boost::asio::local::stream_protocol::acceptor acceptor_;
    boost::asio::steady_timer accept_timer_;
    int failed_accepts_ = 0;  // consecutive connections that were aborted before they were accepted
    const std::string path_;
    const StatusSource source_;
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace elmbay
