#include "state/log_events.hpp"

#include <fmt/format.h>

#include <string_view>

namespace elmbay::state {

namespace {

std::string quote(std::string_view text) {
    std::string out = "\"";
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool is_control = byte < 0x20 || byte == 0x7F;
        if (character == '"' || character == '\\') out += '\\';
        if (is_control)
            out += fmt::format("\\x{:02x}", byte);
        else
            out += character;
    }
    return out + "\"";
}

std::string event_prefix(std::string_view name) { return fmt::format("component=state event={}", name); }

bool is_failing(const SnapshotWriter::Status& status) { return status.hanging || status.last_error; }

std::string format_load_error(const std::error_code& error, const std::string& directory) {
    const bool is_permanent = error == StateError::load_timed_out || error == StateError::no_writer_thread;
    const std::string_view name = error == StateError::directory_in_use ? "directory_in_use" : "open_failed";
    return fmt::format("{} directory={} error={} retried={}", event_prefix(name), quote(directory),
                       quote(error.message()), is_permanent ? "no" : "yes");
}

std::string format_warning(const LoadWarning& warning, const std::string& directory) {
    if (warning.file.empty())
        return fmt::format("{} directory={} error={}", event_prefix("directory_unreadable"), quote(directory),
                           quote(warning.text));
    const std::string_view name = warning.only_tail_dropped ? "snapshot_tail_dropped" : "snapshot_skipped";
    return fmt::format("{} file={} error={}", event_prefix(name), quote(warning.file), quote(warning.text));
}

}  // namespace

std::vector<std::string> format_load_events(const LoadResult& result, const std::string& directory) {
    std::vector<std::string> lines;
    if (result.error) lines.push_back(format_load_error(result.error, directory));
    for (const LoadWarning& warning : result.warnings) lines.push_back(format_warning(warning, directory));
    return lines;
}

std::string format_final_write_abandoned_event(std::chrono::milliseconds timeout) {
    return fmt::format("{} timeout_ms={}", event_prefix("final_write_abandoned"), timeout.count());
}

void WriteFailureLog::record_start(const SnapshotWriter::Status& status) { failing_ = is_failing(status); }

std::optional<std::string> WriteFailureLog::observe(const SnapshotWriter::Status& status) {
    const bool was_failing = failing_;
    failing_ = is_failing(status);
    if (!failing_ && !was_failing) failed_saves_when_healthy_ = status.failed_saves;
    if (failing_ == was_failing) return {};
    if (failing_) {
        const std::error_code error = status.hanging ? StateError::write_hanging : status.last_error;
        return fmt::format("{} error={}", event_prefix("write_failed"), quote(error.message()));
    }
    const std::uint64_t failures = status.failed_saves - failed_saves_when_healthy_;
    failed_saves_when_healthy_ = status.failed_saves;
    return fmt::format("{} failed_saves={}", event_prefix("write_recovered"), failures);
}

}  // namespace elmbay::state
