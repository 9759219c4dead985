#include "simulation/scenario/random_fault_schedule.hpp"

#include <fmt/format.h>

#include "process_testbed/shrink.hpp"
#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

// What happens to sidecars and between them is what this is for: half of the draws.
constexpr const char* kOfServers[] = {"die",    "vanish", "freeze", "fail-fast", "neighbour",
                                      "hollow", "drain",  "load",   "list-late"};
constexpr const char* kOfSidecars[] = {"split",          "one-way", "lossy",  "late-messages",
                                       "sidecar-kill",   "pause",   "starve", "sidecar-restart",
                                       "other-settings", "pause",   "split",  "sidecar-kill"};
constexpr int kTries = 8;  // at a fault that does not clash with those before it

std::string name(const char* prefix, Random& random, std::uint64_t count) {
    return fmt::format("{}{}", prefix, random.below(count));
}
std::string any_end(Random& random, const RandomFaultOptions& o) {
    return random.below(3) == 0 ? name("s-", random, o.servers) : name("n-", random, o.sidecars);
}
// Whole tenths of a second read well, and are the same on every machine.
std::string span(Random& random, std::uint64_t least, std::uint64_t most) {
    return fmt::format("\"{}ms\"", 100 * (least + random.below(most - least + 1)));
}

std::string draw_fault(Random& random, const RandomFaultOptions& o) {
    const bool of_sidecars = random.below(2) == 0;
    const std::string kind = of_sidecars ? kOfSidecars[random.below(std::size(kOfSidecars))]
                                         : kOfServers[random.below(std::size(kOfServers))];
    const auto tenths = static_cast<std::uint64_t>(o.duration / 100);
    std::string t = fmt::format("[[fault]]\nkind = \"{}\"\nat = {}\n", kind, span(random, 5, tenths - 30));
    if (kind != "sidecar-restart") t += fmt::format("lasts = {}\n", span(random, 2, 40));
    if (kind == "split") {
        std::string halves[2] = {"", "list"};
        for (std::uint64_t i = 0; i < o.sidecars; ++i) halves[random.below(2)] += fmt::format(" n-{}", i);
        for (std::uint64_t i = 0; i < o.servers; ++i) halves[random.below(2)] += fmt::format(" s-{}", i);
        t += fmt::format("groups = [\"{}\", \"{}\"]\n", halves[0], halves[1]);
    } else if (kind == "one-way" || kind == "lossy" || kind == "late-messages") {
        t += fmt::format("from = [\"{}\"]\nto = [\"{}\"]\n", any_end(random, o), any_end(random, o));
    } else if (kind != "load" && kind != "list-late") {
        t += fmt::format("who = \"{}\"\n",
                         of_sidecars ? name("n-", random, o.sidecars) : name("s-", random, o.servers));
    }
    if (kind == "starve" || kind == "fail-fast" || kind == "neighbour" || kind == "lossy")
        t += fmt::format("share = {:.1f}\n", 0.1 * static_cast<double>(1 + random.below(9)));
    if (kind == "load") t += fmt::format("times = {}\n", 2 + random.below(4));
    if (kind == "other-settings") t += fmt::format("set = [\"siblings={}\"]\n", 1 + random.below(8));
    if (kind == "late-messages" || kind == "list-late") t += fmt::format("delay = {}\n", span(random, 1, 20));
    return t;
}

bool sound(const std::string& text) {
    try {
        parse_scenario(text, "storm");
        return true;
    } catch (const ScenarioError&) {
        return false;
    }
}

}  // namespace

std::string RandomFaultSchedule::text() const {
    std::string t = head;
    for (const std::string& fault : faults) t += "\n" + fault;
    return t;
}

RandomFaultSchedule draw_random_faults(std::uint64_t seed, const RandomFaultOptions& o) {
    Random random = stream(seed, Purpose::schedule);
    RandomFaultSchedule schedule;
    // They know each other, so that faults on messages meet some.
    schedule.head = fmt::format(
        "about = \"storm {0}\"\nseed = {0}\nlength = \"{1}ms\"\n[fleet]\nservers = {2}\n[sidecars]\n"
        "count = {3}\ncluster = true\n[callers]\nrate = {4}\n",
        seed, o.duration, o.servers, o.sidecars, o.request_rate);
    while (schedule.faults.size() < o.faults) {
        bool found = false;
        for (int i = 0; i < kTries && !found; ++i) {
            schedule.faults.push_back(draw_fault(random, o));
            found = sound(schedule.text());
            if (!found) schedule.faults.pop_back();
        }
        if (!found) break;  // as full as it gets
    }
    return schedule;
}

RandomFaultSchedule shrunk(RandomFaultSchedule schedule,
                           const std::function<bool(const RandomFaultSchedule&)>& fails) {
    schedule.faults = process_testbed::shrink(schedule.faults, [&](const std::vector<std::string>& faults) {
        return fails({schedule.head, faults});
    });
    return schedule;
}

}  // namespace elmbay::simulation
