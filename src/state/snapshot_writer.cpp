#include "state/snapshot_writer.hpp"

#include <pthread.h>

#include <condition_variable>
#include <csignal>
#include <exception>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>
#include <utility>

namespace elmbay::state {

using Steady = std::chrono::steady_clock;

struct SnapshotWriter::Shared {
    FileSystem& files;
    const std::string folder, instance;
    std::mutex mutex;
    std::condition_variable changed;
    // Under the mutex:
    std::optional<SnapshotStore::LoadResult> loaded;
    std::optional<Snapshot> next;
    bool stopping = false, busy = false;
    bool over = false;           // the thread has let go of the folder, and touches no file any more
    Steady::time_point since{};  // the save at hand
    Status status{};
};

SnapshotWriter::SnapshotWriter(FileSystem& files, std::string folder, std::string instance)
    : shared_(new Shared{files, std::move(folder), std::move(instance), {}, {}, {}, {}}) {}

SnapshotWriter::~SnapshotWriter() { stop(std::chrono::milliseconds(0)); }

SnapshotStore::LoadResult SnapshotWriter::start(std::chrono::milliseconds within) {
    try {
        std::thread(run, shared_).detach();
    } catch (const std::system_error& error) {  // the machine or a limit has no thread left
        const std::scoped_lock lock(shared_->mutex);
        shared_->stopping = shared_->over = true;
        return {{}, "no thread for the folder, " + error.code().message() + ": nothing is kept"};
    }
    std::unique_lock lock(shared_->mutex);
    const bool there = shared_->changed.wait_for(lock, within, [&] { return shared_->loaded.has_value(); });
    if (there) return std::move(*shared_->loaded);
    shared_->stopping = true;
    return {{}, "the disk has not answered in " + std::to_string(within.count()) + " ms: nothing is kept"};
}

void SnapshotWriter::post(Snapshot snapshot) {
    const std::scoped_lock lock(shared_->mutex);
    if (!shared_->status.usable || shared_->stopping) return;
    shared_->status.replaced += shared_->next.has_value();
    shared_->next = std::move(snapshot);
    shared_->changed.notify_all();
}

bool SnapshotWriter::stop(std::chrono::milliseconds within) {
    std::unique_lock lock(shared_->mutex);
    shared_->stopping = true;
    shared_->changed.notify_all();
    return shared_->changed.wait_for(lock, within, [&] { return shared_->over; });
}

SnapshotWriter::Status SnapshotWriter::status() const {
    const std::scoped_lock lock(shared_->mutex);
    Status s = shared_->status;
    s.hangs = shared_->busy && Steady::now() - shared_->since >= kHangThreshold;
    return s;
}

namespace {

// Signals are the event loop's. A write beyond RLIMIT_FSIZE sends one to the thread that writes, which would
// end the process: with it blocked the write fails with EFBIG, an error like any other.
void block_signals() {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

std::string text_of(const std::error_code& error) { return error ? error.message() : ""; }

// One save, the folder opened first where that has failed before. Empty: it ended well.
std::string try_save(SnapshotStore& store, const Snapshot& snapshot, bool refresh) {
    try {
        if (const std::error_code error = store.open()) return text_of(error);
        return text_of(store.save(snapshot, refresh));
    } catch (const std::exception& error) {  // of the machine's memory: no reason to end the program
        return error.what();
    }
}

SnapshotStore::LoadResult try_load(SnapshotStore& store, std::string& failure) {
    try {
        const std::error_code opened = store.open();
        failure = text_of(opened);
        if (!opened) return store.load();
        if (opened == std::errc::resource_unavailable_try_again)
            return {{}, "another process keeps its state in this folder: nothing is kept until it ends"};
        return {{}, "the folder can't be used: " + failure};
    } catch (const std::exception& error) {
        failure = error.what();
        return {{}, "the folder can't be used: " + failure};
    }
}

}  // namespace

void SnapshotWriter::run(const std::shared_ptr<Shared>& shared) {
    block_signals();
    // The thread's alone, and gone before it says that it is over: whoever has stopped us may take the files
    // away, and another process may have the folder.
    std::optional<SnapshotStore> store(std::in_place, shared->files, shared->folder, shared->instance);
    std::string failure;
    SnapshotStore::LoadResult loaded = try_load(*store, failure);

    std::unique_lock lock(shared->mutex);
    shared->loaded = std::move(loaded);
    shared->status.usable = !shared->stopping;
    shared->status.last_error = std::move(failure);
    shared->changed.notify_all();
    Steady::time_point refreshed = Steady::now();
    while (true) {
        shared->changed.wait(lock, [&] { return shared->next || shared->stopping; });
        if (!shared->next) break;
        const Snapshot snapshot = *std::exchange(shared->next, std::nullopt);
        shared->busy = true;
        shared->since = Steady::now();
        const bool refresh = shared->since - refreshed >= kRefreshInterval || shared->stopping;
        lock.unlock();
        std::string error = try_save(*store, snapshot, refresh);
        lock.lock();
        shared->busy = false;
        ++(error.empty() ? shared->status.saves : shared->status.failures);
        if (error.empty() && refresh) refreshed = shared->since;
        shared->status.last_error = std::move(error);
        shared->status.bytes = store->bytes_written();
    }
    shared->status.usable = false;
    lock.unlock();
    store.reset();
    lock.lock();
    shared->over = true;
    shared->changed.notify_all();
}

}  // namespace elmbay::state
