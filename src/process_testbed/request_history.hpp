// Records events of the processes of a testbed and checks them against the invariants for requests, attempts
// and drains.
//
// The events come from the emulated clients, servers and discovery services, and from observers at the
// sidecars' ends of the links, but never from the sidecars' own reports. No I/O and no clock: the caller
// passes the time in milliseconds.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::process_testbed {

using balancer::Idempotency;
using balancer::Millis;

/// History of all requests of a testbed, and the violations found in it.
///
/// Checks these invariants:
///  - Each request gets exactly one final outcome by its deadline, unless its sidecar was frozen or killed.
///  - A non-idempotent request is processed at most once, and is never rejected after it was processed.
///  - A request has at most kMaxAttempts attempts, at most one in flight, and none after its client has
///    disconnected.
///  - No attempt goes to a draining server later than kDrainGrace after its state was delivered to the
///    sidecar.
///
/// Not thread-safe. Owned by ProcessTestbed. Keeps every request and the last kMaxEvents events.
class RequestHistory {
public:
    /// Milliseconds added to each limit on sockets (PROTOCOL, "The rules on sockets").
    static constexpr Millis kTolerance = 50;
    /// Milliseconds for which a sidecar may still send to a server after it has received the server's drain.
    static constexpr Millis kDrainGrace = 500;
    /// The setting `max-attempts` of the testbed's sidecars.
    static constexpr std::uint32_t kMaxAttempts = 4;
    /// Maximum number of events kept for failure descriptions. The oldest are dropped.
    static constexpr std::size_t kMaxEvents = 20000;
    /// Default maximum number of events that history() prints.
    static constexpr std::size_t kMaxPrintedEvents = 120;

    /// A violated invariant.
    struct Violation {
        Millis at = 0;
        std::string description;  ///< the invariant and the observed violation
        std::string request_id;   ///< empty if it concerns no single request
    };

    /// Outcome of a request that got a response, as seen by its client.
    enum class Outcome {
        served,    ///< 200
        rejected,  ///< 429 or 503
        failed,    ///< any other status
        truncated  ///< the connection closed within the response
    };
    static constexpr std::size_t kOutcomeCount = 4;

    /// One attempt of a sidecar at a server, identified by a connection of the link between them.
    struct Attempt {
        std::string sidecar;
        std::string server;
        std::uint64_t connection = 0;                      ///< number of the connection on the link, from 1
        auto operator<=>(const Attempt&) const = default;  // NOLINT(modernize-use-nullptr)
    };

    /// @name Events of clients
    /// @{

    /// A client sends a request to a sidecar and waits `deadline` milliseconds for its outcome.
    void on_request(Millis now, const std::string& id, Idempotency idempotency, const std::string& sidecar,
                    Millis deadline);
    /// A client has received a response.
    /// @param is_body_valid whether a server made the body of a served response for this request.
    void on_response(Millis now, const std::string& id, Outcome outcome, bool is_body_valid);
    /// A client has received nothing until well after its deadline. This is a violation unless the request's
    /// outcome is optional.
    void on_client_timeout(Millis now, const std::string& id);
    /// The client has closed its connection itself, or could not connect.
    void on_client_disconnected(Millis now, const std::string& id);
    /// The sidecar has closed the connection without a response.
    void on_closed_without_response(Millis now, const std::string& id);
    /// @}

    /// @name Events at a sidecar's ends of its links to servers
    /// @{

    /// The last byte of an attempt's request has left the sidecar.
    /// @param first_byte time at which its first byte was observed, which counts for drains.
    void on_attempt_sent(Millis now, const std::string& id, const Attempt& attempt, Millis first_byte);
    /// The attempt has got its response, or its connection has closed.
    void on_attempt_ended(Millis now, const Attempt& attempt);
    /// @}

    /// @name Events of servers
    /// @{

    /// The server has processed the request.
    void on_processed(Millis now, const std::string& id, const std::string& server);
    /// The server has rejected the request without processing it.
    void on_rejected_by_server(Millis now, const std::string& id, const std::string& server);
    /// @}

    /// An entry of the endpoint list has been delivered to the host of the sidecar.
    /// @param may_send whether the server is active.
    void on_endpoint_listed(Millis now, const std::string& sidecar, const std::string& server, bool may_send);

    /// @name Events of processes
    /// @{

    /// The process has ended. The outcomes of its open requests become optional. Bytes that it sent before
    /// may still arrive.
    void on_process_ended(Millis now, const std::string& sidecar);
    /// The process has been stopped. The outcomes of its open requests, and of those sent to it until it
    /// resumes, become optional.
    void on_process_frozen(Millis now, const std::string& sidecar);
    /// The process has been resumed.
    void on_process_thawed(Millis now, const std::string& sidecar);
    /// Records a note for readers of the history that concerns no request.
    void record_note(Millis now, const std::string& process, const std::string& text);
    /// @}

    /// Checks events that could be checked only after kTolerance. Must be called often.
    void check_due_overlaps(Millis now);
    /// Checks that every request has its outcome. Must be called once, when all requests should have ended.
    void check_all_requests_ended(Millis now);

    const std::vector<Violation>& violations() const { return violations_; }
    /// @return the number of requests that clients have sent.
    std::uint64_t total_requests() const { return total_requests_; }
    /// @return the number of requests without an outcome.
    std::uint64_t open_requests() const { return open_requests_; }
    /// @return the number of requests that ended with this outcome.
    std::uint64_t count(Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }
    /// @return the last events in order, one per line.
    /// @param id if given, only events of this request and notes of the processes involved.
    std::string history(const std::string& id = "", std::size_t max_events = kMaxPrintedEvents) const;

private:
    struct Request {
        Idempotency idempotency = Idempotency::non_idempotent;
        std::string sidecar;
        Millis ended_at = -1;  // time of its outcome or disconnect; negative while it is open
        bool has_response = false;
        bool is_outcome_optional = false;  // the request may end without an outcome
        bool has_sidecar_ended = false;    // attempts that still arrive were sent before it ended
        std::uint32_t attempts = 0;
        std::uint32_t times_processed = 0;
        std::map<Attempt, Millis> in_flight;  // values are start times
        bool has_ended() const { return ended_at >= 0; }
    };
    struct Event {
        Millis at;
        std::string process, request_id, text;
    };
    // Two attempts that are in flight at the same time. They are a violation only if the earlier one is still
    // in flight after kTolerance, because its end and the next attempt travel on different connections.
    struct Overlap {
        Millis due;
        std::string request_id;
        Attempt earlier;
        Millis earlier_since;
    };

    void report_violation(Millis now, const std::string& id, const std::string& description);
    void record(Millis now, const std::string& process, const std::string& id, std::string text);
    void end_request(Request& request, Millis now);
    void check_sent_after_end(Millis now, const std::string& id, const Request& request, Millis first_byte);
    void check_sent_to_draining(Millis now, const std::string& id, const Attempt& attempt, Millis first_byte);
    std::vector<const Event*> events_of(const std::string& id) const;

    std::map<std::string, Request> requests_;           // by id
    std::set<std::string> frozen_;                      // names of frozen sidecars
    std::map<Attempt, std::string> request_in_flight_;  // ids of requests, by attempt in flight
    std::map<std::pair<std::string, std::string>, Millis> draining_since_;  // by sidecar and server
    std::deque<Overlap> overlaps_;                                          // in order of due time
    std::deque<Event> events_;
    std::vector<Violation> violations_;
    std::uint64_t total_requests_ = 0;
    std::uint64_t open_requests_ = 0;
    std::array<std::uint64_t, kOutcomeCount> counts_{};
};

}  // namespace elmbay::process_testbed
