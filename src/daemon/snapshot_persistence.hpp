/// @file
/// [state] of the operator's file: restores what an earlier process had learned, and saves it while the
/// sidecar runs and when it ends.
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

/// Runs on the event loop's thread. The disk is the SnapshotWriter's, on a thread of its own.
class SnapshotPersistence {
public:
    /// The final save may take what a planned restart leaves of its time. The disk is not waited for beyond
    /// it.
    static constexpr std::chrono::milliseconds kFinalSaveTimeout{500};

    /// @param instance whose snapshots are loaded and saved.
    SnapshotPersistence(boost::asio::io_context& io, const StateSettings& settings,
                        const std::string& instance);

    /// Loads the newest whole snapshot; logs what could not be used. Once, before the others.
    std::optional<Sidecar::RestoredState> load();
    /// Saves at the interval of the settings from now on. The sidecar must live as long as the loop runs.
    void save_periodically(const Sidecar& sidecar);
    /// Saves once more and waits for it, at most kFinalSaveTimeout.
    void save_finally(const Sidecar& sidecar);

private:
    void post_snapshot(const Sidecar& sidecar);
    void log_save_status();
    static void log(const std::string& line);

    state::SnapshotWriter writer_;
    const std::string folder_;
    const std::chrono::milliseconds interval_;
    boost::asio::steady_timer timer_;
    state::WriteFailureLog failure_log_;
};

}  // namespace elmbay
