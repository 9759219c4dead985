// Implements the fault injection of faults.hpp: replacements of the C library's socket calls, and the rules
// that decide which calls fail.
#include "faults.hpp"

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace elmbay::test::syscall_faults {

namespace {

constexpr std::size_t kMaxDescriptors = 65536;
constexpr std::size_t kMaxRules = 64;
constexpr std::size_t kCountsSize = kMaxRules * sizeof(std::uint64_t);
constexpr int kShortCall = -1;  // used instead of an errno: the call transfers only a part of the bytes

// The side that opened a connection: the peer (in) or this process (out). none: the descriptor is not a
// loopback stream. any: a rule applies to both sides.
enum class Side : std::uint8_t { none, in, out, any };

struct Rule {
    std::string call;
    int error = 0;
    Side side = Side::any;
    double probability = 0;         // that a call fails; used if first_calls is 0
    std::uint64_t first_calls = 0;  // the number of calls that fail, starting with the first
};

struct Descriptor {
    std::atomic<Side> side{Side::none};
    std::atomic<bool> broken{false};  // an injected fault has ended the connection
};

std::array<Descriptor, kMaxDescriptors>& all_descriptors() {
    static std::array<Descriptor, kMaxDescriptors> all;
    return all;
}
std::vector<Rule>& rules() {
    static std::vector<Rule> all;
    return all;
}
std::array<std::uint64_t, kMaxRules> local_counts{};
std::uint64_t* counts = local_counts.data();
std::atomic<std::uint64_t> random_state{0};
std::atomic<bool> active{false};  // set by the first listen() or by configure()

Descriptor* find_descriptor(int fd) {
    return fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors ? &all_descriptors()[fd] : nullptr;
}
Side side_of(int fd) {
    const Descriptor* entry = find_descriptor(fd);
    return entry ? entry->side.load() : Side::none;
}
void set_side(int fd, Side side) {
    if (Descriptor* entry = find_descriptor(fd)) {
        entry->side = side;
        entry->broken = false;
    }
}

// Draws 64 random bits with splitmix64. All threads share one generator state.
std::uint64_t draw() {
    constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = random_state.fetch_add(kIncrement) + kIncrement;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

// Draws a number uniformly from [0, 1).
double draw_unit() { return static_cast<double>(draw() >> 11U) * 0x1p-53; }

// Decides whether this call fails. Returns its errno, kShortCall, or 0 if it does not fail.
int draw_fault(const char* call, Side side) {
    if (!active) return 0;
    for (std::size_t i = 0; i < rules().size(); ++i) {
        const Rule& rule = rules()[i];
        if (rule.call != call || (rule.side != Side::any && rule.side != side)) continue;
        std::atomic_ref<std::uint64_t> count(counts[i]);
        const bool applies = rule.first_calls > 0 ? count < rule.first_calls : draw_unit() < rule.probability;
        if (!applies) continue;
        ++count;
        return rule.error;
    }
    return 0;
}

bool ends_connection(int error) {
    return error == ETIMEDOUT || error == EHOSTUNREACH || error == ECONNRESET || error == EPIPE;
}

// Returns the C library's own function of this name.
template <class Call>
Call* libc_function(const char* name) {
    return reinterpret_cast<Call*>(::dlsym(RTLD_NEXT, name));
}

bool is_loopback(const sockaddr* address) {
    if (address->sa_family == AF_UNIX) return true;
    if (address->sa_family != AF_INET) return false;
    const auto* inet = reinterpret_cast<const sockaddr_in*>(address);
    return (ntohl(inet->sin_addr.s_addr) >> 24U) == 127;
}
bool is_loopback(int fd) {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    return ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
           is_loopback(reinterpret_cast<const sockaddr*>(&address));
}

// Decides whether a read or write on `fd` fails and sets errno if it does. Sets `short_call` if the call
// transfers only a part of the bytes.
bool inject_io_fault(const char* call, int fd, bool& short_call) {
    const Side side = side_of(fd);
    if (side == Side::none) return false;
    const int error = draw_fault(call, side);
    short_call = error == kShortCall;
    if (error == 0 || short_call) return false;
    if (ends_connection(error)) {
        ::shutdown(fd, SHUT_RDWR);
        find_descriptor(fd)->broken = true;
    }
    errno = error;
    return true;
}
bool is_broken(int fd) {
    const Descriptor* entry = find_descriptor(fd);
    return entry && entry->side != Side::none && entry->broken;
}
// Draws the number of bytes for a short call: at least 1 and, if `size` is above 1, less than `size`.
std::size_t random_part(std::size_t size) { return size < 2 ? size : 1 + draw() % (size - 1); }

// A copy of a message whose buffers hold `size` bytes in total.
struct ShortenedMessage {
    ShortenedMessage(const msghdr& original, std::size_t size) : message(original) {
        for (std::size_t i = 0; i < original.msg_iovlen && size > 0; ++i) {
            parts.push_back(original.msg_iov[i]);
            parts.back().iov_len = std::min(parts.back().iov_len, size);
            size -= parts.back().iov_len;
        }
        message.msg_iov = parts.data();
        message.msg_iovlen = parts.size();
    }
    std::vector<iovec> parts;
    msghdr message;
};
std::size_t size_of(const msghdr& message) {
    std::size_t size = 0;
    for (std::size_t i = 0; i < message.msg_iovlen; ++i) size += message.msg_iov[i].iov_len;
    return size;
}

const std::map<std::string, int>& faults_by_name() {
    static const std::map<std::string, int> names{
        {"SHORT", kShortCall},
        {"EINTR", EINTR},
        {"EMFILE", EMFILE},
        {"ENFILE", ENFILE},
        {"ENOBUFS", ENOBUFS},
        {"ENOMEM", ENOMEM},
        {"ECONNABORTED", ECONNABORTED},
        {"EPROTO", EPROTO},
        {"ENETDOWN", ENETDOWN},
        {"ENETUNREACH", ENETUNREACH},
        {"EHOSTUNREACH", EHOSTUNREACH},
        {"EADDRNOTAVAIL", EADDRNOTAVAIL},
        {"ETIMEDOUT", ETIMEDOUT},
        {"ECONNRESET", ECONNRESET},
        {"EPIPE", EPIPE},
        {"EPERM", EPERM},
        {"EAGAIN", EAGAIN},
    };
    return names;
}

// Parses one rule of a specification. Throws std::invalid_argument.
Rule parse_rule(const std::string& word) {
    const std::size_t colon = word.find(':');
    const std::size_t equals = word.find('=');
    if (colon == std::string::npos || equals == std::string::npos || colon > equals) {
        throw std::invalid_argument("invalid rule, expected CALL[@SIDE]:FAULT=AMOUNT: " + word);
    }
    Rule rule;
    rule.call = word.substr(0, colon);
    if (const auto at = rule.call.find('@'); at != std::string::npos) {
        rule.side = rule.call.substr(at + 1) == "in" ? Side::in : Side::out;
        rule.call.resize(at);
    }
    const auto name = faults_by_name().find(word.substr(colon + 1, equals - colon - 1));
    if (name == faults_by_name().end()) throw std::invalid_argument("unknown fault in rule: " + word);
    rule.error = name->second;
    const std::string amount = word.substr(equals + 1);
    if (amount.starts_with("x")) {
        rule.first_calls = std::stoull(amount.substr(1));
    } else {
        rule.probability = std::stod(amount);
    }
    return rule;
}

// Maps the counts to a file, which the test reads while this process runs or after it was killed.
void share_counts(const char* path) {
    const int file = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, kCountsSize) != 0) std::abort();
    void* const shared = ::mmap(nullptr, kCountsSize, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (shared == MAP_FAILED) std::abort();
    counts = static_cast<std::uint64_t*>(shared);
    ::close(file);
}

// Configures a process into which this library is preloaded.
[[gnu::constructor]] void configure_from_environment() {
    const char* specification = std::getenv("SYSCALL_FAULTS");
    if (!specification) return;
    configure(specification);
    active = false;
    if (const char* path = std::getenv("SYSCALL_FAULTS_COUNTS")) share_counts(path);
}

}  // namespace

void configure(const std::string& specification) {
    std::vector<Rule> parsed;
    std::uint64_t seed = 1;
    std::istringstream input(specification);
    for (std::string word; input >> word;) {
        if (word.starts_with("seed=")) {
            seed = std::stoull(word.substr(5));
        } else {
            parsed.push_back(parse_rule(word));
        }
    }
    if (parsed.size() > kMaxRules) throw std::invalid_argument("the specification has more than 64 rules");
    rules() = std::move(parsed);
    local_counts = {};
    random_state = seed;
    active = true;
}

std::uint64_t failed_calls(std::size_t rule) { return counts[rule]; }

}  // namespace elmbay::test::syscall_faults

// ---- Replacements of the C library's calls ----------------------------------------------------------------

namespace faults = elmbay::test::syscall_faults;
using faults::Side;

extern "C" {

// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name): the C library declares them with reserved
// names.

int listen(int fd, int backlog) noexcept {
    static auto* const next = faults::libc_function<int(int, int)>("listen");
    faults::active = true;
    return next(fd, backlog);
}

int socket(int domain, int type, int protocol) noexcept {
    static auto* const next = faults::libc_function<int(int, int, int)>("socket");
    const bool stream = (type & 0xf) == SOCK_STREAM && domain == AF_INET;
    if (const int error = stream ? faults::draw_fault("socket", Side::out) : 0; error != 0) {
        errno = error;
        return -1;
    }
    const int fd = next(domain, type, protocol);
    faults::set_side(fd, Side::none);
    return fd;
}

int close(int fd) {
    static auto* const next = faults::libc_function<int(int)>("close");
    faults::set_side(fd, Side::none);
    return next(fd);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static auto* const next = faults::libc_function<int(int, const sockaddr*, socklen_t)>("connect");
    int type = 0;
    socklen_t type_size = sizeof type;
    ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size);
    if (!faults::is_loopback(address) || type != SOCK_STREAM) return next(fd, address, size);
    const int error = faults::draw_fault("connect", Side::out);
    if (error != 0 && error != EINTR) {
        errno = error;
        return -1;
    }
    faults::set_side(fd, Side::out);
    const int result = next(fd, address, size);
    // After an interrupted call the kernel continues to connect (connect(2)).
    if (error == EINTR && (result == 0 || errno == EINPROGRESS)) {
        errno = EINTR;
        return -1;
    }
    return result;
}

int accept(int fd, sockaddr* address, socklen_t* size) {
    static auto* const next = faults::libc_function<int(int, sockaddr*, socklen_t*)>("accept");
    if (!faults::is_loopback(fd)) return next(fd, address, size);
    // The next connection stays in the queue: the injected error belongs to another connection ahead of it.
    if (const int error = faults::draw_fault("accept", Side::in); error != 0) {
        errno = error;
        return -1;
    }
    const int accepted = next(fd, address, size);
    faults::set_side(accepted, Side::in);
    return accepted;
}

ssize_t recv(int fd, void* data, size_t size, int flags) {
    static auto* const next = faults::libc_function<ssize_t(int, void*, size_t, int)>("recv");
    bool short_call = false;
    if (faults::is_broken(fd)) return 0;
    if (faults::inject_io_fault("recv", fd, short_call)) return -1;
    return next(fd, data, short_call ? faults::random_part(size) : size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    static auto* const next = faults::libc_function<ssize_t(int, msghdr*, int)>("recvmsg");
    bool short_call = false;
    if (faults::is_broken(fd)) return 0;
    if (faults::inject_io_fault("recv", fd, short_call)) return -1;
    if (!short_call) return next(fd, message, flags);
    faults::ShortenedMessage shortened(*message, faults::random_part(faults::size_of(*message)));
    return next(fd, &shortened.message, flags);
}

ssize_t send(int fd, const void* data, size_t size, int flags) {
    static auto* const next = faults::libc_function<ssize_t(int, const void*, size_t, int)>("send");
    bool short_call = false;
    if (faults::is_broken(fd)) {
        errno = EPIPE;
        return -1;
    }
    if (faults::inject_io_fault("send", fd, short_call)) return -1;
    return next(fd, data, short_call ? faults::random_part(size) : size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static auto* const next = faults::libc_function<ssize_t(int, const msghdr*, int)>("sendmsg");
    bool short_call = false;
    if (faults::is_broken(fd)) {
        errno = EPIPE;
        return -1;
    }
    if (faults::inject_io_fault("send", fd, short_call)) return -1;
    if (!short_call) return next(fd, message, flags);
    faults::ShortenedMessage shortened(*message, faults::random_part(faults::size_of(*message)));
    return next(fd, &shortened.message, flags);
}

int setsockopt(int fd, int level, int name, const void* value, socklen_t size) noexcept {
    static auto* const next = faults::libc_function<int(int, int, int, const void*, socklen_t)>("setsockopt");
    const Side side = faults::side_of(fd);
    if (level == IPPROTO_TCP && side != Side::none) {
        if (const int error = faults::draw_fault("setsockopt", side); error != 0) {
            errno = error;
            return -1;
        }
    }
    return next(fd, level, name, value, size);
}

int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
    static auto* const next = faults::libc_function<int(int, int, int, void*, socklen_t*)>("getsockopt");
    const Side side = faults::side_of(fd);
    if (level == IPPROTO_TCP && side != Side::none) {
        if (const int error = faults::draw_fault("getsockopt", side); error != 0) {
            errno = error;
            return -1;
        }
    }
    return next(fd, level, name, value, size);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
    static auto* const next = faults::libc_function<int(int, epoll_event*, int, int)>("epoll_wait");
    if (const int error = faults::draw_fault("epoll_wait", Side::none); error != 0) {
        errno = error;
        return -1;
    }
    return next(fd, events, max_events, timeout);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
    static auto* const next = faults::libc_function<int(pollfd*, nfds_t, int)>("poll");
    if (const int error = faults::draw_fault("poll", Side::none); error != 0) {
        errno = error;
        return -1;
    }
    return next(descriptors, count, timeout);
}

// NOLINTEND(readability-inconsistent-declaration-parameter-name)

}  // extern "C"
