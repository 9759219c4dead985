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

class StatusSocket {
public:
    static constexpr std::size_t kMostConnections = 8;  // at once; who comes beyond that is closed at once

    using Tell = std::function<nlohmann::json()>;
    // A socket file that a dead process left is replaced, one that is listened on is not. Mode 0600. Throws
    // boost::system::system_error if it can't be had.
    StatusSocket(boost::asio::io_context& io, const std::string& path, Tell tell);
    ~StatusSocket();  // takes the file away
    StatusSocket(const StatusSocket&) = delete;
    StatusSocket& operator=(const StatusSocket&) = delete;

private:
    void accept();
    void accept_failed(const boost::system::error_code& error);

    boost::asio::local::stream_protocol::acceptor acceptor_;
    boost::asio::steady_timer accept_again_;
    int failed_accepts_ = 0;  // in a row, of connections that were given up before
    const std::string path_;
    const Tell tell_;
    std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

}  // namespace elmbay
