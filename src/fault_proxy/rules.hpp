// Rules for faults on links: decides without I/O and clock what happens to bytes and datagrams on their way.
//
// A link is directed and named by its two ends. A connection that A opens to B lies on two links: bytes from
// A travel on A -> B, those of B on B -> A; it comes up only while neither is cut. A rule names links, a
// time, perhaps the numbers of connections or datagrams, and one fault. A fault of a stream happens as the
// connection opens, at a byte, or at an HTTP message of one direction.
//
// All random choices are keyed by seed, rule, link and number, never drawn in the order of calls: the same
// rules and seed do the same to the same connection, whatever else goes on.
//
// Times are milliseconds of the caller's clock, which never goes back; those of rules count from its 0.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::fault_proxy {

using balancer::Millis;
using balancer::Random;

/// A time that never comes.
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

/// A directed link between two ends.
struct Link {
    std::string from, to;
    /// @return the link of the other direction.
    Link reversed() const { return {to, from}; }
    auto operator<=>(const Link&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// What a rule applies to.
enum class Medium { any, stream, datagram };

/// What a rule does. In files each has its name, see name_of().
enum class FaultType {
    cut,    ///< nothing passes: streams wait and connects hang, as for lost segments; datagrams are dropped
    drop,   ///< drops datagrams; of datagrams only
    delay,  ///< delays by Rule::delay; bytes of a stream keep their order
    duplicate,  ///< Rule::extra_copies more of each datagram; of datagrams only
    reorder,    ///< holds a datagram back until Rule::overtaken_by later ones have passed, or for Rule::delay
    limit_rate,  ///< at most Rule::bytes_per_second
    refuse,      ///< a new connection is refused
    delay_open,  ///< a new connection is accepted and goes nowhere for Rule::delay
    reset,       ///< both ends see a reset
    half_close,  ///< the receiver sees the end of sending; what is sent on is dropped
    silence,     ///< from here on nothing passes in this direction, and the connection stays open
    stall,       ///< nothing passes in this direction for Rule::delay, then all of it
    corrupt      ///< Rule::corrupted_bytes bytes are changed
};

/// Where in one direction of a connection a fault happens. A fault of datagrams happens to each that matches.
enum class Trigger { on_open, at_byte, at_message };

/// A place in an HTTP message: before its first byte, after its head, after its last byte.
enum class MessagePoint { begin, head_end, end };

/// How a delay is drawn: always the same, uniform in delay +- jitter, exponential with the mean delay.
enum class DelayDistribution { fixed, uniform, exponential };

/// One fault on some links at some times.
struct Rule {
    std::string name;                    ///< unique in a set of rules
    std::vector<std::string> from{"*"};  ///< names of senders; "*" is any, a trailing * any rest
    std::vector<std::string> to{"*"};    ///< names of receivers, likewise
    /// Instead of from and to: links between two of these groups, both ways. A name in several groups, or in
    /// none, is cut off from nobody.
    std::vector<std::vector<std::string>> groups;
    Medium medium = Medium::any;
    FaultType type = FaultType::cut;

    Millis starts_at = 0;                    ///< when it begins to hold
    Millis duration = 0;                     ///< for how long; 0: until it is removed
    Millis period = 0;                       ///< if longer than duration: it holds again so often
    std::uint64_t first_number = 1;          ///< of the connections or datagrams of a link, from 1
    std::uint64_t last_number = UINT64_MAX;  ///< included
    double probability = 1;                  ///< of each connection or datagram

    Trigger trigger = Trigger::on_open;
    std::uint64_t trigger_byte = 0;     ///< of at_byte: offset of the byte before which it happens
    std::uint64_t trigger_message = 1;  ///< of at_message: number of the message, from 1
    MessagePoint trigger_point = MessagePoint::begin;  ///< of at_message

    Millis delay = 0;   ///< of delay, delay_open, stall, reorder
    Millis jitter = 0;  ///< of a uniform distribution
    DelayDistribution distribution = DelayDistribution::fixed;
    double bytes_per_second = 0;        ///< of limit_rate
    std::uint64_t extra_copies = 1;     ///< of duplicate
    std::uint64_t overtaken_by = 1;     ///< of reorder
    std::uint64_t corrupted_bytes = 1;  ///< of corrupt

    /// @return whether the rule names the link, by from and to or by groups.
    bool applies_to(const Link& link) const;
    /// @return whether the rule holds at this time.
    bool is_active_at(Millis now) const;
    /// @return when is_active_at() changes next; kNever if it does not.
    Millis next_change(Millis now) const;
    bool operator==(const Rule&) const = default;
};

/// @return the fault's name in files.
const char* name_of(FaultType type);
/// @return whether it is of datagrams only: TCP does not show it.
bool applies_to_datagrams_only(FaultType type);

/// A corrupted byte is its exclusive or with this: no byte is the same after it.
constexpr char kCorruptionMask = 0x55;

/// A set of rules and the seed of their random choices. A value; not thread-safe.
class Rules {
public:
    explicit Rules(std::uint64_t seed = 1) : seed_(seed) {}

    /// Adds a rule, or replaces the one of the same name in its place.
    void put(Rule rule);
    /// @return whether there was one of that name.
    bool remove(const std::string& name);
    void replace_all(std::vector<Rule> rules) { rules_ = std::move(rules); }
    const std::vector<Rule>& all() const { return rules_; }

    /// @return whether nothing passes on this link now.
    bool is_cut(const Link& link, Medium medium, Millis now) const;
    /// @return whether every new connection of this link is refused now.
    bool refuses_all(const Link& link, Millis now) const;
    /// @return when is_cut() or refuses_all() may change next without a change of the rules; kNever if never.
    Millis next_change(Millis now) const;

    /// What happens to a connection as it opens.
    struct OpeningFault {
        bool is_refused = false;
        Millis delay = 0;  ///< it goes nowhere for so long
    };
    /// @param connection number of the connection among those that link.from opens, from 1.
    OpeningFault on_open(const Link& link, std::uint64_t connection, Millis now) const;

    /// One copy of a datagram that is to be delivered.
    struct Delivery {
        Millis delay = 0;
        /// Delivered at the latest once so many later ones of the link have passed; 0: no such limit.
        std::uint64_t overtaken_by = 0;
        std::uint64_t corrupted_bytes = 0;
    };
    /// @param number of the datagram on its link, from 1.
    /// @return its copies; none if it is dropped. A rate limit counts each call once.
    std::vector<Delivery> deliver(const Link& link, std::uint64_t number, std::size_t size, Millis now);

    /// @return indexes into all(): the rules whose faults this direction of a connection meets, at any time.
    std::vector<std::size_t> stream_rules(const Link& link, std::uint64_t connection) const;

    /// @param number of the connection or datagram.
    /// @param piece  tells the draws of one connection apart.
    Millis draw_delay(const Rule& rule, const Link& link, std::uint64_t number,
                      std::uint64_t draw_index) const;

private:
    // When the line of a link under a rate limit is free again, for datagrams.
    struct RateLimitedLine {
        Link link;
        Millis free_at = 0;
    };

    Random random_for(const Rule& rule, const Link& link, std::uint64_t number,
                      std::uint64_t draw_index = 0) const;
    bool matches(const Rule& rule, const Link& link, std::uint64_t number) const;
    void apply(const Rule& rule, const Link& link, std::uint64_t number, std::size_t size, Millis now,
               Delivery& delivery);
    Millis queueing_delay(const Rule& rule, const Link& link, std::size_t size, Millis now);

    std::uint64_t seed_;
    std::vector<Rule> rules_;
    std::vector<RateLimitedLine> lines_;
};

}  // namespace elmbay::fault_proxy
