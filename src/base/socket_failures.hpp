/// @file
/// Classifies errors of accept(), socket() and connect() by the resource that failed, because the resource
/// determines how the process can recover.
#pragma once

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace elmbay {

/// The resource whose failure an error reports.
enum class SocketFailure {
    process_limit,   ///< this process has reached its descriptor limit; closing one of its descriptors helps
    host_resources,  ///< tables, buffers, ports or routes of the host are exhausted or missing; a later retry
                     ///< helps
    connection,      ///< the failure concerns one connection; the next connection is not affected
};

/// Classifies an error of accept(2). accept() also reports errors that are pending on the new connection,
/// after which the caller calls it again: these are SocketFailure::connection, and so are a rejection by a
/// firewall (EPERM), an interrupted call and an unknown error.
inline SocketFailure classify_accept_error(const boost::system::error_code& error) {
    switch (error.value()) {
        case EMFILE:
            return SocketFailure::process_limit;
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:  // the limit on epoll watches is reached, epoll_ctl(2)
            return SocketFailure::host_resources;
        default:
            return SocketFailure::connection;
    }
}

/// Classifies an error of opening a connection with socket(2) and connect(2).
inline SocketFailure classify_connect_error(const boost::system::error_code& error) {
    switch (error.value()) {
        case EMFILE:
            return SocketFailure::process_limit;
        case ENFILE:
        case ENOBUFS:
        case ENOMEM:
        case ENOSPC:
        case EAGAIN:         // no local port is free, connect(2)
        case EADDRNOTAVAIL:  // no local port is free, ip(7)
        case ENETDOWN:
        case ENETUNREACH:
            return SocketFailure::host_resources;
        default:
            return SocketFailure::connection;
    }
}

}  // namespace elmbay
