#include "simulation/scenario/timeline.hpp"

#include <algorithm>
#include <cmath>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

void add(const FaultSpec& f, std::size_t number, std::size_t nth, std::uint32_t who, Millis end,
         std::vector<TimelineStep>& steps) {
    const Millis at = f.start_of(nth);
    const Millis until = f.duration > 0 ? at + f.duration : end;
    switch (f.kind) {
        case FaultKind::crash:
        case FaultKind::machine_cut_off:
            steps.push_back({at, f.kind == FaultKind::crash ? StepKind::stop : StepKind::cut_off, who});
            if (f.duration > 0) steps.push_back({until, StepKind::start, who});
            break;
        case FaultKind::freeze:
            for (Millis t = at; t < until; t += f.period)
                steps.push_back({t, StepKind::freeze, who, std::min(f.pulse, until - t)});
            break;
        case FaultKind::noisy_neighbour:
            for (Millis t = at; t < until; t += 2 * f.period) {
                steps.push_back({t, StepKind::noisy_neighbour, who, f.share});
                steps.push_back({std::min(t + f.period, until), StepKind::noisy_neighbour, who, 0});
            }
            break;
        case FaultKind::fail_fast:
        case FaultKind::unresponsive: {
            const bool hollow = f.kind == FaultKind::unresponsive;
            const StepKind change = hollow ? StepKind::unresponsive : StepKind::fail_fast;
            steps.push_back({at, change, who, hollow ? 1 : f.share});
            steps.push_back({until, change, who, 0});
            break;
        }
        case FaultKind::drain:
            steps.push_back({at, StepKind::drain, who});
            steps.push_back({at + f.linger, StepKind::stop, who});
            if (f.duration > 0) steps.push_back({at + f.linger + f.duration, StepKind::start, who});
            break;
        case FaultKind::join:
            steps.push_back({at, StepKind::start, who});
            break;
        case FaultKind::sidecar_kill:
            steps.push_back({at, StepKind::sidecar_kill, who});
            steps.push_back({until, StepKind::sidecar_start, who});
            break;
        case FaultKind::sidecar_restart:
            steps.push_back({at, StepKind::sidecar_restart, who});
            break;
        case FaultKind::sidecar_reload:
            steps.push_back({at, StepKind::sidecar_reload, who});
            break;
        case FaultKind::sidecar_pause:
            steps.push_back({at, StepKind::sidecar_pause, who});
            steps.push_back({until, StepKind::sidecar_resume, who});
            break;
        case FaultKind::sidecar_cpu_limit:
            steps.push_back({at, StepKind::sidecar_cpu_share, who, f.share});
            steps.push_back({until, StepKind::sidecar_cpu_share, who, 1});
            break;
        case FaultKind::sidecar_other_build:
        case FaultKind::sidecar_other_settings:
            steps.push_back({at, StepKind::sidecar_replace, who, static_cast<double>(number)});
            if (f.duration > 0) steps.push_back({until, StepKind::sidecar_restore, who});
            break;
        case FaultKind::list_delay:
        case FaultKind::load_surge:
        case FaultKind::partition:
        case FaultKind::one_way_partition:
        case FaultKind::message_loss:
        case FaultKind::message_delay:
            break;  // not of one server: see notices() and load_at()
    }
}

Millis list_delay_at(const Scenario& scenario, Millis at) {
    Millis delay = 0;
    for (const FaultSpec& f : scenario.faults)
        if (f.kind == FaultKind::list_delay && at >= f.start &&
            (f.duration == 0 || at < f.start + f.duration))
            delay += f.delay;
    return delay;
}

}  // namespace

const char* name_of(StepKind change) {
    switch (change) {
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

std::vector<TimelineStep> timeline(const Scenario& scenario) {
    std::vector<TimelineStep> steps;
    for (std::size_t n = 0; n < scenario.faults.size(); ++n) {
        const FaultSpec& f = scenario.faults[n];
        for (std::size_t i = 0; i < f.target_ids.size(); ++i)
            add(f, n, i, f.target_ids[i], scenario.overview.duration, steps);
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const TimelineStep& a, const TimelineStep& b) { return a.at < b.at; });
    return steps;
}

std::string text_of(const TimelineStep& step) {
    char text[96];
    std::snprintf(text, sizeof text, "%.3f %s %s%u %g", step.at, name_of(step.kind),
                  step.targets_sidecar() ? "n-" : "s-", step.target, step.value);
    return text;
}

std::vector<EndpointNotice> build_notices(const Scenario& scenario, const std::vector<TimelineStep>& steps) {
    std::vector<EndpointNotice> list;
    std::vector<Millis> last(scenario.fleet.servers, 0);
    std::vector<std::uint64_t> count(scenario.fleet.servers, 0);
    for (const TimelineStep& s : steps) {
        const bool ends = s.kind == StepKind::stop || s.kind == StepKind::cut_off;
        if (!ends && s.kind != StepKind::start && s.kind != StepKind::drain) continue;
        Random random = stream(scenario.overview.seed, Purpose::notice, s.target, ++count[s.target]);
        const Millis known =
            s.at + list_delay_at(scenario, s.at) +
            uniform(random, scenario.registry.min_notice_delay, scenario.registry.max_notice_delay);
        last[s.target] = std::max(last[s.target], known);
        EndpointNotice notice{last[s.target], s.target};
        notice.state = ends                        ? balancer::EndpointState::removed
                       : s.kind == StepKind::drain ? balancer::EndpointState::draining
                                                   : balancer::EndpointState::active;
        notice.online_since = s.kind == StepKind::start ? s.at : 0;
        list.push_back(notice);
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const EndpointNotice& a, const EndpointNotice& b) { return a.at < b.at; });
    return list;
}

Millis spread_of(const Scenario& scenario, std::uint32_t sidecar) {
    Random random = stream(scenario.overview.seed, Purpose::notice, ~0ULL, sidecar);
    return scenario.registry.max_sidecar_skew * random.unit();
}

double load_multiple_of(const Scenario& scenario, const FaultSpec& f, Millis at) {
    const Millis lasts = f.duration > 0 ? f.duration : scenario.overview.duration - f.start;
    if (f.kind != FaultKind::load_surge || at < f.start || at >= f.start + lasts) return 1;
    const Millis since = at - f.start;
    if (f.load_shape == "ramp") return 1 + (f.load_multiple - 1) * since / lasts;
    if (f.load_shape == "doubling") return std::min(f.load_multiple, std::exp2(since / f.period));
    if (f.load_shape == "spikes") return std::fmod(since, f.period) < f.pulse ? f.load_multiple : 1;
    if (f.load_shape == "square") return std::fmod(since, f.period) < f.period / 2 ? f.load_multiple : 1;
    return f.load_multiple;
}

double load_multiple_at(const Scenario& scenario, Millis at) {
    double times = 1;
    for (const FaultSpec& f : scenario.faults) times *= load_multiple_of(scenario, f, at);
    return times;
}

}  // namespace elmbay::simulation
