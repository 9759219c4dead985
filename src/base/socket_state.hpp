/// @file
/// Determines the state of a connection without reading data from it.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstddef>
#include <optional>

#include "base/stream_socket.hpp"
#include "base/timing.hpp"

namespace elmbay {

/// The state of a connected stream socket, as its reader would find it.
enum class SocketState {
    idle,         ///< open, with no data to read
    readable,     ///< data is available to read
    peer_closed,  ///< the peer has closed its sending direction, and all received data has been read
    failed,       ///< reset, timed out or unreachable
    interrupted,  ///< unknown, because signals interrupted every attempt to read the state
};

/// Returns the state of a connected stream socket, at the cost of one system call. Never blocks, and leaves
/// the received data in the socket.
/// @param socket the descriptor of the socket
inline SocketState peek_socket_state(int socket) {
    char byte = 0;
    for (int i = 0; i < kMaxInterruptions; ++i) {
        const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received > 0) return SocketState::readable;
        if (received == 0) return SocketState::peer_closed;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return SocketState::idle;
        if (errno != EINTR) return SocketState::failed;
    }
    return SocketState::interrupted;
}

/// Returns the time since the kernel received the last byte on a TCP connection or, if there was none, since
/// the connection was established, at the cost of one system call. It includes the time that the connection
/// waited in the accept queue and that received bytes waited to be read.
/// @param socket the descriptor of the socket
/// @return the time in milliseconds, with the resolution of the kernel's tick (tcp(7), tcp_info); nothing if
///         the kernel does not report it
inline std::optional<Millis> time_since_last_receive(int socket) {
    // Older kernels return a shorter structure.
    constexpr std::size_t kNeededBytes =
        offsetof(tcp_info, tcpi_last_data_recv) + sizeof(tcp_info::tcpi_last_data_recv);
    tcp_info info{};
    socklen_t size = sizeof info;
    const int result = ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
    if (result != 0 || size < kNeededBytes) return {};
    return info.tcpi_last_data_recv;
}

}  // namespace elmbay
