// Exhaustive exploration of the Membership state machines of three and four members, up to a fixed depth.
// From each state the successors are: the first datagram of any link is delivered, lost or duplicated; time
// advances to the next timer; a member crashes, restarts with its wall clock set back, or stalls. Each kind
// of fault has a budget per path. States that are equal apart from random choices (Membership::fingerprint)
// are explored once.
//
// Invariants of each state: (1) the counts of a table add up; (2) no member sets itself to a state worse than
// alive; (3) no table has an incarnation of a member that none of the member's own processes has had; (4) a
// member is set to failed only after a suspicion of Timing::min_suspicion_timeout, by the observer or by a
// member that reported it; (5) two tables with equal digests agree. From some of the final states the test
// continues without faults, and all tables must converge to the running members.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_set>

#include "cluster/membership.hpp"

namespace elmbay::cluster {
namespace {

constexpr Millis kUnixAtStart = IncarnationClock::kEpoch + 5e10;
constexpr Millis kOneWayDelay = 5;   // milliseconds from sender to receiver
constexpr Millis kStartTime = 1000;  // start of all members, in milliseconds

struct FaultBudget {
    int losses = 2, duplicates = 1, crashes = 1, restarts = 1, stalls = 1;
};

struct SystemState {
    std::vector<std::optional<Membership>> members;
    std::vector<bool> stalled;
    std::vector<std::vector<std::pair<MemberId, std::string>>> unread_datagrams;
    std::map<std::pair<MemberId, MemberId>, std::vector<std::string>> links;  // by sender and receiver
    std::map<MemberId, std::set<Incarnation>> incarnations_used;  // by id: incarnations of all its processes
    Millis now = kStartTime;
    FaultBudget remaining;
    std::uint64_t next_seed = 1;

    void start(MemberId id, Millis clock_offset) {
        const auto count = static_cast<std::uint32_t>(members.size());
        members[id].emplace(Membership::Setup{id, count, count, 77 * ++next_seed, {}}, now,
                            kUnixAtStart + now + clock_offset);
        flush_outputs(id);
    }
    void flush_outputs(MemberId id) {
        for (Datagram& datagram : members[id]->take_datagrams()) {
            links[{id, datagram.to}].push_back(std::move(datagram.bytes));
        }
        members[id]->take_changes();
        incarnations_used[id].insert(members[id]->member(id).incarnation);
    }
    void deliver(MemberId from, MemberId to, const std::string& bytes) {
        if (!members[to]) return;
        if (stalled[to]) {
            unread_datagrams[to].emplace_back(from, bytes);
            return;
        }
        members[to]->on_datagram(now, from, bytes);
        flush_outputs(to);
    }
    void resume(MemberId id) {
        stalled[id] = false;
        for (const auto& [from, bytes] : std::exchange(unread_datagrams[id], {})) deliver(from, id, bytes);
    }
    std::optional<MemberId> next_member_with_timer() const {
        std::optional<MemberId> first;
        for (MemberId id = 0; id < members.size(); ++id)
            if (members[id] && !stalled[id] &&
                (!first || members[id]->next_due() < members[*first]->next_due()))
                first = id;
        return first;
    }
    bool run_next_timer() {
        const auto id = next_member_with_timer();
        if (!id || !(members[*id]->next_due() < 1e300)) return false;
        now = std::max(now, members[*id]->next_due());
        members[*id]->on_timer(now);
        flush_outputs(*id);
        return true;
    }
    std::uint64_t fingerprint() const {
        std::uint64_t hash = 17;
        const auto add = [&](std::uint64_t value) {
            hash = (hash * 0x9e3779b97f4a7c15ULL) ^ value ^ (hash >> 31);
        };
        for (std::size_t id = 0; id < members.size(); ++id) {
            add(members[id] ? members[id]->fingerprint(now) : 3);
            add(stalled[id]);
            add(unread_datagrams[id].size());
        }
        for (const auto& [link_ends, bytes] : links)
            for (const std::string& datagram : bytes)
                add(std::hash<std::string>()(datagram) + link_ends.first * 8 + link_ends.second);
        add(static_cast<std::uint64_t>(remaining.losses * 256 + remaining.duplicates * 64 +
                                       remaining.crashes * 16 + remaining.restarts * 4 + remaining.stalls));
        return hash;
    }
    // Continues without faults. Returns whether all tables converge to the running members in time.
    bool converges(Millis within) {
        for (MemberId id = 0; id < members.size(); ++id)
            if (stalled[id]) resume(id);
        const Millis end = now + within;
        while (now < end) {
            auto in_flight = std::exchange(links, {});
            if (in_flight.empty()) {
                if (!run_next_timer()) return false;
            } else {
                now += kOneWayDelay;
                for (const auto& [link_ends, list] : in_flight)
                    for (const std::string& bytes : list) deliver(link_ends.first, link_ends.second, bytes);
                const auto next_member = next_member_with_timer();
                if (next_member && members[*next_member]->next_due() <= now) run_next_timer();
            }
            if (is_converged()) return true;
        }
        return false;
    }
    bool is_converged() const {
        for (MemberId observer = 0; observer < members.size(); ++observer) {
            if (!members[observer]) continue;
            for (MemberId id = 0; id < members.size(); ++id) {
                const bool is_counted_present = members[observer]->member(id).state <= MemberState::suspect;
                if (is_counted_present != members[id].has_value()) return false;
                if (members[id] && members[observer]->digest() != members[id]->digest()) return false;
            }
        }
        return true;
    }
};

// Returns whether two tables with equal digests disagree on a member that is not present.
bool digests_hide_difference(const Membership& first, const Membership& second) {
    if (first.digest() != second.digest()) return false;
    for (MemberId id = 0; id < first.member_count(); ++id) {
        const Member& first_entry = first.member(id);
        const Member& second_entry = second.member(id);
        const bool is_present_in_both =
            first_entry.state <= MemberState::suspect && second_entry.state <= MemberState::suspect;
        if (!is_present_in_both && first_entry.incarnation != second_entry.incarnation) return true;
    }
    return false;
}

// Returns whether a table entry has an incarnation that no process of the member has had.
bool has_unknown_incarnation(const SystemState& state, MemberId id, const Member& entry) {
    if (entry.incarnation.counter == 0) return false;
    const auto known = state.incarnations_used.find(id);
    return known == state.incarnations_used.end() || !known->second.contains(entry.incarnation);
}

// Returns a description of the first violated invariant; empty if there is none.
std::string violated_invariant(const SystemState& state) {
    for (MemberId observer = 0; observer < state.members.size(); ++observer) {
        if (!state.members[observer]) continue;
        const Membership& membership = *state.members[observer];
        const MemberCounts counts = membership.member_counts();
        if (counts.present + counts.failed + counts.ended != state.members.size())
            return "the counts of a table do not add up";
        if (membership.member(observer).state > MemberState::alive)
            return "a member sets itself to a state worse than alive";
        for (MemberId id = 0; id < state.members.size(); ++id) {
            const Member& entry = membership.member(id);
            if (has_unknown_incarnation(state, id, entry))
                return "a table has an incarnation that no process has had";
            const bool is_failed = entry.state == MemberState::failed;
            if (is_failed && entry.state_since < kStartTime + Timing{}.min_suspicion_timeout) {
                return "a member failed before the shortest suspicion could expire";
            }
            const bool is_other_running = state.members[id] && id != observer;
            if (is_other_running && digests_hide_difference(membership, *state.members[id])) {
                return "two different tables have equal digests";
            }
        }
    }
    return "";
}

// What the network does with the first datagram of a link.
enum class Delivery { delivered, lost, duplicated };

// Returns the state after the network has handled the first datagram of a link; none if the budget is used
// up.
std::optional<SystemState> after_datagram(const SystemState& state, std::pair<MemberId, MemberId> link_ends,
                                          Delivery delivery) {
    if (delivery == Delivery::lost && state.remaining.losses == 0) return {};
    if (delivery == Delivery::duplicated && state.remaining.duplicates == 0) return {};
    SystemState next = state;
    auto& link = next.links[link_ends];
    const std::string bytes = link.front();
    if (delivery != Delivery::duplicated) link.erase(link.begin());
    if (delivery == Delivery::lost) {
        --next.remaining.losses;
        return next;
    }
    if (delivery == Delivery::duplicated) --next.remaining.duplicates;
    next.now += kOneWayDelay;
    next.deliver(link_ends.first, link_ends.second, bytes);
    return next;
}

std::optional<SystemState> after_crash(const SystemState& state, MemberId id) {
    if (!state.members[id] || state.stalled[id] || state.remaining.crashes == 0) return {};
    SystemState next = state;
    next.members[id].reset();
    --next.remaining.crashes;
    return next;
}

std::optional<SystemState> after_restart(const SystemState& state, MemberId id) {
    if (state.members[id] || state.remaining.restarts == 0) return {};
    constexpr Millis kClockOffset = -60000;  // milliseconds relative to the wall clock of the earlier process
    SystemState next = state;
    --next.remaining.restarts;
    next.start(id, kClockOffset);
    return next;
}

// Stalls a member, or resumes a stalled one.
std::optional<SystemState> after_stall_or_resume(const SystemState& state, MemberId id) {
    const bool may_change = state.stalled[id] || state.remaining.stalls > 0;
    if (!state.members[id] || !may_change) return {};
    SystemState next = state;
    if (state.stalled[id]) {
        next.resume(id);
    } else {
        next.stalled[id] = true;
        --next.remaining.stalls;
    }
    return next;
}

// Calls visit with each possible successor of the state.
template <class Visit>
void for_each_successor(const SystemState& state, Visit visit) {
    const auto visit_if_possible = [&visit](std::optional<SystemState> next) {
        if (next) visit(*next);
    };
    for (const auto& [link_ends, list] : state.links) {
        if (list.empty()) continue;
        for (const Delivery delivery : {Delivery::delivered, Delivery::lost, Delivery::duplicated}) {
            visit_if_possible(after_datagram(state, link_ends, delivery));
        }
    }
    SystemState after_timer = state;
    if (after_timer.run_next_timer()) visit(after_timer);
    for (MemberId id = 0; id < state.members.size(); ++id) {
        visit_if_possible(after_crash(state, id));
        visit_if_possible(after_restart(state, id));
        visit_if_possible(after_stall_or_resume(state, id));
    }
}

struct ExplorationResult {
    std::size_t states = 0, end_states = 0;
    std::string violation;
};

ExplorationResult explore(const SystemState& from, int depth) {
    ExplorationResult result;
    std::unordered_set<std::uint64_t> visited{from.fingerprint()};
    std::vector<SystemState> level{from};
    for (int steps = 0; steps < depth && result.violation.empty(); ++steps) {
        std::vector<SystemState> next_level;
        for (const SystemState& state : level)
            for_each_successor(state, [&](SystemState& next) {
                if (!result.violation.empty() || !visited.insert(next.fingerprint()).second) return;
                ++result.states;
                result.violation = violated_invariant(next);
                next_level.push_back(std::move(next));
            });
        level = std::move(next_level);
    }
    constexpr std::size_t kCheckInterval = 97;  // checks convergence from each 97th final state
    for (std::size_t i = 0; i < level.size() && result.violation.empty(); i += kCheckInterval) {
        ++result.end_states;
        if (!level[i].converges(60000)) result.violation = "the tables do not converge";
    }
    return result;
}

SystemState started_system(std::uint32_t count) {
    SystemState state;
    state.members.resize(count);
    state.stalled.resize(count);
    state.unread_datagrams.resize(count);
    for (MemberId id = 0; id < count; ++id) state.start(id, 0);
    return state;
}

// Returns the states from which the exploration starts: all members have just started; the tables have
// converged; one member has stalled long enough to be suspected; a partition has just ended.
std::vector<std::pair<std::string, SystemState>> initial_states(std::uint32_t count) {
    std::vector<std::pair<std::string, SystemState>> states;
    states.emplace_back("just started", started_system(count));
    SystemState converged = started_system(count);
    EXPECT_TRUE(converged.converges(10000));
    states.emplace_back("converged", converged);
    const auto run = [](SystemState state, Millis span, auto is_dropped) {
        const Millis end = state.now + span;
        while (state.now < end) {
            auto in_flight = std::exchange(state.links, {});
            for (const auto& [link_ends, bytes] : in_flight)
                for (const std::string& datagram : bytes)
                    if (!is_dropped(link_ends.first, link_ends.second))
                        state.deliver(link_ends.first, link_ends.second, datagram);
            state.now += kOneWayDelay;
            const auto next_member = state.next_member_with_timer();
            if (next_member && state.members[*next_member]->next_due() <= state.now) state.run_next_timer();
        }
        state.links.clear();
        return state;
    };
    SystemState with_stalled_member = converged;
    with_stalled_member.stalled[1] = true;
    with_stalled_member.remaining.stalls = 0;
    states.emplace_back("one member is stalled",
                        run(with_stalled_member, 3500, [](MemberId, MemberId) { return false; }));
    states.emplace_back("a partition has ended", run(converged, 9000, [](MemberId from, MemberId to) {
                            return (from == 0) != (to == 0);
                        }));
    return states;
}

class StateExploration : public testing::TestWithParam<std::pair<std::uint32_t, int>> {};

TEST_P(StateExploration, KeepsInvariantsAndConvergesInEveryOrderOfEvents) {
    const auto [count, depth] = GetParam();
    std::size_t states = 0, end_states = 0;
    for (const auto& [name, from] : initial_states(count)) {
        const ExplorationResult explored = explore(from, depth);
        EXPECT_EQ(explored.violation, "") << name << ", " << explored.states << " states";
        EXPECT_GT(explored.states, 100U) << name;
        states += explored.states;
        end_states += explored.end_states;
    }
    RecordProperty("states", std::to_string(states));
    std::printf("%u members, depth %d: %zu states, convergence checked from %zu\n", count, depth, states,
                end_states);
}

#ifdef __SANITIZE_ADDRESS__
constexpr int kDepthOfThree = 4, kDepthOfFour = 3;
#else
constexpr int kDepthOfThree = 6, kDepthOfFour = 5;
#endif
INSTANTIATE_TEST_SUITE_P(Membership, StateExploration,
                         testing::Values(std::pair(3U, kDepthOfThree), std::pair(4U, kDepthOfFour)),
                         [](const auto& info) { return "Members" + std::to_string(info.param.first); });

}  // namespace
}  // namespace elmbay::cluster
