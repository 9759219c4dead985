// Whose failure an error of accept(), socket() or connect() is: that decides what helps.
#pragma once

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace elmbay {

enum class SocketFailure {
    own_descriptors,  // this process may open no more: closing one of its own helps
    machine,          // tables, buffers, ports or routes of the whole machine: only time helps
    connection,       // this connection's own: the next one is not concerned
};

// accept(2): errors that are pending on the new connection are told by the call, and it is to be tried again.
// A firewall's refusal (EPERM), an interrupted call and what is not known are taken likewise.
inline SocketFailure accept_failure(const boost::system::error_code& error) {
    switch (error.value()) {
        case EMFILE:
            return SocketFailure::own_descriptors;
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:  // epoll's limit on watches, epoll_ctl(2)
            return SocketFailure::machine;
        default:
            return SocketFailure::connection;
    }
}

// While a connection is opened. EAGAIN and EADDRNOTAVAIL: no local port is free (connect(2), ip(7)).
inline SocketFailure connect_failure(const boost::system::error_code& error) {
    switch (error.value()) {
        case EMFILE:
            return SocketFailure::own_descriptors;
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:
        case EAGAIN:
        case EADDRNOTAVAIL:
        case ENETDOWN:
        case ENETUNREACH:
            return SocketFailure::machine;
        default:
            return SocketFailure::connection;
    }
}

}  // namespace elmbay
