#include "simulation/scenario/timeline.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

/// Builds the steps of one fault on one of its targets.
class FaultSteps {
public:
    FaultSteps(const Scenario& scenario, std::size_t fault_index, std::size_t nth_target)
        : fault_(scenario.faults[fault_index]),
          fault_index_(fault_index),
          target_(fault_.target_ids[nth_target]),
          start_(fault_.start_of(nth_target)),
          end_(fault_.duration > 0 ? start_ + fault_.duration : scenario.overview.duration) {}

    std::vector<TimelineStep> build() {
        if (targets_sidecars(fault_.kind)) {
            add_sidecar_steps();
        } else {
            add_server_steps();
        }
        return std::move(steps_);
    }

private:
    void add(Millis at, StepKind kind, double value = 0) { steps_.push_back({at, kind, target_, value}); }

    /// Adds a step with `value` at the start and one with `value_after` at the end.
    void add_interval(StepKind kind, double value, double value_after) {
        add(start_, kind, value);
        add(end_, kind, value_after);
    }

    void add_server_steps() {
        switch (fault_.kind) {
            case FaultKind::crash:
                return add_outage(StepKind::stop);
            case FaultKind::machine_cut_off:
                return add_outage(StepKind::cut_off);
            case FaultKind::freeze:
                return add_freezes();
            case FaultKind::noisy_neighbour:
                return add_neighbour_phases();
            case FaultKind::fail_fast:
                return add_interval(StepKind::fail_fast, fault_.share, 0);
            case FaultKind::unresponsive:
                return add_interval(StepKind::unresponsive, 1, 0);
            case FaultKind::drain:
                return add_drain();
            case FaultKind::join:
                return add(start_, StepKind::start);
            default:
                return;  // does not change a server: see build_notices(), load_multiple_at(), link_rules()
        }
    }

    void add_sidecar_steps() {
        switch (fault_.kind) {
            case FaultKind::sidecar_kill:
                add(start_, StepKind::sidecar_kill);
                return add(end_, StepKind::sidecar_start);
            case FaultKind::sidecar_restart:
                return add(start_, StepKind::sidecar_restart);
            case FaultKind::sidecar_reload:
                return add(start_, StepKind::sidecar_reload);
            case FaultKind::sidecar_pause:
                add(start_, StepKind::sidecar_pause);
                return add(end_, StepKind::sidecar_resume);
            case FaultKind::sidecar_cpu_limit:
                return add_interval(StepKind::sidecar_cpu_share, fault_.share, 1);
            default:
                add(start_, StepKind::sidecar_replace, static_cast<double>(fault_index_));
                if (fault_.duration > 0) add(end_, StepKind::sidecar_restore);
                return;
        }
    }

    void add_outage(StepKind kind) {
        add(start_, kind);
        if (fault_.duration > 0) add(end_, StepKind::start);
    }

    void add_freezes() {
        for (Millis at = start_; at < end_; at += fault_.period) {
            add(at, StepKind::freeze, std::min(fault_.pulse, end_ - at));
        }
    }

    void add_neighbour_phases() {
        for (Millis at = start_; at < end_; at += 2 * fault_.period) {
            add(at, StepKind::noisy_neighbour, fault_.share);
            add(std::min(at + fault_.period, end_), StepKind::noisy_neighbour, 0);
        }
    }

    void add_drain() {
        add(start_, StepKind::drain);
        add(start_ + fault_.linger, StepKind::stop);
        if (fault_.duration > 0) add(start_ + fault_.linger + fault_.duration, StepKind::start);
    }

    const FaultSpec& fault_;
    const std::size_t fault_index_;
    const std::uint32_t target_;
    const Millis start_;
    const Millis end_;
    std::vector<TimelineStep> steps_;
};

/// Additional delay of the endpoint list at time `at`, due to list_delay faults.
Millis list_delay_at(const Scenario& scenario, Millis at) {
    Millis delay = 0;
    for (const FaultSpec& fault : scenario.faults) {
        const bool is_active =
            at >= fault.start && (fault.duration == 0 || at < fault.start + fault.duration);
        if (fault.kind == FaultKind::list_delay && is_active) delay += fault.delay;
    }
    return delay;
}

bool changes_endpoint_list(StepKind kind) {
    return kind == StepKind::stop || kind == StepKind::cut_off || kind == StepKind::start ||
           kind == StepKind::drain;
}

balancer::EndpointState state_after(StepKind kind) {
    if (kind == StepKind::start) return balancer::EndpointState::active;
    if (kind == StepKind::drain) return balancer::EndpointState::draining;
    return balancer::EndpointState::removed;
}

}  // namespace

const char* name_of(StepKind kind) {
    switch (kind) {
        case StepKind::freeze:
            return "freeze";
        case StepKind::noisy_neighbour:
            return "neighbour";
        case StepKind::fail_fast:
            return "fail-fast";
        case StepKind::unresponsive:
            return "hollow";
        case StepKind::drain:
            return "drain";
        case StepKind::stop:
            return "stop";
        case StepKind::cut_off:
            return "vanish";
        case StepKind::start:
            return "start";
        case StepKind::sidecar_kill:
            return "sidecar-kill";
        case StepKind::sidecar_start:
            return "sidecar-start";
        case StepKind::sidecar_restart:
            return "sidecar-restart";
        case StepKind::sidecar_reload:
            return "sidecar-reload";
        case StepKind::sidecar_pause:
            return "sidecar-pause";
        case StepKind::sidecar_resume:
            return "sidecar-wake";
        case StepKind::sidecar_cpu_share:
            return "sidecar-starve";
        case StepKind::sidecar_replace:
            return "sidecar-change";
        case StepKind::sidecar_restore:
            return "sidecar-back";
    }
    return "";
}

std::vector<TimelineStep> build_timeline(const Scenario& scenario) {
    std::vector<TimelineStep> timeline;
    for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
        for (std::size_t nth = 0; nth < scenario.faults[i].target_ids.size(); ++nth) {
            const std::vector<TimelineStep> steps = FaultSteps(scenario, i, nth).build();
            timeline.insert(timeline.end(), steps.begin(), steps.end());
        }
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const TimelineStep& a, const TimelineStep& b) { return a.at < b.at; });
    return timeline;
}

std::string text_of(const TimelineStep& step) {
    return fmt::format("{:.3f} {} {}{} {:g}", step.at, name_of(step.kind),
                       step.targets_sidecar() ? "n-" : "s-", step.target, step.value);
}

std::vector<EndpointNotice> build_notices(const Scenario& scenario, const std::vector<TimelineStep>& steps) {
    std::vector<EndpointNotice> notices;
    std::vector<Millis> last_notice(scenario.fleet.servers, 0);
    std::vector<std::uint64_t> notice_count(scenario.fleet.servers, 0);
    for (const TimelineStep& step : steps) {
        if (!changes_endpoint_list(step.kind)) continue;
        const std::uint32_t server = step.target;
        Random random = random_stream(scenario.overview.seed, StreamPurpose::notice_delay, server,
                                      ++notice_count[server]);
        const Millis delay =
            uniform(random, scenario.registry.min_notice_delay, scenario.registry.max_notice_delay);
        const Millis listed_at = step.at + list_delay_at(scenario, step.at) + delay;
        last_notice[server] = std::max(last_notice[server], listed_at);
        const Millis online_since = step.kind == StepKind::start ? step.at : 0;
        notices.push_back({last_notice[server], server, state_after(step.kind), online_since});
    }
    std::stable_sort(notices.begin(), notices.end(),
                     [](const EndpointNotice& a, const EndpointNotice& b) { return a.at < b.at; });
    return notices;
}

Millis notice_skew(const Scenario& scenario, std::uint32_t sidecar) {
    // Key of the sidecars' random streams. The servers' streams use server numbers as keys, none of which has
    // this value.
    static constexpr std::uint64_t kSidecarStreams = ~0ULL;
    Random random =
        random_stream(scenario.overview.seed, StreamPurpose::notice_delay, kSidecarStreams, sidecar);
    return scenario.registry.max_sidecar_skew * random.uniform();
}

double load_multiple_of(const Scenario& scenario, const FaultSpec& fault, Millis at) {
    const Millis duration = fault.duration > 0 ? fault.duration : scenario.overview.duration - fault.start;
    const bool is_active = at >= fault.start && at < fault.start + duration;
    if (fault.kind != FaultKind::load_surge || !is_active) return 1;
    const Millis elapsed = at - fault.start;
    const Millis phase = std::fmod(elapsed, fault.period);
    if (fault.load_shape == "ramp") return 1 + (fault.load_multiple - 1) * elapsed / duration;
    if (fault.load_shape == "doubling")
        return std::min(fault.load_multiple, std::exp2(elapsed / fault.period));
    if (fault.load_shape == "spikes") return phase < fault.pulse ? fault.load_multiple : 1;
    if (fault.load_shape == "square") return phase < fault.period / 2 ? fault.load_multiple : 1;
    return fault.load_multiple;
}

double load_multiple_at(const Scenario& scenario, Millis at) {
    double multiple = 1;
    for (const FaultSpec& fault : scenario.faults) multiple *= load_multiple_of(scenario, fault, at);
    return multiple;
}

}  // namespace elmbay::simulation
