/// @file
/// Stream sockets that stay correct where Linux lets a system call do less than it was asked, or interrupts
/// it.
///
/// Asio registers descriptors edge-triggered. After a send that took only a part it waits for the next edge
/// of EPOLLOUT before it sends again, and while the socket's buffer has space none comes: async_write()
/// hangs. Its blocking-style read_some(), write_some() and connect() pass EINTR on as if the connection had
/// failed. StreamSocket replaces these calls and leaves all others as they are, so that asio::async_write(),
/// Beast's HTTP writers and WebSocket streams work on it unchanged.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <array>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <cstddef>
#include <utility>

namespace elmbay {

/// How often a call that a signal interrupts is made again; signals don't come in such numbers. After that
/// the socket counts as not ready, and the event loop comes back to it.
constexpr int kMaxInterruptions = 64;

/// Makes a system call until no signal interrupts it.
/// @return the call's result; -1 with errno EAGAIN once it has been interrupted kMaxInterruptions times
template <class Call>
auto uninterrupted(Call call) {
    for (int i = 0; i < kMaxInterruptions; ++i) {
        const auto result = call();
        if (result >= 0 || errno != EINTR) return result;
    }
    errno = EAGAIN;
    return decltype(call())(-1);
}

/// A stream socket of Asio, with the calls replaced that the file's comment names. Used like its base, and
/// not thread-safe like it. The calls with an error argument do not throw; those without one throw
/// boost::system::system_error.
template <class Protocol>
class StreamSocket : public boost::asio::basic_stream_socket<Protocol> {
    using Base = boost::asio::basic_stream_socket<Protocol>;
    using Error = boost::system::error_code;

public:
    using Base::Base;
    using typename Base::endpoint_type;

    /// Takes over a socket that an acceptor has made. Implicit, as accept handlers pass the base type.
    StreamSocket(Base&& accepted) : Base(std::move(accepted)) {}

    /// Reads what is there. On a non-blocking socket: would_block where nothing has come, or where signals
    /// interrupt every try.
    /// @return bytes read
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers, Error& error) {
        for (int i = 0; i < kMaxInterruptions; ++i) {
            const std::size_t received = Base::read_some(buffers, error);
            if (error != boost::asio::error::interrupted) return received;
        }
        error = boost::asio::error::would_block;
        return 0;
    }

    /// The same; throws.
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers) {
        Error error;
        const std::size_t received = read_some(buffers, error);
        if (error) throw boost::system::system_error(error);
        return received;
    }

    /// Sends what the socket takes at once: would_block where that is nothing. Never blocks, whatever the
    /// socket's mode is.
    /// @return bytes sent
    template <class Buffers>
    std::size_t write_some(const Buffers& buffers, Error& error) {
        std::array<iovec, kMaxBuffers> parts{};
        msghdr message{};
        message.msg_iov = parts.data();
        std::size_t size = 0;
        const auto end = boost::asio::buffer_sequence_end(buffers);
        for (auto buffer = boost::asio::buffer_sequence_begin(buffers); buffer != end; ++buffer) {
            if (message.msg_iovlen == parts.size()) break;
            const boost::asio::const_buffer part(*buffer);
            if (part.size() == 0) continue;
            parts[message.msg_iovlen] = {const_cast<void*>(part.data()), part.size()};
            ++message.msg_iovlen;
            size += part.size();
        }
        error = {};
        if (size == 0) return 0;
        const int socket = this->native_handle();
        const ssize_t sent =
            uninterrupted([&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT); });
        if (sent >= 0) return static_cast<std::size_t>(sent);
        error = last_error();
        return 0;
    }

    /// The same; throws.
    template <class Buffers>
    std::size_t write_some(const Buffers& buffers) {
        Error error;
        const std::size_t sent = write_some(buffers, error);
        if (error) throw boost::system::system_error(error);
        return sent;
    }

    /// Sends at once what the socket takes; where it takes nothing, as soon as it does. Completes after one
    /// send: a long message goes through the event loop between its parts, so that other connections have
    /// their turn. The handler is called as handler(error, bytes sent), never from within this call.
    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token) {
        return boost::asio::async_compose<Token, void(Error, std::size_t)>(
            WriteOperation<Buffers>{*this, buffers}, token, *this);
    }

    /// Connects; opens the socket if it is not open. An interrupted connect goes on without its caller
    /// (connect(2)), and is waited for like any other. The handler is called as handler(error), never from
    /// within this call.
    template <class Token>
    auto async_connect(const endpoint_type& peer, Token&& token) {
        return boost::asio::async_compose<Token, void(Error)>(ConnectOperation{*this, peer}, token, *this);
    }

private:
    /// Buffers of one send; as many as Asio sends at a time.
    static constexpr std::size_t kMaxBuffers = 64;

    static Error last_error() { return {errno, boost::system::system_category()}; }

    /// Of an operation below.
    enum class Step {
        start,      ///< nothing has been tried
        waiting,    ///< for the socket to become writable
        completing  ///< the result is known, and on its way to the handler through the event loop
    };

    /// The state of async_write_some(), which boost::asio calls again after each wait.
    template <class Buffers>
    struct WriteOperation {
        StreamSocket& socket;
        Buffers buffers;
        Step step = Step::start;
        Error result{};
        std::size_t sent = 0;

        template <class Self>
        void operator()(Self& self, Error error = {}) {
            if (step == Step::completing) return self.complete(result, sent);
            if (!error) sent = socket.write_some(buffers, error);
            if (error == boost::asio::error::would_block) {
                step = Step::waiting;
                // Arms the descriptor anew: for one that is writable already the wait ends at once.
                return socket.async_wait(Base::wait_write, std::move(self));
            }
            if (step == Step::waiting) return self.complete(error, sent);
            result = error;
            step = Step::completing;
            boost::asio::post(socket.get_executor(), std::move(self));  // never from within the call
        }
    };

    /// The state of async_connect().
    struct ConnectOperation {
        StreamSocket& socket;
        endpoint_type peer;
        Step step = Step::start;
        Error result{};

        template <class Self>
        void operator()(Self& self, Error error = {}) {
            if (step == Step::completing) return self.complete(result);
            if (!error) error = step == Step::start ? socket.begin_connect(peer) : socket.connect_result();
            if (error == boost::asio::error::in_progress) {
                step = Step::waiting;
                return socket.async_wait(Base::wait_write, std::move(self));
            }
            if (step == Step::waiting) return self.complete(error);
            result = error;
            step = Step::completing;
            boost::asio::post(socket.get_executor(), std::move(self));  // never from within the call
        }
    };

    // Returns no error for a socket that is connected, in_progress where it has to be waited for.
    Error begin_connect(const endpoint_type& peer) {
        Error error;
        if (!this->is_open()) this->open(peer.protocol(), error);
        if (!error) this->native_non_blocking(true, error);
        if (error) return error;
        const int socket = this->native_handle();
        const int result = uninterrupted(
            [&] { return ::connect(socket, peer.data(), static_cast<socklen_t>(peer.size())); });
        if (result == 0 || errno == EISCONN) return {};
        const bool interrupted_call_has_begun_it = errno == EALREADY;
        if (interrupted_call_has_begun_it) return boost::asio::error::in_progress;
        return last_error();
    }

    // What became of a connect that was in progress; in_progress if it still is.
    Error connect_result() {
        const int socket = this->native_handle();
        int failure = 0;
        socklen_t size = sizeof failure;
        if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0) return last_error();
        if (failure != 0) return {failure, boost::system::system_category()};
        pollfd poll_entry{socket, POLLOUT, 0};
        const int ready = ::poll(&poll_entry, 1, 0);
        const bool is_spurious_wakeup = ready <= 0;
        if (is_spurious_wakeup) return boost::asio::error::in_progress;
        const bool has_hung_up = (poll_entry.revents & POLLHUP) != 0;
        return has_hung_up ? Error(boost::asio::error::not_connected) : Error();
    }
};

/// A TCP connection.
using TcpSocket = StreamSocket<boost::asio::ip::tcp>;

}  // namespace elmbay
