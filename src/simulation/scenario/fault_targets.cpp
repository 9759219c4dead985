#include "simulation/scenario/fault_targets.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <set>
#include <sstream>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

using schema::Problems;

constexpr const char* kServerPrefix = "s-";
constexpr const char* kSidecarPrefix = "n-";
/// Tolerance that prevents a share such as 25% of 12 from being rounded up to 4 due to floating-point error.
constexpr double kRoundingError = 1e-9;

/// Returns the number in a name such as "s-3", or nothing if the name is not that of one of `count` processes
/// with the prefix.
std::optional<std::uint32_t> process_number(const std::string& name, const std::string& prefix,
                                            std::uint64_t count) {
    if (!name.starts_with(prefix)) return {};
    std::uint32_t number = 0;
    const char* const last = name.data() + name.size();
    const auto [end, error] = std::from_chars(name.data() + prefix.size(), last, number);
    if (error != std::errc() || end != last || number >= count) return {};
    return number;
}

std::optional<std::uint32_t> zone_named(const std::string& name, const Scenario& scenario) {
    const auto& zones = scenario.fleet.zones;
    const auto zone = std::find(zones.begin(), zones.end(), name);
    if (zone == zones.end()) return {};
    return static_cast<std::uint32_t>(zone - zones.begin());
}

void append_members(std::uint32_t zone, const Scenario& scenario, std::vector<std::string>& ends) {
    const auto zones = static_cast<std::uint32_t>(scenario.fleet.zones.size());
    for (std::uint32_t i = zone; i < scenario.fleet.servers; i += zones) {
        ends.push_back(kServerPrefix + std::to_string(i));
    }
    for (std::uint32_t i = zone; i < scenario.sidecars.count; i += zones) {
        ends.push_back(kSidecarPrefix + std::to_string(i));
    }
}

bool is_link_end(const std::string& name, const Scenario& scenario) {
    return name == "list" || name == "*" || process_number(name, kServerPrefix, scenario.fleet.servers) ||
           process_number(name, kSidecarPrefix, scenario.sidecars.count);
}

/// Returns the link ends that `names` denote. Each string contains one or more names, separated by spaces.
std::vector<std::string> link_ends(const std::vector<std::string>& names, const Scenario& scenario,
                                   const std::string& key, std::uint32_t line, Problems& problems) {
    std::vector<std::string> ends;
    for (const std::string& text : names) {
        std::istringstream words(text);
        for (std::string name; words >> name;) {
            if (const auto zone = zone_named(name, scenario)) {
                append_members(*zone, scenario, ends);
            } else if (is_link_end(name, scenario)) {
                ends.push_back(name);
            } else {
                problems.push_back(
                    {line, key, "'" + name + "' is not a sidecar, a server, a hall or 'list'"});
            }
        }
    }
    return ends;
}

std::string join_words(const std::vector<std::string>& words) {
    std::string text;
    for (const std::string& word : words) {
        if (!text.empty()) text += " ";
        text += word;
    }
    return text;
}

/// Draws ceil(share * count) different processes with the first steps of a Fisher-Yates shuffle.
std::vector<std::uint32_t> draw_share(double share, std::uint32_t count, Random random) {
    std::vector<std::uint32_t> processes(count);
    std::iota(processes.begin(), processes.end(), 0U);
    const auto drawn = static_cast<std::size_t>(std::ceil(share * count - kRoundingError));
    for (std::size_t i = 0; i < drawn; ++i) {
        std::swap(processes[i], processes[i + random.below(processes.size() - i)]);
    }
    processes.resize(drawn);
    return processes;
}

/// Resolves the entries of the key `who` of one fault.
class TargetResolver {
public:
    TargetResolver(const FaultSpec& fault, std::size_t index, const Scenario& scenario)
        : scenario_(scenario),
          index_(index),
          prefix_(targets_sidecars(fault.kind) ? kSidecarPrefix : kServerPrefix),
          count_(static_cast<std::uint32_t>(targets_sidecars(fault.kind) ? scenario.sidecars.count
                                                                         : scenario.fleet.servers)) {}

    /// Adds the processes that `entry` denotes. Returns false if it denotes none.
    bool add(const std::string& entry) {
        const double share = entry.ends_with('%') ? schema::parse_share(entry).value_or(0) : 0;
        if (const auto number = process_number(entry, prefix_, count_)) {
            targets_.insert(*number);
        } else if (entry == "all") {
            for (std::uint32_t i = 0; i < count_; ++i) targets_.insert(i);
        } else if (share > 0 && share <= 1) {
            const Random random =
                random_stream(scenario_.overview.seed, StreamPurpose::target_selection, index_);
            for (const std::uint32_t process : draw_share(share, count_, random)) targets_.insert(process);
        } else if (zone_named(entry, scenario_)) {
            add_zone(entry);
        } else {
            return false;
        }
        return true;
    }
    std::string range() const {
        return std::string(prefix_) + "0 to " + prefix_ + std::to_string(count_ - 1);
    }
    std::vector<std::uint32_t> targets() const { return {targets_.begin(), targets_.end()}; }

private:
    // Compares zones by name, because two zones of a file may have the same name.
    void add_zone(const std::string& name) {
        for (std::uint32_t i = 0; i < count_; ++i) {
            if (scenario_.fleet.zones[scenario_.zone_of(i)] == name) targets_.insert(i);
        }
    }

    const Scenario& scenario_;
    const std::size_t index_;
    const char* const prefix_;
    const std::uint32_t count_;
    std::set<std::uint32_t> targets_;
};

}  // namespace

std::string fault_key(std::size_t index, const std::string& key) {
    return "fault " + std::to_string(index + 1) + (key.empty() ? "" : "." + key);
}

void resolve_link_ends(FaultSpec& fault, std::size_t index, const Scenario& scenario, Problems& problems) {
    for (std::string& group : fault.groups) {
        group = join_words(link_ends({group}, scenario, fault_key(index, "groups"), fault.line, problems));
    }
    fault.from = link_ends(fault.from, scenario, fault_key(index, "from"), fault.line, problems);
    fault.to = link_ends(fault.to, scenario, fault_key(index, "to"), fault.line, problems);
    if (fault.kind == FaultKind::partition && fault.groups.size() < 2) {
        problems.push_back({fault.line, fault_key(index, "groups"), "must have at least two groups"});
    }
    if (affects_messages(fault.kind)) {
        if (fault.from.empty()) fault.from = {"*"};
        if (fault.to.empty()) fault.to = {"*"};
    }
    if (fault.kind == FaultKind::one_way_partition && (fault.from.empty() || fault.to.empty())) {
        problems.push_back({fault.line, fault_key(index), "must have both from and to"});
    }
}

void resolve_targets(FaultSpec& fault, std::size_t index, const Scenario& scenario, Problems& problems) {
    if (has_no_targets(fault.kind)) return;
    TargetResolver resolver(fault, index, scenario);
    for (const std::string& entry : fault.targets) {
        if (resolver.add(entry)) continue;
        problems.push_back({fault.line, fault_key(index, "who"),
                            "'" + entry + "' does not match any process; accepted: " + resolver.range() +
                                R"(, a share such as "25%", "all", and the halls)"});
    }
    fault.target_ids = resolver.targets();
}

}  // namespace elmbay::simulation
