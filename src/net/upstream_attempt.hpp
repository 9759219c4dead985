/// @file
/// The state of one attempt in Upstream.
#pragma once

#include <algorithm>
#include <memory>

#include "base/timing.hpp"
#include "http/message.hpp"
#include "net/server_connection.hpp"

namespace elmbay {

/// An attempt, from Upstream::start_attempt() until its outcome. It first waits for a connection in the queue
/// of its server; then its request is written on that connection.
struct UpstreamAttempt {
    /// Share of an attempt's time that it waits for a connection at most. The rest is left for an attempt at
    /// another server, or for a response to the client before its deadline.
    static constexpr double kConnectTimeShare = 0.25;

    AttemptKey key;
    ServerId server = 0;
    Millis started_at = 0;
    Millis deadline = 0;        ///< time at which the attempt ends as timed out
    Millis write_deadline = 0;  ///< time by which the kernel must have accepted the request's last byte
    std::shared_ptr<const HttpRequest> request;
    std::shared_ptr<ServerConnection> connection;  ///< null while the attempt waits for one
    TimerQueue::Key timer{};                       ///< expires at the next of the attempt's time limits

    bool is_waiting_for_connection() const { return !connection; }
    /// @return the time at which the wait for a connection ends.
    Millis connect_deadline(Millis connect_timeout) const {
        const Millis share = (deadline - started_at) * kConnectTimeShare;
        return std::min(started_at + std::min(connect_timeout, share), write_deadline);
    }
    /// @return the time at which the write must have ended.
    Millis last_write_time() const { return std::min(deadline, write_deadline); }
};

}  // namespace elmbay
