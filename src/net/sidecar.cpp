#include "net/sidecar.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iostream>

namespace elmbay {

namespace {

using namespace hollybeam;

// The answer has to be with the client when its patience ends, so it leaves this much earlier.
constexpr Millis kAnswerMargin = 8;
// Zones, or kinds of machine: a deployment has a handful of each.
constexpr std::size_t kMostNames = 256;
// A hundred times the fleet. A list that only ever adds must not fill the memory.
constexpr std::size_t kMostServers = 2048;
// Descriptors that the process needs beside those counted: standard streams, epoll, timer, signals, listener.
constexpr std::size_t kOwnDescriptors = 24;

std::size_t socket_limit(std::size_t configured) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        configured = std::min<std::size_t>(configured, limit.rlim_cur);
    return std::max<std::size_t>(configured, kOwnDescriptors + 8) - kOwnDescriptors;
}

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config)
    : config_(std::move(config)),
      timers_(io, clock_),
      budget_(socket_limit(config_.sockets)),
      balancer_(config_.site.settings, config_.seed),
      upstream_(io, budget_, timers_, clock_, {config_.site.connect_timeout, config_.site.idle_close},
                [this](AttemptKey key, Outcome outcome, Millis duration, HttpResponse response) {
                    attempt_ended(key, outcome, duration, std::move(response));
                }),
      discovery_(io, config_.discovery, budget_, timers_, clock_, config_.known.rev, config_.seed,
                 !config_.site.settings.list_on_request,
                 {[this](const Listing& listing) {
                      listed(listing.all ? ListKind::full : ListKind::incremental, listing);
                  },
                  // Where lists are pushed the watch comes back by itself; else the module says when.
                  [this] {
                      if (config_.site.settings.list_on_request) give(ServerList{ListKind::failed, {}});
                  }}),
      listener_(io, config_.listen, budget_, timers_, clock_,
                {[this](const RequestHead& head) { return problem_of(head, config_.site); },
                 [this](RequestId id, HttpRequest request) { arrived(id, std::move(request)); },
                 [this](RequestId id) { gone(id); }, [this] { return ready_; }}) {
    give(Started{});
    listed(ListKind::saved, std::exchange(config_.known, {}));
    if (!config_.site.settings.list_on_request) discovery_.watch();
}

void Sidecar::reload(const Config& config) {
    budget_.set_limit(socket_limit(config.sockets));
    discovery_.move_to(config.discovery);
}

void Sidecar::drain(std::function<void()> done) { listener_.drain(std::move(done)); }

// ---- Events -----------------------------------------------------------------------------------------------

void Sidecar::arrived(RequestId id, HttpRequest request) {
    const RequestArrived event = describe(id, request, config_.site, kAnswerMargin);
    requests_[id].message = std::make_shared<const HttpRequest>(for_server(std::move(request)));
    give(event);
}

void Sidecar::gone(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.over) return;
    at->second.over = true;
    give(ClientGone{id});
    settle(id);
}

void Sidecar::attempt_ended(AttemptKey key, Outcome outcome, Millis duration, HttpResponse response) {
    const auto at = requests_.find(key.request);
    if (at == requests_.end()) return;
    Request& r = at->second;
    --r.out;
    r.last = outcome;
    if (outcome == Outcome::completed && !r.over) {
        HttpResponse served(http::status::ok, 11);
        if (const auto type = response[http::field::content_type]; !type.empty())
            served.set(http::field::content_type, type);
        served.body() = std::move(response.body());
        answer(key.request, std::move(served));
    }
    give(AttemptEnded{key.request, key.number, outcome, duration, r.over});
    settle(key.request);
}

// One address, one process. The list may tell of a new server there before it tells that the old one has
// gone: what went to the old one's name would reach the new one, cold and unasked. The one that started last
// has the address.
void Sidecar::displace(const Target& t, Known& arrived, ServerList& list) {
    for (auto& [uid, other] : servers_) {
        if (&other == &arrived || !other.listed || other.endpoint != t.endpoint) continue;
        Known& gone = other.info.online_since > t.online_since ? arrived : other;
        gone.listed = false;
        gone.info.phase = Phase::off;
        if (&gone == &arrived) return;
        list.servers.push_back(gone.info);
        upstream_.set_server(gone.id, {}, false);
    }
}

// The list's words for zones and kinds are kept for good: one that goes on making up new ones must not fill
// the memory.
std::uint32_t Sidecar::name_number(std::vector<std::string>& names, const std::string& name) {
    const bool known = std::find(names.begin(), names.end(), name) != names.end();
    return known || names.size() < kMostNames ? number_of(names, name) : 0;
}

void Sidecar::listed(ListKind kind, const Listing& listing) {
    ServerList list{kind, {}};
    if (kind != ListKind::incremental)
        for (auto& [uid, known] : servers_) known.listed = false;
    for (const Target& t : listing.targets) {
        if (!servers_.contains(t.uid)) {
            if (t.phase == Phase::off) continue;  // never known, or already forgotten
            if (servers_.size() >= kMostServers) continue;
        }
        Known& known = servers_[t.uid];
        if (known.id == 0) known.id = next_server_++;
        known.info = {known.id,
                      name_number(config_.site.zones, t.zone),
                      name_number(config_.site.kinds, t.kind),
                      t.cell,
                      t.phase,
                      t.online_since};
        known.listed = t.phase != Phase::off;
        known.endpoint = t.endpoint;
        if (known.listed) displace(t, known, list);
        list.servers.push_back(known.info);
        // The sockets hear of a drain before the module acts on it: nothing waiting may slip out.
        upstream_.set_server(known.id, t.endpoint, known.info.phase == Phase::on, t.online_since);
        if (t.phase == Phase::on) ready_ = true;
    }
    for (const auto& [uid, known] : servers_)
        if (!known.listed) upstream_.set_server(known.id, {}, false);
    give(std::move(list));
    std::erase_if(servers_, [this](const auto& entry) {
        if (entry.second.listed || upstream_.attempts_at(entry.second.id) > 0) return false;
        upstream_.forget_server(entry.second.id);
        return true;
    });
}

// ---- The module -------------------------------------------------------------------------------------------

void Sidecar::give(Event event) {
    events_.push_back(std::move(event));
    if (handling_) return;  // an action brought it about: it comes after this event's other actions
    handling_ = true;
    // Should anything throw on the way, later events must still be handled.
    const std::unique_ptr<bool, void (*)(bool*)> handled(&handling_, [](bool* flag) { *flag = false; });
    std::vector<Action> actions;
    while (!events_.empty()) {
        const Event next = std::move(events_.front());
        events_.pop_front();
        actions.clear();
        balancer_.handle(clock_.now(), next, actions);
        for (const Action& action : actions) run(action);
    }
}

void Sidecar::run(const Action& action) {
    std::visit(
        Overloaded{[this](const Send& a) {
                       const auto at = requests_.find(a.id);
                       if (at == requests_.end()) return;
                       ++at->second.out;
                       upstream_.start({a.id, at->second.sent++}, a.server, a.try_until, at->second.message);
                   },
                   [this](const Cancel& a) {
                       upstream_.cancel({a.id, a.attempt});
                   },
                   [this](const Refuse& a) {
                       HttpResponse response(http::status::service_unavailable, 11);
                       if (a.retry_in > 0) {
                           char seconds[32];
                           std::snprintf(seconds, sizeof seconds, "%.3f", a.retry_in / 1000);
                           response.set(http::field::retry_after, seconds);
                       }
                       response.body() = "refused: trying again is harmless\n";
                       answer(a.id, std::move(response));
                       settle(a.id);
                   },
                   [this](const GiveUp& a) {
                       const auto at = requests_.find(a.id);
                       const bool timed_out = at != requests_.end() &&
                                              (at->second.out > 0 || at->second.last == Outcome::overdue);
                       HttpResponse response(
                           timed_out ? http::status::gateway_timeout : http::status::bad_gateway, 11);
                       response.body() = "failed\n";
                       answer(a.id, std::move(response));
                       settle(a.id);
                   },
                   [this](const SetTimer& a) {
                       timers_.set(a.at, [this, token = a.token] { give(TimerFired{token}); });
                   },
                   [this](const Subscribe& a) { a.active ? discovery_.watch() : discovery_.stop(); },
                   [](const Log&) {}},
        action);
}

// The only way to the client: the first answer is the final one.
void Sidecar::answer(RequestId id, HttpResponse response) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.over) return;
    at->second.over = true;
    listener_.answer(id, std::move(response));
}

// What has its answer and nothing out leaves no trace.
void Sidecar::settle(RequestId id) {
    const auto at = requests_.find(id);
    if (at != requests_.end() && at->second.over && at->second.out == 0) requests_.erase(at);
}

}  // namespace elmbay
