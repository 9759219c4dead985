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

void add_expectations(Report& r, const ExpectSpec& e) {
    Millis p99 = 0;
    for (const ClassReport& c : r.metrics.classes) p99 = std::max(p99, c.p99);
    const ExpectSpec none;
    if (e.goodput != none.goodput) expect(r, "goodput", e.goodput, r.metrics.goodput, false);
    if (e.worst_class != none.worst_class)
        expect(r, "worst_class", e.worst_class, r.metrics.worst_class, false);
    if (e.worst_second != none.worst_second)
        expect(r, "worst_second", e.worst_second, r.metrics.worst_second, false);
    if (e.answered != none.answered) expect(r, "answered", e.answered, r.metrics.answered, false);
    if (e.attempts != none.attempts) expect(r, "attempts", e.attempts, r.attempts_per_try, true);
    if (e.held_back != none.held_back)
        expect(r, "held_back", e.held_back,
               r.tries > 0 ? static_cast<double>(r.held_back) / static_cast<double>(r.tries) : 0, true);
    if (e.p99 != none.p99) expect(r, "p99", e.p99, p99, true);
    if (e.onset != none.onset) expect(r, "onset", e.onset, r.metrics.rush.onset, false);
    if (e.settle != none.settle) expect(r, "settle", e.settle, r.metrics.rush.settle, true);
    if (e.recover != none.recover) expect(r, "recover", e.recover, r.metrics.rush.recover, true);
}

std::string whom(const FaultSpec& f) {
    if (f.hit.empty()) return "";
    std::string text;
    const char* prefix = hits_sidecars(f.kind) ? "n-" : "s-";
    for (std::size_t i = 0; i < f.hit.size() && i < 6; ++i)
        text += (i > 0 ? " " : "") + std::string(prefix) + std::to_string(f.hit[i]);
    if (f.hit.size() > 6) text += fmt::format(" and {} more", f.hit.size() - 6);
    return text;
}

std::string sidecars_text(const Report& r) {
    const SidecarsReport& side = r.side;
    std::string t;
    if (side.lives.size() > r.sidecars || !side.troubles.empty() || !side.cuts.empty()) {
        Millis still = 0;
        for (const SidecarSpan& s : side.troubles) still += s.to - s.from;
        t += fmt::format(
            "  sidecars: {} lives of {}; {} times paused or starved, {:.1f}s in all; {} rules on links\n",
            side.lives.size(), r.sidecars, side.troubles.size(), still / 1000, side.cuts.size());
    }
    if (side.sent > 0) {
        const double seconds = std::max(1.0, r.length / 1000) * static_cast<double>(r.sidecars);
        t += fmt::format(
            "  messages: {} sent, {} delivered; a sidecar {:.2f} and {:.0f} bytes a second; price {:.4f} of "
            "goodput{}\n",
            side.sent, side.delivered, static_cast<double>(side.delivered) / seconds,
            static_cast<double>(side.bytes) / seconds, side.price,
            side.too_long ? fmt::format("; {} TOO LONG", side.too_long) : "");
    }
    return t;
}

ordered_json sidecars_json(const SidecarsReport& side) {
    ordered_json j;
    const auto spans = [](const std::vector<SidecarSpan>& list) {
        ordered_json out = ordered_json::array();
        for (const SidecarSpan& s : list)
            out.push_back({{"sidecar", "n-" + std::to_string(s.sidecar)},
                           {"from_ms", s.from},
                           {"to_ms", s.to},
                           {"what", s.what}});
        return out;
    };
    j["lives"] = spans(side.lives);
    j["troubles"] = spans(side.troubles);
    j["cuts"] = ordered_json::array();
    for (const CutReport& c : side.cuts)
        j["cuts"].push_back({{"name", c.name}, {"what", c.what}, {"from_ms", c.from}, {"to_ms", c.to}});
    ordered_json seconds = ordered_json::array();
    if (side.sent > 0)
        for (const MessageSecond& s : side.seconds)
            seconds.push_back({{"sent", s.sent}, {"delivered", s.delivered}, {"bytes", s.bytes}});
    j["messages"] = {{"sent", side.sent},         {"delivered", side.delivered}, {"bytes", side.bytes},
                     {"too_long", side.too_long}, {"price", side.price},         {"seconds", seconds},
                     {"heard", side.heard}};
    return j;
}

std::string verdict(const Report& r) {
    if (!r.punctuality.trusted()) return "NOT TO BE TRUSTED: the emulator ran late";
    if (!r.rules_kept()) return "BROKEN";
    return r.expectations_kept() ? "KEPT" : "RULES KEPT, EXPECTATIONS NOT MET";
}

}  // namespace

bool Report::rules_kept() const {
    return std::all_of(rules.begin(), rules.end(), [](const RuleReport& r) { return r.broken == 0; });
}
bool Report::expectations_kept() const {
    return std::all_of(expectations.begin(), expectations.end(),
                       [](const ExpectationReport& e) { return e.kept; });
}

Report make_report(const Scenario& scenario, const ClientModel& clients, const InvariantChecker& checker,
                   const ServiceMetrics& metrics) {
    Report r;
    r.scenario = scenario.name;
    r.about = scenario.overview.about;
    r.seed = scenario.overview.seed;
    r.length = scenario.overview.length;
    r.servers = scenario.fleet.servers;
    r.sidecars = scenario.sidecars.count;
    r.requests = clients.arrivals().size();
    r.tries = checker.tries();
    r.attempts = checker.attempts();
    r.most_attempts = checker.most_attempts();
    r.attempts_per_try = r.tries > 0 ? static_cast<double>(r.attempts) / static_cast<double>(r.tries) : 0;
    r.held_back = checker.held_back();
    r.fallen = checker.fallen();
    for (std::size_t i = 0; i < kRules; ++i) {
        const auto& finding = checker.finding(static_cast<Rule>(i));
        r.rules.push_back({name_of(static_cast<Rule>(i)), finding.count, finding.examples});
    }
    r.metrics = metrics.report();
    for (const FaultSpec& f : scenario.faults) {
        const Millis last = f.begins(f.hit.empty() ? 0 : f.hit.size() - 1);
        Millis to = f.lasts > 0 ? last + f.lasts : scenario.overview.length;
        if (f.kind == FaultKind::drain) to = last + f.linger + f.lasts;
        if (f.kind == FaultKind::join) to = f.at + scenario.fleet.slow_start_duration;
        r.faults.push_back({f.name, whom(f), f.at, std::min(to, scenario.overview.length)});
    }
    for (const Step& s : timeline(scenario)) r.steps.push_back(text_of(s));
    add_expectations(r, scenario.expect);
    return r;
}

std::string text_of(const Report& r) {
    std::string t =
        fmt::format("{} ({}, {}, seed {}): {}\n", r.scenario, r.mode, r.balancer, r.seed, verdict(r));
    if (!r.about.empty()) t += "  " + r.about + "\n";
    t += fmt::format("  {} servers, {} sidecars, {:.0f}s, {} requests, {} tries, {} attempts\n\n", r.servers,
                     r.sidecars, r.length / 1000, r.requests, r.tries, r.attempts);
    for (const RuleReport& rule : r.rules) {
        t += fmt::format("  {:<32} {}\n", rule.name,
                         rule.broken == 0 ? "kept" : fmt::format("BROKEN {} times", rule.broken));
        for (const std::string& example : rule.examples) t += "      " + example + "\n";
    }
    for (const ExpectationReport& e : r.expectations)
        t += fmt::format("  expected {:<23} {} ({} {:.4g}, seen {:.4g})\n", e.name,
                         e.kept ? "met" : "NOT MET", e.at_most ? "at most" : "at least", e.stated, e.seen);
    t += fmt::format(
        "\n  goodput {:.3f}, worst class {:.3f}, worst second {:.3f}; attempts a try {:.3f}, most {}"
        "; sat on {}; fell over {}\n",
        r.metrics.goodput, r.metrics.worst_class, r.metrics.worst_second, r.attempts_per_try, r.most_attempts,
        r.held_back, r.fallen);
    if (const RushReport& rush = r.metrics.rush; rush.any)
        t += fmt::format(
            "  rush: goodput {:.3f} once settled, {:.3f} of that in the worse of its first two seconds; "
            "settled after "
            "{:.1f}s, recovered {:.1f}s after its end\n",
            rush.settled, rush.onset, rush.settle / 1000, rush.recover / 1000);
    if (r.restarted.worth_asked > 0)
        t += fmt::format("  first {:.0f}s after restarts: goodput {:.3f}; {} attempts, {} of them failed\n",
                         Report::kAfterRestart / 1000, r.restarted.goodput(), r.restarted.attempts,
                         r.restarted.failed);
    t += sidecars_text(r);
    t += fmt::format("\n  {:<14}{:>8}{:>9}{:>7}{:>9}{:>8}{:>8}{:>8}{:>8}{:>8}\n", "class", "asked", "in aim",
                     "late", "refused", "failed", "p50", "p90", "p99", "max ms");
    for (const ClassReport& c : r.metrics.classes)
        t += fmt::format("  {:<14}{:>8}{:>9}{:>7}{:>9}{:>8}{:>8.0f}{:>8.0f}{:>8.0f}{:>8.0f}\n", c.name,
                         c.asked, c.in_aim, c.late, c.refused, c.failed, c.p50, c.p90, c.p99, c.most);
    if (r.punctuality.measured)
        t += fmt::format(
            "\n  the emulator's own lateness: p99 {:.1f}ms, most {:.1f}ms, {:.2f}% over {:.0f}ms\n",
            r.punctuality.p99, r.punctuality.most, 100 * r.punctuality.late_share, Punctuality::kLate);
    for (const std::string& note : r.notes) t += "  note: " + note + "\n";
    return t;
}

ordered_json json_of(const Report& r) {
    ordered_json j;
    j["incident"] = r.scenario;
    j["mode"] = r.mode;
    j["balancer"] = r.balancer;
    j["seed"] = r.seed;
    j["length_ms"] = r.length;
    j["passed"] = r.passed();
    j["trusted"] = r.punctuality.trusted();
    j["rules_kept"] = r.rules_kept();
    j["expectations_kept"] = r.expectations_kept();
    for (const RuleReport& rule : r.rules)
        j["rules"].push_back({{"name", rule.name}, {"broken", rule.broken}, {"examples", rule.examples}});
    j["expectations"] = ordered_json::array();
    for (const ExpectationReport& e : r.expectations)
        j["expectations"].push_back({{"name", e.name},
                                     {"at_most", e.at_most},
                                     {"stated", e.stated},
                                     {"seen", e.seen},
                                     {"kept", e.kept}});
    j["counts"] = {
        {"servers", r.servers},     {"sidecars", r.sidecars},     {"requests", r.requests},
        {"tries", r.tries},         {"attempts", r.attempts},     {"most_attempts", r.most_attempts},
        {"held_back", r.held_back}, {"fallen_servers", r.fallen}, {"connections", r.connections}};
    j["goodput"] = r.metrics.goodput;
    j["worst_class"] = r.metrics.worst_class;
    j["worst_second"] = r.metrics.worst_second;
    j["answered"] = r.metrics.answered;
    j["attempts_per_try"] = r.attempts_per_try;
    if (const RushReport& rush = r.metrics.rush; rush.any)
        j["rush"] = {{"from_ms", rush.from}, {"to_ms", rush.to},         {"settled", rush.settled},
                     {"onset", rush.onset},  {"settle_ms", rush.settle}, {"recover_ms", rush.recover}};
    if (r.restarted.worth_asked > 0)
        j["restarted"] = {{"attempts", r.restarted.attempts},
                          {"failed", r.restarted.failed},
                          {"goodput", r.restarted.goodput()}};
    for (const ClassReport& c : r.metrics.classes)
        j["classes"].push_back({{"name", c.name},
                                {"asked", c.asked},
                                {"in_aim", c.in_aim},
                                {"late", c.late},
                                {"refused", c.refused},
                                {"failed", c.failed},
                                {"left", c.left},
                                {"goodput", c.goodput()},
                                {"p50_ms", c.p50},
                                {"p90_ms", c.p90},
                                {"p99_ms", c.p99},
                                {"max_ms", c.most}});
    j["seconds"] = ordered_json::array();
    for (const SecondReport& s : r.metrics.seconds)
        j["seconds"].push_back({{"asked", s.asked},
                                {"in_aim", s.in_aim},
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
        j["faults"].push_back({{"name", f.name}, {"who", f.who}, {"from_ms", f.from}, {"to_ms", f.to}});
    j["steps"] = r.steps;
    if (r.punctuality.measured)
        j["lateness"] = {{"p99_ms", r.punctuality.p99},
                         {"max_ms", r.punctuality.most},
                         {"late_share", r.punctuality.late_share}};
    j["sidecars"] = sidecars_json(r.side);
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
            r.rules.push_back(
                {rule.at("name").get<std::string>(), rule.at("broken").get<std::uint64_t>(), {}});
        for (const auto& e : j.at("expectations"))
            r.expectations.push_back({e.at("name").get<std::string>(), e.at("stated").get<double>(),
                                      e.at("seen").get<double>(), e.at("at_most").get<bool>(),
                                      e.at("kept").get<bool>()});
        r.metrics.goodput = j.at("goodput").get<double>();
        r.metrics.worst_class = j.at("worst_class").get<double>();
        r.metrics.worst_second = j.at("worst_second").get<double>();
        r.attempts_per_try = j.at("attempts_per_try").get<double>();
        for (const auto& c : j.at("classes")) {
            ClassReport report;
            report.name = c.at("name").get<std::string>();
            report.p50 = c.at("p50_ms").get<double>(), report.p99 = c.at("p99_ms").get<double>();
            report.worth_asked = 1, report.worth_got = c.at("goodput").get<double>();
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
    for (std::size_t i = 0; i < a.rules.size(); ++i)
        t += fmt::format("{:<28}{:>22}{:>22}\n", a.rules[i].name,
                         a.rules[i].broken ? fmt::format("BROKEN {}", a.rules[i].broken) : "kept",
                         b.rules[i].broken ? fmt::format("BROKEN {}", b.rules[i].broken) : "kept");
    row("goodput", a.metrics.goodput, b.metrics.goodput, 4);
    row("worst class", a.metrics.worst_class, b.metrics.worst_class, 4);
    row("worst second", a.metrics.worst_second, b.metrics.worst_second, 4);
    row("attempts a try", a.attempts_per_try, b.attempts_per_try, 4);
    for (std::size_t i = 0; i < a.metrics.classes.size() && i < b.metrics.classes.size(); ++i) {
        const ClassReport &x = a.metrics.classes[i], &y = b.metrics.classes[i];
        row(x.name + " goodput", x.goodput(), y.goodput(), 4);
        row(x.name + " p50 ms", x.p50, y.p50, 0);
        row(x.name + " p99 ms", x.p99, y.p99, 0);
    }
    return t;
}

}  // namespace elmbay::simulation
