/// @file
/// The model of the clients: which requests they send, when, and how they react to responses. It does no I/O
/// and reads no clock.
///
/// Arrivals are drawn in advance and do not depend on responses (open loop), so a slow service does not
/// reduce the offered load. All properties of a request follow from the seed and the request's number; they
/// do not depend on other requests.
#pragma once

#include <optional>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Number of an operation: one task of a user. A client performs it with one or more requests.
using OperationId = std::uint64_t;
/// Number of one request from a client to its sidecar. The requests of an operation count from 0.
using ClientRequestId = std::uint64_t;
constexpr std::uint64_t kMaxRequestsPerOperation = 16;
constexpr ClientRequestId client_request_id(OperationId operation, std::uint64_t nth) {
    return operation * kMaxRequestsPerOperation + nth;
}
constexpr OperationId operation_of(ClientRequestId id) { return id / kMaxRequestsPerOperation; }

/// The start of an operation.
struct ClientArrival {
    Millis at = 0;
    std::uint32_t sidecar = 0, class_index = 0;
};

/// How a request ended for its client.
enum class ResponseKind {
    served,    ///< 200.
    rejected,  ///< 429 or 503: the request did not run, so a retry is safe.
    failed,    ///< Any other response, or one that broke off.
    none       ///< No response: the request timed out, or its connection was closed or refused.
};

/// One request from a client to its sidecar.
struct ClientRequest {
    ClientRequestId id = 0;
    Millis at = 0;       ///< When it is sent.
    Millis timeout = 0;  ///< How long the client waits; the request carries this value to the sidecar.
    Millis disconnect_after = 0;  ///< Time after `at` when the client disconnects early; 0: it does not.
};

/// The clients of a scenario. The scenario outlives the model.
class ClientModel {
public:
    explicit ClientModel(const Scenario& scenario);

    /// All operations in order of time; the index is the OperationId.
    const std::vector<ClientArrival>& arrivals() const { return arrivals_; }
    const ClientArrival& arrival_of(OperationId operation) const { return arrivals_[operation]; }
    ClientRequest first_request(OperationId operation) const;
    /// Returns the request that the client sends after `last` ended at `now`, or nothing if the operation is
    /// over. A non-idempotent request is retried only after a rejection, because only then is it certain that
    /// it did not run.
    ///
    /// @param retry_after  the delay that the response specifies; 0: none
    std::optional<ClientRequest> next_request(Millis now, const ClientRequest& last, ResponseKind response,
                                              Millis retry_after) const;

    /// Core time of an operation's requests.
    Millis work(OperationId operation) const;
    /// Core time of one attempt at one server.
    Millis attempt_work(OperationId operation, std::uint32_t server) const;

private:
    ClientRequest make_request(OperationId operation, std::uint64_t nth, Millis at) const;

    const Scenario& scenario_;
    std::vector<ClientArrival> arrivals_;
};

}  // namespace elmbay::simulation
