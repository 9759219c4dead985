// What a connection holds for its reader, without taking it.
#pragma once

#include <sys/socket.h>

#include <cerrno>

#include "base/stream_socket.hpp"

namespace elmbay {

enum class SocketState {
    quiet,        // open, with nothing to read
    readable,     // bytes wait
    ended,        // the peer has ended its sending, and all that it sent has been read
    broken,       // reset, timed out, unreachable
    interrupted,  // nothing could be learned: each look was interrupted
};

inline SocketState state_of(int socket) {
    char byte = 0;
    for (int i = 0; i < kMaxInterruptions; ++i) {
        const ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got > 0) return SocketState::readable;
        if (got == 0) return SocketState::ended;
        if (errno == EAGAIN || errno == EWOULDBLOCK) return SocketState::quiet;
        if (errno != EINTR) return SocketState::broken;
    }
    return SocketState::interrupted;
}

}  // namespace elmbay
