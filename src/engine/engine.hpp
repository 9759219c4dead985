/// @file
/// The request engine: the one place where frontends meet the decision module.
///
/// A frontend speaks the callers' protocol (HTTP, WebSocket); a backend speaks the servers'. The engine keeps
/// the request table, passes events to the balancer in order and carries its actions to an ActionHandler. It
/// knows no socket, no protocol and no clock: the caller passes `now` with every call, and the ActionHandler
/// sets the timers.
///
/// Guarantees, whatever the frontend or backend:
///
///  - A request gets exactly one final outcome, and none after its client has disconnected.
///  - An attempt starts only when the balancer asks for it. Each start_attempt() is answered by one
///    on_attempt_ended().
///  - Nothing is left of a request once it has its outcome and no attempt of it is in flight.
///
/// docs/design/engine.md has the reasons.
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

/// Names one attempt.
struct AttemptKey {
    RequestId request = 0;
    std::uint32_t number = 0;  ///< attempts of one request count from 0 in the order of their start
    auto operator<=>(const AttemptKey&) const = default;
};

/// How a request ended, for its caller.
struct FinalOutcome {
    /// What the caller may conclude.
    enum class Kind {
        success,   ///< the response of the attempt that just ended is the caller's
        rejected,  ///< the request never ran: a retry is harmless
        failed     ///< the request may or may not have run
    };
    Kind kind = Kind::failed;
    Millis retry_after = 0;  ///< of a rejected request: milliseconds until a retry makes sense; 0: no advice
    bool timed_out = false;  ///< of a failed request: no response came in time, rather than a bad one
};

/// Carries out what the engine decides. Must outlive the engine.
///
/// A handler may call the engine's event functions from within these functions. The engine queues such an
/// event and handles it after the remaining actions of the current one.
class ActionHandler {
public:
    virtual ~ActionHandler() = default;
    /// Starts an attempt. Its end is reported by Engine::on_attempt_ended(), never from within this call.
    /// @param attempt_deadline at which the attempt ends as timed_out at the latest.
    /// @param write_by before which its last byte is written; otherwise it ends as not_sent.
    virtual void start_attempt(AttemptKey key, ServerId server, Millis attempt_deadline, Millis write_by) = 0;
    /// Cancels an attempt in flight. It ends as cancelled, or with an outcome that it had reached before.
    virtual void cancel_attempt(AttemptKey key) = 0;
    /// Reports the request's one final outcome. Not called once the client has disconnected.
    virtual void finish_request(RequestId id, const FinalOutcome& outcome) = 0;
    /// The engine holds nothing of the request any more: whatever is kept for its attempts can be released.
    virtual void release_request(RequestId id) = 0;
    /// Arranges one call of Engine::on_timer(token) at that time or later.
    virtual void set_timer(Millis at, balancer::TimerToken token) = 0;
    /// Subscribes to the endpoint list, or ends the subscription.
    virtual void subscribe(bool active) = 0;
};

/// Request table and event queue round one Balancer.
///
/// Not thread-safe: one thread at a time. A process with many threads puts one Engine behind one executor and
/// posts to it. The table holds the requests that the frontends have reported and that are not released; the
/// frontends bound their number.
class Engine {
public:
    /// @param seed of all random choices of the balancer.
    /// @throws std::invalid_argument naming the setting that makes no sense.
    Engine(balancer::Settings settings, std::uint64_t seed, ActionHandler& action_handler);
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    /// The first call.
    void begin(Millis now);
    /// Passes on what an earlier process had learned. Between begin() and the first endpoint list.
    /// @param age milliseconds since it was saved; negative: not known.
    void restore_state(Millis now, balancer::LearnedState learned_state, Millis age);
    /// @return what has been learned so far, for a snapshot.
    balancer::LearnedState learned_state(Millis now) const { return balancer_.learned_state(now); }

    /// A frontend has received a request. Without effect if its id is in the table already.
    void on_request(Millis now, const balancer::RequestArrived& request);
    /// The client no longer waits. Without effect for a request that is unknown or has its outcome.
    void on_client_disconnected(Millis now, RequestId id);
    /// An attempt has ended. Without effect for a request that is not in the table.
    /// @param duration milliseconds since its start.
    void on_attempt_ended(Millis now, AttemptKey key, Outcome outcome, Millis duration);
    /// An established session has ended. Without effect when it is reported again.
    /// @param broken as in balancer::SessionEnded.
    void on_session_ended(Millis now, RequestId id, bool broken);
    /// The endpoint list, or a change of it, has been read.
    void on_endpoint_list(Millis now, balancer::ServerList list);
    /// A timer that the balancer has set is due.
    void on_timer(Millis now, balancer::TimerToken token);
    /// The number of sidecars that share the servers has changed (balancer::SiblingCountChanged).
    void on_sibling_count(Millis now, std::uint32_t count);

    /// @return size of the table: requests without an outcome, and those with attempts in flight.
    std::size_t requests() const { return requests_.size(); }

private:
    /// One entry of the request table.
    struct RequestState {
        std::uint32_t attempts_started = 0;
        std::uint32_t attempts_in_flight = 0;
        bool is_finished = false;  // it has its final outcome, or its client has disconnected
        Outcome last_outcome = Outcome::not_sent;
    };
    /// An event that waits for the current one's actions.
    struct QueuedEvent {
        Millis now;  // when it happened
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
