// Measures the cost and the detection times of membership, in virtual time: datagrams and bytes per member
// and second while nothing changes; the time until all other members detect a crash, a silent host, a stalled
// process and a leave; the time until all detect a partition and its end; false failures under loss and
// stalls. The network has the delays of the platform: 1.5 to 14 ms one way.
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
constexpr Millis kSettlingTime = 20 * kSecond;  // milliseconds between two measurements

std::string in_seconds(Millis span) { return fmt::format("{:.1f}", span / kSecond); }

// Returns the time until the other members set `failed` to failed, terminated or left: median / p99.
std::string measure_detection_time(VirtualFleet& fleet, MemberId failed) {
    const Millis measured_from = fleet.now();
    std::vector<Millis> times;
    fleet.on_member_changed = [&](MemberId, const MemberChange& change) {
        const bool is_detected = change.member_id == failed && change.after >= MemberState::failed;
        if (is_detected) times.push_back(fleet.now() - measured_from);
    };
    const bool detected_by_all = fleet.run_until([&] { return times.size() + 1 >= fleet.count(); }, kMinute);
    fleet.on_member_changed = [](MemberId, const MemberChange&) {};
    if (times.empty()) return "never";
    std::sort(times.begin(), times.end());
    const Millis median = times[times.size() / 2];
    const Millis p99 = times[times.size() * 99 / 100];
    return fmt::format("{} / {}{}", in_seconds(median), in_seconds(p99), detected_by_all ? "" : " NOT ALL");
}

// ---- Cost and detection times per fleet size --------------------------------------------------------------

struct SteadyCost {
    double datagrams = 0;         // per member and second
    double bytes = 0;             // per member and second
    double cpu_microseconds = 0;  // per member and virtual second, including the start
};

// Starts all members, and measures one minute without changes.
SteadyCost measure_steady_cost(VirtualFleet& fleet, std::chrono::steady_clock::time_point started_at) {
    constexpr Millis kStartTime = 15 * kSecond;
    const double members = fleet.count();
    fleet.start_all();
    fleet.run_for(kStartTime);
    const auto before = fleet.delivered;
    fleet.run_for(kMinute);
    const auto after = fleet.delivered;
    const std::chrono::duration<double> cpu = std::chrono::steady_clock::now() - started_at;
    const double member_seconds = kMinute / kSecond * members;
    const double total_member_seconds = (kStartTime + kMinute) / kSecond * members;
    return {static_cast<double>(after.datagrams - before.datagrams) / member_seconds,
            static_cast<double>(after.bytes - before.bytes) / member_seconds,
            1e6 * cpu.count() / total_member_seconds};
}

void restart(VirtualFleet& fleet, MemberId member) {
    fleet.start(member);
    fleet.run_for(kSettlingTime);
}

// A process crashes, and its host reports the closed port.
std::string measure_crash(VirtualFleet& fleet) {
    fleet.kill(1);
    std::string time = measure_detection_time(fleet, 1);
    restart(fleet, 1);
    return time;
}

// A process crashes, and its host does not report the closed port.
std::string measure_silence(VirtualFleet& fleet) {
    fleet.hosts_report_closed_ports = false;
    fleet.kill(2);
    std::string time = measure_detection_time(fleet, 2);
    restart(fleet, 2);
    fleet.hosts_report_closed_ports = true;
    return time;
}

std::string measure_stall(VirtualFleet& fleet) {
    fleet.stall(3);
    std::string time = measure_detection_time(fleet, 3);
    fleet.resume(3);
    fleet.run_for(kSettlingTime);
    return time;
}

std::string measure_leave(VirtualFleet& fleet) {
    const MemberId member = 4 % fleet.count();
    fleet.leave(member);
    std::string time = measure_detection_time(fleet, member);
    restart(fleet, member);
    return time;
}

bool all_have_view(VirtualFleet& fleet, View view) {
    for (MemberId member = 0; member < fleet.count(); ++member) {
        if (fleet.view(member) != view) return false;
    }
    return true;
}

struct PartitionTimes {
    std::string until_detected;  // seconds until all members detect the partition; with ! if one never did
    std::string until_healed;    // seconds until all tables agree again; with ! if they never did
};

// Separates a third of the members from the others for 20 s.
PartitionTimes measure_partition(VirtualFleet& fleet) {
    constexpr Millis kPartitionTime = 20 * kSecond;
    fleet.is_link_cut = [](MemberId from, MemberId to) { return (from % 3 == 0) != (to % 3 == 0); };
    Millis measured_from = fleet.now();
    const bool detected = fleet.run_until([&] { return all_have_view(fleet, View::partial); }, kMinute);
    const Millis until_detected = fleet.now() - measured_from;
    fleet.run_for(std::max(0.0, kPartitionTime - until_detected));
    fleet.is_link_cut = [](MemberId, MemberId) { return false; };
    measured_from = fleet.now();
    const bool healed = fleet.run_until(
        [&] { return all_have_view(fleet, View::complete) && fleet.digests_agree(); }, 2 * kMinute, 200);
    const Millis until_healed = fleet.now() - measured_from;
    return {fmt::format("{:>6}{}", in_seconds(until_detected), detected ? "" : "!"),
            fmt::format("{:>7}{}", in_seconds(until_healed), healed ? "" : "!")};
}

void print_heading() {
    fmt::print(
        "cost per member and second without changes; seconds until the others detect an end (median / p99), "
        "until all detect a partition, and until all tables agree after it\n"
        "{:>8} {:>10} {:>8} {:>10}  {:<12} {:<12} {:<12} {:<12} {:>6} {:>7}\n",
        "members", "datagrams", "bytes", "CPU us", "crash", "silent", "stall", "leave", "split", "healed");
}

void measure_fleet(std::uint32_t members) {
    const auto started_at = std::chrono::steady_clock::now();
    VirtualFleet fleet(members, 7);
    const SteadyCost cost = measure_steady_cost(fleet, started_at);
    const std::string crash = measure_crash(fleet);
    const std::string silence = measure_silence(fleet);
    const std::string stall = measure_stall(fleet);
    const std::string leave = measure_leave(fleet);
    const PartitionTimes partition = measure_partition(fleet);
    fmt::print("{:>8} {:>10.2f} {:>8.0f} {:>10.0f}  {:<12} {:<12} {:<12} {:<12} {} {}\n", members,
               cost.datagrams, cost.bytes, cost.cpu_microseconds, crash, silence, stall, leave,
               partition.until_detected, partition.until_healed);
    std::fflush(stdout);
}

// ---- False failures ---------------------------------------------------------------------------------------

void measure_false_failures(double loss, bool with_stalls) {
    constexpr std::uint32_t kMembers = 50;
    constexpr int kHours = 2;
    VirtualFleet fleet(kMembers, 11);
    fleet.net.loss = loss;
    fleet.start_all();
    fleet.run_for(10 * kSecond);
    elmbay::cluster::Random random(3);
    const Millis end = fleet.now() + kHours * 60 * kMinute;
    while (fleet.now() < end) {
        if (!with_stalls) {
            fleet.run_for(kMinute);
            continue;
        }
        const auto stalled = static_cast<MemberId>(random.below(kMembers));
        fleet.stall(stalled);
        fleet.run_for(75 + 195 * random.uniform());
        fleet.resume(stalled);
        fleet.run_for(100);
    }
    std::uint64_t suspicions = 0;
    for (MemberId member = 0; member < kMembers; ++member) suspicions += fleet[member].counters().suspicions;
    const int member_hours = kHours * static_cast<int>(kMembers);
    fmt::print(
        "{} members, {:.0f}% loss{}: {:.1f} suspicions per member-hour, {} false failures in {} "
        "member-hours\n",
        kMembers, 100 * loss, with_stalls ? ", stalls of 75 to 270 ms" : "",
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
