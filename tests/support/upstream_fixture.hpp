// An Upstream without the rest of the sidecar, and one scripted server.
#pragma once

#include <gtest/gtest.h>

#include <limits>
#include <memory>
#include <utility>
#include <vector>

#include "net/upstream.hpp"
#include "support/event_loop.hpp"
#include "support/fake_server.hpp"

namespace elmbay::test {

constexpr Millis kNoTimeLimit = std::numeric_limits<Millis>::infinity();

/// An Upstream with one server. Collects the outcomes that it reports.
///
/// Usage: start_attempt(), script `server`, run the event loop, check `outcomes`. The test sets the results
/// of Upstream::WriteChecks by `is_endpoint_list_unread` and `is_client_disconnected`.
struct UpstreamFixture {
    asio::io_context io{1};
    Clock clock;
    TimerQueue timers{io, clock};
    SocketBudget socket_budget;
    ByteBudget byte_budget{16U << 20U};
    FakeServer server{io};
    bool is_endpoint_list_unread = false;
    bool is_client_disconnected = false;
    std::vector<Outcome> outcomes;
    Upstream upstream;

    explicit UpstreamFixture(std::size_t sockets = 10)
        : socket_budget(sockets),
          upstream(io, socket_budget, byte_budget, timers, clock, {10000, 15000},
                   [this](AttemptKey, Outcome outcome, Millis, const HttpResponse&) {
                       outcomes.push_back(outcome);
                   },
                   {[this] { return is_endpoint_list_unread; },
                    [this](RequestId) { return is_client_disconnected; }}) {
        set_server(true);
    }

    /// Updates the server as the endpoint list does. `may_send` is whether new attempts may be sent to it.
    void set_server(bool may_send) { upstream.set_server(1, server.acceptor.local_endpoint(), may_send); }

    /// Starts an attempt at the server. It times out after `time_left`, and its last byte must be written
    /// within `write_within`.
    void start_attempt(Millis write_within = kNoTimeLimit, std::size_t body_size = 0,
                       Millis time_left = 50000) {
        auto request = std::make_shared<HttpRequest>(http::verb::post, "/api", 11);
        request->body().assign(body_size, 'x');
        const Millis now = clock.now();
        upstream.start_attempt({1, 0}, 1, now + time_left, now + write_within, std::move(request));
    }

    /// Runs the event loop until an attempt has ended.
    void run_until_ended() {
        while (outcomes.empty() && io.run_one_for(kWaitLimit) > 0) {
        }
    }

    /// Runs the event loop until `condition` returns true. Returns false if kWaitLimit passes before.
    template <class Condition>
    bool until(Condition condition) {
        return run_until(io, condition);
    }
};

}  // namespace elmbay::test
