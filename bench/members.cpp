// What membership costs and how long it takes, in virtual time: datagrams and bytes a member a second while
// nothing changes; the time until all others know of a crash, a silent host, a frozen process and a leave;
// the time until all see a partition, and its end; false failures under loss and freezes. The network is the
// platform's: 1.5 to 14 ms one way.
//
//     build/members_cost [MEMBERS ...]
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "cluster/virtual_fleet.hpp"

namespace {

using namespace elmbay::cluster;
using elmbay::cluster::Millis;

constexpr Millis kSecond = 1000;
constexpr Millis kMinute = 60 * kSecond;
constexpr Millis kSettlingTime = 20 * kSecond;  // between two measurements

std::string in_seconds(Millis span) { return fmt::format("{:.1f}", span / kSecond); }

// The time from now until the other members hold `failed` for gone: median / p99.
std::string time_until_failure_known(VirtualFleet& fleet, MemberId failed) {
    const Millis begin = fleet.now();
    std::vector<Millis> times;
    fleet.changed = [&](MemberId, const MemberChange& change) {
        const bool gone = change.member_id == failed && change.after >= MemberState::failed;
        if (gone) times.push_back(fleet.now() - begin);
    };
    const bool known_to_all = fleet.until([&] { return times.size() + 1 >= fleet.count(); }, kMinute);
    fleet.changed = [](MemberId, const MemberChange&) {};
    if (times.empty()) return "never";
    std::sort(times.begin(), times.end());
    const Millis median = times[times.size() / 2];
    const Millis p99 = times[times.size() * 99 / 100];
    return fmt::format("{} / {}{}", in_seconds(median), in_seconds(p99), known_to_all ? "" : " NOT ALL");
}

// ---- One size of fleet ------------------------------------------------------------------------------------

struct SteadyCost {
    double datagrams = 0;         // a member a second
    double bytes = 0;             // a member a second
    double cpu_microseconds = 0;  // a member in a virtual second, the start included
};

// Starts all members and measures a minute without changes.
SteadyCost measure_steady_cost(VirtualFleet& fleet, std::chrono::steady_clock::time_point began) {
    constexpr Millis kStartTime = 15 * kSecond;
    const double members = fleet.count();
    fleet.start_all();
    fleet.run_for(kStartTime);
    const auto before = fleet.delivered;
    fleet.run_for(kMinute);
    const auto after = fleet.delivered;
    const std::chrono::duration<double> cpu = std::chrono::steady_clock::now() - began;
    const double member_seconds = kMinute / kSecond * members;
    const double member_seconds_in_all = (kStartTime + kMinute) / kSecond * members;
    return {static_cast<double>(after.datagrams - before.datagrams) / member_seconds,
            static_cast<double>(after.bytes - before.bytes) / member_seconds,
            1e6 * cpu.count() / member_seconds_in_all};
}

void restart(VirtualFleet& fleet, MemberId member) {
    fleet.start(member);
    fleet.run_for(kSettlingTime);
}

// A process crashes: its host refuses datagrams.
std::string measure_crash(VirtualFleet& fleet) {
    fleet.kill(1);
    std::string time = time_until_failure_known(fleet, 1);
    restart(fleet, 1);
    return time;
}

// A process crashes and its host does not refuse datagrams.
std::string measure_silence(VirtualFleet& fleet) {
    fleet.refuses = false;
    fleet.kill(2);
    std::string time = time_until_failure_known(fleet, 2);
    restart(fleet, 2);
    fleet.refuses = true;
    return time;
}

std::string measure_freeze(VirtualFleet& fleet) {
    fleet.freeze(3);
    std::string time = time_until_failure_known(fleet, 3);
    fleet.thaw(3);
    fleet.run_for(kSettlingTime);
    return time;
}

std::string measure_leave(VirtualFleet& fleet) {
    const MemberId member = 4 % fleet.count();
    fleet.end(member);
    std::string time = time_until_failure_known(fleet, member);
    restart(fleet, member);
    return time;
}

bool all_see(VirtualFleet& fleet, View wanted) {
    for (MemberId member = 0; member < fleet.count(); ++member) {
        if (fleet.view(member) != wanted) return false;
    }
    return true;
}

struct PartitionTimes {
    std::string until_seen;    // marked with ! if some member never saw it
    std::string until_healed;  // likewise
};

// Cuts a third of the members off for 20 s.
PartitionTimes measure_partition(VirtualFleet& fleet) {
    constexpr Millis kPartitionTime = 20 * kSecond;
    fleet.cut = [](MemberId from, MemberId to) { return (from % 3 == 0) != (to % 3 == 0); };
    Millis begin = fleet.now();
    const bool seen = fleet.until([&] { return all_see(fleet, View::part); }, kMinute);
    const Millis until_seen = fleet.now() - begin;
    fleet.run_for(std::max(0.0, kPartitionTime - until_seen));
    fleet.cut = [](MemberId, MemberId) { return false; };
    begin = fleet.now();
    const bool healed =
        fleet.until([&] { return all_see(fleet, View::whole) && fleet.agree(); }, 2 * kMinute, 200);
    const Millis until_healed = fleet.now() - begin;
    return {fmt::format("{:>6}{}", in_seconds(until_seen), seen ? "" : "!"),
            fmt::format("{:>7}{}", in_seconds(until_healed), healed ? "" : "!")};
}

void print_heading() {
    fmt::print(
        "a member a second while calm; then seconds until the others know (median / p99), until all see a "
        "split, "
        "and until all agree after it\n{:>8} {:>10} {:>8} {:>10}  {:<12} {:<12} {:<12} {:<12} {:>6} {:>7}\n",
        "members", "datagrams", "bytes", "CPU us", "killed", "silent", "frozen", "left", "split", "healed");
}

void measure_fleet(std::uint32_t members) {
    const auto began = std::chrono::steady_clock::now();
    VirtualFleet fleet(members, 7);
    const SteadyCost cost = measure_steady_cost(fleet, began);
    const std::string crash = measure_crash(fleet);
    const std::string silence = measure_silence(fleet);
    const std::string freeze = measure_freeze(fleet);
    const std::string leave = measure_leave(fleet);
    const PartitionTimes partition = measure_partition(fleet);
    fmt::print("{:>8} {:>10.2f} {:>8.0f} {:>10.0f}  {:<12} {:<12} {:<12} {:<12} {} {}\n", members,
               cost.datagrams, cost.bytes, cost.cpu_microseconds, crash, silence, freeze, leave,
               partition.until_seen, partition.until_healed);
    std::fflush(stdout);
}

// ---- False failures ---------------------------------------------------------------------------------------

void measure_false_failures(double loss, bool freezes) {
    constexpr std::uint32_t kMembers = 50;
    constexpr int kHours = 2;
    VirtualFleet fleet(kMembers, 11);
    fleet.net.loss = loss;
    fleet.start_all();
    fleet.run_for(10 * kSecond);
    elmbay::cluster::Random random(3);
    const Millis end = fleet.now() + kHours * 60 * kMinute;
    while (fleet.now() < end) {
        if (!freezes) {
            fleet.run_for(kMinute);
            continue;
        }
        const auto frozen = static_cast<MemberId>(random.below(kMembers));
        fleet.freeze(frozen);
        fleet.run_for(75 + 195 * random.uniform());
        fleet.thaw(frozen);
        fleet.run_for(100);
    }
    std::uint64_t suspicions = 0;
    for (MemberId member = 0; member < kMembers; ++member) suspicions += fleet[member].counters().suspicions;
    const int member_hours = kHours * static_cast<int>(kMembers);
    fmt::print(
        "{} members, {:.0f}% loss{}: {:.1f} suspicions a member-hour, {} false failures in {} member-hours\n",
        kMembers, 100 * loss, freezes ? ", freezes of 75 to 270 ms" : "",
        static_cast<double>(suspicions) / member_hours, fleet.false_failures, member_hours);
    std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
    std::vector<std::uint32_t> sizes;
    for (int i = 1; i < argc; ++i) sizes.push_back(static_cast<std::uint32_t>(std::atoi(argv[i])));
    if (sizes.empty()) sizes = {5, 10, 50, 100, 300};
    print_heading();
    for (const std::uint32_t members : sizes) measure_fleet(members);
    if (argc > 1) return 0;
    for (const double loss : {0.0, 0.1, 0.3}) measure_false_failures(loss, false);
    measure_false_failures(0, true);
}
