#pragma once

#include <cstdint>
#include <vector>

#include "balancer/server.hpp"

namespace elmbay::balancer {

/// One attempt of a request at one server.
struct Attempt {
    ServerId server = 0;
    ZoneId zone = 0;           ///< of the server, as listed when the attempt started
    std::uint32_t cell = 0;    ///< of the server, as listed when the attempt started
    Millis sent_at = 0;        ///< when the attempt was decided, in milliseconds
    bool in_flight = true;     ///< the attempt has not ended
    bool may_have_run = true;  ///< the server may have processed the request or may still be processing it
    bool probe = false;        ///< the attempt is the probe of an ejected server
    bool slow_start = false;   ///< the server was in slow start when the attempt was sent
    /// The attempt was cancelled at the client's deadline, because the server was too slow.
    bool timed_out = false;
};

/// One request with its attempts, and the rules for sending and rejecting it.
///
/// No request is sent that may_be_sent_to() forbids, and none is rejected that may_be_rejected() forbids,
/// whatever the other components decide. Owned by RequestTable. Holds at most Settings::max_attempts
/// attempts.
struct Request {
    /// The time for which a process may be suspended between its last clock reading and the write, in
    /// milliseconds (STANDING). For the transmission to the server, PROTOCOL adds another 50 ms to each time
    /// limit on sockets.
    static constexpr Millis kMaxWriteDelay = 150;

    RequestId id = 0;
    /// The class from the settings, with the latency objective extended by the request's expected work.
    RequestClass request_class;
    /// The time at which the client abandons the request, in milliseconds.
    Millis deadline = 0;
    /// The time at which the attempts of the request end, in milliseconds: the deadline or earlier.
    Millis attempt_deadline = 0;
    /// The share of the concurrency limit that the tenant may use, above 0 to 1 (Fairness).
    double tenant_share = 1;
    std::uint64_t arrival_order = 0;  ///< increases with each request
    bool is_client_retry = false;     ///< the request is a retry by the client
    bool ended = false;               ///< the request has its final response, or its client has disconnected
    bool streaming = false;           ///< a response is being streamed, so no other response may be given
    bool session = false;             ///< the attempts of the request are upgrades (Sessions)
    bool waiting = false;             ///< the timer for wait_until has been set
    /// The time until which the request may wait for capacity or a server, in milliseconds.
    Millis wait_until = 0;
    std::vector<Attempt> attempts;  ///< in the order in which the attempts were sent

    /// Whether an attempt is in flight.
    bool any_in_flight() const;
    /// Whether the request has had an attempt at the given server.
    bool has_tried(ServerId server) const;
    /// Returns the first attempt that may have run; nullptr if there is none.
    const Attempt* first_possible_execution() const;

    /// Returns the time until which another attempt may be written, in milliseconds. It is infinity while no
    /// attempt may have run, and for idempotent requests. With an idempotency key it is the end of the
    /// deduplication window minus kMaxWriteDelay. Otherwise it is 0, which forbids another attempt.
    Millis write_by() const;
    /// Whether the request may be sent to the given server now. Rule 1: the request has no final response and
    /// its client is waiting. Rule 2: its effect does not happen twice. Rule 3: the endpoint list allows new
    /// requests to the server. The number of attempts, in total and in flight, must also be within the
    /// settings.
    bool may_be_sent_to(const Server& server, const Settings& settings, Millis now) const;
    /// Whether the request may be rejected. A rejection states that a retry at `retry_at` is harmless; rule 2
    /// requires that this is true.
    bool may_be_rejected(Millis retry_at) const;

private:
    // Whether the server deduplicates together with the server that received the attempt.
    bool in_dedup_scope(const Attempt& attempt, const ServerInfo& server) const;
};

}  // namespace elmbay::balancer
