/// @file
/// Classifies errors of accept(), socket() and connect() by whose failure they are: that decides what helps.
#pragma once

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace elmbay {

/// Whose failure an error is.
enum class SocketFailure {
    process_limit,   ///< this process may open no more: closing one of its own helps
    host_resources,  ///< tables, buffers, ports or routes of the whole machine: only time helps
    connection,      ///< this connection's own: the next one is not concerned
};

/// Of accept(2). The call reports errors that are pending on the new connection as its own; it is to be made
/// again. A firewall's refusal (EPERM), an interrupted call and an error that is not known count likewise.
inline SocketFailure classify_accept_error(const boost::system::error_code& error) {
    switch (error.value()) {
        case EMFILE:
            return SocketFailure::process_limit;
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:  // epoll's limit on watches, epoll_ctl(2)
            return SocketFailure::host_resources;
        default:
            return SocketFailure::connection;
    }
}

/// Of opening a connection: socket(2) and connect(2).
inline SocketFailure classify_connect_error(const boost::system::error_code& error) {
    switch (error.value()) {
        case EMFILE:
            return SocketFailure::process_limit;
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:
        case EAGAIN:         // no local port is free, connect(2)
        case EADDRNOTAVAIL:  // the same, ip(7)
        case ENETDOWN:
        case ENETUNREACH:
            return SocketFailure::host_resources;
        default:
            return SocketFailure::connection;
    }
}

}  // namespace elmbay
