#include "simulation/scenario/random_fault_schedule.hpp"

#include <fmt/format.h>

#include <array>

#include "process_testbed/shrink.hpp"
#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

/// Kinds of faults on servers, the endpoint list and the load. They are chosen in half of the draws.
constexpr auto kServerFaults = std::to_array<const char*>(
    {"die", "vanish", "freeze", "fail-fast", "neighbour", "hollow", "drain", "load", "list-late"});
/// Kinds of faults on sidecars and between them. They are chosen in the other half of the draws. Kinds that
/// are listed twice are drawn twice as often.
constexpr auto kSidecarFaults = std::to_array<const char*>(
    {"split", "one-way", "lossy", "late-messages", "sidecar-kill", "pause", "starve", "sidecar-restart",
     "other-settings", "pause", "split", "sidecar-kill"});
/// Maximum draws of one fault until one does not contradict the faults before it.
constexpr int kMaxDraws = 8;
/// File name for problem messages.
constexpr const char* kFileName = "storm";

/// Draws one `[[fault]]` section. The order of the draws must not change, because it determines the schedule
/// of a seed.
class FaultWriter {
public:
    FaultWriter(Random& random, const RandomFaultOptions& options) : random_(random), options_(options) {}

    std::string write() {
        targets_sidecars_ = random_.below(2) == 0;
        kind_ = targets_sidecars_ ? kSidecarFaults[random_.below(std::size(kSidecarFaults))]
                                  : kServerFaults[random_.below(std::size(kServerFaults))];
        write_time();
        write_targets();
        write_parameters();
        return text_;
    }

private:
    bool is_kind(const char* kind) const { return kind_ == kind; }

    /// Draws a multiple of 100 ms: such values are short when printed and the same on every machine.
    std::string draw_duration(std::uint64_t min_tenths, std::uint64_t max_tenths) {
        return fmt::format("\"{}ms\"", 100 * (min_tenths + random_.below(max_tenths - min_tenths + 1)));
    }
    std::string draw_name(const char* prefix, std::uint64_t count) {
        return fmt::format("{}{}", prefix, random_.below(count));
    }
    std::string draw_link_end() {
        return random_.below(3) == 0 ? draw_name("s-", options_.servers) : draw_name("n-", options_.sidecars);
    }

    void write_time() {
        const auto scenario_tenths = static_cast<std::uint64_t>(options_.duration / 100);
        text_ +=
            fmt::format("[[fault]]\nkind = \"{}\"\nat = {}\n", kind_, draw_duration(5, scenario_tenths - 30));
        if (!is_kind("sidecar-restart")) text_ += fmt::format("lasts = {}\n", draw_duration(2, 40));
    }

    void write_targets() {
        if (is_kind("split")) {
            write_partition();
        } else if (is_kind("one-way") || is_kind("lossy") || is_kind("late-messages")) {
            // Receivers are drawn before senders. This order must not change, because it determines the
            // schedule of a seed.
            const std::string to = draw_link_end();
            const std::string from = draw_link_end();
            text_ += fmt::format("from = [\"{}\"]\nto = [\"{}\"]\n", from, to);
        } else if (!is_kind("load") && !is_kind("list-late")) {
            text_ += fmt::format("who = \"{}\"\n", targets_sidecars_ ? draw_name("n-", options_.sidecars)
                                                                     : draw_name("s-", options_.servers));
        }
    }

    void write_partition() {
        std::array<std::string, 2> groups{"", "list"};
        for (std::uint64_t i = 0; i < options_.sidecars; ++i) {
            groups[random_.below(2)] += fmt::format(" n-{}", i);
        }
        for (std::uint64_t i = 0; i < options_.servers; ++i) {
            groups[random_.below(2)] += fmt::format(" s-{}", i);
        }
        text_ += fmt::format("groups = [\"{}\", \"{}\"]\n", groups[0], groups[1]);
    }

    void write_parameters() {
        if (is_kind("starve") || is_kind("fail-fast") || is_kind("neighbour") || is_kind("lossy")) {
            text_ += fmt::format("share = {:.1f}\n", 0.1 * static_cast<double>(1 + random_.below(9)));
        }
        if (is_kind("load")) text_ += fmt::format("times = {}\n", 2 + random_.below(4));
        if (is_kind("other-settings"))
            text_ += fmt::format("set = [\"siblings={}\"]\n", 1 + random_.below(8));
        if (is_kind("late-messages") || is_kind("list-late")) {
            text_ += fmt::format("delay = {}\n", draw_duration(1, 20));
        }
    }

    Random& random_;
    const RandomFaultOptions& options_;
    bool targets_sidecars_ = false;
    std::string kind_;
    std::string text_;
};

bool is_valid(const std::string& text) {
    try {
        parse_scenario(text, kFileName);
        return true;
    } catch (const ScenarioError&) {
        return false;
    }
}

/// Appends a fault that does not contradict those in the schedule. Returns false if none was found.
bool append_fault(Random& random, const RandomFaultOptions& options, RandomFaultSchedule& schedule) {
    for (int i = 0; i < kMaxDraws; ++i) {
        schedule.faults.push_back(FaultWriter(random, options).write());
        if (is_valid(schedule.text())) return true;
        schedule.faults.pop_back();
    }
    return false;
}

}  // namespace

std::string RandomFaultSchedule::text() const {
    std::string text = settings_text;
    for (const std::string& fault : faults) text += "\n" + fault;
    return text;
}

RandomFaultSchedule draw_random_faults(std::uint64_t seed, const RandomFaultOptions& options) {
    Random random = random_stream(seed, StreamPurpose::fault_schedule);
    RandomFaultSchedule schedule;
    // Membership is enabled, so that the sidecars exchange messages that the faults can affect.
    schedule.settings_text = fmt::format(
        "about = \"storm {0}\"\nseed = {0}\nlength = \"{1}ms\"\n[fleet]\nservers = {2}\n[sidecars]\n"
        "count = {3}\ncluster = true\n[callers]\nrate = {4}\n",
        seed, options.duration, options.servers, options.sidecars, options.request_rate);
    while (schedule.faults.size() < options.faults) {
        if (!append_fault(random, options, schedule)) break;
    }
    return schedule;
}

RandomFaultSchedule shrink_schedule(RandomFaultSchedule schedule,
                                    const std::function<bool(const RandomFaultSchedule&)>& fails) {
    schedule.faults = process_testbed::shrink(schedule.faults, [&](const std::vector<std::string>& faults) {
        return fails({schedule.settings_text, faults});
    });
    return schedule;
}

}  // namespace elmbay::simulation
