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
    bool in_flight = true;     ///< it has not ended
    bool may_have_run = true;  ///< the server may have processed it, or be processing it
    bool probe = false;        ///< it is the probe of an ejected server
    bool slow_start = false;   ///< its server was in slow start when it was sent
    /// It was cancelled because the client's time was up: the server was too slow.
    bool timed_out = false;
};

/// One request: its attempts, and the rules that bind it.
///
/// What may_be_sent_to() and may_be_rejected() forbid does not leave the module, whatever the rest of it
/// decides. Owned by RequestTable. Holds at most Settings::max_attempts attempts.
struct Request {
    /// Milliseconds for which a process may be held up between its last look at the clock and the write
    /// (STANDING). For the way to the server PROTOCOL gives each time limit on sockets 50 ms more.
    static constexpr Millis kMaxWriteDelay = 150;

    RequestId id = 0;
    RequestClass
        request_class;        ///< as in the settings; its objective is longer by the request's expected work
    Millis deadline = 0;      ///< when the client abandons it, in milliseconds
    Millis cutoff = 0;        ///< when its attempts end: at the deadline or before
    double tenant_share = 1;  ///< of the concurrency limit, above 0 to 1 (Fairness)
    std::uint64_t arrival_order = 0;  ///< counts up with each request
    bool is_client_retry = false;     ///< it is its client's retry
    bool ended = false;               ///< it has its final response, or its client has gone
    bool streaming = false;           ///< a response has begun: no other may be given
    bool session = false;             ///< its attempts are upgrades (Sessions)
    bool waiting = false;             ///< the timer for wait_until has been set
    Millis wait_until = 0;            ///< until when it may wait for capacity or a server, in milliseconds
    std::vector<Attempt> attempts;    ///< in the order in which they were sent

    /// Whether an attempt is in flight.
    bool any_in_flight() const;
    /// Whether an attempt was made at that server.
    bool has_tried(ServerId server) const;
    /// The first attempt that may have run; nullptr: none may have.
    const Attempt* first_possible_execution() const;

    /// Until when another attempt may be written, in milliseconds. Infinity while nothing may have run, and
    /// for idempotent requests. With an idempotency key it is the end of the deduplication window, less
    /// kMaxWriteDelay. Else it is 0: never.
    Millis write_by() const;
    /// Whether the request may be sent to that server now. Rule 1: it has no final response and its client
    /// waits. Rule 2: its effect may not happen twice. Rule 3: the endpoint list lets new requests go there.
    /// And its attempts, in all and at a time, are within the settings.
    bool may_be_sent_to(const Server& server, const Settings& settings, Millis now) const;
    /// Whether the request may be rejected. A rejection says that it is harmless to try again, at `retry_at`;
    /// by rule 2 that has to be true.
    bool may_be_rejected(Millis retry_at) const;

private:
    // Whether the server shares the deduplication of the server that got the attempt.
    bool in_dedup_scope(const Attempt& attempt, const ServerInfo& server) const;
};

}  // namespace elmbay::balancer
