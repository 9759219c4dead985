#include "sidecar/sidecar.hpp"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "base/log_line.hpp"
#include "http/request_validation.hpp"
#include "sidecar/cluster_setup.hpp"
#include "sidecar/resource_limits.hpp"
#include "sidecar/response_mapping.hpp"
#include "sidecar/snapshot_conversion.hpp"
#include "websocket/handshake.hpp"

namespace elmbay {

namespace {

// Milliseconds before the client's deadline at which a response is sent at the latest, so that it arrives in
// time.
constexpr Millis kResponseMargin = 8;

// A list may contain at least as many targets as the registry has entries.
static_assert(EndpointRegistry::kMaxEntries <= kMaxTargets);

// Returns the revision of the list in the configuration. An empty list of revision 0 counts as no list,
// because every list starts with that revision.
std::optional<std::uint64_t> cached_revision(const EndpointList& cached_list) {
    const bool has_no_list = cached_list.revision == 0 && cached_list.targets.empty();
    if (has_no_list) return {};
    return cached_list.revision;
}

// A request in the form in which it is sent to servers, with the memory of its body.
struct HeldRequest {
    HttpRequest message;
    std::optional<RequestMemory> memory;
};

// Returns the message, whose last owner releases the memory as well.
std::shared_ptr<const HttpRequest> hold(HttpRequest message, std::optional<RequestMemory> memory) {
    auto request = std::make_shared<const HeldRequest>(HeldRequest{std::move(message), std::move(memory)});
    const HttpRequest* const address = &request->message;
    return {std::move(request), address};
}

Discovery::Mode discovery_mode(const Config& config) {
    return config.deployment.settings.requires_subscription ? Discovery::Mode::polled
                                                            : Discovery::Mode::pushed;
}

}  // namespace

// ---- Assembly ---------------------------------------------------------------------------------------------

Sidecar::Sidecar(asio::io_context& io, Config config, std::optional<RestoredState> restored_state,
                 const websocket::Settings& websocket, Clock clock)
    : io_(io),
      clock_(std::move(clock)),
      config_(with_session_limits(std::move(config), websocket)),
      timers_(io, clock_),
      socket_budget_(make_socket_budget(config_, websocket)),
      message_budget_(message_bytes(config_)),
      engine_(config_.deployment.settings, config_.seed, *this),
      endpoints_(config_.deployment.zones, config_.deployment.machine_types),
      list_confirmation_(timers_, clock_, {[this] { suspend_sending(); }, [this] { resume_sending(); }}),
      upstream_(io, socket_budget_, message_budget_, timers_, clock_,
                {config_.deployment.connect_timeout, config_.deployment.server_idle_timeout},
                [this](AttemptKey key, Outcome outcome, Millis duration, HttpResponse response) {
                    on_attempt_ended(key, outcome, duration, std::move(response));
                },
                {[this] { return discovery_.has_unread_data(); },
                 [this](RequestId id) { return listener_.is_client_disconnected(id); }}),
      websocket_proxy_(make_websocket_proxy(websocket)),
      discovery_(
          io,
          {config_.discovery, cached_revision(config_.cached_list), config_.seed, discovery_mode(config_)},
          socket_budget_, timers_, clock_, discovery_handlers()),
      listener_(io, config_.listen, socket_budget_, message_budget_, timers_, clock_,
                longest_client_deadline(config_.deployment), listener_handlers(websocket)) {
    engine_.begin(clock_.now());
    if (restored_state) restore_state(std::move(*restored_state));
    on_endpoint_list(balancer::ListKind::cached, std::exchange(config_.cached_list, {}));
    if (config_.deployment.settings.requires_subscription) return;
    discovery_.watch();
    list_confirmation_.require(config_.deployment.drain_grace);
}

Discovery::Handlers Sidecar::discovery_handlers() {
    Discovery::Handlers handlers;
    handlers.on_endpoint_list = [this](const EndpointList& endpoint_list) {
        const auto kind =
            endpoint_list.is_complete ? balancer::ListKind::snapshot : balancer::ListKind::incremental;
        on_endpoint_list(kind, endpoint_list);
    };
    handlers.on_list_confirmed = [this] { list_confirmation_.confirm(); };
    return handlers;
}

Listener::Handlers Sidecar::listener_handlers(const websocket::Settings& settings) {
    Listener::Handlers handlers;
    handlers.validate = [this](const RequestHead& head) {
        return validate_request(head, config_.deployment);
    };
    handlers.on_request = [this](RequestId id, HttpRequest request, RequestArrivalInfo received) {
        on_request(id, std::move(request), std::move(received));
    };
    handlers.on_client_disconnected = [this](RequestId id) { on_client_disconnected(id); };
    handlers.is_ready = [this] { return is_ready(); };
    if (!settings.enabled) return handlers;

    handlers.validate = [this, settings](const RequestHead& head) {
        const bool is_upgrade = websocket::is_upgrade_request(head);
        return is_upgrade ? websocket::validate_upgrade(head, config_.deployment, settings.allowed_origins)
                          : validate_request(head, config_.deployment);
    };
    handlers.is_upgrade = websocket::is_upgrade_request;
    handlers.on_upgrade = [this](RequestId id, asio::ip::tcp::socket client, HttpRequest request,
                                 RequestArrivalInfo received) {
        on_upgrade_request(id, std::move(client), std::move(request), std::move(received));
    };
    return handlers;
}

std::unique_ptr<websocket::Proxy> Sidecar::make_websocket_proxy(const websocket::Settings& settings) {
    if (!settings.enabled) return nullptr;
    websocket::Proxy::Handlers handlers;
    handlers.on_attempt_ended = [this](AttemptKey key, Outcome outcome, Millis duration) {
        engine_.on_attempt_ended(clock_.now(), key, outcome, duration);
    };
    handlers.on_client_disconnected = [this](RequestId id) { on_client_disconnected(id); };
    handlers.on_session_ended = [this](RequestId id, bool broken) {
        engine_.on_session_ended(clock_.now(), id, broken);
    };
    return std::make_unique<websocket::Proxy>(io_, socket_budget_, timers_, clock_, settings,
                                              config_.deployment.connect_timeout, config_.seed,
                                              std::move(handlers));
}

void Sidecar::restore_state(RestoredState restored_state) {
    engine_.restore_state(clock_.now(), to_learned_state(std::move(restored_state.snapshot), endpoints_),
                          restored_state.age);
}

// ---- Operation --------------------------------------------------------------------------------------------

void Sidecar::reload(const Config& config) {
    socket_budget_.set_limit(socket_limit(config));
    discovery_.switch_endpoint(config.discovery);
}

void Sidecar::join_cluster(const cluster::Settings& settings) {
    if (!config_.deployment.peer_messages_allowed) {
        write_log_line(cluster_not_allowed_event());
        return;
    }
    cluster::Driver::Handlers handlers{
        [this](std::uint32_t siblings) { engine_.on_sibling_count(clock_.now(), siblings); },
        [this](const cluster::MemberChange& change) { on_member_changed(change); }};
    cluster_.emplace(io_, timers_, clock_, cluster_setup(config_, settings), std::move(handlers));
}

void Sidecar::drain(std::function<void()> done) {
    if (cluster_) cluster_->leave();
    if (!websocket_proxy_) {
        listener_.drain(std::move(done));
        return;
    }
    websocket_proxy_->drain();
    listener_.drain([this, done = std::move(done)] { websocket_proxy_->notify_when_empty(done); });
}

state::Snapshot Sidecar::snapshot() const {
    return to_snapshot(config_.name, engine_.learned_state(clock_.now()), endpoints_);
}

nlohmann::json Sidecar::status() {
    const balancer::LearnedState learned_state = engine_.learned_state(clock_.now());
    nlohmann::json status = {{"name", config_.name},
                             {"version", ELMBAY_VERSION},
                             {"pid", ::getpid()},
                             {"now_ms", clock_.wall_time()},
                             {"ready", is_ready()},
                             {"siblings", config_.deployment.settings.siblings},
                             {"requests", requests_status(request_counts_, engine_.requests())},
                             {"sockets", sockets_status(socket_budget_)},
                             {"room", learned_state.concurrency_limit},
                             {"crowd", learned_state.load_ratio.value},
                             {"servers", servers_status(endpoints_, learned_state, upstream_)}};
    if (cluster_) status["cluster"] = cluster_->status();
    return status;
}

// ---- Events -----------------------------------------------------------------------------------------------

balancer::RequestArrived Sidecar::arrival_event(RequestId id, const HttpRequest& request,
                                                const RequestArrivalInfo& received) const {
    return make_request_arrived(id, request, config_.deployment, kResponseMargin, received.kernel_queue_time);
}

void Sidecar::on_request(RequestId id, HttpRequest request, RequestArrivalInfo received) {
    balancer::RequestArrived event = arrival_event(id, request, received);
    event.needs_immediate_response = !received.has_capacity;
    ++request_counts_.received;
    forwarded_requests_[id] = hold(make_forwarded_request(std::move(request)), std::move(received.memory));
    engine_.on_request(clock_.now(), event);
}

void Sidecar::on_upgrade_request(RequestId id, asio::ip::tcp::socket client, HttpRequest request,
                                 RequestArrivalInfo received) {
    balancer::RequestArrived event = arrival_event(id, request, received);
    event.session = true;
    const bool accepted = websocket_proxy_->on_upgrade_request(id, std::move(client), std::move(request));
    if (!accepted) return;
    event.needs_immediate_response = !received.has_capacity || !websocket_proxy_->has_client_socket(id);
    engine_.on_request(clock_.now(), event);
}

void Sidecar::on_client_disconnected(RequestId id) {
    ++request_counts_.disconnected;
    engine_.on_client_disconnected(clock_.now(), id);
}

void Sidecar::on_attempt_ended(AttemptKey key, Outcome outcome, Millis duration, HttpResponse response) {
    // The end of one attempt may cause a nested call for the end of another attempt. Each call has its own
    // response.
    const auto restore = [this](HttpResponse** outer) { ended_attempt_response_ = *outer; };
    HttpResponse* outer = std::exchange(ended_attempt_response_, &response);
    const std::unique_ptr<HttpResponse*, decltype(restore)> restore_on_exit(&outer, restore);
    engine_.on_attempt_ended(clock_.now(), key, outcome, duration);
}

void Sidecar::on_endpoint_list(balancer::ListKind kind, const EndpointList& endpoint_list) {
    const EndpointRegistry::Update update = endpoints_.apply(kind, endpoint_list.targets);
    balancer::ServerList list{kind, {}, clock_.wall_time(), endpoint_list.list_age_bound};
    list.servers.reserve(update.changes.size());
    for (const EndpointRegistry::Change& change : update.changes) list.servers.push_back(change.info);
    // Updates the backends before the engine, so that no queued attempt is sent to a draining server.
    update_backends(update);
    has_active_server_ = has_active_server_ || update.any_active;
    const std::size_t skipped = endpoint_list.dropped_targets + update.skipped;
    const auto skipped_line = skipped_servers_log_.observe(clock_.now(), skipped);
    if (skipped_line) write_log_line(*skipped_line);
    engine_.on_endpoint_list(clock_.now(), std::move(list));
    remove_withdrawn_servers();
}

void Sidecar::update_backends(const EndpointRegistry::Update& update) {
    for (const EndpointRegistry::Change& change : update.changes) set_server(change);
    for (const ServerId id : update.withdrawn) set_server({{.id = id}, {}, false});
}

void Sidecar::set_server(const EndpointRegistry::Change& change) {
    upstream_.set_server(change.info.id, change.endpoint, change.may_send, change.info.online_since);
    if (websocket_proxy_) websocket_proxy_->set_server(change.info.id, change.may_send);
}

void Sidecar::remove_withdrawn_servers() {
    endpoints_.remove_withdrawn([this](ServerId id) {
        if (upstream_.attempt_and_connect_count(id) > 0) return false;
        upstream_.remove_server(id);
        if (websocket_proxy_) websocket_proxy_->remove_server(id);
        return true;
    });
}

// Any server of an unconfirmed list may be draining, so all of them count as draining. The registry keeps the
// states of the list.
void Sidecar::suspend_sending() {
    write_log_line(list_unconfirmed_event());
    set_servers_of_list(balancer::EndpointState::draining);
}

void Sidecar::resume_sending() {
    write_log_line(list_confirmed_event());
    set_servers_of_list(balancer::EndpointState::active);
}

// Applies `state` to all listed servers that are active by the list.
void Sidecar::set_servers_of_list(balancer::EndpointState state) {
    balancer::ServerList list{balancer::ListKind::incremental, {}, clock_.wall_time(), {}};
    const bool may_send = state == balancer::EndpointState::active;
    for (const auto& [uid, entry] : endpoints_.entries()) {
        if (!entry.listed || entry.info.state != balancer::EndpointState::active) continue;
        EndpointRegistry::Change change{entry.info, entry.endpoint, may_send};
        change.info.state = state;
        set_server(change);
        list.servers.push_back(change.info);
    }
    engine_.on_endpoint_list(clock_.now(), std::move(list));
}

void Sidecar::on_member_changed(const cluster::MemberChange& change) {
    const auto line = member_change_log_.observe(change);
    if (line) write_log_line(*line);
}

// ---- Actions of the engine --------------------------------------------------------------------------------

void Sidecar::start_attempt(AttemptKey key, ServerId server, Millis attempt_deadline, Millis write_by) {
    const bool is_upgrade = websocket_proxy_ && websocket_proxy_->has_upgrade(key.request);
    if (!is_upgrade) {
        upstream_.start_attempt(key, server, attempt_deadline, write_by, forwarded_requests_.at(key.request));
        return;
    }
    // The balancer chooses only listed servers. An unknown server gets an unspecified address, to which the
    // connect fails.
    const EndpointRegistry::Entry* const entry = endpoints_.find(server);
    const Endpoint endpoint = entry ? entry->endpoint : Endpoint{};
    websocket_proxy_->start_attempt(key, server, endpoint, attempt_deadline, write_by);
}

void Sidecar::cancel_attempt(AttemptKey key) {
    upstream_.cancel_attempt(key);
    if (websocket_proxy_) websocket_proxy_->cancel_attempt(key);
}

void Sidecar::finish_request(RequestId id, const engine::FinalOutcome& outcome) {
    count_outcome(outcome);
    const bool succeeded = outcome.kind == engine::FinalOutcome::Kind::success;
    const bool is_upgrade = websocket_proxy_ && websocket_proxy_->has_upgrade(id);
    if (is_upgrade && succeeded) {
        websocket_proxy_->begin_session(id);
    } else if (is_upgrade) {
        websocket_proxy_->respond(id, error_response(outcome));
    } else if (succeeded) {
        listener_.respond(id, success_response(std::move(*ended_attempt_response_)));
    } else {
        listener_.respond(id, error_response(outcome));
    }
}

void Sidecar::count_outcome(const engine::FinalOutcome& outcome) {
    using Kind = engine::FinalOutcome::Kind;
    switch (outcome.kind) {
        case Kind::success:
            ++request_counts_.succeeded;
            break;
        case Kind::rejected:
            ++request_counts_.rejected;
            break;
        case Kind::failed:
            ++request_counts_.failed;
            break;
    }
}

void Sidecar::release_request(RequestId id) { forwarded_requests_.erase(id); }

void Sidecar::set_timer(Millis at, balancer::TimerToken token) {
    timers_.set(at, [this, token] { engine_.on_timer(clock_.now(), token); });
}

void Sidecar::subscribe(bool active) { active ? discovery_.watch() : discovery_.stop(); }

}  // namespace elmbay
