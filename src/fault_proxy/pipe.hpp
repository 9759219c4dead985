// A pipe through which bytes go from one socket to another without being copied into this process
// (splice(2), Linux).
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace elmbay::fault_proxy {

class Pipe {
public:
    // As much as an unprivileged process may have (fs.pipe-max-size): fewer turns for the same bytes.
    static constexpr int kCapacity = 1 << 20;

    Pipe() = default;
    ~Pipe() { close(); }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    // Whether there is one: there may be no descriptor left.
    bool open() {
        if (in_ >= 0) return true;
        int ends[2];
        if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) return false;
        out_ = ends[0], in_ = ends[1];
        ::fcntl(in_, F_SETPIPE_SZ, kCapacity);  // a smaller one does as well
        return true;
    }
    // Bytes inside.
    std::size_t held() const { return held_; }

    enum class Moved { some, would_block, end, failed };
    Moved fill_from(int socket) {
        return move(socket, in_, kCapacity, [this](std::size_t n) { held_ += n; });
    }
    Moved empty_to(int socket) {
        return move(out_, socket, held_, [this](std::size_t n) { held_ -= n; });
    }
    std::size_t last() const { return last_; }  // bytes of the last move

private:
    template <class Count>
    Moved move(int from, int to, std::size_t most, Count count) {
        last_ = 0;
        const ssize_t n = ::splice(from, nullptr, to, nullptr, most, SPLICE_F_NONBLOCK | SPLICE_F_MOVE);
        if (n < 0) return errno == EAGAIN || errno == EINTR ? Moved::would_block : Moved::failed;
        if (n == 0) return Moved::end;
        last_ = static_cast<std::size_t>(n);
        count(last_);
        return Moved::some;
    }
    void close() {
        if (in_ < 0) return;
        ::close(std::exchange(in_, -1));
        ::close(std::exchange(out_, -1));
    }

    int in_ = -1, out_ = -1;
    std::size_t held_ = 0, last_ = 0;
};

}  // namespace elmbay::fault_proxy
