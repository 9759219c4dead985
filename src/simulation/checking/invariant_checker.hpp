/// \file
/// Checks the operators' four invariants from what servers, clients and the registry observed. What a sidecar
/// says of itself plays no part.
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

/// What must hold in every run.
enum class Invariant {
    /// Every request gets exactly one final response, in time and made for it.
    one_final_outcome,
    /// A request that must not run twice is not sent again while an earlier attempt may have run, nor
    /// rejected as
    /// if it had not. At most `max_attempts` attempts, one at a time.
    no_duplicate_effect,
    /// A server gets no new attempt later than the grace period after the sidecar was notified of its drain.
    drain_respected,
    /// Sidecars that were notified of a server's start do not overload it while it is cold.
    cold_server_not_overloaded
};
constexpr std::size_t kInvariantCount = 4;
/// The invariant's name in reports.
const char* name_of(Invariant invariant);

/// A server at the moment when an attempt reaches it, and the work that the attempt brings.
struct ServerLoad {
    Millis work = 0;
    double capacity = 0;  ///< Milliseconds of work a millisecond.
    Millis started_at = 0;
    bool cold = false;
};

/// Collects observations of a run in order of time, and counts violations of each Invariant.
///
/// Both drivers report here. The virtual one knows when a sidecar starts and abandons an attempt. The one on
/// sockets observes it when bytes arrive or a connection ends, and so grants every limit some slack. Scenario
/// and client model outlive the checker. Memory grows with the requests of the run. Not thread-safe.
class InvariantChecker {
public:
    /// Examples kept of each invariant's violations; beyond that they are only counted.
    static constexpr std::size_t kMaxExamples = 5;
    /// A failure is delayed if it comes later than this share of the latency objective after the last attempt
    /// ended (or the request arrived). The decision module may hold a request for a sixteenth of its
    /// objective.
    static constexpr double kPromptFailureShare = 0.25;
    /// Lateness allowed to a sidecar with part of a core, in virtual time as well: what every limit has on
    /// sockets.
    static constexpr Millis kCpuLimitedSlack = 50;

    /// \param slack  by which every limit of time is extended
    InvariantChecker(const Scenario& scenario, const ClientModel& clients, Millis slack);

    /// \name Observations of clients
    /// \{
    void on_request_sent(Millis now, const ClientRequest& request);
    /// The last byte of a response has arrived, or the client's time was over (ResponseKind::none).
    ///
    /// \param matches_request  whether the body of a served response was made for this request
    void on_response(Millis now, ClientRequestId id, ResponseKind response, bool matches_request = true);
    void on_client_left(Millis now, ClientRequestId id);
    /// The connection was closed without a response. Without any attempt the client knows that its request
    /// was not taken, and it is excused; otherwise its outcome is unanswered.
    void on_connection_closed(Millis now, ClientRequestId id);
    /// The request needs no response: its sidecar was killed, or stopped as requested before any attempt.
    void waive_response(ClientRequestId id);
    /// \}

    /// \name Observations of sidecar processes
    /// \{
    void on_sidecar_killed(std::uint32_t sidecar);
    /// The process stopped as requested. Requests that it had taken are lost; its next process learns of
    /// endpoints anew.
    void on_sidecar_stopped(std::uint32_t sidecar);
    /// Until it is resumed, responses to what it has and gets may be late. Every other limit holds.
    void on_sidecar_paused(std::uint32_t sidecar);
    void on_sidecar_resumed(std::uint32_t sidecar);
    /// It has part of a core only, which allows it kCpuLimitedSlack.
    void on_sidecar_cpu_limited(std::uint32_t sidecar, bool limited);
    /// \}

    /// An endpoint list update was written to a sidecar's connection, read or not.
    void on_endpoint_update(Millis now, std::uint32_t sidecar, std::uint32_t server,
                            balancer::EndpointState state, Millis online_since);

    /// \name Observations of servers
    /// \{

    /// What became of an attempt at its server.
    enum class Delivery { accepted, rejected, not_received };

    /// A sidecar starts an attempt. Returns its number within the request.
    std::uint32_t on_attempt_started(Millis now, ClientRequestId id, std::uint32_t server,
                                     std::uint32_t sidecar);
    /// Returns whether the attempt overloads a cold server, so that it falls over.
    bool on_attempt_delivered(Millis now, ClientRequestId id, std::uint32_t attempt, Delivery delivery,
                              const ServerLoad& load = {});
    /// The attempt was answered, reset, or abandoned by its sidecar.
    void on_attempt_ended(Millis now, ClientRequestId id, std::uint32_t attempt);
    /// Something happened that no request accounts for.
    void on_unknown_request(Millis now, const std::string& description);
    /// \}

    /// After the last observation: requests that are still open are unanswered.
    void finish(Millis now);

    /// Violations of one invariant.
    struct Finding {
        std::uint64_t violations = 0;
        std::vector<std::string> examples;
    };
    const Finding& finding(Invariant invariant) const {
        return findings_[static_cast<std::size_t>(invariant)];
    }
    /// Whether there is no violation.
    bool all_hold() const;
    std::uint64_t client_requests() const { return requests_.size(); }
    std::uint64_t attempts() const { return attempts_; }
    /// Rejections and failures that came long after nothing was outstanding (kPromptFailureShare).
    std::uint64_t delayed_failures() const { return delayed_failures_; }
    /// Cold servers that fell over.
    std::uint64_t overloaded_servers() const { return overloaded_servers_; }
    /// Most attempts of any request.
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
        Millis last_attempt_ended_at = 0;  // or when the request was sent
        Millis ended_at = 0;
        std::uint32_t sidecar = 0;
        bool is_open = true;  // no final response yet, and the client is there
        bool is_response_optional = false;
        bool client_left = false;
        bool may_be_late = false;  // its sidecar was paused
        std::vector<Attempt> attempts;

        const Attempt* first_attempt_that_may_have_run() const;
        bool has_outstanding_attempt() const;
        bool requires_response() const { return is_open && !is_response_optional && !may_be_late; }
    };
    // An attempt that was outstanding when another of its request started. It is a violation unless it ends
    // within the slack.
    struct ConcurrentAttempt {
        ClientRequestId request = 0;
        std::uint32_t attempt = 0;
        Millis since = 0;
    };
    // What a sidecar was last notified of about a server.
    struct EndpointView {
        balancer::EndpointState state = balancer::EndpointState::active;
        Millis inactive_since = 0;  // the first notice counts
        Millis online_since = 0;
    };

    const ClassSpec& class_of(ClientRequestId id) const;
    RequestRecord* find_request(ClientRequestId id);
    Attempt* find_attempt(ClientRequestId id, std::uint32_t attempt);
    const EndpointView* find_view(std::uint32_t sidecar, std::uint32_t server) const;
    void add_violation(Invariant invariant, Millis now, ClientRequestId id, const std::string& description);

    // One check each, in the order in which they are made.
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
