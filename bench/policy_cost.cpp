// What one request costs in the decision module: nanoseconds and allocations, by servers and by requests out
// at once. Usage: policy_cost [--benchmark_filter=...]   (Google Benchmark; built with -DELMBAY_BENCH=ON)
//
// Each turn ends the oldest request with a completed answer and takes a new one, so that `out` stay out. Time
// passes as if each took 40 ms. Only the public interface is used: the same file measures an older module.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <new>

#include "hollybeam/balancer.hpp"

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

using namespace hollybeam;

constexpr Millis kAnswer = 40;

void one_request(benchmark::State& state) {
    const auto servers = static_cast<ServerId>(state.range(0));
    const auto out = static_cast<std::size_t>(state.range(1));
    Settings settings;
    settings.classes = {RequestClass{Effect::repeatable, DedupScope::all, 0, 400}};
    settings.warm_within = 15000;
    settings.siblings = 1000;  // else the pool is the fleet
    Balancer balancer(settings, 1);
    std::vector<Action> actions;
    Millis now = 1e9;
    balancer.handle(now, Started{}, actions);
    ServerList list;
    for (ServerId i = 1; i <= servers; ++i) list.servers.push_back({i, i % 3, 0, 0, Phase::on, 0});
    balancer.handle(now, list, actions);
    std::deque<RequestId> open;
    RequestId next = 1;
    std::uint64_t unsent = 0;
    std::deque<TimerToken> timers;
    const auto take = [&] {
        actions.clear();
        balancer.handle(now, RequestArrived{next, 0, {}, 1000}, actions);
        bool sent = false;
        for (const Action& a : actions) {
            sent = sent || std::holds_alternative<Send>(a);
            if (const auto* t = std::get_if<SetTimer>(&a)) timers.push_back(t->token);
        }
        if (sent)
            open.push_back(next);
        else
            ++unsent;
        ++next;
    };
    const auto serve = [&] {
        actions.clear();
        balancer.handle(now, AttemptEnded{open.front(), 0, Outcome::completed, kAnswer, true}, actions);
        open.pop_front();
        if (timers.size() > 4 * out + 100) {  // a deadline's timer fires long after its request has ended
            balancer.handle(now, TimerFired{timers.front()}, actions);
            timers.pop_front();
        }
    };
    const auto turn = [&] {
        now += kAnswer / static_cast<double>(out);
        if (open.size() >= out) serve();
        take();
    };
    for (std::size_t i = 0; i < 20 * out + 2000; ++i) turn();  // learnt, and the pool at its width
    allocations = 0;
    for (auto _ : state) turn();
    state.counters["allocations"] =
        benchmark::Counter(static_cast<double>(allocations), benchmark::Counter::kAvgIterations);
    state.counters["unsent"] = static_cast<double>(unsent);
}

BENCHMARK(one_request)->ArgNames({"servers", "out"})->ArgsProduct({{10, 200, 2000}, {1, 100}});

}  // namespace

BENCHMARK_MAIN();
