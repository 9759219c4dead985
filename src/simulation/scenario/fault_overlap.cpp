#include "simulation/scenario/fault_overlap.hpp"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace elmbay::simulation {

namespace {

using schema::Problems;

/// Time span in which a fault is active on one process.
struct ActiveSpan {
    Millis start = 0;
    Millis end = 0;
    const FaultSpec* fault = nullptr;
};

/// Faults of one exclusion group must not overlap on one process. Faults on a server that do not end its
/// process form one group for each kind.
struct ExclusionGroup {
    enum class Type { ends_process, sidecar, same_kind } type = Type::same_kind;
    std::string kind_name;  ///< Set for type same_kind only.

    bool operator<(const ExclusionGroup& other) const {
        return std::tie(type, kind_name) < std::tie(other.type, other.kind_name);
    }
};

ExclusionGroup exclusion_group_of(const FaultSpec& fault) {
    if (ends_server_process(fault.kind)) return {ExclusionGroup::Type::ends_process, ""};
    if (targets_sidecars(fault.kind)) return {ExclusionGroup::Type::sidecar, ""};
    return {ExclusionGroup::Type::same_kind, fault.kind_name};
}

Millis end_of(const FaultSpec& fault, std::size_t nth_target, const Scenario& scenario) {
    if (fault.duration <= 0) return std::max(scenario.overview.duration, fault.start);
    const Millis end = fault.start_of(nth_target) + fault.duration;
    return fault.kind == FaultKind::drain ? end + fault.linger : end;
}

bool overlap(const ActiveSpan& a, const ActiveSpan& b, ExclusionGroup::Type type) {
    // Adjacent spans of a sidecar count as overlapping, because the order of the restoration and the next
    // fault would be arbitrary.
    if (type == ExclusionGroup::Type::sidecar) return a.start <= b.end && b.start <= a.end;
    return a.start < b.end && b.start < a.end;
}

std::string server_name(std::uint32_t server) { return "s-" + std::to_string(server); }

std::string conflict_text(const FaultSpec& fault, ExclusionGroup::Type type, std::uint32_t process) {
    if (type == ExclusionGroup::Type::ends_process) return server_name(process) + " can't end twice";
    if (type == ExclusionGroup::Type::sidecar)
        return "n-" + std::to_string(process) + " has two faults at once";
    return "two faults of kind '" + fault.kind_name + "' overlap on " +
           (has_no_targets(fault.kind) ? "the same target" : server_name(process));
}

std::string span_text(const ActiveSpan& span) {
    return "the fault in line " + std::to_string(span.fault->line) + " is active from " +
           std::to_string(static_cast<long>(span.start)) + "ms to " +
           std::to_string(static_cast<long>(span.end)) + "ms";
}

/// Compares each fault with the faults before it in the file.
class OverlapValidator {
public:
    OverlapValidator(const Scenario& scenario, Problems& problems)
        : scenario_(scenario), problems_(problems) {}

    void validate() {
        for (const FaultSpec& fault : scenario_.faults) add_joins(fault);
        for (const FaultSpec& fault : scenario_.faults) {
            // Faults on links may overlap.
            if (fault.kind == FaultKind::join || affects_links(fault.kind)) continue;
            if (fault.target_ids.empty()) add(fault, 0, 0);
            for (std::size_t nth = 0; nth < fault.target_ids.size(); ++nth) {
                add(fault, nth, fault.target_ids[nth]);
            }
        }
    }

private:
    void add_joins(const FaultSpec& fault) {
        if (fault.kind != FaultKind::join) return;
        for (const std::uint32_t server : fault.target_ids) {
            if (!joins_.emplace(server, &fault).second) {
                problems_.push_back({fault.line, "fault.who", server_name(server) + " joins twice"});
            }
        }
    }

    void add(const FaultSpec& fault, std::size_t nth_target, std::uint32_t process) {
        const ExclusionGroup group = exclusion_group_of(fault);
        const ActiveSpan span{fault.start_of(nth_target), end_of(fault, nth_target, scenario_), &fault};
        if (ends_server_process(fault.kind)) check_has_joined(span, process);
        std::vector<ActiveSpan>& spans = spans_[{process, group}];
        for (const ActiveSpan& other : spans) {
            if (!overlap(span, other, group.type)) continue;
            problems_.push_back({fault.line, "fault.at",
                                 conflict_text(fault, group.type, process) + ": " + span_text(other)});
        }
        spans.push_back(span);
    }

    void check_has_joined(const ActiveSpan& span, std::uint32_t server) {
        const auto join = joins_.find(server);
        if (join == joins_.end() || join->second->start_of(0) < span.start) return;
        problems_.push_back({span.fault->line, "fault.at", server_name(server) + " has not joined by then"});
    }

    const Scenario& scenario_;
    Problems& problems_;
    std::map<std::uint32_t, const FaultSpec*> joins_;
    std::map<std::pair<std::uint32_t, ExclusionGroup>, std::vector<ActiveSpan>> spans_;
};

}  // namespace

void validate_fault_overlaps(const Scenario& scenario, Problems& problems) {
    OverlapValidator(scenario, problems).validate();
}

}  // namespace elmbay::simulation
