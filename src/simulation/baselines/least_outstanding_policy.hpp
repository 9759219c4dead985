/// @file
/// A simple baseline policy, from which the faulty policies are derived.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/random.hpp"
#include "simulation/baselines/balancing_policy.hpp"

namespace elmbay::simulation {

/// Flaws of a LeastOutstandingPolicy, one for each kind of harm to clients that a simulation must detect.
struct PolicyFlaws {
    bool retries_without_limit = false;   ///< Random servers, a short timeout, immediate retries.
    bool duplicates_attempts = false;     ///< Starts a second attempt concurrently with the first.
    bool retries_non_idempotent = false;  ///< Retries requests that must not run twice.
    bool ignores_drains = false;          ///< Keeps sending to servers that drain or are removed.
    bool prefers_newest_server = false;   ///< Sends to the server that started last, even while it is cold.
    bool delays_failures = false;         ///< Sends failure responses only when the deadline is near.
    bool never_ejects = false;            ///< Keeps sending to servers that fail.
};

/// Selects the server with fewer outstanding attempts of two random servers.
///
/// Ejects a server temporarily after consecutive failures, sends no request to a server in slow start, and
/// retries once where the request's class allows it. Correct except for the configured flaws.
class LeastOutstandingPolicy : public BalancingPolicy {
public:
    LeastOutstandingPolicy(const balancer::Settings& settings, std::uint64_t seed, PolicyFlaws flaws)
        : settings_(settings), random_(seed), flaws_(flaws) {}

    void handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) override;

private:
    struct Server {
        balancer::ServerInfo info;
        int outstanding = 0;
        int consecutive_failures = 0;
        Millis ejected_until = 0;
    };
    struct Attempt {
        balancer::ServerId server = 0;
        bool is_outstanding = true;
        bool may_have_run = true;
    };
    struct Request {
        balancer::RequestId id = 0;
        balancer::RequestClass request_class;
        Millis deadline = 0;
        std::vector<Attempt> attempts;
        bool has_outstanding_attempt() const;
        bool may_have_run() const;
    };

    // Handlers of events. The template handles all other events, which have no effect.
    template <class Event>
    void on(const Event& /*event*/) {}
    void on(const balancer::ServerList& list);
    void on(const balancer::RequestArrived& event);
    void on(const balancer::AttemptEnded& event);
    void on(const balancer::ClientDisconnected& event);
    void on(const balancer::TimerFired& event);

    void update_server(const balancer::ServerInfo& info);
    void record_outcome(Server& server, balancer::Outcome outcome);
    bool may_retry(const Request& request) const;
    bool is_usable(const Server& server) const;
    /// Returns the server for the next attempt, or null if no server is usable.
    Server* choose_server();
    /// Returns false if no server is usable. A request without any attempt then ends with a failure response.
    bool start_attempt(Request& request);
    /// Ends the request with a failure response now, or near the deadline if delays_failures is set.
    void respond_with_failure(Request& request);
    /// Rejects or fails the request and removes it.
    void finish(Request& request);
    void cancel_attempts(const Request& request);
    void set_timer(Millis at, balancer::RequestId id);
    void append_action(balancer::Action action) { actions_->push_back(std::move(action)); }

    const balancer::Settings settings_;
    balancer::Random random_;
    const PolicyFlaws flaws_;
    Millis now_ = 0;
    std::vector<balancer::Action>* actions_ = nullptr;  // actions for the event being handled
    std::map<balancer::ServerId, Server> servers_;
    std::unordered_map<balancer::RequestId, Request> requests_;
    std::unordered_map<balancer::TimerToken, balancer::RequestId> timers_;
    balancer::TimerToken last_token_ = 0;
};

}  // namespace elmbay::simulation
