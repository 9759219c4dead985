/// @file
/// Checks the operators' four invariants against observations of servers, clients and the registry. It does
/// not use what a sidecar reports about itself.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "simulation/checking/cold_server_load.hpp"
#include "simulation/models/client_model.hpp"

namespace elmbay::simulation {

/// Properties that must hold in every run.
enum class Invariant {
    /// Every request receives exactly one final response, in time and with the body that a server made for
    /// it.
    one_final_outcome,
    /// A request that must not run twice is not retried after an attempt that may have run, and is not
    /// rejected as if it had not run. A request has at most `max_attempts` attempts, one at a time.
    no_duplicate_effect,
    /// A sidecar starts no attempt on a server later than the grace period after the notice of its drain.
    drain_respected,
    /// Sidecars that were notified of a server's start do not overload the server while it is cold.
    cold_server_not_overloaded
};
constexpr std::size_t kInvariantCount = 4;
/// Returns the name of the invariant in reports.
const char* name_of(Invariant invariant);

/// State of a server when an attempt reaches it, and the work of the attempt.
struct ServerLoad {
    Millis work = 0;
    double capacity = 0;  ///< Milliseconds of work per millisecond.
    Millis started_at = 0;
    bool cold = false;
};

/// Receives the observations of a run in chronological order, and counts the violations of each Invariant.
///
/// Both drivers use it. The virtual driver has the exact time at which a sidecar starts or cancels an
/// attempt. The socket driver observes this only when bytes arrive or a connection ends, and therefore
/// extends every time limit by some slack. Scenario and client model must outlive the checker. Memory use
/// grows with the number of requests of the run. Not thread-safe.
class InvariantChecker {
public:
    /// Maximum examples of violations of each invariant. Further violations are only counted.
    static constexpr std::size_t kMaxExamples = 5;
    /// A failure response is delayed if it arrives later than this share of the latency objective after the
    /// end of the last attempt, or after the arrival of the request if there was no attempt. The decision
    /// module may hold a request for a sixteenth of its objective.
    static constexpr double kPromptFailureShare = 0.25;
    /// Slack for responses of a sidecar that has only part of a core, in virtual time as well. It equals the
    /// slack of every limit on sockets.
    static constexpr Millis kCpuLimitedSlack = 50;

    /// @param slack  added to every time limit
    InvariantChecker(const Scenario& scenario, const ClientModel& clients, Millis slack);

    /// @name Observations of clients
    /// @{
    void on_request_sent(Millis now, const ClientRequest& request);
    /// The last byte of a response arrived, or the client's request timed out (ResponseKind::none).
    ///
    /// @param matches_request  whether the body of a served response was made for this request
    void on_response(Millis now, ClientRequestId id, ResponseKind response, bool matches_request = true);
    void on_client_left(Millis now, ClientRequestId id);
    /// The connection was closed without a response. If there was no attempt, the request certainly did not
    /// run, and it needs no response. Otherwise its outcome is lost.
    void on_connection_closed(Millis now, ClientRequestId id);
    /// Marks the request as needing no response. Reasons are that its sidecar was killed, was shut down
    /// before any attempt, or had too little CPU time to respond.
    void waive_response(ClientRequestId id);
    /// @}

    /// @name Observations of sidecar processes
    /// @{
    void on_sidecar_killed(std::uint32_t sidecar);
    /// The process shut down on request of the driver. Its open requests are lost, and its next process
    /// starts with an empty endpoint list.
    void on_sidecar_stopped(std::uint32_t sidecar);
    /// The process was suspended. Responses to requests that it holds or receives until it is resumed may be
    /// late. Every other limit applies.
    void on_sidecar_paused(std::uint32_t sidecar);
    void on_sidecar_resumed(std::uint32_t sidecar);
    /// The sidecar has only part of a core (`limited`), or a whole core again. A limited sidecar has the
    /// slack kCpuLimitedSlack.
    void on_sidecar_cpu_limited(std::uint32_t sidecar, bool limited);
    /// @}

    /// An endpoint list update was written to a sidecar's connection. The sidecar need not have read it.
    void on_endpoint_update(Millis now, std::uint32_t sidecar, std::uint32_t server,
                            balancer::EndpointState state, Millis online_since);

    /// @name Observations of servers
    /// @{

    /// Result of delivering an attempt to its server.
    enum class Delivery { accepted, rejected, not_received };

    /// A sidecar started an attempt. Returns the number of the attempt within its request.
    std::uint32_t on_attempt_started(Millis now, ClientRequestId id, std::uint32_t server,
                                     std::uint32_t sidecar);
    /// Records whether an attempt reached its server. Returns whether it overloads a cold server, which then
    /// fails.
    bool on_attempt_delivered(Millis now, ClientRequestId id, std::uint32_t attempt, Delivery delivery,
                              const ServerLoad& load = {});
    /// The attempt ended with a response or a reset, or its sidecar cancelled it.
    void on_attempt_ended(Millis now, ClientRequestId id, std::uint32_t attempt);
    /// Records a violation that belongs to no known request.
    void on_unknown_request(Millis now, const std::string& description);
    /// @}

    /// Ends the observations. Requests that are still open count as unanswered.
    void finish(Millis now);

    /// Violations of one invariant.
    struct Finding {
        std::uint64_t violations = 0;
        std::vector<std::string> examples;
    };
    const Finding& finding(Invariant invariant) const {
        return findings_[static_cast<std::size_t>(invariant)];
    }
    /// Whether no invariant was violated.
    bool all_hold() const;
    std::uint64_t client_requests() const { return requests_.size(); }
    std::uint64_t attempts() const { return attempts_; }
    /// Number of rejections and failures that were delayed although no attempt was outstanding (see
    /// kPromptFailureShare).
    std::uint64_t delayed_failures() const { return delayed_failures_; }
    /// Number of times that a cold server was overloaded and failed.
    std::uint64_t overloaded_servers() const { return overloaded_servers_; }
    /// Maximum attempts of any request.
    std::uint64_t max_attempts() const { return max_attempts_; }

private:
    struct Attempt {
        std::uint32_t server = 0;
        Millis started_at = 0;
        bool is_outstanding = true;
        bool may_have_run = true;
    };
    struct RequestRecord {
        Millis deadline = 0;
        Millis last_attempt_ended_at = 0;  // or the time when the request was sent
        Millis ended_at = 0;
        std::uint32_t sidecar = 0;
        bool is_open = true;  // no final response yet, and the client is still connected
        bool is_response_optional = false;
        bool client_left = false;
        bool may_be_late = false;  // because its sidecar was paused
        std::vector<Attempt> attempts;

        const Attempt* first_attempt_that_may_have_run() const;
        bool has_outstanding_attempt() const;
        bool requires_response() const { return is_open && !is_response_optional && !may_be_late; }
    };
    // An attempt that was outstanding when another attempt of its request started. This is a violation unless
    // the attempt ends within the slack.
    struct ConcurrentAttempt {
        ClientRequestId request = 0;
        std::uint32_t attempt = 0;
        Millis since = 0;
    };
    // Last notice about a server that a sidecar was sent.
    struct EndpointView {
        balancer::EndpointState state = balancer::EndpointState::active;
        Millis inactive_since = 0;  // time of the first notice that it is not active
        Millis online_since = 0;
    };

    const ClassSpec& class_of(ClientRequestId id) const;
    RequestRecord* find_request(ClientRequestId id);
    Attempt* find_attempt(ClientRequestId id, std::uint32_t attempt);
    const EndpointView* find_view(std::uint32_t sidecar, std::uint32_t server) const;
    void add_violation(Invariant invariant, Millis now, ClientRequestId id, const std::string& description);

    // Each function checks one property. They are listed in the order of their calls.
    void check_response_in_time(Millis now, ClientRequestId id, const RequestRecord& request);
    void check_response_matches(Millis now, ClientRequestId id, const RequestRecord& request,
                                bool matches_request);
    void check_rejection_is_safe(Millis now, ClientRequestId id, const RequestRecord& request);
    void count_delayed_failure(Millis now, ClientRequestId id, const RequestRecord& request);
    void check_repetition_is_safe(Millis now, ClientRequestId id, const RequestRecord& request,
                                  std::uint32_t server);
    void check_attempt_limit(Millis now, ClientRequestId id, const RequestRecord& request);
    void check_request_is_open(Millis now, ClientRequestId id, const RequestRecord& request);
    void record_concurrent_attempts(Millis now, ClientRequestId id, const RequestRecord& request);
    void check_drain(Millis now, ClientRequestId id, std::uint32_t server, std::uint32_t sidecar);
    bool check_cold_server(Millis now, ClientRequestId id, std::uint32_t server, std::uint32_t sidecar,
                           const ServerLoad& load);
    void check_no_request_unanswered(Millis now);

    const Scenario& scenario_;
    const ClientModel& clients_;
    const Millis slack_;
    std::unordered_map<ClientRequestId, RequestRecord> requests_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, EndpointView> endpoint_views_;  // by sidecar, server
    std::vector<ColdServerLoad> cold_loads_;                                          // by server
    std::vector<ConcurrentAttempt> concurrent_attempts_;
    std::set<std::uint32_t> paused_sidecars_;
    std::set<std::uint32_t> cpu_limited_sidecars_;
    std::array<Finding, kInvariantCount> findings_;
    std::uint64_t attempts_ = 0;
    std::uint64_t delayed_failures_ = 0;
    std::uint64_t overloaded_servers_ = 0;
    std::uint64_t max_attempts_ = 0;
};

}  // namespace elmbay::simulation
