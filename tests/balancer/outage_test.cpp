// Tests failures that begin after a long quiet period or while the list has been unreachable for long. The
// rules must hold from the first request on, and healthy servers must be found.
#include "base/random.hpp"
#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr Millis kHour = 3600000;

// Sends requests whose attempts end with `outcome_of` their server. Returns the number of successful
// requests.
template <class OutcomeOf>
int count_served(Rig& rig, int requests, std::uint32_t class_index, OutcomeOf outcome_of) {
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request(class_index);
        for (int attempt = 0; attempt < 4 && rig.is_in_flight(id); ++attempt) {
            const Outcome outcome = outcome_of(rig.last_server(id));
            served += outcome == Outcome::success;
            rig.end(id, outcome, 20);
        }
        rig.advance(20);
    }
    return served;
}

Outcome healthy(ServerId) { return Outcome::success; }
Outcome half_broken(ServerId server) { return server % 2 == 0 ? Outcome::error_response : Outcome::success; }
Outcome half_unreachable(ServerId server) {
    return server % 2 == 0 ? Outcome::connect_failed : Outcome::success;
}

std::vector<RequestClass> every_class() {
    return {make_class(Idempotency::idempotent), make_class(Idempotency::idempotency_key),
            make_class(Idempotency::non_idempotent)};
}

TEST(AfterQuietPeriod, ServesWhileHalfOfTheServersFail) {
    for (const std::uint32_t siblings : {1U, 300U}) {
        for (const auto& failures : {half_broken, half_unreachable}) {
            Settings settings = make_settings(every_class());
            settings.siblings = siblings;
            Rig rig(settings);
            rig.apply_list(ListKind::snapshot, make_servers(10));
            for (const Millis quiet : {kHour / 60, kHour, 48 * kHour}) {
                count_served(rig, 200, 0, healthy);
                rig.advance(quiet);
                for (std::uint32_t class_index = 0; class_index < 3; ++class_index) {
                    count_served(rig, 100, class_index, failures);
                }
                EXPECT_GT(count_served(rig, 100, 0, failures), 90) << siblings << " sidecars, " << quiet;
            }
            rig.finish_all();
        }
    }
}

// The list is unreachable for hours. When it is available again, most servers have been replaced.
TEST(AfterListOutage, AppliesTheNewListAtOnce) {
    Rig rig(make_settings(every_class()));
    rig.apply_list(ListKind::snapshot, make_servers(10));
    count_served(rig, 200, 0, healthy);
    for (int i = 0; i < 200; ++i) {
        rig.apply_list(ListKind::failed, {});
        rig.advance(kHour / 100);
    }
    count_served(rig, 50, 0, half_unreachable);
    std::vector<ServerInfo> now = make_servers(4);
    for (ServerInfo& server : now) server.id += 100;
    now[0].state = EndpointState::draining;
    now.push_back({1, 1, 0, 1, EndpointState::active, 0});
    rig.apply_list(ListKind::snapshot, now);
    EXPECT_GT(count_served(rig, 100, 0, healthy), 95);
    for (std::uint32_t class_index = 0; class_index < 3; ++class_index) {
        count_served(rig, 100, class_index, half_broken);
    }
    rig.finish_all();
}

}  // namespace
}  // namespace elmbay::balancer::test
