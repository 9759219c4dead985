#include "websocket/proxy.hpp"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <utility>

namespace elmbay::websocket {

namespace {

using tcp = asio::ip::tcp;

constexpr Millis kMillisPerSecond = 1000;
// Milliseconds. The close reason contains a random part of this delay, after which the client should
// reconnect. Without it, clients whose sessions are closed together would reconnect together.
constexpr double kMaxReconnectDelay = 1000;

HttpResponse too_many_sessions_response() {
    HttpResponse response(http::status::forbidden, kHttp11);
    response.body() = "this client has as many sessions as it may have\n";
    return response;
}

}  // namespace

Proxy::Proxy(asio::io_context& io, SocketBudget& budget, TimerQueue& timers, const Clock& clock,
             const Settings& settings, Millis connect_timeout, std::uint64_t seed, Handlers handlers)
    : io_(io),
      budget_(budget),
      timers_(timers),
      clock_(clock),
      settings_(settings),
      random_(seed),
      handlers_(std::move(handlers)),
      attempts_(io, budget, timers, clock, connect_timeout,
                [this](UpgradeAttempts::EndedAttempt& ended) { on_attempt_ended(ended); }) {}

Proxy::~Proxy() = default;

// ---- Clients ----------------------------------------------------------------------------------------------

bool Proxy::on_upgrade_request(RequestId id, tcp::socket client_socket, HttpRequest request) {
    const auto client =
        std::make_shared<UpgradingClient>(budget_, std::move(client_socket), std::move(request));
    if (!acquire_session_slot(client->address())) {
        client->respond(too_many_sessions_response());
        return false;
    }
    upgrades_[id] = client;
    client->watch([this, id] { on_client_disconnected(id); });
    return true;
}

bool Proxy::has_client_socket(RequestId id) const {
    const auto found = upgrades_.find(id);
    return found != upgrades_.end() && found->second->holds_descriptor();
}

void Proxy::on_client_disconnected(RequestId id) {
    const auto client = remove_upgrade(id);
    if (!client) return;
    release_session_slot(client->address());
    handlers_.on_client_disconnected(id);
    notify_if_empty();
}

void Proxy::respond(RequestId id, HttpResponse response) {
    const auto client = remove_upgrade(id);
    if (!client) return;
    release_session_slot(client->address());
    client->respond(std::move(response));
    notify_if_empty();
}

std::shared_ptr<UpgradingClient> Proxy::remove_upgrade(RequestId id) {
    const auto found = upgrades_.find(id);
    if (found == upgrades_.end()) return nullptr;
    auto client = found->second;
    upgrades_.erase(found);
    return client;
}

bool Proxy::acquire_session_slot(const std::string& address) {
    std::uint64_t& count = client_session_counts_[address];
    if (count >= settings_.max_sessions_per_client) return false;
    ++count;
    return true;
}

void Proxy::release_session_slot(const std::string& address) {
    const auto found = client_session_counts_.find(address);
    if (found == client_session_counts_.end()) return;
    --found->second;
    if (found->second == 0) client_session_counts_.erase(found);
}

// ---- Attempts ---------------------------------------------------------------------------------------------

void Proxy::start_attempt(AttemptKey key, ServerId server, const Endpoint& endpoint, Millis attempt_deadline,
                          Millis write_by) {
    attempts_.start(key, server, endpoint, attempt_deadline, write_by, upgrades_.at(key.request));
}

void Proxy::cancel_attempt(AttemptKey key) { attempts_.cancel(key); }

void Proxy::on_attempt_ended(UpgradeAttempts::EndedAttempt& ended) {
    const auto found = upgrades_.find(ended.key.request);
    const auto client = found == upgrades_.end() ? nullptr : found->second;
    if (client && ended.outcome == Outcome::success) {
        client->server = UpgradedServer{ended.server, std::move(ended.stream), std::move(ended.subprotocol)};
    }
    handlers_.on_attempt_ended(ended.key, ended.outcome, ended.duration);
    // The handler has not begun a session, so the caller gets the connection back and closes it.
    if (client && client->server) ended.stream = std::move(client->server->stream);
    if (client) client->server.reset();
}

// ---- Sessions ---------------------------------------------------------------------------------------------

void Proxy::begin_session(RequestId id) {
    const auto found = upgrades_.find(id);
    if (found == upgrades_.end() || !found->second->server) return;
    const auto client = remove_upgrade(id);
    const UpgradedServer server = *std::exchange(client->server, std::nullopt);
    // From here on the session holds both descriptors: the client's, and the server's, which was acquired
    // when the attempt began.
    client->release_descriptor();
    const auto session = std::make_shared<Session>(settings_, client->release_socket(), server.stream,
                                                   [this, id](bool broken) { on_session_ended(id, broken); });
    sessions_[id] = {session, server.id, client->address()};
    session->start(client->request(), server.subprotocol);
    // If a drain began while the upgrade was in progress, it also closes this session.
    if (is_draining_) {
        schedule_closes({id}, shutdown_schedule());
    } else if (draining_servers_.contains(server.id)) {
        schedule_closes({id}, server_drain_schedule());
    }
}

void Proxy::on_session_ended(RequestId id, bool broken) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) return;
    release_session_slot(found->second.client_address);
    sessions_.erase(found);
    budget_.release(elmbay::SocketPurpose::sessions);  // the descriptor of the client's socket
    budget_.release(elmbay::SocketPurpose::sessions);  // the descriptor of the server's socket
    handlers_.on_session_ended(id, broken);
    notify_if_empty();
}

// ---- Drains -----------------------------------------------------------------------------------------------

Proxy::CloseSchedule Proxy::server_drain_schedule() const {
    return {settings_.drain_spread, ws::close_code::service_restart, "server is draining"};
}

Proxy::CloseSchedule Proxy::shutdown_schedule() const {
    return {settings_.shutdown_spread, ws::close_code::going_away, "this sidecar ends"};
}

void Proxy::set_server(ServerId id, bool may_send) {
    if (may_send) {
        remove_server(id);
        return;
    }
    const bool is_newly_draining = draining_servers_.insert(id).second;
    if (!is_newly_draining) return;
    attempts_.end_unwritten(id);
    std::vector<RequestId> sessions_at_server;
    for (const auto& [request, active] : sessions_) {
        if (active.server == id) sessions_at_server.push_back(request);
    }
    schedule_closes(sessions_at_server, server_drain_schedule());
}

void Proxy::drain() {
    is_draining_ = true;
    std::vector<RequestId> session_ids;
    for (auto& [id, active] : sessions_) {
        active.close_scheduled = false;  // the shutdown closes the session sooner than its server's drain
        session_ids.push_back(id);
    }
    schedule_closes(session_ids, shutdown_schedule());
}

// Divides the spread into one time slot for each session and closes each session at a random time in its
// slot. Clients whose sessions close at the same time would all reconnect at the same time.
void Proxy::schedule_closes(const std::vector<RequestId>& ids, const CloseSchedule& schedule) {
    std::uniform_real_distribution<double> unit_interval(0, 1);
    const auto slots = static_cast<double>(ids.size());
    for (std::size_t slot = 0; slot < ids.size(); ++slot) {
        const RequestId id = ids[slot];
        const bool is_scheduled = std::exchange(sessions_.at(id).close_scheduled, true);
        if (is_scheduled) continue;
        const Millis delay = schedule.spread * (static_cast<double>(slot) + unit_interval(random_)) / slots;
        const double reconnect_seconds = kMaxReconnectDelay * unit_interval(random_) / kMillisPerSecond;
        timers_.set(clock_.now() + delay,
                    [this, id, code = schedule.code,
                     reason = fmt::format("{}; come back in {:.2f} s", schedule.reason, reconnect_seconds)] {
                        close_session(id, code, reason);
                    });
    }
}

void Proxy::close_session(RequestId id, ws::close_code code, const std::string& reason) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) return;
    const auto session = found->second.session;  // close() may remove the session from the table
    session->close(code, reason);
}

void Proxy::notify_when_empty(std::function<void()> done) {
    on_empty_ = std::move(done);
    notify_if_empty();
}

void Proxy::notify_if_empty() {
    const bool is_empty = sessions_.empty() && upgrades_.empty();
    if (on_empty_ && is_empty) asio::post(io_, std::exchange(on_empty_, nullptr));
}

}  // namespace elmbay::websocket
