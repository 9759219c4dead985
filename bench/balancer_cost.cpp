/// @file
/// Measures the cost of one request in the decision module: nanoseconds and allocations, by the number of
/// servers and of requests in flight. Usage: balancer_cost [--benchmark_filter=...]   (Google Benchmark;
/// built with -DELMBAY_BENCH=ON)
///
/// Each iteration completes the oldest request and adds a new one, so that `in_flight` requests stay in
/// flight. Virtual time advances as if each request took 40 ms. Only the public interface is used, so the
/// same file can measure other versions of the module.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <new>
#include <vector>

#include "elmbay/balancer.hpp"

namespace {

std::uint64_t allocations = 0;

}  // namespace

[[gnu::noinline]] void* operator new(std::size_t size) {
    ++allocations;
    if (void* p = std::malloc(size)) return p;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* p) noexcept { std::free(p); }
[[gnu::noinline]] void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace {

namespace balancer = elmbay::balancer;
using balancer::Millis;

constexpr Millis kResponseTime = 40;
constexpr Millis kTimeLeft = 1000;

balancer::Settings make_settings() {
    balancer::Settings settings;
    settings.classes = {
        balancer::RequestClass{balancer::Idempotency::idempotent, balancer::DedupScope::all, 0, 400}};
    settings.slow_start_duration = 15000;
    settings.siblings = 1000;  // with fewer sidecars the pool would be the whole fleet
    return settings;
}

/// A sidecar in virtual time whose attempts all succeed after kResponseTime.
class Sidecar {
public:
    Sidecar(balancer::ServerId servers, std::size_t in_flight)
        : interval_(kResponseTime / static_cast<double>(in_flight)), balancer_(make_settings(), 1) {
        handle(balancer::Started{});
        balancer::ServerList list;
        for (balancer::ServerId id = 1; id <= servers; ++id) {
            list.servers.push_back({id, id % 3, 0, 0, balancer::EndpointState::active, 0});
        }
        handle(list);
    }

    /// Fires the timers that are due, completes the attempts that are due, and adds one request.
    void step() {
        now_ += interval_;
        fire_timers(wait_timers_);
        fire_timers(deadline_timers_);
        while (!attempts_.empty() && now_ >= attempts_.front().sent_at + kResponseTime) {
            const balancer::RequestId id = attempts_.front().request;
            attempts_.pop_front();
            handle(balancer::AttemptEnded{id, 0, balancer::Outcome::success, kResponseTime, true});
        }
        handle(balancer::RequestArrived{next_request_++, 0, {}, kTimeLeft});
    }

    /// Returns the share of rejected requests.
    double rejected_share() const {
        return static_cast<double>(rejected_) / static_cast<double>(next_request_);
    }

private:
    struct SentAttempt {
        balancer::RequestId request;
        Millis sent_at;
    };

    void fire_timers(std::deque<balancer::SetTimer>& timers) {
        while (!timers.empty() && timers.front().at <= now_) {
            const balancer::TimerToken token = timers.front().token;
            timers.pop_front();
            handle(balancer::TimerFired{token});
        }
    }

    void handle(const balancer::Event& event) {
        actions_.clear();
        balancer_.handle(now_, event, actions_);
        for (const balancer::Action& action : actions_) {
            if (const auto* send = std::get_if<balancer::StartAttempt>(&action)) {
                attempts_.push_back({send->id, now_});
            }
            if (const auto* timer = std::get_if<balancer::SetTimer>(&action)) {
                const bool ends_a_wait = timer->at - now_ < kTimeLeft / 2;
                (ends_a_wait ? wait_timers_ : deadline_timers_).push_back(*timer);
            }
            rejected_ += std::holds_alternative<balancer::Reject>(action);
        }
    }

    Millis interval_;
    balancer::Balancer balancer_;
    std::vector<balancer::Action> actions_;
    Millis now_ = 1e9;
    // Each queue is in order of time.
    std::deque<SentAttempt> attempts_;
    std::deque<balancer::SetTimer> wait_timers_;
    std::deque<balancer::SetTimer> deadline_timers_;
    balancer::RequestId next_request_ = 1;
    std::uint64_t rejected_ = 0;
};

void one_request(benchmark::State& state) {
    const auto servers = static_cast<balancer::ServerId>(state.range(0));
    const auto in_flight = static_cast<std::size_t>(state.range(1));
    Sidecar sidecar(servers, in_flight);
    // Runs until the concurrency limit is steady and the pool has its width.
    for (std::size_t i = 0; i < 20 * in_flight + 2000; ++i) sidecar.step();
    allocations = 0;
    for (auto _ : state) sidecar.step();
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations), benchmark::Counter::kAvgIterations);
    state.counters["refused"] = sidecar.rejected_share();
}

BENCHMARK(one_request)->ArgNames({"servers", "out"})->ArgsProduct({{10, 200, 2000}, {1, 100}});

}  // namespace

BENCHMARK_MAIN();
