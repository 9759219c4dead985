/// @file
/// elmbay::balancer: the decisions of a load-balancing sidecar, without I/O and without a clock.
///
/// One Balancer serves one sidecar. Feed it every event in order, with the time at which it happened, and
/// carry out the actions that it appends, in their order, at that same time. Times are milliseconds on any
/// clock that never goes back. Servers, zones, requests and tenants are named by integers that the caller
/// chooses; their values carry no meaning. The same settings, seed and events give the same actions.
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

/// Milliseconds: a span, or a moment on the caller's monotonic clock.
using Millis = double;
/// Names a server. The caller chooses the integer.
using ServerId = std::uint32_t;
/// Names a zone. The caller chooses the integer.
using ZoneId = std::uint32_t;
/// Names a request. The caller chooses the integer and never uses it twice.
using RequestId = std::uint64_t;
/// Names a timer. The Balancer chooses the integer and never uses it twice.
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------------

/// Whether the effect of a request may happen twice.
enum class Idempotency {
    idempotent,       ///< it may, at any server
    idempotency_key,  ///< servers that share their deduplication drop repeats, for a time
    non_idempotent    ///< it may not
};

/// Which servers share the memory of idempotency keys that they have seen.
enum class DedupScope {
    all,   ///< all servers
    zone,  ///< those of one zone
    cell   ///< those of one cell
};

/// How requests of one class are treated.
struct RequestClass {
    /// Whether the effect may happen twice.
    Idempotency idempotency = Idempotency::non_idempotent;
    /// For Idempotency::idempotency_key: which servers drop each other's repeats.
    DedupScope dedup_scope = DedupScope::cell;
    /// For Idempotency::idempotency_key: how long repeats are dropped, from the first attempt that may have
    /// run on. Milliseconds, 0 or more.
    Millis dedup_window = 0;
    /// A response within this time earns the full weight. Milliseconds, above 0.
    Millis latency_objective = 1000;
    /// The objective grows by this multiple of the request's own expected work. 0 or more.
    double objective_work_multiple = 0;
    /// What one request is worth against those of other classes. 0 or more.
    double priority_weight = 1;
    /// The share of the weight that a response past the objective still earns, 0 to 1.
    double late_weight = 0;
};

/// Somebody whose requests are limited by quota while the servers are busy.
struct Tenant {
    /// Requests per second within the tenant's share, summed over all sidecars. 0 or more.
    double quota = 0;
};

/// Costs, as shares of the whole result. At 0 a matter is left out of account.
struct Costs {
    /// The cost of each attempt that leaves the sidecar's zone. 0 or more.
    double cross_zone = 0;
};

/// What a Balancer is created with.
struct Settings {
    /// The request classes, at least one. Requests name them by index.
    std::vector<RequestClass> classes;
    /// The tenants, any number. Requests name them by index.
    std::vector<Tenant> tenants;
    /// The zone of this sidecar. None: it is not known, and zones do not matter.
    std::optional<ZoneId> local_zone;
    /// Sidecars that share these servers, this one included. 0 counts as 1.
    std::uint32_t siblings = 1;
    /// Whether the endpoint list must be subscribed to (action Subscribe). If not, it comes by itself.
    bool requires_subscription = false;
    /// Attempts of one request, the first one included. 1 or more.
    std::uint32_t max_attempts = 3;
    /// Whether two attempts of one request may be in flight together.
    bool allow_hedging = false;
    /// Whether the caller can carry out Cancel.
    bool supports_cancel = true;
    /// A server that starts can do at least this share of the work of a warm one, 0 to 1.
    double slow_start_min_share = 1;
    /// A server can do all of the work of a warm one this long after its start. Milliseconds, 0 or more; at 0
    /// there is no slow start.
    Millis slow_start_duration = 0;
    /// Sessions that this sidecar may hold, those that are being upgraded included. At 0 each is rejected.
    std::uint32_t max_sessions = 0;
    /// Sessions that this sidecar may hold at one server, those that are being upgraded included.
    std::uint32_t max_sessions_per_server = UINT32_MAX;
    /// A server in slow start that is sent more than this multiple of what it can do is overloaded. 1 or
    /// more.
    double overload_multiple = 2;
    /// What there is to be saved.
    Costs costs;
};

/// Settings make no sense. what() names the setting by the key that operators know it by.
class InvalidSetting : public std::invalid_argument {
public:
    /// @param setting the key, as in "classes[0].aim"
    explicit InvalidSetting(const std::string& setting);
    /// The key alone.
    const std::string& setting() const { return setting_; }

private:
    std::string setting_;
};

// ---- Events ---------------------------------------------------------------------------------------------

/// What the endpoint list says of a server.
enum class EndpointState {
    active,    ///< new requests may go there
    draining,  ///< it finishes what it has and gets nothing new
    removed    ///< it has left the list
};

/// An entry of the endpoint list.
struct ServerInfo {
    /// The server.
    ServerId id = 0;
    /// The zone that it is in.
    ZoneId zone = 0;
    /// Its kind of machine, as opaque as the zone. Servers of one type are likely to be alike.
    std::uint32_t machine_type = 0;
    /// The cell that it is in, as opaque as the zone (DedupScope::cell).
    std::uint32_t cell = 0;
    /// Whether it takes new requests.
    EndpointState state = EndpointState::active;
    /// When its process started. Milliseconds on the clock that ServerList::wall_time tells of; 0: long ago.
    Millis online_since = 0;
    /// Its size against that of other servers. Finite, above 0.
    double weight = 1;
};

/// What a ServerList holds.
enum class ListKind {
    incremental,  ///< entries that have changed, and no others
    snapshot,     ///< the whole list
    cached,       ///< the whole list as an earlier run last had it, possibly stale
    failed        ///< nothing: a call failed or the subscription broke; the list at hand stays in force
};

/// How an attempt ended.
enum class Outcome {
    success,           ///< the server has responded, completely
    error_response,    ///< the server has responded with an error; the request may have run
    rejected,          ///< the server has turned it away unseen; it never ran
    timed_out,         ///< no response in time; it may have run or be running
    connect_failed,    ///< no connection; it never ran
    connection_reset,  ///< the connection was lost while it was in flight; it may have run
    cancelled,         ///< this sidecar has withdrawn it; it may have run
    not_sent           ///< it was not written at all; it never ran
};

/// The first event of a run. A ServerList of kind ListKind::cached follows if there is one.
struct Started {};

/// The endpoint list, or a change of it.
struct ServerList {
    /// What `servers` holds.
    ListKind kind = ListKind::snapshot;
    /// The entries, in any order.
    std::vector<ServerInfo> servers{};
    /// What this machine's wall clock read as the list came, in Unix milliseconds. With it,
    /// ServerInfo::online_since is on the wall clocks of other machines, none of which is trusted alone.
    /// None: online_since is on the clock of `now`, and exact.
    std::optional<Millis> wall_time{};
    /// How long before the list a change may have happened without being reported: the time since the list
    /// service last said anything, also that nothing has changed. Milliseconds, 0 or more; infinity: since
    /// before this run. Only used with wall_time.
    Millis list_age_bound = 0;
};

/// What an earlier run of this sidecar had learned. Comes before the first list; later it has no effect.
struct StateRestored {
    /// What it had learned. Values out of range are ignored one by one.
    LearnedState learned_state{};
    /// Milliseconds since the state was taken, downtime included. Below 0: not known, and nothing of it is
    /// used.
    Millis age = -1;
};

/// A request has come.
struct RequestArrived {
    /// The request.
    RequestId id = 0;
    /// Its class, an index into Settings::classes. Out of range: it is handled as non-idempotent.
    std::uint32_t class_index = 0;
    /// Its tenant, an index into Settings::tenants. None or out of range: it counts as nobody's.
    std::optional<std::uint32_t> tenant{};
    /// Milliseconds until the client abandons this try. Less than 0 or not finite counts as 0.
    Millis time_left = 0;
    /// The work that is expected of it, in milliseconds of a standard core. 0: not known.
    Millis expected_work = 0;
    /// Whether it is known to be the client's retry.
    bool is_client_retry = false;
    /// Whether the caller cannot keep it: it needs its final response at once.
    bool needs_immediate_response = false;
    /// Whether its attempts are upgrades to a session. Then time_left is what they may take in all, and the
    /// class says how often one may take effect. Once AttemptEnded tells of a success, it belongs to its
    /// client until SessionEnded, without a deadline.
    bool session = false;
};

/// A streamed response has begun. The request belongs to its client from here on: no other response is given.
struct ResponseStarted {
    /// The request.
    RequestId id = 0;
    /// The attempt, counted as in AttemptEnded.
    std::uint32_t attempt = 0;
};

/// An attempt is over.
struct AttemptEnded {
    /// The request.
    RequestId id = 0;
    /// The attempt. Those of one request count from 0, in the order of their StartAttempt.
    std::uint32_t attempt = 0;
    /// How it ended.
    Outcome outcome = Outcome::success;
    /// How long it took, in milliseconds. 0 or more.
    Millis duration = 0;
    /// Whether the client has its final response, by this outcome or before.
    bool request_ended = false;
};

/// The client has gone before it had its response.
struct ClientDisconnected {
    /// The request.
    RequestId id = 0;
};

/// A session is over. No effect on one that is unknown or was over before.
struct SessionEnded {
    /// The request that was upgraded to it.
    RequestId id = 0;
    /// Whether it was broken by its server, or on the way there, without a close in good order.
    /// What the client did does not count.
    bool broken_by_server = false;
};

/// A timer that SetTimer asked for is due.
struct TimerFired {
    /// As in SetTimer.
    TimerToken token = 0;
};

/// The number of sidecars has changed. It replaces Settings::siblings. Whoever tells it has bounded and
/// checked it, see cluster/sibling_estimate.hpp.
struct SiblingCountChanged {
    /// Sidecars that share the servers now, this one included. 0 has no effect.
    std::uint32_t count = 0;
};

/// Anything that a Balancer is told.
using Event = std::variant<Started, StateRestored, ServerList, RequestArrived, ResponseStarted, AttemptEnded,
                           ClientDisconnected, SessionEnded, TimerFired, SiblingCountChanged>;

// ---- Actions --------------------------------------------------------------------------------------------
// A caller must be able to carry out all of them; Cancel only if Settings::supports_cancel is set.

/// Send the request to that server. The caller answers with AttemptEnded, once.
struct StartAttempt {
    /// The request.
    RequestId id = 0;
    /// Where it goes.
    ServerId server = 0;
    /// When the caller ends the attempt as Outcome::timed_out. Milliseconds on the clock of `now`.
    Millis attempt_deadline = 0;
    /// The last byte must be written before this time, else the attempt ends as Outcome::not_sent: by then
    /// servers may have forgotten the attempt that it repeats. Milliseconds on the clock of `now`; infinity:
    /// at any time.
    Millis write_by = std::numeric_limits<Millis>::infinity();
};

/// Withdraw an attempt. The caller answers with AttemptEnded, as for each attempt.
struct Cancel {
    /// The request.
    RequestId id = 0;
    /// The attempt, counted as in AttemptEnded.
    std::uint32_t attempt = 0;
};

/// Give the request its final response: it was not served, and trying again is harmless.
struct Reject {
    /// The request.
    RequestId id = 0;
    /// When the client should try again, in milliseconds from now. 0: no advice.
    Millis retry_after = 0;
};

/// Give the request its final response: it has failed, and nothing is said about trying again.
struct Fail {
    /// The request.
    RequestId id = 0;
};

/// Answer with TimerFired at that time.
struct SetTimer {
    /// Milliseconds on the clock of `now`.
    Millis at = 0;
    /// Names the timer in TimerFired.
    TimerToken token = 0;
};

/// Call for the endpoint list.
struct Subscribe {
    /// Always true.
    bool active = true;
};

/// Write a line to the log.
struct Log {
    /// What has happened.
    std::string text{};
    /// The server that it is about.
    std::optional<ServerId> server{};
};

/// Anything that a Balancer asks for.
using Action = std::variant<StartAttempt, Cancel, Reject, Fail, SetTimer, Subscribe, Log>;

// ---- The balancer ---------------------------------------------------------------------------------------

/// The decisions of one sidecar. Movable, not copyable, not thread-safe: one thread at a time.
class Balancer {
public:
    /// @param seed of all random choices
    /// @throws InvalidSetting for the first setting that makes no sense
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Takes in an event and appends the actions that follow from it. Events about unknown requests, or about
    /// things that are over, have no effect. A `now` that is not finite, or before that of an earlier event,
    /// counts as that one's.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    /// What a Balancer holds at present.
    struct ResourceUsage {
        /// Requests without a final response, or with an attempt in flight.
        std::size_t requests = 0;
        /// Servers that are listed, or have an attempt or a session of this sidecar left.
        std::size_t servers = 0;
        /// Timers that have been set and have not fired.
        std::size_t timers = 0;
        /// Entries of the wait queue, at most twice the requests and 64.
        std::size_t waiting = 0;
        /// Sessions that stand, at most Settings::max_sessions.
        std::size_t sessions = 0;
    };
    /// Counts what the Balancer holds. Constant time.
    ResourceUsage resource_usage() const;

    /// What it has learned, to be given to the next run (event StateRestored). Linear in the servers; changes
    /// nothing.
    LearnedState learned_state(Millis now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace elmbay::balancer
