/// @file
/// One attempt at a server, as Upstream keeps it.
#pragma once

#include <algorithm>
#include <memory>

#include "base/timing.hpp"
#include "http/message.hpp"
#include "net/server_connection.hpp"

namespace elmbay {

/// An attempt, from Upstream::start_attempt() until its outcome. It waits for a connection first, in the
/// order of its server's queue, and is then written on it.
struct UpstreamAttempt {
    /// The share of its time that an attempt waits for a connection: one that found none leaves time for
    /// another server, or to answer the client while that can still use it.
    static constexpr double kConnectTimeShare = 0.25;

    AttemptKey key;
    ServerId server = 0;
    Millis started_at = 0;
    Millis deadline = 0;        ///< it ends as timed out
    Millis write_deadline = 0;  ///< its last byte must be handed to the kernel before
    std::shared_ptr<const HttpRequest> request;
    std::shared_ptr<ServerConnection> connection;  ///< none while it waits for one
    TimerQueue::Key timer{};                       ///< for the next of its times

    bool is_waiting_for_connection() const { return !connection; }
    /// @return the end of its wait for a connection.
    Millis connect_deadline(Millis connect_timeout) const {
        const Millis share = (deadline - started_at) * kConnectTimeShare;
        return std::min(started_at + std::min(connect_timeout, share), write_deadline);
    }
    /// @return the end of its time to be written.
    Millis last_write_time() const { return std::min(deadline, write_deadline); }
};

}  // namespace elmbay
