// A file system in memory with the failures of a real disk: any operation, or several in a row, can fail or
// write less than requested, and a crash keeps only what was synced, or also parts of the rest.
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
        fail,         // the operation fails with `fault_error` and has no effect
        disk_full,    // the operation fails with ENOSPC; a write first writes a part of its bytes
        short_write,  // a write writes only a part of its bytes and reports their number
        crash         // this and every later operation fails; crash() then sets what survives
    };
    // What survives a crash besides synced data. names: all file names. names_and_half: all file names and
    // half of the unsynced bytes of each file. random: each unsynced change of a name with probability 1/2,
    // as these may reach a disk in any order, and a random number of unsynced bytes of each file.
    enum class CrashSurvival { synced_only, names, names_and_half, everything, random };

    long first_fault = -1;  // the first operation that fails, counted from 0; negative: none
    long fault_count = 1;   // number of consecutive operations that fail
    Fault fault = Fault::fail;
    std::errc fault_error = std::errc::io_error;  // the error of Fault::fail
    // Whether create_directories, list, read and lock count as operations and can fail, too.
    bool counts_reads = false;
    long crash_operation = -1;  // the operation at which a crash happens besides the fault; negative: none
    long operations = 0;  // number of operations so far; without counts_reads only those that change data
    std::set<std::string> locked;  // paths of locked files

    void crash(CrashSurvival survival, std::uint64_t seed = 1) {
        std::mt19937_64 random(seed);
        if (survival == CrashSurvival::synced_only) names_ = durable_names_;
        if (survival == CrashSurvival::random) {
            names_ = durable_names_;
            for (const NameChange& change : unsynced_)
                if (random() % 2 == 0) apply(change, names_);
        }
        for (auto& [name, file] : names_) {
            if (survival == CrashSurvival::everything) continue;
            std::string surviving = file->durable;
            const bool has_unsynced_bytes = file->content.size() > surviving.size();
            if (survival == CrashSurvival::names_and_half && has_unsynced_bytes)
                surviving = file->content.substr(0, (surviving.size() + file->content.size()) / 2);
            if (survival == CrashSurvival::random && has_unsynced_bytes)
                surviving = file->content.substr(
                    0, surviving.size() + random() % (file->content.size() - surviving.size() + 1));
            file->content = file->durable = surviving;
        }
        durable_names_ = names_;
        unsynced_.clear();
        locked.clear();
        first_fault = crash_operation = -1;
        crashed_ = false;
    }
    void add_file(const std::string& path, const std::string& content) {
        names_[path] = std::make_shared<File>(File{content, content});
        durable_names_[path] = names_[path];
    }
    std::set<std::string> paths() const {
        std::set<std::string> paths;
        for (const auto& [name, file] : names_) paths.insert(name);
        return paths;
    }

    void create_directories(const std::string&, std::error_code& error) override { read_fails(error); }
    // A list that fails returns half of the names.
    std::vector<std::string> list(const std::string& directory, std::error_code& error) override {
        const bool failed = read_fails(error);
        std::vector<std::string> names;
        for (const auto& [path, file] : names_)
            if (path.starts_with(directory + "/")) names.push_back(path.substr(directory.size() + 1));
        if (failed) names.resize(names.size() / 2);
        return names;
    }
    std::string read(const std::string& path, std::size_t max_bytes, std::error_code& error) override {
        if (read_fails(error)) return {};
        const auto file = names_.find(path);
        if (file == names_.end()) error = std::make_error_code(std::errc::no_such_file_or_directory);
        return error ? std::string() : file->second->content.substr(0, max_bytes + 1);
    }
    Handle create(const std::string& path, std::error_code& error) override {
        if (operation_fails(error)) return -1;
        change({NameChange::Kind::create, path, {}, std::make_shared<File>()});
        open_files_[++last_handle_] = names_[path];
        return last_handle_;
    }
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        const bool is_cut =
            is_faulty_operation() && (fault == Fault::short_write || fault == Fault::disk_full);
        if (is_cut) bytes = bytes.substr(0, bytes.size() / 2 + 1);
        if (is_cut && fault == Fault::short_write) {
            ++operations;
            error.clear();
        } else if (operation_fails(error) && !is_cut) {
            return 0;
        }
        open_files_.at(file)->content += bytes;
        return bytes.size();
    }
    // A failed sync loses the unsynced bytes. As on Linux, the kernel marks them as written, and a later sync
    // of the same file succeeds without writing them.
    void sync(Handle file, std::error_code& error) override {
        File& synced = *open_files_.at(file);
        if (operation_fails(error)) synced.sync_failed = true;
        if (!error && !synced.sync_failed) synced.durable = synced.content;
    }
    void close(Handle file) override { open_files_.erase(file); }
    void rename(const std::string& from, const std::string& to, std::error_code& error) override {
        if (operation_fails(error)) return;
        change({NameChange::Kind::rename, to, from, names_.at(from)});
    }
    // As with files, the next sync does not write the name changes that a failed sync has lost.
    void sync_directory(const std::string&, std::error_code& error) override {
        if (!operation_fails(error))
            for (const NameChange& synced_change : unsynced_) apply(synced_change, durable_names_);
        unsynced_.clear();
    }
    void remove(const std::string& path, std::error_code& error) override {
        if (!operation_fails(error)) change({NameChange::Kind::remove, path, {}, nullptr});
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        if (read_fails(error)) return -1;
        if (!locked.insert(path).second)
            error = std::make_error_code(std::errc::resource_unavailable_try_again);
        return error ? -1 : ++last_handle_;
    }

private:
    struct File {
        std::string content, durable;
        bool sync_failed = false;  // later syncs do not write the content
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

    bool is_faulty_operation() const {
        return first_fault >= 0 && operations >= first_fault && operations - first_fault < fault_count;
    }
    bool read_fails(std::error_code& error) {
        error.clear();
        return counts_reads && operation_fails(error);
    }
    bool operation_fails(std::error_code& error) {
        error.clear();
        const bool is_faulty = is_faulty_operation();
        if ((is_faulty && fault == Fault::crash) || operations == crash_operation) crashed_ = true;
        ++operations;
        if (crashed_)
            error = std::make_error_code(std::errc::io_error);
        else if (is_faulty && fault != Fault::short_write)
            error =
                std::make_error_code(fault == Fault::disk_full ? std::errc::no_space_on_device : fault_error);
        return static_cast<bool>(error);
    }

    Names names_, durable_names_;
    std::vector<NameChange> unsynced_;
    std::map<Handle, std::shared_ptr<File>> open_files_;
    Handle last_handle_ = 0;
    bool crashed_ = false;
};

}  // namespace elmbay::state::test
