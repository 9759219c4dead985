// One request: its attempts, and the rules that bind it. What may_be_sent_to() and may_be_rejected() forbid
// does not leave the module, whatever the rest of it decides.
#pragma once

#include <cstdint>
#include <vector>

#include "balancer/server.hpp"

namespace elmbay::balancer {

struct Attempt {
    ServerId server = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;
    bool in_flight = true, may_have_run = true, probe = false, slow_start = false;
    bool timed_out = false;  // we withdrew it because the client's time was up: its server was too slow
};

struct Request {
    RequestId id = 0;
    RequestClass request_class;       // its objective stretched by its effort
    Millis deadline = 0;              // the client's
    Millis cutoff = 0;                // when we give up: at the deadline or before
    double tenant_share = 1;          // of the room, for its tenant (Fairness)
    std::uint64_t arrival_order = 0;  // of arrival
    bool repeat = false, ended = false, streaming = false;
    bool session = false;   // its attempts are upgrades (Sessions)
    bool waiting = false;   // has its hold timer
    Millis wait_until = 0;  // what waits for room is refused after this
    std::vector<Attempt> attempts;

    // Until when another attempt may leave. A keyed repeat: until servers may forget the first one, less the
    // time for which a process may be held up between its last look at the clock and the write (STANDING).
    // For the way there PROTOCOL gives each time limit on sockets 50 ms more.
    static constexpr Millis kMaxWriteDelay = 150;
    Millis write_by() const;

    bool any_in_flight() const;
    bool has_tried(ServerId server) const;
    const Attempt* first_possible_execution() const;

    // Rules 1 to 3: it has no final answer and its client waits; attempts and their concurrence are within
    // the limits; nothing may take effect twice; the list lets new requests go there.
    bool may_be_sent_to(const Server& s, const Settings& settings, Millis now) const;
    // Rule 2 again: "trying again is harmless" has to be true.
    bool may_be_rejected(Millis at) const;

private:
    bool in_scope(const Attempt& a, const ServerInfo& s) const;
};

}  // namespace elmbay::balancer
