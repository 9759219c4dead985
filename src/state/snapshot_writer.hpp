/// @file
/// Runs a SnapshotStore on a separate thread, so that no request waits for the disk.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include "state/snapshot_store.hpp"

namespace elmbay::state {

/// Loads and saves snapshots on its own thread. At most one snapshot is pending; a newer one replaces it.
/// Status::hanging reports a hanging disk, detected by the duration of the current save. start() and stop()
/// wait for the disk at most until their timeouts.
///
/// All functions except the constructor and the destructor are thread-safe. The only exception that any of
/// them throws is std::bad_alloc.
class SnapshotWriter {
public:
    /// The default timeout of start(). The sidecar then starts without a snapshot.
    static constexpr std::chrono::milliseconds kLoadTimeout{1000};
    /// A save that takes at least this long is reported as hanging by status().
    static constexpr std::chrono::milliseconds kHangThreshold{10000};
    /// An unchanged snapshot is written again after this interval, so that its timestamp shows until when it
    /// was valid.
    static constexpr std::chrono::milliseconds kRefreshInterval{60000};

    /// @param file_system must outlive the writer thread: until stop() has returned true, or else until the
    /// process ends, as a hanging disk blocks the thread
    SnapshotWriter(FileSystem& file_system, std::string directory, std::string instance);
    /// Calls stop() with a timeout of 0.
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;
    SnapshotWriter(SnapshotWriter&&) = delete;
    SnapshotWriter& operator=(SnapshotWriter&&) = delete;

    /// Starts the thread, opens the directory and loads the newest snapshot. To be called once. After
    /// StateError::load_timed_out and StateError::no_writer_thread nothing is ever written. After any other
    /// error each save tries to open the directory again.
    LoadResult start(std::chrono::milliseconds timeout = kLoadTimeout);
    /// Makes `snapshot` the pending one, to be saved next. Does nothing before start() has loaded and after
    /// stop(). Never blocks on the disk.
    void post(Snapshot snapshot);
    /// Waits until the pending snapshot is saved and the directory is unlocked. May be called again.
    /// @return true if the thread accesses no file any more, so that another process may open the directory;
    /// false if the timeout passed first, in which case the save may still complete later or never
    bool stop(std::chrono::milliseconds timeout);

    /// The state of the writer and its counters since start().
    struct Status {
        bool accepting = false;   ///< post() accepts snapshots: the load is done and stop() was not called
        bool hanging = false;     ///< the current save has taken at least kHangThreshold
        std::uint64_t saves = 0;  ///< successful saves, including those with nothing to write
        std::uint64_t failed_saves = 0;   ///< saves that ended with an error
        std::uint64_t superseded = 0;     ///< snapshots replaced by a newer one before their save began
        std::uint64_t bytes_written = 0;  ///< bytes written to files since the writer was constructed
        /// The error of the last save, or of start() before the first save. Clear after success.
        std::error_code last_error;
    };
    /// Returns the current status.
    Status status() const;

private:
    struct Shared;
    static void run_thread(const std::shared_ptr<Shared>& shared);
    static void save_posted_snapshots(Shared& shared, SnapshotStore& store);
    // Also owned by the thread, which outlives this object if the disk hangs.
    std::shared_ptr<Shared> shared_;
};

}  // namespace elmbay::state
