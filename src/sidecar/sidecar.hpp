/// @file
/// Assembles the sidecar from engine, frontends, backends, endpoint list, cluster and clock.
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
#include "sidecar/list_confirmation.hpp"
#include "sidecar/log_events.hpp"
#include "sidecar/status_report.hpp"
#include "state/snapshot.hpp"
#include "websocket/proxy.hpp"

namespace elmbay {

/// One sidecar. Connects its components and makes no decisions itself: the balancer chooses servers and
/// decides on retries and rejections.
///
/// Not thread-safe: everything runs on the event loop's thread. The event loop must outlive the sidecar.
class Sidecar : private engine::ActionHandler {
public:
    /// The learned state of an earlier process.
    struct RestoredState {
        state::Snapshot snapshot;
        Millis age = -1;  ///< milliseconds since the snapshot was taken; negative if unknown
    };

    /// Starts to listen, and to watch the endpoint list unless the deployment fetches the list on request.
    /// @throws boost::system::system_error if the sidecar can't listen, std::invalid_argument for invalid
    /// settings.
    Sidecar(asio::io_context& io, Config config, std::optional<RestoredState> restored_state = {},
            const websocket::Settings& websocket = {}, Clock clock = Clock());
    Sidecar(const Sidecar&) = delete;
    Sidecar& operator=(const Sidecar&) = delete;

    /// Applies the parts of a new configuration that may change at run time: the address of discovery and the
    /// limit on sockets. Other changes require a restart.
    void reload(const Config& config);
    /// Joins the cluster; requests do not wait for it. If the deployment forbids messages between sidecars,
    /// only logs that.
    /// @throws ConfigError if an address or the peers are missing or malformed, boost::system::system_error
    /// if the sidecar can't listen.
    void join_cluster(const cluster::Settings& settings);
    /// Shuts down gracefully: completes requests in progress and closes sessions.
    /// @param done called from the event loop when all connections are closed.
    void drain(std::function<void()> done);

    /// @return the address on which the sidecar listens for clients.
    Endpoint local_endpoint() const { return listener_.local_endpoint(); }
    /// @return the number of requests in the engine.
    std::size_t requests() const { return engine_.requests(); }
    /// @return the number of established WebSocket sessions.
    std::size_t sessions() const { return websocket_proxy_ ? websocket_proxy_->sessions() : 0; }
    /// @return the JSON object for the status socket. docs/operate/status.md describes each field.
    nlohmann::json status();
    /// @return the learned state with the servers' uids. The caller sets `taken_at`.
    state::Snapshot snapshot() const;

private:
    Discovery::Handlers discovery_handlers();
    Listener::Handlers listener_handlers(const websocket::Settings& settings);
    std::unique_ptr<websocket::Proxy> make_websocket_proxy(const websocket::Settings& settings);
    void restore_state(RestoredState restored_state);
    balancer::RequestArrived arrival_event(RequestId id, const HttpRequest& request,
                                           const RequestArrivalInfo& received) const;
    void update_backends(const EndpointRegistry::Update& update);
    void set_server(const EndpointRegistry::Change& change);
    void remove_withdrawn_servers();
    void suspend_sending();
    void resume_sending();
    void set_servers_of_list(balancer::EndpointState state);
    bool is_ready() const { return has_active_server_ && list_confirmation_.allows_readiness(); }
    void count_outcome(const engine::FinalOutcome& outcome);

    // Events that are passed to the engine.
    void on_request(RequestId id, HttpRequest request, RequestArrivalInfo received);
    void on_upgrade_request(RequestId id, asio::ip::tcp::socket client, HttpRequest request,
                            RequestArrivalInfo received);
    void on_client_disconnected(RequestId id);
    void on_attempt_ended(AttemptKey key, Outcome outcome, Millis duration, HttpResponse response);
    void on_endpoint_list(balancer::ListKind kind, const EndpointList& endpoint_list);
    void on_member_changed(const cluster::MemberChange& change);

    // Actions of the engine.
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
    ByteBudget message_budget_;
    engine::Engine engine_;
    // Requests in the form in which they are sent to servers, until the engine releases them.
    std::unordered_map<RequestId, std::shared_ptr<const HttpRequest>> forwarded_requests_;
    HttpResponse* ended_attempt_response_ = nullptr;  // set while on_attempt_ended() runs
    EndpointRegistry endpoints_;
    bool has_active_server_ = false;  // whether a list has contained an active server
    ListConfirmation list_confirmation_;
    Upstream upstream_;
    std::unique_ptr<websocket::Proxy> websocket_proxy_;  // null if [websocket] is off
    Discovery discovery_;
    Listener listener_;
    std::optional<cluster::Driver> cluster_;  // empty if [cluster] is off
};

}  // namespace elmbay
