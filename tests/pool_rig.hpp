// The pool of connections to servers alone, for tests.
#pragma once

#include <limits>
#include <memory>
#include <vector>

#include "net_rig.hpp"

namespace elmbay::test {

// The pool alone, with the outcomes it reports.
struct PoolRig {
    asio::io_context io{1};
    Clock clock;
    TimerQueue timers{io, clock};
    SocketBudget budget;
    ByteBudget bytes{16U << 20U};
    FakeServer server{io};
    std::vector<Outcome> ended;
    Upstream upstream;

    explicit PoolRig(std::size_t sockets)
        : budget(sockets),
          upstream(
              io, budget, bytes, timers, clock, {10000, 15000},
              [this](AttemptKey, Outcome outcome, Millis, const HttpResponse&) { ended.push_back(outcome); },
              {}) {
        tell(true);
    }
    void tell(bool may_send) { upstream.set_server(1, server.acceptor.local_endpoint(), may_send); }
    void send(Millis write_within = std::numeric_limits<Millis>::infinity(), std::size_t body = 0,
              Millis within = 50000) {
        auto request = std::make_shared<HttpRequest>(http::verb::post, "/api", 11);
        request->body().assign(body, 'x');
        upstream.start_attempt({1, 0}, 1, clock.now() + within, clock.now() + write_within,
                               std::move(request));
    }
    void run_until_ended() {
        while (ended.empty() && io.run_one_for(std::chrono::seconds(60)) > 0) continue;
    }
};

}  // namespace elmbay::test
