// The state machine of three and four members, explored exhaustively to a stated depth: at each state every
// datagram that is on its way may come next, be lost or come twice, time may pass to the next waking, and a
// member may crash, start again (its clock behind) or stand still. Each kind of fault has a budget for a
// path. States that go on alike but for chance (Membership::fingerprint) are gone into once.
//
// Invariants, at each state: (1) a table adds up; (2) nobody holds itself for worse than alive; (3) nobody
// holds an incarnation of another that this one has not had, nor of one life what another said; (4) whoever
// holds one for failed has suspected it for suspect_least first, or was told; (5) two tables with equal
// digests agree. From some of the last states the network is then still, and all must come to hold what is.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <unordered_set>

#include "cluster/membership.hpp"

namespace elmbay::cluster {
namespace {

constexpr Millis kUnix = IncarnationClock::kEpoch + 5e10;
constexpr Millis kOneWay = 5;

struct Budget {
    int lose = 2, repeat = 1, crash = 1, start = 1, freeze = 1;
};

struct World {
    std::vector<std::optional<Membership>> members;
    std::vector<bool> frozen;
    std::vector<std::vector<std::pair<MemberId, std::string>>> unread;
    std::map<std::pair<MemberId, MemberId>, std::vector<std::string>> links;  // from, to
    std::map<MemberId, std::set<Incarnation>> said;                           // all that each has been
    Millis now = 1000;
    Budget left;
    std::uint64_t next_seed = 1;

    void start(MemberId n, Millis clock_off) {
        const auto count = static_cast<std::uint32_t>(members.size());
        members[n].emplace(Membership::Setup{n, count, count, 77 * ++next_seed, {}}, now,
                           kUnix + now + clock_off);
        settle(n);
    }
    void settle(MemberId n) {
        for (Datagram& d : members[n]->take_datagrams()) links[{n, d.to}].push_back(std::move(d.bytes));
        members[n]->take_changes();
        said[n].insert(members[n]->member(n).incarnation);
    }
    void deliver(MemberId from, MemberId to, const std::string& bytes) {
        if (!members[to]) return;
        if (frozen[to]) return unread[to].emplace_back(from, bytes), void();
        members[to]->heard(now, from, bytes);
        settle(to);
    }
    void thaw(MemberId n) {
        frozen[n] = false;
        for (const auto& [from, bytes] : std::exchange(unread[n], {})) deliver(from, n, bytes);
    }
    std::optional<MemberId> next_to_wake() const {
        std::optional<MemberId> first;
        for (MemberId n = 0; n < members.size(); ++n)
            if (members[n] && !frozen[n] && (!first || members[n]->next() < members[*first]->next()))
                first = n;
        return first;
    }
    bool wake_next() {
        const auto n = next_to_wake();
        if (!n || !(members[*n]->next() < 1e300)) return false;
        now = std::max(now, members[*n]->next());
        members[*n]->wake(now);
        settle(*n);
        return true;
    }
    std::uint64_t fingerprint() const {
        std::uint64_t sum = 17;
        const auto add = [&](std::uint64_t v) { sum = (sum * 0x9e3779b97f4a7c15ULL) ^ v ^ (sum >> 31); };
        for (std::size_t n = 0; n < members.size(); ++n) {
            add(members[n] ? members[n]->fingerprint(now) : 3);
            add(frozen[n]), add(unread[n].size());
        }
        for (const auto& [ends, bytes] : links)
            for (const std::string& b : bytes)
                add(std::hash<std::string>()(b) + ends.first * 8 + ends.second);
        add(static_cast<std::uint64_t>(left.lose * 256 + left.repeat * 64 + left.crash * 16 + left.start * 4 +
                                       left.freeze));
        return sum;
    }
    // All on its way comes, nothing more goes wrong: whether all come to hold what is.
    bool comes_right(Millis within) {
        for (MemberId n = 0; n < members.size(); ++n)
            if (frozen[n]) thaw(n);
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
                if (due && members[*due]->next() <= now) wake_next();
            }
            if (right()) return true;
        }
        return false;
    }
    bool right() const {
        for (MemberId a = 0; a < members.size(); ++a)
            for (MemberId b = 0; members[a] && b < members.size(); ++b) {
                if ((members[a]->member(b).state <= MemberState::suspect) != members[b].has_value())
                    return false;
                if (members[b] && members[a]->digest() != members[b]->digest()) return false;
            }
        return true;
    }
};

std::string broken(const World& w) {
    for (MemberId a = 0; a < w.members.size(); ++a) {
        if (!w.members[a]) continue;
        const Membership& m = *w.members[a];
        const Headcount c = m.headcount();
        if (c.present + c.silent + c.ended != w.members.size()) return "a table does not add up";
        if (m.member(a).state > MemberState::alive) return "one holds itself for worse than alive";
        for (MemberId b = 0; b < w.members.size(); ++b) {
            const Member& held = m.member(b);
            const auto said = w.said.find(b);
            if (held.incarnation.counter > 0 &&
                (said == w.said.end() || !said->second.contains(held.incarnation)))
                return "an incarnation is held that was never said";
            if (held.state == MemberState::failed && held.since < 1000 + Timing{}.min_suspicion)
                return "failed before a suspicion could have lasted";
            if (!w.members[b] || a == b || m.digest() != w.members[b]->digest()) continue;
            for (MemberId x = 0; x < w.members.size(); ++x)
                if ((w.members[b]->member(x).state > MemberState::suspect ||
                     m.member(x).state > MemberState::suspect) &&
                    w.members[b]->member(x).incarnation != m.member(x).incarnation)
                    return "equal digests of unequal tables";
        }
    }
    return "";
}

// Every step that may come next, as a copy that has made it.
template <class Visit>
void each_next(const World& w, Visit visit) {
    for (const auto& [ends, list] : w.links) {
        if (list.empty()) continue;
        for (const int what : {0, 1, 2}) {  // comes, is lost, comes and is still on its way
            if ((what == 1 && w.left.lose == 0) || (what == 2 && w.left.repeat == 0)) continue;
            World next = w;
            auto& link = next.links[ends];
            const std::string bytes = link.front();
            if (what != 2) link.erase(link.begin());
            next.left.lose -= what == 1, next.left.repeat -= what == 2;
            next.now += what == 1 ? 0 : kOneWay;
            if (what != 1) next.deliver(ends.first, ends.second, bytes);
            visit(next);
        }
    }
    {
        World next = w;
        if (next.wake_next()) visit(next);
    }
    for (MemberId n = 0; n < w.members.size(); ++n) {
        if (w.members[n] && !w.frozen[n] && w.left.crash > 0) {
            World next = w;
            next.members[n].reset();
            --next.left.crash;
            visit(next);
        }
        if (!w.members[n] && w.left.start > 0) {
            World next = w;
            --next.left.start;
            next.start(n, -60000);  // its clock a minute behind its last life's
            visit(next);
        }
        if (w.members[n] && (w.frozen[n] || w.left.freeze > 0)) {
            World next = w;
            if (w.frozen[n])
                next.thaw(n);
            else
                next.frozen[n] = true, --next.left.freeze;
            visit(next);
        }
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
    for (int d = 0; d < depth && result.wrong.empty(); ++d) {
        std::vector<World> next_level;
        for (const World& w : level)
            each_next(w, [&](World& next) {
                if (!result.wrong.empty() || !seen.insert(next.fingerprint()).second) return;
                ++result.states;
                result.wrong = broken(next);
                next_level.push_back(std::move(next));
            });
        level = std::move(next_level);
    }
    constexpr std::size_t kEvery = 97;  // of the last states
    for (std::size_t i = 0; i < level.size() && result.wrong.empty(); i += kEvery) {
        ++result.ends;
        if (!level[i].comes_right(60000)) result.wrong = "it does not come right";
    }
    return result;
}

World world_of(std::uint32_t count) {
    World w;
    w.members.resize(count);
    w.frozen.resize(count);
    w.unread.resize(count);
    for (MemberId n = 0; n < count; ++n) w.start(n, 0);
    return w;
}

// From where: just started; calm; one silent for long enough that others suspect it; a split that has just
// healed.
std::vector<std::pair<std::string, World>> beginnings(std::uint32_t count) {
    std::vector<std::pair<std::string, World>> list;
    list.emplace_back("just started", world_of(count));
    World calm = world_of(count);
    EXPECT_TRUE(calm.comes_right(10000));
    list.emplace_back("calm", calm);
    const auto run = [](World w, Millis span, auto lost) {
        const Millis end = w.now + span;
        while (w.now < end) {
            auto coming = std::exchange(w.links, {});
            for (const auto& [ends, bytes] : coming)
                for (const std::string& b : bytes)
                    if (!lost(ends.first, ends.second)) w.deliver(ends.first, ends.second, b);
            w.now += kOneWay;
            const auto due = w.next_to_wake();
            if (due && w.members[*due]->next() <= w.now) w.wake_next();
        }
        w.links.clear();
        return w;
    };
    World silent = calm;
    silent.frozen[1] = true;
    silent.left.freeze = 0;
    list.emplace_back("one is silent", run(silent, 3500, [](MemberId, MemberId) { return false; }));
    list.emplace_back("a split has healed",
                      run(calm, 9000, [](MemberId a, MemberId b) { return (a == 0) != (b == 0); }));
    return list;
}

class Explore : public testing::TestWithParam<std::pair<std::uint32_t, int>> {};

TEST_P(Explore, EveryOrderOfEventsKeepsTheInvariantsAndComesRight) {
    const auto [count, depth] = GetParam();
    std::size_t states = 0, ends = 0;
    for (const auto& [name, from] : beginnings(count)) {
        const Explored explored = explore(from, depth);
        EXPECT_EQ(explored.wrong, "") << name << ", " << explored.states << " states";
        EXPECT_GT(explored.states, 100U) << name;
        states += explored.states, ends += explored.ends;
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
