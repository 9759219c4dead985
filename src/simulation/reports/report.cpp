#include "simulation/reports/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

namespace {

using nlohmann::ordered_json;

void expect(Report& r, const char* name, double stated, double seen, bool at_most) {
    r.expectations.push_back({name, stated, seen, at_most, at_most ? seen <= stated : seen >= stated});
}

void add_expectations(Report& r, const ExpectationSpec& e) {
    Millis p99 = 0;
    for (const ClassReport& c : r.metrics.classes) p99 = std::max(p99, c.p99);
    const ExpectationSpec none;
    if (e.min_goodput != none.min_goodput) expect(r, "goodput", e.min_goodput, r.metrics.goodput, false);
    if (e.min_class_goodput != none.min_class_goodput)
        expect(r, "worst_class", e.min_class_goodput, r.metrics.min_class_goodput, false);
    if (e.min_second_goodput != none.min_second_goodput)
        expect(r, "worst_second", e.min_second_goodput, r.metrics.min_second_goodput, false);
    if (e.min_answered_share != none.min_answered_share)
        expect(r, "answered", e.min_answered_share, r.metrics.answered_share, false);
    if (e.max_attempts_per_request != none.max_attempts_per_request)
        expect(r, "attempts", e.max_attempts_per_request, r.attempts_per_request, true);
    if (e.max_delayed_failure_share != none.max_delayed_failure_share)
        expect(r, "held_back", e.max_delayed_failure_share,
               r.client_requests > 0
                   ? static_cast<double>(r.delayed_failures) / static_cast<double>(r.client_requests)
                   : 0,
               true);
    if (e.max_p99 != none.max_p99) expect(r, "p99", e.max_p99, p99, true);
    if (e.min_onset_ratio != none.min_onset_ratio)
        expect(r, "onset", e.min_onset_ratio, r.metrics.surge.onset_ratio, false);
    if (e.max_settling_time != none.max_settling_time)
        expect(r, "settle", e.max_settling_time, r.metrics.surge.settling_time, true);
    if (e.max_recovery_time != none.max_recovery_time)
        expect(r, "recover", e.max_recovery_time, r.metrics.surge.recovery_time, true);
}

std::string whom(const FaultSpec& f) {
    if (f.target_ids.empty()) return "";
    std::string text;
    const char* prefix = hits_sidecars(f.kind) ? "n-" : "s-";
    for (std::size_t i = 0; i < f.target_ids.size() && i < 6; ++i)
        text += (i > 0 ? " " : "") + std::string(prefix) + std::to_string(f.target_ids[i]);
    if (f.target_ids.size() > 6) text += fmt::format(" and {} more", f.target_ids.size() - 6);
    return text;
}

std::string sidecars_text(const Report& r) {
    const SidecarActivity& side = r.sidecar_activity;
    std::string t;
    if (side.process_spans.size() > r.sidecars || !side.impaired_spans.empty() || !side.link_faults.empty()) {
        Millis still = 0;
        for (const SidecarSpan& s : side.impaired_spans) still += s.end - s.start;
        t += fmt::format(
            "  sidecars: {} lives of {}; {} times paused or starved, {:.1f}s in all; {} rules on links\n",
            side.process_spans.size(), r.sidecars, side.impaired_spans.size(), still / 1000,
            side.link_faults.size());
    }
    if (side.messages_sent > 0) {
        const double seconds = std::max(1.0, r.duration / 1000) * static_cast<double>(r.sidecars);
        t += fmt::format(
            "  messages: {} sent, {} delivered; a sidecar {:.2f} and {:.0f} bytes a second; price {:.4f} of "
            "goodput{}\n",
            side.messages_sent, side.messages_delivered,
            static_cast<double>(side.messages_delivered) / seconds,
            static_cast<double>(side.message_bytes) / seconds, side.goodput_cost,
            side.oversized_messages ? fmt::format("; {} TOO LONG", side.oversized_messages) : "");
    }
    return t;
}

ordered_json sidecars_json(const SidecarActivity& side) {
    ordered_json j;
    const auto spans = [](const std::vector<SidecarSpan>& list) {
        ordered_json out = ordered_json::array();
        for (const SidecarSpan& s : list)
            out.push_back({{"sidecar", "n-" + std::to_string(s.sidecar)},
                           {"from_ms", s.start},
                           {"to_ms", s.end},
                           {"what", s.description}});
        return out;
    };
    j["lives"] = spans(side.process_spans);
    j["troubles"] = spans(side.impaired_spans);
    j["cuts"] = ordered_json::array();
    for (const LinkFaultReport& c : side.link_faults)
        j["cuts"].push_back(
            {{"name", c.name}, {"what", c.description}, {"from_ms", c.start}, {"to_ms", c.end}});
    ordered_json seconds = ordered_json::array();
    if (side.messages_sent > 0)
        for (const MessageSecond& s : side.message_seconds)
            seconds.push_back({{"sent", s.sent}, {"delivered", s.delivered}, {"bytes", s.bytes}});
    j["messages"] = {{"sent", side.messages_sent},  {"delivered", side.messages_delivered},
                     {"bytes", side.message_bytes}, {"too_long", side.oversized_messages},
                     {"price", side.goodput_cost},  {"seconds", seconds},
                     {"heard", side.deliveries}};
    return j;
}

std::string verdict(const Report& r) {
    if (!r.punctuality.trusted()) return "NOT TO BE TRUSTED: the emulator ran late";
    if (!r.invariants_hold()) return "BROKEN";
    return r.expectations_met() ? "KEPT" : "RULES KEPT, EXPECTATIONS NOT MET";
}

}  // namespace

bool Report::invariants_hold() const {
    return std::all_of(invariants.begin(), invariants.end(),
                       [](const InvariantReport& r) { return r.violations == 0; });
}
bool Report::expectations_met() const {
    return std::all_of(expectations.begin(), expectations.end(),
                       [](const ExpectationReport& e) { return e.met; });
}

Report make_report(const Scenario& scenario, const ClientModel& clients, const InvariantChecker& checker,
                   const ServiceMetrics& metrics) {
    Report r;
    r.scenario = scenario.name;
    r.description = scenario.overview.description;
    r.seed = scenario.overview.seed;
    r.duration = scenario.overview.duration;
    r.servers = scenario.fleet.servers;
    r.sidecars = scenario.sidecars.count;
    r.operations = clients.arrivals().size();
    r.client_requests = checker.client_requests();
    r.attempts = checker.attempts();
    r.max_attempts = checker.max_attempts();
    r.attempts_per_request =
        r.client_requests > 0 ? static_cast<double>(r.attempts) / static_cast<double>(r.client_requests) : 0;
    r.delayed_failures = checker.delayed_failures();
    r.overloaded_servers = checker.overloaded_servers();
    for (std::size_t i = 0; i < kInvariantCount; ++i) {
        const auto& finding = checker.finding(static_cast<Invariant>(i));
        r.invariants.push_back({name_of(static_cast<Invariant>(i)), finding.violations, finding.examples});
    }
    r.metrics = metrics.report();
    for (const FaultSpec& f : scenario.faults) {
        const Millis last = f.start_of(f.target_ids.empty() ? 0 : f.target_ids.size() - 1);
        Millis to = f.duration > 0 ? last + f.duration : scenario.overview.duration;
        if (f.kind == FaultKind::drain) to = last + f.linger + f.duration;
        if (f.kind == FaultKind::join) to = f.start + scenario.fleet.slow_start_duration;
        r.faults.push_back({f.name, whom(f), f.start, std::min(to, scenario.overview.duration)});
    }
    for (const TimelineStep& s : timeline(scenario)) r.timeline.push_back(text_of(s));
    add_expectations(r, scenario.expectations);
    return r;
}

std::string text_of(const Report& r) {
    std::string t =
        fmt::format("{} ({}, {}, seed {}): {}\n", r.scenario, r.mode, r.balancer, r.seed, verdict(r));
    if (!r.description.empty()) t += "  " + r.description + "\n";
    t += fmt::format("  {} servers, {} sidecars, {:.0f}s, {} requests, {} tries, {} attempts\n\n", r.servers,
                     r.sidecars, r.duration / 1000, r.operations, r.client_requests, r.attempts);
    for (const InvariantReport& rule : r.invariants) {
        t += fmt::format("  {:<32} {}\n", rule.name,
                         rule.violations == 0 ? "kept" : fmt::format("BROKEN {} times", rule.violations));
        for (const std::string& example : rule.examples) t += "      " + example + "\n";
    }
    for (const ExpectationReport& e : r.expectations)
        t += fmt::format("  expected {:<23} {} ({} {:.4g}, seen {:.4g})\n", e.name, e.met ? "met" : "NOT MET",
                         e.is_upper_bound ? "at most" : "at least", e.bound, e.measured);
    t += fmt::format(
        "\n  goodput {:.3f}, worst class {:.3f}, worst second {:.3f}; attempts a try {:.3f}, most {}"
        "; sat on {}; fell over {}\n",
        r.metrics.goodput, r.metrics.min_class_goodput, r.metrics.min_second_goodput, r.attempts_per_request,
        r.max_attempts, r.delayed_failures, r.overloaded_servers);
    if (const SurgeReport& rush = r.metrics.surge; rush.present)
        t += fmt::format(
            "  rush: goodput {:.3f} once settled, {:.3f} of that in the worse of its first two seconds; "
            "settled after "
            "{:.1f}s, recovered {:.1f}s after its end\n",
            rush.settled_goodput, rush.onset_ratio, rush.settling_time / 1000, rush.recovery_time / 1000);
    if (r.after_restart.offered_value > 0)
        t += fmt::format("  first {:.0f}s after restarts: goodput {:.3f}; {} attempts, {} of them failed\n",
                         Report::kRestartWindow / 1000, r.after_restart.goodput(), r.after_restart.attempts,
                         r.after_restart.failed);
    t += sidecars_text(r);
    t += fmt::format("\n  {:<14}{:>8}{:>9}{:>7}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}\n", "class", "asked", "in aim",
                     "late", "refused", "failed", "p50", "p90", "p99", "max ms");
    for (const ClassReport& c : r.metrics.classes)
        t += fmt::format("  {:<14}{:>8}{:>9}{:>7}{:>9}{:>8}{:>8.0f}{:>8.0f}{:>8.0f}{:>8.0f}\n", c.name,
                         c.requested, c.within_objective, c.late, c.rejected, c.failed, c.p50, c.p90, c.p99,
                         c.max_latency);
    if (r.punctuality.measured)
        t += fmt::format(
            "\n  the emulator's own lateness: p99 {:.1f}ms, most {:.1f}ms, {:.2f}% over {:.0f}ms\n",
            r.punctuality.p99, r.punctuality.max, 100 * r.punctuality.late_share,
            Punctuality::kLateThreshold);
    for (const std::string& note : r.notes) t += "  note: " + note + "\n";
    return t;
}

ordered_json json_of(const Report& r) {
    ordered_json j;
    j["incident"] = r.scenario;
    j["mode"] = r.mode;
    j["balancer"] = r.balancer;
    j["seed"] = r.seed;
    j["length_ms"] = r.duration;
    j["passed"] = r.passed();
    j["trusted"] = r.punctuality.trusted();
    j["rules_kept"] = r.invariants_hold();
    j["expectations_kept"] = r.expectations_met();
    for (const InvariantReport& rule : r.invariants)
        j["rules"].push_back({{"name", rule.name}, {"broken", rule.violations}, {"examples", rule.examples}});
    j["expectations"] = ordered_json::array();
    for (const ExpectationReport& e : r.expectations)
        j["expectations"].push_back({{"name", e.name},
                                     {"at_most", e.is_upper_bound},
                                     {"stated", e.bound},
                                     {"seen", e.measured},
                                     {"kept", e.met}});
    j["counts"] = {{"servers", r.servers},
                   {"sidecars", r.sidecars},
                   {"requests", r.operations},
                   {"tries", r.client_requests},
                   {"attempts", r.attempts},
                   {"most_attempts", r.max_attempts},
                   {"held_back", r.delayed_failures},
                   {"fallen_servers", r.overloaded_servers},
                   {"connections", r.connections}};
    j["goodput"] = r.metrics.goodput;
    j["worst_class"] = r.metrics.min_class_goodput;
    j["worst_second"] = r.metrics.min_second_goodput;
    j["answered"] = r.metrics.answered_share;
    j["attempts_per_try"] = r.attempts_per_request;
    if (const SurgeReport& rush = r.metrics.surge; rush.present)
        j["rush"] = {{"from_ms", rush.start},           {"to_ms", rush.end},
                     {"settled", rush.settled_goodput}, {"onset", rush.onset_ratio},
                     {"settle_ms", rush.settling_time}, {"recover_ms", rush.recovery_time}};
    if (r.after_restart.offered_value > 0)
        j["restarted"] = {{"attempts", r.after_restart.attempts},
                          {"failed", r.after_restart.failed},
                          {"goodput", r.after_restart.goodput()}};
    for (const ClassReport& c : r.metrics.classes)
        j["classes"].push_back({{"name", c.name},
                                {"asked", c.requested},
                                {"in_aim", c.within_objective},
                                {"late", c.late},
                                {"refused", c.rejected},
                                {"failed", c.failed},
                                {"left", c.abandoned},
                                {"goodput", c.goodput()},
                                {"p50_ms", c.p50},
                                {"p90_ms", c.p90},
                                {"p99_ms", c.p99},
                                {"max_ms", c.max_latency}});
    j["seconds"] = ordered_json::array();
    for (const SecondReport& s : r.metrics.seconds)
        j["seconds"].push_back({{"asked", s.requested},
                                {"in_aim", s.within_objective},
                                {"goodput", s.goodput()},
                                {"p50_ms", s.p50},
                                {"p99_ms", s.p99}});
    for (std::size_t i = 0; i < r.metrics.servers.size(); ++i) {
        ordered_json work = ordered_json::array(), attempts = ordered_json::array();
        for (const ServerSecond& s : r.metrics.servers[i]) {
            work.push_back(s.work);
            attempts.push_back(s.attempts);
        }
        j["work_by_server"].push_back(
            {{"server", "s-" + std::to_string(i)}, {"work_ms", work}, {"attempts", attempts}});
    }
    j["faults"] = ordered_json::array();
    for (const FaultBand& f : r.faults)
        j["faults"].push_back({{"name", f.name}, {"who", f.targets}, {"from_ms", f.start}, {"to_ms", f.end}});
    j["steps"] = r.timeline;
    if (r.punctuality.measured)
        j["lateness"] = {{"p99_ms", r.punctuality.p99},
                         {"max_ms", r.punctuality.max},
                         {"late_share", r.punctuality.late_share}};
    j["sidecars"] = sidecars_json(r.sidecar_activity);
    j["notes"] = r.notes;
    j["log"] = {{"lines", r.log_lines}, {"fnv1a", fmt::format("{:016x}", r.log_hash)}};
    return j;
}

Report report_from_json(const std::string& text) {
    const ordered_json j = ordered_json::parse(text, nullptr, false);
    if (j.is_discarded()) throw std::invalid_argument("the report is not JSON");
    try {
        Report r;
        r.scenario = j.at("incident").get<std::string>();
        r.balancer = j.at("balancer").get<std::string>();
        r.seed = j.at("seed").get<std::uint64_t>();
        for (const auto& rule : j.at("rules"))
            r.invariants.push_back(
                {rule.at("name").get<std::string>(), rule.at("broken").get<std::uint64_t>(), {}});
        for (const auto& e : j.at("expectations"))
            r.expectations.push_back({e.at("name").get<std::string>(), e.at("stated").get<double>(),
                                      e.at("seen").get<double>(), e.at("at_most").get<bool>(),
                                      e.at("kept").get<bool>()});
        r.metrics.goodput = j.at("goodput").get<double>();
        r.metrics.min_class_goodput = j.at("worst_class").get<double>();
        r.metrics.min_second_goodput = j.at("worst_second").get<double>();
        r.attempts_per_request = j.at("attempts_per_try").get<double>();
        for (const auto& c : j.at("classes")) {
            ClassReport report;
            report.name = c.at("name").get<std::string>();
            report.p50 = c.at("p50_ms").get<double>(), report.p99 = c.at("p99_ms").get<double>();
            report.offered_value = 1, report.delivered_value = c.at("goodput").get<double>();
            r.metrics.classes.push_back(std::move(report));
        }
        return r;
    } catch (const ordered_json::exception& error) {
        throw std::invalid_argument(std::string("the report is not one of ours: ") + error.what());
    }
}

std::string comparison_of(const Report& a, const Report& b) {
    std::string t = fmt::format("{:<28}{:>22}{:>22}\n", a.scenario, a.balancer, b.balancer);
    const auto row = [&](const std::string& name, double x, double y, int digits) {
        t += fmt::format("{:<28}{:>22.{}f}{:>22.{}f}\n", name, x, digits, y, digits);
    };
    for (std::size_t i = 0; i < a.invariants.size(); ++i)
        t += fmt::format(
            "{:<28}{:>22}{:>22}\n", a.invariants[i].name,
            a.invariants[i].violations ? fmt::format("BROKEN {}", a.invariants[i].violations) : "kept",
            b.invariants[i].violations ? fmt::format("BROKEN {}", b.invariants[i].violations) : "kept");
    row("goodput", a.metrics.goodput, b.metrics.goodput, 4);
    row("worst class", a.metrics.min_class_goodput, b.metrics.min_class_goodput, 4);
    row("worst second", a.metrics.min_second_goodput, b.metrics.min_second_goodput, 4);
    row("attempts a try", a.attempts_per_request, b.attempts_per_request, 4);
    for (std::size_t i = 0; i < a.metrics.classes.size() && i < b.metrics.classes.size(); ++i) {
        const ClassReport &x = a.metrics.classes[i], &y = b.metrics.classes[i];
        row(x.name + " goodput", x.goodput(), y.goodput(), 4);
        row(x.name + " p50 ms", x.p50, y.p50, 0);
        row(x.name + " p99 ms", x.p99, y.p99, 0);
    }
    return t;
}

}  // namespace elmbay::simulation
