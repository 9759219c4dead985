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

/// Decides when each server started, on this sidecar's own clock. Slow start counts from there (rule 4).
///
/// The endpoint list gives start times by the wall clocks of other machines, and any wall clock may be
/// stepped, forward or back, by seconds or by an hour. Time in the module is monotonic. So each start is
/// placed on it once, when it is first heard of, and stays there whatever the wall clocks do later.
///
/// Contract, for lists that come with a reading of this machine's wall clock:
/// - A server's age counts from the moment at which its youngest process was first heard of. Slow start ends
///   at the latest slow_start_duration after that.
/// - A start that is heard of while the list was being followed has age 0, whatever the wall clocks say.
/// - A start that may be older than that (the first lists of a run, a list after an outage) has the age that
///   our wall clock gives. But the youngest part of the list (kDoubtedShare) has no more than the starts of
///   other servers prove. No single stepped clock, ours or another server's, makes a server of that part
///   count as older than it is. What a server's own clock says of itself cannot be checked there.
/// - A start of 0 is long ago. A start that is not known of a server is another process, also if it is
///   earlier: the server's clock may have been set back between its two processes.
///
/// In lists without that reading, starts are on the module's clock, and exact.
///
/// Owned by Balancer::Impl; not thread-safe. No I/O and no clock. Bound: the servers of the list, and
/// kMaxDeparted that have left it.
class ServerAges {
public:
    /// Milliseconds of a list's age bound, up to which its new starts count as having just happened.
    /// Discovery may report a change up to 6 s late while all is well. An age of 0 then keeps a server in
    /// slow start a little too long at worst. In an older list a start may be clearly older than the list.
    static constexpr Millis kMaxTrustedListAge = 6000;
    /// The part of the list whose claimed age is doubted: the youngest servers. It is not all of it, as half
    /// a fleet that has just been replaced must not be in slow start for each sidecar that restarts.
    static constexpr double kDoubtedShare = 0.25;
    /// Processes remembered of one server: a list that lags behind may name an earlier one again.
    static constexpr std::size_t kMaxProcesses = 4;
    /// Servers remembered that have left the list, the latest ones. One that is named again with the same
    /// start is the same process and does not go through slow start again. As many as the longest list has
    /// entries.
    static constexpr std::size_t kMaxDeparted = 4096;
    /// The start of a process that has been warm for as long as matters.
    static constexpr Millis kLongAgo = -std::numeric_limits<Millis>::infinity();

    /// One process of a server.
    struct Process {
        std::uint32_t number = 0;      ///< another one for each process of the server; 0: none is known
        Millis started_at = kLongAgo;  ///< milliseconds on the module's clock
    };

    /// Takes in a list. Linear in its entries; in all servers only for whole lists and after an outage. A
    /// list of kind ListKind::failed has no effect.
    void record_list(const ServerList& list, Millis now);
    /// The youngest process of a server.
    Process process_of(ServerId id) const;
    /// The caller has forgotten the server. Its starts stay known for as long as kMaxDeparted allows.
    void forget(ServerId id);

private:
    // What is known of one server. Starts are as claimed by its own wall clock.
    struct Record {
        Process process;
        std::array<Millis, kMaxProcesses> starts{};  // a ring; the last one heard of is at `newest`
        std::size_t newest = 0;
        Millis heard_at = 0;  // when the start at `newest` was first heard of
        bool listed = false;

        bool knows(Millis start) const;
        void add(Millis start, Millis now);
        // The wall clock's time cannot be earlier than this now, if the start at `newest` is true.
        Millis earliest_wall_time(Millis now) const { return starts[newest] + (now - heard_at); }
    };
    // A start that was not known of its server.
    struct Start {
        ServerId server = 0;
        Millis claimed = 0;
    };
    // The two latest of all servers' earliest_wall_time(), each of another server.
    struct EarliestWallTimes {
        Millis first = kLongAgo;
        Millis second = kLongAgo;
        ServerId first_server = 0;

        // The latest one that other servers prove.
        Millis without(ServerId server) const { return server == first_server ? second : first; }
    };

    void record_exact_start(const ServerInfo& info);
    // Whether the entry names a process that was not known.
    bool record_start(const ServerInfo& info, Millis now);
    void assign_start_times(std::vector<Start> starts, const ServerList& list, Millis now);
    void assign_start_times_by_claims(std::vector<Start> starts, const ServerList& list, Millis now);
    std::size_t doubted_count() const;
    EarliestWallTimes earliest_wall_times(Millis now) const;
    void begin_process(ServerId id, Millis started_at);

    std::unordered_map<ServerId, Record> records_;
    std::deque<ServerId> departed_;  // the oldest first; may name some that are back
    std::size_t listed_count_ = 0;   // records that are listed
};

}  // namespace elmbay::balancer
