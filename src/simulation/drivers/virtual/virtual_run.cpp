#include "simulation/drivers/virtual/virtual_run.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <queue>
#include <unordered_map>

#include "simulation/baselines/baseline_policies.hpp"
#include "simulation/checking/sidecar_log.hpp"
#include "simulation/models/membership_agent.hpp"
#include "simulation/models/message_network.hpp"
#include "simulation/models/random_streams.hpp"
#include "simulation/models/service_model.hpp"

namespace elmbay::simulation {

namespace {

using namespace elmbay::balancer;

// The module's clock at time 0: servers that started "long ago" have 0, so no start may come out as 0.
constexpr Millis kEpoch = 1e9;
// As the real sidecar: its answer leaves this much before the client's time is over, or a tenth of it.
constexpr Millis kAnswerMargin = 8;
constexpr double kMaxMarginShare = 0.1;
constexpr Millis kClientLatency = 0.1;
// After the last arrival all that is open must end within the longest patience; this is added for what is
// sent back and forth.
constexpr Millis kTail = 5000;

enum class What {
    ask,
    timer,
    arrive,
    reply,
    expire,
    recall,
    idle,
    leave,
    patience,
    step,
    told,
    remember,
    poll,
    revive,
    intake,   // a request that came while its sidecar stood still is read
    gone,     // and a client that went meanwhile is noticed
    duty,     // a starved sidecar gets its core, or loses it
    message,  // a datagram has come
    refused,  // a machine says that nobody listens there
    speak     // a agent wants to be woken
};

// Of a socket's receive buffer that nobody reads: so many datagrams stay, what comes after is gone.
// net.core.rmem_default over what the kernel counts for a datagram of 256 bytes.
constexpr std::size_t kMaxUnread = 256;
constexpr Millis kDutyRound = 20;        // as the real driver's
constexpr Millis kUnix = 1796000000000;  // Unix ms of time 0: some day

struct Happening {
    Millis at = 0;
    std::uint64_t number = 0;
    What what = What::ask;
    std::uint32_t who = 0;
    std::uint64_t a = 0;
    std::uint64_t b = 0;
    bool operator>(const Happening& other) const {
        return at != other.at ? at > other.at : number > other.number;
    }
};

// One attempt from the sidecar's decision to its end there.
struct Attempt {
    ClientRequestId id = 0;
    std::uint32_t sidecar = 0, server = 0, number = 0, judged = 0, life = 0;
    std::uint32_t epoch = 0;  // of the server's process that has the connection
    Ticket ticket = 0;
    Millis sent = 0, latency = 0;
    bool out = true;       // the sidecar waits for it
    bool fresh = false;    // its connection has to come up first
    bool arrived = false;  // or it never will
    bool connected = false;
    Outcome outcome = Outcome::success;
};

struct Instance {
    std::unique_ptr<BalancingPolicy> decider;
    struct Open {
        std::vector<std::uint64_t> attempts;
        std::uint32_t out = 0;
        bool over = false;
    };
    std::unordered_map<RequestId, Open> requests;
    struct Idle {
        std::uint64_t number;
        std::uint32_t epoch;
    };
    std::vector<std::vector<Idle>> idle;  // by server, the last used at the back
    std::uint32_t life = 0;
    bool alive = true, draining = false, frozen = false, off_core = false;
    bool still() const { return frozen || off_core; }
    std::vector<Happening> waiting;      // what came to it while it stood still
    std::size_t unread = 0;              // datagrams among them
    double share = 1;                    // of its core
    std::optional<std::size_t> changed;  // the fault whose build or settings it runs
    std::unique_ptr<MembershipAgent> agent;
    std::uint32_t siblings = 0;  // as its agent told its module last
    Millis began = 0;
    LearnedState kept;  // what its store holds
    Millis kept_at = -1;
};

// The last of a try, until the client has its answer or is gone.
struct OpenTry {
    ClientRequest t;
    std::uint32_t life = 0;
};

class VirtualRun {
public:
    VirtualRun(const Scenario& scenario, const VirtualRunOptions& options)
        : scenario_(scenario),
          options_(options),
          clients_(scenario),
          service_model_(scenario, clients_),
          checker_(scenario, clients_, 0),
          metrics_(scenario, clients_),
          steps_(build_timeline(scenario)),
          notices_(build_notices(scenario, steps_)),
          links_(scenario.overview.seed),
          messages_(scenario),
          sidecars_(scenario),
          epochs_(service_model_.count(), 0),
          poll_at_(service_model_.count(), -1) {
        for (std::uint32_t i = 0; i < service_model_.count(); ++i)
            listed_.push_back(info_of(i, EndpointState::active, 0));
        for (std::uint32_t i = 0; i < service_model_.count(); ++i)
            if (!service_model_.there_at_start(i)) listed_[i].state = EndpointState::removed;
        instances_.resize(scenario.sidecars.count);
        links_.replace_all(scenario.link_rules());
    }

    Report run() {
        for (std::uint32_t i = 0; i < instances_.size(); ++i) begin_life(i);
        for (std::size_t i = 0; i < steps_.size(); ++i) put(steps_[i].at, What::step, 0, i);
        for (std::size_t i = 0; i < notices_.size(); ++i) put(notices_[i].at, What::told, 0, i, 0);
        if (scenario_.sidecars.snapshot_interval > 0)
            for (std::uint32_t i = 0; i < instances_.size(); ++i)
                put(scenario_.sidecars.snapshot_interval, What::remember, i);
        ask_next();
        const Millis length = scenario_.overview.duration;
        Millis patience = 0;
        for (const ClassSpec& c : scenario_.classes) patience = std::max(patience, c.client_deadline);
        Millis shown = 0;
        while (!queue_.empty()) {
            const Happening h = queue_.top();
            if (h.at > length + patience + kTail || (h.at > length && open_.empty() && pending_ == 0)) break;
            queue_.pop();
            now_ = h.at;
            happen(h);
            if (options_.progress && now_ > shown + length / 100) {
                shown = now_;
                options_.progress(std::min(1.0, now_ / length));
            }
        }
        checker_.finish(now_);
        Report report = make_report(scenario_, clients_, checker_, metrics_);
        report.mode = "virtual";
        report.balancer = options_.balancer;
        report.connections = connections_;
        report.after_restart = restarted_;
        report.sidecar_activity = sidecars_.report(std::min(now_, length), clients_.arrivals().size());
        report.log_lines = log_lines_;
        report.log_hash = log_hash_;
        return report;
    }

private:
    // ---- the queue
    void put(Millis at, What what, std::uint32_t who, std::uint64_t a = 0, std::uint64_t b = 0) {
        queue_.push({std::max(at, now_), ++number_, what, who, a, b});
    }
    void happen(const Happening& h) {
        if (over_cut_link(h)) return;
        if (needs_its_process(h) && instances_[h.who].still()) return come_to_one_that_is_still(h);
        carry_out(h);
    }
    void carry_out(const Happening& h) {
        switch (h.what) {
            case What::ask:
                return ask(h);
            case What::timer:
                return timer(h);
            case What::arrive:
                return arrive(h.a);
            case What::reply:
                return ended(h.a, std::nullopt);
            case What::expire:
                return ended(h.a, Outcome::timed_out);
            case What::recall:
                return report_end(h.a, Outcome::cancelled);
            case What::idle:
                return idle_over(h);
            case What::leave:
                return leave(h.a, static_cast<std::uint32_t>(h.b));
            case What::patience:
                return out_of_patience(h.a);
            case What::step:
                return step(steps_[h.a]);
            case What::revive:
                if (!instances_[h.who].draining) return;
                sidecars_.on_ended(now_, h.who, "ended");
                return begin_life(h.who);
            case What::told:
                return told(h);
            case What::intake:
                return intake(h.a);
            case What::gone:
                return gone(h.who, h.a);
            case What::duty:
                return duty(h.who, h.a);
            case What::message:
                return hear(h);
            case What::refused:
                return hear_refusal(h);
            case What::speak:
                return speak(h);
            case What::remember:
                if (instances_[h.who].decider && !instances_[h.who].still()) keep(instances_[h.who]);
                return put(now_ + scenario_.sidecars.snapshot_interval, What::remember, h.who);
            case What::poll:
                if (h.at != poll_at_[h.who]) return;
                poll_at_[h.who] = -1;
                service_model_.server(h.who).advance(now_, out_);
                return pump(h.who);
        }
    }

    // ---- sidecars that stand still
    // Whether it is the sidecar's own process that has to do it.
    static bool needs_its_process(const Happening& h) {
        switch (h.what) {
            case What::timer:
            case What::reply:
            case What::expire:
            case What::recall:
            case What::revive:
            case What::intake:
            case What::gone:
            case What::message:
            case What::refused:
            case What::speak:
                return true;
            case What::told:
                return h.b == 1;
            default:
                return false;
        }
    }
    void come_to_one_that_is_still(const Happening& h) {
        Instance& n = instances_[h.who];
        // Written to its machine is told, read or not.
        if (h.what == What::told) note_told(h.who, notices_[h.a]);
        if (h.what == What::message && ++n.unread > kMaxUnread) return forget_message(h.a);
        n.waiting.push_back(h);
    }
    void freeze(std::uint32_t who) {
        Instance& n = instances_[who];
        if (!n.alive || n.frozen) return;
        n.frozen = true;
        checker_.on_sidecar_paused(who);
        sidecars_.on_paused(now_, who);
    }
    void thaw(std::uint32_t who) {
        Instance& n = instances_[who];
        if (!n.frozen) return;
        n.frozen = false;
        checker_.on_sidecar_resumed(who);
        sidecars_.on_resumed(now_, who);
        catch_up(who);
    }
    // ClientModel' ends and lists come before all that could send, as in the program (Upstream::WriteChecks).
    void catch_up(std::uint32_t who) {
        Instance& n = instances_[who];
        if (n.still()) return;
        n.unread = 0;
        std::vector<Happening> waiting = std::exchange(n.waiting, {});
        const auto rank = [](const Happening& h) {
            return h.what == What::gone ? 0 : h.what == What::told ? 1 : 2;
        };
        std::stable_sort(waiting.begin(), waiting.end(),
                         [&](const Happening& a, const Happening& b) { return rank(a) < rank(b); });
        for (const Happening& h : waiting) carry_out(h);
    }
    // Its process has ended: what waited for it has nobody.
    void forget_waiting(Instance& n) {
        for (const Happening& h : n.waiting)
            if (h.what == What::message) forget_message(h.a);
        n.waiting.clear();
        n.unread = 0;
        n.frozen = n.off_core = false;
    }
    void starve(std::uint32_t who, double share) {
        Instance& n = instances_[who];
        const bool goes_on = n.share < 1;
        n.share = share;
        sidecars_.on_cpu_share_changed(now_, who, share);
        if (share >= 1) n.off_core = false, catch_up(who);
        checker_.on_sidecar_cpu_limited(who, share < 1);
        if (!goes_on && share < 1) duty(who, 0);
    }
    void duty(std::uint32_t who, std::uint64_t on) {
        Instance& n = instances_[who];
        n.off_core = !on && n.share < 1 && n.alive;
        if (!n.off_core) catch_up(who);
        if (n.share >= 1) return;
        put(now_ + kDutyRound * (n.off_core ? 1 - n.share : n.share), What::duty, who, n.off_core);
    }

    // ---- messages between sidecars
    void start_companion(std::uint32_t who) {
        Instance& n = instances_[who];
        n.agent.reset();
        if (scenario_.messages.heartbeat_interval <= 0 && !scenario_.sidecars.cluster_enabled) return;
        const std::uint64_t seed =
            random_stream(scenario_.overview.seed, StreamPurpose::membership_agent, who, n.life).next();
        if (scenario_.sidecars.cluster_enabled)
            n.agent = std::make_unique<ClusterMembershipAgent>(scenario_, who, seed, now_, kUnix);
        else
            n.agent = std::make_unique<Beats>(scenario_, who, seed);
        n.siblings = static_cast<std::uint32_t>(scenario_.sidecars.count);
        std::vector<Outgoing> out;
        n.agent->begin(now_, out);
        said(who, out);
    }
    void said(std::uint32_t who, const std::vector<Outgoing>& out) {
        std::vector<MessageNetwork::Delivery> deliveries;
        for (const Outgoing& message : out) {
            deliveries.clear();
            messages_.send(now_, who, message, deliveries);
            const std::uint64_t copies = message.to ? 1 : instances_.size() - 1;
            for (std::uint64_t i = 0; i < copies; ++i) sidecars_.on_message_sent(now_, message.bytes.size());
            for (MessageNetwork::Delivery& d : deliveries) {
                on_their_way_[++last_message_] = {who, std::move(d.bytes)};
                put(now_ + d.after, What::message, d.to, last_message_);
            }
        }
        Instance& n = instances_[who];
        if (!n.agent) return;
        if (n.agent->next() < fault_proxy::kNever) put(n.agent->next(), What::speak, who, n.life);
        const auto siblings = n.agent->siblings(now_);
        if (siblings && std::exchange(n.siblings, *siblings) != *siblings)
            give(who, SiblingCountChanged{*siblings});
    }
    void speak(const Happening& h) {
        Instance& n = instances_[h.who];
        // One that has been told another time meanwhile has another event for it.
        if (n.life != h.a || !n.agent || n.agent->next() > now_) return;
        std::vector<Outgoing> out;
        n.agent->wake(now_, out);
        said(h.who, out);
    }
    void forget_message(std::uint64_t number) { on_their_way_.erase(number); }
    void hear(const Happening& h) {
        const auto node = on_their_way_.extract(h.a);
        if (node.empty()) return;
        const auto& [from, bytes] = node.mapped();
        if (messages_.cut(now_, from, h.who)) return;
        Instance& n = instances_[h.who];
        if (!n.alive) {
            if (!messages_.cut(now_, h.who, from))
                put(now_ + scenario_.messages.min_delay, What::refused, from, h.who);
            return;
        }
        sidecars_.on_message_delivered(now_, from, h.who, bytes.size());
        if (!n.agent) return;
        std::vector<Outgoing> out;
        n.agent->heard(now_, from, bytes, out);
        said(h.who, out);
    }

    void hear_refusal(const Happening& h) {
        Instance& n = instances_[h.who];
        if (!n.agent) return;
        std::vector<Outgoing> out;
        n.agent->refused(now_, static_cast<std::uint32_t>(h.a), out);
        said(h.who, out);
    }

    // ---- links
    static std::string sidecar_name(std::uint32_t who) { return "n-" + std::to_string(who); }
    static std::string server_name(std::uint32_t who) { return "s-" + std::to_string(who); }
    bool cut(const fault_proxy::Link& link) const {
        return !links_.all().empty() && links_.is_cut(link, fault_proxy::Medium::stream, now_);
    }
    // Whatever is on its way over a cut link waits, as for retransmission. Whether it does.
    bool waits(const fault_proxy::Link& link, const Happening& h) {
        if (!cut(link)) return false;
        const Millis next = links_.next_change(now_);
        if (next < fault_proxy::kNever) put(next, h.what, h.who, h.a, h.b);
        return true;
    }
    bool over_cut_link(const Happening& h) {
        if (links_.all().empty()) return false;
        if (h.what == What::told && h.b == 1) return waits({"list", sidecar_name(h.who)}, h);
        if (h.what != What::arrive && h.what != What::reply) return false;
        const auto at = attempts_.find(h.a);
        if (at == attempts_.end()) return false;
        const Attempt& a = at->second;
        const fault_proxy::Link forth{sidecar_name(a.sidecar), server_name(a.server)};
        if (h.what == What::arrive) {
            if (!a.fresh || a.connected) return waits(forth, h);
            if (!cut(forth) && !cut(forth.reversed())) return false;
            // Its connection does not come up while the link is cut: tried until the sidecar gives it up.
            never_up(at->second, h.a, std::max(0.0, a.sent + scenario_.fleet.connect_timeout - now_));
            return true;
        }
        // What the sidecar finds out by itself needs no link.
        return a.outcome != Outcome::connect_failed && waits(forth.reversed(), h);
    }

    // ---- clients
    // Arrivals enter the queue one at a time: millions of them need not be in it together.
    void ask_next() {
        if (next_ask_ >= clients_.arrivals().size()) return;
        const ClientRequest t = clients_.first_request(next_ask_++);
        ++pending_;
        waiting_.emplace(t.id, t);
        put(t.at, What::ask, 0, t.id, 1);
    }
    void ask(const Happening& h) {
        --pending_;
        if (h.b == 1) ask_next();
        const auto waiting = waiting_.find(h.a);
        const ClientRequest t = waiting->second;
        waiting_.erase(waiting);
        const ClientArrival& a = clients_.arrival_of(operation_of(t.id));
        Instance& n = instances_[a.sidecar];
        log("ask %llu n-%u %s", ull(t.id), a.sidecar, scenario_.classes[a.class_index].name.c_str());
        if (!n.alive || n.draining)
            return after(t, ResponseKind::none, 0);  // nobody there: it has not been taken
        checker_.on_request_sent(now_, t);
        open_[t.id] = {t, n.life};
        put(now_ + t.timeout, What::patience, 0, t.id);
        if (t.disconnect_after > 0) put(now_ + t.disconnect_after, What::leave, a.sidecar, t.id, n.life);
        n.requests[t.id];
        happen({now_, 0, What::intake, a.sidecar, t.id});
    }
    // Time that it lay unread is its client's.
    void intake(ClientRequestId id) {
        const auto open = open_.find(id);
        if (open == open_.end()) return;
        const ClientRequest& t = open->second.t;
        const ClientArrival& a = clients_.arrival_of(operation_of(id));
        RequestArrived event;
        event.id = t.id;
        event.class_index = a.class_index;
        event.time_left =
            std::max(1.0, t.timeout - (now_ - t.at) - std::min(kAnswerMargin, t.timeout * kMaxMarginShare));
        event.is_client_retry = t.id % kMaxRequestsPerOperation > 0;
        give(a.sidecar, event);
    }
    void answer(std::uint32_t who, ClientRequestId id, ResponseKind what, Millis retry_after) {
        const auto at = instances_[who].requests.find(id);
        if (at == instances_[who].requests.end() || at->second.over) return;
        at->second.over = true;
        const auto open = open_.find(id);
        log("answer %llu %s", ull(id),
            what == ResponseKind::served     ? "served"
            : what == ResponseKind::rejected ? "refused"
                                             : "failed");
        checker_.on_response(now_ + kClientLatency, id, what);
        if (open == open_.end()) return;
        const ClientRequest t = open->second.t;
        open_.erase(open);
        after(t, what, retry_after);
    }
    // The client goes on, or the request is over.
    void after(const ClientRequest& t, ResponseKind what, Millis retry_after) {
        if (const auto next = clients_.next_request(now_, t, what, retry_after)) {
            ++pending_;
            waiting_.emplace(next->id, *next);
            put(next->at, What::ask, 0, next->id, 0);
        } else {
            metrics_.on_operation_ended(now_ + kClientLatency, operation_of(t.id), what);
            count_restarted(operation_of(t.id), what);
        }
    }
    void out_of_patience(ClientRequestId id) {
        const auto open = open_.find(id);
        if (open == open_.end()) return;
        const ClientRequest t = open->second.t;
        log("silence %llu", ull(id));
        const std::uint32_t who = clients_.arrival_of(operation_of(id)).sidecar;
        // One that has part of its core only may answer a moment later; on sockets the slack is for that.
        if (instances_[who].share < 1 || instances_[who].off_core) checker_.excuse(id);
        checker_.on_response(now_, id, ResponseKind::none);
        open_.erase(id);
        happen({now_, 0, What::gone, who, id});
        after(t, ResponseKind::none, 0);
    }
    void leave(ClientRequestId id, std::uint32_t life) {
        const std::uint32_t who = clients_.arrival_of(operation_of(id)).sidecar;
        if (!open_.contains(id) || instances_[who].life != life) return;
        log("leave %llu", ull(id));
        checker_.on_client_left(now_, id);
        metrics_.on_client_left(operation_of(id));
        open_.erase(id);
        happen({now_, 0, What::gone, who, id});
    }
    void gone(std::uint32_t who, ClientRequestId id) {
        const auto at = instances_[who].requests.find(id);
        if (at == instances_[who].requests.end() || at->second.over) return;
        at->second.over = true;
        give(who, ClientDisconnected{id});
        settle(who, id);
    }

    // ---- sidecars
    ServerInfo info_of(std::uint32_t server, EndpointState state, Millis online_since) const {
        return {
            server + 1, scenario_.zone_of(server), 0, 0, state, online_since > 0 ? online_since + kEpoch : 0};
    }
    void keep(Instance& n) {
        n.kept = n.decider->learned_state(now_ + kEpoch);
        n.kept_at = now_;
    }
    bool just_restarted(const Instance& n, Millis at) const {
        return n.life > 1 && at >= n.began && at < n.began + Report::kRestartWindow;
    }
    void count_restarted(OperationId request, ResponseKind what) {
        const ClientArrival& ask = clients_.arrival_of(request);
        if (!just_restarted(instances_[ask.sidecar], ask.at)) return;
        const ClassSpec& c = scenario_.classes[ask.class_index];
        const double priority_weight = c.priority_weight * clients_.work(request);
        restarted_.offered_value += priority_weight;
        if (what == ResponseKind::served && now_ + kClientLatency - ask.at <= c.latency_objective)
            restarted_.delivered_value += priority_weight;
    }
    void begin_life(std::uint32_t who) {
        Instance& n = instances_[who];
        // A planned restart writes once more as it ends; one that was killed has what it wrote last.
        if (n.decider && scenario_.sidecars.snapshot_interval > 0) keep(n);
        n.began = now_;
        ++n.life;
        n.alive = true;
        n.draining = false;
        n.idle.assign(service_model_.count(), {});
        const std::uint64_t seed =
            random_stream(scenario_.overview.seed, StreamPurpose::balancer, who, n.life).next();
        const FaultSpec* changed = n.changed ? &scenario_.faults[*n.changed] : nullptr;
        const std::string& build = changed && !changed->build.empty() ? changed->build : options_.balancer;
        n.decider = make_policy(build, scenario_.settings(who, changed), seed);
        sidecars_.on_started(now_, who,
                             changed && changed->build.empty() ? build + " (" + changed->name + ")" : build);
        n.decider->observe(service_model_);
        give(who, Started{});
        if (n.kept_at >= 0) give(who, StateRestored{n.kept, now_ - n.kept_at});
        ServerList list{ListKind::cached, {}};
        for (const ServerInfo& info : listed_) {
            if (info.state != EndpointState::removed) list.servers.push_back(info);
            checker_.on_endpoint_update(now_, who, info.id - 1, info.state,
                                        std::max(0.0, info.online_since - kEpoch));
        }
        give(who, std::move(list));
        start_companion(who);
    }
    void kill(std::uint32_t who) {
        Instance& n = instances_[who];
        n.alive = false;
        n.agent.reset();
        forget_waiting(n);
        checker_.on_sidecar_killed(who);
        sidecars_.on_ended(now_, who, "killed");
        for (const std::uint64_t number : out_of(who, {})) {
            end(attempts_.at(number), Outcome::connection_reset);
            drop_if_done(number);
        }
        close_idle(n);
        n.requests.clear();
        n.decider.reset();
        std::vector<ClientRequest> lost;
        for (const auto& [id, open] : open_)
            if (clients_.arrival_of(operation_of(id)).sidecar == who) lost.push_back(open.t);
        std::sort(lost.begin(), lost.end(),
                  [](const ClientRequest& a, const ClientRequest& b) { return a.id < b.id; });
        for (const ClientRequest& t : lost) {
            open_.erase(t.id);
            checker_.on_response(now_, t.id, ResponseKind::none);
            after(t, ResponseKind::none, 0);
        }
    }
    void give(std::uint32_t who, const Event& event) {
        Instance& n = instances_[who];
        if (!n.decider) return;
        std::vector<Action> actions;
        n.decider->handle(now_ + kEpoch, event, actions);
        for (const Action& action : actions) act(who, action);
    }
    void act(std::uint32_t who, const Action& action) {
        if (const auto* send_to = std::get_if<StartAttempt>(&action)) {
            send(who, *send_to);
        } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
            const auto open = instances_[who].requests.find(cancel->id);
            if (open == instances_[who].requests.end() || cancel->attempt >= open->second.attempts.size())
                return;
            const std::uint64_t number = open->second.attempts[cancel->attempt];
            const auto at = attempts_.find(number);
            if (at == attempts_.end() || !at->second.out) return;
            end(at->second, Outcome::cancelled);
            put(now_, What::recall, who, number);
        } else if (const auto* refuse = std::get_if<Reject>(&action)) {
            answer(who, refuse->id, ResponseKind::rejected, refuse->retry_after);
            settle(who, refuse->id);
        } else if (const auto* up = std::get_if<Fail>(&action)) {
            answer(who, up->id, ResponseKind::failed, 0);
            settle(who, up->id);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            put(timer->at - kEpoch, What::timer, who, timer->token, instances_[who].life);
        }
    }
    void timer(const Happening& h) {
        if (instances_[h.who].life == h.b) give(h.who, TimerFired{h.a});
    }
    void settle(std::uint32_t who, ClientRequestId id) {
        Instance& n = instances_[who];
        const auto at = n.requests.find(id);
        if (at != n.requests.end() && at->second.over && at->second.out == 0) n.requests.erase(at);
        if (n.draining && n.requests.empty()) {
            close_idle(n);
            put(now_, What::revive, who);  // not here: its module is at work
        }
    }
    void close_idle(Instance& n) {
        for (std::uint32_t s = 0; s < service_model_.count(); ++s) {
            for (; !n.idle[s].empty(); n.idle[s].pop_back())
                if (n.idle[s].back().epoch == epochs_[s]) service_model_.server(s).disconnect(now_, out_);
            pump(s);
        }
    }

    // ---- attempts
    // An attempt stays in the table until its sidecar is done with it and its bytes have come, whichever is
    // later.
    void send(std::uint32_t who, const StartAttempt& s) {
        Instance& n = instances_[who];
        const auto open = n.requests.find(s.id);
        const std::uint32_t server = s.server - 1;
        if (open == n.requests.end() || server >= service_model_.count()) return;
        const std::uint64_t number = ++last_attempt_;
        Attempt& a = attempts_[number];
        a.id = s.id, a.sidecar = who, a.server = server;
        a.number = static_cast<std::uint32_t>(open->second.attempts.size());
        a.life = n.life, a.sent = now_, a.epoch = epochs_[server];
        open->second.attempts.push_back(number);
        ++open->second.out;
        Random random = random_stream(scenario_.overview.seed, StreamPurpose::latency, s.id, a.number);
        const bool same = scenario_.zone_of(server) == who % scenario_.fleet.zones.size();
        a.latency = (same ? scenario_.fleet.same_zone_latency : scenario_.fleet.cross_zone_latency) *
                    (1 + scenario_.fleet.latency_jitter * (2 * random.uniform() - 1));
        log("send %llu.%u n-%u s-%u", ull(a.id), a.number, who, server);
        a.judged = checker_.on_attempt_started(now_, a.id, server, who);
        if (s.attempt_deadline > 0) put(s.attempt_deadline - kEpoch, What::expire, who, number);
        if (!n.idle[server].empty()) {
            a.epoch = n.idle[server].back().epoch;
            n.idle[server].pop_back();
            a.connected = true;
            return put(now_ + a.latency, What::arrive, who, number);
        }
        a.fresh = true;
        if (service_model_.server(server).is_reachable())
            return put(now_ + 3 * a.latency, What::arrive, who, number);
        never_up(a, number, scenario_.fleet.connect_timeout);
    }
    void never_up(Attempt& a, std::uint64_t number, Millis after) {
        checker_.on_attempt_delivered(now_, a.id, a.judged, InvariantChecker::Delivery::not_received);
        a.arrived = true;
        a.outcome = Outcome::connect_failed;
        put(now_ + after, What::reply, a.sidecar, number);
    }
    void arrive(std::uint64_t number) {
        const auto at = attempts_.find(number);
        if (at == attempts_.end()) return;
        Attempt& a = at->second;
        ServerModel& server = service_model_.server(a.server);
        if (a.fresh && !a.out) {  // given up before the connection was there: not a byte of it was written
            attempts_.erase(at);
            return;
        }
        if (a.fresh) {
            if (!server.is_reachable()) return never_up(a, number, scenario_.fleet.connect_timeout);
            const bool up = server.connect(now_, out_);
            pump(a.server);
            if (!up) return never_up(a, number, a.latency);
            ++connections_;
            a.connected = true;
            a.epoch = epochs_[a.server];
        }
        a.arrived = true;
        if (a.epoch != epochs_[a.server]) {  // the process that had this connection is gone
            if (server.is_reachable()) {
                a.outcome = Outcome::connection_reset;
                put(now_ + a.latency, What::reply, a.sidecar, number);
            }
            return drop_if_done(number);
        }
        const ServerLoad load{clients_.attempt_work(operation_of(a.id), a.server), server.capacity(now_),
                              server.started_at(), server.is_cold(now_)};
        a.ticket = service_model_.arrive(now_, a.server, a.id, out_);
        const bool away = std::any_of(out_.begin(), out_.end(), [&](const Departure& d) {
            return d.ticket == a.ticket && d.fate == Fate::turned_away;
        });
        log("reach %llu.%u s-%u %.3f%s", ull(a.id), a.number, a.server, load.work, away ? " away" : "");
        metrics_.on_attempt(now_, a.server, load.work);
        tickets_[a.ticket] = number;
        const std::uint32_t where = a.server;
        const bool fell = checker_.on_attempt_delivered(
            now_, a.id, a.judged,
            away ? InvariantChecker::Delivery::rejected : InvariantChecker::Delivery::accepted, load);
        if (!a.out) abandon(a);  // given up on its way, though the bytes had gone out
        drop_if_done(number);
        pump(where);
        if (!fell) return;
        log("fell s-%u", where);
        ++epochs_[where];
        service_model_.fell(now_, where, out_);
        forget_connections(where);
        pump(where);
    }
    // What a server has brought to an end goes back to where it came from.
    void pump(std::uint32_t server) {
        const ServerModel::Out departed = std::exchange(out_, {});
        for (const Departure& d : departed) {
            const auto at = tickets_.find(d.ticket);
            if (at == tickets_.end()) continue;
            const std::uint64_t number = at->second;
            tickets_.erase(at);
            const auto found = attempts_.find(number);
            if (found == attempts_.end()) continue;
            Attempt& a = found->second;
            a.ticket = 0;
            // A machine that stood still turns away once it goes on again: unseen, as those at once.
            if (d.fate == Fate::turned_away)
                checker_.on_attempt_delivered(now_, a.id, a.judged, InvariantChecker::Delivery::rejected);
            if (!a.out) continue;
            a.outcome = d.fate == Fate::done          ? Outcome::success
                        : d.fate == Fate::failed      ? Outcome::error_response
                        : d.fate == Fate::turned_away ? Outcome::rejected
                                                      : Outcome::connection_reset;
            put(now_ + a.latency, What::reply, a.sidecar, number);
        }
        const Millis next = service_model_.server(server).next();
        if (next < 1e300 && (poll_at_[server] < 0 || next < poll_at_[server])) {
            poll_at_[server] = std::max(next, now_);
            put(next, What::poll, server);
        }
    }
    void ended(std::uint64_t number, std::optional<Outcome> outcome) {
        const auto at = attempts_.find(number);
        if (at == attempts_.end() || !at->second.out) return;
        const Outcome what = outcome.value_or(at->second.outcome);
        end(at->second, what);
        report_end(number, what);
    }
    // The sidecar's side of it is over: the connection goes back to the pool, or is closed.
    void end(Attempt& a, Outcome outcome) {
        a.out = false;
        checker_.on_attempt_ended(now_, a.id, a.judged);
        const bool clean =
            outcome == Outcome::success || outcome == Outcome::error_response || outcome == Outcome::rejected;
        const bool there = a.connected && a.epoch == epochs_[a.server];
        const Instance& n = instances_[a.sidecar];
        if (clean && there && n.life == a.life && !n.draining) {
            instances_[a.sidecar].idle[a.server].push_back({++last_idle_, a.epoch});
            put(now_ + scenario_.fleet.idle_timeout, What::idle, a.sidecar, last_idle_, a.server);
        } else if (there) {
            service_model_.server(a.server).disconnect(now_, out_);
        }
        a.connected = false;
        abandon(a);
        pump(a.server);
    }
    void abandon(Attempt& a) {
        if (a.ticket == 0) return;
        tickets_.erase(a.ticket);
        service_model_.server(a.server).abandon(now_, a.ticket, out_);
        a.ticket = 0;
    }
    void drop_if_done(std::uint64_t number) {
        const auto at = attempts_.find(number);
        if (at != attempts_.end() && !at->second.out && at->second.arrived) attempts_.erase(at);
    }
    void report_end(std::uint64_t number, Outcome outcome) {
        const auto found = attempts_.find(number);
        if (found == attempts_.end()) return;
        const Attempt a = found->second;
        drop_if_done(number);
        Instance& n = instances_[a.sidecar];
        const auto at = n.requests.find(a.id);
        if (n.life != a.life || at == n.requests.end()) return;
        --at->second.out;
        if (just_restarted(n, now_)) {
            ++restarted_.attempts;
            restarted_.failed += outcome != Outcome::success && outcome != Outcome::cancelled;
        }
        log("end %llu.%u s-%u %d", ull(a.id), a.number, a.server, static_cast<int>(outcome));
        if (outcome == Outcome::success && !at->second.over) answer(a.sidecar, a.id, ResponseKind::served, 0);
        give(a.sidecar, AttemptEnded{a.id, a.number, outcome, now_ - a.sent, at->second.over});
        settle(a.sidecar, a.id);
    }
    // In order of their numbers: the table's order is its own affair.
    std::vector<std::uint64_t> out_of(std::optional<std::uint32_t> sidecar,
                                      std::optional<std::uint32_t> server) const {
        std::vector<std::uint64_t> list;
        for (const auto& [number, a] : attempts_)
            if (a.out && (!sidecar || a.sidecar == *sidecar) && (!server || a.server == *server))
                list.push_back(number);
        std::sort(list.begin(), list.end());
        return list;
    }

    void idle_over(const Happening& h) {
        auto& idle = instances_[h.who].idle[h.b];
        const auto at =
            std::find_if(idle.begin(), idle.end(), [&](const auto& i) { return i.number == h.a; });
        if (at == idle.end()) return;
        const bool there = at->epoch == epochs_[h.b];
        idle.erase(at);
        if (!there) return;
        service_model_.server(static_cast<std::uint32_t>(h.b)).disconnect(now_, out_);
        pump(static_cast<std::uint32_t>(h.b));
    }
    void forget_connections(std::uint32_t server) {
        for (Instance& n : instances_) n.idle[server].clear();
    }

    // ---- what the file says
    void step(const TimelineStep& s) {
        log("step %s", text_of(s).c_str());
        if (s.kind == StepKind::sidecar_kill) return kill(s.target);
        if (s.kind == StepKind::sidecar_start) return begin_life(s.target);
        if (s.kind == StepKind::sidecar_pause) return freeze(s.target);
        if (s.kind == StepKind::sidecar_resume) return thaw(s.target);
        if (s.kind == StepKind::sidecar_cpu_share) return starve(s.target, s.value);
        if (s.kind == StepKind::sidecar_replace)
            instances_[s.target].changed = static_cast<std::size_t>(s.value);
        if (s.kind == StepKind::sidecar_restore) instances_[s.target].changed.reset();
        if (s.kind == StepKind::sidecar_restart || s.kind == StepKind::sidecar_replace ||
            s.kind == StepKind::sidecar_restore) {
            instances_[s.target].draining = true;
            if (Instance& n = instances_[s.target]; n.agent && !n.still()) {
                std::vector<Outgoing> out;
                n.agent->leave(now_, out);
                said(s.target, out);
            }
            if (instances_[s.target].requests.empty()) put(now_, What::revive, s.target);
            return;
        }
        if (s.targets_sidecar()) return;
        if (s.kind == StepKind::stop || s.kind == StepKind::cut_off) ++epochs_[s.target];
        const bool was_cut_off = !service_model_.server(s.target).is_reachable();
        service_model_.apply(s, out_);
        pump(s.target);
        if (s.kind == StepKind::stop) forget_connections(s.target);
        if (s.kind == StepKind::start && was_cut_off) {
            // Back under its address: it knows none of the connections that stayed open, and resets them.
            forget_connections(s.target);
            for (const std::uint64_t number : out_of({}, s.target)) {
                Attempt& a = attempts_.at(number);
                if (!a.arrived) continue;
                a.outcome = Outcome::connection_reset;
                put(now_ + a.latency, What::reply, a.sidecar, number);
            }
        }
    }
    // The registry first, then every sidecar a little later.
    void told(const Happening& h) {
        const EndpointNotice& notice = notices_[h.a];
        if (h.b == 0) {
            const ServerInfo info = info_of(notice.server, notice.state, notice.online_since);
            ServerInfo& known = listed_[notice.server];
            const Millis since = std::max(known.online_since, info.online_since);
            known = info;
            known.online_since = since;
            for (std::uint32_t i = 0; i < instances_.size(); ++i)
                put(now_ + notice_skew(scenario_, i), What::told, i, h.a, 1);
            return;
        }
        if (!instances_[h.who].decider) return;
        const ServerInfo entry = note_told(h.who, notice);
        log("told n-%u s-%u %d", h.who, notice.server, static_cast<int>(entry.state));
        give(h.who, ServerList{ListKind::incremental, {entry}});
    }

    ServerInfo note_told(std::uint32_t who, const EndpointNotice& notice) {
        ServerInfo entry = info_of(notice.server, notice.state, notice.online_since);
        entry.online_since = std::max(entry.online_since, listed_[notice.server].online_since);
        checker_.on_endpoint_update(now_, who, notice.server, entry.state,
                                    std::max(0.0, entry.online_since - kEpoch));
        return entry;
    }

    // ---- the log
    static unsigned long long ull(std::uint64_t v) { return v; }
    __attribute__((format(printf, 2, 3))) void log(const char* format, ...) {
        char line[192];
        int n = std::snprintf(line, sizeof line, "%.4f ", now_);
        va_list args;
        va_start(args, format);
        n += std::vsnprintf(line + n, sizeof line - static_cast<std::size_t>(n), format, args);
        va_end(args);
        n = std::min<int>(n, sizeof line - 2);
        line[n++] = '\n';
        const std::string_view text(line, static_cast<std::size_t>(n));
        ++log_lines_;
        log_hash_ = fnv1a(text, log_hash_);
        if (options_.log) *options_.log << text;
    }

    const Scenario& scenario_;
    const VirtualRunOptions& options_;
    ClientModel clients_;
    ServiceModel service_model_;
    InvariantChecker checker_;
    ServiceMetrics metrics_;
    const std::vector<TimelineStep> steps_;
    const std::vector<EndpointNotice> notices_;
    fault_proxy::Rules links_;
    MessageNetwork messages_;
    SidecarActivityLog sidecars_;
    struct OnItsWay {
        std::uint32_t from;
        std::string bytes;
    };
    std::unordered_map<std::uint64_t, OnItsWay> on_their_way_;
    std::uint64_t last_message_ = 0;
    std::vector<Instance> instances_;
    std::vector<ServerInfo> listed_;
    std::vector<std::uint32_t> epochs_;  // by server: its connections of an earlier one are gone
    std::vector<Millis> poll_at_;
    std::priority_queue<Happening, std::vector<Happening>, std::greater<>> queue_;
    std::uint64_t number_ = 0, last_attempt_ = 0, last_idle_ = 0;
    Millis now_ = 0;
    std::size_t next_ask_ = 0, pending_ = 0;
    std::unordered_map<ClientRequestId, ClientRequest> waiting_;
    std::unordered_map<ClientRequestId, OpenTry> open_;
    std::unordered_map<std::uint64_t, Attempt> attempts_;
    std::unordered_map<Ticket, std::uint64_t> tickets_;
    ServerModel::Out out_;
    Report::AfterRestartReport restarted_;
    std::uint64_t connections_ = 0, log_lines_ = 0, log_hash_ = kFnvOffsetBasis;
};

}  // namespace

Report run_virtual_simulation(const Scenario& scenario, const VirtualRunOptions& options) {
    return VirtualRun(scenario, options).run();
}

}  // namespace elmbay::simulation
