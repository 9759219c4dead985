/// @file
/// A policy with access to the state of every server, as an upper bound for other policies.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "simulation/baselines/balancing_policy.hpp"

namespace elmbay::simulation {

/// Criteria by which an oracle accepts requests.
struct OracleOptions {
    std::string name;
    /// A request is sent only if it is expected to take less than this share of its latency objective.
    double objective_share = 1;
    /// Whether classes of lower priority weight get a smaller share, which leaves capacity to the others.
    bool by_priority = false;
};

/// Returns the oracle variants. Reports use the best of them as the bound.
const std::vector<OracleOptions>& oracle_variants();

/// Sends each request to the server where it is expected to complete first, or rejects it immediately.
///
/// Its input is the state of every running server that its endpoint list shows as active (executing and
/// queued requests, current capacity from speed and slow start, whether it is frozen) and the mean work of
/// each class. Its input does not include the work of the request at hand or future events (arrivals,
/// freezes, crashes).
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

    // Handlers of events. The template handles all other events, which have no effect.
    template <class Event>
    void on(const Event& /*event*/) {}
    void on(const balancer::ServerList& list);
    void on(const balancer::RequestArrived& event);
    void on(const balancer::AttemptEnded& event);
    void on(const balancer::ClientDisconnected& event);

    /// Starts an attempt on the best server, or ends the request with a failure response.
    void assign_server(balancer::RequestId id, Request& request);
    void respond_with_failure(balancer::RequestId id, const Request& request);
    /// Returns the maximum expected time with which a request is accepted.
    Millis acceptable_time(const Request& request) const;
    /// Returns the expected time of a request on a server, whose cores all of its requests share evenly.
    Millis expected_time(std::uint32_t server, Millis work) const;

    const balancer::Settings settings_;
    const OracleOptions options_;
    double max_priority_weight_ = 0;
    const ServiceModel* service_model_ = nullptr;
    Millis now_ = 0;
    std::vector<balancer::Action>* actions_ = nullptr;  // actions for the event being handled
    std::map<balancer::ServerId, balancer::EndpointState> servers_;
    std::unordered_map<balancer::RequestId, Request> requests_;
};

}  // namespace elmbay::simulation
