/// @file
/// Determines the state of a connection without reading data from it.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "base/stream_socket.hpp"

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

}  // namespace elmbay
