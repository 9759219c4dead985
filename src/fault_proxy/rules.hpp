// Faults on links: what happens to bytes and datagrams on their way, decided without I/O and without a clock.
//
// A link is directed and named by its two ends. A connection that A opens to B has two: bytes from A travel
// on A -> B, those of B on B -> A; it comes up only while neither is cut. A rule names links, a time, perhaps
// the nth connection or datagram, and one act. Where an act needs a place, it is a byte or an HTTP message of
// one direction. All chance is keyed by seed, rule, link and number, never by the order of calls: the same
// script and seed do the same to the same connection whatever else goes on.
//
// Times are milliseconds of the caller's clock, which never goes back; a script's begin at 0.
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

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();

struct Link {
    std::string from, to;
    Link back() const { return {to, from}; }
    auto operator<=>(const Link&) const = default;
};

enum class Medium { any, stream, datagram };

enum class Act {
    cut,         // nothing gets through: streams wait and connects hang, as under lost segments; datagrams go
    lose,        // datagrams only
    delay,       // by `span`, with `law` and `jitter`; bytes of a stream keep their order
    repeat,      // datagrams only: `copies` more of it
    reorder,     // datagrams only: held back until `behind` later ones have passed, or for `span`
    rate,        // at most `rate` bytes a second
    refuse,      // a new connection is refused
    hold,        // a new connection is taken and goes nowhere for `span`
    reset,       // both ends see a reset
    half_close,  // the receiving end sees the end of sending; what the sender sends on is dropped
    silence,     // from here on nothing passes in this direction, though the connection stays open
    stall,       // nothing passes in this direction for `span`, then all of it
    garble       // `count` bytes are changed
};

// Where in one direction of a connection an act happens; of datagrams always in each that the rule matches.
enum class Place { opening, byte, message };
enum class Part {
    begins,
    head,
    ends
};  // of an HTTP message: before its first byte, after its head, after it

enum class Law { fixed, uniform, exponential };  // of a delay: `span`, and uniform in span +- jitter

struct Rule {
    std::string name;
    // Names of ends; "*" is any, a trailing * any rest. With `groups` they are not looked at.
    std::vector<std::string> from{"*"}, to{"*"};
    // A split: links between two of these groups, both ways. Who stands in several, or in none, hears all.
    std::vector<std::vector<std::string>> groups;
    Medium medium = Medium::any;
    Act act = Act::cut;
    Millis at = 0, lasts = 0;                    // lasts 0: until it is taken away
    Millis every = 0;                            // > lasts: comes on again after so long
    std::uint64_t first = 1, last = UINT64_MAX;  // of connections, datagrams; from 1
    double chance = 1;                           // of each connection, or datagram
    Place place = Place::opening;
    std::uint64_t byte = 0;     // offset from 0: before this byte
    std::uint64_t message = 1;  // from 1
    Part part = Part::begins;
    Millis span = 0, jitter = 0;
    Law law = Law::fixed;
    double rate = 0;  // bytes a second
    std::uint64_t copies = 1, behind = 1, count = 1;

    bool names(const Link& link) const;
    bool holds_at(Millis now) const;
    Millis next_change(Millis now) const;  // when holds_at() is next another; kNever
    bool operator==(const Rule&) const = default;
};

const char* name_of(Act act);

class Rules {
public:
    explicit Rules(std::uint64_t seed = 1) : seed_(seed) {}

    // Those of the same name are replaced; others stay.
    void put(Rule rule);
    bool take_away(const std::string& name);
    void replace_all(std::vector<Rule> rules) { rules_ = std::move(rules); }
    const std::vector<Rule>& all() const { return rules_; }

    // Whether anything gets through on this link at all.
    bool cut(const Link& link, Medium medium, Millis now) const;
    // When the answer of cut() or refuses_all() may be another without a change of the rules; kNever if
    // never.
    Millis next_change(Millis now) const;
    // Whether every new connection of that link is refused now.
    bool refuses_all(const Link& link, Millis now) const;

    struct Opening {
        bool refused = false;
        Millis hold = 0;
    };
    // Of the nth connection (from 1) that link.from opens.
    Opening opening(const Link& link, std::uint64_t nth, Millis now) const;

    // What becomes of the nth datagram (from 1) of a link: a delivery for each copy, none if it is lost.
    struct Delivery {
        Millis after = 0;
        std::uint64_t behind = 0;   // at the latest after so many later ones of the link have passed; 0: no
        std::uint64_t garbled = 0;  // so many bytes are changed
    };
    std::vector<Delivery> datagram(const Link& link, std::uint64_t nth, std::size_t size, Millis now);

    // The rules of acts on a stream's bytes that this connection's direction meets: indexes into all().
    std::vector<std::size_t> on_stream(const Link& link, std::uint64_t nth) const;

    Millis drawn_delay(const Rule& rule, const Link& link, std::uint64_t nth, std::uint64_t piece) const;

private:
    Random chance(const Rule& rule, const Link& link, std::uint64_t nth, std::uint64_t piece = 0) const;
    bool meets(const Rule& rule, const Link& link, std::uint64_t nth) const;

    std::uint64_t seed_;
    std::vector<Rule> rules_;
    struct Free {
        Link link;
        Millis at = 0;
    };
    std::vector<Free> busy_;  // by link under a rate: when its line is free again, for datagrams
};

}  // namespace elmbay::fault_proxy
