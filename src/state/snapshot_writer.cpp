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

using Steady = std::chrono::steady_clock;

// Signals are the event loop's. A write beyond RLIMIT_FSIZE sends one to the thread that writes, which would
// end the process: with it blocked the write fails with EFBIG, an error like any other.
void block_signals() {
    sigset_t all;
    ::sigfillset(&all);
    ::pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

// What a call gives, an exception turned into the error that it stands for: no reason to end the program.
template <class Call>
std::error_code error_of(Call call) {
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
    const std::error_code error = error_of([&]() -> std::error_code {
        if (const std::error_code opened = store.open()) return opened;
        result = store.load();
        return result.error;
    });
    if (error) result = LoadResult{{}, {}, error};
    return result;
}

// The directory is opened first where that has failed before.
std::error_code open_and_save(SnapshotStore& store, const Snapshot& snapshot, SaveMode mode) {
    return error_of([&]() -> std::error_code {
        if (const std::error_code opened = store.open()) return opened;
        return store.save(snapshot, mode);
    });
}

}  // namespace

struct SnapshotWriter::Shared {
    FileSystem& file_system;
    const std::string directory;
    const std::string instance;
    std::mutex mutex;
    std::condition_variable changed;
    // Under the mutex:
    std::optional<LoadResult> loaded;
    std::optional<Snapshot> next;
    bool stopping = false;
    bool saving = false;
    bool finished = false;  // the thread has let go of the directory, and touches no file any more
    Steady::time_point save_began{};
    Status status{};
};

SnapshotWriter::SnapshotWriter(FileSystem& file_system, std::string directory, std::string instance)
    : shared_(new Shared{file_system, std::move(directory), std::move(instance), {}, {}, {}, {}}) {}

SnapshotWriter::~SnapshotWriter() { stop(std::chrono::milliseconds(0)); }

LoadResult SnapshotWriter::start(std::chrono::milliseconds timeout) {
    try {
        std::thread(run, shared_).detach();
    } catch (const std::system_error&) {  // the system, or a limit, has no thread left
        const std::scoped_lock lock(shared_->mutex);
        shared_->stopping = true;
        shared_->finished = true;
        return {{}, {}, StateError::no_writer_thread};
    }
    std::unique_lock lock(shared_->mutex);
    const auto has_loaded = [&] { return shared_->loaded.has_value(); };
    if (shared_->changed.wait_for(lock, timeout, has_loaded)) return std::move(*shared_->loaded);
    shared_->stopping = true;
    return {{}, {}, StateError::load_timed_out};
}

void SnapshotWriter::post(Snapshot snapshot) {
    const std::scoped_lock lock(shared_->mutex);
    if (!shared_->status.accepting || shared_->stopping) return;
    if (shared_->next) ++shared_->status.superseded;
    shared_->next = std::move(snapshot);
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
    status.hanging = shared_->saving && Steady::now() - shared_->save_began >= kHangThreshold;
    return status;
}

void SnapshotWriter::run(const std::shared_ptr<Shared>& shared) {
    block_signals();
    // Owned by this thread, and destroyed before `finished` is set: the caller of stop() may then remove the
    // files, and another process may open the directory.
    std::optional<SnapshotStore> store(std::in_place, shared->file_system, shared->directory,
                                       shared->instance);
    LoadResult loaded = open_and_load(*store);
    {
        const std::scoped_lock lock(shared->mutex);
        shared->status.accepting = !shared->stopping;
        shared->status.last_error = loaded.error;
        shared->loaded = std::move(loaded);
        shared->changed.notify_all();
    }
    serve(*shared, *store);
    store.reset();
    const std::scoped_lock lock(shared->mutex);
    shared->finished = true;
    shared->changed.notify_all();
}

void SnapshotWriter::serve(Shared& shared, SnapshotStore& store) {
    Steady::time_point refreshed = Steady::now();
    std::unique_lock lock(shared.mutex);
    while (true) {
        shared.changed.wait(lock, [&] { return shared.next || shared.stopping; });
        if (!shared.next) break;
        const Snapshot snapshot = *std::exchange(shared.next, std::nullopt);
        shared.saving = true;
        shared.save_began = Steady::now();
        const bool refresh = shared.save_began - refreshed >= kRefreshInterval || shared.stopping;
        lock.unlock();
        const std::error_code error =
            open_and_save(store, snapshot, refresh ? SaveMode::always : SaveMode::if_changed);
        lock.lock();
        shared.saving = false;
        ++(error ? shared.status.failed_saves : shared.status.saves);
        if (!error && refresh) refreshed = shared.save_began;
        shared.status.last_error = error;
        shared.status.bytes_written = store.bytes_written();
    }
    shared.status.accepting = false;
}

}  // namespace elmbay::state
