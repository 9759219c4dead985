/// @file
/// Stores snapshots of one sidecar instance in one directory. A load returns a complete snapshot or none.
///
/// Each generation is a separate file. It is written under a temporary name, synced and renamed, and then the
/// directory is synced. Later changes are appended to the file as batches and synced. After any error nothing
/// is appended any more, and the next save begins a new generation. The newest two generations are kept, so
/// that a complete snapshot exists at any time. docs/design/state.md has a table of the guarantees that
/// remain after each kind of failed call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "state/file_system.hpp"
#include "state/snapshot_codec.hpp"

namespace elmbay::state {

/// A file whose name is that of a generation, and its decoded content.
struct GenerationFile {
    std::string name;              ///< without the directory
    std::uint64_t generation = 0;  ///< as stated in the name
    std::size_t size = 0;          ///< in bytes; above kMaxFileBytes it only means that the file is too long
    std::error_code read_error;    ///< a system error; `content` is unset then
    /// The error is StateError::generation_mismatch if the header states another generation than the name.
    DecodeResult content;
};

/// The generations in a directory.
struct GenerationList {
    std::vector<GenerationFile> files;  ///< newest first
    std::error_code error;              ///< the directory could not be listed; `files` may be incomplete
};

/// Reads and decodes every generation in a directory. Takes no lock.
GenerationList list_generations(FileSystem& file_system, const std::string& directory);

/// Reports a file that a load skipped or used in part, or an error of the directory.
struct LoadWarning {
    std::string file;                ///< name without the directory; empty for the directory itself
    std::error_code error;           ///< a system error or a StateError
    std::string text;                ///< the error as text, with details
    bool only_tail_dropped = false;  ///< the file was used except for an incomplete or invalid tail
};

/// The result of a load.
struct LoadResult {
    std::optional<Snapshot> snapshot;   ///< the newest valid one of this instance
    std::vector<LoadWarning> warnings;  ///< skipped and partly used files, newest first
    std::error_code error;              ///< the load failed as a whole
};

/// The result of prune().
struct PruneResult {
    std::vector<std::string> removed;  ///< names of the removed files
    std::error_code error;             ///< the last error, if any operation failed
};

/// Whether a save writes to the file when only the timestamp has changed.
enum class SaveMode { if_changed, always };

/// Reads and writes the snapshots of one instance. Calls block until the disk completes the operation, so
/// they must not run on an event loop (see SnapshotWriter). Not thread-safe.
class SnapshotStore {
public:
    /// The number of valid generations that prune() keeps.
    static constexpr int kKeptGenerations = 2;
    /// A save begins a new generation once the change batches of the current one are longer than this
    /// multiple of its first batch and longer than kMinRewriteBytes. This limits what a load has to read.
    static constexpr std::size_t kRewriteRatio = 8;
    /// The minimum size of change batches, in bytes, that makes a save begin a new generation. It prevents
    /// frequent rewrites of small snapshots.
    static constexpr std::size_t kMinRewriteBytes = 32U << 10;

    /// @param file_system must outlive the store
    /// @param instance the name of the sidecar instance; load() skips snapshots of other instances
    SnapshotStore(FileSystem& file_system, std::string directory, std::string instance);
    ~SnapshotStore();
    SnapshotStore(const SnapshotStore&) = delete;
    SnapshotStore& operator=(const SnapshotStore&) = delete;
    SnapshotStore(SnapshotStore&&) = delete;
    SnapshotStore& operator=(SnapshotStore&&) = delete;

    /// Creates the directory and takes its lock. Does nothing if the store is open already. After an error
    /// the store is not open, and the call may be repeated.
    /// @return StateError::directory_in_use if another process holds the lock, or a system error
    std::error_code open();

    /// Loads the newest valid snapshot of this instance. LoadResult::error is StateError::store_not_open
    /// before open().
    LoadResult load();

    /// Saves a snapshot. After success it survives a crash. After a system error the next save writes the
    /// complete snapshot again.
    /// @return StateError::store_not_open before open(); errc::invalid_argument if the snapshot has more than
    /// kMaxServers servers, or an instance name that is empty or longer than kMaxNameBytes; or a system error
    std::error_code save(const Snapshot& snapshot, SaveMode mode = SaveMode::if_changed);

    /// Returns the number of bytes written since the store was constructed.
    std::uint64_t bytes_written() const { return bytes_written_; }
    /// Returns the generation of the last successful save, or 0 if there was none.
    std::uint64_t generation() const { return generation_; }

    /// Removes files that no load would use: invalid generations, valid ones older than the newest
    /// kKeptGenerations, and temporary files of interrupted writes. Keeps files of a newer format version,
    /// files that cannot be read, and files that are not named as a generation. PruneResult::error is
    /// StateError::store_not_open before open().
    PruneResult prune();

private:
    std::string path(const std::string& name) const { return directory_ + "/" + name; }
    void load_generation(GenerationFile& file, LoadResult& result) const;
    std::error_code find_newest_generation();
    std::error_code begin_generation(const Snapshot& snapshot);
    std::error_code write_generation_file(FileSystem::Handle& file, const std::string& name,
                                          std::string_view bytes);
    std::error_code write_all(FileSystem::Handle file, std::string_view bytes);
    std::error_code append(const Snapshot& snapshot);
    void close_generation();
    void remove(const std::string& name, PruneResult& result);

    FileSystem& file_system_;
    const std::string directory_;
    const std::string instance_;
    FileSystem::Handle lock_file_ = FileSystem::kNoFile;
    std::uint64_t bytes_written_ = 0;

    std::uint64_t newest_generation_ = 0;      // the highest generation found in the directory or written
    bool newest_generation_is_known_ = false;  // newest_generation_ is based on a complete list

    // The generation to which changes are appended. Without an open file the next save begins a new one.
    FileSystem::Handle generation_file_ = FileSystem::kNoFile;
    std::uint64_t generation_ = 0;
    std::uint64_t next_record_ = 0;
    std::size_t first_batch_bytes_ = 0;   // including the header
    std::size_t change_bytes_ = 0;        // of all later batches
    std::optional<Snapshot> last_saved_;  // the snapshot that the file holds
};

}  // namespace elmbay::state
