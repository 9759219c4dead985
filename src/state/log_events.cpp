#include "state/log_events.hpp"

#include <fmt/format.h>

#include <string_view>

namespace elmbay::state {

namespace {

std::string quoted(std::string_view words) {
    std::string out = "\"";
    for (const char character : words) {
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

std::string event(std::string_view name) { return fmt::format("component=state event={}", name); }

bool is_failing(const SnapshotWriter::Status& status) { return status.hanging || status.last_error; }

std::string load_failure(const std::error_code& error, const std::string& directory) {
    const bool never = error == StateError::load_timed_out || error == StateError::no_writer_thread;
    const std::string_view name = error == StateError::directory_in_use ? "directory_in_use" : "open_failed";
    return fmt::format("{} directory={} error={} retried={}", event(name), quoted(directory),
                       quoted(error.message()), never ? "no" : "yes");
}

std::string text_of(const LoadNote& note, const std::string& directory) {
    if (note.file.empty())
        return fmt::format("{} directory={} error={}", event("directory_unreadable"), quoted(directory),
                           quoted(note.text));
    const std::string_view name = note.tail_only ? "snapshot_tail_dropped" : "snapshot_skipped";
    return fmt::format("{} file={} error={}", event(name), quoted(note.file), quoted(note.text));
}

}  // namespace

std::vector<std::string> format_load_events(const LoadResult& result, const std::string& directory) {
    std::vector<std::string> lines;
    if (result.error) lines.push_back(load_failure(result.error, directory));
    for (const LoadNote& note : result.notes) lines.push_back(text_of(note, directory));
    return lines;
}

std::string format_final_write_abandoned_event(std::chrono::milliseconds timeout) {
    return fmt::format("{} timeout_ms={}", event("final_write_abandoned"), timeout.count());
}

void WriteFailureLog::record_start(const SnapshotWriter::Status& status) { failing_ = is_failing(status); }

std::optional<std::string> WriteFailureLog::observe(const SnapshotWriter::Status& status) {
    const bool was_failing = failing_;
    failing_ = is_failing(status);
    if (!failing_ && !was_failing) failures_before_ = status.failed_saves;
    if (failing_ == was_failing) return {};
    if (failing_) {
        const std::error_code error = status.hanging ? StateError::write_hanging : status.last_error;
        return fmt::format("{} error={}", event("write_failed"), quoted(error.message()));
    }
    const std::uint64_t failures = status.failed_saves - failures_before_;
    failures_before_ = status.failed_saves;
    return fmt::format("{} failed_saves={}", event("write_recovered"), failures);
}

}  // namespace elmbay::state
