// The application's side: its connections, GET /up, requests in, answers out. Decides nothing about requests.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "net/config.hpp"
#include "net/sockets.hpp"
#include "net/timing.hpp"

namespace elmbay {

namespace http = boost::beast::http;
using hollybeam::RequestId;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::size_t kMostBody = 64 * 1024;
constexpr std::size_t kMostHeader = 16 * 1024;

// Takes off what belongs to one connection only and must not be passed on.
void remove_hop_by_hop(http::fields& fields);

class Listener {
public:
    struct Handlers {
        std::function<void(RequestId, HttpRequest)> arrived;  // each gets exactly one answer() or gone()
        std::function<void(RequestId)> gone;
        std::function<bool()> ready;  // for GET /up
    };

    // Throws boost::system::system_error if the address can't be listened on.
    Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& budget, TimerQueue& timers,
             const Clock& clock, Handlers handlers);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // The final answer. Without effect where the client has gone.
    void answer(RequestId id, HttpResponse response);

    // Goes on accepting for kLinger, answers with Connection: close, and calls done once no connection is
    // left.
    void drain(std::function<void()> done);

    Endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
    std::size_t connections() const { return connections_.size(); }

private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;  // the longest idle first

    void accept();
    void accept_waiting();
    void admit(asio::ip::tcp::socket socket);
    bool shed();
    void close_idle();
    void remove(Connection& connection);

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    Handlers handlers_;
    Connections connections_;
    std::unordered_map<RequestId, Connection*> in_work_;
    RequestId next_id_ = 1;
    bool accepting_ = false;
    bool draining_ = false, closing_ = false;
    std::function<void()> done_;
};

}  // namespace elmbay
