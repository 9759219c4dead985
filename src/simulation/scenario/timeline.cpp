#include "simulation/scenario/timeline.hpp"

#include <algorithm>
#include <cmath>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

void add(const FaultSpec& f, std::size_t number, std::size_t nth, std::uint32_t who, Millis end,
         std::vector<Step>& steps) {
    const Millis at = f.begins(nth);
    const Millis until = f.lasts > 0 ? at + f.lasts : end;
    switch (f.kind) {
        case FaultKind::die:
        case FaultKind::vanish:
            steps.push_back({at, f.kind == FaultKind::die ? Change::stop : Change::vanish, who});
            if (f.lasts > 0) steps.push_back({until, Change::start, who});
            break;
        case FaultKind::freeze:
            for (Millis t = at; t < until; t += f.every)
                steps.push_back({t, Change::freeze, who, std::min(f.pause, until - t)});
            break;
        case FaultKind::neighbour:
            for (Millis t = at; t < until; t += 2 * f.every) {
                steps.push_back({t, Change::neighbour, who, f.share});
                steps.push_back({std::min(t + f.every, until), Change::neighbour, who, 0});
            }
            break;
        case FaultKind::fail_fast:
        case FaultKind::hollow: {
            const bool hollow = f.kind == FaultKind::hollow;
            const Change change = hollow ? Change::hollow : Change::fail_fast;
            steps.push_back({at, change, who, hollow ? 1 : f.share});
            steps.push_back({until, change, who, 0});
            break;
        }
        case FaultKind::drain:
            steps.push_back({at, Change::drain, who});
            steps.push_back({at + f.linger, Change::stop, who});
            if (f.lasts > 0) steps.push_back({at + f.linger + f.lasts, Change::start, who});
            break;
        case FaultKind::join:
            steps.push_back({at, Change::start, who});
            break;
        case FaultKind::sidecar_kill:
            steps.push_back({at, Change::sidecar_kill, who});
            steps.push_back({until, Change::sidecar_start, who});
            break;
        case FaultKind::sidecar_restart:
            steps.push_back({at, Change::sidecar_restart, who});
            break;
        case FaultKind::sidecar_reload:
            steps.push_back({at, Change::sidecar_reload, who});
            break;
        case FaultKind::pause:
            steps.push_back({at, Change::sidecar_pause, who});
            steps.push_back({until, Change::sidecar_wake, who});
            break;
        case FaultKind::starve:
            steps.push_back({at, Change::sidecar_starve, who, f.share});
            steps.push_back({until, Change::sidecar_starve, who, 1});
            break;
        case FaultKind::other_build:
        case FaultKind::other_settings:
            steps.push_back({at, Change::sidecar_change, who, static_cast<double>(number)});
            if (f.lasts > 0) steps.push_back({until, Change::sidecar_back, who});
            break;
        case FaultKind::list_late:
        case FaultKind::load:
        case FaultKind::split:
        case FaultKind::one_way:
        case FaultKind::lossy:
        case FaultKind::late_messages:
            break;  // not of one server: see notices() and load_at()
    }
}

Millis list_delay_at(const Scenario& scenario, Millis at) {
    Millis delay = 0;
    for (const FaultSpec& f : scenario.faults)
        if (f.kind == FaultKind::list_late && at >= f.at && (f.lasts == 0 || at < f.at + f.lasts))
            delay += f.delay;
    return delay;
}

}  // namespace

const char* name_of(Change change) {
    switch (change) {
        case Change::freeze:
            return "freeze";
        case Change::neighbour:
            return "neighbour";
        case Change::fail_fast:
            return "fail-fast";
        case Change::hollow:
            return "hollow";
        case Change::drain:
            return "drain";
        case Change::stop:
            return "stop";
        case Change::vanish:
            return "vanish";
        case Change::start:
            return "start";
        case Change::sidecar_kill:
            return "sidecar-kill";
        case Change::sidecar_start:
            return "sidecar-start";
        case Change::sidecar_restart:
            return "sidecar-restart";
        case Change::sidecar_reload:
            return "sidecar-reload";
        case Change::sidecar_pause:
            return "sidecar-pause";
        case Change::sidecar_wake:
            return "sidecar-wake";
        case Change::sidecar_starve:
            return "sidecar-starve";
        case Change::sidecar_change:
            return "sidecar-change";
        case Change::sidecar_back:
            return "sidecar-back";
    }
    return "";
}

std::vector<Step> timeline(const Scenario& scenario) {
    std::vector<Step> steps;
    for (std::size_t n = 0; n < scenario.faults.size(); ++n) {
        const FaultSpec& f = scenario.faults[n];
        for (std::size_t i = 0; i < f.hit.size(); ++i)
            add(f, n, i, f.hit[i], scenario.overview.length, steps);
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    return steps;
}

std::string text_of(const Step& step) {
    char text[96];
    std::snprintf(text, sizeof text, "%.3f %s %s%u %g", step.at, name_of(step.change),
                  step.sidecar() ? "n-" : "s-", step.who, step.value);
    return text;
}

std::vector<Notice> notices(const Scenario& scenario, const std::vector<Step>& steps) {
    std::vector<Notice> list;
    std::vector<Millis> last(scenario.fleet.servers, 0);
    std::vector<std::uint64_t> count(scenario.fleet.servers, 0);
    for (const Step& s : steps) {
        const bool ends = s.change == Change::stop || s.change == Change::vanish;
        if (!ends && s.change != Change::start && s.change != Change::drain) continue;
        Random random = stream(scenario.overview.seed, Purpose::notice, s.who, ++count[s.who]);
        const Millis known = s.at + list_delay_at(scenario, s.at) +
                             uniform(random, scenario.registry.notice_least, scenario.registry.notice_most);
        last[s.who] = std::max(last[s.who], known);
        Notice notice{last[s.who], s.who};
        notice.state = ends                        ? balancer::EndpointState::removed
                       : s.change == Change::drain ? balancer::EndpointState::draining
                                                   : balancer::EndpointState::active;
        notice.online_since = s.change == Change::start ? s.at : 0;
        list.push_back(notice);
    }
    std::stable_sort(list.begin(), list.end(), [](const Notice& a, const Notice& b) { return a.at < b.at; });
    return list;
}

Millis spread_of(const Scenario& scenario, std::uint32_t sidecar) {
    Random random = stream(scenario.overview.seed, Purpose::notice, ~0ULL, sidecar);
    return scenario.registry.spread * random.unit();
}

double load_of(const Scenario& scenario, const FaultSpec& f, Millis at) {
    const Millis lasts = f.lasts > 0 ? f.lasts : scenario.overview.length - f.at;
    if (f.kind != FaultKind::load || at < f.at || at >= f.at + lasts) return 1;
    const Millis since = at - f.at;
    if (f.shape == "ramp") return 1 + (f.times - 1) * since / lasts;
    if (f.shape == "doubling") return std::min(f.times, std::exp2(since / f.every));
    if (f.shape == "spikes") return std::fmod(since, f.every) < f.pause ? f.times : 1;
    if (f.shape == "square") return std::fmod(since, f.every) < f.every / 2 ? f.times : 1;
    return f.times;
}

double load_at(const Scenario& scenario, Millis at) {
    double times = 1;
    for (const FaultSpec& f : scenario.faults) times *= load_of(scenario, f, at);
    return times;
}

}  // namespace elmbay::simulation
