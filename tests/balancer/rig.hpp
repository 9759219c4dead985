/// @file
/// Test harness for the whole module: a balancer with a virtual clock, its open requests and timers, and a
/// checker that verifies every action against rules 1 to 3. The checker is written from the rules,
/// independently of the module.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer::test {

/// Returns a class with a latency objective of 400 ms.
inline RequestClass make_class(Idempotency idempotency, DedupScope scope = DedupScope::all,
                               Millis window = 3000) {
    RequestClass request_class;
    request_class.idempotency = idempotency;
    request_class.dedup_scope = scope;
    request_class.dedup_window = window;
    request_class.latency_objective = 400;
    return request_class;
}

/// Returns settings of a single sidecar with four attempts for each request and a slow start of 20 s.
inline Settings make_settings(std::vector<RequestClass> classes = {make_class(Idempotency::idempotent)}) {
    Settings settings;
    settings.classes = std::move(classes);
    settings.max_attempts = 4;
    settings.slow_start_min_share = 0.2;
    settings.slow_start_duration = 20000;
    return settings;
}

/// Returns servers 1 to `count` in three zones and two cells.
inline std::vector<ServerInfo> make_servers(ServerId count, Millis online_since = 0) {
    std::vector<ServerInfo> servers;
    for (ServerId id = 1; id <= count; ++id) {
        servers.push_back({id, id % 3, 0, id % 2, EndpointState::active, online_since});
    }
    return servers;
}

/// A sidecar in virtual time. handle() and the functions based on it feed events; each resulting action is
/// checked and carried out. Time moves in advance() and in the functions whose comment says so.
struct Rig {
    /// An attempt that the balancer has started.
    struct SentAttempt {
        ServerId server;
        Millis sent_at;
        Millis deadline;
        bool in_flight = true;
        bool may_have_run = true;
    };
    /// A request from the view of its client and its servers.
    struct OpenRequest {
        RequestClass request_class;
        Millis deadline;
        std::vector<SentAttempt> attempts;
        int responses = 0;  ///< number of final responses
        bool client_disconnected = false;
        bool rejected = false;
        bool session = false;  ///< the attempts of the request are upgrades
    };

    Settings settings;
    Balancer balancer;
    Millis now = 100000;
    std::map<RequestId, OpenRequest> requests;
    std::map<ServerId, ServerInfo> servers;  ///< the last listed entries
    std::multimap<Millis, TimerToken> timers;
    std::vector<Action> last_actions;  ///< the actions of the last event
    std::set<RequestId> sessions;      ///< the established sessions
    RequestId next_id = 1;
    std::vector<std::string> logs;

    explicit Rig(Settings initial_settings, std::uint64_t seed = 1)
        : settings(initial_settings), balancer(std::move(initial_settings), seed) {}

    // ---- Events -----------------------------------------------------------------------------------------

    /// Feeds an event, then checks and carries out its actions.
    void handle(const Event& event) {
        last_actions.clear();
        balancer.handle(now, event, last_actions);
        for (const Action& action : last_actions) carry_out(action);
    }

    /// Feeds an endpoint list.
    void apply_list(ListKind kind, const std::vector<ServerInfo>& infos) {
        const bool is_whole = kind != ListKind::incremental && kind != ListKind::failed;
        if (is_whole) {
            for (auto& [id, server] : servers) server.state = EndpointState::removed;
        }
        for (const ServerInfo& info : infos) servers[info.id] = info;
        handle(ServerList{kind, infos});
    }

    /// Feeds the arrival of a request.
    RequestId request(std::uint32_t class_index = 0, Millis time_left = 1000, bool is_client_retry = false,
                      bool session = false) {
        const RequestId id = next_id++;
        // An unknown class is treated as non-idempotent.
        RequestClass request_class = make_class(Idempotency::non_idempotent);
        if (class_index < settings.classes.size()) request_class = settings.classes[class_index];
        requests[id] = {request_class, now + time_left, {}, 0, false, false, session};
        handle(RequestArrived{id, class_index, {}, time_left, 0, is_client_retry, false, session});
        return id;
    }

    /// Feeds the arrival of many requests at one time.
    std::vector<RequestId> burst(int count, Millis time_left = 1000, bool is_client_retry = false) {
        std::vector<RequestId> ids;
        for (int i = 0; i < count; ++i) ids.push_back(request(0, time_left, is_client_retry));
        return ids;
    }

    /// Advances the time by `after` milliseconds; then all given requests in flight succeed.
    void complete_all(const std::vector<RequestId>& ids, Millis after) {
        now += after;
        for (const RequestId id : ids) {
            if (is_in_flight(id)) end(id, Outcome::success, 0);
        }
    }

    /// Advances the time by `after` milliseconds; then the first attempt in flight of the request ends.
    void end(RequestId id, Outcome outcome, Millis after = 50) {
        now += after;
        const OpenRequest& request = requests.at(id);
        for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
            if (request.attempts[i].in_flight) return end_attempt(id, i, outcome);
        }
        FAIL() << "no attempt is in flight for request " << id;
    }

    /// Ends an attempt at the current time.
    void end_attempt(RequestId id, std::uint32_t index, Outcome outcome) {
        OpenRequest& request = requests.at(id);
        SentAttempt& attempt = request.attempts.at(index);
        attempt.in_flight = false;
        attempt.may_have_run = outcome != Outcome::rejected && outcome != Outcome::connect_failed &&
                               outcome != Outcome::not_sent;
        if (outcome == Outcome::success && !is_closed(request)) {
            ++request.responses;
            if (request.session) sessions.insert(id);
        }
        handle(AttemptEnded{id, index, outcome, now - attempt.sent_at, is_closed(request)});
    }

    /// Ends a session.
    void end_session(RequestId id, bool broken_by_server = false) {
        sessions.erase(id);
        handle(SessionEnded{id, broken_by_server});
    }

    /// Advances the time: fires timers, and ends attempts that reach their deadline.
    void advance(Millis span) {
        const Millis until = now + span;
        for (;;) {
            Millis next = until;
            if (!timers.empty()) next = std::min(next, timers.begin()->first);
            const auto [timed_out_id, timed_out_attempt] = first_timeout(next);
            now = std::max(now, next);
            if (timed_out_id != 0) {
                end_attempt(timed_out_id, timed_out_attempt, Outcome::timed_out);
            } else if (!timers.empty() && timers.begin()->first <= now && now <= until) {
                const TimerToken token = timers.begin()->second;
                timers.erase(timers.begin());
                handle(TimerFired{token});
            } else {
                return;
            }
        }
    }

    /// Advances the time by a minute, then checks that every request has its final response and that the
    /// balancer holds none of them.
    void finish_all() {
        advance(60000);
        for (const auto& [id, request] : requests) {
            EXPECT_TRUE(is_closed(request)) << "rule 1: request " << id << " has no final response";
        }
        EXPECT_EQ(balancer.resource_usage().requests, 0U);
        EXPECT_EQ(balancer.resource_usage().sessions, sessions.size());
    }

    // ---- Queries ----------------------------------------------------------------------------------------

    /// Whether the request has its final response or its client has disconnected.
    bool is_closed(const OpenRequest& request) const {
        return request.responses > 0 || request.client_disconnected;
    }
    /// Whether an attempt of the request is in flight.
    bool is_in_flight(RequestId id) const {
        const std::vector<SentAttempt>& attempts = requests.at(id).attempts;
        return std::any_of(attempts.begin(), attempts.end(),
                           [](const SentAttempt& attempt) { return attempt.in_flight; });
    }
    /// Returns how many of the requests have an attempt in flight.
    int count_in_flight(const std::vector<RequestId>& ids) const {
        return static_cast<int>(
            std::count_if(ids.begin(), ids.end(), [&](RequestId id) { return is_in_flight(id); }));
    }
    /// Returns the server of the last attempt of the request.
    ServerId last_server(RequestId id) const { return requests.at(id).attempts.back().server; }
    /// Returns the number of attempts of the request.
    std::size_t attempt_count(RequestId id) const { return requests.at(id).attempts.size(); }
    /// Returns the number of ejections according to the log.
    auto ejection_count() const { return std::count(logs.begin(), logs.end(), "ejected from the pool"); }
    /// Returns the number of actions of the given type after the last event.
    template <class ActionType>
    int count() const {
        return static_cast<int>(std::count_if(last_actions.begin(), last_actions.end(), [](const Action& a) {
            return std::holds_alternative<ActionType>(a);
        }));
    }

private:
    // Returns the first attempt whose deadline is before `next` and sets `next` to its deadline. Request 0:
    // no such attempt.
    std::pair<RequestId, std::uint32_t> first_timeout(Millis& next) const {
        std::pair<RequestId, std::uint32_t> first{0, 0};
        for (const auto& [id, request] : requests) {
            for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
                const SentAttempt& attempt = request.attempts[i];
                const Millis due = std::max(now, attempt.deadline);
                if (!attempt.in_flight || !(due < next)) continue;
                next = due;
                first = {id, i};
            }
        }
        return first;
    }

    void carry_out(const Action& action) {
        if (const auto* send = std::get_if<StartAttempt>(&action)) start_attempt(*send);
        if (const auto* reject = std::get_if<Reject>(&action)) this->reject(requests.at(reject->id));
        if (const auto* failed = std::get_if<Fail>(&action)) respond(requests.at(failed->id));
        if (const auto* timer = std::get_if<SetTimer>(&action)) timers.emplace(timer->at, timer->token);
        if (const auto* log = std::get_if<Log>(&action)) logs.push_back(log->text);
    }

    static const SentAttempt* first_possible_execution(const OpenRequest& request) {
        for (const SentAttempt& attempt : request.attempts) {
            if (attempt.may_have_run) return &attempt;
        }
        return nullptr;
    }

    void reject(OpenRequest& request) {
        if (first_possible_execution(request)) {
            const RequestClass& request_class = request.request_class;
            const bool deduplicated_everywhere = request_class.idempotency == Idempotency::idempotency_key &&
                                                 request_class.dedup_scope == DedupScope::all;
            EXPECT_TRUE(request_class.idempotency == Idempotency::idempotent || deduplicated_everywhere)
                << "rule 2: rejected though an attempt may have run";
        }
        request.rejected = true;
        respond(request);
    }

    void respond(OpenRequest& request) {
        EXPECT_FALSE(is_closed(request)) << "rule 1: a second final response";
        EXPECT_LE(now, request.deadline) << "rule 1: response after the deadline";
        ++request.responses;
    }

    void start_attempt(const StartAttempt& send) {
        OpenRequest& request = requests.at(send.id);
        EXPECT_FALSE(is_closed(request)) << "rule 1: sent after the final response";
        EXPECT_LT(request.attempts.size(), settings.max_attempts) << "too many attempts";
        EXPECT_EQ(servers.at(send.server).state, EndpointState::active)
            << "rule 3: sent to a draining or removed server";
        for (const SentAttempt& earlier : request.attempts) {
            if (earlier.in_flight) {
                EXPECT_TRUE(settings.allow_hedging) << "two attempts in flight";
            }
            if (earlier.may_have_run) check_rule_2(request, earlier, servers.at(send.server));
        }
        const SentAttempt* first = first_possible_execution(request);
        if (first && request.request_class.idempotency == Idempotency::idempotency_key) {
            EXPECT_LT(now, first->sent_at + request.request_class.dedup_window)
                << "rule 2: sent after the deduplication window";
        }
        const Millis deadline = send.attempt_deadline > 0 ? send.attempt_deadline : request.deadline;
        request.attempts.push_back({send.server, now, deadline, true, true});
    }

    // Checks an attempt at `target` after `earlier`, which may have run.
    void check_rule_2(const OpenRequest& request, const SentAttempt& earlier,
                      const ServerInfo& target) const {
        const RequestClass& request_class = request.request_class;
        EXPECT_NE(request_class.idempotency, Idempotency::non_idempotent)
            << "rule 2: sent again though an attempt may have run";
        if (request_class.idempotency != Idempotency::idempotency_key) return;
        const ServerInfo& before = servers.at(earlier.server);
        if (request_class.dedup_scope == DedupScope::zone) {
            EXPECT_EQ(target.zone, before.zone) << "rule 2: sent outside the zone of the deduplication scope";
        }
        if (request_class.dedup_scope == DedupScope::cell) {
            EXPECT_EQ(target.cell, before.cell) << "rule 2: sent outside the cell of the deduplication scope";
        }
    }
};

}  // namespace elmbay::balancer::test
