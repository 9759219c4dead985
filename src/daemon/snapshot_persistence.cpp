#include "daemon/snapshot_persistence.hpp"

#include <cstdint>
#include <iostream>
#include <utility>

#include "base/log_line.hpp"
#include "state/file_system.hpp"
#include "state/timestamp.hpp"

namespace elmbay {

SnapshotPersistence::SnapshotPersistence(boost::asio::io_context& io, const StateSettings& settings,
                                         const std::string& instance)
    : writer_(state::posix_file_system(), settings.directory, instance),
      directory_(settings.directory),
      interval_(static_cast<std::int64_t>(settings.save_interval)),
      timer_(io) {}

std::optional<Sidecar::RestoredState> SnapshotPersistence::load() {
    state::LoadResult loaded = writer_.start();
    failure_log_.record_start(writer_.status());
    for (const std::string& line : state::format_load_events(loaded, directory_)) log(line);
    if (!loaded.snapshot) return {};
    const double age = state::age_of(loaded.snapshot->taken_at, state::current_timestamp());
    return Sidecar::RestoredState{std::move(*loaded.snapshot), age};
}

void SnapshotPersistence::save_periodically(const Sidecar& sidecar) {
    timer_.expires_after(interval_);
    timer_.async_wait([this, &sidecar](boost::system::error_code error) {
        if (error) return;
        log_save_status();  // reports the previous save before the next one begins
        post_snapshot(sidecar);
        save_periodically(sidecar);
    });
}

void SnapshotPersistence::save_finally(const Sidecar& sidecar) {
    log_save_status();
    post_snapshot(sidecar);
    const bool finished = writer_.stop(kFinalSaveTimeout);
    if (!finished) log(state::format_final_write_abandoned_event(kFinalSaveTimeout));
    log_save_status();
}

void SnapshotPersistence::post_snapshot(const Sidecar& sidecar) {
    state::Snapshot snapshot = sidecar.snapshot();
    snapshot.taken_at = state::current_timestamp();
    writer_.post(std::move(snapshot));
}

void SnapshotPersistence::log_save_status() {
    const std::optional<std::string> line = failure_log_.observe(writer_.status());
    if (line) log(*line);
}

void SnapshotPersistence::log(const std::string& line) {
    // Clears the error state of the stream. The log may be on a disk that was full; without this the stream
    // would drop every later line.
    std::cerr.clear();
    write_log_line(line);
}

}  // namespace elmbay
