#include "simulation/baselines/baseline_policies.hpp"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <unordered_map>

#include "base/random.hpp"
#include "simulation/models/service_model.hpp"

namespace elmbay::simulation {

namespace {

using namespace elmbay::balancer;

class Module : public BalancingPolicy {
public:
    Module(const Settings& settings, std::uint64_t seed) : balancer_(settings, seed) {}
    void handle(Millis now, const Event& event, std::vector<Action>& actions) override {
        balancer_.handle(now, event, actions);
    }
    LearnedState learned_state(Millis now) const override { return balancer_.learned_state(now); }

private:
    Balancer balancer_;
};

struct Flaws {
    bool retry_storm = false;   // random servers, short patience, and again at once as often as it may
    bool twice = false;         // a second attempt beside the first
    bool resend = false;        // unsafe requests too are sent again after an error
    bool deaf = false;          // goes on sending to servers that drain or are gone
    bool flood = false;         // favours the server that started last
    bool hold = false;          // keeps failures until the client's time is nearly over
    bool never_remove = false;  // believes in every server for ever
};

constexpr int kFailuresToRemove = 5;
constexpr Millis kRemovedFor = 5000;
constexpr Millis kRetryStormTimeout = 120;
constexpr Millis kHeldUntil = 20;  // before the client's time is over

// Least outstanding of two, out after five failures in a row, nothing to cold servers, one more attempt where
// the class allows it.
class Plain : public BalancingPolicy {
public:
    Plain(const Settings& settings, std::uint64_t seed, Flaws flaws)
        : settings_(settings), random_(seed), flaws_(flaws) {}

    void handle(Millis now, const Event& event, std::vector<Action>& actions) override {
        now_ = now;
        actions_ = &actions;
        std::visit([this](const auto& e) { on(e); }, event);
    }

private:
    struct Server {
        ServerInfo info;
        int outstanding = 0, failures = 0;
        Millis out_until = 0;
    };
    struct ClientRequest {
        ServerId server = 0;
        bool out = true, may_have_run = true;
    };
    struct Request {
        RequestId id = 0;
        RequestClass kind;
        Millis deadline = 0;
        std::vector<ClientRequest> tries;
        bool any_out() const {
            return std::any_of(tries.begin(), tries.end(), [](const ClientRequest& t) { return t.out; });
        }
        bool may_have_run() const {
            return std::any_of(tries.begin(), tries.end(),
                               [](const ClientRequest& t) { return t.may_have_run; });
        }
    };

    void on(const Started&) {}
    void on(const SessionEnded&) {}  // the simulation has none
    void on(const StateRestored&) {}
    void on(const SiblingsKnown&) {}
    void on(const FirstByte&) {}
    void on(const ServerList& list) {
        if (list.kind == ListKind::snapshot || list.kind == ListKind::cached)
            for (auto& [id, s] : servers_) s.info.state = EndpointState::removed;
        for (const ServerInfo& info : list.servers) {
            Server& s = servers_[info.id];
            // The deaf one hears of servers that come, and of none that go.
            if (flaws_.deaf && info.state != EndpointState::active && s.info.id != 0) continue;
            if (info.online_since > s.info.online_since) s.failures = 0, s.out_until = 0;
            s.info = info;
        }
    }
    void on(const RequestArrived& e) {
        Request& r = requests_[e.id];
        r.id = e.id;
        r.deadline = now_ + e.time_left;
        if (e.class_index < settings_.classes.size()) r.kind = settings_.classes[e.class_index];
        timer(r.deadline, r.id);
        send(r);
        if (flaws_.twice && r.kind.idempotency == Idempotency::idempotent) send(r);
    }
    void on(const AttemptEnded& e) {
        const auto at = requests_.find(e.id);
        if (at == requests_.end() || e.attempt >= at->second.tries.size()) return;
        Request& r = at->second;
        ClientRequest& t = r.tries[e.attempt];
        t.out = false;
        t.may_have_run = e.outcome != Outcome::rejected && e.outcome != Outcome::connect_failed &&
                         e.outcome != Outcome::not_sent;
        Server& s = servers_[t.server];
        --s.outstanding;
        if (e.outcome == Outcome::success)
            s.failures = 0;
        else if (e.outcome != Outcome::cancelled && ++s.failures >= kFailuresToRemove && !flaws_.never_remove)
            s.failures = 0, s.out_until = now_ + kRemovedFor;
        if (e.request_ended) {
            cancel(r);
            requests_.erase(at);
        } else if (!r.any_out() && !sends_again(r)) {
            give_up(r);
        }
    }
    void on(const ClientDisconnected& e) {
        if (const auto at = requests_.find(e.id); at != requests_.end()) {
            cancel(at->second);
            requests_.erase(at);
        }
    }
    void on(const TimerFired& e) {
        const auto at = requests_.find(timers_[e.token]);
        timers_.erase(e.token);
        if (at == requests_.end()) return;
        if (now_ >= at->second.deadline - kHeldUntil) finish(at->second);
    }

    bool sends_again(Request& r) {
        const std::size_t most = flaws_.retry_storm ? settings_.max_attempts : 2;
        if (r.tries.size() >= most || now_ >= r.deadline - kHeldUntil) return false;
        if (r.may_have_run() && r.kind.idempotency == Idempotency::non_idempotent && !flaws_.resend)
            return false;
        if (r.may_have_run() && r.kind.idempotency == Idempotency::idempotency_key &&
            r.deadline - now_ > r.kind.dedup_window)
            return false;
        return send(r);
    }
    bool send(Request& r) {
        std::vector<Server*> open;
        for (auto& [id, s] : servers_)
            if (usable(s)) open.push_back(&s);
        if (open.empty()) {
            if (r.tries.empty()) give_up(r);
            return false;
        }
        Server* s = open[random_.below(open.size())];
        Server* other = open[random_.below(open.size())];
        if (!flaws_.retry_storm && other->outstanding < s->outstanding) s = other;
        if (flaws_.flood)
            for (Server* candidate : open)
                if (candidate->info.online_since > s->info.online_since) s = candidate;
        r.tries.push_back({s->info.id});
        ++s->outstanding;
        act(StartAttempt{r.id, s->info.id,
                         flaws_.retry_storm ? std::min(r.deadline, now_ + kRetryStormTimeout) : r.deadline});
        return true;
    }
    bool usable(const Server& s) const {
        if (s.info.state != EndpointState::active || now_ < s.out_until) return false;
        const bool cold =
            s.info.online_since > 0 && now_ < s.info.online_since + settings_.slow_start_duration;
        return flaws_.flood || !cold;
    }
    void give_up(Request& r) {
        if (!flaws_.hold) return finish(r);
        timer(std::max(now_, r.deadline - kHeldUntil), r.id);
    }
    void finish(Request& r) {
        cancel(r);
        if (!r.may_have_run())
            act(Reject{r.id, 0});
        else
            act(Fail{r.id});
        requests_.erase(r.id);
    }
    void cancel(const Request& r) {
        for (std::uint32_t i = 0; i < r.tries.size(); ++i)
            if (r.tries[i].out) act(Cancel{r.id, i});
    }
    void timer(Millis at, RequestId id) {
        timers_[++token_] = id;
        act(SetTimer{at, token_});
    }
    void act(Action action) { actions_->push_back(std::move(action)); }

    const Settings settings_;
    Random random_;
    const Flaws flaws_;
    Millis now_ = 0;
    std::vector<Action>* actions_ = nullptr;
    std::map<ServerId, Server> servers_;
    std::unordered_map<RequestId, Request> requests_;
    std::unordered_map<TimerToken, RequestId> timers_;
    TimerToken token_ = 0;
};

// Knows, of each server that is up and that its list names as open: requests in work and waiting, what it can
// do at this moment (speed, warmth), whether it stands still now; and what a request of each class costs in
// the mean. Not what this request will cost, nor what is to come: arrivals, freezes, deaths. A request goes
// where it will be done first, if that is within a share of its objective as things stand (with -worth: the
// less, the less its class is worth), and is refused at once otherwise. The report's bound is the best of
// those that oracle_names() lists.
class Oracle : public BalancingPolicy {
public:
    Oracle(const Settings& settings, double share, bool worth_first)
        : settings_(settings), share_(share), worth_first_(worth_first) {
        for (const RequestClass& c : settings.classes)
            max_priority_weight_ = std::max(max_priority_weight_, c.priority_weight);
    }
    void observe(const ServiceModel& service_model) override { service_model_ = &service_model; }
    void handle(Millis now, const Event& event, std::vector<Action>& actions) override {
        now_ = now;
        actions_ = &actions;
        if (const auto* list = std::get_if<ServerList>(&event)) {
            if (list->kind != ListKind::incremental) phases_.clear();
            for (const ServerInfo& s : list->servers) phases_[s.id] = s.state;
        } else if (const auto* e = std::get_if<RequestArrived>(&event)) {
            Open& r = open_[e->id];
            if (e->class_index < settings_.classes.size()) r.kind = settings_.classes[e->class_index];
            r.work = service_model_->mean_work(e->class_index);
            r.until = now_ + e->time_left;
            place(e->id, r);
        } else if (const auto* end = std::get_if<AttemptEnded>(&event)) {
            on_end(*end);
        } else if (const auto* gone = std::get_if<ClientDisconnected>(&event)) {
            const auto at = open_.find(gone->id);
            if (at == open_.end()) return;
            if (at->second.out) actions_->push_back(Cancel{gone->id, at->second.attempts - 1});
            open_.erase(at);
        }
    }

private:
    static constexpr double kLesser = 0.4;
    struct Open {
        RequestClass kind;
        Millis work = 0, until = 0;
        std::uint32_t attempts = 0;
        bool out = false, may_have_run = false;
    };
    void place(RequestId id, Open& r) {
        ServerId best = 0;
        // By worth as the class says it: what is worth less leaves part of the servers to what is worth most.
        const double part =
            worth_first_ ? kLesser + (1 - kLesser) * r.kind.priority_weight / max_priority_weight_ : 1;
        Millis soonest = r.kind.latency_objective * share_ * part;
        for (const auto& [server, state] : phases_) {
            if (state != EndpointState::active) continue;
            const Millis takes = estimate(server - 1, r.work);
            if (takes < soonest) soonest = takes, best = server;
        }
        if (best == 0) {
            if (r.may_have_run && r.kind.idempotency != Idempotency::idempotent)
                actions_->push_back(Fail{id});
            else
                actions_->push_back(Reject{id, 0});
            open_.erase(id);
            return;
        }
        r.out = true;
        ++r.attempts;
        actions_->push_back(StartAttempt{id, best, r.until});
    }
    // Cores shared evenly by all that are in work, the waiting room ahead of it.
    Millis estimate(std::uint32_t server, Millis work) const {
        const ServerModel& s = service_model_->server(server);
        if (!s.running() || !s.reachable() || s.frozen(now_ - kEpoch)) return 1e9;
        const double capacity = s.capacity(now_ - kEpoch), cores = service_model_->cores();
        const double there = static_cast<double>(s.in_work() + s.waiting()) + 1;
        return work * std::max(1.0, there / cores) * cores / capacity;
    }
    void on_end(const AttemptEnded& e) {
        const auto at = open_.find(e.id);
        if (at == open_.end()) return;
        Open& r = at->second;
        r.out = false;
        r.may_have_run =
            r.may_have_run || (e.outcome != Outcome::rejected && e.outcome != Outcome::connect_failed &&
                               e.outcome != Outcome::not_sent);
        if (e.request_ended) {
            open_.erase(at);
        } else if (r.attempts < 2 && now_ < r.until &&
                   (!r.may_have_run || r.kind.idempotency == Idempotency::idempotent)) {
            place(e.id, r);
        } else {
            const bool ran = r.may_have_run && r.kind.idempotency != Idempotency::idempotent;
            actions_->push_back(ran ? Action(Fail{e.id}) : Action(Reject{e.id, 0}));
            open_.erase(at);
        }
    }

    static constexpr Millis kEpoch = 1e9;  // the virtual driver's
    const Settings settings_;
    const double share_;
    const bool worth_first_;
    double max_priority_weight_ = 1e-9;
    const ServiceModel* service_model_ = nullptr;
    Millis now_ = 0;
    std::vector<Action>* actions_ = nullptr;
    std::map<ServerId, EndpointState> phases_;
    std::unordered_map<RequestId, Open> open_;
};

}  // namespace

const std::vector<std::string>& oracle_policy_names() {
    static const std::vector<std::string> names{"oracle-35",       "oracle-45",       "oracle-55",
                                                "oracle-65",       "oracle-35-worth", "oracle-45-worth",
                                                "oracle-55-worth", "oracle-65-worth", "oracle-75-worth"};
    return names;
}

const std::vector<PolicyDescription>& named_policies() {
    static const std::vector<PolicyDescription> names{
        {"elmbay", "elmbay's own decision module", ""},
        {"plain", "sound and simple: least outstanding of two, one more attempt where it may", ""},
        {"random-storm", "any server, all believed in, little patience, and again at once as often as it may",
         "attempts a try, goodput"},
        {"twice-at-once", "a second attempt beside the first", "nothing takes effect twice"},
        {"resend-unsafe", "sends unsafe requests again after an error", "nothing takes effect twice"},
        {"deaf-to-drains", "goes on sending to servers that drain or are gone", "drains kept"},
        {"flood-cold", "favours the server that started last", "no cold server pushed over"},
        {"hold-answers", "sits on failures until the caller's time is nearly over", "held_back"},
        {"never-remove", "believes in every server for ever", "goodput"}};
    return names;
}

std::unique_ptr<BalancingPolicy> make_policy(const std::string& name, const Settings& settings,
                                             std::uint64_t seed) {
    if (name == "elmbay") return std::make_unique<Module>(settings, seed);
    for (const std::string& oracle : oracle_policy_names())
        if (name == oracle)
            return std::make_unique<Oracle>(settings, std::stod(name.substr(7)) / 100,
                                            name.ends_with("worth"));
    Flaws flaws;
    flaws.retry_storm = name == "random-storm";
    flaws.twice = name == "twice-at-once";
    flaws.resend = name == "resend-unsafe";
    flaws.deaf = name == "deaf-to-drains";
    flaws.flood = name == "flood-cold";
    flaws.hold = name == "hold-answers";
    flaws.never_remove = flaws.retry_storm || name == "never-remove";
    const bool known = std::any_of(named_policies().begin(), named_policies().end(),
                                   [&](const PolicyDescription& b) { return b.name == name; });
    if (!known) throw std::invalid_argument("'" + name + "' is not a balancer");
    return std::make_unique<Plain>(settings, seed, flaws);
}

}  // namespace elmbay::simulation
