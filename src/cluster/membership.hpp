/// @file
/// Who is there, who has failed, and which part of the fleet this member hears: SWIM (Das and others 2002)
/// with the suspicion and the local health of Lifeguard (Dadgar and others 2018), on datagrams that may be
/// lost, late, repeated, garbled or a lie.
///
/// Every member probes one other in each period, in an order drawn anew for each round. One that answers
/// neither directly nor by way of others is suspected; unless it refutes that, more members share the
/// suspicion or time goes by, and it does not answer a final probe either, it has failed. All of it is
/// piggybacked on these datagrams. A member that is wrongly suspected or failed refutes that with a higher
/// incarnation.
///
/// What is bounded: datagrams of 256 bytes; probes, relays and gossip a second by the periods in Timing,
/// whatever the fleet's size; memory by the number of members.
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

/// A datagram that is to be sent.
struct Datagram {
    MemberId to = 0;                  ///< the member that it is for
    std::uint32_t address_index = 0;  ///< where in the list of peers it is sent
    std::string bytes;                ///< Message::kMaxBytes at most
};

/// One member's part in the protocol. A state machine without I/O and clock: now and bytes in, datagrams and
/// changes out. A value: a copy goes on by itself, which is how tests explore it. Not thread-safe.
///
/// `now` is monotonic milliseconds of this process; it never goes back, and no time of another process is
/// compared with it. After each call that takes it, next_due() says when on_timer() is due.
class Membership {
public:
    /// Helpers of an indirect probe: other members that are asked to ping the target.
    static constexpr std::uint32_t kIndirectProbes = 3;
    /// The same for a final probe: a bridge may be the only one that hears the member.
    static constexpr std::uint32_t kFinalIndirectProbes = 8;
    /// Members that each datagram of gossip alone goes to.
    static constexpr std::uint32_t kGossipFanout = 2;
    /// Members that a leaving one sends its state to; those spread it.
    static constexpr std::uint32_t kLeaveFanout = 6;
    /// Milliseconds. A member whose own datagram came so lately is not failed by the updates of others.
    static constexpr Millis kRecentlyHeard = 1500;
    /// Milliseconds. A member that rejoined more lately may still send updates from its side of a partition.
    static constexpr Millis kRejoinPeriod = 5000;
    /// Datagrams that send a member its reported state, or a sender the updates that it has missed: so many
    /// at once, and milliseconds for one more. Each of the two has a budget of its own.
    static constexpr double kMaxNotices = 20;
    static constexpr Millis kNoticeRefill = 50;
    /// Milliseconds. A member that has run for less requests a table at once.
    static constexpr Millis kStartupPeriod = 10000;

    /// What the configuration says.
    struct Setup {
        MemberId self = 0;
        std::uint32_t member_count = 1;         ///< members, this one included; raised to self + 1 if below
        std::uint32_t configured_siblings = 1;  ///< as the settings say
        std::uint64_t seed = 1;                 ///< of all random choices
        Timing timing{};
    };
    /// @param unix_time Unix milliseconds at `now`, by this machine's clock: read once, see IncarnationClock.
    Membership(const Setup& setup, Millis now, Millis unix_time);

    /// A datagram has come.
    /// @param address_index where in the list of peers it came from; none if from no peer's address.
    /// @param bytes         any bytes; what is no sound message is counted and dropped.
    void on_datagram(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes);
    /// The machine at that address reports that no process listens there (ICMP, RFC 1122 4.1.3.3).
    void on_port_unreachable(Millis now, std::uint32_t address_index);
    /// Does what is due; at next_due() or later.
    void on_timer(Millis now);
    /// @return when on_timer() is due; infinity if never.
    Millis next_due() const;
    /// This member ends in good order, and says so.
    void leave(Millis now);

    /// @return what is to be sent since the last call, in order.
    std::vector<Datagram> take_datagrams() { return std::exchange(datagrams_, {}); }
    /// @return what changed since the last call, in order; MemberTable::kMaxChanges at most.
    std::vector<MemberChange> take_changes() { return table_.take_changes(); }

    /// @param id below member_count().
    const Member& member(MemberId id) const { return table_[id]; }
    /// @return members, this one included.
    std::uint32_t member_count() const { return table_.size(); }
    /// @return this member's own id.
    MemberId self() const { return setup_.self; }
    /// @return how many are present, silent and ended; together they are member_count().
    Headcount headcount() const { return table_.headcount(); }
    /// @return how much of the fleet this member hears.
    View view(Millis now) const;
    /// Equal for members that agree on who is not present.
    std::uint32_t digest() const { return table_.digest(); }
    /// Another process has this name, younger than this one: it is the member now, and this one is silent.
    bool yielded() const { return yielded_; }
    /// @return the number that the decision module divides by; at least 1.
    std::uint32_t update_siblings(Millis now) { return siblings_.update(now, headcount(), view(now)); }

    /// Since the start.
    struct Counters {
        std::uint64_t sent = 0, received = 0, bytes_sent = 0;
        /// Dropped: from no peer's address; no sound message; of an earlier incarnation.
        std::uint64_t unknown_senders = 0, malformed = 0, outdated = 0;
        std::uint64_t suspicions = 0, refuted = 0, failures = 0;
        std::uint64_t stalls = 0;  ///< times that this process did not run for a while
        std::uint64_t table_requests = 0;
    };
    /// @return the counts so far.
    Counters counters() const;
    /// Equal for states that go on alike but for chance: for tests that explore. Times count from now.
    std::uint64_t fingerprint(Millis now) const;
    /// @return LocalHealth::score(): 0 is well.
    std::uint32_t health() const { return health_.score(); }

private:
    // ---- messages in
    void receive(Millis now, std::optional<std::uint32_t> address_index, std::string_view bytes);
    std::optional<Message> read(std::string_view bytes);
    void on_own_name(Millis now, const Message& message);
    void note_sender(Millis now, std::uint32_t address_index, const Message& message);
    void dispatch(Millis now, const Message& message);
    void on_probe_request(Millis now, const Message& message);
    void on_ack(Millis now, const Message& message);
    void on_table_request(Millis now, const Message& message);
    void on_table_page(Millis now, const Message& message);

    // ---- messages out
    static Message make_message(Message::Kind kind, std::uint32_t sequence = 0, MemberId subject = 0);
    void fill_header(Millis now, Message& message);
    void piggyback(Message& message, MemberId to);
    void send(Millis now, MemberId to, Message message);
    void send_gossip(Millis now);
    std::vector<MemberId> pick_present(std::uint32_t max, MemberId except,
                                       std::optional<MemberId> preferred = {});

    // ---- updates
    Update update_on(MemberId id) const;
    bool is_sound(const Update& update) const;
    void set(Millis now, MemberId id, const Incarnation& incarnation, MemberState state,
             const std::string& why);
    void merge(Millis now, const Update& update, MemberId from);
    bool is_doubtful(Millis now, const Update& update, MemberId from) const;
    bool is_outdated(const Update& update) const;
    void correct_outdated(Millis now, const Message& message);
    void notify_accused(Millis now, MemberId id, std::uint32_t address_index);

    // ---- refutation
    void on_claim_about_self(Millis now, const Update& update);
    bool must_yield(Millis now, const Update& update) const;
    void refute_unnamed(Millis now);
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
    void suspect(Millis now, MemberId target, MemberId accuser);
    void start_final_probes(Millis now);
    void restart_unfinished_suspicions(Millis now);
    void end_suspicion(Millis now, MemberId target);

    // ---- time
    bool may_sync(Millis now) const;
    void sync_tables(Millis now);
    bool in_startup(Millis now) const { return now - started_at_ < kStartupPeriod; }
    bool idle() const { return yielded_ || leaving_ || setup_.member_count == 1; }
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
    TableSync sync_;
    SiblingEstimate siblings_;
    LocalHealth health_;
    FailureBurst burst_;
    ProbeRound present_round_;
    ProbeRound absent_round_;
    std::vector<std::optional<MemberId>> last_helper_;  // by id: the helper that last relayed its answer
    std::vector<Millis> notified_at_;                   // by id: when it was last sent its reported state
    TokenBucket notices_{kMaxNotices, kNoticeRefill};
    // Apart, so that forged updates do not use up the budget of notices_.
    TokenBucket corrections_{kMaxNotices, kNoticeRefill};
    std::vector<Datagram> datagrams_;
    std::uint32_t last_sequence_ = 0;
    Millis refuted_unnamed_at_;
    Millis next_probe_at_ = 0;
    Millis next_gossip_at_ = 0;
    Millis heard_any_at_ = -1;  // -1: never
    Millis due_ = 0;            // next_due() after the last call
    Millis table_changed_at_ = 0;
    // Another process under our name, by its nonce, and the counter with which it was answered.
    std::uint16_t rival_nonce_ = 0;
    std::uint32_t answered_rival_ = 0;
    bool yielded_ = false;
    bool leaving_ = false;
    Counters counters_;
};

}  // namespace elmbay::cluster
