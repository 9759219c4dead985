// The application's side: its connections, GET /up, requests in, answers out. Decides nothing about requests.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "base/byte_budget.hpp"
#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "http/message.hpp"
#include "http/request_validation.hpp"

namespace elmbay {

// How a request came in.
struct ReceivedRequest {
    Millis kernel_queue_time =
        0;  // in the kernel since its last byte came, in ms; 0 where the kernel does not tell
    bool has_capacity = true;  // false: taken in on the reserve of sockets, it must have its answer at once
};

class Listener {
public:
    struct Handlers {
        std::function<std::optional<RequestProblem>(const RequestHead&)> validate;  // why it can't be used
        std::function<void(RequestId, HttpRequest, ReceivedRequest)>
            on_request;  // each gets one respond() or on_client_disconnected()
        std::function<void(RequestId)> on_client_disconnected;
        std::function<bool()> ready;  // for GET /up
        // Whether a request without a problem asks for the connection itself; none: never. Then `on_upgrade`
        // gets both, in place of `on_request`, and answers them.
        std::function<bool(const RequestHead&)> is_upgrade{};
        std::function<void(RequestId, asio::ip::tcp::socket, HttpRequest, ReceivedRequest)> on_upgrade{};
    };

    // A port that is taken is waited for: a planned restart may begin before the last life has ended
    // (PROTOCOL: 3.7 s after SIGTERM at the latest). Between two tries, ms.
    static constexpr int kBindWait = 5000, kBindAgain = 20;
    // longest: how long any client waits for its answer, by the settings.
    // Throws boost::system::system_error if the address can't be listened on.
    Listener(asio::io_context& io, const Endpoint& listen, SocketBudget& budget, ByteBudget& bytes,
             TimerQueue& timers, const Clock& clock, Millis longest, Handlers handlers);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // The final answer. Without effect where the client has gone.
    void respond(RequestId id, HttpResponse response);

    // Goes on accepting for kLinger, answers with Connection: close, takes nothing more after kLastTaken, and
    // calls done once no connection is left. The platform kills no sooner than the longest deadline and 0.7 s
    // after it has told us to end (PROTOCOL): what is taken by kLastTaken has its answer by then.
    static constexpr Millis kLinger = 500, kLastTaken = 650;
    void drain(std::function<void()> done);

    // Whether its client has closed, or ended its sending, which is the same, or has sent more, which ends
    // its request; looks at the socket itself, ahead of the event that tells.
    bool client_disconnected(RequestId id) const;

    Endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
    std::size_t connections() const { return fresh_.size() + kept_.size(); }

private:
    class Connection;
    using Connections = std::list<std::shared_ptr<Connection>>;  // the longest idle first

    void bind(const Endpoint& listen);
    void accept();
    void accept_failed(const boost::system::error_code& error);
    void accept_later();
    void socket_free();
    void stop_accepting(Millis last);
    bool accept_waiting();
    void admit(asio::ip::tcp::socket socket);
    bool shed();
    static bool close_one(std::shared_ptr<Connection> connection);
    void end_idle();
    void stop_reading();
    void rested(Connection& connection);
    void remove(Connection& connection);
    // False for an id that is in work, or has been a moment ago.
    bool remember(std::string_view id);

    asio::io_context& io_;
    asio::ip::tcp::acceptor acceptor_;
    SocketBudget& budget_;
    ByteBudget& bytes_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Millis longest_;
    Handlers handlers_;
    Connections fresh_, kept_;  // that never asked, and the others
    std::unordered_set<std::string> ids_,
        earlier_ids_;  // taken of late; the first becomes the second in turn
    Millis ids_until_ = 0;
    std::array<char, 64 * 1024> waste_{};  // what nobody wants; written to and never read
    std::unordered_map<RequestId, Connection*> in_work_;
    RequestId next_id_ = 1;
    bool accepting_ = false;
    int failed_accepts_ = 0;          // in a row, of connections that were given up before
    bool starved_ = false;            // a client may wait in the kernel's queue, and no socket is to be had
    TimerQueue::Key accept_timer_{};  // the next try, when nothing tells of a free socket before
    bool draining_ = false, closing_ = false;                        // told to end; no longer accepting
    Millis taking_until_ = std::numeric_limits<Millis>::infinity();  // requests; told to end, kLastTaken
    std::function<void()> done_;
};

}  // namespace elmbay
