/// @file
/// Looks at what a connection has for its reader, without reading it.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "base/stream_socket.hpp"

namespace elmbay {

/// What a look at a connection finds.
enum class SocketState {
    quiet,        ///< open, with nothing to read
    readable,     ///< bytes wait to be read
    ended,        ///< the peer has ended its sending, and all that it sent has been read
    broken,       ///< reset, timed out or unreachable
    interrupted,  ///< not known: signals interrupted every look
};

/// The state of a connected stream socket, at the cost of one system call. Never blocks and takes nothing.
/// @param socket its descriptor
inline SocketState state_of(int socket) {
    char byte = 0;
    for (int i = 0; i < kMaxInterruptions; ++i) {
        const ssize_t received = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (received > 0) return SocketState::readable;
        if (received == 0) return SocketState::ended;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return SocketState::quiet;
        if (errno != EINTR) return SocketState::broken;
    }
    return SocketState::interrupted;
}

}  // namespace elmbay
