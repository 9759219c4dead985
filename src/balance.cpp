// Every decision of hollybeam. The interface is include/hollybeam/balancer.hpp.
//
// The path of a request: on(RequestArrived) takes it and sets its timer; place() looks for room (admission)
// and a server: one whose backoff is over gets it as half-open trial, else pick() draws two live servers and
// takes the one with fewer of our outstanding requests; dispatch() sends it, to run to the client's deadline
// at the longest. If nobody may have it now it is held briefly. on(AttemptEnded) books the outcome in the
// server's window (judge(): removal, return) and places the request again or answers it. finish() is the only
// final answer, may_send() and may_refuse() the only gates: no send and no refusal leaves this file without
// passing them, so whatever is added cannot break a rule.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <unordered_map>

#include "hollybeam/balancer.hpp"
#include "random.hpp"
#include "settings.hpp"

namespace hollybeam {

namespace {

// The mechanism's own figures: io.l5d.successRate as its authors demonstrated it.
constexpr std::size_t kWindow = 20;
constexpr double kThreshold = 0.9;
constexpr Millis kBackoff = 10000;

// A window not yet full is judged as if it held this many successes more: the most with which a first failure
// alone, at 9 of 10, is not below the threshold.
constexpr double kBenefit = 9;
// Fairness: tenants' parts of the traffic are taken from this far back, and believed by so many arrivals.
constexpr Millis kUsageMemory = 10000;
constexpr double kUsagePrior = 15;
constexpr Millis kRateMemory = 5000;  // of what servers complete: long against gaps, short against a warm-up
// Retry budget: a fifth more attempts than requests in the long run, and this many at a stretch.
constexpr double kRetryShare = 0.2, kRetryBurst = 10;
// Admission: attempts out are kept to what brings the mean answer in at this share of its aim: more makes the
// slower answers late, less leaves servers idle. It starts without a bound worth the name.
constexpr double kAimShare = 0.55, kRoomAtStart = 1000, kRoomGain = 0.5;
constexpr double kLeastRoom = 0.25;  // so that a light sidecar goes on hearing from its servers
constexpr double kFeed = 0.7;  // of the multiple that fells a cold server; the rest is for unlike machines
constexpr double kCrowded = 0.35;  // answers take this share of the aim: well above an idle pool
constexpr double kFloor = 4;  // attempts at a server by all sidecars together that admission always leaves
constexpr double kHold = 1.0 / 16;  // of the aim: what cannot go out by then had better be tried anew
// The part of the room that is there for every class, however little its worth, and all that repeats get: a
// repeat's aim has been running since its first try.
constexpr double kCommonRoom = 0.6;
// Aperture: as many servers as our traffic gives a full window of outcomes within a backoff. Never fewer than
// kNarrow, two to choose from when two are lost, and so many that each is in the sight of kSeen sidecars.
constexpr double kNarrow = 4, kSeen = 16;
// Which of two equals is quicker: own answers of late, and those of all servers of the kind.
constexpr Millis kPaceMemory = 10000, kKindMemory = 60000;
constexpr double kKindWeight = 2;      // the kind counts as much as this many answers of the server's own
constexpr Millis kPoolAge = 1000;      // the pool is drawn anew after this at the latest
constexpr Millis kResubscribe = 1000;  // first wait after a failed call for the list; doubles up to 8 of it

bool proves_never_ran(Outcome o) {
    return o == Outcome::saturated || o == Outcome::refused_connection || o == Outcome::superseded;
}

// A count that fades with time.
struct Tally {
    double count = 0;
    Millis at = 0;
    double left(Millis now, Millis memory) const { return count * std::exp((at - now) / memory); }
    void add(Millis now, Millis memory) { count = left(now, memory) + 1, at = now; }
};
// A mean in which samples count less the older they are, and about the last half window of them at most:
// light traffic needs the first, heavy traffic the second.
struct Recent : Tally {
    double value = 0;
    void add(double sample, Millis now, Millis memory) {
        Tally::add(now, memory);
        count = std::min(count, kWindow / 2.0);
        value += (sample - value) / count;
    }
};

enum class Standing { live, removed, trial };

struct Server {
    ServerInfo info;
    std::uint64_t rank = 0;  // in our aperture: drawn once, so that sidecars differ
    bool listed = true;
    int outstanding = 0;
    Standing standing = Standing::live;
    std::deque<bool> window;  // last outcomes, true for success
    Millis backoff_until = 0;
    double tokens = 0;  // sends a cold server may still take
    Millis tokens_at = 0;
    Recent* kind = nullptr;  // pace of all warm servers of its kind
    Recent pace;             // its answers' time against their aim, of late
};

struct Attempt {
    ServerId server = 0;
    ZoneId zone = 0;
    std::uint32_t cell = 0;
    Millis sent_at = 0;
    bool out = true, may_have_run = true, trial = false, cold = false;
    bool timed_out = false;  // we withdrew it because the client's time was up: its server was too slow
};

struct Request {
    RequestId id = 0;
    RequestClass kind;
    Millis deadline = 0;  // the client's
    // When we give up. Not the aim: that makes clients repeat what a server is still working on, while a
    // late answer keeps them quiet. But the aim where a late answer is worth nothing, a failure is never
    // repeated, and our count of what is out, lost for work that goes on, is a small part of any queue
    // anyway.
    Millis cutoff = 0;
    double part = 1;                                                         // of the room, for its tenant
    std::uint64_t order = 0;                                                 // of arrival
    bool repeat = false, ended = false, streaming = false, waiting = false;  // waiting: has its hold timer
    Millis hold_until = 0;  // what waits for room is refused after this
    std::vector<Attempt> attempts;

    bool any_out() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
    }
    const Attempt* first_possible_run() const {
        for (const Attempt& a : attempts)
            if (a.may_have_run) return &a;
        return nullptr;
    }
    bool tried(ServerId server) const {
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const Attempt& a) { return a.server == server; });
    }
};

}  // namespace

struct Balancer::Impl {
    Impl(Settings s, std::uint64_t seed) : settings(std::move(s)), random(seed) {
        validate(settings), usage.resize(settings.tenants.size());
        for (const Tenant& t : settings.tenants) quotas += t.quota;
        for (const RequestClass& c : settings.classes) top_worth = std::max(top_worth, c.worth);
    }

    Settings settings;
    Random random;
    Millis now = 0;
    std::vector<Action>* actions = nullptr;
    std::map<ServerId, Server> servers;
    std::unordered_map<RequestId, Request> requests;                  // never iterated
    std::unordered_map<TimerToken, std::optional<RequestId>> timers;  // none: the list's
    std::uint64_t next_token = 1, next_order = 0;
    Millis resubscribe = kResubscribe;
    double retry_budget = kRetryBurst;
    int outstanding = 0;                    // at servers that were warm when asked
    Recent crowd;                           // answers' time against their aim, at warm servers
    double top_worth = 1e-9, quotas = 0;    // of any class; of all tenants
    double used = 0;                        // the most attempts out of late: a lull must not close the room
    double room = kRoomAtStart;             // attempts that may be outstanding
    std::vector<RequestId> held, done;      // may name finished ones; ended during this event
    std::vector<Tally> usage;               // arrivals by tenant
    Tally arrivals, carried;                // of all tenants; completed by warm servers
    std::map<std::uint32_t, Recent> kinds;  // pace by kind of machine
    std::vector<Server*> ranked;            // all servers, by rank
    std::vector<Server*> pool;              // those of our aperture: live, cold ones on top
    std::vector<Server*> out;               // listed and removed from the pool, or on trial
    std::size_t warm = 0;                   // of the pool
    double width = 0;                       // how many of them there should be
    Millis pool_until = 0;                  // when it has to be drawn anew

    void act(Action action) { actions->push_back(std::move(action)); }

    // ---- The rules: the only gates ----------------------------------------------------------------------

    bool in_scope(const Request& r, const Attempt& a, const ServerInfo& s) const {
        if (r.kind.dedup_scope == DedupScope::all) return true;
        return r.kind.dedup_scope == DedupScope::zone ? a.zone == s.zone : a.cell == s.cell;
    }

    bool may_send(const Request& r, Server& s) {
        if (r.ended || r.streaming || now >= r.deadline) return false;  // rule 1
        if (r.attempts.size() >= settings.max_attempts) return false;
        if (!s.listed || s.info.phase != Phase::on) return false;  // rule 3
        if (r.any_out() && (!settings.parallel_tries || r.kind.effect == Effect::once)) return false;
        if (r.kind.effect == Effect::once && r.first_possible_run()) return false;  // rule 2
        if (r.kind.effect == Effect::by_key)
            if (const Attempt* first = r.first_possible_run()) {
                if (now >= first->sent_at + r.kind.dedup_window) return false;
                for (const Attempt& a : r.attempts)
                    if (a.may_have_run && !in_scope(r, a, s.info)) return false;
            }
        return !is_cold(s) || cold_tokens(s) >= 1;  // rule 4
    }

    bool may_refuse(const Request& r) const {
        const Attempt* first = r.first_possible_run();
        if (r.ended || r.streaming) return false;
        if (!first || r.kind.effect == Effect::repeatable) return true;
        return r.kind.effect == Effect::by_key && r.kind.dedup_scope == DedupScope::all &&
               now < first->sent_at + r.kind.dedup_window;
    }

    // Slow start. A server of age a does at least cold_from of its work, rising evenly to all of it at
    // warm_within. We send it that share of what a warm server carries for us (not of the mean of all: what
    // starting servers lag behind must not halve their feed), so the sum over all sidecars stays within what
    // it can do without agreement among them. Carried, not sent or asked for: in a storm of retries those are
    // many times what a warm server can do.
    bool is_cold(const Server& s) const {
        return settings.warm_within > 0 && s.info.online_since > 0 &&
               now < s.info.online_since + settings.warm_within;
    }
    double carried_rate() const { return carried.left(now, kRateMemory) / kRateMemory; }
    double cold_tokens(Server& s) {
        const double age = std::max(0.0, now - s.info.online_since) / settings.warm_within;
        const double share = settings.cold_from + (1 - settings.cold_from) * std::min(1.0, age);
        // While its answers come in time most of what would push it over; else just its share. Within that
        // its outstanding requests decide, as everywhere.
        const double feed = pace(s) > kAimShare ? 1 : std::max(1.0, kFeed * settings.fall_multiple);
        const double fed = feed * share * carried_rate() / std::max<double>(1, warm);
        // Never less than trials. But all that have it in sight together no more than kFloor in a backoff: a
        // floor for each sidecar adds up, with their number, to what fells it.
        const double sight = settings.siblings * width / std::max<double>(1, ranked.size());
        const double trials = std::min(1.0, kFloor / std::max(1.0, sight)) / kBackoff;
        s.tokens = std::min(s.tokens + (now - s.tokens_at) * std::max(fed, trials), 1.0);
        s.tokens_at = now;
        return s.tokens;
    }

    // ---- Membership -------------------------------------------------------------------------------------

    void on(const Started&) {
        if (settings.list_on_request) act(Subscribe{true});
    }

    void on(const ServerList& list) {
        if (list.kind == ListKind::failed) {
            // The list is one service for all: come back later and not in step with the others.
            set_timer(now + resubscribe * (0.5 + random.unit()), std::nullopt);
            resubscribe = std::min(resubscribe * 2, kResubscribe * 8);
            return;
        }
        if (list.kind != ListKind::saved) resubscribe = kResubscribe;
        if (list.kind != ListKind::incremental)
            for (auto& [id, s] : servers) s.listed = false;
        for (const ServerInfo& info : list.servers) learn(info);
        for (auto it = servers.begin(); it != servers.end();)
            it = !it->second.listed && it->second.outstanding == 0 ? servers.erase(it) : std::next(it);
        ranked.clear();
        for (auto& [id, s] : servers) ranked.push_back(&s);
        std::sort(ranked.begin(), ranked.end(), [](Server* a, Server* b) { return a->rank < b->rank; });
        draw_pool();
        release_held();
    }

    void learn(const ServerInfo& info) {
        const auto [it, fresh] = servers.try_emplace(info.id);
        Server& s = it->second;
        if (fresh) s.rank = random.next();
        if (fresh || info.online_since > s.info.online_since) {
            // An empty bucket, at a different depth for each sidecar: first tokens must not fall together.
            s.tokens = -random.unit();
            s.tokens_at = now;
            s.standing = Standing::live;  // another process under the same name: its record starts anew
            s.window.clear();
        }
        s.info = info;
        s.kind = &kinds[info.kind];
        s.listed = info.phase != Phase::off;
    }

    // Light clients: spread over the whole fleet, a few requests a second never fill a window, never show a
    // queue and open a connection each. So a sidecar keeps to the servers of lowest rank, replaces one that
    // leaves the pool by the next, and adds cold ones on top, as they can take only a part of their share.
    void draw_pool() {
        const double servers_each =
            kSeen * static_cast<double>(ranked.size()) / std::max(1u, settings.siblings);
        const double filled = carried_rate() * kBackoff / kWindow;
        width = std::max({kNarrow, servers_each, filled, 2.0 * outstanding});
        pool.clear();
        out.clear();
        warm = 0;
        pool_until = now + kPoolAge;
        for (Server* s : ranked) {
            if (!s->listed || s->info.phase != Phase::on) continue;
            if (s->standing != Standing::live) {
                out.push_back(s);
            } else if (static_cast<double>(warm) < width) {
                pool.push_back(s);
                warm += !is_cold(*s);
            }
        }
    }

    // ---- Verdict: window, backoff, trial ----------------------------------------------------------------

    void judge(Server& s, const Attempt& a, Outcome outcome, bool late) {
        const bool success = outcome == Outcome::completed && !late;  // past its aim: as good as timed out
        const bool verdict = outcome != Outcome::recalled && outcome != Outcome::superseded;
        if (s.standing == Standing::trial && a.trial) {
            if (!verdict)
                s.standing = Standing::removed;  // undecided: the next request is the trial
            else if (success)
                restore(s);
            else
                remove(s);
            return;
        }
        if (!verdict || s.standing != Standing::live) return;
        s.window.push_back(success);
        if (s.window.size() > kWindow) s.window.pop_front();
        if (!success && below_threshold(s) && may_remove(late || outcome == Outcome::overdue)) remove(s);
    }

    // Shared slowness makes every server fail, and removing them all makes it an outage. So a server is held
    // against the others: 0.9 of their success share, less three standard errors of a window of that share.
    // While the others don't fail, this is 0.9 and nothing else.
    bool below_threshold(const Server& s) const {
        const double level = level_without(s);
        const double noise = std::sqrt(level * (1 - level) / static_cast<double>(kWindow));
        const double filled = static_cast<double>(s.window.size());
        const double benefit = std::min(kBenefit, kWindow - filled);
        return (successes(s) + benefit) / (filled + benefit) < kThreshold * level - 3 * noise;
    }

    double level_without(const Server& s) const {
        double good = 0, all = 0;
        for (const Server* other : pool)
            if (other != &s) {
                good += successes(*other);
                all += static_cast<double>(other->window.size());
            }
        return all > 0 ? good / all : 1;
    }

    static double successes(const Server& s) {
        return static_cast<double>(std::count(s.window.begin(), s.window.end(), true));
    }

    // Panic threshold: half of the listed servers stay in the pool, whatever their windows say, and three
    // quarters if it is for slow answers: in a crowd the slow machines are still needed.
    bool may_remove(bool slow) const {
        const auto listed = std::count_if(ranked.begin(), ranked.end(), [](Server* s) { return s->listed; });
        return (slow ? 4 : 2) * (out.size() + 1) <= static_cast<std::size_t>(listed);
    }

    void remove(Server& s) {
        if (s.standing == Standing::live) act(Log{"removed from the pool", s.info.id});
        s.standing = Standing::removed;
        s.backoff_until = now + kBackoff;
        draw_pool();
    }

    void restore(Server& s) {
        s.standing = Standing::live;
        s.window.clear();
        draw_pool();
        act(Log{"restored after a trial", s.info.id});
    }

    // ---- Pick -------------------------------------------------------------------------------------------

    Server* due_trial(const Request& r) {
        for (Server* s : out)
            if (s->standing == Standing::removed && now >= s->backoff_until && may_send(r, *s)) return s;
        return nullptr;
    }

    Server* pick(const Request& r, bool admitted) {
        std::vector<Server*> live, again;
        for (Server* s : pool)
            if ((admitted || is_cold(*s)) && may_send(r, *s))
                (r.tried(s->info.id) ? again : live).push_back(s);
        if (live.empty()) live.swap(again);
        if (live.empty()) return nullptr;
        // Where crossing costs and there is no crowd, one is of our zone: it wins ties, and with one request
        // more where our part of the fee exceeds the chance of a late answer.
        const auto in_my_zone = [this](const Server* s) { return s->info.zone == *settings.my_zone; };
        std::size_t near = 0;
        if (settings.fees.cross_zone > 0 && settings.my_zone && crowd.value <= kCrowded)
            near = std::stable_partition(live.begin(), live.end(), in_my_zone) - live.begin();
        const std::size_t first = random.below(near > 0 ? near : live.size());
        if (live.size() == 1) return live[first];
        std::size_t second = random.below(live.size() - 1);
        if (second >= first) ++second;
        const Server &a = *live[first], &b = *live[second];
        const bool nearer = near > 0 && second >= near;
        const int grace = nearer && our_part() * settings.fees.cross_zone > std::exp(-1 / crowd.value);
        const bool other = b.outstanding + grace < a.outstanding ||
                           (b.outstanding == a.outstanding && !nearer && pace(b) < pace(a));
        return live[other ? second : first];
    }

    // What answers from this server take of their aim: its own and, while they are few, those of its kind.
    double pace(const Server& s) const {
        const double own = s.pace.left(now, kPaceMemory), kind = s.kind->value;
        return (own * s.pace.value + kKindWeight * kind) / (own + kKindWeight);
    }

    // ---- Admission --------------------------------------------------------------------------------------

    // Little's law: a bound on what is out bounds the time it takes. The bound follows how long answers take
    // against their aim; errors say nothing about crowding, and it only grows while it is used.
    void adapt_room(Server& s, const Request& r, const AttemptEnded& e) {
        const bool turned_away = e.outcome == Outcome::saturated;
        if (!turned_away && e.outcome != Outcome::completed && e.outcome != Outcome::overdue) return;
        const double ratio = turned_away ? 1.5 : std::min(1.5, std::max(0.0, e.duration) / r.kind.aim);
        s.pace.add(ratio, now, kPaceMemory);
        if (is_cold(s)) return;  // slow by nature: it says nothing of the pool
        s.kind->add(ratio, now, kKindMemory);
        crowd.add(ratio, now, kRateMemory);
        used = std::max<double>(used + (outstanding - used) * 2 / kWindow, outstanding);
        const double step = kRoomGain * (kAimShare - crowd.value);
        if (step < 0)
            room = std::max(room_floor(), std::min(room, used + 1.0) + step * std::min(1.0, room));
        else
            room = std::min(kRoomAtStart, room + step);
    }

    // Where slow service alone takes that long, refusing more does not help and idles the servers: one
    // attempt for each warm live server is always allowed, and with many sidecars our part of kFloor. That
    // may be less than one: a thousand sidecars with one attempt each are a jam.
    double room_floor() const { return std::max(kLeastRoom, our_part() * static_cast<double>(warm)); }
    double our_part() const { return std::min(1.0, kFloor / std::max(1u, settings.siblings)); }

    // Fairness: each tenant's part of the traffic we see against its part of all quotas. What we see is a
    // sample of the whole, so who sends most beyond its share is known here, though not how much of it.
    double part_of(const RequestArrived& e) {
        if (!e.tenant || *e.tenant >= usage.size() || quotas == 0) return 1;
        const double fair = settings.tenants[*e.tenant].quota / quotas;
        arrivals.add(now, kUsageMemory);
        usage[*e.tenant].add(now, kUsageMemory);
        return std::min(
            1.0, fair * (arrivals.count + kUsagePrior) / (usage[*e.tenant].count + fair * kUsagePrior));
    }

    // Worth: the class worth most may fill the room, the others leave it part of theirs.
    bool has_room(const Request& r) {
        const double mine = room * (crowd.value > kCrowded ? r.part : 1) *
                            (kCommonRoom + (1 - kCommonRoom) * r.kind.worth / top_worth * (r.repeat ? 0 : 1));
        return outstanding < mine && random.unit() <= mine;
    }

    // What is worth most goes first, then what came last: under a crowd the oldest has least use left.
    void release_held() {
        if (held.empty() || outstanding >= room) return;
        std::vector<RequestId> waiting;
        waiting.swap(held);
        std::erase_if(waiting, [&](RequestId id) {
            const auto it = requests.find(id);
            return it == requests.end() || it->second.ended || it->second.any_out();
        });
        std::sort(waiting.begin(), waiting.end(), [&](RequestId a, RequestId b) {
            const Request &l = requests.at(a), &r = requests.at(b);
            return l.kind.worth != r.kind.worth ? l.kind.worth > r.kind.worth : l.order > r.order;
        });
        for (const RequestId id : waiting) place(requests.at(id));
    }

    // ---- A request --------------------------------------------------------------------------------------

    void on(const RequestArrived& e) {
        const auto [it, fresh] = requests.try_emplace(e.id);
        if (!fresh) return;
        Request& r = it->second;
        r.id = e.id, r.repeat = e.repeat, r.order = next_order++;
        r.kind.aim = std::max(1.0, e.time_left);  // an unknown class is handled with most care, as once
        if (e.class_index < settings.classes.size()) r.kind = settings.classes[e.class_index];
        r.kind.aim += r.kind.aim_stretch * std::max(0.0, e.effort);
        r.deadline = now + (std::isfinite(e.time_left) ? std::max(0.0, e.time_left) : 0.0);
        const bool cut = r.kind.late_worth == 0 && r.kind.effect == Effect::once && width < ranked.size();
        r.cutoff = cut ? std::min(r.deadline, now + r.kind.aim) : r.deadline;
        retry_budget = std::min(retry_budget + kRetryShare, kRetryBurst);
        r.part = part_of(e);
        r.hold_until = std::min(r.deadline, now + r.kind.aim * kHold);
        if (e.no_place) return finish(r);
        set_timer(r.deadline, r.id);
        place(r);
    }

    void place(Request& r) {
        if (now >= pool_until || outstanding > width) draw_pool();
        const bool admitted = has_room(r);
        if (Server* s = admitted ? due_trial(r) : nullptr) return dispatch(r, *s);
        if (Server* s = pick(r, admitted)) return dispatch(r, *s);
        // Nobody may have it now. If one may later, hold it: at hold_until the timer answers.
        if (r.any_out()) return;
        if (now >= r.hold_until || r.attempts.size() >= settings.max_attempts ||
            (r.first_possible_run() && r.kind.effect == Effect::once))
            return finish(r);
        held.push_back(r.id);
        if (r.waiting) return;
        r.waiting = true;
        set_timer(r.hold_until, r.id);
    }

    void dispatch(Request& r, Server& s) {
        const bool trial = s.standing == Standing::removed, cold = is_cold(s);
        if (trial) s.standing = Standing::trial;
        if (cold) s.tokens -= 1;
        if (!r.attempts.empty()) retry_budget -= 1;
        ++s.outstanding;
        outstanding += !cold;
        r.attempts.push_back({s.info.id, s.info.zone, s.info.cell, now, true, true, trial, cold});
        act(Send{r.id, s.info.id, r.cutoff});
    }

    void on(const FirstByte& e) {
        const auto it = requests.find(e.id);
        if (it != requests.end() && e.attempt < it->second.attempts.size()) it->second.streaming = true;
    }

    void book(Server& s, const Request& r, const Attempt& a, const AttemptEnded& e) {
        --s.outstanding;
        adapt_room(s, r, e);
        if (e.outcome == Outcome::completed && !a.cold) carried.add(now, kRateMemory);
        judge(s, a, e.outcome, e.duration > r.kind.aim && !is_cold(s));
    }

    void on(AttemptEnded e) {
        const auto it = requests.find(e.id);
        if (it == requests.end() || e.attempt >= it->second.attempts.size()) return;
        Request& r = it->second;
        Attempt& a = r.attempts[e.attempt];
        if (!a.out) return;
        // Our own timer and the attempt's end fall on the same moment. Whichever comes first, a server that
        // let the client's time run out has failed: else one that answers nothing is never found out.
        if (a.timed_out && e.outcome == Outcome::recalled) e.outcome = Outcome::overdue;
        a.out = false;
        outstanding -= !a.cold;
        a.may_have_run = !proves_never_ran(e.outcome);
        if (const auto at = servers.find(a.server); at != servers.end()) {
            book(at->second, r, a, e);
            if (!at->second.listed && at->second.outstanding == 0)
                std::erase(ranked, &at->second), servers.erase(at);
        }
        if (e.request_ended) r.ended = true;
        if (r.ended) done.push_back(r.id);
        // Without a retry budget each request asks a crowded pool as often as the limits allow.
        if (now >= r.cutoff || (!r.any_out() && retry_budget < 1))
            finish(r);
        else if (!r.ended && !r.any_out())
            place(r);
        release_held();
    }

    void on(const ClientGone& e) {
        const auto it = requests.find(e.id);
        if (it == requests.end()) return;
        cancel_all(it->second);
        it->second.ended = true;
        done.push_back(e.id);
    }

    // The only final answer: a refusal where that is true, else a failure.
    void finish(Request& r) {
        if (r.ended || r.streaming) return;
        for (Attempt& a : r.attempts) a.timed_out = a.out && now >= r.deadline;
        cancel_all(r);
        if (may_refuse(r))
            act(Refuse{r.id, retry_in(r)});
        else
            act(GiveUp{r.id});
        r.ended = true;
        done.push_back(r.id);
    }

    // When to come back: what is out now has half its time left in the mean, and then leaves its place. No
    // sooner than what we would have held the request for.
    Millis retry_in(const Request& r) const {
        return r.kind.aim * std::max(kHold, std::min(1.0, crowd.value) / 2);
    }

    void cancel_all(const Request& r) {
        for (std::uint32_t i = 0; settings.may_cancel && i < r.attempts.size(); ++i)
            if (r.attempts[i].out) act(Cancel{r.id, i});
    }

    // After each event: what has its answer and nothing out leaves no trace.
    void forget_done() {
        for (const RequestId id : done) {
            const auto it = requests.find(id);
            if (it != requests.end() && it->second.ended && !it->second.any_out()) requests.erase(it);
        }
        done.clear();
    }

    // ---- Timers and the rest ----------------------------------------------------------------------------

    void set_timer(Millis at, std::optional<RequestId> request) {
        timers[next_token] = request;
        act(SetTimer{at, next_token++});
    }

    void on(const TimerFired& e) {
        const auto timer = timers.find(e.token);
        if (timer == timers.end()) return;
        const std::optional<RequestId> id = timer->second;
        timers.erase(timer);
        if (!id) return act(Subscribe{true});
        const auto it = requests.find(*id);
        if (it == requests.end() || it->second.ended) return;
        if (now >= it->second.deadline)
            finish(it->second);
        else if (!it->second.any_out())
            place(it->second);
    }
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(Millis now, const Event& event, std::vector<Action>& actions) {
    if (std::isfinite(now)) impl_->now = std::max(impl_->now, now);  // one bad clock reading must not stay
    impl_->actions = &actions;
    std::visit([this](const auto& e) { impl_->on(e); }, event);
    impl_->forget_done();
}

Balancer::Held Balancer::held() const {
    return {impl_->requests.size(), impl_->servers.size(), impl_->timers.size()};
}

}  // namespace hollybeam
