/// @file
/// The periods and timeouts of the membership protocol.
#pragma once

#include "elmbay/balancer.hpp"

namespace elmbay::cluster {

using balancer::Millis;

/// Periods and timeouts, in milliseconds above 0. On the platform, messages between sidecars take 1.5 to 14
/// ms one way, and sidecars stall for up to 270 ms.
struct Timing {
    /// Time between two probes. It determines the cost: about two datagrams per member per second.
    Millis probe_period = 1000;
    /// Time until a ping is repeated. It is more than twice the longest round trip.
    Millis ping_retry_delay = 80;
    /// Time until the indirect probe starts. It leaves time for a slow member to answer, because a slow
    /// member is more likely than the loss of both pings.
    Millis direct_timeout = 200;
    /// Duration of a suspicion that enough members have reported. A stalled member refutes it after up to 270
    /// ms and one ping.
    Millis min_suspicion_timeout = 2000;
    /// Duration of a suspicion that only one member has reported.
    Millis max_suspicion_timeout = 5000;
    /// Timeout of the final probe, after which a suspect is set to failed.
    Millis final_probe_timeout = 600;
    /// Time between two rounds of gossip messages while updates are queued.
    Millis gossip_interval = 200;
    /// Time after its start at which a member that has received no datagram counts itself as isolated.
    Millis discovery_timeout = 5000;
    /// Time since the last received datagram after which a member counts itself as isolated.
    Millis isolated_after = 4000;
    /// Delay of a call beyond its due time above which this process counts as having stalled.
    Millis stall_threshold = 150;
    /// Time between two probes while many fail. FailureBurst bounds the number of such probes.
    Millis burst_period = 200;
    /// Time between two table transfers while digests differ.
    Millis sync_interval = 5000;
    /// The same for a member that has just started. A random factor applies to it, because many members may
    /// have started at the same time.
    Millis first_sync_delay = 500;
    /// Time between two pages of a table.
    Millis page_interval = 50;
    /// Time after the request of a page at which the request fails.
    Millis page_timeout = 400;
};

}  // namespace elmbay::cluster
