#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <unordered_map>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// Determines the start time of each server on this sidecar's own clock, which slow start counts from (rule
/// 4).
///
/// The endpoint list contains start times by the wall clocks of other machines. Any wall clock may be stepped
/// forward or back by seconds or by an hour, while the module's time is monotonic. Each start time is
/// therefore converted to the module's clock once, when it is first reported, and does not change with later
/// steps of wall clocks.
///
/// Contract for lists that include the local wall-clock time:
/// - A server's age counts from the first report of its youngest process. Slow start ends at most
///   slow_start_duration later.
/// - A start that is reported while the list is up to date has age 0, whatever the wall clocks show.
/// - A start that may be older than its report (in the first lists of a run, or in a list after an outage)
///   has the age computed from the local wall clock. For the youngest part of the list (kUntrustedShare) the
///   age is limited to what the start times of other servers prove. No single stepped clock, local or of
///   another server, makes a server of that part count as older than it is. A server's own claim about its
///   start cannot be verified in this case.
/// - A start of 0 means long ago. A start that has not been reported for a server before belongs to another
///   process, even if it is earlier, because the server's clock may have been set back between its two
///   processes.
///
/// In lists without a wall-clock time, start times are on the module's clock and exact.
///
/// Owned by Balancer::Impl; not thread-safe. Does no I/O and reads no clock. Bounded by the servers of the
/// list plus kMaxDeparted departed servers.
class ServerAges {
public:
    /// The largest age bound of a list, in milliseconds, up to which its new start times count as current.
    /// Discovery may report a change up to 6 s late in normal operation; with an age of 0, a server then
    /// stays in slow start slightly too long. In an older list a start may be clearly older than its report.
    static constexpr Millis kMaxTrustedListAge = 6000;
    /// The share of the list, its youngest servers, whose claimed age is not trusted. It is less than the
    /// whole list, because half a fleet that has just been replaced must not be in slow start for every
    /// sidecar that restarts.
    static constexpr double kUntrustedShare = 0.25;
    /// The number of processes recorded for one server. An outdated list may report an earlier process again.
    static constexpr std::size_t kMaxProcesses = 4;
    /// The number of departed servers whose records are kept, the most recent ones. A server that is listed
    /// again with the same start is the same process and does not repeat slow start. Equal to the length of
    /// the longest list.
    static constexpr std::size_t kMaxDeparted = 4096;
    /// The start time of a process that finished slow start long ago.
    static constexpr Millis kLongAgo = -std::numeric_limits<Millis>::infinity();

    /// One process of a server.
    struct Process {
        std::uint32_t number = 0;  ///< a different number for each process of the server; 0: no known process
        Millis started_at = kLongAgo;  ///< milliseconds on the module's clock
    };

    /// Processes a list. Linear in its entries; linear in all servers only for whole lists and after an
    /// outage. A list of kind ListKind::failed has no effect.
    void record_list(const ServerList& list, Millis now);
    /// Returns the youngest process of a server.
    Process process_of(ServerId id) const;
    /// Records that the caller has removed the server. Its start times are kept within the limit of
    /// kMaxDeparted.
    void mark_departed(ServerId id);

private:
    // The record of one server. Start times are as claimed by the server's own wall clock.
    struct Record {
        Process process;
        std::array<Millis, kMaxProcesses> starts{};  // a ring buffer; the last reported start is at `newest`
        std::size_t newest = 0;
        Millis reported_at = 0;  // when the start at `newest` was first reported
        bool listed = false;

        bool contains(Millis start) const;
        void add(Millis start, Millis now);
        // Returns the earliest time that the wall clock can have now, if the start at `newest` is correct.
        Millis wall_time_lower_bound(Millis now) const { return starts[newest] + (now - reported_at); }
    };
    // A start time that is new for its server.
    struct Start {
        ServerId server = 0;
        Millis claimed = 0;
    };
    // The two highest wall_time_lower_bound() values of all servers.
    struct WallTimeLowerBounds {
        Millis highest = kLongAgo;
        Millis second_highest = kLongAgo;
        ServerId highest_server = 0;

        // Returns the highest lower bound of the other servers.
        Millis excluding(ServerId server) const {
            return server == highest_server ? second_highest : highest;
        }
    };

    void record_exact_start(const ServerInfo& info);
    // Returns whether the entry reports a new process.
    bool record_start(const ServerInfo& info, Millis now);
    void assign_start_times(std::vector<Start> starts, const ServerList& list, Millis now);
    void assign_claimed_start_times(std::vector<Start> starts, const ServerList& list, Millis now);
    std::size_t untrusted_count() const;
    WallTimeLowerBounds wall_time_lower_bounds(Millis now) const;
    void begin_process(ServerId id, Millis started_at);

    std::unordered_map<ServerId, Record> records_;
    std::deque<ServerId> departed_;  // oldest first; may contain servers that have been listed again
    std::size_t listed_count_ = 0;   // number of records of listed servers
};

}  // namespace elmbay::balancer
