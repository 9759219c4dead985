#include "system_calls.hpp"

#include <dirent.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdarg>
#include <mutex>

namespace elmbay::state::test {

namespace {

std::mutex mutex;
CallPlan planned;  // no call has an empty name
long seen = 0, wrong = 0;

// Whether this call goes wrong; its errno, 0 for a short one.
bool goes_wrong(const char* call, int& error) {
    const std::scoped_lock lock(mutex);
    if (planned.call != call) return false;
    const long number = seen++;
    if (number < planned.after || number >= planned.after + planned.times) return false;
    ++wrong;
    error = planned.error;
    return true;
}

bool fails(const char* call) {
    int error = 0;
    if (!goes_wrong(call, error)) return false;
    errno = error;
    return true;
}

template <class Function>
Function* next(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

void plan_calls(CallPlan plan) {
    const std::scoped_lock lock(mutex);
    planned = std::move(plan);
    seen = wrong = 0;
}
void no_plan() { plan_calls({}); }
long faulted_calls() {
    const std::scoped_lock lock(mutex);
    return wrong;
}

}  // namespace elmbay::state::test

using elmbay::state::test::fails;
using elmbay::state::test::goes_wrong;
using elmbay::state::test::next;

extern "C" {

int open(const char* path, int flags, ...) {
    mode_t mode = 0;
    if ((flags & O_CREAT) != 0) {
        va_list more;
        va_start(more, flags);
        mode = va_arg(more, mode_t);
        va_end(more);
    }
    if (fails("open")) return -1;
    return static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

ssize_t read(int file, void* bytes, size_t size) {
    int error = 0;
    if (goes_wrong("read", error)) {
        errno = error;
        if (error != 0) return -1;
        size = size > 0;
    }
    return ::syscall(SYS_read, file, bytes, size);
}

ssize_t write(int file, const void* bytes, size_t size) {
    int error = 0;
    if (goes_wrong("write", error)) {
        errno = error;
        if (error != 0) return -1;
        size = size > 0;
    }
    return ::syscall(SYS_write, file, bytes, size);
}

int fsync(int file) { return fails("fsync") ? -1 : static_cast<int>(::syscall(SYS_fsync, file)); }

int flock(int file, int how) noexcept {
    return fails("flock") ? -1 : static_cast<int>(::syscall(SYS_flock, file, how));
}

int rename(const char* from, const char* to) noexcept {
    return fails("rename") ? -1 : static_cast<int>(::syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

int remove(const char* path) noexcept {
    return fails("remove") ? -1 : next<int(const char*)>("remove")(path);
}

int mkdir(const char* path, mode_t mode) noexcept {
    return fails("mkdir") ? -1 : static_cast<int>(::syscall(SYS_mkdirat, AT_FDCWD, path, mode));
}

dirent* readdir(DIR* folder) { return fails("readdir") ? nullptr : next<dirent*(DIR*)>("readdir")(folder); }

int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*run)(void*),
                   void* argument) noexcept {
    int error = 0;
    if (goes_wrong("pthread_create", error)) return error;
    return next<int(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*)>("pthread_create")(
        thread, attributes, run, argument);
}

}  // extern "C"
