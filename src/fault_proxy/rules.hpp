// Fault rules for links: decide, without I/O and without a clock, what happens to bytes and datagrams in
// transit.
//
// A link is directed and identified by the names of its two ends. A connection that A opens to B uses two
// links: bytes from A travel on A -> B, bytes from B on B -> A. The connection is established only while
// neither link is cut. A rule selects links, a time span and optionally the numbers of connections or
// datagrams, and has one fault. A fault of a stream is triggered when the connection opens, at a byte, or at
// an HTTP message of one direction.
//
// All random choices are derived from seed, rule, link and number, and not from the order of calls: the same
// rules and seed have the same effect on the same connection, regardless of other traffic.
//
// Times are milliseconds of the caller's clock, which must be monotonic. The times of rules count from time 0
// of that clock.
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

/// A time that is never reached.
constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

/// A directed link between two ends.
struct Link {
    std::string from, to;
    /// @return the link of the opposite direction.
    Link reversed() const { return {to, from}; }
    auto operator<=>(const Link&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// The kinds of traffic that a rule applies to.
enum class Medium { any, stream, datagram };

/// The effect of a rule. name_of() gives the name that files use for it.
enum class FaultType {
    cut,    ///< blocks all traffic: streams and connects wait, as after segment loss; datagrams are dropped
    drop,   ///< drops datagrams; for datagrams only
    delay,  ///< delays by Rule::delay; bytes of a stream stay in order
    duplicate,   ///< delivers Rule::extra_copies more copies of each datagram; for datagrams only
    reorder,     ///< delays a datagram until Rule::overtaken_by later ones are delivered, or for Rule::delay
    limit_rate,  ///< limits throughput to Rule::bytes_per_second
    refuse,      ///< refuses new connections
    delay_open,  ///< accepts a new connection, but passes no bytes for Rule::delay
    reset,       ///< resets the connection at both ends
    half_close,  ///< half-closes the connection towards the receiver and drops all later bytes
    silence,     ///< drops all later bytes of this direction and keeps the connection open
    stall,       ///< blocks this direction for Rule::delay, then delivers all bytes
    corrupt      ///< changes Rule::corrupted_bytes bytes
};

/// The point in one direction of a connection at which a fault is triggered. A fault of datagrams applies to
/// each datagram that matches.
enum class Trigger { on_open, at_byte, at_message };

/// A place in an HTTP message: before its first byte, after its head, after its last byte.
enum class MessagePoint { begin, head_end, end };

/// Distribution of a delay: constant, uniform in delay +- jitter, or exponential with the mean `delay`.
enum class DelayDistribution { fixed, uniform, exponential };

/// One fault that applies to selected links at selected times.
struct Rule {
    std::string name;                    ///< unique in a set of rules
    std::vector<std::string> from{"*"};  ///< names of senders; "*" matches any name, a trailing * any suffix
    std::vector<std::string> to{"*"};    ///< names of receivers, with the same patterns
    /// Replaces from and to: selects the links between two of these groups, in both directions. A name in
    /// several groups or in none keeps all its links.
    std::vector<std::vector<std::string>> groups;
    Medium medium = Medium::any;
    FaultType type = FaultType::cut;

    Millis starts_at = 0;            ///< time at which the rule becomes active
    Millis duration = 0;             ///< how long the rule is active; 0: until it is removed
    Millis period = 0;               ///< interval of repetition, if longer than duration
    std::uint64_t first_number = 1;  ///< first connection or datagram of a link that it applies to, from 1
    std::uint64_t last_number = UINT64_MAX;  ///< last connection or datagram that it applies to (inclusive)
    double probability = 1;                  ///< probability for each connection or datagram

    Trigger trigger = Trigger::on_open;
    std::uint64_t trigger_byte = 0;  ///< for at_byte: offset of the byte before which the fault is triggered
    std::uint64_t trigger_message = 1;                 ///< for at_message: number of the message, from 1
    MessagePoint trigger_point = MessagePoint::begin;  ///< for at_message

    Millis delay = 0;   ///< for delay, delay_open, stall and reorder
    Millis jitter = 0;  ///< for the uniform distribution
    DelayDistribution distribution = DelayDistribution::fixed;
    double bytes_per_second = 0;        ///< for limit_rate
    std::uint64_t extra_copies = 1;     ///< for duplicate
    std::uint64_t overtaken_by = 1;     ///< for reorder
    std::uint64_t corrupted_bytes = 1;  ///< for corrupt

    /// @return whether the rule selects the link, by from and to or by groups.
    bool applies_to(const Link& link) const;
    /// @return whether the rule is active at this time.
    bool is_active_at(Millis now) const;
    /// @return the time at which is_active_at() changes next; kNever if it does not change again.
    Millis next_change(Millis now) const;
    bool operator==(const Rule&) const = default;
};

/// @return the name of the fault in files.
const char* name_of(FaultType type);
/// @return whether the fault applies to datagrams only, because TCP hides it from its users.
bool applies_to_datagrams_only(FaultType type);

/// XOR mask of corrupted bytes. It changes every byte value.
constexpr char kCorruptionMask = 0x55;

/// A set of rules and the seed of their random choices. Value type; not thread-safe.
class Rules {
public:
    explicit Rules(std::uint64_t seed = 1) : seed_(seed) {}

    /// Adds a rule, or replaces the rule of the same name at its position.
    void put(Rule rule);
    /// @return whether a rule of that name existed.
    bool remove(const std::string& name);
    void replace_all(std::vector<Rule> rules) { rules_ = std::move(rules); }
    const std::vector<Rule>& all() const { return rules_; }

    /// @return whether the link is cut at this time.
    bool is_cut(const Link& link, Medium medium, Millis now) const;
    /// @return whether every new connection of this link is refused at this time.
    bool refuses_all(const Link& link, Millis now) const;
    /// @return the time of the next possible change of is_cut() or refuses_all() if the rules stay the same;
    /// kNever if none.
    Millis next_change(Millis now) const;

    /// The faults of a connection when it opens.
    struct OpeningFault {
        bool is_refused = false;
        Millis delay = 0;  ///< time for which the connection passes no bytes
    };
    /// @param connection number of the connection among those that link.from opens, from 1.
    OpeningFault on_open(const Link& link, std::uint64_t connection, Millis now) const;

    /// One copy of a datagram to be delivered.
    struct Delivery {
        Millis delay = 0;
        /// Number of later datagrams of the link after which it is delivered at the latest; 0: no such limit.
        std::uint64_t overtaken_by = 0;
        std::uint64_t corrupted_bytes = 0;
    };
    /// @param number number of the datagram on its link, from 1.
    /// @return the copies to deliver; none if the datagram is dropped. Each call counts once against rate
    /// limits.
    std::vector<Delivery> deliver(const Link& link, std::uint64_t number, std::size_t size, Millis now);

    /// @return indexes into all() of the rules that apply to the bytes of this direction of a connection, at
    /// any time.
    std::vector<std::size_t> stream_rules(const Link& link, std::uint64_t connection) const;

    /// @param number     number of the connection or datagram.
    /// @param draw_index distinguishes the random draws of one connection.
    Millis draw_delay(const Rule& rule, const Link& link, std::uint64_t number,
                      std::uint64_t draw_index) const;

private:
    // The time at which a rate-limited link has transmitted all earlier datagrams.
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
