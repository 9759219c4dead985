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
    return std::string(fault_proxy::name_of(rule.act)) + " " + ends;
}

}  // namespace

SidecarLog::SidecarLog(const Scenario& scenario) : scenario_(scenario) {
    const auto seconds = static_cast<std::size_t>(scenario.overview.length / 1000) + 1;
    messages_.seconds.resize(seconds);
    if (scenario.sidecars.count <= kMaxInMatrix)
        messages_.heard.assign(scenario.sidecars.count,
                               std::vector<std::uint64_t>(scenario.sidecars.count, 0));
}

void SidecarLog::close(std::vector<SidecarSpan>& spans, std::uint32_t who, Millis now,
                       const std::string& how) {
    for (auto span = spans.rbegin(); span != spans.rend(); ++span) {
        if (span->sidecar != who || span->to >= 0) continue;
        span->to = std::max(span->from, now);
        if (!how.empty()) span->what += ", " + how;
        return;
    }
}

void SidecarLog::began(Millis now, std::uint32_t who, const std::string& build) {
    lives_.push_back({who, std::max(0.0, now), -1, build});
}
void SidecarLog::ended(Millis now, std::uint32_t who, const std::string& how) {
    close(lives_, who, now, how);
    close(pauses_, who, now, "");
}
void SidecarLog::paused(Millis now, std::uint32_t who) { pauses_.push_back({who, now, -1, "paused"}); }
void SidecarLog::woke(Millis now, std::uint32_t who) { close(pauses_, who, now, ""); }
void SidecarLog::starved(Millis now, std::uint32_t who, double share) {
    close(starved_, who, now, "");
    if (share < 1) starved_.push_back({who, now, -1, fmt::format("{:.0f}% of its core", 100 * share)});
}

MessageSecond* SidecarLog::second(Millis now) {
    const auto at = static_cast<std::size_t>(std::max(0.0, now) / 1000);
    return at < messages_.seconds.size() ? &messages_.seconds[at] : nullptr;
}
void SidecarLog::sent(Millis now, std::size_t bytes) {
    ++messages_.sent;
    messages_.too_long += bytes > MessagesSpec::kMaxMessage;
    if (MessageSecond* s = second(now)) ++s->sent;
}
void SidecarLog::delivered(Millis now, std::uint32_t from, std::uint32_t to, std::size_t bytes) {
    ++messages_.delivered;
    messages_.bytes += bytes;
    if (MessageSecond* s = second(now)) ++s->delivered, s->bytes += bytes;
    if (from < messages_.heard.size() && to < messages_.heard.size()) ++messages_.heard[from][to];
}

SidecarsReport SidecarLog::report(Millis now, std::uint64_t first_tries) const {
    SidecarsReport r = messages_;
    r.lives = lives_;
    r.troubles = pauses_;
    r.troubles.insert(r.troubles.end(), starved_.begin(), starved_.end());
    for (auto* spans : {&r.lives, &r.troubles})
        for (SidecarSpan& span : *spans)
            if (span.to < 0) span.to = now;
    for (const fault_proxy::Rule& rule : scenario_.link_rules())
        r.cuts.push_back({rule.name, words_of(rule), rule.at,
                          rule.lasts > 0 ? rule.at + rule.lasts : scenario_.overview.length});
    if (first_tries > 0)
        r.price = scenario_.messages.price * static_cast<double>(r.bytes) /
                  (static_cast<double>(MessagesSpec::kMaxMessage) * static_cast<double>(first_tries));
    if (r.delivered == 0) r.heard.clear();
    return r;
}

}  // namespace elmbay::simulation
