/// @file
/// Signal handling: SIGHUP reloads the configuration; SIGTERM and SIGINT shut the sidecar down gracefully.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

#include "sidecar/sidecar.hpp"

namespace elmbay {

/// Ignores SIGPIPE and SIGXFSZ. Their default action ends the process when the reader of the log closes its
/// pipe, or when a file would grow beyond RLIMIT_FSIZE. The write then fails with EPIPE or EFBIG instead.
void ignore_write_signals();

/// Catches SIGHUP, SIGTERM and SIGINT from construction on. Signals that arrive before attach() are handled
/// after it.
///
/// Construct the object before any slow operation, because SIGHUP ends the process as long as there is no
/// handler. The event loop and the attached sidecar must outlive it.
class SignalHandling {
public:
    explicit SignalHandling(boost::asio::io_context& io);

    /// Starts to apply signals to the sidecar.
    /// @param on_drained called once after SIGTERM or SIGINT, when all connections are closed.
    void attach(Sidecar& sidecar, std::function<void()> on_drained);

private:
    void wait_for_reload(Sidecar& sidecar);

    boost::asio::signal_set reload_signals_;
    boost::asio::signal_set shutdown_signals_;
};

}  // namespace elmbay
