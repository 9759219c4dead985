// Tests the budget of a server in slow start with few and many sidecars. The requests that all sidecars
// together send within kBudgetWindow must stay below the number N that the settings allow, plus a tolerance
// for random variation: N + 2 x root N + 2, and below 30 requests N + 3 x root N + 3.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "base/random.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer::test {
namespace {

constexpr Millis kBudgetWindow = 1000;   // the window of the settings
constexpr Millis kWarmDuration = 20000;  // time before the servers restart
constexpr Millis kSlowStartDuration = 12000;
constexpr std::uint64_t kSeeds = 4;
constexpr double kPerSecond = 1000;
// Requests per second of a server, above which a server in slow start must receive some requests for the test
// to be meaningful.
constexpr double kMinCapacityToCount = 60;

// Returns the mean number of requests plus the tolerance for random variation described at the head of this
// file.
double upper_confidence_bound(double mean) {
    const double roots = mean < 30 ? 3 : 2;
    return mean + roots * std::sqrt(mean) + roots;
}

struct Scenario {
    std::uint32_t sidecars = 1;
    ServerId servers = 10, restarted = 1;
    double capacity = 60;            // requests per second of one warm server
    double load = 0.6;               // share of the capacity of all servers
    bool restarts_sidecars = false;  // the sidecars restart with the learned state of their earlier runs
};

// Sidecars and servers in virtual time. A server processes one request after another; sidecars send as their
// balancers decide.
class SlowStartRun {
public:
    SlowStartRun(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
        settings_.classes = {RequestClass{Idempotency::idempotent, DedupScope::all, 3000, 400}};
        settings_.siblings = scenario.sidecars;
        settings_.max_attempts = 4;
        settings_.slow_start_min_share = 0.16;
        settings_.slow_start_duration = 20000;
        settings_.overload_multiple = 2.5;
        servers_.resize(scenario.servers + 1);
        for (std::uint32_t i = 0; i < scenario.sidecars; ++i) {
            sidecars_.push_back(start_balancer(seed * 1000 + i));
        }
    }

    // Returns the largest number of requests that a server in slow start received within kBudgetWindow, as a
    // share of the allowed number.
    double max_budget_use() {
        std::vector<ServerInfo> infos;
        for (ServerId id = 1; id <= scenario_.servers; ++id) {
            infos.push_back({id, 0, 0, 0, EndpointState::active, 0});
        }
        for (std::uint32_t i = 0; i < scenario_.sidecars; ++i) {
            handle(i, ServerList{ListKind::snapshot, infos});
        }
        now_ = start_;
        run_until(start_ + kWarmDuration);
        std::vector<LearnedState> learned_states;
        for (auto& sidecar : sidecars_) learned_states.push_back(sidecar->learned_state(now_));
        std::vector<ServerInfo> restarted_infos;
        for (ServerId id = 1; id <= scenario_.restarted; ++id) {
            servers_[id] = {now_, now_, {}};
            restarted_infos.push_back({id, 0, 0, 0, EndpointState::active, now_});
            infos[id - 1] = restarted_infos.back();
        }
        if (scenario_.restarts_sidecars) {
            for (std::uint32_t i = 0; i < scenario_.sidecars; ++i) {
                sidecars_[i] = start_balancer(77000 + i);
                handle(i, StateRestored{learned_states[i], 500});
                handle(i, ServerList{ListKind::snapshot, infos});
            }
            requests_.clear();
        } else {
            for (std::uint32_t i = 0; i < scenario_.sidecars; ++i) {
                handle(i, ServerList{ListKind::incremental, restarted_infos});
            }
        }
        run_until(now_ + kSlowStartDuration);
        return max_budget_use_;
    }
    std::size_t sent_in_slow_start() const { return sent_in_slow_start_; }

private:
    struct ServerState {
        Millis started = 0, busy_until = 0;
        std::deque<Millis> received;
    };
    struct ScheduledEvent {
        Millis at = 0;
        std::uint64_t order = 0;
        std::uint32_t sidecar = 0;
        Event event;
        bool operator<(const ScheduledEvent& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct RequestState {
        std::uint32_t attempts = 0;
        bool ended = false;
    };

    std::unique_ptr<Balancer> start_balancer(std::uint64_t seed) {
        auto balancer = std::make_unique<Balancer>(settings_, seed);
        std::vector<Action> ignored;
        balancer->handle(now_, Started{}, ignored);
        return balancer;
    }

    double capacity(const ServerState& server) const {
        if (server.started == 0) return scenario_.capacity;
        const double age = std::min(1.0, (now_ - server.started) / settings_.slow_start_duration);
        return scenario_.capacity *
               (settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * age);
    }

    void run_until(Millis until) {
        const double rate = scenario_.load * scenario_.capacity * scenario_.servers / kPerSecond;
        Millis next = now_ + interval(rate);
        for (;;) {
            if (!scheduled_.empty() && scheduled_.top().at <= std::min(next, until)) {
                const ScheduledEvent due = scheduled_.top();
                scheduled_.pop();
                now_ = due.at;
                deliver(due);
            } else if (next <= until) {
                now_ = next;
                next += interval(rate);
                const auto to = static_cast<std::uint32_t>(random_.below(scenario_.sidecars));
                handle(to, RequestArrived{++last_request_, 0, {}, 1000});
            } else {
                now_ = until;
                return;
            }
        }
    }
    Millis interval(double rate) { return -std::log(1 - random_.uniform()) / rate; }

    void deliver(const ScheduledEvent& due) {
        Event event = due.event;
        if (auto* end = std::get_if<AttemptEnded>(&event)) {
            const auto request = requests_.find(end->id);
            if (request == requests_.end()) return;
            request->second.ended |= end->outcome == Outcome::success;
            end->request_ended = request->second.ended;
        }
        handle(due.sidecar, event);
    }

    void handle(std::uint32_t sidecar, const Event& event) {
        std::vector<Action> actions;
        sidecars_[sidecar]->handle(now_, event, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<StartAttempt>(&action)) serve(sidecar, *send);
            if (const auto* timer = std::get_if<SetTimer>(&action)) {
                scheduled_.push({timer->at, ++order_, sidecar, TimerFired{timer->token}});
            }
            if (const auto* reject = std::get_if<Reject>(&action)) requests_[reject->id].ended = true;
            if (const auto* failed = std::get_if<Fail>(&action)) requests_[failed->id].ended = true;
        }
    }

    void serve(std::uint32_t sidecar, const StartAttempt& send) {
        ServerState& server = servers_.at(send.server);
        const std::uint32_t number = requests_[send.id].attempts++;
        if (server.started > 0) count(server);
        server.busy_until = std::max(now_, server.busy_until) + kPerSecond / capacity(server);
        const bool late = server.busy_until >= send.attempt_deadline;
        const Millis ends_at = late ? send.attempt_deadline : server.busy_until;
        scheduled_.push(
            {ends_at, ++order_, sidecar,
             AttemptEnded{send.id, number, late ? Outcome::timed_out : Outcome::success, ends_at - now_}});
    }

    void count(ServerState& server) {
        ++sent_in_slow_start_;
        server.received.push_back(now_);
        while (server.received.front() <= now_ - kBudgetWindow) server.received.pop_front();
        const double allowed = settings_.overload_multiple * capacity(server) * kBudgetWindow / kPerSecond;
        max_budget_use_ = std::max(
            max_budget_use_, static_cast<double>(server.received.size()) / upper_confidence_bound(allowed));
    }

    Scenario scenario_;
    Settings settings_;
    Random random_;
    Millis now_ = 1000000;
    const Millis start_ = now_;
    std::vector<std::unique_ptr<Balancer>> sidecars_;
    std::vector<ServerState> servers_;
    std::map<RequestId, RequestState> requests_;
    std::priority_queue<ScheduledEvent> scheduled_;
    RequestId last_request_ = 0;
    std::uint64_t order_ = 0;
    double max_budget_use_ = 0;
    std::size_t sent_in_slow_start_ = 0;
};

void expect_within_budget(const Scenario& scenario) {
    std::size_t sent_in_slow_start = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SlowStartRun run(scenario, seed);
        const double max_budget_use = run.max_budget_use();
        EXPECT_LE(max_budget_use, 1) << scenario.sidecars << " sidecars, " << scenario.restarted << " of "
                                     << scenario.servers << " servers restarted, capacity "
                                     << scenario.capacity << "/s, load " << scenario.load << ", seed "
                                     << seed;
        sent_in_slow_start += run.sent_in_slow_start();
    }
    if (scenario.capacity >= kMinCapacityToCount) {
        EXPECT_GT(sent_in_slow_start, 0U)
            << "without requests to servers in slow start, the test checks nothing";
    }
}

// The number of sidecars is the parameter; the tests vary the number of servers that start together.
class SlowStartBudget : public testing::TestWithParam<std::uint32_t> {};

TEST_P(SlowStartBudget, IsKeptWhenOneServerRestarts) {
    for (const double capacity : {4.0, 60.0, 300.0}) expect_within_budget({GetParam(), 10, 1, capacity});
}
TEST_P(SlowStartBudget, IsKeptWhenMostServersRestartTogether) {
    for (const ServerId restarted : {5U, 9U, 10U}) {
        for (const double capacity : {4.0, 60.0, 300.0}) {
            expect_within_budget({GetParam(), 10, restarted, capacity});
        }
    }
}
TEST_P(SlowStartBudget, IsKeptWhenAThirdOfManyServersRestartTogether) {
    expect_within_budget({GetParam(), 90, 30, 60});
}
TEST_P(SlowStartBudget, IsKeptUnderHighLoad) {
    for (const ServerId restarted : {3U, 9U}) expect_within_budget({GetParam(), 10, restarted, 60, 0.95});
}
TEST_P(SlowStartBudget, IsKeptWhenTheSidecarsRestartWithTheServers) {
    for (const ServerId restarted : {1U, 9U, 10U}) {
        expect_within_budget({GetParam(), 10, restarted, 60, 0.6, true});
    }
}

INSTANTIATE_TEST_SUITE_P(Fleet, SlowStartBudget, testing::Values(1U, 3U, 30U, 300U),
                         [](const auto& info) { return std::to_string(info.param) + "Sidecars"; });

}  // namespace
}  // namespace elmbay::balancer::test
