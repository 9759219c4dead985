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
FaultPlan active_plan;  // an empty call name means no faults
long matching_calls = 0, faulted = 0;

// Returns whether this call is faulted, and sets its errno, or 0 for a short read or write.
bool inject_fault(const char* call, int& error) {
    const std::scoped_lock lock(mutex);
    if (active_plan.call != call) return false;
    const long number = matching_calls++;
    if (number < active_plan.successes_before ||
        number >= active_plan.successes_before + active_plan.fault_count)
        return false;
    ++faulted;
    error = active_plan.error;
    return true;
}

// Returns whether this call fails, and sets errno if it does.
bool inject_error(const char* call) {
    int error = 0;
    if (!inject_fault(call, error)) return false;
    errno = error;
    return true;
}

template <class Function>
Function* libc_function(const char* name) {
    return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

void inject_faults(FaultPlan plan) {
    const std::scoped_lock lock(mutex);
    active_plan = std::move(plan);
    matching_calls = faulted = 0;
}
void clear_faults() { inject_faults({}); }
long faulted_calls() {
    const std::scoped_lock lock(mutex);
    return faulted;
}

}  // namespace elmbay::state::test

using elmbay::state::test::inject_error;
using elmbay::state::test::inject_fault;
using elmbay::state::test::libc_function;

extern "C" {

int open(const char* path, int flags, ...) {
    mode_t mode = 0;
    if ((flags & O_CREAT) != 0) {
        va_list more;
        va_start(more, flags);
        mode = va_arg(more, mode_t);
        va_end(more);
    }
    if (inject_error("open")) return -1;
    return static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, flags, mode));
}

ssize_t read(int file, void* bytes, size_t size) {
    int error = 0;
    if (inject_fault("read", error)) {
        errno = error;
        if (error != 0) return -1;
        size = size > 0;
    }
    return ::syscall(SYS_read, file, bytes, size);
}

ssize_t write(int file, const void* bytes, size_t size) {
    int error = 0;
    if (inject_fault("write", error)) {
        errno = error;
        if (error != 0) return -1;
        size = size > 0;
    }
    return ::syscall(SYS_write, file, bytes, size);
}

int fsync(int file) { return inject_error("fsync") ? -1 : static_cast<int>(::syscall(SYS_fsync, file)); }

int flock(int file, int how) noexcept {
    return inject_error("flock") ? -1 : static_cast<int>(::syscall(SYS_flock, file, how));
}

int rename(const char* from, const char* to) noexcept {
    return inject_error("rename")
               ? -1
               : static_cast<int>(::syscall(SYS_renameat2, AT_FDCWD, from, AT_FDCWD, to, 0));
}

int remove(const char* path) noexcept {
    return inject_error("remove") ? -1 : libc_function<int(const char*)>("remove")(path);
}

int mkdir(const char* path, mode_t mode) noexcept {
    return inject_error("mkdir") ? -1 : static_cast<int>(::syscall(SYS_mkdirat, AT_FDCWD, path, mode));
}

dirent* readdir(DIR* directory) {
    return inject_error("readdir") ? nullptr : libc_function<dirent*(DIR*)>("readdir")(directory);
}

int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*run)(void*),
                   void* argument) noexcept {
    int error = 0;
    if (inject_fault("pthread_create", error)) return error;
    return libc_function<int(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*)>("pthread_create")(
        thread, attributes, run, argument);
}

}  // extern "C"
