// The writer: a store on a thread of its own, so that no request ever waits for a disk.
//
// One snapshot waits at most: a newer one takes its place. A disk that does not answer is noticed by the time
// that the save at hand has taken; start() and stop() wait for it within their limits and then go without.
#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "state/snapshot_store.hpp"

namespace elmbay::state {

class SnapshotWriter {
public:
    static constexpr std::chrono::milliseconds kLoadTimeout{
        1000};  // a start waits this long for a disk, and then knows nothing
    static constexpr std::chrono::milliseconds kHangThreshold{
        10000};  // a save that takes longer hangs: it is told as such
    // What has not changed is written this often all the same, so that its age says how long it has held.
    static constexpr std::chrono::milliseconds kRefreshInterval{60000};

    // files must live until stop() was true, or as long as the process: a disk that hangs keeps the thread.
    SnapshotWriter(FileSystem& files, std::string folder, std::string instance);
    ~SnapshotWriter();  // as stop(0)
    SnapshotWriter(const SnapshotWriter&) = delete;
    SnapshotWriter& operator=(const SnapshotWriter&) = delete;

    // Opens and loads. An error is told in `why`, and each save tries to open again. Nothing in time is told
    // there too, and nothing is ever kept then.
    SnapshotStore::LoadResult start(std::chrono::milliseconds within = kLoadTimeout);
    void post(Snapshot snapshot);
    // Lets the last one be written and the folder go: true says that no file is touched any more, and another
    // may open the folder. False: it was not within the limit, and may or may not be one day.
    bool stop(std::chrono::milliseconds within);

    struct Status {
        bool usable = false;      // begun, and not stopped
        bool hangs = false;       // a save has taken kHangThreshold
        std::uint64_t saves = 0;  // that ended well, those that had nothing to write with them
        std::uint64_t failures = 0;
        std::uint64_t replaced = 0;  // by a newer one, before they were begun
        std::uint64_t bytes = 0;     // written
        std::string last_error{};    // of the last save, before it of the start; empty if it ended well
    };
    Status status() const;

private:
    struct Shared;
    static void run(const std::shared_ptr<Shared>& shared);
    std::shared_ptr<Shared> shared_;  // with the thread, which a disk may hold on to for longer than we live
};

}  // namespace elmbay::state
