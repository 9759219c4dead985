/// @file
/// Stream sockets that handle partial sends and interrupted system calls of Linux correctly.
///
/// Asio registers descriptors edge-triggered. After a partial send it waits for the next edge of EPOLLOUT
/// before it sends again. No edge occurs while the socket's buffer has space, so async_write() hangs. Asio's
/// synchronous read_some(), write_some() and connect() report EINTR as if the connection had failed.
/// StreamSocket replaces these calls and leaves all others as they are, so that asio::async_write(), Beast's
/// HTTP writers and WebSocket streams work on it unchanged.
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

/// Maximum number of times that a system call is made while signals interrupt it. Signals do not arrive that
/// often. After the last call the socket counts as not ready, and the event loop tries again later.
constexpr int kMaxInterruptions = 64;

/// Repeats a system call until no signal interrupts it.
/// @return the result of the call; -1 with errno EAGAIN if signals interrupted it kMaxInterruptions times
template <class Call>
auto retry_on_interrupt(Call call) {
    for (int i = 0; i < kMaxInterruptions; ++i) {
        const auto result = call();
        if (result >= 0 || errno != EINTR) return result;
    }
    errno = EAGAIN;
    return decltype(call())(-1);
}

/// An Asio stream socket that replaces the calls named in the file comment. Used like its base class, and
/// like it not thread-safe. Functions with an error argument do not throw; functions without one throw
/// boost::system::system_error.
template <class Protocol>
class StreamSocket : public boost::asio::basic_stream_socket<Protocol> {
    using Base = boost::asio::basic_stream_socket<Protocol>;
    using Error = boost::system::error_code;

public:
    using Base::Base;
    using typename Base::endpoint_type;

    /// Takes ownership of an accepted socket. Implicit, because accept handlers pass the base class.
    StreamSocket(Base&& accepted) : Base(std::move(accepted)) {}

    /// Reads the available data. On a non-blocking socket the error is would_block if no data is available or
    /// if signals interrupt every call.
    /// @return the number of bytes read
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers, Error& error) {
        for (int i = 0; i < kMaxInterruptions; ++i) {
            const std::size_t received = Base::read_some(buffers, error);
            if (error != boost::asio::error::interrupted) return received;
        }
        error = boost::asio::error::would_block;
        return 0;
    }

    /// Like read_some(buffers, error), but throws boost::system::system_error.
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers) {
        Error error;
        const std::size_t received = read_some(buffers, error);
        if (error) throw boost::system::system_error(error);
        return received;
    }

    /// Sends as many bytes as the socket accepts at once. The error is would_block if it accepts none. Never
    /// blocks, whether or not the socket is in non-blocking mode.
    /// @return the number of bytes sent
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
            retry_on_interrupt([&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL | MSG_DONTWAIT); });
        if (sent >= 0) return static_cast<std::size_t>(sent);
        error = last_error();
        return 0;
    }

    /// Like write_some(buffers, error), but throws boost::system::system_error.
    template <class Buffers>
    std::size_t write_some(const Buffers& buffers) {
        Error error;
        const std::size_t sent = write_some(buffers, error);
        if (error) throw boost::system::system_error(error);
        return sent;
    }

    /// Sends as many bytes as the socket accepts, after waiting until it accepts some. Completes after one
    /// send: a long message returns to the event loop between its parts, so that other connections are served
    /// in between. The handler is called as handler(error, bytes sent), never from within this call.
    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token) {
        return boost::asio::async_compose<Token, void(Error, std::size_t)>(
            WriteOperation<Buffers>{*this, buffers}, token, *this);
    }

    /// Connects the socket, and opens it first if it is not open. The kernel continues a connect that a
    /// signal has interrupted (connect(2)), so the operation waits for it like for any other. The handler is
    /// called as handler(error), never from within this call.
    template <class Token>
    auto async_connect(const endpoint_type& peer, Token&& token) {
        return boost::asio::async_compose<Token, void(Error)>(ConnectOperation{*this, peer}, token, *this);
    }

private:
    /// Buffers per send. Asio uses the same limit.
    static constexpr std::size_t kMaxBuffers = 64;

    static Error last_error() { return {errno, boost::system::system_category()}; }

    /// The step of a WriteOperation or ConnectOperation.
    enum class Step {
        start,      ///< no system call has been made
        waiting,    ///< the operation waits until the socket is writable
        completing  ///< the result is known, and a posted call will pass it to the handler
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
                // Registers the descriptor anew, so that the wait ends at once if it is already writable.
                return socket.async_wait(Base::wait_write, std::move(self));
            }
            if (step == Step::waiting) return self.complete(error, sent);
            result = error;
            step = Step::completing;
            boost::asio::post(socket.get_executor(),
                              std::move(self));  // the handler must not run from within the call
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
            boost::asio::post(socket.get_executor(),
                              std::move(self));  // the handler must not run from within the call
        }
    };

    // Starts a connect. Returns no error if the socket is connected, and in_progress if the caller must wait.
    Error begin_connect(const endpoint_type& peer) {
        Error error;
        if (!this->is_open()) this->open(peer.protocol(), error);
        if (!error) this->native_non_blocking(true, error);
        if (error) return error;
        const int socket = this->native_handle();
        const int result = retry_on_interrupt(
            [&] { return ::connect(socket, peer.data(), static_cast<socklen_t>(peer.size())); });
        if (result == 0 || errno == EISCONN) return {};
        const bool is_already_connecting = errno == EALREADY;
        if (is_already_connecting) return boost::asio::error::in_progress;
        return last_error();
    }

    // Returns the result of a connect that was in progress, or in_progress if it is not complete.
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
