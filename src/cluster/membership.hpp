/// @file
/// Membership and failure detection of the sidecars in a fleet: SWIM (Das and others 2002) with the suspicion
/// and the local health of Lifeguard (Dadgar and others 2018). Datagrams may be lost, delayed, duplicated,
/// corrupted or forged.
///
/// Each member probes one other member per period, in an order that is shuffled for each round. A member that
/// answers neither direct nor indirect pings becomes a suspect. A suspect is set to failed if it does not
/// refute the suspicion before its timer expires, and does not answer a final probe either. The timer expires
/// earlier the more members report the suspicion. Updates on members are piggybacked on the datagrams of the
/// protocol. A running member refutes a wrong suspicion or failure with a higher incarnation.
///
/// Limits: a datagram has at most 256 bytes. The periods in Timing limit probes, relays and gossip per
/// second, independently of the fleet's size. Memory is proportional to the number of members.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.hpp"
#include "cluster/gossip_queue.hpp"
#include "cluster/incarnation_clock.hpp"
#include "cluster/local_health.hpp"
#include "cluster/member_table.hpp"
#include "cluster/message.hpp"
#include "cluster/probe_schedule.hpp"
#include "cluster/probes.hpp"
#include "cluster/sibling_estimate.hpp"
#include "cluster/suspicion.hpp"
#include "cluster/table_sync.hpp"
#include "cluster/timing.hpp"
#include "cluster/token_bucket.hpp"

namespace elmbay::cluster {

using balancer::Random;

/// A datagram to send.
struct Datagram {
    MemberId to = 0;                  ///< the receiving member
    std::uint32_t address_index = 0;  ///< index of the destination in the list of peers
    std::string bytes;                ///< at most Message::kMaxBytes
};

/// The protocol state machine of one member, without I/O and clock. Its inputs are times and datagrams, its
/// outputs are datagrams and changes. A value type: copies are independent, which tests use to explore its
/// states. Not thread-safe.
///
/// `now` is in monotonic milliseconds of this process. It never decreases, and it is not compared with times
/// of other processes. After each call with a `now`, next_due() returns the time at which on_timer() is due.
class Membership {
public:
    /// Number of helpers of an indirect probe: other members that receive a request to ping the target.
    static constexpr std::uint32_t kIndirectProbes = 3;
    /// The same for a final probe. It is higher, as only one other member may have a working link to the
    /// target.
    static constexpr std::uint32_t kFinalIndirectProbes = 8;
    /// Number of members that receive the gossip messages of one round.
    static constexpr std::uint32_t kGossipFanout = 2;
    /// Number of members to which a leaving member sends its state, which they disseminate.
    static constexpr std::uint32_t kLeaveFanout = 6;
    /// Milliseconds after a datagram from a member during which updates of others do not set it to failed.
    static constexpr Millis kRecentDatagramPeriod = 1500;
    /// Milliseconds after a member rejoins during which it may still send updates from its side of a
    /// partition.
    static constexpr Millis kRejoinPeriod = 5000;
    /// Budget of notices, which send a member its reported state, and of corrections, which send a member the
    /// updates that it has missed: the maximum burst, and the milliseconds per further datagram. Notices and
    /// corrections have separate budgets of this size.
    static constexpr double kMaxNotices = 20;
    static constexpr Millis kNoticeRefillInterval = 50;
    /// Milliseconds after its start during which a member requests a table without waiting.
    static constexpr Millis kStartupPeriod = 10000;

    /// The configuration of a member.
    struct Setup {
        MemberId self = 0;
        std::uint32_t member_count = 1;         ///< including this member; raised to self + 1 if lower
        std::uint32_t configured_siblings = 1;  ///< the number of sidecars in the settings
        std::uint64_t seed = 1;                 ///< seed of all random choices
        Timing timing{};
    };
    /// @param unix_time Unix milliseconds of this host's wall clock at `now`; see IncarnationClock.
    Membership(const Setup& setup, Millis now, Millis unix_time);

    /// Processes a received datagram.
    /// @param address_index index of its source in the list of peers; none if the source is not a peer's
    /// address.
    /// @param bytes         untrusted bytes; an invalid message is counted and dropped.
    void on_datagram(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes);
    /// Processes an ICMP "port unreachable" from the host at the address (RFC 1122, 4.1.3.3): no process
    /// listens on the port.
    void on_port_unreachable(Millis now, std::uint32_t address_index);
    /// Runs the work that is due. To be called at next_due() or later.
    void on_timer(Millis now);
    /// @return the time at which on_timer() is due; infinity if there is none.
    Millis next_due() const;
    /// Announces that this member leaves, and stops its part in the protocol.
    void leave(Millis now);

    /// @return the datagrams to send since the last call, in order.
    std::vector<Datagram> take_datagrams() { return std::exchange(datagrams_, {}); }
    /// @return the changes since the last call, in order; at most MemberTable::kMaxChanges.
    std::vector<MemberChange> take_changes() { return table_.take_changes(); }

    /// @param id below member_count().
    const Member& member(MemberId id) const { return table_[id]; }
    /// @return the number of members, including this one.
    std::uint32_t member_count() const { return table_.size(); }
    /// @return this member's own id.
    MemberId self() const { return setup_.self; }
    /// @return the numbers of present, failed and ended members, which add up to member_count().
    MemberCounts member_counts() const { return table_.member_counts(); }
    /// @return from how much of the fleet this member receives datagrams.
    View view(Millis now) const;
    /// @return a digest of the table, equal for members that agree on the members that are not present.
    std::uint32_t digest() const { return table_.digest(); }
    /// @return whether a younger process has this member's id. That process is the member then, and this one
    /// sends nothing.
    bool yielded() const { return yielded_; }
    /// Updates the estimate of the number of sidecars (SiblingEstimate).
    /// @return the number of sidecars for the decision module; at least 1.
    std::uint32_t update_siblings(Millis now) { return siblings_.update(now, member_counts(), view(now)); }

    /// Counters since the start.
    struct Counters {
        std::uint64_t sent = 0, received = 0, bytes_sent = 0;
        /// Dropped datagrams, by reason: the source is not a peer's address; the message is invalid; the
        /// incarnation is outdated.
        std::uint64_t unknown_senders = 0, malformed = 0, outdated = 0;
        std::uint64_t suspicions = 0, refutations = 0, failures = 0;
        std::uint64_t stalls = 0;  ///< number of times that this process stalled
        std::uint64_t table_requests = 0;
    };
    /// @return the counters so far.
    Counters counters() const;
    /// @return a hash, relative to `now`, that is equal for states with the same future apart from random
    /// choices. For tests that explore the states.
    std::uint64_t fingerprint(Millis now) const;
    /// @return LocalHealth::score(); 0 is healthy.
    std::uint32_t health() const { return health_.score(); }

private:
    // ---- received messages
    void process_datagram(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes);
    std::optional<Message> decode_message(std::string_view bytes);
    void on_message_from_own_id(Millis now, const Message& message);
    void update_sender(Millis now, std::uint32_t address_index, const Message& message);
    void dispatch(Millis now, const Message& message);
    void on_probe_request(Millis now, const Message& message);
    void on_ack(Millis now, const Message& message);
    void on_table_request(Millis now, const Message& message);
    void on_table_page(Millis now, const Message& message);

    // ---- sent messages
    static Message make_message(Message::Kind kind, std::uint32_t sequence = 0, MemberId subject = 0);
    void fill_header(Millis now, Message& message);
    void piggyback(Message& message, MemberId to);
    void send(Millis now, MemberId to, Message message);
    void send_gossip(Millis now);
    std::vector<MemberId> pick_present_members(std::uint32_t max, MemberId except,
                                               std::optional<MemberId> preferred = {});

    // ---- updates
    Update make_update(MemberId id) const;
    bool is_valid(const Update& update) const;
    void set_state(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
                   const std::string& reason);
    void apply_update(Millis now, const Update& update, MemberId from);
    bool should_defer(Millis now, const Update& update, MemberId from) const;
    bool is_outdated(const Update& update) const;
    void correct_outdated(Millis now, const Message& message);
    void send_reported_state(Millis now, MemberId id, std::uint32_t address_index);

    // ---- refutation
    void on_update_about_self(Millis now, const Update& update);
    bool must_yield(Millis now, const Update& update) const;
    void refute_update_without_incarnation(Millis now);
    void raise_incarnation(Millis now, std::uint32_t above);

    // ---- probes and suspicions
    void start_probe(Millis now, MemberId target, ProbePurpose purpose);
    void probe_next(Millis now);
    void run_probes(Millis now);
    void probe_indirectly(Millis now, const ProbeStep& step);
    void run_relays(Millis now);
    void on_probe_answered(Millis now, std::uint32_t sequence, MemberId target,
                           std::optional<MemberId> helper);
    void on_probe_failed(Millis now, const Probe& probe);
    void suspect(Millis now, MemberId target, MemberId reporter);
    void start_final_probes(Millis now);
    void restart_unfinished_suspicions(Millis now);
    void clear_suspicion(Millis now, MemberId target);

    // ---- time
    bool may_sync(Millis now) const;
    void sync_tables(Millis now);
    bool is_in_startup(Millis now) const { return now - started_at_ < kStartupPeriod; }
    bool is_idle() const { return yielded_ || leaving_ || setup_.member_count == 1; }
    void detect_stall(Millis now);

    Setup setup_;
    Random random_;
    Millis started_at_;
    IncarnationClock clock_;
    MemberTable table_;
    SuspicionTimers suspicions_;
    GossipQueue gossip_;
    ProbeTracker probes_;
    RelayTracker relays_;
    TableSync table_sync_;
    SiblingEstimate siblings_;
    LocalHealth health_;
    FailureBurst failure_burst_;
    ProbeRound present_round_;
    ProbeRound absent_round_;
    std::vector<std::optional<MemberId>> last_helpers_;  // by id: the last helper that relayed an answer
    std::vector<Millis> reported_state_sent_at_;         // by id: last time of send_reported_state()
    TokenBucket notice_budget_{kMaxNotices, kNoticeRefillInterval};
    // Separate from notice_budget_, so that forged updates do not use up the notices.
    TokenBucket correction_budget_{kMaxNotices, kNoticeRefillInterval};
    std::vector<Datagram> datagrams_;
    std::uint32_t last_sequence_ = 0;
    Millis refuted_without_incarnation_at_;
    Millis next_probe_at_ = 0;
    Millis next_gossip_at_ = 0;
    Millis last_datagram_at_ = -1;  // -1: never
    Millis due_at_ = 0;             // next_due() at the end of the last call
    Millis table_changed_at_ = 0;
    // The nonce of another process with this member's id, and the counter with which this member refuted it.
    std::uint16_t duplicate_nonce_ = 0;
    std::uint32_t duplicate_refutation_counter_ = 0;
    bool yielded_ = false;
    bool leaving_ = false;
    Counters counters_;
};

}  // namespace elmbay::cluster
