// The whole module against a million random events. The rig checks every action against the rules. A failing
// case is shrunk to its shortest; RC_PARAMS in the environment overrides the fixed seed (see rapidcheck's
// docs).
#include <rapidcheck.h>

#include <cstdlib>

#include "base/random.hpp"
#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// One event: its kind, and two numbers that its details are drawn from.
using Step = std::tuple<std::uint8_t, std::uint16_t, std::uint16_t>;

constexpr int kCases = 200;
constexpr int kMinSteps = 1;
constexpr int kMaxSteps = 30000;

Settings settings_of_all_classes(std::uint32_t siblings, bool allow_hedging) {
    Settings settings =
        make_settings({make_class(Idempotency::idempotent), make_class(Idempotency::non_idempotent),
                       make_class(Idempotency::idempotency_key, DedupScope::all, 700),
                       make_class(Idempotency::idempotency_key, DedupScope::zone, 700),
                       make_class(Idempotency::idempotency_key, DedupScope::cell, 700)});
    settings.siblings = siblings;
    settings.allow_hedging = allow_hedging;
    settings.tenants = {{10}, {1}};
    settings.max_sessions = 30;
    settings.max_sessions_per_server = 7;
    settings.local_zone = 1;
    settings.costs.cross_zone = 0.02;
    return settings;
}

void end_one(Rig& rig, std::uint16_t which, std::uint16_t how) {
    std::vector<std::pair<RequestId, std::uint32_t>> out;
    for (const auto& [id, request] : rig.requests) {
        for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
            if (request.attempts[i].in_flight) out.emplace_back(id, i);
        }
    }
    if (out.empty()) return;
    const auto [id, attempt] = out[which % out.size()];
    static const Outcome outcomes[] = {Outcome::success,          Outcome::success,        Outcome::success,
                                       Outcome::error_response,   Outcome::rejected,       Outcome::timed_out,
                                       Outcome::connection_reset, Outcome::connect_failed, Outcome::not_sent};
    rig.end_attempt(id, attempt, rig.is_closed(rig.requests.at(id)) ? Outcome::cancelled : outcomes[how % 9]);
}

void change_list(Rig& rig, std::uint16_t which, std::uint16_t how) {
    static const EndpointState states[] = {EndpointState::active, EndpointState::active,
                                           EndpointState::draining, EndpointState::removed};
    const ServerId id = 1 + which % 12;
    const Millis since = how % 3 ? 0 : rig.now - how;
    if (how % 16 == 15) return rig.apply_list(ListKind::failed, {});
    if (how % 16 == 14) return rig.apply_list(ListKind::snapshot, make_servers(1 + which % 12, since));
    rig.apply_list(ListKind::incremental, {{id, id % 3, id % 2, id % 2, states[how % 4], since}});
}

void disconnect_client(Rig& rig, std::uint16_t which) {
    if (rig.requests.empty()) return;
    auto entry = rig.requests.begin();
    std::advance(entry, which % rig.requests.size());
    if (rig.is_closed(entry->second)) return;
    entry->second.client_disconnected = true;
    rig.handle(ClientDisconnected{entry->first});
}

void end_session(Rig& rig, std::uint16_t which, std::uint16_t how) {
    if (rig.sessions.empty()) return;
    auto entry = rig.sessions.begin();
    std::advance(entry, which % rig.sessions.size());
    rig.end_session(*entry, how % 3 == 0);
}

void feed(Rig& rig, const Step& step) {
    const auto [what, a, b] = step;
    if (what < 110) {
        rig.request(a % 6, 20 + b % 1500, b % 4 == 0, a % 8 == 1);
    } else if (what < 215) {
        end_one(rig, a, b);
    } else if (what < 222) {
        change_list(rig, a, b);
    } else if (what < 228) {
        disconnect_client(rig, a);
    } else if (what < 236) {
        end_session(rig, a, b);
    } else {
        rig.advance(what == 255 ? b % 8000 : b % 60);
    }
    std::erase_if(rig.requests, [&](const auto& entry) {
        return rig.is_closed(entry.second) && !rig.is_in_flight(entry.first);
    });
}

TEST(Property, RulesHoldOverRandomEvents) {
    const std::string fixed = "seed=20261201 max_success=" + std::to_string(kCases);
    ::setenv("RC_PARAMS", fixed.c_str(), 0);
    std::size_t events = 0;
    const bool holds = rc::check([&] {
        const auto steps = *rc::gen::inRange(kMinSteps, kMaxSteps);  // shrinks to the shortest that fails
        const auto siblings = *rc::gen::element(1U, 4U, 64U, 1000U);
        const auto parallel = *rc::gen::arbitrary<bool>();
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        Rig rig(settings_of_all_classes(siblings, parallel), seed);
        Random random(seed);
        rig.handle(Started{});
        rig.apply_list(ListKind::cached, make_servers(8));
        for (int i = 0; i < steps; ++i) {
            const std::uint64_t draw = random.next();
            feed(rig, Step{draw, draw >> 8, draw >> 24});
            RC_ASSERT(!::testing::Test::HasFailure());
            RC_ASSERT(rig.balancer.resource_usage().sessions == rig.sessions.size());
            RC_ASSERT(rig.balancer.resource_usage().sessions <= rig.settings.max_sessions);
            RC_ASSERT(rig.balancer.resource_usage().waiting <=
                      2 * rig.balancer.resource_usage().requests + 64);
        }
        events += static_cast<std::size_t>(steps);
        rig.finish_all();
        RC_ASSERT(!::testing::Test::HasFailure());
    });
    EXPECT_GT(events, 1000000U);
    EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace elmbay::balancer::test
