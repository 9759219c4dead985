// Records what the processes of a testbed did and checks it against the rules for requests, attempts and
// drains.
//
// The events come from the emulated clients, servers and discovery, and from observers at the sidecars' ends
// of the links. What a sidecar says of itself is never an input. No I/O and no clock; time is the caller's,
// in milliseconds.
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

/// History of all requests of a testbed, with the violations that were found in it.
///
/// Checked are:
///  - each request gets exactly one final outcome, in its time, unless its sidecar was frozen or killed;
///  - a request that is not idempotent is processed once, and never rejected after it was processed;
///  - a request has kMaxAttempts attempts at most, one in flight at a time, none after its client has gone;
///  - no attempt goes to a server that is draining, kDrainGrace after the sidecar could know.
///
/// Not thread-safe. Owned by ProcessTestbed. Keeps every request and the last kMaxEvents events.
class RequestHistory {
public:
    /// Milliseconds by which each limit is longer on sockets (PROTOCOL, "The rules on sockets").
    static constexpr Millis kTolerance = 50;
    /// Milliseconds in which a sidecar may still send to a server that it has heard is draining.
    static constexpr Millis kDrainGrace = 500;
    /// The setting `max-attempts` of the testbed's sidecars.
    static constexpr std::uint32_t kMaxAttempts = 4;
    /// Events that are kept for explanations; the oldest are dropped.
    static constexpr std::size_t kMaxEvents = 20000;
    /// Events that history() prints unless it is asked for more.
    static constexpr std::size_t kMaxPrintedEvents = 120;

    /// A rule that was broken.
    struct Violation {
        Millis at = 0;
        std::string description;  ///< which rule, and what was seen
        std::string request_id;   ///< empty if it is of no single request
    };

    /// How a response ended a request, as its client saw it.
    enum class Outcome {
        served,    ///< 200
        rejected,  ///< 429 or 503
        failed,    ///< any other status
        truncated  ///< the connection ended within the response
    };
    static constexpr std::size_t kOutcomeCount = 4;

    /// One attempt of a sidecar at a server: a connection of the link between them.
    struct Attempt {
        std::string sidecar;
        std::string server;
        std::uint64_t connection = 0;                      ///< the link's number of the connection, from 1
        auto operator<=>(const Attempt&) const = default;  // NOLINT(modernize-use-nullptr)
    };

    /// @name Events of clients
    /// @{

    /// A client sends a request to a sidecar and waits `deadline` milliseconds for its outcome.
    void on_request(Millis now, const std::string& id, Idempotency idempotency, const std::string& sidecar,
                    Millis deadline);
    /// A response has come.
    /// @param is_body_valid whether the body of a served one was made by a server for this request.
    void on_response(Millis now, const std::string& id, Outcome outcome, bool is_body_valid);
    /// The deadline is well over and nothing has come. The outcome is lost unless the sidecar is excused.
    void on_client_timeout(Millis now, const std::string& id);
    /// The client has closed its connection by its own choice, or could not connect.
    void on_client_disconnected(Millis now, const std::string& id);
    /// The sidecar has closed the connection without a response.
    void on_closed_without_response(Millis now, const std::string& id);
    /// @}

    /// @name Events at a sidecar's ends of its links to servers
    /// @{

    /// The last byte of an attempt's request has left the sidecar.
    /// @param first_byte when its first byte was seen: the time that counts for drains.
    void on_attempt_sent(Millis now, const std::string& id, const Attempt& attempt, Millis first_byte);
    /// The attempt has its response, or its connection has ended.
    void on_attempt_ended(Millis now, const Attempt& attempt);
    /// @}

    /// @name Events of servers
    /// @{

    /// The server has done what the request asks.
    void on_processed(Millis now, const std::string& id, const std::string& server);
    /// The server has rejected the request without processing it.
    void on_rejected_by_server(Millis now, const std::string& id, const std::string& server);
    /// @}

    /// An entry of the endpoint list has been delivered to the sidecar's machine.
    /// @param may_send whether the server is active.
    void on_endpoint_listed(Millis now, const std::string& sidecar, const std::string& server, bool may_send);

    /// @name Events of processes
    /// @{

    /// The process has ended. Its open requests are excused, and what it had written may still arrive.
    void on_process_ended(Millis now, const std::string& sidecar);
    /// The process is stopped. Its requests are excused, those that it gets until it resumes as well.
    void on_process_frozen(Millis now, const std::string& sidecar);
    /// The process runs again.
    void on_process_thawed(Millis now, const std::string& sidecar);
    /// Something for a reader of the history, of no request.
    void record_note(Millis now, const std::string& process, const std::string& text);
    /// @}

    /// Checks what could be checked only after kTolerance. To be called often.
    void check_due_overlaps(Millis now);
    /// Checks that every request has its outcome. To be called once, when all should have ended.
    void check_all_requests_ended(Millis now);

    const std::vector<Violation>& violations() const { return violations_; }
    /// @return how many requests clients have sent.
    std::uint64_t total_requests() const { return total_requests_; }
    /// @return how many of them have no outcome yet.
    std::uint64_t open_requests() const { return open_requests_; }
    /// @return how many ended with this outcome.
    std::uint64_t count(Outcome outcome) const { return counts_[static_cast<std::size_t>(outcome)]; }
    /// @return the last events in order, a line each.
    /// @param id if given, only events of this request and notes of the processes that it touched.
    std::string history(const std::string& id = "", std::size_t max_events = kMaxPrintedEvents) const;

private:
    struct Request {
        Idempotency idempotency = Idempotency::non_idempotent;
        std::string sidecar;
        Millis ended_at = -1;  // when its client got the outcome or left; negative: it waits
        bool has_response = false;
        bool is_outcome_optional = false;  // may end without an outcome
        bool has_sidecar_ended =
            false;  // its sidecar's process has ended: what still arrives, nobody sends now
        std::uint32_t attempts = 0;
        std::uint32_t times_processed = 0;
        std::map<Attempt, Millis> in_flight;  // since when
        bool has_ended() const { return ended_at >= 0; }
    };
    struct Event {
        Millis at;
        std::string process, request_id, text;
    };
    // Two attempts in flight together: a violation only if the earlier one still is after kTolerance, as its
    // end and the next attempt travel on different connections.
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
    std::set<std::string> frozen_;                      // sidecars
    std::map<Attempt, std::string> request_in_flight_;  // id of the request of each attempt in flight
    std::map<std::pair<std::string, std::string>, Millis> draining_since_;  // by sidecar and server
    std::deque<Overlap> overlaps_;                                          // in order of time due
    std::deque<Event> events_;
    std::vector<Violation> violations_;
    std::uint64_t total_requests_ = 0;
    std::uint64_t open_requests_ = 0;
    std::array<std::uint64_t, kOutcomeCount> counts_{};
};

}  // namespace elmbay::process_testbed
