/// @file
/// Restores the learned state of an earlier process and saves that of this process, while the sidecar runs
/// and when it ends. Configured by the table [state] of the operator's file.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "operator/operator_file.hpp"
#include "sidecar/sidecar.hpp"
#include "state/log_events.hpp"
#include "state/snapshot_writer.hpp"

namespace elmbay {

/// Loads and saves snapshots. Runs on the event loop's thread; SnapshotWriter accesses the disk on a thread
/// of its own.
class SnapshotPersistence {
public:
    /// Maximum duration of the final save: the time that remains for it in a planned restart. A slower save
    /// is abandoned.
    static constexpr std::chrono::milliseconds kFinalSaveTimeout{500};

    /// @param instance name of the sidecar whose snapshots are loaded and saved.
    SnapshotPersistence(boost::asio::io_context& io, const StateSettings& settings,
                        const std::string& instance);

    /// Loads the newest complete snapshot and logs the files that could not be used. Must be called once,
    /// before the functions below.
    std::optional<Sidecar::RestoredState> load();
    /// Starts to save snapshots at the interval of the settings. The sidecar must live as long as the event
    /// loop runs.
    void save_periodically(const Sidecar& sidecar);
    /// Saves a last snapshot and waits until it is written, at most kFinalSaveTimeout.
    void save_finally(const Sidecar& sidecar);

private:
    void post_snapshot(const Sidecar& sidecar);
    void log_save_status();
    static void log(const std::string& line);

    state::SnapshotWriter writer_;
    const std::string directory_;
    const std::chrono::milliseconds interval_;
    boost::asio::steady_timer timer_;
    state::WriteFailureLog failure_log_;
};

}  // namespace elmbay
