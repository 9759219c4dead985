#include "state/snapshot_writer.hpp"

#include <pthread.h>

#include <condition_variable>
#include <csignal>
#include <exception>
#include <mutex>
#include <new>
#include <optional>
#include <thread>
#include <utility>

namespace elmbay::state {

namespace {

using SteadyClock = std::chrono::steady_clock;

// Blocks all signals on the writer thread, because the event loop handles them. A write beyond RLIMIT_FSIZE
// sends SIGXFSZ to the writing thread, which would end the process. With the signal blocked the write fails
// with EFBIG like any other failed write.
void block_signals() {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

// Calls `call` and returns its error. Converts an exception to an error code, because an exception that
// leaves the thread's function would end the process.
template <class Call>
std::error_code catch_exceptions(Call call) {
    try {
        return call();
    } catch (const std::bad_alloc&) {
        return std::make_error_code(std::errc::not_enough_memory);
    } catch (const std::exception&) {
        return StateError::unexpected_exception;
    }
}

LoadResult open_and_load(SnapshotStore& store) {
    LoadResult result;
    const std::error_code error = catch_exceptions([&]() -> std::error_code {
        if (const std::error_code open_error = store.open()) return open_error;
        result = store.load();
        return result.error;
    });
    if (error) result = LoadResult{{}, {}, error};
    return result;
}

// Saves a snapshot. Opens the directory first if an earlier attempt to open it failed.
std::error_code open_and_save(SnapshotStore& store, const Snapshot& snapshot, SaveMode mode) {
    return catch_exceptions([&]() -> std::error_code {
        if (const std::error_code open_error = store.open()) return open_error;
        return store.save(snapshot, mode);
    });
}

}  // namespace

// The state that the SnapshotWriter shares with its thread.
struct SnapshotWriter::Shared {
    FileSystem& file_system;
    const std::string directory;
    const std::string instance;
    std::mutex mutex;
    std::condition_variable changed;
    // Guarded by the mutex:
    std::optional<LoadResult> load_result;
    std::optional<Snapshot> pending;
    bool stopping = false;
    bool saving = false;
    bool finished = false;  // the thread has unlocked the directory and accesses no file any more
    SteadyClock::time_point save_started_at{};
    Status status{};
};

SnapshotWriter::SnapshotWriter(FileSystem& file_system, std::string directory, std::string instance)
    : shared_(new Shared{file_system, std::move(directory), std::move(instance), {}, {}, {}, {}}) {}

SnapshotWriter::~SnapshotWriter() { stop(std::chrono::milliseconds(0)); }

LoadResult SnapshotWriter::start(std::chrono::milliseconds timeout) {
    try {
        std::thread(run_thread, shared_).detach();
    } catch (const std::system_error&) {  // thread limit reached or out of resources
        const std::scoped_lock lock(shared_->mutex);
        shared_->stopping = true;
        shared_->finished = true;
        return {{}, {}, StateError::no_writer_thread};
    }
    std::unique_lock lock(shared_->mutex);
    const auto has_loaded = [&] { return shared_->load_result.has_value(); };
    if (shared_->changed.wait_for(lock, timeout, has_loaded)) return std::move(*shared_->load_result);
    shared_->stopping = true;
    return {{}, {}, StateError::load_timed_out};
}

void SnapshotWriter::post(Snapshot snapshot) {
    const std::scoped_lock lock(shared_->mutex);
    if (!shared_->status.accepting || shared_->stopping) return;
    if (shared_->pending) ++shared_->status.superseded;
    shared_->pending = std::move(snapshot);
    shared_->changed.notify_all();
}

bool SnapshotWriter::stop(std::chrono::milliseconds timeout) {
    std::unique_lock lock(shared_->mutex);
    shared_->stopping = true;
    shared_->changed.notify_all();
    return shared_->changed.wait_for(lock, timeout, [&] { return shared_->finished; });
}

SnapshotWriter::Status SnapshotWriter::status() const {
    const std::scoped_lock lock(shared_->mutex);
    Status status = shared_->status;
    status.hanging = shared_->saving && SteadyClock::now() - shared_->save_started_at >= kHangThreshold;
    return status;
}

void SnapshotWriter::run_thread(const std::shared_ptr<Shared>& shared) {
    block_signals();
    // The store is owned by this thread and destroyed before `finished` is set. From then on the caller of
    // stop() may remove the files, and another process may open the directory.
    std::optional<SnapshotStore> store(std::in_place, shared->file_system, shared->directory,
                                       shared->instance);
    LoadResult loaded = open_and_load(*store);
    {
        const std::scoped_lock lock(shared->mutex);
        shared->status.accepting = !shared->stopping;
        shared->status.last_error = loaded.error;
        shared->load_result = std::move(loaded);
        shared->changed.notify_all();
    }
    save_posted_snapshots(*shared, *store);
    store.reset();
    const std::scoped_lock lock(shared->mutex);
    shared->finished = true;
    shared->changed.notify_all();
}

void SnapshotWriter::save_posted_snapshots(Shared& shared, SnapshotStore& store) {
    SteadyClock::time_point last_refresh = SteadyClock::now();
    std::unique_lock lock(shared.mutex);
    while (true) {
        shared.changed.wait(lock, [&] { return shared.pending || shared.stopping; });
        if (!shared.pending) break;
        const Snapshot snapshot = *std::exchange(shared.pending, std::nullopt);
        shared.saving = true;
        shared.save_started_at = SteadyClock::now();
        const bool needs_refresh =
            shared.save_started_at - last_refresh >= kRefreshInterval || shared.stopping;
        lock.unlock();
        const std::error_code error =
            open_and_save(store, snapshot, needs_refresh ? SaveMode::always : SaveMode::if_changed);
        lock.lock();
        shared.saving = false;
        ++(error ? shared.status.failed_saves : shared.status.saves);
        if (!error && needs_refresh) last_refresh = shared.save_started_at;
        shared.status.last_error = error;
        shared.status.bytes_written = store.bytes_written();
    }
    shared.status.accepting = false;
}

}  // namespace elmbay::state
