// What membership costs and how long it takes, in virtual time: datagrams and bytes a member a second while
// all is calm, the time until all others know of a kill, an end, a silence and a split, and of their end;
// false failures under loss and freezes. The network is PROTOCOL's: 1.5 to 14 ms one way.
//
//     build/members_cost [MEMBERS ...]
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

#include "cluster/virtual_fleet.hpp"

namespace {

using namespace elmbay::cluster;
using elmbay::cluster::Millis;

constexpr Millis kMinute = 60000;

std::string seconds(Millis span) { return fmt::format("{:.1f}", span / 1000); }

// From now until each that runs holds it for one that is not there.
std::string until_known(VirtualFleet& fleet, MemberId who) {
    const Millis from = fleet.now();
    std::vector<Millis> when;
    fleet.changed = [&](MemberId, const Change& c) {
        if (c.number == who && c.after >= MemberState::failed) when.push_back(fleet.now() - from);
    };
    const bool all = fleet.until([&] { return when.size() + 1 >= fleet.count(); }, kMinute);
    fleet.changed = [](MemberId, const Change&) {};
    std::sort(when.begin(), when.end());
    if (when.empty()) return "never";
    return fmt::format("{} / {}{}", seconds(when[when.size() / 2]), seconds(when[when.size() * 99 / 100]),
                       all ? "" : " NOT ALL");
}

void row(std::uint32_t count) {
    const auto began = std::chrono::steady_clock::now();
    VirtualFleet fleet(count, 7);
    fleet.start_all();
    fleet.run_for(15000);
    const auto before = fleet.delivered;
    fleet.run_for(kMinute);
    const double each = 60.0 * count;
    const double datagrams = static_cast<double>(fleet.delivered.datagrams - before.datagrams) / each;
    const double bytes = static_cast<double>(fleet.delivered.bytes - before.bytes) / each;
    const double cpu =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count() / (75.0 * count);
    const auto back = [&](MemberId n) {
        fleet.start(n);
        fleet.run_for(20000);
    };
    fleet.kill(1);
    const std::string killed = until_known(fleet, 1);
    back(1);
    fleet.refuses = false;
    fleet.kill(2);
    const std::string silent = until_known(fleet, 2);
    back(2);
    fleet.refuses = true;
    fleet.freeze(3);
    const std::string frozen = until_known(fleet, 3);
    fleet.thaw(3);
    fleet.run_for(20000);
    fleet.end(4 % count);
    const std::string left = until_known(fleet, 4 % count);
    back(4 % count);
    // Thirds apart for 20 s.
    fleet.cut = [](MemberId a, MemberId b) { return (a % 3 == 0) != (b % 3 == 0); };
    const auto views = [&](View wanted) {
        for (MemberId n = 0; n < count; ++n)
            if (fleet.view(n) != wanted) return false;
        return true;
    };
    Millis from = fleet.now();
    const bool seen = fleet.until([&] { return views(View::part); }, kMinute);
    const Millis split = fleet.now() - from;
    fleet.run_for(std::max(0.0, 20000 - split));
    fleet.cut = [](MemberId, MemberId) { return false; };
    from = fleet.now();
    const bool healed = fleet.until([&] { return views(View::whole) && fleet.agree(); }, 2 * kMinute, 200);
    fmt::print("{:>8} {:>10.2f} {:>8.0f} {:>10.0f}  {:<12} {:<12} {:<12} {:<12} {:>6}{} {:>7}{}\n", count,
               datagrams, bytes, 1e6 * cpu, killed, silent, frozen, left, seconds(split), seen ? "" : "!",
               seconds(fleet.now() - from), healed ? "" : "!");
    std::fflush(stdout);
}

void false_failures(double loss, bool freezes) {
    constexpr std::uint32_t kCount = 50;
    VirtualFleet fleet(kCount, 11);
    fleet.net.loss = loss;
    fleet.start_all();
    fleet.run_for(10000);
    elmbay::cluster::Random random(3);
    std::uint64_t suspicions = 0;
    constexpr Millis kHours = 2;
    for (Millis end = fleet.now() + kHours * 60 * kMinute; fleet.now() < end;) {
        if (!freezes) {
            fleet.run_for(kMinute);
            continue;
        }
        const auto n = static_cast<MemberId>(random.below(kCount));
        fleet.freeze(n);
        fleet.run_for(75 + 195 * random.unit());
        fleet.thaw(n);
        fleet.run_for(100);
    }
    for (MemberId n = 0; n < kCount; ++n) suspicions += fleet[n].counters().suspicions;
    fmt::print(
        "{} members, {:.0f}% loss{}: {:.1f} suspicions a member-hour, {} false failures in {} member-hours\n",
        kCount, 100 * loss, freezes ? ", freezes of 75 to 270 ms" : "",
        static_cast<double>(suspicions) / (kHours * kCount), fleet.false_failures, kHours * kCount);
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::uint32_t> counts;
    for (int i = 1; i < argc; ++i) counts.push_back(static_cast<std::uint32_t>(std::atoi(argv[i])));
    if (counts.empty()) counts = {5, 10, 50, 100, 300};
    fmt::print(
        "a member a second while calm; then seconds until the others know (median / p99), until all see a "
        "split, "
        "and until all agree after it\n{:>8} {:>10} {:>8} {:>10}  {:<12} {:<12} {:<12} {:<12} {:>6} {:>7}\n",
        "members", "datagrams", "bytes", "CPU us", "killed", "silent", "frozen", "left", "split", "healed");
    for (const std::uint32_t count : counts) row(count);
    if (argc > 1) return 0;
    for (const double loss : {0.0, 0.1, 0.3}) false_failures(loss, false);
    false_failures(0, true);
}
