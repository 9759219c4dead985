// What several tests of many processes do. Each says whether the fleet kept everything: the sound program
// must, and one with the fault that the scenario is for must not.
#pragma once

#include <gtest/gtest.h>

#include "fleet/fleet.hpp"

namespace elmbay::fleet {

inline Options few(std::size_t sidecars = 2, std::size_t servers = 2) {
    Options o;
    o.sidecars = sidecars, o.servers = servers;
    o.program = ELMBAY_PROGRAM;
    // Far beyond what a busy machine needs: nothing here is about speed.
    o.patience = 20000, o.latency_objective = 10000;
    return o;
}

// Frozen with forty requests in hand, half of them not read yet; while it stands still their callers go and
// the connections of what it had out are reset, so it wakes with reasons to try again and nobody to do it
// for.
inline bool frozen_with_forty_requests(Fleet& fleet) {
    Server &s0 = fleet.server(0), &s1 = fleet.server(1);
    s0.conduct = s1.conduct = Conduct::hold;
    std::vector<std::string> ids;
    for (int i = 0; i < 20; ++i) ids.push_back(fleet.ask(0, Fleet::Ask{"listen", 20000, 800}));
    if (!fleet.until([&] { return s0.holding() + s1.holding() >= fleet.ledger().open(); })) return false;
    fleet.freeze(0);
    for (int i = 0; i < 20; ++i) ids.push_back(fleet.ask(0, Fleet::Ask{"listen", 20000, 800}));
    const auto all_ended = [&] {
        return std::all_of(ids.begin(), ids.end(), [&](const auto& id) { return fleet.ended(id); });
    };
    if (!fleet.until(all_ended)) return false;
    fleet.link("n-0", "s-0").reset_all();
    fleet.link("n-0", "s-1").reset_all();
    // The ledger's slack runs from when they went.
    if (!fleet.quiet_for(2 * Ledger::kSlack)) return false;
    s0.conduct = s1.conduct = Conduct::serve;
    const auto before = s0.requests() + s1.requests();
    fleet.thaw(0);
    const std::string after = fleet.ask(0, "listen");
    if (!fleet.until([&] { return fleet.ended(after); }) || !fleet.settle()) return false;
    return s0.requests() + s1.requests() == before + 1;
}

// Deposits whose answer is cut after the server has done them.
inline bool deposits_with_cut_answers(Fleet& fleet) {
    fault_proxy::Rule cut;
    cut.name = "cut", cut.act = fault_proxy::Act::reset, cut.from = {"s-*"}, cut.to = {"n-0"};
    cut.place = fault_proxy::Place::byte, cut.byte = 9;
    fleet.ground().put(cut);
    for (int i = 0; i < 5; ++i) {
        const std::string id = fleet.ask(0, "deposit");
        if (!fleet.until([&] { return fleet.ended(id); })) return false;
    }
    return fleet.settle();
}

// Servers that take longer than the slack, so that what is out together is seen to be.
inline bool slow_answers(Fleet& fleet) {
    fleet.server(0).delay = fleet.server(1).delay = 3 * Ledger::kSlack;
    for (int i = 0; i < 10; ++i) fleet.ask(0, i % 2 ? "listen" : "annotate");
    return fleet.settle();
}

// Many connections that end: what the process holds must be what it counts, and a bound for what it has
// besides.
inline bool descriptors_are_those_counted(Fleet& fleet) {
    for (int i = 0; i < 60; ++i) {
        const std::string id = fleet.ask(0, "listen");
        if (!fleet.until([&] { return fleet.ended(id); })) return false;
        fleet.link("n-0", "s-0").reset_all();
        fleet.link("n-0", "s-1").reset_all();
    }
    return fleet.settle() && fleet.descriptors_accounted(0);
}

}  // namespace elmbay::fleet
