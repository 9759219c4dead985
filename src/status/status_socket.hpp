// What a sidecar believes, for people and tests: a Unix stream socket on which each connection gets one JSON
// object and the end. Off without a path; nothing is read from who connects, so nothing can be sent to it.
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
class StatusSocket {
public:
    /// At once; who connects beyond that is closed at once.
    static constexpr std::size_t kMaxConnections = 8;

    /// Called for each connection; returns what it is told.
    using StatusSource = std::function<nlohmann::json()>;

    /// A socket file that a dead process left is replaced, one that is listened on is not. Mode 0600.
    /// @param path where to listen.
    /// @throws boost::system::system_error if it can't.
    StatusSocket(boost::asio::io_context& io, const std::string& path, StatusSource source);
    ~StatusSocket();  ///< takes the file away
    StatusSocket(const StatusSocket&) = delete;
    StatusSocket& operator=(const StatusSocket&) = delete;

private:
    void accept();
    void accept_failed(const boost::system::error_code& error);

    boost::asio::local::stream_protocol::acceptor acceptor_;
    boost::asio::steady_timer accept_again_;
    int failed_accepts_ = 0;  // in a row, of connections that were given up before
    const std::string path_;
    const StatusSource source_;
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
};

}  // namespace elmbay
