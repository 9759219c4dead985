#include "sidecar/log_events.hpp"

#include <fmt/format.h>

#include "base/log_line.hpp"
#include "sidecar/endpoint_registry.hpp"

namespace elmbay {

namespace {

constexpr Millis kMillisPerSecond = 1000;

}  // namespace

std::string cluster_not_allowed_event() {
    return "component=cluster event=messages_not_allowed setting=limits.may-tell";
}

std::string list_unconfirmed_event() {
    return "component=sidecar event=sending_suspended reason=list_unconfirmed";
}

std::string list_confirmed_event() { return "component=sidecar event=sending_resumed"; }

std::optional<std::string> MemberChangeLog::observe(const cluster::MemberChange& change) {
    if (change.at - second_started_at_ >= kMillisPerSecond) {
        second_started_at_ = change.at;
        changes_this_second_ = 0;
    }
    ++changes_this_second_;
    if (changes_this_second_ > kMaxPerSecond) return {};
    const bool is_last_line = changes_this_second_ == kMaxPerSecond;
    return fmt::format(
        "component=cluster event=member_changed member={} before={} after={} reason={} rest_suppressed={}",
        change.member_id, to_string(change.before), to_string(change.after), quoted_log_value(change.reason),
        is_last_line ? "yes" : "no");
}

std::optional<std::string> SkippedServersLog::observe(Millis now, std::size_t skipped) {
    const bool is_within_min_interval = last_logged_at_ && now < *last_logged_at_ + kMinInterval;
    if (skipped == 0 || is_within_min_interval) return {};
    last_logged_at_ = now;
    return fmt::format("component=discovery event=servers_skipped skipped={} max_listed={} max_uid_bytes={}",
                       skipped, EndpointRegistry::kMaxListed, EndpointRegistry::kMaxUidBytes);
}

}  // namespace elmbay
