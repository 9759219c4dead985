#include "process_testbed/chaos.hpp"

#include <algorithm>
#include <utility>

#include "process_testbed/process_testbed.hpp"

namespace elmbay::process_testbed {

namespace {

using fault_proxy::FaultType;
using fault_proxy::Rule;
using fault_proxy::Trigger;

/// Runs the steps of a schedule on a testbed, and removes all faults at the end.
class ScheduleRunner {
public:
    explicit ScheduleRunner(const Options& options) : testbed_(options) { testbed_.start(); }

    /// @return whether no invariant has been violated.
    bool run_step(const FaultStep& step);
    /// Removes all faults and waits until every request has ended.
    /// @param passed whether no invariant has been violated so far.
    ChaosResult finish(bool passed);

private:
    // Each of these ignores steps of other kinds.
    void run_process_step(const FaultStep& step);
    void run_server_step(const FaultStep& step);
    void send_requests(const FaultStep& step);
    void cut_link(const FaultStep& step);
    void partition(const FaultStep& step);
    void break_responses(const FaultStep& step);
    void heal_links() { testbed_.context().replace_rules({}); }
    void heal_everything();
    // Returns one line for each sidecar that holds descriptors which its status does not count.
    std::string find_descriptor_leaks();
    void add_cut(const std::string& from, const std::string& to);
    std::string next_rule_name();

    ProcessTestbed testbed_;
    std::uint64_t added_rules_ = 0;
};

bool ScheduleRunner::run_step(const FaultStep& step) {
    switch (step.kind()) {
        case FaultStepKind::send_requests:
            send_requests(step);
            break;
        case FaultStepKind::cut_link:
            cut_link(step);
            break;
        case FaultStepKind::partition:
            partition(step);
            break;
        case FaultStepKind::heal_links:
            heal_links();
            break;
        case FaultStepKind::reset_connections:
            testbed_.link(sidecar_name(step.sidecar()), server_name(step.server())).reset_all();
            break;
        case FaultStepKind::break_responses:
            break_responses(step);
            break;
        case FaultStepKind::wait:
            return testbed_.run_for(step.wait_duration());
        default:
            run_process_step(step);
            run_server_step(step);
            break;
    }
    return true;
}

void ScheduleRunner::run_process_step(const FaultStep& step) {
    const std::size_t sidecar = step.sidecar();
    switch (step.kind()) {
        case FaultStepKind::freeze:
            if (testbed_.is_running(sidecar)) testbed_.freeze(sidecar);
            break;
        case FaultStepKind::thaw:
            if (testbed_.process(sidecar).is_frozen()) testbed_.thaw(sidecar);
            break;
        case FaultStepKind::kill:
            testbed_.kill(sidecar);
            testbed_.restart(sidecar);
            break;
        case FaultStepKind::limit_cpu:
            if (testbed_.is_running(sidecar)) testbed_.limit_cpu(sidecar, step.cpu_share());
            break;
        default:
            break;
    }
}

void ScheduleRunner::run_server_step(const FaultStep& step) {
    switch (step.kind()) {
        case FaultStepKind::drain:
            testbed_.set_endpoint_state(step.server(), EndpointState::leaving);
            break;
        case FaultStepKind::restore:
            testbed_.set_endpoint_state(step.server(), EndpointState::active);
            break;
        case FaultStepKind::set_behavior:
            testbed_.server(step.server()).behavior = step.behavior();
            break;
        default:
            break;
    }
}

void ScheduleRunner::send_requests(const FaultStep& step) {
    const char* const request_class = kRequestClasses[step.request_class() % kRequestClasses.size()];
    for (std::uint64_t i = 0; i < step.request_count() && testbed_.is_running(step.sidecar()); ++i) {
        testbed_.send_request(step.sidecar(), request_class);
    }
}

void ScheduleRunner::cut_link(const FaultStep& step) {
    const std::string sidecar = sidecar_name(step.sidecar());
    const std::string other =
        step.server() < testbed_.server_count() ? server_name(step.server()) : kDiscoveryName;
    if (step.cut_direction() != CutDirection::to_sidecar) add_cut(sidecar, other);
    if (step.cut_direction() != CutDirection::from_sidecar) add_cut(other, sidecar);
}

void ScheduleRunner::partition(const FaultStep& step) {
    Rule rule;
    rule.name = next_rule_name();
    rule.groups.resize(2);
    for (std::size_t i = 0; i < testbed_.sidecar_count(); ++i) {
        const std::size_t half = i >= step.first_of_second_half() ? 1 : 0;
        rule.groups[half].push_back(sidecar_name(i));
    }
    for (std::size_t j = 0; j < testbed_.server_count(); ++j) {
        const std::size_t half = j >= testbed_.server_count() / 2 ? 1 : 0;
        rule.groups[half].push_back(server_name(j));
    }
    rule.groups[step.half_of_discovery()].emplace_back(kDiscoveryName);
    testbed_.context().put_rule(rule);
}

void ScheduleRunner::break_responses(const FaultStep& step) {
    Rule rule;
    rule.name = next_rule_name();
    rule.type = step.breaks_by_reset() ? FaultType::reset : FaultType::half_close;
    rule.from = {server_name(step.server())};
    rule.to = {"n-*"};
    rule.trigger = Trigger::at_byte;
    rule.trigger_byte = step.before_byte();
    testbed_.context().put_rule(rule);
}

void ScheduleRunner::add_cut(const std::string& from, const std::string& to) {
    Rule rule;
    rule.name = next_rule_name();
    rule.from = {from};
    rule.to = {to};
    testbed_.context().put_rule(rule);
}

std::string ScheduleRunner::next_rule_name() {
    ++added_rules_;
    return "cut " + std::to_string(added_rules_);
}

void ScheduleRunner::heal_everything() {
    heal_links();
    for (std::size_t i = 0; i < testbed_.sidecar_count(); ++i) {
        testbed_.limit_cpu(i, 1);
        if (testbed_.process(i).is_frozen()) testbed_.thaw(i);
    }
    for (std::size_t j = 0; j < testbed_.server_count(); ++j) {
        testbed_.server(j).behavior = ServerBehavior::serve;
    }
}

std::string ScheduleRunner::find_descriptor_leaks() {
    std::string leaks;
    for (std::size_t i = 0; i < testbed_.sidecar_count(); ++i) {
        if (!testbed_.is_running(i)) continue;
        if (!testbed_.run_until([&] { return testbed_.is_ready(i); })) continue;
        if (!testbed_.descriptors_are_accounted_for(i)) {
            leaks += sidecar_name(i) + " holds more descriptors than its status counts\n";
        }
    }
    return leaks;
}

ChaosResult ScheduleRunner::finish(bool passed) {
    heal_everything();
    passed = passed && testbed_.run_until_idle();
    const std::string leaks = passed ? find_descriptor_leaks() : "";
    passed = passed && leaks.empty();
    const RequestHistory& history = testbed_.request_history();
    return {passed, passed ? "" : leaks + testbed_.describe_failure(), history.total_requests(),
            history.count(RequestHistory::Outcome::served)};
}

void check_range(const Options& options, const Schedule& schedule) {
    for (const FaultStep& step : schedule) {
        const bool has_sidecar = step.sidecar() < options.sidecars;
        const bool names_server = step.kind() != FaultStepKind::send_requests;
        const bool has_server = !names_server || step.server() <= options.servers;
        if (!has_sidecar || !has_server) throw ScheduleRangeError();
    }
}

}  // namespace

ChaosResult run_schedule(const Options& options, const Schedule& schedule) {
    check_range(options, schedule);
    ScheduleRunner runner(options);
    const bool passed = std::all_of(schedule.begin(), schedule.end(),
                                    [&](const FaultStep& step) { return runner.run_step(step); });
    return runner.finish(passed);
}

}  // namespace elmbay::process_testbed
