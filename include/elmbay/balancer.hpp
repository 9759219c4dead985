/// @file
/// elmbay::balancer: the decisions of a load-balancing sidecar. The module does no I/O and reads no clock.
///
/// One Balancer serves one sidecar. The caller passes every event to handle() in order, with the time at
/// which it happened, and carries out the resulting actions in their order at that same time. Times are
/// milliseconds on any monotonic clock. The caller chooses integers as identifiers of servers, zones,
/// requests and tenants; the module does not interpret their values. The same settings, seed and events give
/// the same actions.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

/// A duration in milliseconds, or a point in time in milliseconds on the caller's monotonic clock.
using Millis = double;
/// Identifies a server. Chosen by the caller.
using ServerId = std::uint32_t;
/// Identifies a zone. Chosen by the caller.
using ZoneId = std::uint32_t;
/// Identifies a request. Chosen by the caller, which must not reuse it.
using RequestId = std::uint64_t;
/// Identifies a timer. Chosen by the Balancer, which never reuses it.
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------------

/// Whether it is safe to execute a request more than once.
enum class Idempotency {
    idempotent,       ///< a repeated execution is harmless at any server
    idempotency_key,  ///< servers that share deduplication drop repeats within the deduplication window
    non_idempotent    ///< a second execution is never allowed
};

/// Which servers share their record of processed idempotency keys.
enum class DedupScope {
    all,   ///< all servers
    zone,  ///< the servers of one zone
    cell   ///< the servers of one cell
};

/// The properties of one class of requests.
struct RequestClass {
    /// Whether a request may be executed more than once.
    Idempotency idempotency = Idempotency::non_idempotent;
    /// For Idempotency::idempotency_key: the servers that deduplicate requests together.
    DedupScope dedup_scope = DedupScope::cell;
    /// For Idempotency::idempotency_key: the deduplication window, counted from the first attempt that may
    /// have run. Milliseconds, 0 or more.
    Millis dedup_window = 0;
    /// The response time up to which a response earns the full priority weight. Milliseconds, above 0.
    Millis latency_objective = 1000;
    /// The multiple of the request's expected work that is added to the latency objective. 0 or more.
    double objective_work_multiple = 0;
    /// The value of one request relative to requests of other classes. 0 or more.
    double priority_weight = 1;
    /// The share of the priority weight that a response after the latency objective earns, 0 to 1.
    double late_weight = 0;
};

/// A tenant. Its quota limits its requests while the servers are busy.
struct Tenant {
    /// The requests per second that the tenant is entitled to, summed over all sidecars. 0 or more.
    double quota = 0;
};

/// Costs as shares of the total value of all requests. A cost of 0 is ignored.
struct Costs {
    /// The cost of each attempt that leaves the sidecar's zone. 0 or more.
    double cross_zone = 0;
};

/// The configuration of a Balancer.
struct Settings {
    /// The request classes, at least one. Requests refer to them by index.
    std::vector<RequestClass> classes;
    /// The tenants, any number. Requests refer to them by index.
    std::vector<Tenant> tenants;
    /// The zone of this sidecar. If absent, server selection ignores zones.
    std::optional<ZoneId> local_zone;
    /// The number of sidecars that share these servers, including this one. 0 counts as 1.
    std::uint32_t siblings = 1;
    /// Whether the endpoint list has to be requested with the action Subscribe. Otherwise the list is
    /// delivered without a request.
    bool requires_subscription = false;
    /// The maximum number of attempts of one request, including the first. 1 or more.
    std::uint32_t max_attempts = 3;
    /// Whether two attempts of one request may be in flight at the same time.
    bool allow_hedging = false;
    /// Whether the caller supports the action Cancel.
    bool supports_cancel = true;
    /// The share of a warm server's capacity that a server has at least when it starts, 0 to 1.
    double slow_start_min_share = 1;
    /// The time after its start at which a server reaches the full capacity of a warm server. Milliseconds, 0
    /// or more; 0 disables slow start.
    Millis slow_start_duration = 0;
    /// The maximum number of sessions of this sidecar, including upgrades in progress. At 0 every session is
    /// rejected.
    std::uint32_t max_sessions = 0;
    /// The maximum number of sessions of this sidecar at one server, including upgrades in progress.
    std::uint32_t max_sessions_per_server = UINT32_MAX;
    /// The multiple of its capacity above which a server in slow start counts as overloaded. 1 or more.
    double overload_multiple = 2;
    /// The costs that server selection takes into account.
    Costs costs;
};

/// Reports an invalid setting. what() names the setting by its key in the operator's file.
class InvalidSetting : public std::invalid_argument {
public:
    /// @param setting the key, such as "classes[0].aim"
    explicit InvalidSetting(const std::string& setting);
    /// Returns only the key.
    const std::string& setting() const { return setting_; }

private:
    std::string setting_;
};

// ---- Events ---------------------------------------------------------------------------------------------

/// The state of a server in the endpoint list.
enum class EndpointState {
    active,    ///< the server accepts new requests
    draining,  ///< the server finishes its requests and accepts no new ones
    removed    ///< the server is no longer listed
};

/// An entry of the endpoint list.
struct ServerInfo {
    /// The server.
    ServerId id = 0;
    /// The server's zone.
    ZoneId zone = 0;
    /// The server's machine type; the module does not interpret the value. Servers of one type are expected
    /// to perform alike.
    std::uint32_t machine_type = 0;
    /// The server's cell, used by DedupScope::cell; the module does not interpret the value.
    std::uint32_t cell = 0;
    /// Whether the server accepts new requests.
    EndpointState state = EndpointState::active;
    /// The start time of the server's process. Milliseconds on the clock described at ServerList::wall_time;
    /// 0: long ago.
    Millis online_since = 0;
    /// The server's capacity relative to other servers. Finite, above 0.
    double weight = 1;
};

/// The content of a ServerList.
enum class ListKind {
    incremental,  ///< only the entries that have changed
    snapshot,     ///< the whole list
    cached,       ///< the whole list as an earlier run last received it, possibly stale
    failed        ///< no entries: a call failed or the subscription broke; the current list stays in force
};

/// The outcome of an attempt.
enum class Outcome {
    success,           ///< the server sent a complete response
    error_response,    ///< the server sent an error response; the request may have run
    rejected,          ///< the server rejected the request without processing it; it never ran
    timed_out,         ///< no response arrived in time; the request may have run or may still be running
    connect_failed,    ///< no connection could be established; the request never ran
    connection_reset,  ///< the connection was lost during the attempt; the request may have run
    cancelled,         ///< this sidecar cancelled the attempt; the request may have run
    not_sent           ///< nothing was written to the server; the request never ran
};

/// The first event of a run. A ServerList of kind ListKind::cached follows if a cached list exists.
struct Started {};

/// The endpoint list, or changes to it.
struct ServerList {
    /// Whether `servers` holds the whole list, changes or nothing.
    ListKind kind = ListKind::snapshot;
    /// The entries, in any order.
    std::vector<ServerInfo> servers{};
    /// The local wall-clock time at which the list arrived, in Unix milliseconds. If present,
    /// ServerInfo::online_since values come from the wall clocks of other machines, none of which is trusted
    /// alone. If absent, online_since is on the clock of `now` and exact.
    std::optional<Millis> wall_time{};
    /// An upper bound for the time between a change of the list and its report: the time since the list
    /// service last sent any message, including a message without changes. Milliseconds, 0 or more; infinity:
    /// the change may be older than this run. Only used with wall_time.
    Millis list_age_bound = 0;
};

/// The learned state of an earlier run of this sidecar. It must precede the first list; later it has no
/// effect.
struct StateRestored {
    /// The learned state. Each value out of range is ignored.
    LearnedState learned_state{};
    /// The time since the state was saved, including the downtime, in milliseconds. A negative value means
    /// that the age is unknown; then none of the state is used.
    Millis age = -1;
};

/// A request has arrived.
struct RequestArrived {
    /// The request.
    RequestId id = 0;
    /// The index of its class in Settings::classes. A request with an index out of range is treated as
    /// non-idempotent.
    std::uint32_t class_index = 0;
    /// The index of its tenant in Settings::tenants. A request without a tenant, or with an index out of
    /// range, is not limited by quota.
    std::optional<std::uint32_t> tenant{};
    /// Milliseconds until the client abandons this try. A value that is negative or not finite counts as 0.
    Millis time_left = 0;
    /// The expected work of the request, in milliseconds of a standard core. 0: unknown.
    Millis expected_work = 0;
    /// Whether the request is marked as a retry by the client.
    bool is_client_retry = false;
    /// Whether the caller has no capacity to hold the request and needs its final response at once.
    bool needs_immediate_response = false;
    /// Whether the attempts of this request are upgrades to a session. Then time_left bounds the upgrade as a
    /// whole, and the request class limits how often it may be executed. After a successful AttemptEnded the
    /// session has no deadline and lasts until SessionEnded.
    bool session = false;
};

/// The server has started to stream its response to the client. No other response is possible from here on.
struct ResponseStarted {
    /// The request.
    RequestId id = 0;
    /// The attempt, numbered as in AttemptEnded.
    std::uint32_t attempt = 0;
};

/// An attempt has ended.
struct AttemptEnded {
    /// The request.
    RequestId id = 0;
    /// The attempt. The attempts of one request are numbered from 0 in the order of their StartAttempt
    /// actions.
    std::uint32_t attempt = 0;
    /// The outcome of the attempt.
    Outcome outcome = Outcome::success;
    /// The duration of the attempt in milliseconds. 0 or more.
    Millis duration = 0;
    /// Whether the client has received its final response, from this attempt or earlier.
    bool request_ended = false;
};

/// The client disconnected before it received its final response.
struct ClientDisconnected {
    /// The request.
    RequestId id = 0;
};

/// A session has ended. No effect on a session that is unknown or has already ended.
struct SessionEnded {
    /// The request that was upgraded to the session.
    RequestId id = 0;
    /// Whether the server or the network broke the session without an orderly close. A break caused by the
    /// client does not count.
    bool broken_by_server = false;
};

/// A timer set by SetTimer is due.
struct TimerFired {
    /// The token from SetTimer.
    TimerToken token = 0;
};

/// The number of sidecars has changed. The count replaces Settings::siblings. The caller has validated and
/// bounded it, see cluster/sibling_estimate.hpp.
struct SiblingCountChanged {
    /// The current number of sidecars that share the servers, including this one. 0 has no effect.
    std::uint32_t count = 0;
};

/// Any input of a Balancer.
using Event = std::variant<Started, StateRestored, ServerList, RequestArrived, ResponseStarted, AttemptEnded,
                           ClientDisconnected, SessionEnded, TimerFired, SiblingCountChanged>;

// ---- Actions --------------------------------------------------------------------------------------------
// The caller must support every action; Cancel only if Settings::supports_cancel is set.

/// Send the request to the given server. The caller reports the end of the attempt with exactly one
/// AttemptEnded.
struct StartAttempt {
    /// The request.
    RequestId id = 0;
    /// The target server.
    ServerId server = 0;
    /// The time at which the caller ends the attempt with Outcome::timed_out. Milliseconds on the clock of
    /// `now`.
    Millis attempt_deadline = 0;
    /// The time by which the last byte must be written; otherwise the attempt ends with Outcome::not_sent,
    /// because servers may no longer deduplicate the earlier attempt that this one repeats. Milliseconds on
    /// the clock of `now`; infinity: no limit.
    Millis write_by = std::numeric_limits<Millis>::infinity();
};

/// Cancel an attempt. The caller reports its end with AttemptEnded, as for every attempt.
struct Cancel {
    /// The request.
    RequestId id = 0;
    /// The attempt, numbered as in AttemptEnded.
    std::uint32_t attempt = 0;
};

/// Send the final response that the request was not served and may be retried safely.
struct Reject {
    /// The request.
    RequestId id = 0;
    /// The recommended delay before the client's retry, in milliseconds from now. 0: no recommendation.
    Millis retry_after = 0;
};

/// Send the final response that the request failed, without a statement about retries.
struct Fail {
    /// The request.
    RequestId id = 0;
};

/// Report TimerFired at the given time.
struct SetTimer {
    /// Milliseconds on the clock of `now`.
    Millis at = 0;
    /// Identifies the timer in TimerFired.
    TimerToken token = 0;
};

/// Request the endpoint list.
struct Subscribe {
    /// Always true.
    bool active = true;
};

/// Write a log line.
struct Log {
    /// The message.
    std::string text{};
    /// The server that the message refers to.
    std::optional<ServerId> server{};
};

/// Any output of a Balancer.
using Action = std::variant<StartAttempt, Cancel, Reject, Fail, SetTimer, Subscribe, Log>;

// ---- The balancer ---------------------------------------------------------------------------------------

/// Makes the decisions of one sidecar. Movable, not copyable, not thread-safe.
class Balancer {
public:
    /// @param seed the seed of all random choices
    /// @throws InvalidSetting for the first invalid setting
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Processes an event and appends the resulting actions to `actions`. Events about unknown requests, or
    /// about requests, attempts, sessions or timers that have ended, have no effect. If `now` is not finite
    /// or is before the time of an earlier event, that earlier time is used.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// The current resource usage of a Balancer.
    struct ResourceUsage {
        /// Requests without a final response or with an attempt in flight.
        std::size_t requests = 0;
        /// Servers that are listed or still have an attempt or a session of this sidecar.
        std::size_t servers = 0;
        /// Timers that have been set and have not fired.
        std::size_t timers = 0;
        /// Entries of the wait queue: at most 64 plus twice the number of requests.
        std::size_t waiting = 0;
        /// Established sessions, at most Settings::max_sessions.
        std::size_t sessions = 0;
    };
    /// Returns the current resource usage in constant time.
    ResourceUsage resource_usage() const;

    /// Returns the learned state, to be passed to the next run with the event StateRestored. Linear in the
    /// number of servers; does not change the Balancer.
    LearnedState learned_state(Millis now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace elmbay::balancer
