#include "net/log_events.hpp"

#include <fmt/format.h>

#include "base/log_line.hpp"

namespace elmbay {

void log_event(std::string_view component, std::string_view event, std::string_view error) {
    write_log_line(fmt::format("component={} event={} error={}", component, event, quoted_log_value(error)));
}

std::string AcceptingPausedLog::line(Millis now, const ClientConnectionCounts& connections) {
    last_logged_at_ = now;
    return fmt::format(
        "component=listener event=accepting_paused connections={} reading={} in_progress={} writing={} "
        "lingering={} idle={} idle_unread={} rejected={} rejected_unread={}",
        connections.total(), connections.reading_request, connections.request_in_progress,
        connections.writing_response, connections.lingering_close, connections.idle,
        connections.idle_with_unread, connections.rejected, connections.rejected_with_unread);
}

}  // namespace elmbay
