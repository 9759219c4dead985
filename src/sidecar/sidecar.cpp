#include "sidecar/sidecar.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "websocket/handshake.hpp"

namespace elmbay {

namespace {

using namespace elmbay::balancer;
using Error = boost::system::error_code;

// The answer has to be with the client when its patience ends, so it leaves this much earlier.
constexpr Millis kAnswerMargin = 8;
// Each server that is listed can be kept over a restart, and no list is cut shorter than what there is place
// for.
static_assert(EndpointRegistry::kMaxListed <= state::kMaxServers);
static_assert(EndpointRegistry::kMaxEntries <= kMaxTargets);
// A list with too many servers may be told again and again; the log has one line for all of this time.
constexpr Millis kSayPassedOverEvery = 60000;
// Messages beyond the usual size have this part of the memory. All else takes some MB: half as much again is
// left for the allocator, which does not give back at once.
constexpr std::size_t kLongShare = 4;
// Descriptors that the process needs beside those counted: standard streams, epoll, timer, signals, listener.
constexpr std::size_t kOwnDescriptors = 24;

std::size_t socket_limit(std::size_t configured) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY)
        configured = std::min<std::size_t>(configured, limit.rlim_cur);
    return std::max<std::size_t>(configured, kOwnDescriptors + 8) - kOwnDescriptors;
}

cluster::PeerAddress peer_address(const std::string& text, const char* key) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    Error error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const bool read = colon != std::string::npos && !error &&
                      std::from_chars(text.data() + colon + 1, end, port).ptr == end && port > 0;
    if (!read) throw ConfigError(std::string("[cluster] ") + key + ": '" + text + "' is not address:port");
    return {address, port};
}

// The operator's file goes before the platform's configuration, where it says anything.
cluster::Driver::Setup cluster_setup(const Config& config, const cluster::Settings& settings) {
    cluster::Driver::Setup setup;
    if (!settings.listen.empty())
        setup.listen = peer_address(settings.listen, "listen");
    else if (config.peer_listen)
        setup.listen = *config.peer_listen;
    else
        throw ConfigError("[cluster] listen: neither it nor peer_listen of the configuration is there");
    setup.peers = config.peers;
    if (!settings.peers.empty()) setup.peers.clear();
    for (const std::string& peer : settings.peers) setup.peers.push_back(peer_address(peer, "peers"));
    setup.self = settings.peers.empty() && config.deployment.my_number
                     ? *config.deployment.my_number
                     : static_cast<std::uint32_t>(settings.number);
    if (setup.peers.empty())
        throw ConfigError("[cluster] peers: neither they nor those of the configuration are there");
    if (setup.self >= setup.peers.size())
        throw ConfigError("[cluster] number: " + std::to_string(setup.self) + " is beyond the " +
                          std::to_string(setup.peers.size()) + " peers");
    setup.siblings = config.deployment.settings.siblings;
    setup.seed = config.seed ^ 0x636c7573746572;  // its own chance: the module's must not change with it
    setup.period = settings.period;
    return setup;
}

Millis longest_deadline(const DeploymentSettings& deployment) {
    return deployment.client_timeouts.empty()
               ? 0
               : *std::max_element(deployment.client_timeouts.begin(), deployment.client_timeouts.end());
}

// A list that names nobody, in the version that every list begins with, is none.
std::optional<std::uint64_t> held_rev(const Listing& known) {
    if (known.rev == 0 && known.targets.empty()) return {};
    return known.rev;
}

Config with_sessions(Config config, const websocket::Settings& websocket) {
    const auto bound = [](std::uint64_t n) {
        return static_cast<std::uint32_t>(std::min<std::uint64_t>(n, UINT32_MAX));
    };
    config.deployment.settings.max_sessions = websocket.on ? bound(websocket.most) : 0;
    config.deployment.settings.max_sessions_per_server = bound(websocket.most_at_server);
    return config;
}

SocketBudget budget_of(const Config& config, const websocket::Settings& websocket) {
    SocketBudget budget(0);
    if (websocket.on) budget.want_for_sessions(2 * websocket.most);
    budget.set_limit(socket_limit(config.sockets));
    return budget;
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config, std::optional<RestoredState> remembered,
                 const websocket::Settings& websocket, Clock clock)
    : io_(io),
      clock_(clock),
      config_(with_sessions(std::move(config), websocket)),
      timers_(io, clock_),
      budget_(budget_of(config_, websocket)),
      bytes_(config_.memory / kLongShare),
      engine_(config_.deployment.settings, config_.seed, *this),
      servers_(config_.deployment.zones, config_.deployment.machine_types),
      upstream_(io, budget_, bytes_, timers_, clock_,
                {config_.deployment.connect_timeout, config_.deployment.idle_close},
                [this](AttemptKey key, Outcome outcome, Millis duration, HttpResponse response) {
                    on_attempt_ended(key, outcome, duration, std::move(response));
                },
                {[this] { return discovery_.unread(); },
                 [this](RequestId id) { return listener_.client_disconnected(id); }}),
      websocket_(!websocket.on ? nullptr
                               : std::make_unique<websocket::Front>(
                                     io, budget_, timers_, clock_, websocket,
                                     config_.deployment.connect_timeout, config_.seed,
                                     websocket::Front::Handlers{
                                         [this](AttemptKey key, Outcome outcome, Millis duration) {
                                             engine_.on_attempt_ended(clock_.now(), key, outcome, duration);
                                         },
                                         [this](RequestId id) { gone(id); },
                                         [this](RequestId id, bool broken) {
                                             engine_.on_session_ended(clock_.now(), id, broken);
                                         }})),
      discovery_(
          io,
          {config_.discovery, held_rev(config_.known), config_.seed,
           config_.deployment.settings.list_on_request ? Discovery::Mode::asked : Discovery::Mode::pushed},
          budget_, timers_, clock_,
          [this](const Listing& listing) {
              listed(listing.all ? ListKind::snapshot : ListKind::incremental, listing);
          }),
      listener_(io, config_.listen, budget_, bytes_, timers_, clock_, longest_deadline(config_.deployment),
                listener_handlers(websocket)) {
    engine_.begin(clock_.now());
    if (remembered) restore_state(std::move(*remembered));
    listed(ListKind::cached, std::exchange(config_.known, {}));
    if (!config_.deployment.settings.list_on_request) discovery_.watch();
}

Listener::Handlers Sidecar::listener_handlers(const websocket::Settings& settings) {
    Listener::Handlers handlers{
        [this](const RequestHead& head) { return validate_request(head, config_.deployment); },
        [this](RequestId id, HttpRequest request, ReceivedRequest received) {
            arrived(id, std::move(request), received);
        },
        [this](RequestId id) { gone(id); }, [this] { return ready_; }};
    if (!settings.on) return handlers;
    handlers.validate = [this, origins = settings.origins](const RequestHead& head) {
        return websocket::asks_upgrade(head) ? websocket::validate_upgrade(head, config_.deployment, origins)
                                             : validate_request(head, config_.deployment);
    };
    handlers.is_upgrade = websocket::asks_upgrade;
    handlers.on_upgrade = [this](RequestId id, asio::ip::tcp::socket client, HttpRequest request,
                                 ReceivedRequest received) {
        upgraded(id, std::move(client), std::move(request), received);
    };
    return handlers;
}

// The module knows servers by numbers, and numbers don't last: each name gets one before a list names it.
void Sidecar::restore_state(RestoredState remembered) {
    balancer::LearnedState& learned_state = remembered.snapshot.learned_state;
    for (std::size_t i = 0; i < learned_state.servers.size() && i < remembered.snapshot.uids.size(); ++i)
        learned_state.servers[i].server = servers_.reserve(remembered.snapshot.uids[i]);
    engine_.restore_state(clock_.now(), std::move(learned_state), remembered.age);
}

state::Snapshot Sidecar::snapshot() const {
    state::Snapshot snapshot{config_.name, {}, engine_.learned_state(clock_.now()), {}};
    std::unordered_map<ServerId, const std::string*> names;
    for (const auto& [uid, entry] : servers_.entries())
        if (uid.size() <= state::kMaxNameBytes) names[entry.info.id] = &uid;
    std::vector<LearnedServerState> named;
    for (LearnedServerState& s : snapshot.learned_state.servers) {
        const auto name = names.find(s.server);
        if (name == names.end()) continue;
        s.server = static_cast<std::uint32_t>(snapshot.uids.size());
        snapshot.uids.push_back(*name->second);
        named.push_back(s);
    }
    snapshot.learned_state.servers = std::move(named);
    return snapshot;
}

nlohmann::json Sidecar::status() {
    const balancer::LearnedState learned_state = engine_.learned_state(clock_.now());
    std::unordered_map<ServerId, const LearnedServerState*> learned;
    for (const LearnedServerState& s : learned_state.servers) learned[s.server] = &s;
    nlohmann::json servers = nlohmann::json::array();
    for (const auto& [uid, entry] : servers_.entries()) {
        const char* state = !entry.listed                                 ? "left"
                            : entry.info.state == EndpointState::draining ? "leaving"
                                                                          : "active";
        nlohmann::json server = {{"uid", uid}, {"state", state}, {"boot_ms", entry.info.online_since}};
        server["attempts"] = upstream_.attempts_at(entry.info.id);
        if (const auto at = learned.find(entry.info.id); at != learned.end()) {
            server["removed"] = at->second->ejection_remaining_ms.has_value();
            server["outcomes"] = at->second->outcome_count;
        }
        servers.push_back(std::move(server));
    }
    nlohmann::json told = {{"name", config_.name},
                           {"version", ELMBAY_VERSION},
                           {"pid", ::getpid()},
                           {"now_ms", clock_.wall()},
                           {"ready", ready_},
                           {"siblings", config_.deployment.settings.siblings},
                           {"requests",
                            {{"open", engine_.requests()},
                             {"taken", counts_.taken},
                             {"served", counts_.served},
                             {"refused", counts_.refused},
                             {"failed", counts_.failed},
                             {"gone", counts_.gone}}},
                           {"sockets",
                            {{"clients", budget_.used(elmbay::Side::clients)},
                             {"servers", budget_.used(elmbay::Side::servers)},
                             {"sessions", budget_.used(elmbay::Side::sessions)}}},
                           {"room", learned_state.concurrency_limit},
                           {"crowd", learned_state.load_ratio.value},
                           {"servers", std::move(servers)}};
    if (cluster_) told["cluster"] = cluster_->status();
    return told;
}

void Sidecar::reload(const Config& config) {
    budget_.set_limit(socket_limit(config.sockets));
    discovery_.move_to(config.discovery);
}

void Sidecar::join(const cluster::Settings& settings) {
    if (!config_.deployment.peer_messages_allowed) {
        std::cerr << "elmbay: [cluster]: the settings allow no messages between sidecars" << std::endl;
        return;
    }
    cluster_.emplace(io_, timers_, clock_, cluster_setup(config_, settings),
                     cluster::Driver::Handlers{
                         [this](std::uint32_t siblings) { engine_.on_sibling_count(clock_.now(), siblings); },
                         [this](const cluster::Change& change) { tell(change); }});
}

// One line an event, some a second: a split of hundreds must not fill the log.
void Sidecar::tell(const cluster::Change& change) {
    constexpr std::size_t kMaxTold = 20;
    constexpr Millis kSecond = 1000;
    if (change.at - told_since_ >= kSecond) told_since_ = change.at, told_ = 0;
    if (++told_ > kMaxTold) return;
    const nlohmann::json line = {{"event", "member"},
                                 {"number", change.number},
                                 {"before", to_string(change.before)},
                                 {"after", to_string(change.after)},
                                 {"why", change.why},
                                 {"rest_untold", told_ == kMaxTold}};
    std::cerr << line.dump() << std::endl;
}

void Sidecar::drain(std::function<void()> done) {
    if (cluster_) cluster_->leave();
    if (!websocket_) return listener_.drain(std::move(done));
    websocket_->end_all();
    listener_.drain([this, done = std::move(done)] { websocket_->when_empty(done); });
}

// ---- Events -----------------------------------------------------------------------------------------------

void Sidecar::arrived(RequestId id, HttpRequest request, ReceivedRequest received) {
    RequestArrived event =
        describe(id, request, config_.deployment, kAnswerMargin, received.kernel_queue_time);
    event.table_full = !received.has_capacity;
    ++counts_.taken;
    messages_[id] = std::make_shared<const HttpRequest>(forwarded_request(std::move(request)));
    engine_.on_request(clock_.now(), event);
}

void Sidecar::upgraded(RequestId id, asio::ip::tcp::socket client, HttpRequest request,
                       ReceivedRequest received) {
    RequestArrived event =
        describe(id, request, config_.deployment, kAnswerMargin, received.kernel_queue_time);
    event.session = true;
    if (!websocket_->take(id, std::move(client), std::move(request))) return;
    event.table_full = !received.has_capacity || !websocket_->has_capacity(id);
    engine_.on_request(clock_.now(), event);
}

void Sidecar::gone(RequestId id) {
    ++counts_.gone;
    engine_.on_client_disconnected(clock_.now(), id);
}

void Sidecar::on_attempt_ended(AttemptKey key, Outcome outcome, Millis duration, HttpResponse response) {
    // Told from within another's end where that one brought it about: each has its own answer.
    const auto restore = [this](HttpResponse** outer) { ended_ = *outer; };
    HttpResponse* outer = std::exchange(ended_, &response);
    const std::unique_ptr<HttpResponse*, decltype(restore)> guard(&outer, restore);
    engine_.on_attempt_ended(clock_.now(), key, outcome, duration);
}

void Sidecar::set_server(const EndpointRegistry::Change& change) {
    upstream_.set_server(change.info.id, change.endpoint, change.may_send, change.info.online_since);
    if (websocket_) websocket_->set_server(change.info.id, change.may_send);
}

void Sidecar::listed(ListKind kind, const Listing& listing) {
    const EndpointRegistry::Update update = servers_.apply(kind, listing.targets);
    ServerList list{kind, {}, clock_.wall(), listing.list_age_bound};
    list.servers.reserve(update.changes.size());
    // The sockets hear of a drain before the module acts on it: nothing waiting may slip out.
    for (const EndpointRegistry::Change& change : update.changes) {
        list.servers.push_back(change.info);
        set_server(change);
    }
    for (const ServerId id : update.withdrawn) set_server({{.id = id}, {}, false});
    ready_ = ready_ || update.any_active;
    say_passed_over(listing.passed_over + update.passed_over);
    engine_.on_endpoint_list(clock_.now(), std::move(list));
    servers_.forget_withdrawn([this](ServerId id) {
        if (upstream_.attempts_at(id) > 0) return false;
        upstream_.forget_server(id);
        if (websocket_) websocket_->forget_server(id);
        return true;
    });
}

void Sidecar::say_passed_over(std::size_t targets) {
    const Millis now = clock_.now();
    if (targets == 0 || (passed_over_said_ && now < *passed_over_said_ + kSayPassedOverEvery)) return;
    passed_over_said_ = now;
    std::cerr << "elmbay: discovery: the list has more servers than the " << EndpointRegistry::kMaxListed
              << " that are kept, or names too long; " << targets << " passed over" << std::endl;
}

// ---- What the engine wants done ---------------------------------------------------------------------------

void Sidecar::start(AttemptKey key, ServerId server, Millis until, Millis write_by) {
    if (!websocket_ || !websocket_->has(key.request))
        return upstream_.start_attempt(key, server, until, write_by, messages_.at(key.request));
    Endpoint endpoint{};  // the module sends to what is listed only; any other could not be reached
    if (const EndpointRegistry::Entry* entry = servers_.find(server)) endpoint = entry->endpoint;
    websocket_->start(key, server, endpoint, until, write_by);
}

void Sidecar::cancel(AttemptKey key) {
    upstream_.cancel_attempt(key);
    if (websocket_) websocket_->cancel(key);
}

void Sidecar::finish(RequestId id, const engine::FinalOutcome& outcome) {
    using Kind = engine::FinalOutcome::Kind;
    ++(outcome.kind == Kind::success    ? counts_.served
       : outcome.kind == Kind::rejected ? counts_.refused
                                        : counts_.failed);
    const bool session = websocket_ && websocket_->has(id);
    if (session && outcome.kind == Kind::success) return websocket_->serve(id);
    HttpResponse response(http::status::ok, 11);
    if (outcome.kind == Kind::success) {
        if (const auto type = (*ended_)[http::field::content_type]; !type.empty())
            response.set(http::field::content_type, type);
        response.body() = std::move(ended_->body());
    } else if (outcome.kind == Kind::rejected) {
        response.result(http::status::service_unavailable);
        if (outcome.retry_after > 0) {
            char seconds[32];
            std::snprintf(seconds, sizeof seconds, "%.3f", outcome.retry_after / 1000);
            response.set(http::field::retry_after, seconds);
        }
        response.body() = "refused: trying again is harmless\n";
    } else {
        response.result(outcome.timed_out ? http::status::gateway_timeout : http::status::bad_gateway);
        response.body() = "failed\n";
    }
    if (session)
        websocket_->refuse(id, std::move(response));
    else
        listener_.respond(id, std::move(response));
}

void Sidecar::forget(RequestId id) { messages_.erase(id); }

void Sidecar::set_timer(Millis at, TimerToken token) {
    timers_.set(at, [this, token] { engine_.on_timer(clock_.now(), token); });
}

void Sidecar::subscribe(bool active) { active ? discovery_.watch() : discovery_.stop(); }

}  // namespace elmbay
