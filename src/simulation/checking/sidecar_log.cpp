#include "simulation/checking/sidecar_log.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace elmbay::simulation {

namespace {

/// End time of a span that is still open.
constexpr Millis kOpenEnd = -1;
/// Maximum characters for the link ends of a rule. The names of a partition with hundreds of processes would
/// fill a page.
constexpr std::size_t kMaxEndsLength = 120;

std::string ends_text(const fault_proxy::Rule& rule) {
    if (rule.groups.empty()) {
        return fmt::format("{} -> {}", fmt::join(rule.from, " "), fmt::join(rule.to, " "));
    }
    std::string text;
    for (const auto& group : rule.groups) {
        if (!text.empty()) text += " | ";
        text += fmt::format("{}", fmt::join(group, " "));
    }
    return text;
}

std::string description_of(const fault_proxy::Rule& rule) {
    std::string ends = ends_text(rule);
    if (ends.size() > kMaxEndsLength) ends.replace(kMaxEndsLength, std::string::npos, "...");
    return std::string(fault_proxy::name_of(rule.type)) + " " + ends;
}

/// Closes the last open span of the sidecar, if there is one.
void close_last_span(std::vector<SidecarSpan>& spans, std::uint32_t sidecar, Millis now,
                     const std::string& reason = "") {
    const auto span = std::find_if(spans.rbegin(), spans.rend(), [&](const SidecarSpan& candidate) {
        return candidate.sidecar == sidecar && candidate.end < 0;
    });
    if (span == spans.rend()) return;
    span->end = std::max(span->start, now);
    if (!reason.empty()) span->description += ", " + reason;
}

void close_all(std::vector<SidecarSpan>& spans, Millis now) {
    for (SidecarSpan& span : spans) {
        if (span.end < 0) span.end = now;
    }
}

}  // namespace

SidecarActivityLog::SidecarActivityLog(const Scenario& scenario) : scenario_(scenario) {
    const auto seconds = static_cast<std::size_t>(scenario.overview.duration / 1000) + 1;
    messages_.message_seconds.resize(seconds);
    const std::size_t sidecars = scenario.sidecars.count;
    if (sidecars <= kMaxMatrixSidecars) {
        messages_.deliveries.assign(sidecars, std::vector<std::uint64_t>(sidecars, 0));
    }
}

void SidecarActivityLog::on_started(Millis now, std::uint32_t sidecar, const std::string& build) {
    processes_.push_back({sidecar, std::max(0.0, now), kOpenEnd, build});
}

void SidecarActivityLog::on_ended(Millis now, std::uint32_t sidecar, const std::string& reason) {
    close_last_span(processes_, sidecar, now, reason);
    close_last_span(pauses_, sidecar, now);
}

void SidecarActivityLog::on_paused(Millis now, std::uint32_t sidecar) {
    pauses_.push_back({sidecar, now, kOpenEnd, "paused"});
}

void SidecarActivityLog::on_resumed(Millis now, std::uint32_t sidecar) {
    close_last_span(pauses_, sidecar, now);
}

void SidecarActivityLog::on_cpu_share_changed(Millis now, std::uint32_t sidecar, double share) {
    close_last_span(cpu_limits_, sidecar, now);
    if (share >= 1) return;
    cpu_limits_.push_back({sidecar, now, kOpenEnd, fmt::format("{:.0f}% of its core", 100 * share)});
}

MessageSecond* SidecarActivityLog::second_at(Millis now) {
    const auto index = static_cast<std::size_t>(std::max(0.0, now) / 1000);
    return index < messages_.message_seconds.size() ? &messages_.message_seconds[index] : nullptr;
}

void SidecarActivityLog::on_message_sent(Millis now, std::size_t bytes) {
    ++messages_.messages_sent;
    if (bytes > MessagesSpec::kMaxMessageBytes) ++messages_.oversized_messages;
    if (MessageSecond* const second = second_at(now)) ++second->sent;
}

void SidecarActivityLog::on_message_delivered(Millis now, std::uint32_t from, std::uint32_t to,
                                              std::size_t bytes) {
    ++messages_.messages_delivered;
    messages_.message_bytes += bytes;
    if (MessageSecond* const second = second_at(now)) {
        ++second->delivered;
        second->bytes += bytes;
    }
    const std::size_t matrix_size = messages_.deliveries.size();
    if (from < matrix_size && to < matrix_size) ++messages_.deliveries[from][to];
}

SidecarActivity SidecarActivityLog::report(Millis now, std::uint64_t operations) const {
    SidecarActivity activity = messages_;
    activity.process_spans = processes_;
    close_all(activity.process_spans, now);
    activity.impaired_spans = pauses_;
    activity.impaired_spans.insert(activity.impaired_spans.end(), cpu_limits_.begin(), cpu_limits_.end());
    close_all(activity.impaired_spans, now);
    for (const fault_proxy::Rule& rule : scenario_.link_rules()) {
        const Millis end = rule.duration > 0 ? rule.starts_at + rule.duration : scenario_.overview.duration;
        activity.link_faults.push_back({rule.name, description_of(rule), rule.starts_at, end});
    }
    if (operations > 0) {
        const double max_bytes =
            static_cast<double>(MessagesSpec::kMaxMessageBytes) * static_cast<double>(operations);
        activity.goodput_cost =
            scenario_.messages.goodput_cost * static_cast<double>(activity.message_bytes) / max_bytes;
    }
    if (activity.messages_delivered == 0) activity.deliveries.clear();
    return activity;
}

}  // namespace elmbay::simulation
