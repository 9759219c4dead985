// The store: snapshots of one instance in one folder, whole or not at all.
//
// A generation is a file of its own, written beside, synced, renamed into place, and the folder synced.
// Changes are appended to it as batches and synced; after any error nothing more is appended, the next save
// begins a new generation. The newest two are kept, so there is a whole one at every moment.
//
// Blocks for as long as the disk does: not for the event loop (see writer.hpp). One thread at a time.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "state/file_system.hpp"
#include "state/snapshot.hpp"

namespace elmbay::state {

class SnapshotStore {
public:
    static constexpr int kKeptGenerations = 2;  // generations
    // A generation is begun anew once its changes have this many times the bytes of its first batch, and
    // these at least: a reader goes through little, and a small state is not rewritten all the time.
    static constexpr std::size_t kMaxChangesRatio = 8, kMinChangesBytes = 32U << 10;

    SnapshotStore(FileSystem& files, std::string folder, std::string instance);
    ~SnapshotStore();
    SnapshotStore(const SnapshotStore&) = delete;
    SnapshotStore& operator=(const SnapshotStore&) = delete;

    // Makes the folder, takes its lock. An error: the store can't be used, and neither load nor save does
    // anything; it may be tried again. Another process has it: errc::resource_unavailable_try_again.
    std::error_code open();

    struct LoadResult {
        std::optional<Snapshot> snapshot{};  // the newest whole one of this instance
        std::string why{};                   // what was passed over or dropped, and why, in one line
    };
    LoadResult load();

    // Writes nothing if nothing but the time has changed since the last save, unless `refresh`.
    std::error_code save(const Snapshot& snapshot, bool refresh = false);

    std::uint64_t bytes_written() const { return written_; }
    std::uint64_t generation() const { return generation_; }  // of the last save; 0: none

    struct GenerationFile {
        std::string name;  // of the file
        std::size_t size = 0;
        std::error_code error{};
        DecodeResult reading{};
    };
    // What is in a folder, the newest first; no lock is taken.
    static std::vector<GenerationFile> list_generations(FileSystem& files, const std::string& folder,
                                                        std::error_code& error);
    // Removes what no load would choose: broken ones, all but the newest kKeptGenerations, parts of writes
    // that were cut off. Never a newer version's, never what is not named as a state. The names of what went.
    // Needs open().
    std::vector<std::string> prune(std::error_code& error);

private:
    std::string path(const std::string& name) const { return folder_ + "/" + name; }
    std::error_code write_all(FileSystem::Handle file, std::string_view bytes);
    std::error_code begin_generation(const Snapshot& snapshot);
    std::error_code append(const Snapshot& snapshot);
    void close_generation();

    FileSystem& files_;
    const std::string folder_, instance_;
    FileSystem::Handle lock_ = -1, file_ = -1;
    std::uint64_t generation_ = 0, newest_ = 0, next_record_ = 0, written_ = 0;
    std::size_t whole_ = 0, changes_ = 0;  // bytes of this generation's first batch, and of the rest
    bool listed_ = false;                  // newest_ is of the whole folder
    std::optional<Snapshot> saved_;        // what the file adds up to
};

}  // namespace elmbay::state
