#include "simulation/scenario/scenario_validation.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>

#include "simulation/scenario/fault_overlap.hpp"
#include "simulation/scenario/fault_targets.hpp"
#include "simulation/scenario/scenario_limits.hpp"
#include "simulation/scenario/scenario_schema.hpp"
#include "simulation/scenario/setting_override.hpp"

namespace elmbay::simulation {

namespace {

using schema::Problems;

/// Duration of faults on sidecars that end by themselves, if the file does not specify one.
constexpr Millis kDefaultSidecarFaultDuration = 1000;

/// The operators' own request classes, so that even an empty file is a usable scenario.
std::vector<ClassSpec> default_classes() {
    ClassSpec listen{"listen", 0.52, "safe", 95};
    ClassSpec deposit{"deposit", 0.34, "unsafe", 60};
    deposit.latency_objective = 300;
    deposit.client_deadline = 1200;
    deposit.priority_weight = 5;
    ClassSpec annotate{"annotate", 0.14, "keyed", 110};
    annotate.latency_objective = 500;
    return {listen, deposit, annotate};
}

std::set<std::string> class_names(const Scenario& scenario) {
    std::set<std::string> names;
    for (const ClassSpec& spec : scenario.classes) names.insert(spec.name);
    return names;
}

void validate_classes(const Scenario& scenario, Problems& problems) {
    std::set<std::string> names;
    double shares = 0;
    for (const ClassSpec& spec : scenario.classes) {
        const std::string key = "class." + spec.name;
        if (!names.insert(spec.name).second) problems.push_back({0, key, "is defined twice"});
        if (spec.client_deadline < spec.latency_objective) {
            problems.push_back({0, key + ".give_up", "is shorter than aim"});
        }
        shares += spec.share;
    }
    if (shares <= 0) problems.push_back({0, "class.share", "must not be 0 for all classes"});
}

void validate_ranges(const Scenario& scenario, Problems& problems) {
    if (scenario.registry.max_notice_delay < scenario.registry.min_notice_delay) {
        problems.push_back({0, "registry.notice_most", "is less than notice_least"});
    }
    if (scenario.messages.max_delay < scenario.messages.min_delay) {
        problems.push_back({0, "messages.delay_most", "is less than delay_least"});
    }
    const double operations = scenario.clients.rate * scenario.overview.duration / 1000;
    if (operations > kMaxOperations) {
        problems.push_back(
            {0, "callers.rate", "must give at most 20 million requests over the whole scenario"});
    }
}

/// Whether the fault recurs, so that its pulse must be shorter than its period.
bool is_pulsed(const FaultSpec& fault) {
    const bool has_spikes = fault.kind == FaultKind::load_surge && fault.load_shape == "spikes";
    return fault.kind == FaultKind::freeze || fault.intermittent || has_spikes;
}

void validate_replacement(const FaultSpec& fault, std::size_t index, Problems& problems) {
    if (fault.kind == FaultKind::sidecar_other_build && fault.build.empty()) {
        problems.push_back({fault.line, fault_key(index, "build"), "is missing"});
    }
    if (fault.kind == FaultKind::sidecar_other_settings && fault.setting_overrides.empty()) {
        problems.push_back({fault.line, fault_key(index, "set"), "is missing"});
    }
    for (const std::string& text : fault.setting_overrides) {
        try {
            balancer::Settings scratch;
            apply_setting_override(text, scratch);
        } catch (const std::invalid_argument& error) {
            problems.push_back({fault.line, fault_key(index, "set"), error.what()});
        }
    }
}

void complete_and_validate_fault(FaultSpec& fault, std::size_t index, const Scenario& scenario,
                                 Problems& problems) {
    fault.kind = fault_kind_named(fault.kind_name);
    if (fault.name.empty()) fault.name = fault.kind_name;
    if (fault.start >= scenario.overview.duration) {
        problems.push_back({fault.line, fault_key(index, "at"), "is after the end of the scenario"});
    }
    if (!fault.only_class.empty() && !class_names(scenario).contains(fault.only_class)) {
        problems.push_back(
            {fault.line, fault_key(index, "only"), "'" + fault.only_class + "' is not a class of this file"});
    }
    if (is_pulsed(fault) && fault.pulse >= fault.period) {
        problems.push_back({fault.line, fault_key(index, "pause"), "must be shorter than 'every'"});
    }
    if (affects_links(fault.kind)) resolve_link_ends(fault, index, scenario, problems);
    validate_replacement(fault, index, problems);
    const bool replaces_sidecar =
        fault.kind == FaultKind::sidecar_other_build || fault.kind == FaultKind::sidecar_other_settings;
    if (targets_sidecars(fault.kind) && !replaces_sidecar && fault.duration == 0) {
        fault.duration = kDefaultSidecarFaultDuration;
    }
    resolve_targets(fault, index, scenario, problems);
}

void validate_server_at_start(const Scenario& scenario, Problems& problems) {
    for (std::uint32_t server = 0; server < scenario.fleet.servers; ++server) {
        if (!scenario.joins_later(server)) return;
    }
    problems.push_back({0, "fault.who", "at least one server must run at the start"});
}

}  // namespace

void complete_and_validate(Scenario& scenario, Problems& problems) {
    if (scenario.classes.empty()) scenario.classes = default_classes();
    validate_classes(scenario, problems);
    validate_ranges(scenario, problems);
    for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
        complete_and_validate_fault(scenario.faults[i], i, scenario, problems);
    }
    if (problems.empty()) validate_fault_overlaps(scenario, problems);
    if (problems.empty()) validate_server_at_start(scenario, problems);
}

}  // namespace elmbay::simulation
