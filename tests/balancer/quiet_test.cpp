// Trouble that begins after a long quiet time, or while the list has been out of reach for long: the rules
// hold from the first request on, and whoever is healthy is found.
#include "base/random.hpp"
#include "rig.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr Millis kHour = 3600000;

// Each request is asked and its attempts end as `outcome` says of their servers.
template <class OutcomeOf>
int served_of(Rig& rig, int requests, std::uint32_t class_index, OutcomeOf outcome_of) {
    int served = 0;
    for (int i = 0; i < requests; ++i) {
        const RequestId id = rig.request(class_index);
        for (int attempt = 0; attempt < 4 && rig.out(id); ++attempt) {
            const Outcome outcome = outcome_of(rig.where(id));
            served += outcome == Outcome::success;
            rig.end(id, outcome, 20);
        }
        rig.pass(20);
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

TEST(AfterAQuietTime, HalfOfTheServersFailAndTheRestServe) {
    for (const std::uint32_t siblings : {1U, 300U})
        for (const auto& trouble : {half_broken, half_unreachable}) {
            Settings settings = make_settings(every_class());
            settings.siblings = siblings;
            Rig rig(settings);
            rig.list(ListKind::snapshot, make_servers(10));
            for (const Millis quiet : {kHour / 60, kHour, 48 * kHour}) {
                served_of(rig, 200, 0, healthy);
                rig.pass(quiet);
                for (std::uint32_t kind = 0; kind < 3; ++kind) served_of(rig, 100, kind, trouble);
                EXPECT_GT(served_of(rig, 100, 0, trouble), 90) << siblings << " sidecars, " << quiet;
            }
            rig.settle();
        }
}

// The list was out of reach for hours and most servers have been replaced when it comes back.
TEST(AfterALongOutageOfTheList, WhatItSaysThenIsKeptToAtOnce) {
    Rig rig(make_settings(every_class()));
    rig.list(ListKind::snapshot, make_servers(10));
    served_of(rig, 200, 0, healthy);
    for (int i = 0; i < 200; ++i) {
        rig.list(ListKind::failed, {});
        rig.pass(kHour / 100);
    }
    served_of(rig, 50, 0, half_unreachable);
    std::vector<ServerInfo> now = make_servers(4);
    for (ServerInfo& s : now) s.id += 100;
    now[0].state = EndpointState::draining;
    now.push_back({1, 1, 0, 1, EndpointState::active, 0});
    rig.list(ListKind::snapshot, now);
    EXPECT_GT(served_of(rig, 100, 0, healthy), 95);
    for (std::uint32_t kind = 0; kind < 3; ++kind) served_of(rig, 100, kind, half_broken);
    rig.settle();
}

}  // namespace
}  // namespace elmbay::balancer::test
