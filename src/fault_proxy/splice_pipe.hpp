// A pipe that moves bytes between two sockets without copying them into this process (splice(2), Linux).
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <utility>

namespace elmbay::fault_proxy {

/// Owns the two descriptors of a pipe, which open() creates. Not thread-safe. Never blocks.
class SplicePipe {
public:
    /// The largest pipe that an unprivileged process may have (fs.pipe-max-size). A large pipe needs fewer
    /// system calls for the same bytes.
    static constexpr int kCapacityBytes = 1 << 20;

    /// The result of moving bytes.
    enum class MoveResult {
        moved,        ///< some bytes were moved, see last_moved()
        would_block,  ///< no bytes are available, or the destination is full
        end,          ///< the sender has closed its direction
        failed
    };

    SplicePipe() = default;
    ~SplicePipe() { close(); }
    SplicePipe(const SplicePipe&) = delete;
    SplicePipe& operator=(const SplicePipe&) = delete;

    /// Creates the pipe if it does not exist yet.
    /// @return whether it exists; false if the process has no descriptors left.
    bool open() {
        if (write_end_ >= 0) return true;
        std::array<int, 2> ends{};
        if (::pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) return false;
        read_end_ = ends[0];
        write_end_ = ends[1];
        ::fcntl(write_end_, F_SETPIPE_SZ, kCapacityBytes);  // on failure the default capacity is sufficient
        return true;
    }
    /// @return the number of bytes in the pipe.
    std::size_t size() const { return size_; }
    /// Moves available bytes from the socket into the pipe.
    MoveResult read_from(int socket) {
        const MoveResult result = splice_bytes(socket, write_end_, kCapacityBytes);
        size_ += last_moved_;
        return result;
    }
    /// Moves bytes from the pipe to the socket.
    MoveResult write_to(int socket) {
        const MoveResult result = splice_bytes(read_end_, socket, size_);
        size_ -= last_moved_;
        return result;
    }
    /// @return the number of bytes that the last read_from() or write_to() moved.
    std::size_t last_moved() const { return last_moved_; }

private:
    MoveResult splice_bytes(int from, int to, std::size_t max_bytes) {
        last_moved_ = 0;
        const ssize_t moved =
            ::splice(from, nullptr, to, nullptr, max_bytes, SPLICE_F_NONBLOCK | SPLICE_F_MOVE);
        if (moved == 0) return MoveResult::end;
        if (moved < 0) {
            const bool may_retry = errno == EAGAIN || errno == EINTR;
            return may_retry ? MoveResult::would_block : MoveResult::failed;
        }
        last_moved_ = static_cast<std::size_t>(moved);
        return MoveResult::moved;
    }
    void close() {
        if (write_end_ < 0) return;
        ::close(std::exchange(write_end_, -1));
        ::close(std::exchange(read_end_, -1));
    }

    int read_end_ = -1;
    int write_end_ = -1;
    std::size_t size_ = 0;
    std::size_t last_moved_ = 0;
};

}  // namespace elmbay::fault_proxy
