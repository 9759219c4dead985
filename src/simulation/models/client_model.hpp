// The clients: who asks when, for what, and what they do with what they get. No I/O, no clock.
//
// Arrivals are drawn ahead and wait for no answer (open loop): a slow service_model does not make clients
// kinder. Everything about a request follows from the seed and its number, whatever happened to others.
#pragma once

#include <optional>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

// A request is what a person wants; a try is one message to the sidecar. Tries of a request count from 0.
using OperationId = std::uint64_t;
using ClientRequestId = std::uint64_t;
constexpr std::uint64_t kMaxRequestsPerOperation = 16;
constexpr ClientRequestId client_request_id(OperationId request, std::uint64_t nth) {
    return request * kMaxRequestsPerOperation + nth;
}
constexpr OperationId operation_of(ClientRequestId id) { return id / kMaxRequestsPerOperation; }

struct ClientArrival {
    Millis at = 0;
    std::uint32_t sidecar = 0, class_index = 0;
};

enum class ResponseKind {
    served,
    rejected,  // 429 or 503: trying again is harmless
    failed,    // any other answer, or one that broke off
    none       // the time was up, or the connection closed with nothing
};

struct ClientRequest {
    ClientRequestId id = 0;
    Millis at = 0;                // when it is sent
    Millis timeout = 0;           // what it tells the sidecar, and waits
    Millis disconnect_after = 0;  // the client is gone this long after; 0: stays
};

class ClientModel {
public:
    explicit ClientModel(const Scenario& scenario);

    const std::vector<ClientArrival>& arrivals() const { return arrivals_; }
    const ClientArrival& arrival_of(OperationId request) const { return arrivals_[request]; }
    ClientRequest first_request(OperationId request) const;
    // What follows the end of a try at `now`. Nothing: the client gives up or is content. An unsafe request
    // is asked again only after a refusal: only then is it known not to have run.
    std::optional<ClientRequest> next_request(Millis now, const ClientRequest& last, ResponseKind answer,
                                              Millis retry_after) const;

    // Core time of a request, and of one attempt at one server.
    Millis work(OperationId request) const;
    Millis attempt_work(OperationId request, std::uint32_t server) const;

private:
    ClientRequest make(OperationId request, std::uint64_t nth, Millis at) const;

    const Scenario& scenario_;
    std::vector<ClientArrival> arrivals_;
};

}  // namespace elmbay::simulation
