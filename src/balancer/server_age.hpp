// When each server started, on this sidecar's own clock (slow start, rule 4: no cold server pushed over).
//
// The list tells starts by the wall clocks of other machines, and any wall clock may be stepped, forward or
// back, by seconds or by an hour. Time in the module is monotonic, so each start is placed on it once, when
// it is first heard of, and stays there whatever the wall clocks do later. No I/O and no clock in here.
//
// Contract, for lists that come with a reading of our wall clock:
// - A server's age counts from the first hearing of its youngest process. It is warm at the latest
//   slow_start_duration after that hearing.
// - A start that is heard of while discovery was being listened to has age 0, whatever the wall clocks say.
// - A start that may be older than its hearing (the first lists of a life, a list after an outage) has the
//   age that our wall clock tells, but the youngest part of the list has no more than the other servers'
//   starts prove. No single stepped clock, ours or another server's, makes one of that part warmer than it
//   is. What a server's own clock tells of itself can't be checked there.
// - A start of 0 is long ago. Another start than those known of a server is another process, also an earlier
//   one: the server's clock may have been set back between its two lives.
//
// Lists without that reading are on the clock of `now`, and exact.
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

class ServerAges {
public:
    // Discovery's silence from which on a start may be clearly older than its hearing: what discovery has to
    // tell counts as told 6 s later. Up to that an age of 0 is a little too cold at worst.
    static constexpr Millis kMaxTrustedListAge = 6000;
    // The part of the list whose claimed age is doubted. Half a fleet that has just been replaced must not be
    // cold for each sidecar that restarts, so the youngest are doubted and the rest is left to our wall
    // clock.
    static constexpr double kDoubtedShare = 0.25;
    // Processes remembered of one server: a list that lags behind names an earlier one again.
    static constexpr std::size_t kMaxProcesses = 4;
    // Servers remembered that have left the list, the latest ones: one that is named again with the same
    // start is the same process and has not become cold. As many as the longest list that there can be.
    static constexpr std::size_t kMaxDeparted = 4096;
    static constexpr Millis kLongAgo = -std::numeric_limits<Millis>::infinity();

    // One process of a server.
    struct Process {
        std::uint32_t number = 0;  // changes with each process that is heard of
        Millis started_at = kLongAgo;
    };

    // A list has come. Linear in its entries; in all servers only for whole lists and after an outage.
    void record_list(const ServerList& list, Millis now);
    Process process_of(ServerId id) const;
    // The caller has forgotten the server.
    void forget(ServerId id);

private:
    struct Record {
        Process process;
        std::array<Millis, kMaxProcesses> starts{};  // as claimed; the last one told first is at `newest`
        std::size_t newest = 0;
        Millis heard_at = 0;  // when the start at `newest` was first told
        bool listed = false;

        bool knows(Millis start) const;
        void add(Millis start, Millis now);
        // What this start proves of the wall clock's time: it can't be earlier now.
        Millis earliest_wall_time(Millis now) const { return starts[newest] + (now - heard_at); }
    };
    struct Start {
        ServerId server = 0;
        Millis claimed = 0;
    };
    // The two latest times that servers' starts prove, each of another server.
    struct EarliestPossibleTimes {
        Millis first = kLongAgo, second = kLongAgo;
        ServerId first_of = 0;

        Millis without(ServerId server) const { return server == first_of ? second : first; }
    };

    void record_exact_start(const ServerInfo& info);
    // Whether the entry tells of a process that was not known.
    bool record_start(const ServerInfo& info, Millis now);
    void date_starts(std::vector<Start> starts, const ServerList& list, Millis now);
    void date_by_claims(std::vector<Start> starts, const ServerList& list, Millis now);
    std::size_t doubted_count() const;
    EarliestPossibleTimes earliest_possible_times(Millis now) const;
    void begin_process(ServerId id, Millis started_at);

    std::unordered_map<ServerId, Record> records_;
    std::deque<ServerId> departed_;  // the oldest first; may name some that are back
    std::size_t listed_ = 0;         // records that are listed
};

}  // namespace elmbay::balancer
