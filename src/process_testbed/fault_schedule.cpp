#include "process_testbed/fault_schedule.hpp"

#include <algorithm>
#include <sstream>

#include "base/random.hpp"

namespace elmbay::process_testbed {

namespace {

using Kind = FaultStepKind;

// Names of the steps in text, in the order of FaultStepKind.
constexpr std::array<const char*, 14> kFaultStepNames{"ask",   "cut",     "split",   "heal", "reset",
                                                      "break", "freeze",  "thaw",    "kill", "starve",
                                                      "drain", "restore", "conduct", "wait"};

// Behaviors that set_behavior selects by number.
constexpr std::array<ServerBehavior, 4> kBehaviors{ServerBehavior::serve, ServerBehavior::fail,
                                                   ServerBehavior::reject, ServerBehavior::no_response};

// Milliseconds. Two such waits in a row exceed the drain grace period.
constexpr std::uint64_t kMaxWait = 400;
// Milliseconds. Most waits are short, because isolated events rarely reveal a fault.
constexpr std::uint64_t kMaxShortWait = 40;
// Approximate length in bytes of a response's head and body.
constexpr std::uint64_t kApproximateResponseBytes = 90;
constexpr std::uint64_t kMaxRequestsPerStep = 6;
constexpr std::uint64_t kMinCpuPercent = 10;
constexpr std::uint64_t kMaxCpuPercent = 99;

// Kinds that are listed twice are drawn twice as often.
constexpr std::array kFaults{
    Kind::cut_link,        Kind::cut_link, Kind::partition, Kind::heal_links,  Kind::reset_connections,
    Kind::break_responses, Kind::freeze,   Kind::thaw,      Kind::thaw,        Kind::kill,
    Kind::limit_cpu,       Kind::drain,    Kind::restore,   Kind::set_behavior};

// Of ten steps, four send requests, three wait and three inject faults.
constexpr std::size_t kTenths = 10;
constexpr std::size_t kTenthsOfRequests = 4;
constexpr std::size_t kTenthsOfRequestsAndWaits = 7;

Kind draw_kind(balancer::Random& random) {
    const std::size_t tenth = random.below(kTenths);
    if (tenth < kTenthsOfRequests) return Kind::send_requests;
    if (tenth < kTenthsOfRequestsAndWaits) return Kind::wait;
    return kFaults[random.below(kFaults.size())];
}

// Draws a sidecar and a server for every kind, whether the kind uses them or not, so that known seeds keep
// their schedules.
FaultStep draw_step(balancer::Random& random, std::size_t sidecars, std::size_t servers) {
    const Kind kind = draw_kind(random);
    std::uint64_t first = random.below(sidecars);
    std::uint64_t second = random.below(servers);
    std::uint64_t third = 0;
    switch (kind) {
        case Kind::send_requests:
            second = random.below(kRequestClasses.size());
            third = 1 + random.below(kMaxRequestsPerStep);
            break;
        case Kind::wait:
            third = 1 + random.below(random.below(3) == 0 ? kMaxWait : kMaxShortWait);
            break;
        case Kind::cut_link:
            second = random.below(servers + 1);
            third = random.below(3);
            break;
        case Kind::partition:
            first = 1 + random.below(sidecars - 1);
            break;
        case Kind::break_responses:
            third = random.below(kApproximateResponseBytes);
            break;
        case Kind::limit_cpu:
            third = kMinCpuPercent + random.below(kMaxCpuPercent - kMinCpuPercent + 1);
            break;
        case Kind::set_behavior:
            third = random.below(kBehaviors.size());
            break;
        default:
            break;
    }
    return {kind, first, second, third};
}

}  // namespace

CutDirection FaultStep::cut_direction() const {
    switch (numbers_[2]) {
        case 1:
            return CutDirection::from_sidecar;
        case 2:
            return CutDirection::to_sidecar;
        default:
            return CutDirection::both;
    }
}

ServerBehavior FaultStep::behavior() const { return kBehaviors[numbers_[2] % kBehaviors.size()]; }

Schedule draw_schedule(std::uint64_t seed, std::size_t sidecars, std::size_t servers, std::size_t steps) {
    balancer::Random random(seed);
    Schedule schedule;
    while (schedule.size() < steps) schedule.push_back(draw_step(random, sidecars, servers));
    return schedule;
}

std::string text_of(const Schedule& schedule) {
    std::ostringstream text;
    for (const FaultStep& step : schedule) {
        text << kFaultStepNames[static_cast<std::size_t>(step.kind())];
        for (const std::uint64_t number : step.numbers()) text << " " << number;
        text << "\n";
    }
    return text.str();
}

Schedule parse_schedule(const std::string& text) {
    Schedule schedule;
    std::istringstream lines(text);
    std::size_t line_number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++line_number;
        if (line.empty() || line[0] == '#') continue;
        std::istringstream words(line);
        std::string name;
        std::array<std::uint64_t, 3> numbers{};
        words >> name >> numbers[0] >> numbers[1] >> numbers[2];
        const auto* const found = std::find(kFaultStepNames.begin(), kFaultStepNames.end(), name);
        if (!words || found == kFaultStepNames.end()) throw ScheduleSyntaxError(line_number, line);
        const auto kind = static_cast<Kind>(found - kFaultStepNames.begin());
        schedule.emplace_back(kind, numbers[0], numbers[1], numbers[2]);
    }
    return schedule;
}

}  // namespace elmbay::process_testbed
