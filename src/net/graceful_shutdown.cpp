#include "net/graceful_shutdown.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace elmbay {

void GracefulShutdown::start(std::function<void()> done) {
    if (has_started_) return;
    has_started_ = true;
    request_cutoff_ = clock_.now() + kRequestCutoff;
    done_ = std::move(done);
    timers_.set(clock_.now() + kAcceptingPeriod, [this] { stop_accepting(); });
    timers_.set(request_cutoff_, [this] { stop_reading(); });
}

// Accepts everything in the kernel's queue before the port is closed, because the kernel has already
// completed those connections and would reset them. If a descriptor or memory is lacking, retries until the
// request cutoff.
void GracefulShutdown::stop_accepting() {
    const Millis retry_interval = ClientAcceptor::kAcceptRetryInterval;
    if (!acceptor_.accept_pending() && clock_.now() + retry_interval < request_cutoff_) {
        timers_.set(clock_.now() + retry_interval, [this] { stop_accepting(); });
        return;
    }
    acceptor_.close();
    has_stopped_accepting_ = true;
    close_idle_connections();
}

void GracefulShutdown::close_idle_connections() {
    const Millis accepted_before = clock_.now() - kSilentConnectionAge;
    for (const auto& connection : connections_.all()) connection->close_if_idle(accepted_before);
    if (connections_.size() > 0)
        timers_.set(clock_.now() + kIdleCheckInterval, [this] { close_idle_connections(); });
    else
        post_done();
}

void GracefulShutdown::stop_reading() {
    for (const auto& connection : connections_.all()) connection->stop_reading();
}

void GracefulShutdown::on_connection_closed() {
    if (has_stopped_accepting_ && connections_.size() == 0) post_done();
}

void GracefulShutdown::post_done() {
    if (done_) asio::post(io_, std::exchange(done_, nullptr));
}

}  // namespace elmbay
