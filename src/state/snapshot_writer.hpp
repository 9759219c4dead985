/// @file
/// A snapshot store on a thread of its own, so that no request ever waits for a disk.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include "state/snapshot_store.hpp"

namespace elmbay::state {

/// One snapshot waits at most: a newer one takes its place. A disk that does not answer is noticed by the
/// time that the save at hand has taken; start() and stop() wait for it within their limits and then go
/// without.
///
/// Every function but the constructor and the destructor may be called by any thread; none throws but
/// std::bad_alloc.
class SnapshotWriter {
public:
    /// A start waits this long for a disk, and then knows nothing.
    static constexpr std::chrono::milliseconds kLoadTimeout{1000};
    /// A save that takes longer hangs: status() says so.
    static constexpr std::chrono::milliseconds kHangThreshold{10000};
    /// An unchanged snapshot is written this often all the same, so that its age says how long it has been
    /// true.
    static constexpr std::chrono::milliseconds kRefreshInterval{60000};

    /// @param file_system must live until stop() was true, or as long as the process: a disk that hangs keeps
    /// the thread
    SnapshotWriter(FileSystem& file_system, std::string directory, std::string instance);
    /// As stop(0).
    ~SnapshotWriter();
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;
    SnapshotWriter(SnapshotWriter&&) = delete;
    SnapshotWriter& operator=(SnapshotWriter&&) = delete;

    /// Begins the thread, opens the directory and loads; once. With an error other than the two below each
    /// save tries to open again. StateError::load_timed_out, StateError::no_writer_thread: nothing is ever
    /// written.
    LoadResult start(std::chrono::milliseconds timeout = kLoadTimeout);
    /// To be saved next; nothing after stop(). Never blocks on the disk.
    void post(Snapshot snapshot);
    /// Lets the last snapshot be written and the directory go. True: no file is touched any more, and another
    /// may open the directory. False: that was not so within the timeout, and may or may not be one day.
    bool stop(std::chrono::milliseconds timeout);

    /// Counts since the start.
    struct Status {
        bool accepting = false;           ///< started, and not stopped
        bool hanging = false;             ///< the save at hand has taken kHangThreshold
        std::uint64_t saves = 0;          ///< that ended well, those that had nothing to write with them
        std::uint64_t failed_saves = 0;   ///< that ended with an error
        std::uint64_t superseded = 0;     ///< snapshots replaced by a newer one before their save began
        std::uint64_t bytes_written = 0;  ///< to files
        std::error_code
            last_error;  ///< of the last save, before the first of the start; clear if it went well
    };
    /// The counts so far, and whether the disk hangs.
    Status status() const;

private:
    struct Shared;
    static void run(const std::shared_ptr<Shared>& shared);
    static void serve(Shared& shared, SnapshotStore& store);
    std::shared_ptr<Shared> shared_;  // with the thread, which a disk may hold on to for longer than we live
};

}  // namespace elmbay::state
