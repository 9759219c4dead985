#include "state/snapshot_store.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace elmbay::state {

namespace {

constexpr std::string_view kPrefix = "elmbay-";
constexpr std::string_view kSuffix = ".state";
constexpr std::string_view kPartSuffix = ".part";
constexpr std::size_t kDigits = 16;
// The half that no life reaches: a planted file must not leave us without a next generation.
constexpr std::uint64_t kLastGeneration = UINT64_MAX / 2;

std::string file_name_of(std::uint64_t generation) {
    return fmt::format("{}{:016x}{}", kPrefix, generation, kSuffix);
}

// The generation that a file's name says; nothing for other files.
std::optional<std::uint64_t> generation_in(std::string_view name) {
    if (name.size() != kPrefix.size() + kDigits + kSuffix.size()) return {};
    if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) return {};
    const std::string_view digits = name.substr(kPrefix.size(), kDigits);
    const char* const digits_end = digits.data() + digits.size();
    std::uint64_t generation = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits_end, generation, 16);
    if (error != std::errc() || end != digits_end) return {};
    if (generation > kLastGeneration) return {};
    return generation;
}

bool is_part(std::string_view name) {
    return name.ends_with(kPartSuffix) && generation_in(name.substr(0, name.size() - kPartSuffix.size()));
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
        const auto generation = generation_in(name);
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
    file_system_.close(lock_);
}

std::error_code SnapshotStore::open() {
    std::error_code error;
    if (lock_ != FileSystem::kNoFile) return error;
    file_system_.create_directories(directory_, error);
    if (error) return error;
    const FileSystem::Handle lock = file_system_.lock(path("lock"), error);
    if (error == std::errc::resource_unavailable_try_again) return StateError::directory_in_use;
    if (!error) lock_ = lock;
    return error;
}

LoadResult SnapshotStore::load() {
    LoadResult result;
    if (lock_ == FileSystem::kNoFile) {
        result.error = StateError::store_not_open;
        return result;
    }
    GenerationList list = list_generations(file_system_, directory_);
    for (GenerationFile& file : list.files) {
        newest_ = std::max(newest_, file.generation);
        if (!result.snapshot) load_from(file, result);
    }
    newest_is_known_ = !list.error;
    if (list.error) result.notes.push_back({{}, list.error, list.error.message()});
    return result;
}

void SnapshotStore::load_from(GenerationFile& file, LoadResult& result) const {
    DecodeResult& content = file.content;
    if (file.read_error) {
        result.notes.push_back({file.name, file.read_error, file.read_error.message()});
        return;
    }
    if (content.error) {
        result.notes.push_back({file.name, content.error, describe_error(content)});
        return;
    }
    if (content.snapshot->instance != instance_) {
        const std::string text = "it is of instance '" + content.snapshot->instance + "'";
        result.notes.push_back({file.name, StateError::instance_mismatch, text});
        return;
    }
    if (content.dropped_tail)
        result.notes.push_back({file.name, content.dropped_tail, describe_dropped_tail(content), true});
    result.snapshot = std::move(content.snapshot);
}

std::error_code SnapshotStore::save(const Snapshot& snapshot, SaveMode mode) {
    if (lock_ == FileSystem::kNoFile) return StateError::store_not_open;
    const bool has_name = !snapshot.instance.empty() && snapshot.instance.size() <= kMaxNameBytes;
    if (!has_name || snapshot.server_uids.size() > kMaxServers)
        return std::make_error_code(std::errc::invalid_argument);
    const std::size_t max_changes = std::max(kMinChangesBytes, first_batch_bytes_ * kMaxChangesRatio);
    if (file_ == FileSystem::kNoFile || changes_bytes_ > max_changes) return begin_generation(snapshot);
    std::uint64_t records = 0;
    encode_batch(&*saved_, snapshot, generation_, records);
    const bool changed = records > 1;  // beside the batch's end, which has the time
    if (!changed && mode == SaveMode::if_changed) return {};
    return append(snapshot);
}

std::error_code SnapshotStore::write_all(FileSystem::Handle file, std::string_view bytes) {
    std::error_code error;
    while (!bytes.empty()) {
        const std::size_t count = file_system_.write(file, bytes, error);
        if (error) return error;
        // A disk that takes nothing and says nothing would keep us here.
        if (count == 0) return std::make_error_code(std::errc::io_error);
        bytes_written_ += count;
        bytes.remove_prefix(count);
    }
    return error;
}

// A new generation is above any that is or was there, also above those that can't be read. A list that failed
// may have left out the newest.
std::error_code SnapshotStore::find_newest() {
    std::error_code error;
    if (newest_is_known_) return error;
    for (const std::string& name : file_system_.list(directory_, error))
        if (const auto generation = generation_in(name)) newest_ = std::max(newest_, *generation);
    newest_is_known_ = !error;
    return error;
}

std::error_code SnapshotStore::begin_generation(const Snapshot& snapshot) {
    close_generation();
    if (const std::error_code error = find_newest()) return error;
    const std::uint64_t generation = newest_ + 1;
    std::uint64_t next_record = 0;
    const std::string bytes =
        encode_header(snapshot, generation) + encode_batch(nullptr, snapshot, generation, next_record);
    FileSystem::Handle file = FileSystem::kNoFile;
    if (const std::error_code error = write_file(file, file_name_of(generation), bytes)) {
        file_system_.close(file);
        return error;
    }
    newest_ = generation;
    file_ = file;
    generation_ = generation;
    next_record_ = next_record;
    first_batch_bytes_ = bytes.size();
    changes_bytes_ = 0;
    saved_ = snapshot;
    prune();  // what it could not remove is left to the next generation
    return {};
}

// The file under its name, synced; open in `file` whether or not it went well.
std::error_code SnapshotStore::write_file(FileSystem::Handle& file, const std::string& name,
                                          std::string_view bytes) {
    const std::string part = path(name + std::string(kPartSuffix));
    std::error_code error;
    file = file_system_.create(part, error);
    if (!error) error = write_all(file, bytes);
    if (!error) file_system_.sync(file, error);
    if (!error) file_system_.rename(part, path(name), error);
    if (error) {
        std::error_code ignored;  // prune() removes it later
        file_system_.remove(part, ignored);
        return error;
    }
    // Until the directory is synced a crash may take the name away. After an error nothing may be added to
    // the file: the next save writes this generation again, over this name, so that none pile up meanwhile.
    file_system_.sync_directory(directory_, error);
    return error;
}

std::error_code SnapshotStore::append(const Snapshot& snapshot) {
    const std::string bytes = encode_batch(&*saved_, snapshot, generation_, next_record_);
    std::error_code error = write_all(file_, bytes);
    if (!error) file_system_.sync(file_, error);
    if (error) {  // how much of it has been written is not known
        close_generation();
        return error;
    }
    changes_bytes_ += bytes.size();
    saved_ = snapshot;
    return error;
}

void SnapshotStore::close_generation() {
    file_system_.close(file_);
    file_ = FileSystem::kNoFile;
    saved_.reset();
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
    if (lock_ == FileSystem::kNoFile) {
        result.error = StateError::store_not_open;
        return result;
    }
    const GenerationList list = list_generations(file_system_, directory_);
    int whole = 0;
    for (const GenerationFile& file : list.files) {
        if (file.read_error) continue;  // not known to be of no use
        if (file.content.error == StateError::unsupported_version) continue;
        if (file.content.error || ++whole > kKeptGenerations) remove(file.name, result);
    }
    std::error_code unlisted;
    for (const std::string& name : file_system_.list(directory_, unlisted))
        if (is_part(name)) remove(name, result);
    if (list.error) result.error = list.error;
    if (unlisted) result.error = unlisted;
    return result;
}

}  // namespace elmbay::state
