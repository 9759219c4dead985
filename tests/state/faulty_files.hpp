// A disk in memory that fails as disks do: any one operation can fail or be cut short, and a crash keeps only
// what was synced, or some of the rest.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "state/files.hpp"

namespace elmbay::state::test {

class FaultyFiles : public Files {
public:
    enum class Fault {
        fails,    // EIO; nothing of it happens
        full,     // ENOSPC; a write is cut in the middle first
        shorter,  // a write takes only some of it, and says so
        crash     // this and every later operation fails; what then survives, crash() says
    };
    // What a crash keeps of what was not synced.
    enum class Survives { nothing, names, names_and_half, all };

    long at = -1;  // the operation that goes wrong, counted from 0; less than 0: none
    Fault fault = Fault::fails;
    long operations = 0;  // that change something
    std::set<std::string> locked;

    void crash(Survives what) {
        if (what == Survives::nothing) names_ = durable_names_;
        for (auto& [name, file] : names_) {
            if (what == Survives::all) continue;
            std::string kept = file->durable;
            if (what == Survives::names_and_half && file->content.size() > kept.size())
                kept = file->content.substr(0, (kept.size() + file->content.size()) / 2);
            file->content = file->durable = kept;
        }
        durable_names_ = names_;
        locked.clear();
        at = -1;
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

    void make_folder(const std::string&, std::error_code& error) override { error.clear(); }
    std::vector<std::string> list(const std::string& folder, std::error_code& error) override {
        error.clear();
        std::vector<std::string> names;
        for (const auto& [path, file] : names_)
            if (path.starts_with(folder + "/")) names.push_back(path.substr(folder.size() + 1));
        return names;
    }
    std::string read(const std::string& path, std::size_t most, std::error_code& error) override {
        error.clear();
        const auto file = names_.find(path);
        if (file == names_.end()) error = std::make_error_code(std::errc::no_such_file_or_directory);
        return error ? std::string() : file->second->content.substr(0, most + 1);
    }
    Handle create(const std::string& path, std::error_code& error) override {
        if (goes_wrong(error)) return -1;
        names_[path] = std::make_shared<File>();
        open_[++last_] = names_[path];
        return last_;
    }
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        const bool cut = operations == at && (fault == Fault::shorter || fault == Fault::full);
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
    void sync(Handle file, std::error_code& error) override {
        if (!goes_wrong(error)) open_.at(file)->durable = open_.at(file)->content;
    }
    void close(Handle file) override { open_.erase(file); }
    void rename(const std::string& from, const std::string& to, std::error_code& error) override {
        if (goes_wrong(error)) return;
        names_[to] = names_.at(from);
        names_.erase(from);
    }
    void sync_folder(const std::string&, std::error_code& error) override {
        if (!goes_wrong(error)) durable_names_ = names_;
    }
    void remove(const std::string& path, std::error_code& error) override {
        if (!goes_wrong(error)) names_.erase(path);
    }
    Handle lock(const std::string& path, std::error_code& error) override {
        error.clear();
        if (!locked.insert(path).second)
            error = std::make_error_code(std::errc::resource_unavailable_try_again);
        return error ? -1 : ++last_;
    }

private:
    struct File {
        std::string content, durable;
    };

    bool goes_wrong(std::error_code& error) {
        error.clear();
        const bool now = operations++ == at;
        if (now && fault == Fault::crash) crashed_ = true;
        if (crashed_ || (now && fault != Fault::shorter))
            error = std::make_error_code(fault == Fault::full ? std::errc::no_space_on_device
                                                              : std::errc::io_error);
        return static_cast<bool>(error);
    }

    std::map<std::string, std::shared_ptr<File>> names_, durable_names_;
    std::map<Handle, std::shared_ptr<File>> open_;
    Handle last_ = 0;
    bool crashed_ = false;
};

}  // namespace elmbay::state::test
