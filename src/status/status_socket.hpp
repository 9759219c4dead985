/// @file
/// The status of a sidecar for people and tests: a Unix stream socket on which each connection gets one JSON
/// object and is closed. Nothing is read from a connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace elmbay {

/// Listens as long as it lives. Not thread-safe: it runs on the loop's thread, and the loop must outlive it.
/// Memory: at most kMaxConnections copies of the status.
class StatusSocket {
public:
    /// Open at the same time; a further connection is closed at once.
    static constexpr std::size_t kMaxConnections = 8;

    /// Called for each connection; returns the object to write.
    using StatusSource = std::function<nlohmann::json()>;

    /// Replaces the socket file of a dead process, never one that is listened on. Mode 0600.
    /// @param path where to listen.
    /// @throws boost::system::system_error if it can't listen there.
    StatusSocket(boost::asio::io_context& io, const std::string& path, StatusSource source);
    ~StatusSocket();  ///< removes the file
    StatusSocket(const StatusSocket&) = delete;
    StatusSocket& operator=(const StatusSocket&) = delete;

private:
    void accept();
    void write_status(boost::asio::local::stream_protocol::socket socket);
    void accept_failed(const boost::system::error_code& error);

    boost::asio::local::stream_protocol::acceptor acceptor_;
    boost::asio::steady_timer accept_again_;
    int failed_accepts_ = 0;  // in a row, of connections that were aborted before
    const std::string path_;
    const StatusSource source_;
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace elmbay
