// Stream sockets that stay right where Linux lets a system call do less than it was asked, or interrupts it.
//
// Asio registers descriptors edge-triggered. After a send that took only a part it waits for the next edge of
// EPOLLOUT before it sends again, and while the socket's buffer has room none comes: async_write() hangs. Its
// blocking-style read_some(), write_some() and connect() pass EINTR on as if the connection had failed.
// StreamSocket replaces these calls and leaves all others as they are, so that asio::async_write(), Beast's
// HTTP writers and WebSocket streams work on it unchanged.
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
#include <utility>

namespace elmbay {

// A call that is interrupted is made again so often; signals don't come in such rows. After that the socket
// counts as not ready, and the loop comes back to it.
constexpr int kMaxInterruptions = 64;

// The call's result; EAGAIN once it has been interrupted kMaxInterruptions times.
template <class Call>
auto uninterrupted(Call call) {
    for (int i = 0; i < kMaxInterruptions; ++i)
        if (const auto result = call(); result >= 0 || errno != EINTR) return result;
    errno = EAGAIN;
    return decltype(call())(-1);
}

template <class Protocol>
class StreamSocket : public boost::asio::basic_stream_socket<Protocol> {
    using Base = boost::asio::basic_stream_socket<Protocol>;
    using Error = boost::system::error_code;

public:
    using Base::Base;
    using typename Base::endpoint_type;
    StreamSocket(Base&& accepted) : Base(std::move(accepted)) {}

    // On a non-blocking socket: would_block where nothing has come, or where signals let nothing through.
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers, Error& error) {
        for (int i = 0; i < kMaxInterruptions; ++i) {
            const std::size_t got = Base::read_some(buffers, error);
            if (error != boost::asio::error::interrupted) return got;
        }
        error = boost::asio::error::would_block;
        return 0;
    }

    template <class Buffers>
    std::size_t read_some(const Buffers& buffers) {
        Error error;
        const std::size_t got = read_some(buffers, error);
        if (error) throw boost::system::system_error(error);
        return got;
    }

    // Never blocks, whatever the socket's mode is.
    template <class Buffers>
    std::size_t write_some(const Buffers& buffers, Error& error) {
        std::array<iovec, kMaxParts> parts{};
        msghdr message{};
        message.msg_iov = parts.data();
        std::size_t size = 0;
        const auto end = boost::asio::buffer_sequence_end(buffers);
        for (auto at = boost::asio::buffer_sequence_begin(buffers); at != end; ++at) {
            if (message.msg_iovlen == parts.size()) break;
            const boost::asio::const_buffer part(*at);
            if (part.size() == 0) continue;
            parts[message.msg_iovlen++] = {const_cast<void*>(part.data()), part.size()};
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

    template <class Buffers>
    std::size_t write_some(const Buffers& buffers) {
        Error error;
        const std::size_t sent = write_some(buffers, error);
        if (error) throw boost::system::system_error(error);
        return sent;
    }

    // Sends at once what the socket takes; where it takes nothing, as soon as it does. One send for each
    // call: a long message goes round the loop between its parts, so that others have their turn.
    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token) {
        return boost::asio::async_compose<Token, void(Error, std::size_t)>(Write<Buffers>{*this, buffers},
                                                                           token, *this);
    }

    // Opens the socket if it is not open. An interrupted connect goes on without its caller (connect(2)): it
    // is waited for like any other.
    template <class Token>
    auto async_connect(const endpoint_type& peer, Token&& token) {
        return boost::asio::async_compose<Token, void(Error)>(Connect{*this, peer}, token, *this);
    }

private:
    static constexpr std::size_t kMaxParts = 64;  // as many as Asio sends at a time

    static Error last_error() { return {errno, boost::system::system_category()}; }

    enum class Step { begin, wait, told };

    template <class Buffers>
    struct Write {
        StreamSocket& socket;
        Buffers buffers;
        Step step = Step::begin;
        Error result{};
        std::size_t sent = 0;

        template <class Self>
        void operator()(Self& self, Error error = {}) {
            if (step == Step::told) return self.complete(result, sent);
            if (!error) sent = socket.write_some(buffers, error);
            if (error == boost::asio::error::would_block) {
                step = Step::wait;
                // Arms the descriptor anew: one that is writable already is told at once.
                return socket.async_wait(Base::wait_write, std::move(self));
            }
            if (step == Step::wait) return self.complete(error, sent);
            result = error;
            step = Step::told;
            boost::asio::post(socket.get_executor(), std::move(self));  // never from within the call
        }
    };

    struct Connect {
        StreamSocket& socket;
        endpoint_type peer;
        Step step = Step::begin;
        Error result{};

        template <class Self>
        void operator()(Self& self, Error error = {}) {
            if (step == Step::told) return self.complete(result);
            if (!error) error = step == Step::begin ? socket.begin_connect(peer) : socket.connected();
            if (error == boost::asio::error::in_progress) {
                step = Step::wait;
                return socket.async_wait(Base::wait_write, std::move(self));
            }
            if (step == Step::wait) return self.complete(error);
            result = error;
            step = Step::told;
            boost::asio::post(socket.get_executor(), std::move(self));
        }
    };

    Error begin_connect(const endpoint_type& peer) {
        Error error;
        if (!this->is_open()) this->open(peer.protocol(), error);
        if (!error) this->native_non_blocking(true, error);
        if (error) return error;
        const int socket = this->native_handle();
        const int result = uninterrupted(
            [&] { return ::connect(socket, peer.data(), static_cast<socklen_t>(peer.size())); });
        if (result == 0 || errno == EISCONN) return {};
        // EALREADY: an interrupted call has begun it.
        return errno == EALREADY ? Error(boost::asio::error::in_progress) : last_error();
    }

    // What became of a connect that was in progress.
    Error connected() {
        const int socket = this->native_handle();
        int failure = 0;
        socklen_t size = sizeof failure;
        if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0) return last_error();
        if (failure != 0) return {failure, boost::system::system_category()};
        pollfd look{socket, POLLOUT, 0};
        const int ready = ::poll(&look, 1, 0);
        if (ready <= 0) return boost::asio::error::in_progress;  // woken for nothing
        return look.revents & POLLHUP ? Error(boost::asio::error::not_connected) : Error();
    }
};

using TcpSocket = StreamSocket<boost::asio::ip::tcp>;

}  // namespace elmbay
