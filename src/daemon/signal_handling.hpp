/// @file
/// Signals: SIGHUP reloads the configuration, SIGTERM and SIGINT shut the sidecar down gracefully.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

#include "sidecar/sidecar.hpp"

namespace elmbay {

/// Ignores SIGPIPE and SIGXFSZ. Their default ends the process when the log's reader has gone, or when a file
/// would grow beyond RLIMIT_FSIZE. The failing write reports EPIPE or EFBIG instead.
void ignore_write_signals();

/// Catches SIGHUP, SIGTERM and SIGINT from its construction on. Signals that come before attach() wait until
/// then.
///
/// Construct it before anything that takes time: without a handler SIGHUP ends the process. Must not outlive
/// the event loop or the attached sidecar's use of it.
class SignalHandling {
public:
    explicit SignalHandling(boost::asio::io_context& io);

    /// Acts on signals from now on.
    /// @param on_drained called once after SIGTERM or SIGINT, when no connection is left.
    void attach(Sidecar& sidecar, std::function<void()> on_drained);

private:
    void await_reload(Sidecar& sidecar);

    boost::asio::signal_set reload_signals_;
    boost::asio::signal_set end_signals_;
};

}  // namespace elmbay
