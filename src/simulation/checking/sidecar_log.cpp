#include "simulation/checking/sidecar_log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace elmbay::simulation {

namespace {

std::string words_of(const fault_proxy::Rule& rule) {
    std::string ends;
    if (rule.groups.empty()) {
        ends = fmt::format("{} -> {}", fmt::join(rule.from, " "), fmt::join(rule.to, " "));
    } else {
        for (const auto& group : rule.groups)
            ends += (ends.empty() ? "" : " | ") + fmt::format("{}", fmt::join(group, " "));
    }
    constexpr std::size_t kMaxShown = 120;  // a split of hundreds would fill a page
    if (ends.size() > kMaxShown) ends.replace(kMaxShown, std::string::npos, "...");
    return std::string(fault_proxy::name_of(rule.type)) + " " + ends;
}

}  // namespace

SidecarActivityLog::SidecarActivityLog(const Scenario& scenario) : scenario_(scenario) {
    const auto seconds = static_cast<std::size_t>(scenario.overview.duration / 1000) + 1;
    messages_.message_seconds.resize(seconds);
    if (scenario.sidecars.count <= kMaxMatrixSidecars)
        messages_.deliveries.assign(scenario.sidecars.count,
                                    std::vector<std::uint64_t>(scenario.sidecars.count, 0));
}

void SidecarActivityLog::close_last_span(std::vector<SidecarSpan>& spans, std::uint32_t who, Millis now,
                                         const std::string& how) {
    for (auto span = spans.rbegin(); span != spans.rend(); ++span) {
        if (span->sidecar != who || span->end >= 0) continue;
        span->end = std::max(span->start, now);
        if (!how.empty()) span->description += ", " + how;
        return;
    }
}

void SidecarActivityLog::on_started(Millis now, std::uint32_t who, const std::string& build) {
    lives_.push_back({who, std::max(0.0, now), -1, build});
}
void SidecarActivityLog::on_ended(Millis now, std::uint32_t who, const std::string& how) {
    close_last_span(lives_, who, now, how);
    close_last_span(pauses_, who, now, "");
}
void SidecarActivityLog::on_paused(Millis now, std::uint32_t who) {
    pauses_.push_back({who, now, -1, "paused"});
}
void SidecarActivityLog::on_resumed(Millis now, std::uint32_t who) { close_last_span(pauses_, who, now, ""); }
void SidecarActivityLog::on_cpu_share_changed(Millis now, std::uint32_t who, double share) {
    close_last_span(starved_, who, now, "");
    if (share < 1) starved_.push_back({who, now, -1, fmt::format("{:.0f}% of its core", 100 * share)});
}

MessageSecond* SidecarActivityLog::second(Millis now) {
    const auto at = static_cast<std::size_t>(std::max(0.0, now) / 1000);
    return at < messages_.message_seconds.size() ? &messages_.message_seconds[at] : nullptr;
}
void SidecarActivityLog::on_message_sent(Millis now, std::size_t bytes) {
    ++messages_.messages_sent;
    messages_.oversized_messages += bytes > MessagesSpec::kMaxMessageBytes;
    if (MessageSecond* s = second(now)) ++s->sent;
}
void SidecarActivityLog::on_message_delivered(Millis now, std::uint32_t from, std::uint32_t to,
                                              std::size_t bytes) {
    ++messages_.messages_delivered;
    messages_.message_bytes += bytes;
    if (MessageSecond* s = second(now)) ++s->delivered, s->bytes += bytes;
    if (from < messages_.deliveries.size() && to < messages_.deliveries.size())
        ++messages_.deliveries[from][to];
}

SidecarActivity SidecarActivityLog::report(Millis now, std::uint64_t first_tries) const {
    SidecarActivity r = messages_;
    r.process_spans = lives_;
    r.impaired_spans = pauses_;
    r.impaired_spans.insert(r.impaired_spans.end(), starved_.begin(), starved_.end());
    for (auto* spans : {&r.process_spans, &r.impaired_spans})
        for (SidecarSpan& span : *spans)
            if (span.end < 0) span.end = now;
    for (const fault_proxy::Rule& rule : scenario_.link_rules())
        r.link_faults.push_back(
            {rule.name, words_of(rule), rule.starts_at,
             rule.duration > 0 ? rule.starts_at + rule.duration : scenario_.overview.duration});
    if (first_tries > 0)
        r.goodput_cost =
            scenario_.messages.goodput_cost * static_cast<double>(r.message_bytes) /
            (static_cast<double>(MessagesSpec::kMaxMessageBytes) * static_cast<double>(first_tries));
    if (r.messages_delivered == 0) r.deliveries.clear();
    return r;
}

}  // namespace elmbay::simulation
