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
// Descriptors that the process needs beside those counted: standard streams, epoll, timer, signals, listener.
constexpr std::size_t kOwnDescriptors = 24;

std::size_t socket_limit(std::size_t configured) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        configured = std::min<std::size_t>(configured, limit.rlim_cur);
    return std::max<std::size_t>(configured, kOwnDescriptors + 8) - kOwnDescriptors;
}

std::string_view field(const HttpRequest& request, const char* name) {
    const auto value = request[name];
    return {value.data(), value.size()};
}

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace

std::optional<Millis> parse_time_left(std::string_view text) {
    if (text.empty()) return {};
    const char unit = text.back();
    if (unit != 'm' && unit != 'u') return {};
    double value = 0;
    const char* end = text.data() + text.size() - 1;
    const auto [at, wrong] = std::from_chars(text.data(), end, value);
    if (wrong != std::errc() || at != end || !std::isfinite(value) || value < 0) return {};
    return unit == 'u' ? value / 1000 : value;
}

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
                {[this](RequestId id, HttpRequest request) { arrived(id, std::move(request)); },
                 [this](RequestId id) { gone(id); }, [this] { return ready_; }}) {
    give(Started{});
    listed(ListKind::saved, std::exchange(config_.known, {}));
    if (!config_.site.settings.list_on_request) discovery_.watch();
}

void Sidecar::reload(const Config& config) { discovery_.move_to(config.discovery); }

void Sidecar::drain(std::function<void()> done) { listener_.drain(std::move(done)); }

// ---- Events -----------------------------------------------------------------------------------------------

void Sidecar::arrived(RequestId id, HttpRequest request) {
    const RequestArrived event = describe(id, request);
    remove_hop_by_hop(request);
    requests_[id].message = std::make_shared<const HttpRequest>(std::move(request));
    give(event);
}

// Whatever is missing, unknown or contradicts itself gets the most careful handling: as unsafe to repeat.
RequestArrived Sidecar::describe(RequestId id, const HttpRequest& request) const {
    const Site& site = config_.site;
    RequestArrived event;
    event.id = id;
    const auto at = std::find(site.classes.begin(), site.classes.end(), field(request, "X-Service-Class"));
    const auto index = static_cast<std::size_t>(at - site.classes.begin());
    event.class_index = static_cast<std::uint32_t>(index);
    Millis longest = 0;
    if (index < site.give_up.size())
        longest = site.give_up[index];
    else if (!site.give_up.empty())
        longest = *std::min_element(site.give_up.begin(), site.give_up.end());
    const std::optional<Millis> left = parse_time_left(field(request, "X-Time-Left"));
    event.time_left = std::max(1.0, left.value_or(longest) - kAnswerMargin);
    constexpr auto careful = static_cast<std::uint32_t>(-1);
    if (!left) event.class_index = careful;
    if (index < site.classes.size()) {
        const Effect effect = site.settings.classes[index].effect;
        if (effect == Effect::by_key && field(request, "Idempotency-Key").empty())
            event.class_index = careful;
        if (effect == Effect::repeatable && request.method() != http::verb::get) event.class_index = careful;
    }
    if (const auto account = field(request, "X-Account"); !account.empty()) {
        const auto tenant = std::find(site.tenants.begin(), site.tenants.end(), account);
        if (tenant != site.tenants.end())
            event.tenant = static_cast<std::uint32_t>(tenant - site.tenants.begin());
    }
    const auto hint = field(request, "X-Weight-Hint");
    double micros = 0;
    const auto [end, wrong] = std::from_chars(hint.data(), hint.data() + hint.size(), micros);
    if (wrong == std::errc() && end == hint.data() + hint.size() && std::isfinite(micros))
        event.effort = std::max(0.0, micros / 1000);
    event.repeat = field(request, "X-Repeat") == "1";
    return event;
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
        remove_hop_by_hop(response);
        answer(key.request, std::move(response));
    }
    give(AttemptEnded{key.request, key.number, outcome, duration, r.over});
    settle(key.request);
}

void Sidecar::listed(ListKind kind, const Listing& listing) {
    ServerList list{kind, {}};
    std::map<std::string, Known> before;
    if (kind != ListKind::incremental)
        for (auto& [uid, known] : servers_) known.listed = false;
    for (const Target& t : listing.targets) {
        Known& known = servers_[t.uid];
        if (known.id == 0) known.id = next_server_++;
        known.listed = t.phase != Phase::off;
        list.servers.push_back({known.id, number_of(config_.site.zones, t.zone),
                                number_of(config_.site.kinds, t.kind), t.cell, t.phase, t.online_since});
        // The sockets hear of a drain before the module acts on it: nothing waiting may slip out.
        upstream_.set_server(known.id, t.endpoint, t.phase == Phase::on);
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
