#include "state/keeper.hpp"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace elmbay::state {

using Steady = std::chrono::steady_clock;

struct Keeper::Shared {
    Files& files;
    const std::string folder, instance;
    std::mutex mutex;
    std::condition_variable changed;
    // Under the mutex:
    std::optional<Store::Loaded> loaded;
    std::optional<Snapshot> next;
    bool stopping = false, busy = false;
    bool over = false;           // the thread has let go of the folder, and touches no file any more
    Steady::time_point since{};  // the save at hand
    Status status{};
};

Keeper::Keeper(Files& files, std::string folder, std::string instance)
    : shared_(new Shared{files, std::move(folder), std::move(instance), {}, {}, {}, {}}) {}

Keeper::~Keeper() { stop(Span(0)); }

Store::Loaded Keeper::start(Span within) {
    std::thread(run, shared_).detach();
    std::unique_lock lock(shared_->mutex);
    const bool there = shared_->changed.wait_for(lock, within, [&] { return shared_->loaded.has_value(); });
    if (there) return std::move(*shared_->loaded);
    shared_->stopping = true;
    return {{}, "the disk has not answered in " + std::to_string(within.count()) + " ms: nothing is kept"};
}

void Keeper::post(Snapshot snapshot) {
    const std::scoped_lock lock(shared_->mutex);
    if (!shared_->status.usable || shared_->stopping) return;
    shared_->status.replaced += shared_->next.has_value();
    shared_->next = std::move(snapshot);
    shared_->changed.notify_all();
}

bool Keeper::stop(Span within) {
    std::unique_lock lock(shared_->mutex);
    shared_->stopping = true;
    shared_->changed.notify_all();
    return shared_->changed.wait_for(lock, within, [&] { return shared_->over; });
}

Keeper::Status Keeper::status() const {
    const std::scoped_lock lock(shared_->mutex);
    Status s = shared_->status;
    s.hangs = shared_->busy && Steady::now() - shared_->since >= kHungAfter;
    return s;
}

void Keeper::run(const std::shared_ptr<Shared>& shared) {
    // The thread's alone, and gone before it says that it is over: whoever has stopped us may take the files
    // away, and another process may have the folder.
    std::optional<Store> store(std::in_place, shared->files, shared->folder, shared->instance);
    Store::Loaded loaded;
    const std::error_code opened = store->open();
    if (opened == std::errc::resource_unavailable_try_again)
        loaded.why = "another process keeps its state in this folder: nothing is kept";
    else if (opened)
        loaded.why = "the folder can't be used: " + opened.message();
    else
        loaded = store->load();

    std::unique_lock lock(shared->mutex);
    shared->loaded = std::move(loaded);
    shared->status.usable = !opened;
    shared->changed.notify_all();
    Steady::time_point refreshed = Steady::now();
    while (!opened) {
        shared->changed.wait(lock, [&] { return shared->next || shared->stopping; });
        if (!shared->next) break;
        const Snapshot snapshot = *std::exchange(shared->next, std::nullopt);
        shared->busy = true;
        shared->since = Steady::now();
        const bool refresh = shared->since - refreshed >= kRefresh || shared->stopping;
        lock.unlock();
        const std::error_code error = store->save(snapshot, refresh);
        lock.lock();
        shared->busy = false;
        ++(error ? shared->status.failures : shared->status.saves);
        if (!error && refresh) refreshed = shared->since;
        shared->status.last_error = error ? error.message() : "";
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
