// The WebSocket front and its back: upgrades on both sides, and the sessions that stand.
//
// It decides nothing about requests: the engine says where an upgrade goes and what becomes of it. For each
// taken upgrade there is one finish() or one `gone`; for each start() one `attempt_ended`, never from within
// it; for each session that serve() began one `ended`.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "websocket/session.hpp"
#include "websocket/settings.hpp"

namespace elmbay::websocket {

using balancer::Outcome;
using balancer::RequestId;
using balancer::ServerId;
using engine::AttemptKey;

class Front {
public:
    struct Handlers {
        std::function<void(AttemptKey, Outcome, Millis duration)> on_attempt_ended;
        std::function<void(RequestId)>
            on_client_disconnected;  // the client left while its upgrade was in work
        std::function<void(RequestId, bool broken)> on_session_ended;  // Session::Ended
    };

    // Sockets of clients and servers come out of the budget's part for sessions.
    Front(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
          const Settings& settings, Millis connect_timeout, std::uint64_t seed, Handlers handlers);
    ~Front();
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    // A client whose head has no problem, taken over with its connection. False: its address has
    // `most_of_client` already; it has been told so (403), and the engine must not hear of it.
    bool take(RequestId id, asio::ip::tcp::socket client, HttpRequest head);
    // Whether take() could count the client's socket; false: the engine is to be told that there is no place.
    bool has_capacity(RequestId id) const;
    bool has(RequestId id) const { return upgrades_.contains(id); }

    // Begins an upgrade at a server, to end as overdue at `until` at the latest.
    void start(AttemptKey key, ServerId server, const Endpoint& endpoint, Millis until, Millis write_by);
    void cancel(AttemptKey key);  // ends as recalled
    // The engine's outcome: the session begins, or the client has its answer and a close.
    void serve(RequestId id);
    void refuse(RequestId id, HttpResponse answer);

    // May it be sent to? If not any more, upgrades that are not written yet end as superseded, and its
    // sessions are told to come back later, spread over `drain`.
    void set_server(ServerId id, bool may_send);
    void forget_server(ServerId id) { draining_.erase(id); }
    // All sessions are told that this sidecar goes, spread over `ending`; one that begins later likewise.
    void end_all();
    // done: once, when no upgrade and no session is left.
    void when_empty(std::function<void()> done);

    std::size_t sessions() const { return sessions_.size(); }
    std::size_t upgrades() const { return upgrades_.size(); }

private:
    class Client;
    struct Attempt;
    struct Standing {
        std::shared_ptr<Session> session;
        ServerId server = 0;
        std::string client;
        bool told = false;  // that it is to end
    };

    void connected(const std::shared_ptr<Attempt>& attempt, boost::system::error_code error);
    void end(const std::shared_ptr<Attempt>& attempt, Outcome outcome);
    void left(RequestId id);
    void forget_client(const std::string& address);
    void tell(const std::vector<RequestId>& ids, Millis within, ws::close_code code, const char* why);
    void tell_if_empty();
    void session_ended(RequestId id, bool broken);

    asio::io_context& io_;
    SocketBudget& budget_;
    TimerQueue& timers_;
    const Clock& clock_;
    const Settings settings_;
    const Millis connect_timeout_;
    std::mt19937_64 random_;
    Handlers handlers_;
    std::unordered_map<RequestId, std::shared_ptr<Client>> upgrades_;
    std::map<AttemptKey, std::shared_ptr<Attempt>> attempts_;
    std::unordered_map<RequestId, Standing> sessions_;
    std::unordered_map<std::string, std::uint64_t> of_client_;  // upgrades and sessions by address
    std::set<ServerId> draining_;  // of those that the list names, or that have sessions
    std::function<void()> done_;
    bool ending_ = false;
};

}  // namespace elmbay::websocket
