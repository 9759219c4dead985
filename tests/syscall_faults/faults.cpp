// The C library's socket calls with faults, and the rules that say which calls fail (faults.hpp).
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
constexpr int kShortCall = -1;  // in place of an errno: the call transfers a part only

// Who opened a connection: its peer (in) or this process (out). none: not a loopback stream.
enum class Side : std::uint8_t { none, in, out, any };

struct Rule {
    std::string call;
    int error = 0;
    Side side = Side::any;
    double probability = 0;         // that a call fails, where first_calls is 0
    std::uint64_t first_calls = 0;  // so many calls fail, from the first one on
};

struct Descriptor {
    std::atomic<Side> side{Side::none};
    std::atomic<bool> broken{false};  // a fault has ended its connection
};

std::array<Descriptor, kMaxDescriptors>& descriptors() {
    static std::array<Descriptor, kMaxDescriptors> all;
    return all;
}
std::vector<Rule>& rules() {
    static std::vector<Rule> all;
    return all;
}
std::array<std::uint64_t, kMaxRules> own_counts{};
std::uint64_t* counts = own_counts.data();
std::atomic<std::uint64_t> random_state{0};
std::atomic<bool> active{false};  // from the first listen() on, or from configure()

Descriptor* descriptor(int fd) {
    return fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors ? &descriptors()[fd] : nullptr;
}
Side side_of(int fd) {
    const Descriptor* entry = descriptor(fd);
    return entry ? entry->side.load() : Side::none;
}
void set_side(int fd, Side side) {
    if (Descriptor* entry = descriptor(fd)) {
        entry->side = side;
        entry->broken = false;
    }
}

// splitmix64, on a state that threads share.
std::uint64_t draw() {
    constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = random_state.fetch_add(kIncrement) + kIncrement;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

// Uniform in [0, 1).
double draw_unit() { return static_cast<double>(draw() >> 11U) * 0x1p-53; }

// The errno with which this call fails, kShortCall, or 0 if it does not fail.
int fault(const char* call, Side side) {
    if (!active) return 0;
    for (std::size_t i = 0; i < rules().size(); ++i) {
        const Rule& rule = rules()[i];
        if (rule.call != call || (rule.side != Side::any && rule.side != side)) continue;
        std::atomic_ref<std::uint64_t> count(counts[i]);
        const bool strikes = rule.first_calls > 0 ? count < rule.first_calls : draw_unit() < rule.probability;
        if (!strikes) continue;
        ++count;
        return rule.error;
    }
    return 0;
}

bool ends_connection(int error) {
    return error == ETIMEDOUT || error == EHOSTUNREACH || error == ECONNRESET || error == EPIPE;
}

// The C library's own function of this name.
template <class Call>
Call* real(const char* name) {
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

// Whether a read or write on `fd` fails. Sets errno if it does. Sets `short_call` if it may transfer a part
// only.
bool fails(const char* call, int fd, bool& short_call) {
    const Side side = side_of(fd);
    if (side == Side::none) return false;
    const int error = fault(call, side);
    short_call = error == kShortCall;
    if (error == 0 || short_call) return false;
    if (ends_connection(error)) {
        ::shutdown(fd, SHUT_RDWR);
        descriptor(fd)->broken = true;
    }
    errno = error;
    return true;
}
bool broken(int fd) {
    const Descriptor* entry = descriptor(fd);
    return entry && entry->side != Side::none && entry->broken;
}
// A part of `size` bytes: at least one, and fewer than all where there is more than one.
std::size_t random_part(std::size_t size) { return size < 2 ? size : 1 + draw() % (size - 1); }

// A copy of a message whose buffers have `size` bytes in all.
struct ShortenedMessage {
    ShortenedMessage(const msghdr& whole, std::size_t size) : message(whole) {
        for (std::size_t i = 0; i < whole.msg_iovlen && size > 0; ++i) {
            parts.push_back(whole.msg_iov[i]);
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

// Parses one word of a specification. Throws std::invalid_argument.
Rule parse_rule(const std::string& word) {
    const std::size_t colon = word.find(':');
    const std::size_t equals = word.find('=');
    if (colon == std::string::npos || equals == std::string::npos || colon > equals) {
        throw std::invalid_argument("not CALL[@SIDE]:FAULT=HOW: " + word);
    }
    Rule rule;
    rule.call = word.substr(0, colon);
    if (const auto at = rule.call.find('@'); at != std::string::npos) {
        rule.side = rule.call.substr(at + 1) == "in" ? Side::in : Side::out;
        rule.call.resize(at);
    }
    const auto name = faults_by_name().find(word.substr(colon + 1, equals - colon - 1));
    if (name == faults_by_name().end()) throw std::invalid_argument("no such fault: " + word);
    rule.error = name->second;
    const std::string how = word.substr(equals + 1);
    if (how.starts_with("x")) {
        rule.first_calls = std::stoull(how.substr(1));
    } else {
        rule.probability = std::stod(how);
    }
    return rule;
}

// Puts the counts in a file that the test reads while this process runs or after it was killed.
void share_counts(const char* path) {
    const int file = ::open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, kCountsSize) != 0) std::abort();
    void* const shared = ::mmap(nullptr, kCountsSize, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (shared == MAP_FAILED) std::abort();
    counts = static_cast<std::uint64_t*>(shared);
    ::close(file);
}

// Configures a process into which this library was preloaded.
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
    std::istringstream words(specification);
    for (std::string word; words >> word;) {
        if (word.starts_with("seed=")) {
            seed = std::stoull(word.substr(5));
        } else {
            parsed.push_back(parse_rule(word));
        }
    }
    if (parsed.size() > kMaxRules) throw std::invalid_argument("too many rules");
    rules() = std::move(parsed);
    own_counts = {};
    random_state = seed;
    active = true;
}

std::uint64_t failed_calls(std::size_t rule) { return counts[rule]; }

}  // namespace elmbay::test::syscall_faults

// ---- The calls themselves ---------------------------------------------------------------------------------

namespace faults = elmbay::test::syscall_faults;
using faults::Side;

extern "C" {

// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name): the C library declares them with reserved
// names.

int listen(int fd, int backlog) noexcept {
    static auto* const next = faults::real<int(int, int)>("listen");
    faults::active = true;
    return next(fd, backlog);
}

int socket(int domain, int type, int protocol) noexcept {
    static auto* const next = faults::real<int(int, int, int)>("socket");
    const bool stream = (type & 0xf) == SOCK_STREAM && domain == AF_INET;
    if (const int error = stream ? faults::fault("socket", Side::out) : 0; error != 0) {
        errno = error;
        return -1;
    }
    const int fd = next(domain, type, protocol);
    faults::set_side(fd, Side::none);
    return fd;
}

int close(int fd) {
    static auto* const next = faults::real<int(int)>("close");
    faults::set_side(fd, Side::none);
    return next(fd);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
    static auto* const next = faults::real<int(int, const sockaddr*, socklen_t)>("connect");
    int type = 0;
    socklen_t type_size = sizeof type;
    ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &type_size);
    if (!faults::is_loopback(address) || type != SOCK_STREAM) return next(fd, address, size);
    const int error = faults::fault("connect", Side::out);
    if (error != 0 && error != EINTR) {
        errno = error;
        return -1;
    }
    faults::set_side(fd, Side::out);
    const int result = next(fd, address, size);
    // The kernel goes on connecting after an interrupted call (connect(2)).
    if (error == EINTR && (result == 0 || errno == EINPROGRESS)) {
        errno = EINTR;
        return -1;
    }
    return result;
}

int accept(int fd, sockaddr* address, socklen_t* size) {
    static auto* const next = faults::real<int(int, sockaddr*, socklen_t*)>("accept");
    if (!faults::is_loopback(fd)) return next(fd, address, size);
    // The connection that waits in the queue stays there: the error is that of another one, ahead of it.
    if (const int error = faults::fault("accept", Side::in); error != 0) {
        errno = error;
        return -1;
    }
    const int accepted = next(fd, address, size);
    faults::set_side(accepted, Side::in);
    return accepted;
}

ssize_t recv(int fd, void* data, size_t size, int flags) {
    static auto* const next = faults::real<ssize_t(int, void*, size_t, int)>("recv");
    bool short_call = false;
    if (faults::broken(fd)) return 0;
    if (faults::fails("recv", fd, short_call)) return -1;
    return next(fd, data, short_call ? faults::random_part(size) : size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
    static auto* const next = faults::real<ssize_t(int, msghdr*, int)>("recvmsg");
    bool short_call = false;
    if (faults::broken(fd)) return 0;
    if (faults::fails("recv", fd, short_call)) return -1;
    if (!short_call) return next(fd, message, flags);
    faults::ShortenedMessage shortened(*message, faults::random_part(faults::size_of(*message)));
    return next(fd, &shortened.message, flags);
}

ssize_t send(int fd, const void* data, size_t size, int flags) {
    static auto* const next = faults::real<ssize_t(int, const void*, size_t, int)>("send");
    bool short_call = false;
    if (faults::broken(fd)) {
        errno = EPIPE;
        return -1;
    }
    if (faults::fails("send", fd, short_call)) return -1;
    return next(fd, data, short_call ? faults::random_part(size) : size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
    static auto* const next = faults::real<ssize_t(int, const msghdr*, int)>("sendmsg");
    bool short_call = false;
    if (faults::broken(fd)) {
        errno = EPIPE;
        return -1;
    }
    if (faults::fails("send", fd, short_call)) return -1;
    if (!short_call) return next(fd, message, flags);
    faults::ShortenedMessage shortened(*message, faults::random_part(faults::size_of(*message)));
    return next(fd, &shortened.message, flags);
}

int setsockopt(int fd, int level, int name, const void* value, socklen_t size) noexcept {
    static auto* const next = faults::real<int(int, int, int, const void*, socklen_t)>("setsockopt");
    const Side side = faults::side_of(fd);
    if (level == IPPROTO_TCP && side != Side::none) {
        if (const int error = faults::fault("setsockopt", side); error != 0) {
            errno = error;
            return -1;
        }
    }
    return next(fd, level, name, value, size);
}

int getsockopt(int fd, int level, int name, void* value, socklen_t* size) noexcept {
    static auto* const next = faults::real<int(int, int, int, void*, socklen_t*)>("getsockopt");
    const Side side = faults::side_of(fd);
    if (level == IPPROTO_TCP && side != Side::none) {
        if (const int error = faults::fault("getsockopt", side); error != 0) {
            errno = error;
            return -1;
        }
    }
    return next(fd, level, name, value, size);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    static auto* const next = faults::real<int(int, epoll_event*, int, int)>("epoll_wait");
    if (const int error = faults::fault("epoll_wait", Side::none); error != 0) {
        errno = error;
        return -1;
    }
    return next(fd, events, most, timeout);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
    static auto* const next = faults::real<int(pollfd*, nfds_t, int)>("poll");
    if (const int error = faults::fault("poll", Side::none); error != 0) {
        errno = error;
        return -1;
    }
    return next(descriptors, count, timeout);
}

// NOLINTEND(readability-inconsistent-declaration-parameter-name)

}  // extern "C"
