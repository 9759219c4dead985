/// @file
/// The assembly of the sidecar: engine, frontends, backends, endpoint list, cluster and clock in one object.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <unordered_map>

#include "base/byte_budget.hpp"
#include "base/sockets.hpp"
#include "base/timing.hpp"
#include "cluster/driver.hpp"
#include "config/config.hpp"
#include "engine/engine.hpp"
#include "net/discovery.hpp"
#include "net/listener.hpp"
#include "net/upstream.hpp"
#include "sidecar/endpoint_registry.hpp"
#include "sidecar/log_events.hpp"
#include "sidecar/status_report.hpp"
#include "state/snapshot.hpp"
#include "websocket/proxy.hpp"

namespace elmbay {

/// One sidecar. It connects the parts and makes no decision of its own: which server, whether to retry or to
/// reject is the balancer's.
///
/// Not thread-safe: everything runs on the event loop's thread. The loop must outlive it.
class Sidecar : private engine::ActionHandler {
public:
    /// What an earlier process had learned.
    struct RestoredState {
        state::Snapshot snapshot;
        Millis age = -1;  ///< milliseconds since it was taken; negative: not known
    };

    /// Listens at once, and watches the endpoint list unless the deployment asks for it on request.
    /// @throws boost::system::system_error if it can't listen, std::invalid_argument for settings that make
    /// no sense.
    Sidecar(asio::io_context& io, Config config, std::optional<RestoredState> restored_state = {},
            const websocket::Settings& websocket = {}, Clock clock = Clock());
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /// Applies what a new configuration may change while requests are in progress: the address of discovery
    /// and the limit on sockets. Everything else needs a restart.
    void reload(const Config& config);
    /// Takes part in the cluster. No request waits for it. Logs and does nothing where the deployment forbids
    /// messages between sidecars.
    /// @throws ConfigError if an address or the peers are missing or malformed, boost::system::system_error
    /// if it can't listen.
    void join_cluster(const cluster::Settings& settings);
    /// Shuts down gracefully: requests in progress are finished, sessions are closed.
    /// @param done called from the loop when no connection is left.
    void drain(std::function<void()> done);

    /// @return where it listens for clients.
    Endpoint local_endpoint() const { return listener_.local_endpoint(); }
    /// @return requests that the engine holds.
    std::size_t requests() const { return engine_.requests(); }
    /// @return established WebSocket sessions.
    std::size_t sessions() const { return websocket_proxy_ ? websocket_proxy_->sessions() : 0; }
    /// @return the JSON object for the status socket. docs/operate/status.md describes each field.
    nlohmann::json status();
    /// @return what has been learned, by the servers' uids. `taken_at` is left to the caller.
    state::Snapshot snapshot() const;

private:
    Listener::Handlers listener_handlers(const websocket::Settings& settings);
    std::unique_ptr<websocket::Proxy> make_websocket_proxy(const websocket::Settings& settings);
    void restore_state(RestoredState restored_state);
    balancer::RequestArrived arrival_event(RequestId id, const HttpRequest& request,
                                           const RequestArrivalInfo& received) const;
    void update_backends(const EndpointRegistry::Update& update);
    void set_server(const EndpointRegistry::Change& change);
    void forget_withdrawn_servers();
    void count_outcome(const engine::FinalOutcome& outcome);

    // Events, passed on to the engine.
    void on_request(RequestId id, HttpRequest request, RequestArrivalInfo received);
    void on_upgrade_request(RequestId id, asio::ip::tcp::socket client, HttpRequest request,
                            RequestArrivalInfo received);
    void on_client_disconnected(RequestId id);
    void on_attempt_ended(AttemptKey key, Outcome outcome, Millis duration, HttpResponse response);
    void on_endpoint_list(balancer::ListKind kind, const EndpointList& listing);
    void on_member_changed(const cluster::MemberChange& change);

    // The engine's actions.
    void start_attempt(AttemptKey key, ServerId server, Millis attempt_deadline, Millis write_by) override;
    void cancel_attempt(AttemptKey key) override;
    void finish_request(RequestId id, const engine::FinalOutcome& outcome) override;
    void release_request(RequestId id) override;
    void set_timer(Millis at, balancer::TimerToken token) override;
    void subscribe(bool active) override;

    boost::asio::io_context& io_;
    Clock clock_;
    MemberChangeLog member_change_log_;
    SkippedServersLog skipped_servers_log_;
    RequestCounts request_counts_;
    Config config_;
    TimerQueue timers_;
    SocketBudget socket_budget_;
    ByteBudget long_message_budget_;
    engine::Engine engine_;
    // What goes to the servers, until the engine releases the request.
    std::unordered_map<RequestId, std::shared_ptr<const HttpRequest>> forwarded_requests_;
    HttpResponse* ended_attempt_response_ = nullptr;  // while on_attempt_ended() runs
    EndpointRegistry endpoints_;
    bool is_ready_ = false;  // an active server has been listed
    Upstream upstream_;
    std::unique_ptr<websocket::Proxy> websocket_proxy_;  // none if [websocket] is off
    Discovery discovery_;
    Listener listener_;
    std::optional<cluster::Driver> cluster_;  // none if [cluster] is off
};

}  // namespace elmbay
