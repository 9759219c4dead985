/// @file
/// Reports as JSON. The keys of the JSON are part of the program's interface.
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "simulation/reports/report.hpp"

namespace elmbay::simulation {

namespace {

using nlohmann::ordered_json;

void write_verdict(const Report& report, ordered_json& json) {
    json["incident"] = report.scenario;
    json["mode"] = report.mode;
    json["balancer"] = report.balancer;
    json["seed"] = report.seed;
    json["length_ms"] = report.duration;
    json["passed"] = report.passed();
    json["trusted"] = report.timer_lateness.is_acceptable();
    json["rules_kept"] = report.invariants_hold();
    json["expectations_kept"] = report.expectations_met();
    for (const InvariantReport& invariant : report.invariants) {
        json["rules"].push_back(
            {{"name", invariant.name}, {"broken", invariant.violations}, {"examples", invariant.examples}});
    }
    json["expectations"] = ordered_json::array();
    for (const ExpectationReport& expectation : report.expectations) {
        json["expectations"].push_back({{"name", expectation.name},
                                        {"at_most", expectation.is_upper_bound},
                                        {"stated", expectation.bound},
                                        {"seen", expectation.measured},
                                        {"kept", expectation.met}});
    }
}

void write_counts(const Report& report, ordered_json& json) {
    json["counts"] = {{"servers", report.servers},
                      {"sidecars", report.sidecars},
                      {"requests", report.operations},
                      {"tries", report.client_requests},
                      {"attempts", report.attempts},
                      {"most_attempts", report.max_attempts},
                      {"held_back", report.delayed_failures},
                      {"fallen_servers", report.overloaded_servers},
                      {"connections", report.connections}};
}

void write_service(const Report& report, ordered_json& json) {
    const ServiceMetrics::Report& metrics = report.metrics;
    json["goodput"] = metrics.goodput;
    json["worst_class"] = metrics.min_class_goodput;
    json["worst_second"] = metrics.min_second_goodput;
    json["answered"] = metrics.answered_share;
    json["attempts_per_try"] = report.attempts_per_request;
    if (const SurgeReport& surge = metrics.surge; surge.present) {
        json["rush"] = {{"from_ms", surge.start},           {"to_ms", surge.end},
                        {"settled", surge.settled_goodput}, {"onset", surge.onset_ratio},
                        {"settle_ms", surge.settling_time}, {"recover_ms", surge.recovery_time}};
    }
    if (report.after_restart.offered_value > 0) {
        json["restarted"] = {{"attempts", report.after_restart.attempts},
                             {"failed", report.after_restart.failed},
                             {"goodput", report.after_restart.goodput()}};
    }
}

void write_classes(const ServiceMetrics::Report& metrics, ordered_json& json) {
    for (const ClassReport& row : metrics.classes) {
        json["classes"].push_back({{"name", row.name},
                                   {"asked", row.requested},
                                   {"in_aim", row.within_objective},
                                   {"late", row.late},
                                   {"refused", row.rejected},
                                   {"failed", row.failed},
                                   {"left", row.abandoned},
                                   {"goodput", row.goodput()},
                                   {"p50_ms", row.p50},
                                   {"p90_ms", row.p90},
                                   {"p99_ms", row.p99},
                                   {"max_ms", row.max_latency}});
    }
}

void write_seconds(const ServiceMetrics::Report& metrics, ordered_json& json) {
    json["seconds"] = ordered_json::array();
    for (const SecondReport& second : metrics.seconds) {
        json["seconds"].push_back({{"asked", second.requested},
                                   {"in_aim", second.within_objective},
                                   {"goodput", second.goodput()},
                                   {"p50_ms", second.p50},
                                   {"p99_ms", second.p99}});
    }
}

void write_servers(const ServiceMetrics::Report& metrics, ordered_json& json) {
    for (std::size_t i = 0; i < metrics.servers.size(); ++i) {
        ordered_json work = ordered_json::array();
        ordered_json attempts = ordered_json::array();
        for (const ServerSecond& second : metrics.servers[i]) {
            work.push_back(second.work);
            attempts.push_back(second.attempts);
        }
        json["work_by_server"].push_back(
            {{"server", "s-" + std::to_string(i)}, {"work_ms", work}, {"attempts", attempts}});
    }
}

void write_faults(const Report& report, ordered_json& json) {
    json["faults"] = ordered_json::array();
    for (const FaultBand& fault : report.faults) {
        json["faults"].push_back(
            {{"name", fault.name}, {"who", fault.targets}, {"from_ms", fault.start}, {"to_ms", fault.end}});
    }
    json["steps"] = report.timeline;
}

void write_timer_lateness(const TimerLateness& timer_lateness, ordered_json& json) {
    if (!timer_lateness.measured) return;
    json["lateness"] = {{"p99_ms", timer_lateness.p99},
                        {"max_ms", timer_lateness.max},
                        {"late_share", timer_lateness.late_share}};
}

ordered_json spans_json(const std::vector<SidecarSpan>& spans) {
    ordered_json json = ordered_json::array();
    for (const SidecarSpan& span : spans) {
        json.push_back({{"sidecar", "n-" + std::to_string(span.sidecar)},
                        {"from_ms", span.start},
                        {"to_ms", span.end},
                        {"what", span.description}});
    }
    return json;
}

ordered_json message_seconds_json(const SidecarActivity& activity) {
    ordered_json json = ordered_json::array();
    if (activity.messages_sent == 0) return json;
    for (const MessageSecond& second : activity.message_seconds) {
        json.push_back({{"sent", second.sent}, {"delivered", second.delivered}, {"bytes", second.bytes}});
    }
    return json;
}

ordered_json sidecars_json(const SidecarActivity& activity) {
    ordered_json json;
    json["lives"] = spans_json(activity.process_spans);
    json["troubles"] = spans_json(activity.impaired_spans);
    json["cuts"] = ordered_json::array();
    for (const LinkFaultReport& fault : activity.link_faults) {
        json["cuts"].push_back({{"name", fault.name},
                                {"what", fault.description},
                                {"from_ms", fault.start},
                                {"to_ms", fault.end}});
    }
    json["messages"] = {{"sent", activity.messages_sent},  {"delivered", activity.messages_delivered},
                        {"bytes", activity.message_bytes}, {"too_long", activity.oversized_messages},
                        {"price", activity.goodput_cost},  {"seconds", message_seconds_json(activity)},
                        {"heard", activity.deliveries}};
    return json;
}

InvariantReport invariant_from_json(const ordered_json& json) {
    return {json.at("name").get<std::string>(), json.at("broken").get<std::uint64_t>(), {}};
}

ExpectationReport expectation_from_json(const ordered_json& json) {
    return {json.at("name").get<std::string>(), json.at("stated").get<double>(),
            json.at("seen").get<double>(), json.at("at_most").get<bool>(), json.at("kept").get<bool>()};
}

/// The JSON contains no offered and delivered value. The result represents the goodput as the value delivered
/// of an offered value of 1.
ClassReport class_from_json(const ordered_json& json) {
    ClassReport report;
    report.name = json.at("name").get<std::string>();
    report.p50 = json.at("p50_ms").get<double>();
    report.p99 = json.at("p99_ms").get<double>();
    report.offered_value = 1;
    report.delivered_value = json.at("goodput").get<double>();
    return report;
}

Report read_report(const ordered_json& json) {
    Report report;
    report.scenario = json.at("incident").get<std::string>();
    report.balancer = json.at("balancer").get<std::string>();
    report.seed = json.at("seed").get<std::uint64_t>();
    for (const auto& rule : json.at("rules")) report.invariants.push_back(invariant_from_json(rule));
    for (const auto& entry : json.at("expectations")) {
        report.expectations.push_back(expectation_from_json(entry));
    }
    report.metrics.goodput = json.at("goodput").get<double>();
    report.metrics.min_class_goodput = json.at("worst_class").get<double>();
    report.metrics.min_second_goodput = json.at("worst_second").get<double>();
    report.attempts_per_request = json.at("attempts_per_try").get<double>();
    for (const auto& entry : json.at("classes")) report.metrics.classes.push_back(class_from_json(entry));
    return report;
}

}  // namespace

ordered_json json_of(const Report& report) {
    ordered_json json;
    write_verdict(report, json);
    write_counts(report, json);
    write_service(report, json);
    write_classes(report.metrics, json);
    write_seconds(report.metrics, json);
    write_servers(report.metrics, json);
    write_faults(report, json);
    write_timer_lateness(report.timer_lateness, json);
    json["sidecars"] = sidecars_json(report.sidecar_activity);
    json["notes"] = report.notes;
    json["log"] = {{"lines", report.log_lines}, {"fnv1a", fmt::format("{:016x}", report.log_hash)}};
    return json;
}

Report report_from_json(const std::string& text) {
    const ordered_json json = ordered_json::parse(text, nullptr, false);
    if (json.is_discarded()) throw std::invalid_argument("the report is not JSON");
    try {
        return read_report(json);
    } catch (const ordered_json::exception& error) {
        throw std::invalid_argument(std::string("the JSON is not a report of this program: ") + error.what());
    }
}

}  // namespace elmbay::simulation
