// What the tests share: a balancer with a clock, its open requests and timers, and a checker that watches
// every action against rules 1 to 3, written from the rules and not from the module.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer::test {

inline RequestClass make_class(Idempotency idempotency, DedupScope scope = DedupScope::all,
                               Millis window = 3000) {
    RequestClass c;
    c.idempotency = idempotency;
    c.dedup_scope = scope;
    c.dedup_window = window;
    c.latency_objective = 400;
    return c;
}

inline Settings make_settings(std::vector<RequestClass> classes = {make_class(Idempotency::idempotent)}) {
    Settings s;
    s.classes = std::move(classes);
    s.max_attempts = 4;
    s.slow_start_min_share = 0.2;
    s.slow_start_duration = 20000;
    return s;
}

inline std::vector<ServerInfo> make_servers(ServerId count, Millis online_since = 0) {
    std::vector<ServerInfo> servers;
    for (ServerId i = 1; i <= count; ++i)
        servers.push_back({i, i % 3, 0, i % 2, EndpointState::active, online_since});
    return servers;
}

struct Rig {
    struct Sent {
        ServerId server;
        Millis at;
        Millis until;
        bool out = true;
        bool may_have_run = true;
    };
    struct Open {
        RequestClass kind;
        Millis deadline;
        std::vector<Sent> sent;
        int answers = 0;
        bool gone = false;
        bool refused = false;
        bool session = false;
    };

    Settings settings;
    Balancer balancer;
    Millis now = 100000;
    std::map<RequestId, Open> requests;
    std::map<ServerId, ServerInfo> servers;  // as last told
    std::multimap<Millis, TimerToken> timers;
    std::vector<Action> last;      // actions of the last event
    std::set<RequestId> sessions;  // that stand
    RequestId next_id = 1;
    std::vector<std::string> logs;

    explicit Rig(Settings s, std::uint64_t seed = 1) : settings(s), balancer(std::move(s), seed) {}

    void give(const Event& event) {
        last.clear();
        balancer.handle(now, event, last);
        for (const Action& a : last) watch(a);
    }

    void list(ListKind kind, const std::vector<ServerInfo>& infos) {
        if (kind != ListKind::incremental && kind != ListKind::failed)
            for (auto& [id, s] : servers) s.state = EndpointState::removed;
        for (const ServerInfo& s : infos) servers[s.id] = s;
        give(ServerList{kind, infos});
    }

    RequestId request(std::uint32_t class_index = 0, Millis time_left = 1000, bool repeat = false,
                      bool session = false) {
        const RequestId id = next_id++;
        RequestClass kind = make_class(Idempotency::non_idempotent);
        if (class_index < settings.classes.size()) kind = settings.classes[class_index];
        requests[id] = {kind, now + time_left, {}, 0, false, false, session};
        give(RequestArrived{id, class_index, {}, time_left, 0, repeat, false, session});
        return id;
    }

    std::vector<RequestId> burst(int count, Millis time_left = 1000, bool repeat = false) {
        std::vector<RequestId> ids;
        for (int i = 0; i < count; ++i) ids.push_back(request(0, time_left, repeat));
        return ids;
    }
    int still_out(const std::vector<RequestId>& ids) const {
        return static_cast<int>(std::count_if(ids.begin(), ids.end(), [&](RequestId id) { return out(id); }));
    }
    // Later, all of them that are still out are answered at once.
    void serve(const std::vector<RequestId>& ids, Millis after) {
        now += after;
        for (const RequestId id : ids)
            if (out(id)) end(id, Outcome::success, 0);
    }

    // Ends the last attempt of a request that is out.
    void end(RequestId id, Outcome outcome, Millis after = 50) {
        now += after;
        Open& r = requests.at(id);
        for (std::uint32_t i = 0; i < r.sent.size(); ++i)
            if (r.sent[i].out) return end_attempt(id, i, outcome);
        FAIL() << "nothing out for request " << id;
    }

    void end_attempt(RequestId id, std::uint32_t attempt, Outcome outcome) {
        Open& r = requests.at(id);
        Sent& s = r.sent.at(attempt);
        s.out = false;
        s.may_have_run = outcome != Outcome::rejected && outcome != Outcome::connect_failed &&
                         outcome != Outcome::not_sent;
        if (outcome == Outcome::success && !closed(r)) {
            ++r.answers;
            if (r.session) sessions.insert(id);
        }
        AttemptEnded e{id, attempt, outcome, now - s.at, closed(r)};
        give(e);
    }

    void end_session(RequestId id, bool broken = false) {
        sessions.erase(id);
        give(SessionEnded{id, broken});
    }

    // Lets time pass, firing timers and ending attempts that run out.
    void pass(Millis span) {
        const Millis until = now + span;
        for (;;) {
            Millis next = until;
            if (!timers.empty()) next = std::min(next, timers.begin()->first);
            std::pair<RequestId, std::uint32_t> late{0, 0};
            for (auto& [id, r] : requests)
                for (std::uint32_t i = 0; i < r.sent.size(); ++i)
                    if (r.sent[i].out && std::max(now, r.sent[i].until) < next) {
                        next = std::max(now, r.sent[i].until);
                        late = {id, i};
                    }
            now = std::max(now, next);
            if (late.first) {
                end_attempt(late.first, late.second, Outcome::timed_out);
            } else if (!timers.empty() && timers.begin()->first <= now && now <= until) {
                const TimerToken token = timers.begin()->second;
                timers.erase(timers.begin());
                give(TimerFired{token});
            } else {
                return;
            }
        }
    }

    bool closed(const Open& r) const { return r.answers > 0 || r.gone; }
    bool out(RequestId id) const {
        const auto& sent = requests.at(id).sent;
        return std::any_of(sent.begin(), sent.end(), [](const Sent& s) { return s.out; });
    }
    ServerId where(RequestId id) const { return requests.at(id).sent.back().server; }
    std::size_t sends(RequestId id) const { return requests.at(id).sent.size(); }
    auto removals() const { return std::count(logs.begin(), logs.end(), "removed from the pool"); }
    template <class T>
    int count() const {
        return static_cast<int>(
            std::count_if(last.begin(), last.end(), [](const Action& a) { return std::get_if<T>(&a); }));
    }

    void watch(const Action& action) {
        if (const auto* send = std::get_if<StartAttempt>(&action)) on_send(*send);
        if (const auto* refuse = std::get_if<Reject>(&action)) {
            Open& r = requests.at(refuse->id);
            const Sent* first = nullptr;
            for (const Sent& s : r.sent)
                if (s.may_have_run && !first) first = &s;
            if (first) {
                EXPECT_TRUE(r.kind.idempotency == Idempotency::idempotent ||
                            (r.kind.idempotency == Idempotency::idempotency_key &&
                             r.kind.dedup_scope == DedupScope::all))
                    << "rule 2: refused after a possible run";
            }
            r.refused = true;
            answer(r);
        }
        if (const auto* failed = std::get_if<Fail>(&action)) answer(requests.at(failed->id));
        if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
        if (const auto* log = std::get_if<Log>(&action)) logs.push_back(log->text);
    }

    void answer(Open& r) {
        EXPECT_FALSE(closed(r)) << "rule 1: a second final answer";
        EXPECT_LE(now, r.deadline) << "rule 1: too late an answer";
        ++r.answers;
    }

    void on_send(const StartAttempt& send) {
        Open& r = requests.at(send.id);
        EXPECT_FALSE(closed(r)) << "rule 1: sent after the final answer";
        EXPECT_LT(r.sent.size(), settings.max_attempts) << "too many attempts";
        EXPECT_EQ(servers.at(send.server).state, EndpointState::active)
            << "rule 3: sent to a draining or gone server";
        const ServerInfo& to = servers.at(send.server);
        const Sent* first = nullptr;
        for (const Sent& s : r.sent) {
            if (s.out) {
                EXPECT_TRUE(settings.allow_hedging) << "two attempts out";
            }
            if (!s.may_have_run) continue;
            if (!first) first = &s;
            EXPECT_NE(r.kind.idempotency, Idempotency::non_idempotent)
                << "rule 2: sent again after a possible run";
            if (r.kind.idempotency != Idempotency::idempotency_key) continue;
            const ServerInfo& before = servers.at(s.server);
            if (r.kind.dedup_scope == DedupScope::zone) {
                EXPECT_EQ(to.zone, before.zone) << "rule 2: zone";
            }
            if (r.kind.dedup_scope == DedupScope::cell) {
                EXPECT_EQ(to.cell, before.cell) << "rule 2: cell";
            }
        }
        if (first && r.kind.idempotency == Idempotency::idempotency_key) {
            EXPECT_LT(now, first->at + r.kind.dedup_window) << "rule 2: after the window";
        }
        r.sent.push_back(
            {send.server, now, send.attempt_deadline > 0 ? send.attempt_deadline : r.deadline, true, true});
    }

    // Everything taken must have been answered once.
    void settle() {
        pass(60000);
        for (const auto& [id, r] : requests)
            EXPECT_TRUE(closed(r)) << "rule 1: request " << id << " unanswered";
        EXPECT_EQ(balancer.resource_usage().requests, 0U);
        EXPECT_EQ(balancer.resource_usage().sessions, sessions.size());
    }
};

}  // namespace elmbay::balancer::test
