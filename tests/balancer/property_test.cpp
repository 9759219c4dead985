// Tests the whole module with a million random events. The rig checks every action against the rules. A
// failing case is shrunk to the shortest one; RC_PARAMS in the environment overrides the fixed seed (see the
// rapidcheck documentation).
#include <rapidcheck.h>

#include <cstdlib>

#include "base/random.hpp"
#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

// One event: its kind, and two random numbers that determine its details.
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

void end_random_attempt(Rig& rig, std::uint16_t selection, std::uint16_t variation) {
    std::vector<std::pair<RequestId, std::uint32_t>> in_flight_attempts;
    for (const auto& [id, request] : rig.requests) {
        for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
            if (request.attempts[i].in_flight) in_flight_attempts.emplace_back(id, i);
        }
    }
    if (in_flight_attempts.empty()) return;
    const auto [id, attempt] = in_flight_attempts[selection % in_flight_attempts.size()];
    static const Outcome outcomes[] = {Outcome::success,          Outcome::success,        Outcome::success,
                                       Outcome::error_response,   Outcome::rejected,       Outcome::timed_out,
                                       Outcome::connection_reset, Outcome::connect_failed, Outcome::not_sent};
    rig.end_attempt(id, attempt,
                    rig.is_closed(rig.requests.at(id)) ? Outcome::cancelled : outcomes[variation % 9]);
}

void change_list(Rig& rig, std::uint16_t selection, std::uint16_t variation) {
    static const EndpointState states[] = {EndpointState::active, EndpointState::active,
                                           EndpointState::draining, EndpointState::removed};
    const ServerId id = 1 + selection % 12;
    const Millis since = variation % 3 ? 0 : rig.now - variation;
    if (variation % 16 == 15) return rig.apply_list(ListKind::failed, {});
    if (variation % 16 == 14)
        return rig.apply_list(ListKind::snapshot, make_servers(1 + selection % 12, since));
    rig.apply_list(ListKind::incremental, {{id, id % 3, id % 2, id % 2, states[variation % 4], since}});
}

void disconnect_client(Rig& rig, std::uint16_t selection) {
    if (rig.requests.empty()) return;
    auto entry = rig.requests.begin();
    std::advance(entry, selection % rig.requests.size());
    if (rig.is_closed(entry->second)) return;
    entry->second.client_disconnected = true;
    rig.handle(ClientDisconnected{entry->first});
}

void end_session(Rig& rig, std::uint16_t selection, std::uint16_t variation) {
    if (rig.sessions.empty()) return;
    auto entry = rig.sessions.begin();
    std::advance(entry, selection % rig.sessions.size());
    rig.end_session(*entry, variation % 3 == 0);
}

void apply_step(Rig& rig, const Step& step) {
    const auto [kind, first_number, second_number] = step;
    if (kind < 110) {
        rig.request(first_number % 6, 20 + second_number % 1500, second_number % 4 == 0,
                    first_number % 8 == 1);
    } else if (kind < 215) {
        end_random_attempt(rig, first_number, second_number);
    } else if (kind < 222) {
        change_list(rig, first_number, second_number);
    } else if (kind < 228) {
        disconnect_client(rig, first_number);
    } else if (kind < 236) {
        end_session(rig, first_number, second_number);
    } else {
        rig.advance(kind == 255 ? second_number % 8000 : second_number % 60);
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
        const auto steps = *rc::gen::inRange(kMinSteps, kMaxSteps);  // shrinks to the smallest failing number
        const auto siblings = *rc::gen::element(1U, 4U, 64U, 1000U);
        const auto allow_hedging = *rc::gen::arbitrary<bool>();
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        Rig rig(settings_of_all_classes(siblings, allow_hedging), seed);
        Random random(seed);
        rig.handle(Started{});
        rig.apply_list(ListKind::cached, make_servers(8));
        for (int i = 0; i < steps; ++i) {
            const std::uint64_t draw = random.next();
            apply_step(rig, Step{draw, draw >> 8, draw >> 24});
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
