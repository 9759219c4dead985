/// @file
/// Looks at what a connection has for its reader, without reading it.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "base/stream_socket.hpp"

namespace elmbay {

/// What a look at a connection finds.
enum class SocketState {
    idle,         ///< open, with nothing to read
    readable,     ///< bytes wait to be read
    peer_closed,  ///< the peer has ended its sending, and all that it sent has been read
    failed,       ///< reset, timed out or unreachable
    interrupted,  ///< not known: signals interrupted every look
};

/// The state of a connected stream socket, at the cost of one system call. Never blocks and takes nothing.
/// @param socket its descriptor
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
