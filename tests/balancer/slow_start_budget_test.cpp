// The budget of a server in slow start, over fleets of few and of many sidecars. What all of them together
// send it within the span that the settings name must stay under what the settings allow then, and a little
// for chance: N + 2 x root N + 2, under 30 requests N + 3 x root N + 3.
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

constexpr Millis kSpan = 1000;      // the settings' own
constexpr Millis kWarmRun = 20000;  // until the servers restart
constexpr Millis kSlowStartRun = 12000;
constexpr std::uint64_t kSeeds = 4;
constexpr double kPerSecond = 1000;
// Requests a second of a server, from which on one in slow start must get some for the test to prove
// anything.
constexpr double kMinCapacityToCount = 60;

// The most that chance makes of a mean of n requests.
double upper_confidence_bound(double n) {
    const double roots = n < 30 ? 3 : 2;
    return n + roots * std::sqrt(n) + roots;
}

struct Scenario {
    std::uint32_t sidecars = 1;
    ServerId servers = 10, restarted = 1;
    double capacity = 60;            // requests a second of one warm server
    double load = 0.6;               // of all of them together
    bool restarts_sidecars = false;  // with the learned state of their earlier runs
};

// Sidecars and servers in virtual time. Servers work off one request after another; sidecars send as their
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

    // The most that a server in slow start got within kSpan, as a share of what it may get.
    double worst() {
        std::vector<ServerInfo> infos;
        for (ServerId id = 1; id <= scenario_.servers; ++id) {
            infos.push_back({id, 0, 0, 0, EndpointState::active, 0});
        }
        for (std::uint32_t i = 0; i < scenario_.sidecars; ++i) {
            handle(i, ServerList{ListKind::snapshot, infos});
        }
        now_ = start_;
        run_until(start_ + kWarmRun);
        std::vector<LearnedState> known;
        for (auto& sidecar : sidecars_) known.push_back(sidecar->learned_state(now_));
        std::vector<ServerInfo> fresh;
        for (ServerId id = 1; id <= scenario_.restarted; ++id) {
            servers_[id] = {now_, now_, {}};
            fresh.push_back({id, 0, 0, 0, EndpointState::active, now_});
            infos[id - 1] = fresh.back();
        }
        if (scenario_.restarts_sidecars) {
            for (std::uint32_t i = 0; i < scenario_.sidecars; ++i) {
                sidecars_[i] = start_balancer(77000 + i);
                handle(i, StateRestored{known[i], 500});
                handle(i, ServerList{ListKind::snapshot, infos});
            }
            calls_.clear();
        } else {
            for (std::uint32_t i = 0; i < scenario_.sidecars; ++i) {
                handle(i, ServerList{ListKind::incremental, fresh});
            }
        }
        run_until(now_ + kSlowStartRun);
        return worst_;
    }
    std::size_t sent_in_slow_start() const { return sent_in_slow_start_; }

private:
    struct ServerState {
        Millis started = 0, busy_until = 0;
        std::deque<Millis> received;
    };
    struct Due {
        Millis at = 0;
        std::uint64_t order = 0;
        std::uint32_t sidecar = 0;
        Event event;
        bool operator<(const Due& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct Call {
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
            if (!due_.empty() && due_.top().at <= std::min(next, until)) {
                const Due due = due_.top();
                due_.pop();
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

    void deliver(const Due& due) {
        Event event = due.event;
        if (auto* end = std::get_if<AttemptEnded>(&event)) {
            const auto call = calls_.find(end->id);
            if (call == calls_.end()) return;
            call->second.ended |= end->outcome == Outcome::success;
            end->request_ended = call->second.ended;
        }
        handle(due.sidecar, event);
    }

    void handle(std::uint32_t sidecar, const Event& event) {
        std::vector<Action> actions;
        sidecars_[sidecar]->handle(now_, event, actions);
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<StartAttempt>(&action)) serve(sidecar, *send);
            if (const auto* timer = std::get_if<SetTimer>(&action)) {
                due_.push({timer->at, ++order_, sidecar, TimerFired{timer->token}});
            }
            if (const auto* refuse = std::get_if<Reject>(&action)) calls_[refuse->id].ended = true;
            if (const auto* failed = std::get_if<Fail>(&action)) calls_[failed->id].ended = true;
        }
    }

    void serve(std::uint32_t sidecar, const StartAttempt& send) {
        ServerState& server = servers_.at(send.server);
        const std::uint32_t number = calls_[send.id].attempts++;
        if (server.started > 0) count(server);
        server.busy_until = std::max(now_, server.busy_until) + kPerSecond / capacity(server);
        const bool late = server.busy_until >= send.attempt_deadline;
        const Millis ends_at = late ? send.attempt_deadline : server.busy_until;
        due_.push(
            {ends_at, ++order_, sidecar,
             AttemptEnded{send.id, number, late ? Outcome::timed_out : Outcome::success, ends_at - now_}});
    }

    void count(ServerState& server) {
        ++sent_in_slow_start_;
        server.received.push_back(now_);
        while (server.received.front() <= now_ - kSpan) server.received.pop_front();
        const double allowed = settings_.overload_multiple * capacity(server) * kSpan / kPerSecond;
        worst_ =
            std::max(worst_, static_cast<double>(server.received.size()) / upper_confidence_bound(allowed));
    }

    Scenario scenario_;
    Settings settings_;
    Random random_;
    Millis now_ = 1000000;
    const Millis start_ = now_;
    std::vector<std::unique_ptr<Balancer>> sidecars_;
    std::vector<ServerState> servers_;
    std::map<RequestId, Call> calls_;
    std::priority_queue<Due> due_;
    RequestId last_request_ = 0;
    std::uint64_t order_ = 0;
    double worst_ = 0;
    std::size_t sent_in_slow_start_ = 0;
};

void expect_within_budget(const Scenario& scenario) {
    std::size_t sent_in_slow_start = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SlowStartRun run(scenario, seed);
        const double worst = run.worst();
        EXPECT_LE(worst, 1) << scenario.sidecars << " sidecars, " << scenario.restarted << " of "
                            << scenario.servers << " servers restarted, capacity " << scenario.capacity
                            << "/s, load " << scenario.load << ", seed " << seed;
        sent_in_slow_start += run.sent_in_slow_start();
    }
    if (scenario.capacity >= kMinCapacityToCount) {
        EXPECT_GT(sent_in_slow_start, 0U) << "a server that gets nothing proves nothing";
    }
}

// However few or many sidecars there are, and however many of the servers start together.
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
