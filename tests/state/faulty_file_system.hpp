// A disk in memory that fails as disks do: any one operation, or some in a row, can fail or be cut short, and
// a crash keeps only what was synced, or some of the rest.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "state/file_system.hpp"

namespace elmbay::state::test {

class FaultyFileSystem : public FileSystem {
public:
    enum class Fault {
        fails,    // EIO, or what `reason` says; nothing of it happens
        full,     // ENOSPC; a write is cut in the middle first
        shorter,  // a write takes only some of it, and says so
        crash     // this and every later operation fails; what then survives, crash() says
    };
    // What a crash keeps of what was not synced. some: of each name and of each file's bytes by chance, as
    // names that are not synced may reach a disk in any order.
    enum class Survives { nothing, names, names_and_half, all, some };

    long at = -1;    // the operation that goes wrong, counted from 0; less than 0: none
    long lasts = 1;  // how many in a row go wrong
    Fault fault = Fault::fails;
    std::errc reason = std::errc::io_error;  // of Fault::fails
    bool reads_too = false;                  // whether folders made, locks, lists and reads count as well
    long crash_at = -1;                      // a crash on top of the fault; less than 0: none
    long operations = 0;                     // that change something, or all with reads_too
    std::set<std::string> locked;

    void crash(Survives what, std::uint64_t seed = 1) {
        std::mt19937_64 random(seed);
        if (what == Survives::nothing) names_ = durable_names_;
        if (what == Survives::some) {
            names_ = durable_names_;
            for (const NameChange& change : unsynced_)
                if (random() % 2 == 0) apply(change, names_);
        }
        for (auto& [name, file] : names_) {
            if (what == Survives::all) continue;
            std::string kept = file->durable;
            const bool more = file->content.size() > kept.size();
            if (what == Survives::names_and_half && more)
                kept = file->content.substr(0, (kept.size() + file->content.size()) / 2);
            if (what == Survives::some && more)
                kept = file->content.substr(
                    0, kept.size() + random() % (file->content.size() - kept.size() + 1));
            file->content = file->durable = kept;
        }
        durable_names_ = names_;
        unsynced_.clear();
        locked.clear();
        at = crash_at = -1;
        crashed_ = false;
    }
    void put(const std::string& path, const std::string& content) {
        names_[path] = std::make_shared<File>(File{content, content});
        durable_names_[path] = names_[path];
    }
    std::set<std::string> paths() const {
        std::set<std::string> all;
        for (const auto& [name, file] : names_) all.insert(name);
        return all;
    }

    void create_directories(const std::string&, std::error_code& error) override { read_goes_wrong(error); }
    // A list that fails has named some of the files already.
    std::vector<std::string> list(const std::string& folder, std::error_code& error) override {
        const bool wrong = read_goes_wrong(error);
        std::vector<std::string> names;
        for (const auto& [path, file] : names_)
            if (path.starts_with(folder + "/")) names.push_back(path.substr(folder.size() + 1));
        if (wrong) names.resize(names.size() / 2);
        return names;
    }
    std::string read(const std::string& path, std::size_t most, std::error_code& error) override {
        if (read_goes_wrong(error)) return {};
        const auto file = names_.find(path);
        if (file == names_.end()) error = std::make_error_code(std::errc::no_such_file_or_directory);
        return error ? std::string() : file->second->content.substr(0, most + 1);
    }
    Handle create(const std::string& path, std::error_code& error) override {
        if (goes_wrong(error)) return -1;
        change({NameChange::Kind::create, path, {}, std::make_shared<File>()});
        open_[++last_] = names_[path];
        return last_;
    }
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        const bool cut = fails_now() && (fault == Fault::shorter || fault == Fault::full);
        if (cut) bytes = bytes.substr(0, bytes.size() / 2 + 1);
        if (cut && fault == Fault::shorter) {
            ++operations;
            error.clear();
        } else if (goes_wrong(error) && !cut) {
            return 0;
        }
        open_.at(file)->content += bytes;
        return bytes.size();
    }
    // One that fails loses what it was for: the machine takes those bytes for written, and a later sync of
    // the same file says nothing of them.
    void sync(Handle file, std::error_code& error) override {
        File& synced = *open_.at(file);
        if (goes_wrong(error)) synced.lost = true;
        if (!error && !synced.lost) synced.durable = synced.content;
    }
    void close(Handle file) override { open_.erase(file); }
    void rename(const std::string& from, const std::string& to, std::error_code& error) override {
        if (goes_wrong(error)) return;
        change({NameChange::Kind::rename, to, from, names_.at(from)});
    }
    // As with files: the changes of names that a failed sync was for are not made up for by the next.
    void sync_directory(const std::string&, std::error_code& error) override {
        if (!goes_wrong(error))
            for (const NameChange& done : unsynced_) apply(done, durable_names_);
        unsynced_.clear();
    }
    void remove(const std::string& path, std::error_code& error) override {
        if (!goes_wrong(error)) change({NameChange::Kind::remove, path, {}, nullptr});
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        if (read_goes_wrong(error)) return -1;
        if (!locked.insert(path).second)
            error = std::make_error_code(std::errc::resource_unavailable_try_again);
        return error ? -1 : ++last_;
    }

private:
    struct File {
        std::string content, durable;
        bool lost = false;  // a sync of it has failed
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;
    struct NameChange {
        enum class Kind { create, rename, remove } kind;
        std::string path, from;
        std::shared_ptr<File> file;
    };

    static void apply(const NameChange& change, Names& names) {
        if (change.kind == NameChange::Kind::remove) {
            names.erase(change.path);
            return;
        }
        names[change.path] = change.file;
        if (change.kind == NameChange::Kind::rename) names.erase(change.from);
    }
    void change(const NameChange& change) {
        apply(change, names_);
        unsynced_.push_back(change);
    }

    bool fails_now() const { return at >= 0 && operations >= at && operations - at < lasts; }
    bool read_goes_wrong(std::error_code& error) {
        error.clear();
        return reads_too && goes_wrong(error);
    }
    bool goes_wrong(std::error_code& error) {
        error.clear();
        const bool now = fails_now();
        if ((now && fault == Fault::crash) || operations == crash_at) crashed_ = true;
        ++operations;
        if (crashed_)
            error = std::make_error_code(std::errc::io_error);
        else if (now && fault != Fault::shorter)
            error = std::make_error_code(fault == Fault::full ? std::errc::no_space_on_device : reason);
        return static_cast<bool>(error);
    }

    Names names_, durable_names_;
    std::vector<NameChange> unsynced_;
    std::map<Handle, std::shared_ptr<File>> open_;
    Handle last_ = 0;
    bool crashed_ = false;
};

}  // namespace elmbay::state::test
