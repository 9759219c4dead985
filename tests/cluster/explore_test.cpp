// The state machine of three and four members, explored exhaustively to a stated depth: at each state every
// datagram that is on its way may come next, be lost or come twice, time may pass to the next waking, and a
// member may crash, start again (its clock behind) or stand still. Each kind of fault has a budget for a
// path. States that go on alike but for chance (Membership::fingerprint) are gone into once.
//
// Invariants, at each state: (1) a table adds up; (2) nobody holds itself for worse than alive; (3) nobody
// holds an incarnation of another that this one has not had, nor one that another process under its id has
// had; (4) whoever holds one for failed has suspected it for Timing::min_suspicion first, or was told; (5)
// two tables with equal digests agree. From some of the last states the network is then still, and all must
// come to hold what is.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_set>

#include "cluster/membership.hpp"

namespace elmbay::cluster {
namespace {

constexpr Millis kUnix = IncarnationClock::kEpoch + 5e10;
constexpr Millis kOneWay = 5;    // a datagram's way
constexpr Millis kStart = 1000;  // of all members

struct Budget {
    int lose = 2, repeat = 1, crash = 1, start = 1, freeze = 1;
};

struct World {
    std::vector<std::optional<Membership>> members;
    std::vector<bool> frozen;
    std::vector<std::vector<std::pair<MemberId, std::string>>> unread;
    std::map<std::pair<MemberId, MemberId>, std::vector<std::string>> links;  // from, to
    std::map<MemberId, std::set<Incarnation>> incarnations_used;              // all that each has been
    Millis now = kStart;
    Budget left;
    std::uint64_t next_seed = 1;

    void start(MemberId id, Millis clock_off) {
        const auto count = static_cast<std::uint32_t>(members.size());
        members[id].emplace(Membership::Setup{id, count, count, 77 * ++next_seed, {}}, now,
                            kUnix + now + clock_off);
        settle(id);
    }
    void settle(MemberId id) {
        for (Datagram& datagram : members[id]->take_datagrams()) {
            links[{id, datagram.to}].push_back(std::move(datagram.bytes));
        }
        members[id]->take_changes();
        incarnations_used[id].insert(members[id]->member(id).incarnation);
    }
    void deliver(MemberId from, MemberId to, const std::string& bytes) {
        if (!members[to]) return;
        if (frozen[to]) {
            unread[to].emplace_back(from, bytes);
            return;
        }
        members[to]->on_datagram(now, from, bytes);
        settle(to);
    }
    void thaw(MemberId id) {
        frozen[id] = false;
        for (const auto& [from, bytes] : std::exchange(unread[id], {})) deliver(from, id, bytes);
    }
    std::optional<MemberId> next_to_wake() const {
        std::optional<MemberId> first;
        for (MemberId id = 0; id < members.size(); ++id)
            if (members[id] && !frozen[id] &&
                (!first || members[id]->next_due() < members[*first]->next_due()))
                first = id;
        return first;
    }
    bool wake_next() {
        const auto id = next_to_wake();
        if (!id || !(members[*id]->next_due() < 1e300)) return false;
        now = std::max(now, members[*id]->next_due());
        members[*id]->on_timer(now);
        settle(*id);
        return true;
    }
    std::uint64_t fingerprint() const {
        std::uint64_t sum = 17;
        const auto add = [&](std::uint64_t value) {
            sum = (sum * 0x9e3779b97f4a7c15ULL) ^ value ^ (sum >> 31);
        };
        for (std::size_t id = 0; id < members.size(); ++id) {
            add(members[id] ? members[id]->fingerprint(now) : 3);
            add(frozen[id]);
            add(unread[id].size());
        }
        for (const auto& [ends, bytes] : links)
            for (const std::string& datagram : bytes)
                add(std::hash<std::string>()(datagram) + ends.first * 8 + ends.second);
        add(static_cast<std::uint64_t>(left.lose * 256 + left.repeat * 64 + left.crash * 16 + left.start * 4 +
                                       left.freeze));
        return sum;
    }
    // All on its way comes, nothing more goes wrong: whether all come to hold what is.
    bool converges(Millis within) {
        for (MemberId id = 0; id < members.size(); ++id)
            if (frozen[id]) thaw(id);
        const Millis end = now + within;
        while (now < end) {
            auto coming = std::exchange(links, {});
            if (coming.empty()) {
                if (!wake_next()) return false;
            } else {
                now += kOneWay;
                for (const auto& [ends, list] : coming)
                    for (const std::string& bytes : list) deliver(ends.first, ends.second, bytes);
                const auto due = next_to_wake();
                if (due && members[*due]->next_due() <= now) wake_next();
            }
            if (is_converged()) return true;
        }
        return false;
    }
    bool is_converged() const {
        for (MemberId observer = 0; observer < members.size(); ++observer) {
            if (!members[observer]) continue;
            for (MemberId id = 0; id < members.size(); ++id) {
                const bool is_held_present = members[observer]->member(id).state <= MemberState::suspect;
                if (is_held_present != members[id].has_value()) return false;
                if (members[id] && members[observer]->digest() != members[id]->digest()) return false;
            }
        }
        return true;
    }
};

// Whether two tables whose digests are equal disagree on somebody who is not present.
bool digests_hide_difference(const Membership& one, const Membership& other) {
    if (one.digest() != other.digest()) return false;
    for (MemberId id = 0; id < one.member_count(); ++id) {
        const Member& here = one.member(id);
        const Member& there = other.member(id);
        const bool is_present_in_both =
            here.state <= MemberState::suspect && there.state <= MemberState::suspect;
        if (!is_present_in_both && here.incarnation != there.incarnation) return true;
    }
    return false;
}

// Whether one holds an incarnation that the other has never been.
bool holds_unknown_incarnation(const World& world, MemberId id, const Member& held) {
    if (held.incarnation.counter == 0) return false;
    const auto known = world.incarnations_used.find(id);
    return known == world.incarnations_used.end() || !known->second.contains(held.incarnation);
}

// The first invariant that a world breaks; empty if none.
std::string violated_invariant(const World& world) {
    for (MemberId observer = 0; observer < world.members.size(); ++observer) {
        if (!world.members[observer]) continue;
        const Membership& membership = *world.members[observer];
        const Headcount count = membership.headcount();
        if (count.present + count.silent + count.ended != world.members.size())
            return "a table does not add up";
        if (membership.member(observer).state > MemberState::alive)
            return "one holds itself for worse than alive";
        for (MemberId id = 0; id < world.members.size(); ++id) {
            const Member& held = membership.member(id);
            if (holds_unknown_incarnation(world, id, held))
                return "an incarnation is held that was never said";
            const bool is_failed = held.state == MemberState::failed;
            if (is_failed && held.since < kStart + Timing{}.min_suspicion) {
                return "failed before a suspicion could have lasted";
            }
            const bool is_other_and_runs = world.members[id] && id != observer;
            if (is_other_and_runs && digests_hide_difference(membership, *world.members[id])) {
                return "equal digests of unequal tables";
            }
        }
    }
    return "";
}

// What becomes of the datagram that is first on its link.
enum class Fate { arrives, is_lost, arrives_and_is_repeated };

// The world after the first datagram of a link has met its fate; none if the budget forbids it.
std::optional<World> after_datagram(const World& world, std::pair<MemberId, MemberId> ends, Fate fate) {
    if (fate == Fate::is_lost && world.left.lose == 0) return {};
    if (fate == Fate::arrives_and_is_repeated && world.left.repeat == 0) return {};
    World next = world;
    auto& link = next.links[ends];
    const std::string bytes = link.front();
    if (fate != Fate::arrives_and_is_repeated) link.erase(link.begin());
    if (fate == Fate::is_lost) {
        --next.left.lose;
        return next;
    }
    if (fate == Fate::arrives_and_is_repeated) --next.left.repeat;
    next.now += kOneWay;
    next.deliver(ends.first, ends.second, bytes);
    return next;
}

std::optional<World> after_crash(const World& world, MemberId id) {
    if (!world.members[id] || world.frozen[id] || world.left.crash == 0) return {};
    World next = world;
    next.members[id].reset();
    --next.left.crash;
    return next;
}

std::optional<World> after_restart(const World& world, MemberId id) {
    if (world.members[id] || world.left.start == 0) return {};
    constexpr Millis kClockBehind = -60000;  // against the clock of its earlier process
    World next = world;
    --next.left.start;
    next.start(id, kClockBehind);
    return next;
}

// Stands still, or runs again.
std::optional<World> after_freeze_or_thaw(const World& world, MemberId id) {
    const bool may_change = world.frozen[id] || world.left.freeze > 0;
    if (!world.members[id] || !may_change) return {};
    World next = world;
    if (world.frozen[id]) {
        next.thaw(id);
    } else {
        next.frozen[id] = true;
        --next.left.freeze;
    }
    return next;
}

// Calls visit with a copy of the world for every step that may come next.
template <class Visit>
void for_each_successor(const World& world, Visit visit) {
    const auto visit_if_possible = [&visit](std::optional<World> next) {
        if (next) visit(*next);
    };
    for (const auto& [ends, list] : world.links) {
        if (list.empty()) continue;
        for (const Fate fate : {Fate::arrives, Fate::is_lost, Fate::arrives_and_is_repeated}) {
            visit_if_possible(after_datagram(world, ends, fate));
        }
    }
    World woken = world;
    if (woken.wake_next()) visit(woken);
    for (MemberId id = 0; id < world.members.size(); ++id) {
        visit_if_possible(after_crash(world, id));
        visit_if_possible(after_restart(world, id));
        visit_if_possible(after_freeze_or_thaw(world, id));
    }
}

struct Explored {
    std::size_t states = 0, ends = 0;
    std::string wrong;
};

Explored explore(const World& from, int depth) {
    Explored result;
    std::unordered_set<std::uint64_t> seen{from.fingerprint()};
    std::vector<World> level{from};
    for (int steps = 0; steps < depth && result.wrong.empty(); ++steps) {
        std::vector<World> next_level;
        for (const World& world : level)
            for_each_successor(world, [&](World& next) {
                if (!result.wrong.empty() || !seen.insert(next.fingerprint()).second) return;
                ++result.states;
                result.wrong = violated_invariant(next);
                next_level.push_back(std::move(next));
            });
        level = std::move(next_level);
    }
    constexpr std::size_t kEvery = 97;  // of the last states
    for (std::size_t i = 0; i < level.size() && result.wrong.empty(); i += kEvery) {
        ++result.ends;
        if (!level[i].converges(60000)) result.wrong = "it does not come right";
    }
    return result;
}

World world_of(std::uint32_t count) {
    World world;
    world.members.resize(count);
    world.frozen.resize(count);
    world.unread.resize(count);
    for (MemberId id = 0; id < count; ++id) world.start(id, 0);
    return world;
}

// From where: just started; calm; one silent for long enough that others suspect it; a split that has just
// healed.
std::vector<std::pair<std::string, World>> initial_worlds(std::uint32_t count) {
    std::vector<std::pair<std::string, World>> list;
    list.emplace_back("just started", world_of(count));
    World calm = world_of(count);
    EXPECT_TRUE(calm.converges(10000));
    list.emplace_back("calm", calm);
    const auto run = [](World world, Millis span, auto lost) {
        const Millis end = world.now + span;
        while (world.now < end) {
            auto coming = std::exchange(world.links, {});
            for (const auto& [ends, bytes] : coming)
                for (const std::string& datagram : bytes)
                    if (!lost(ends.first, ends.second)) world.deliver(ends.first, ends.second, datagram);
            world.now += kOneWay;
            const auto due = world.next_to_wake();
            if (due && world.members[*due]->next_due() <= world.now) world.wake_next();
        }
        world.links.clear();
        return world;
    };
    World silent = calm;
    silent.frozen[1] = true;
    silent.left.freeze = 0;
    list.emplace_back("one is silent", run(silent, 3500, [](MemberId, MemberId) { return false; }));
    list.emplace_back("a split has healed",
                      run(calm, 9000, [](MemberId from, MemberId to) { return (from == 0) != (to == 0); }));
    return list;
}

class Explore : public testing::TestWithParam<std::pair<std::uint32_t, int>> {};

TEST_P(Explore, KeepsInvariantsAndConvergesInEveryOrderOfEvents) {
    const auto [count, depth] = GetParam();
    std::size_t states = 0, ends = 0;
    for (const auto& [name, from] : initial_worlds(count)) {
        const Explored explored = explore(from, depth);
        EXPECT_EQ(explored.wrong, "") << name << ", " << explored.states << " states";
        EXPECT_GT(explored.states, 100U) << name;
        states += explored.states;
        ends += explored.ends;
    }
    RecordProperty("states", std::to_string(states));
    std::printf("%u members, depth %d: %zu states, %zu of the last let come right\n", count, depth, states,
                ends);
}

#ifdef __SANITIZE_ADDRESS__
constexpr int kThree = 4, kFour = 3;
#else
constexpr int kThree = 6, kFour = 5;
#endif
INSTANTIATE_TEST_SUITE_P(Membership, Explore, testing::Values(std::pair(3U, kThree), std::pair(4U, kFour)),
                         [](const auto& info) { return "Of" + std::to_string(info.param.first); });

}  // namespace
}  // namespace elmbay::cluster
