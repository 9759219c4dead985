#include "state/snapshot_store.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace elmbay::state {

namespace {

constexpr std::string_view kFileNamePrefix = "elmbay-";
constexpr std::string_view kFileNameSuffix = ".state";
constexpr std::string_view kPartialSuffix = ".part";
constexpr std::size_t kGenerationDigits = 16;
// Files with a higher generation in their name are ignored. Regular numbering never reaches this limit.
// Without it, a planted file with the highest possible number would leave no number for the next generation.
constexpr std::uint64_t kMaxGeneration = UINT64_MAX / 2;

std::string file_name_of(std::uint64_t generation) {
    return fmt::format("{}{:016x}{}", kFileNamePrefix, generation, kFileNameSuffix);
}

// Parses the generation in a file's name. Returns nothing if the file is not named as a generation.
std::optional<std::uint64_t> parse_generation(std::string_view name) {
    if (name.size() != kFileNamePrefix.size() + kGenerationDigits + kFileNameSuffix.size()) return {};
    if (!name.starts_with(kFileNamePrefix) || !name.ends_with(kFileNameSuffix)) return {};
    const std::string_view digits = name.substr(kFileNamePrefix.size(), kGenerationDigits);
    const char* const digits_end = digits.data() + digits.size();
    std::uint64_t generation = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits_end, generation, 16);
    if (error != std::errc() || end != digits_end) return {};
    if (generation > kMaxGeneration) return {};
    return generation;
}

bool is_partial_file(std::string_view name) {
    return name.ends_with(kPartialSuffix) &&
           parse_generation(name.substr(0, name.size() - kPartialSuffix.size()));
}

GenerationFile read_generation(FileSystem& file_system, const std::string& directory, std::string name,
                               std::uint64_t generation) {
    GenerationFile file;
    const std::string path = directory + "/" + name;
    const std::string bytes = file_system.read(path, kMaxFileBytes, file.read_error);
    file.name = std::move(name);
    file.generation = generation;
    file.size = bytes.size();
    if (file.read_error) return file;
    file.content = decode_snapshot_file(bytes);
    if (!file.content.error && file.content.generation != generation) {
        file.content.error = StateError::generation_mismatch;
        file.content.snapshot.reset();
    }
    return file;
}

}  // namespace

GenerationList list_generations(FileSystem& file_system, const std::string& directory) {
    GenerationList list;
    for (std::string& name : file_system.list(directory, list.error)) {
        const auto generation = parse_generation(name);
        if (!generation) continue;
        list.files.push_back(read_generation(file_system, directory, std::move(name), *generation));
    }
    std::sort(list.files.begin(), list.files.end(),
              [](const GenerationFile& left, const GenerationFile& right) {
                  return left.generation > right.generation;
              });
    return list;
}

SnapshotStore::SnapshotStore(FileSystem& file_system, std::string directory, std::string instance)
    : file_system_(file_system), directory_(std::move(directory)), instance_(std::move(instance)) {}

SnapshotStore::~SnapshotStore() {
    close_generation();
    file_system_.close(lock_file_);
}

std::error_code SnapshotStore::open() {
    std::error_code error;
    if (lock_file_ != FileSystem::kNoFile) return error;
    file_system_.create_directories(directory_, error);
    if (error) return error;
    const FileSystem::Handle lock = file_system_.lock(path("lock"), error);
    if (error == std::errc::resource_unavailable_try_again) return StateError::directory_in_use;
    if (!error) lock_file_ = lock;
    return error;
}

LoadResult SnapshotStore::load() {
    LoadResult result;
    if (lock_file_ == FileSystem::kNoFile) {
        result.error = StateError::store_not_open;
        return result;
    }
    GenerationList list = list_generations(file_system_, directory_);
    for (GenerationFile& file : list.files) {
        newest_generation_ = std::max(newest_generation_, file.generation);
        if (!result.snapshot) load_generation(file, result);
    }
    newest_generation_is_known_ = !list.error;
    if (list.error) result.warnings.push_back({{}, list.error, list.error.message()});
    return result;
}

void SnapshotStore::load_generation(GenerationFile& file, LoadResult& result) const {
    DecodeResult& content = file.content;
    if (file.read_error) {
        result.warnings.push_back({file.name, file.read_error, file.read_error.message()});
        return;
    }
    if (content.error) {
        result.warnings.push_back({file.name, content.error, describe_error(content)});
        return;
    }
    if (content.snapshot->instance != instance_) {
        const std::string text = "the snapshot belongs to instance '" + content.snapshot->instance + "'";
        result.warnings.push_back({file.name, StateError::instance_mismatch, text});
        return;
    }
    if (content.dropped_tail)
        result.warnings.push_back({file.name, content.dropped_tail, describe_dropped_tail(content), true});
    result.snapshot = std::move(content.snapshot);
}

std::error_code SnapshotStore::save(const Snapshot& snapshot, SaveMode mode) {
    if (lock_file_ == FileSystem::kNoFile) return StateError::store_not_open;
    const bool has_valid_name = !snapshot.instance.empty() && snapshot.instance.size() <= kMaxNameBytes;
    if (!has_valid_name || snapshot.server_uids.size() > kMaxServers)
        return std::make_error_code(std::errc::invalid_argument);
    const std::size_t max_change_bytes = std::max(kMinRewriteBytes, first_batch_bytes_ * kRewriteRatio);
    if (generation_file_ == FileSystem::kNoFile || change_bytes_ > max_change_bytes)
        return begin_generation(snapshot);
    std::uint64_t records = 0;
    encode_batch(&*last_saved_, snapshot, generation_, records);
    const bool changed = records > 1;  // one record is the batch's end, which holds the timestamp
    if (!changed && mode == SaveMode::if_changed) return {};
    return append(snapshot);
}

std::error_code SnapshotStore::write_all(FileSystem::Handle file, std::string_view bytes) {
    std::error_code error;
    while (!bytes.empty()) {
        const std::size_t count = file_system_.write(file, bytes, error);
        if (error) return error;
        // Without this check, writes that return 0 without an error would make this an endless loop.
        if (count == 0) return std::make_error_code(std::errc::io_error);
        bytes_written_ += count;
        bytes.remove_prefix(count);
    }
    return error;
}

// Updates newest_generation_ unless an earlier list of the directory was complete. A new generation must have
// a higher number than any file in the directory, including unreadable ones, and a failed list may lack the
// newest.
std::error_code SnapshotStore::find_newest_generation() {
    std::error_code error;
    if (newest_generation_is_known_) return error;
    for (const std::string& name : file_system_.list(directory_, error))
        if (const auto generation = parse_generation(name))
            newest_generation_ = std::max(newest_generation_, *generation);
    newest_generation_is_known_ = !error;
    return error;
}

std::error_code SnapshotStore::begin_generation(const Snapshot& snapshot) {
    close_generation();
    if (const std::error_code error = find_newest_generation()) return error;
    const std::uint64_t generation = newest_generation_ + 1;
    std::uint64_t next_record = 0;
    const std::string bytes =
        encode_header(snapshot, generation) + encode_batch(nullptr, snapshot, generation, next_record);
    FileSystem::Handle file = FileSystem::kNoFile;
    if (const std::error_code error = write_generation_file(file, file_name_of(generation), bytes)) {
        file_system_.close(file);
        return error;
    }
    newest_generation_ = generation;
    generation_file_ = file;
    generation_ = generation;
    next_record_ = next_record;
    first_batch_bytes_ = bytes.size();
    change_bytes_ = 0;
    last_saved_ = snapshot;
    prune();  // errors are ignored: the next generation tries to remove the same files again
    return {};
}

// Writes a generation under its final name and syncs the file and the directory. On return `file` is the open
// file or kNoFile, also after an error. The caller closes it.
std::error_code SnapshotStore::write_generation_file(FileSystem::Handle& file, const std::string& name,
                                                     std::string_view bytes) {
    const std::string partial_path = path(name + std::string(kPartialSuffix));
    std::error_code error;
    file = file_system_.create(partial_path, error);
    if (!error) error = write_all(file, bytes);
    if (!error) file_system_.sync(file, error);
    if (!error) file_system_.rename(partial_path, path(name), error);
    if (error) {
        std::error_code ignored;  // prune() removes the file later
        file_system_.remove(partial_path, ignored);
        return error;
    }
    // Until the directory is synced, a crash may undo the rename. After an error nothing may be appended to
    // the file. The next save writes the same generation again under the same name, so that repeated failures
    // do not accumulate files.
    file_system_.sync_directory(directory_, error);
    return error;
}

std::error_code SnapshotStore::append(const Snapshot& snapshot) {
    const std::string bytes = encode_batch(&*last_saved_, snapshot, generation_, next_record_);
    std::error_code error = write_all(generation_file_, bytes);
    if (!error) file_system_.sync(generation_file_, error);
    if (error) {  // it is unknown how many of the bytes are in the file
        close_generation();
        return error;
    }
    change_bytes_ += bytes.size();
    last_saved_ = snapshot;
    return error;
}

void SnapshotStore::close_generation() {
    file_system_.close(generation_file_);
    generation_file_ = FileSystem::kNoFile;
    last_saved_.reset();
}

void SnapshotStore::remove(const std::string& name, PruneResult& result) {
    std::error_code error;
    file_system_.remove(path(name), error);
    if (error)
        result.error = error;
    else
        result.removed.push_back(name);
}

PruneResult SnapshotStore::prune() {
    PruneResult result;
    if (lock_file_ == FileSystem::kNoFile) {
        result.error = StateError::store_not_open;
        return result;
    }
    const GenerationList list = list_generations(file_system_, directory_);
    int valid_generations = 0;
    for (const GenerationFile& file : list.files) {
        if (file.read_error) continue;  // the content is unknown and may be valid
        if (file.content.error == StateError::unsupported_version) continue;
        if (file.content.error || ++valid_generations > kKeptGenerations) remove(file.name, result);
    }
    std::error_code list_error;
    for (const std::string& name : file_system_.list(directory_, list_error))
        if (is_partial_file(name)) remove(name, result);
    if (list.error) result.error = list.error;
    if (list_error) result.error = list_error;
    return result;
}

}  // namespace elmbay::state
