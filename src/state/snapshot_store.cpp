#include "state/snapshot_store.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace elmbay::state {

namespace {

constexpr std::string_view kPrefix = "elmbay-", kSuffix = ".state", kPart = ".part";
constexpr std::size_t kDigits = 16;
constexpr std::uint64_t kLastGeneration = UINT64_MAX / 2;

std::string name_of(std::uint64_t generation) {
    return fmt::format("{}{:016x}{}", kPrefix, generation, kSuffix);
}
// The generation that a file's name says; nothing for other files.
std::optional<std::uint64_t> generation_in(std::string_view name) {
    if (name.size() != kPrefix.size() + kDigits + kSuffix.size()) return {};
    if (!name.starts_with(kPrefix) || !name.ends_with(kSuffix)) return {};
    const std::string_view digits = name.substr(kPrefix.size(), kDigits);
    std::uint64_t generation = 0;
    const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + kDigits, generation, 16);
    if (wrong != std::errc() || end != digits.data() + kDigits) return {};
    // The half that no life reaches: a planted one must not leave us without a next.
    if (generation > kLastGeneration) return {};
    return generation;
}
bool is_part(std::string_view name) {
    return name.ends_with(kPart) && generation_in(name.substr(0, name.size() - kPart.size()));
}

}  // namespace

SnapshotStore::SnapshotStore(FileSystem& files, std::string folder, std::string instance)
    : files_(files), folder_(std::move(folder)), instance_(std::move(instance)) {}

SnapshotStore::~SnapshotStore() {
    close_generation();
    files_.close(lock_);
}

std::error_code SnapshotStore::open() {
    std::error_code error;
    if (lock_ >= 0) return error;
    files_.create_directories(folder_, error);
    if (!error) lock_ = files_.lock(path("lock"), error);
    return error;
}

std::vector<SnapshotStore::GenerationFile> SnapshotStore::list_generations(FileSystem& files,
                                                                           const std::string& folder,
                                                                           std::error_code& error) {
    std::vector<GenerationFile> entries;
    for (const std::string& name : files.list(folder, error)) {
        const auto generation = generation_in(name);
        if (!generation) continue;
        GenerationFile e{name};
        const std::string bytes = files.read(folder + "/" + name, kMaxFileBytes, e.error);
        e.size = bytes.size();
        if (!e.error) e.reading = decode_snapshot_file(bytes);
        if (!e.error && e.reading.trouble == Trouble::none && e.reading.generation != *generation) {
            e.reading.trouble = Trouble::broken;
            e.reading.why = "it was written under another name";
        }
        entries.push_back(std::move(e));
    }
    std::sort(entries.begin(), entries.end(),
              [](const GenerationFile& a, const GenerationFile& b) { return a.name > b.name; });
    return entries;
}

SnapshotStore::LoadResult SnapshotStore::load() {
    LoadResult loaded;
    if (lock_ < 0) return {{}, "the store is not open"};
    std::error_code error;
    const auto note = [&](const std::string& name, const std::string& what) {
        loaded.why += (loaded.why.empty() ? "" : "; ") + name + ": " + what;
    };
    for (GenerationFile& e : list_generations(files_, folder_, error)) {
        newest_ = std::max(newest_, *generation_in(e.name));
        if (loaded.snapshot) continue;
        if (e.error)
            note(e.name, e.error.message());
        else if (e.reading.trouble != Trouble::none)
            note(e.name, e.reading.why);
        else if (e.reading.snapshot->instance != instance_)
            note(e.name, "it is of instance '" + e.reading.snapshot->instance + "'");
        else
            loaded.snapshot = std::move(e.reading.snapshot);
        if (loaded.snapshot && !e.reading.why.empty()) note(e.name, e.reading.why);
    }
    if (error)
        note(folder_, error.message());
    else
        listed_ = true;
    return loaded;
}

std::error_code SnapshotStore::save(const Snapshot& snapshot, bool refresh) {
    if (lock_ < 0) return std::make_error_code(std::errc::bad_file_descriptor);
    if (snapshot.uids.size() > kMaxServers || snapshot.instance.empty() ||
        snapshot.instance.size() > kMaxNameBytes)
        return std::make_error_code(std::errc::invalid_argument);
    if (file_ < 0 || changes_ > std::max(kMinChangesBytes, whole_ * kMaxChangesRatio))
        return begin_generation(snapshot);
    std::uint64_t records = 0;
    encode_batch(&*saved_, snapshot, generation_, records);
    if (records == 1 && !refresh) return {};  // its end, with the time, and nothing else
    return append(snapshot);
}

std::error_code SnapshotStore::write_all(FileSystem::Handle file, std::string_view bytes) {
    std::error_code error;
    while (!bytes.empty()) {
        const std::size_t n = files_.write(file, bytes, error);
        if (error) return error;
        // A disk that takes nothing and says nothing would keep us here.
        if (n == 0) return std::make_error_code(std::errc::io_error);
        written_ += n;
        bytes.remove_prefix(n);
    }
    return error;
}

std::error_code SnapshotStore::begin_generation(const Snapshot& snapshot) {
    close_generation();
    std::error_code error, ignored;
    // Newer than any that is or was there, also than those that can't be read. A list that failed may have
    // left out the newest.
    if (!listed_)
        for (const std::string& name : files_.list(folder_, error))
            if (const auto there = generation_in(name)) newest_ = std::max(newest_, *there);
    if (error) return error;
    listed_ = true;
    const std::uint64_t generation = newest_ + 1;
    const std::string name = name_of(generation), part = path(name + std::string(kPart));
    std::uint64_t next = 0;
    const std::string bytes =
        encode_header(snapshot, generation) + encode_batch(nullptr, snapshot, generation, next);
    const FileSystem::Handle file = files_.create(part, error);
    if (!error) error = write_all(file, bytes);
    if (!error) files_.sync(file, error);
    if (!error) files_.rename(part, path(name), error);
    const bool renamed = !error;
    // Until the folder is synced a crash may take the name away. Then nothing may be added to the file: the
    // next save writes this generation again, over this name, so that none pile up meanwhile.
    if (renamed) files_.sync_directory(folder_, error);
    if (error) {
        files_.close(file);
        if (!renamed) files_.remove(part, ignored);
        return error;
    }
    newest_ = generation;
    file_ = file, generation_ = generation, next_record_ = next;
    whole_ = bytes.size(), changes_ = 0;
    saved_ = snapshot;
    prune(ignored);
    return error;
}

std::error_code SnapshotStore::append(const Snapshot& snapshot) {
    const std::string bytes = encode_batch(&*saved_, snapshot, generation_, next_record_);
    std::error_code error = write_all(file_, bytes);
    if (!error) files_.sync(file_, error);
    if (error) {  // how much of it is there nobody knows
        close_generation();
        return error;
    }
    changes_ += bytes.size();
    saved_ = snapshot;
    return error;
}

void SnapshotStore::close_generation() {
    files_.close(file_);
    file_ = -1;
    saved_.reset();
}

std::vector<std::string> SnapshotStore::prune(std::error_code& error) {
    std::vector<std::string> gone;
    if (lock_ < 0) {
        error = std::make_error_code(std::errc::bad_file_descriptor);
        return gone;
    }
    const auto drop = [&](const std::string& name) {
        std::error_code failed;
        files_.remove(path(name), failed);
        if (failed)
            error = failed;
        else
            gone.push_back(name);
    };
    int whole = 0;
    std::error_code unread;
    for (const GenerationFile& e : list_generations(files_, folder_, unread)) {
        if (e.error || e.reading.trouble == Trouble::newer) continue;  // not ours to judge
        if (e.reading.trouble == Trouble::broken || ++whole > kKeptGenerations) drop(e.name);
    }
    for (const std::string& name : files_.list(folder_, unread))
        if (is_part(name)) drop(name);
    if (unread) error = unread;
    return gone;
}

}  // namespace elmbay::state
