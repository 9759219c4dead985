// The engine: the one place where fronts (what callers speak) meet the decision module.
//
// It keeps the table of requests, gives the module its events in order and carries its actions to a
// ActionHandler. It knows no socket, no protocol and no clock: the caller gives `now` (milliseconds, never
// going back) with every call, and timers are the ActionHandler's. What it guarantees, whatever front or back
// it serves:
//
//  - a request that was taken gets exactly one final outcome, and none after its caller has gone;
//  - an attempt starts only on the module's word, and each start() is answered by one attempt_ended();
//  - nothing is left of a request once it has its outcome and no attempt of it is out.
//
// Calls from within the ActionHandler's functions are allowed: what they bring about is handled after the
// other actions of the event at hand, in order.
//
// Not thread-safe: one thread at a time. A process with many threads puts one Engine behind one executor and
// posts to it (see docs/design/engine.md).
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "elmbay/balancer.hpp"

namespace elmbay::engine {

using balancer::Millis;
using balancer::Outcome;
using balancer::RequestId;
using balancer::ServerId;

// One attempt: number of a request, counted from 0 in the order in which they start.
struct AttemptKey {
    RequestId request = 0;
    std::uint32_t number = 0;
    auto operator<=>(const AttemptKey&) const = default;
};

// How a request ended, for its caller.
struct FinalOutcome {
    enum class Kind {
        success,   // the completed attempt's answer is the caller's
        rejected,  // trying again is harmless
        failed     // promises nothing
    };
    Kind kind = Kind::failed;
    Millis retry_after = 0;  // rejected: when to come back; 0: no advice
    bool timed_out = false;  // failed: nothing came in time, rather than a wrong thing
};

// Where the engine's actions go. It must outlive the engine.
class ActionHandler {
public:
    virtual ~ActionHandler() = default;
    // Begins an attempt, to end as overdue at `until` at the latest, and as superseded if it has not been
    // written whole before `write_by`. Its end is told by attempt_ended(), never from within this call.
    virtual void start(AttemptKey key, ServerId server, Millis until, Millis write_by) = 0;
    // Withdraws one that is out; it ends as recalled, or as what it was about to end as.
    virtual void cancel(AttemptKey key) = 0;
    // The request's one final outcome. Not called for one whose caller has gone.
    virtual void finish(RequestId id, const FinalOutcome& outcome) = 0;
    // Nothing is left of the request here: what the front keeps for its attempts can go.
    virtual void forget(RequestId id) = 0;
    virtual void set_timer(Millis at, balancer::TimerToken token) = 0;
    virtual void subscribe(bool active) = 0;
};

class Engine {
public:
    // Throws std::invalid_argument for settings that make no sense.
    Engine(balancer::Settings settings, std::uint64_t seed, ActionHandler& port);
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // The first call.
    void begin(Millis now);
    // What an earlier life had learned and how long ago; between begin() and the first listed().
    void restore_state(Millis now, balancer::LearnedState learned_state, Millis age);
    balancer::LearnedState learned_state(Millis now) const { return balancer_.learned_state(now); }
    // A request has been taken. Its id must be new; one that is in the table already is left as it is.
    void on_request(Millis now, const balancer::RequestArrived& request);
    // Its caller no longer waits. Unknown or finished ones are nothing new.
    void on_client_disconnected(Millis now, RequestId id);
    void on_attempt_ended(Millis now, AttemptKey key, Outcome outcome, Millis duration);
    // A session that was served has ended (balancer::SessionEnded); the second time says nothing.
    void on_session_ended(Millis now, RequestId id, bool broken);
    void on_endpoint_list(Millis now, balancer::ServerList list);
    void on_timer(Millis now, balancer::TimerToken token);
    // So many sidecars share the servers now (balancer::SiblingsKnown).
    void on_sibling_count(Millis now, std::uint32_t count);

    // Requests in the table: those without an outcome, and those with attempts still out.
    std::size_t requests() const { return requests_.size(); }

private:
    struct Request {
        std::uint32_t sent = 0, out = 0;  // attempts
        bool over = false;                // it has its final outcome, or its caller has gone
        Outcome last = Outcome::not_sent;
    };

    void dispatch(Millis now, balancer::Event event);
    void run(const balancer::Action& action);
    void finish(RequestId id, const FinalOutcome& outcome);
    void settle(RequestId id);

    ActionHandler& action_handler_;
    balancer::Balancer balancer_;
    std::unordered_map<RequestId, Request> requests_;
    struct Pending {
        Millis now;
        balancer::Event event;
    };
    std::deque<Pending> events_;  // in order; an action may bring about the next
    bool handling_ = false;
};

}  // namespace elmbay::engine
