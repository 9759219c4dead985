/// \file
/// An upper bound to compare with: a policy that sees the state of every server.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "simulation/baselines/balancing_policy.hpp"

namespace elmbay::simulation {

/// How an oracle decides which requests to accept.
struct OracleOptions {
    std::string name;
    /// A request is sent only if it is expected to take less than this share of its latency objective.
    double objective_share = 1;
    /// Whether classes of lower priority weight get a smaller share, which leaves capacity to the others.
    bool by_priority = false;
};

/// The oracles. The bound that reports use is the best of them.
const std::vector<OracleOptions>& oracle_variants();

/// Sends each request where it is expected to complete first, or rejects it at once.
///
/// Knows of every running server that its list has as active: requests executing and queued, the capacity at
/// this moment (speed and warmth) and whether it is frozen; and the mean work of each class. Does not know
/// the work of this request, nor what is to come: arrivals, freezes, crashes.
class OraclePolicy : public BalancingPolicy {
public:
    OraclePolicy(const balancer::Settings& settings, OracleOptions options);

    void set_service_model(const ServiceModel& service_model) override { service_model_ = &service_model; }
    void handle(Millis now, const balancer::Event& event, std::vector<balancer::Action>& actions) override;

private:
    struct Request {
        balancer::RequestClass request_class;
        Millis mean_work = 0;
        Millis deadline = 0;
        std::uint32_t attempts = 0;
        bool has_outstanding_attempt = false;
        bool may_have_run = false;
        bool is_idempotent() const { return request_class.idempotency == balancer::Idempotency::idempotent; }
    };

    // A handler for each event. Those that are not listed change nothing.
    template <class Event>
    void on(const Event& /*event*/) {}
    void on(const balancer::ServerList& list);
    void on(const balancer::RequestArrived& event);
    void on(const balancer::AttemptEnded& event);
    void on(const balancer::ClientDisconnected& event);

    /// Starts an attempt, or answers and forgets the request.
    void assign_server(balancer::RequestId id, Request& request);
    void respond_with_failure(balancer::RequestId id, const Request& request);
    /// Time that a request may be expected to take.
    Millis acceptable_time(const Request& request) const;
    /// Expected time of a request on a server: cores are shared evenly by all that it holds.
    Millis expected_time(std::uint32_t server, Millis work) const;

    const balancer::Settings settings_;
    const OracleOptions options_;
    double max_priority_weight_ = 0;
    const ServiceModel* service_model_ = nullptr;
    Millis now_ = 0;
    std::vector<balancer::Action>* actions_ = nullptr;  // of the event that is handled
    std::map<balancer::ServerId, balancer::EndpointState> servers_;
    std::unordered_map<balancer::RequestId, Request> requests_;
};

}  // namespace elmbay::simulation
