// What one request costs in the decision module: nanoseconds and allocations, by servers and by requests out
// at once. Usage: policy_cost [--benchmark_filter=...]   (Google Benchmark; built with -DELMBAY_BENCH=ON)
//
// Each turn ends the oldest request with a completed answer and takes a new one, so that `out` stay out. Time
// passes as if each took 40 ms. Only the public interface is used: the same file measures an older module.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <new>

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

using namespace elmbay::balancer;

constexpr Millis kAnswer = 40, kLeft = 1000;

void one_request(benchmark::State& state) {
    const auto servers = static_cast<ServerId>(state.range(0));
    const auto out = static_cast<std::size_t>(state.range(1));
    Settings settings;
    settings.classes = {RequestClass{Idempotency::idempotent, DedupScope::all, 0, 400}};
    settings.slow_start_duration = 15000;
    settings.siblings = 1000;  // else the pool is the fleet
    Balancer balancer(settings, 1);
    std::vector<Action> actions;
    Millis now = 1e9;
    struct Open {
        RequestId id;
        Millis since;
    };
    std::deque<Open> open;
    std::deque<SetTimer> holds, deadlines;  // each in order of time
    RequestId next = 1;
    std::uint64_t refused = 0;
    const auto give = [&](const Event& event) {
        actions.clear();
        balancer.handle(now, event, actions);
        for (const Action& a : actions) {
            if (const auto* send = std::get_if<StartAttempt>(&a)) open.push_back({send->id, now});
            if (const auto* t = std::get_if<SetTimer>(&a))
                (t->at - now < kLeft / 2 ? holds : deadlines).push_back(*t);
            refused += std::holds_alternative<Reject>(a);
        }
    };
    give(Started{});
    ServerList list;
    for (ServerId i = 1; i <= servers; ++i)
        list.servers.push_back({i, i % 3, 0, 0, EndpointState::active, 0});
    give(list);
    const auto turn = [&] {
        now += kAnswer / static_cast<double>(out);
        for (auto* timers : {&holds, &deadlines})
            while (!timers->empty() && timers->front().at <= now) {
                const TimerToken token = timers->front().token;
                timers->pop_front();
                give(TimerFired{token});
            }
        while (!open.empty() && now >= open.front().since + kAnswer) {
            const RequestId id = open.front().id;
            open.pop_front();
            give(AttemptEnded{id, 0, Outcome::success, kAnswer, true});
        }
        give(RequestArrived{next++, 0, {}, kLeft});
    };
    for (std::size_t i = 0; i < 20 * out + 2000; ++i) turn();  // learnt, and the pool at its width
    allocations = 0;
    for (auto _ : state) turn();
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations), benchmark::Counter::kAvgIterations);
    state.counters["refused"] = static_cast<double>(refused) / static_cast<double>(next);
}

BENCHMARK(one_request)->ArgNames({"servers", "out"})->ArgsProduct({{10, 200, 2000}, {1, 100}});

}  // namespace

BENCHMARK_MAIN();
