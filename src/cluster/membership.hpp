// Who is there, who has failed, and which part of the fleet this member hears: SWIM (Das and others 2002)
// with the suspicion and the local health of Lifeguard (Dadgar and others 2018), on datagrams that may be
// lost, late, repeated, garbled or a lie.
//
// A state machine without I/O and clock: now and bytes in, datagrams and changes out. A value: a copy goes on
// by itself, which is how tests explore it. Times are milliseconds that never go back; every span is from
// this process's own clock, and no time of another's is compared with it.
//
// Every member probes one other in each period, in an order drawn anew for each round. One that answers
// neither itself nor by way of others is suspected; unless it says otherwise, more members say the same or
// time goes by, and it does not answer a last probe either, it has failed. All of it rides along on these
// datagrams. A member that is wrongly suspected or held to have failed says so with a higher incarnation.
//
// What is bounded: datagrams of 256 bytes; probes, relays and gossip a second by the periods below, whatever
// the fleet's size; memory by the number of members.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.hpp"
#include "cluster/message.hpp"
#include "cluster/sibling_estimate.hpp"
#include "cluster/token_bucket.hpp"

namespace elmbay::cluster {

using hollybeam::Random;

struct Datagram {
    MemberId to = 0;  // the member for which it is; place: where in the list of peers it is sent
    std::uint32_t address_index = 0;
    std::string bytes;
};

// A member is now held for something else.
struct Change {
    Millis at = 0;
    MemberId number = 0;
    MemberState before = MemberState::expected, after = MemberState::expected;
    std::string why;
};

// Each with its reason; all in ms. The platform's messages take 1.5 to 14 ms and its sidecars stand still for
// up to 270 ms.
struct Timing {
    Millis probe_period =
        1000;                // between two probes: with it the cost, about two datagrams a member a second
    Millis ping_retry = 80;  // a ping is repeated: over twice the longest way there and back
    Millis direct_timeout =
        200;  // then others are asked: a datagram lost twice is rarer than a member that is slow
    Millis min_suspicion =
        2000;  // a suspicion that others share: a frozen member needs 270 ms and a ping to refute
    Millis max_suspicion = 5000;   // one that nobody shares
    Millis final_probe = 600;      // of one that is to be held to have failed
    Millis gossip_interval = 200;  // between two datagrams of news alone, while there are news
    Millis discovery = 5000;       // who has heard nobody by then is alone
    Millis isolated_after = 4000;  // who heard somebody, and nobody for so long, is alone
    Millis stall_threshold = 150;  // woken so late, it was us who stood still
    Millis burst_period = 200;     // between probes while many fail, for kMaxBurstProbes of them
    Millis sync_interval = 5000;   // of whole tables, while digests differ
    Millis first_sync = 500;       // of one that has started: spread, as many may have started with it
    Millis page_interval = 50, page_timeout = 400;
};

class Membership {
public:
    // Others asked to probe in our place; others that must share a suspicion until it is short.
    static constexpr std::uint32_t kIndirectProbes = 3, kConfirmations = 3;
    static constexpr std::uint32_t kFinalIndirectProbes =
        8;  // of a last probe: a bridge may be the only one that hears it
    static constexpr std::uint32_t kMaxHealthScore =
        8;  // Lifeguard: our own slowness stretches our waits up to 9 times
    static constexpr std::uint32_t kMaxBurstProbes =
        50;  // quick probes in a row at most; one is earned back a period
    static constexpr std::size_t kMaxProbes = 64, kMaxRelays = 32;
    static constexpr std::uint32_t kGossipFanout = 2;
    static constexpr double kRetransmitFactor =
        3;  // of a piece of news by each member, times log10 of the members
    // A count so far beyond our own clock's is a lie or a clock that is a day off: not believed.
    static constexpr std::uint32_t kMaxClockAhead = 864000;
    static constexpr Millis kEpoch = 1704067200000;  // 2024-01-01; counts are tenths of a second since then
    static constexpr Millis kRecentlyHeard =
        1500;  // who was heard itself so lately is not held to have failed by hearsay
    static constexpr Millis kRejoinPeriod =
        5000;  // who has been back for less may bring what its side of a split held
    static constexpr double kMaxNotices = 20,
                            kNoticeRefill = 50;  // words to those of whom something is said: at once, and ms
    static constexpr std::uint32_t kStartupSeconds =
        10;  // seconds: of one that has run for less it is news that it is there
    static constexpr std::size_t kMaxChanges = 256;  // kept for people; the oldest go

    struct Setup {
        MemberId self = 0;
        std::uint32_t count = 1;     // members, this one included
        std::uint32_t siblings = 1;  // what the settings say
        std::uint64_t seed = 1;
        Timing timing{};
    };
    // unix: the start's time, Unix ms, of this machine's clock.
    Membership(const Setup& setup, Millis now, Millis unix);

    // A datagram from that place in the list of peers; none: from an address that is no peer's.
    void heard(Millis now, std::optional<std::uint32_t> place, std::string_view bytes);
    // The machine at that place says that nobody listens there (ICMP, RFC 1122 4.1.3.3).
    void refused(Millis now, std::uint32_t place);
    // At next() or later.
    void wake(Millis now);
    Millis next() const;
    // It ends in good order, and says so.
    void leave(Millis now);

    // What is to be sent, once; in order.
    std::vector<Datagram> take_datagrams() { return std::exchange(out_, {}); }
    std::vector<Change> take_changes() { return std::exchange(changes_, {}); }

    // ---- what it believes
    struct Member {
        Incarnation incarnation;
        MemberState state = MemberState::expected;
        Millis since = 0;                 // of the state
        Millis heard = -1;                // a datagram of its own; -1: never
        bool indirect_only = false;       // it answered its last probe by way of others only
        std::uint32_t address_index = 0;  // where it is reached
        View view = View::unknown;        // as it said last
        std::uint32_t present_count = 0;
        std::uint32_t uptime = 0;  // seconds, at its last word
    };
    const Member& member(MemberId number) const { return entries_[number].member; }
    std::uint32_t count() const { return static_cast<std::uint32_t>(entries_.size()); }
    MemberId self() const { return setup_.self; }
    Headcount headcount() const { return count_; }
    View view(Millis now) const;
    // Of all incarnations and states, those that are silent for a while only left out: equal tables, equal
    // digests.
    std::uint32_t digest() const { return digest_; }
    // Another process has this name, younger than this one: it is the member now, and this one says nothing
    // more.
    bool yielded() const { return yielded_; }
    std::uint32_t siblings(Millis now) { return siblings_.update(now, count_, view(now)); }

    struct Counters {
        std::uint64_t sent = 0, received = 0, bytes_sent = 0;
        std::uint64_t unknown_senders = 0, malformed = 0, outdated = 0;  // dropped: whose, and why
        std::uint64_t suspicions = 0, refuted = 0, failures = 0, stalls = 0, table_requests = 0;
    };
    const Counters& counters() const { return counters_; }
    // Equal for states that go on alike but for chance: for tests that explore. Times count from now.
    std::uint64_t fingerprint(Millis now) const;
    std::uint32_t health() const { return health_; }  // 0: well

private:
    struct Entry {
        Member member;
        std::array<MemberId, kConfirmations> suspected_by{};
        std::uint32_t confirmations = 0;
        Millis suspected = 0;  // since when
        bool probing_last = false;
        std::optional<MemberId> last_helper;  // who vouched for it last
        std::uint32_t tellings = UINT32_MAX;  // of its news so far
        Millis told = -1e9;                   // when it was told itself what is said of it
        Millis back = -1e9;                   // when it was heard again after it had failed
    };
    struct Probe {
        std::uint32_t seq = 0;
        MemberId target = 0;
        Millis began = 0, again = 0, ask_others = 0, ends = 0;
        bool asked_others = false, last = false,
             courtesy = false;  // courtesy: of one that is held to have failed
        std::uint32_t helpers = 0, nacks = 0;
    };
    struct Relay {
        std::uint32_t seq = 0, asked_seq = 0;
        MemberId target = 0, asker = 0;
        Millis nack = 0, ends = 0;
        bool nacked = false;
    };

    // ---- incarnations
    std::uint32_t most_count() const;
    Update update_on(MemberId number) const;
    bool is_sound(const Update& u) const;
    bool is_outdated(const Update& u) const;
    void correct_outdated(Millis now, const Message& m);
    void refute_unheard(Millis now);
    void merge(Millis now, const Update& u, MemberId from);
    void on_self(Millis now, const Update& u);
    void renew(Millis now, std::uint32_t above);
    void set(Millis now, MemberId number, const Incarnation& incarnation, MemberState state,
             const std::string& why);
    void news(MemberId number);
    void count_in(MemberState state, int sign);
    std::uint32_t hash_of(MemberId number) const;

    // ---- messages
    Message message(Message::Kind kind, std::uint32_t seq = 0, MemberId subject = 0);
    void send(Millis now, MemberId to, Message message);
    void fill(Millis now, Message& message, MemberId to);
    void on_ping(Millis now, const Message& m);
    void on_ping_req(Millis now, const Message& m);
    void on_ack(Millis now, const Message& m);
    void on_page(Millis now, const Message& m);
    void tell_itself(Millis now, MemberId number, std::uint32_t place);

    // ---- probes
    void probe(Millis now, MemberId target, bool last, bool courtesy);
    void probe_next(Millis now);
    void look_at_probes(Millis now);
    void succeeded(Millis now, std::uint32_t seq, MemberId target, std::optional<MemberId> last_helper);
    void probe_failed(Millis now, const Probe& probe);
    void suspect(Millis now, MemberId target, MemberId by);
    Millis suspect_until(const Entry& e) const;
    void look_at_suspects(Millis now);
    void not_suspected(Millis now, MemberId target);
    std::vector<MemberId> some_present(std::uint32_t most, MemberId but, std::optional<MemberId> first = {});
    bool present(MemberId number) const;
    double stretch() const { return 1 + health_; }
    void healthier() { health_ -= health_ > 0; }
    void less_healthy() { health_ += health_ < kMaxHealthScore; }

    void pull(Millis now);
    bool may_pull(Millis now) const;
    bool young(Millis now) const { return now - began_ < 1000.0 * kStartupSeconds; }
    // Every call that has a time begins with look_at_clock() and ends with a new due_.
    void look_at_clock(Millis now);
    void take(Millis now, std::optional<std::uint32_t> place, std::string_view bytes);

    Setup setup_;
    Random random_;
    Millis began_, unix_;  // of this process's clock, and Unix ms at that moment
    std::vector<Entry> entries_;
    Headcount count_;
    SiblingEstimate siblings_;
    std::uint32_t digest_ = 0;
    std::vector<MemberId> round_;  // still to be probed in this round
    std::vector<MemberId> silent_round_;
    std::vector<MemberId> hot_;  // of whom there is news to tell
    std::vector<MemberId> suspects_;
    std::vector<Probe> probes_;
    std::vector<Relay> relays_;
    std::vector<Datagram> out_;
    std::vector<Change> changes_;
    std::uint32_t last_seq_ = 0, health_ = 0, bursts_left_ = kMaxBurstProbes, lately_failed_ = 0;
    TokenBucket tells_{kMaxNotices, kNoticeRefill};
    TokenBucket corrections_{kMaxNotices,
                             kNoticeRefill};  // apart: a liar's claims must not use up what tells_ has
    Millis refuted_unheard_ = -1e9;           // when a claim that names no incarnation was answered last
    Millis next_probe_ = 0, next_gossip_ = 0, heard_any_ = -1, due_ = 0, quiet_since_ = 0;
    // A table that is being pulled.
    struct Pull {
        bool on = false;
        MemberId from = 0, at = 0;
        std::uint32_t seq = 0;
        Millis next = 0, until = 0;
    } pull_;
    Millis next_pull_ = 0;
    std::optional<MemberId> differs_;  // who holds another table
    std::uint16_t rival_ = 0;          // another life under our name, and the count with which we answered it
    std::uint32_t answered_rival_ = 0;
    bool yielded_ = false, leaving_ = false;
    Counters counters_;
};

}  // namespace elmbay::cluster
