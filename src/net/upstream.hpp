// The servers' side: a pool of connections for each server, and one attempt's life up to its outcome.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>

#include "base/byte_budget.hpp"
#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "http/message.hpp"

namespace elmbay {

using balancer::Outcome;
using balancer::RequestId;
using balancer::ServerId;

using engine::AttemptKey;

class Upstream {
public:
    struct Limits {
        Millis connect_timeout = 250;
        Millis idle_close = 15000;  // servers close what has been idle for so long
    };
    // Called once for each start(), never from within it. The response is there if outcome is completed.
    using Ended = std::function<void(AttemptKey, Outcome, Millis duration, HttpResponse response)>;

    // Asked right before a request is written. A process that was stopped for seconds, or had no core, wakes
    // with everything unread at once, in any order: what would forbid the write may lie there still.
    struct Gate {
        std::function<bool()> list_unread = [] {
            return false;
        };  // the list has said something that has not been read
        std::function<bool(RequestId)> client_disconnected = [](RequestId) {
            return false;
        };  // its caller has closed, whether or not that was handled
    };
    // With the list unread nothing is written, for this long at most: reading it takes the loop one round,
    // and a discovery that sends what nobody reads must not stop everything.
    static constexpr Millis kMaxListWait = 50;

    Upstream(asio::io_context& io, SocketBudget& budget, ByteBudget& bytes, TimerQueue& timers,
             const Clock& clock, Limits limits, Ended ended, Gate gate);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    // What the list says of a server. One that may not be sent to gets no further byte of a new attempt.
    // online_since: when its process started; another one has none of the earlier one's connections.
    void set_server(ServerId id, const Endpoint& endpoint, bool may_send, Millis online_since = 0);
    void forget_server(ServerId id);  // only one without attempts
    std::size_t attempts_at(ServerId id) const;

    // Of a server that set_server() has named. Ends as overdue at until, unless something else ends it
    // before. Its last byte is handed to the kernel before write_by, or it ends as superseded.
    void start_attempt(AttemptKey key, ServerId server, Millis until, Millis write_by,
                       std::shared_ptr<const HttpRequest> request);
    // Closes the attempt's connection before it returns; the attempt ends as recalled.
    void cancel_attempt(AttemptKey key);

    std::size_t idle_connections() const;

private:
    class Connection;
    struct Server;
    struct Attempt;

    void assign(Server& server);
    bool list_first();
    void write(Attempt& attempt, const std::shared_ptr<Connection>& connection);
    void expired(AttemptKey key);
    void end(Attempt& attempt, Outcome outcome, HttpResponse response = {});
    void connection_up(const std::shared_ptr<Connection>& connection);
    void connection_failed(const std::shared_ptr<Connection>& connection);
    void make_idle(const std::shared_ptr<Connection>& connection);
    void retire_idle();
    void close_oldest_idle();
    void leave_idle(Connection& connection);
    void drop();
    bool shed();

    asio::io_context& io_;
    SocketBudget& budget_;
    ByteBudget& bytes_;
    TimerQueue& timers_;
    const Clock& clock_;
    Limits limits_;
    Ended ended_;
    Gate gate_;
    Millis list_waited_since_ = -1;  // none are held for the list
    bool list_look_posted_ = false;
    std::array<char, 32 * 1024> scratch_{};  // what is being read, of one connection at a time
    std::map<ServerId, Server> servers_;
    std::list<Connection*> idle_;  // of all servers, the most recently used last
    std::map<AttemptKey, std::unique_ptr<Attempt>> attempts_;
};

}  // namespace elmbay
