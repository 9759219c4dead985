/// @file
/// The request engine: connects frontends and backends to the decision module.
///
/// A frontend implements the clients' protocol (HTTP, WebSocket); a backend implements the servers' protocol.
/// The engine keeps the request table, passes events to the balancer in order, and passes the balancer's
/// actions to an ActionHandler. It uses no sockets, protocols or clocks: the caller passes `now` with every
/// call, and the ActionHandler sets the timers.
///
/// Guarantees for every frontend and backend:
///
///  - A request gets exactly one final outcome, and none after its client has disconnected.
///  - An attempt starts only when the balancer requests it. One on_attempt_ended() follows each
///  start_attempt().
///  - The engine releases a request once it has its outcome and no attempt of it is in flight.
///
/// docs/design/engine.md gives the reasons.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::engine {

using balancer::Millis;
using balancer::Outcome;
using balancer::RequestId;
using balancer::ServerId;

/// Identifies one attempt.
struct AttemptKey {
    RequestId request = 0;
    std::uint32_t number = 0;  ///< index of the attempt within its request, from 0, in order of start
    auto operator<=>(const AttemptKey&) const = default;
};

/// How a request ended, as reported to the frontend.
struct FinalOutcome {
    /// What the client may conclude from the outcome.
    enum class Kind {
        success,   ///< the response of the attempt that has just ended is the response to the client
        rejected,  ///< no server executed the request, so a retry is harmless
        failed     ///< a server may have executed the request
    };
    Kind kind = Kind::failed;
    Millis retry_after = 0;  ///< for a rejected request: milliseconds until a retry is useful; 0 if unknown
    bool timed_out = false;  ///< for a failed request: true if no response arrived in time
};

/// Executes the actions of the engine. Must outlive the engine.
///
/// A handler may call the engine's event functions from within the functions below. The engine queues such an
/// event and handles it after the remaining actions of the current event.
class ActionHandler {
public:
    virtual ~ActionHandler() = default;
    /// Starts an attempt. The handler reports its end to Engine::on_attempt_ended(), never from within this
    /// call.
    /// @param attempt_deadline time at which the attempt ends as timed_out, if it has not ended before.
    /// @param write_by time by which the last byte of the request must be written; otherwise the attempt ends
    /// as not_sent.
    virtual void start_attempt(AttemptKey key, ServerId server, Millis attempt_deadline, Millis write_by) = 0;
    /// Cancels an attempt in flight. It ends as cancelled, or with an outcome that occurred before this call.
    virtual void cancel_attempt(AttemptKey key) = 0;
    /// Reports the final outcome of a request, once. Not called after the client has disconnected.
    virtual void finish_request(RequestId id, const FinalOutcome& outcome) = 0;
    /// Reports that the engine has released the request, so that the handler can release the data of its
    /// attempts.
    virtual void release_request(RequestId id) = 0;
    /// Sets a timer that calls Engine::on_timer(token) once, at the given time or later.
    virtual void set_timer(Millis at, balancer::TimerToken token) = 0;
    /// Subscribes to the endpoint list, or ends the subscription.
    virtual void subscribe(bool active) = 0;
};

/// The request table and the event queue of one Balancer.
///
/// Not thread-safe. A process with several threads runs an Engine on one executor and posts its calls there.
/// The table contains the requests that frontends have reported and that are not released; the frontends
/// bound their number.
class Engine {
public:
    /// @param seed seed of all random choices of the balancer.
    /// @throws std::invalid_argument with the name of the invalid setting.
    Engine(balancer::Settings settings, std::uint64_t seed, ActionHandler& action_handler);
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    /// Starts the balancer. Must be called before all other functions.
    void begin(Millis now);
    /// Passes the learned state of an earlier process to the balancer. Must be called after begin() and
    /// before the first on_endpoint_list().
    /// @param age milliseconds since the state was saved; negative if unknown.
    void restore_state(Millis now, balancer::LearnedState learned_state, Millis age);
    /// @return the current learned state, for a snapshot.
    balancer::LearnedState learned_state(Millis now) const { return balancer_.learned_state(now); }

    /// Reports that a frontend has received a request. No effect if the table already contains its id.
    void on_request(Millis now, const balancer::RequestArrived& request);
    /// Reports that the client has disconnected. No effect for a request that is unknown or has its outcome.
    void on_client_disconnected(Millis now, RequestId id);
    /// Reports that an attempt has ended. No effect for a request that is not in the table.
    /// @param duration milliseconds since the start of the attempt.
    void on_attempt_ended(Millis now, AttemptKey key, Outcome outcome, Millis duration);
    /// Reports that an established session has ended. No effect if the end was reported before.
    /// @param broken see balancer::SessionEnded.
    void on_session_ended(Millis now, RequestId id, bool broken);
    /// Reports a new endpoint list, or a change of it.
    void on_endpoint_list(Millis now, balancer::ServerList list);
    /// Reports that a timer of the balancer has expired.
    void on_timer(Millis now, balancer::TimerToken token);
    /// Reports the number of sidecars that share the servers (balancer::SiblingCountChanged), when it
    /// changes.
    void on_sibling_count(Millis now, std::uint32_t count);

    /// @return the size of the table: requests without an outcome, and requests with attempts in flight.
    std::size_t requests() const { return requests_.size(); }

private:
    /// One entry of the request table.
    struct RequestState {
        std::uint32_t attempts_started = 0;
        std::uint32_t attempts_in_flight = 0;
        bool is_finished = false;  // the request has its final outcome, or its client has disconnected
        Outcome last_outcome = Outcome::not_sent;
    };
    /// An event that is queued until the actions of the current event have run.
    struct QueuedEvent {
        Millis now;  // time of the event
        balancer::Event event;
    };

    void dispatch(Millis now, balancer::Event event);
    void handle_queued_events();
    void run_action(const balancer::Action& action);
    void start_attempt(const balancer::StartAttempt& action);
    void start_next_attempt(RequestState& request, const balancer::StartAttempt& action);
    void reject_request(const balancer::Reject& action);
    void fail_request(const balancer::Fail& action);
    void finish_request(RequestId id, const FinalOutcome& outcome);
    void release_if_settled(RequestId id);

    ActionHandler& action_handler_;
    balancer::Balancer balancer_;
    std::unordered_map<RequestId, RequestState> requests_;
    std::deque<QueuedEvent> queued_events_;
    bool is_dispatching_ = false;
};

}  // namespace elmbay::engine
