/// @file
/// Snapshots of one instance in one directory, whole or not at all.
///
/// A generation is a file of its own, written beside, synced, renamed into place, and the directory synced.
/// Changes are appended to it as batches and synced; after any error nothing more is appended, the next save
/// begins a new generation. The newest two are kept, so there is a whole one at every moment.
/// docs/design/state.md has a table of what holds when which call fails.
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

/// A file of the directory that is named as a generation.
struct GenerationFile {
    std::string name;              ///< without the directory
    std::uint64_t generation = 0;  ///< as the name says
    std::size_t size = 0;          ///< bytes; of a file that is too long only that it is
    std::error_code read_error;    ///< of the system: the content is not known
    DecodeResult content;  ///< what it says; a StateError::generation_mismatch if the header says otherwise
};

/// What is in a directory.
struct GenerationList {
    std::vector<GenerationFile> files;  ///< the newest first
    std::error_code error;              ///< of the directory itself: files may be missing
};

/// Takes no lock; reads every generation whole.
GenerationList list_generations(FileSystem& file_system, const std::string& directory);

/// Why something in the directory was not used as it stands.
struct LoadNote {
    std::string file;        ///< empty: the directory itself
    std::error_code error;   ///< of the system, or a StateError
    std::string text;        ///< the error in words, with what goes with it
    bool tail_only = false;  ///< the file was used, but for a torn tail
};

/// What a load found.
struct LoadResult {
    std::optional<Snapshot> snapshot;  ///< the newest whole one of this instance
    std::vector<LoadNote> notes;       ///< what was passed over or dropped, the newest first
    std::error_code error;             ///< the directory could not be used at all
};

/// What prune() did.
struct PruneResult {
    std::vector<std::string> removed;  ///< names of files
    std::error_code error;             ///< the last one, if anything failed
};

/// Whether a save writes when nothing but the time has changed.
enum class SaveMode { if_changed, always };

/// Blocks for as long as the disk does: not for an event loop (see SnapshotWriter). One thread at a time.
class SnapshotStore {
public:
    /// Generations that stay in the directory.
    static constexpr int kKeptGenerations = 2;
    /// A generation is begun anew once its changes have this many times the bytes of its first batch ...
    static constexpr std::size_t kMaxChangesRatio = 8;
    /// ... and these bytes at least: a reader goes through little, and a small snapshot is not rewritten all
    /// the time.
    static constexpr std::size_t kMinChangesBytes = 32U << 10;

    /// @param file_system must outlive the store
    /// @param instance whose snapshots are loaded
    SnapshotStore(FileSystem& file_system, std::string directory, std::string instance);
    ~SnapshotStore();
    SnapshotStore(const SnapshotStore&) = delete;
    SnapshotStore& operator=(const SnapshotStore&) = delete;
    SnapshotStore(SnapshotStore&&) = delete;
    SnapshotStore& operator=(SnapshotStore&&) = delete;

    /// Makes the directory and takes its lock; nothing if it is open. After an error neither load() nor
    /// save() does anything, and it may be tried again. StateError::directory_in_use: another process has it.
    std::error_code open();

    /// StateError::store_not_open before open().
    LoadResult load();

    /// Success: what was saved survives a crash from now on. StateError::store_not_open before open();
    /// errc::invalid_argument for more than kMaxServers or an instance's name of 0 or more than kMaxNameBytes
    /// bytes; else what the system says, and the next save writes the whole snapshot again.
    std::error_code save(const Snapshot& snapshot, SaveMode mode = SaveMode::if_changed);

    /// Since the store was made.
    std::uint64_t bytes_written() const { return bytes_written_; }
    /// Of the last save that ended well; 0: none.
    std::uint64_t generation() const { return generation_; }

    /// Removes what no load would choose: damaged ones, all but the newest kKeptGenerations, parts of writes
    /// that were cut off. Never a newer version's, never what is not named as a generation.
    /// StateError::store_not_open before open().
    PruneResult prune();

private:
    std::string path(const std::string& name) const { return directory_ + "/" + name; }
    void load_from(GenerationFile& file, LoadResult& result) const;
    std::error_code find_newest();
    std::error_code begin_generation(const Snapshot& snapshot);
    std::error_code write_file(FileSystem::Handle& file, const std::string& name, std::string_view bytes);
    std::error_code write_all(FileSystem::Handle file, std::string_view bytes);
    std::error_code append(const Snapshot& snapshot);
    void close_generation();
    void remove(const std::string& name, PruneResult& result);

    FileSystem& file_system_;
    const std::string directory_;
    const std::string instance_;
    FileSystem::Handle lock_ = FileSystem::kNoFile;
    std::uint64_t bytes_written_ = 0;

    std::uint64_t newest_ = 0;      // generation that is or was in the directory
    bool newest_is_known_ = false;  // newest_ is of the whole directory

    // The generation that is appended to; without a file the next save begins one.
    FileSystem::Handle file_ = FileSystem::kNoFile;
    std::uint64_t generation_ = 0;
    std::uint64_t next_record_ = 0;
    std::size_t first_batch_bytes_ = 0;  // with the header
    std::size_t changes_bytes_ = 0;      // of all later batches
    std::optional<Snapshot> saved_;      // what the file adds up to
};

}  // namespace elmbay::state
