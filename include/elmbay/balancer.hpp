// elmbay::balancer: the decisions of a sidecar balancer, without I/O and without a clock.
//
// One Balancer serves one sidecar. Feed it every event in order with the time at which it happened and carry
// out the actions it appends, in their order, at that same time. Times are milliseconds on any clock that
// never goes back. Servers, zones, requests and peers are named by integers that the caller chooses; their
// values carry no meaning. Same settings, seed and events give the same actions.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

using Millis = double;
using ServerId = std::uint32_t;
using ZoneId = std::uint32_t;
using RequestId = std::uint64_t;
using TimerToken = std::uint64_t;

// ---- Settings -------------------------------------------------------------------------------------------

// Whether an effect may happen twice: freely, within a group of servers that drops repeats, or never.
enum class Idempotency { idempotent, idempotency_key, non_idempotent };

// Which servers share the memory of keys already seen (for Idempotency::idempotency_key).
enum class DedupScope { all, zone, cell };

struct RequestClass {
    Idempotency idempotency = Idempotency::non_idempotent;
    DedupScope dedup_scope = DedupScope::cell;
    Millis dedup_window = 0;  // repeats are dropped this long after the first attempt that may have run
    Millis latency_objective = 1000;  // an answer within this earns full worth
    double objective_stretch = 0;     // the objective grows by this multiple of the request's own effort
    double priority_weight = 1;       // of one request, against other classes
    double late_weight = 0;           // the part of it that an answer past its objective still earns, 0 to 1
};

struct Tenant {
    double quota = 0;  // requests per second within its share, summed over all sidecars
};

// Prices in shares of the whole result, as operators state them; 0 leaves a matter out of account.
struct Costs {
    double cross_zone = 0;  // for each attempt that leaves the zone
};

struct Settings {
    std::vector<RequestClass> classes;  // at least one
    std::vector<Tenant> tenants;        // may be empty
    std::optional<ZoneId> my_zone;
    std::uint32_t siblings = 1;       // sidecars that share these servers, this one included
    bool list_on_request = false;     // the server list must be subscribed to
    std::uint32_t max_attempts = 3;   // for one request, the first included
    bool allow_hedging = false;       // two attempts of one request may be out together
    bool may_cancel = true;           // Cancel is permitted
    double slow_start_min_share = 1;  // a starting server has at least this share of its capacity, 0 to 1
    Millis slow_start_duration = 0;   // and all of it after this
    // Sessions this sidecar may hold, those that are upgrading among them: in all (0: each is refused), and
    // at one server.
    std::uint32_t max_sessions = 0, max_sessions_per_server = UINT32_MAX;
    double overload_multiple = 2;  // sent more than this multiple of what it can do, a cold server falls over
    Costs costs;
};

// ---- Events ---------------------------------------------------------------------------------------------

enum class EndpointState { active, draining, removed };

struct ServerInfo {
    ServerId id = 0;
    ZoneId zone = 0;
    std::uint32_t machine_type = 0;  // as opaque as the zone: servers of one type are likely to be alike
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    Millis online_since = 0;  // when it last started, see ServerList::wall_time; 0: long ago
    double weight = 1;        // its size against other servers' as the list tells it; finite, over 0
};

// incremental: changed entries only. full: the whole list. saved: the whole list as last held before this
// start, possibly stale. failed: a call failed or the subscription broke; the list held stays in force.
enum class ListKind { incremental, snapshot, cached, failed };

enum class Outcome {
    success,
    error_response,    // the server said so; it may have run
    rejected,          // turned away unseen; never ran
    timed_out,         // no answer in time; may have run or be running
    connect_failed,    // no connection; never ran
    connection_reset,  // connection lost while out; may have run
    cancelled,         // withdrawn by us; may have run
    not_sent           // not issued at all; never ran
};

struct Started {};  // the first event of a life; a list of kind saved follows
struct ServerList {
    ListKind kind = ListKind::snapshot;
    std::vector<ServerInfo> servers{};
    // What this machine's wall clock read as the list came, where online_since is on other machines' wall
    // clocks: none of them is trusted alone. None: online_since is on the clock of `now`, and exact.
    std::optional<Millis> wall_time{};
    // How long before the list a change may have happened without being told: since the last word of whoever
    // tells it, also that nothing has changed. Infinity: since before this life. Only used with wall_time.
    Millis list_age_bound = 0;
};
// What an earlier life of this sidecar had learned, before the first list. age: since it was taken, downtime
// and all; less than 0: not known, and nothing of it is believed.
struct StateRestored {
    LearnedState learned_state{};
    Millis age = -1;
};
struct RequestArrived {
    RequestId id = 0;                       // never used twice
    std::uint32_t class_index = 0;          // into Settings::classes; out of range: handled with most care
    std::optional<std::uint32_t> tenant{};  // into Settings::tenants; none or out of range: nobody's
    Millis time_left = 0;                   // until the client abandons this try
    Millis effort = 0;                      // expected work, 0 if not known
    bool repeat = false;                    // known to be the client's retry
    bool table_full = false;                // the driver can't keep it: it needs its answer at once
    // Its attempts are upgrades, time_left is what they may take in all, its class says how often one may
    // take effect. Once AttemptEnded tells of a completed one, it belongs to its client until SessionEnded,
    // without a deadline.
    bool session = false;
};
struct FirstByte {  // a streamed answer has begun; the attempt belongs to the client from here on
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct AttemptEnded {
    RequestId id = 0;
    std::uint32_t attempt = 0;  // attempts of one request count from 0 in the order of their Send
    Outcome outcome = Outcome::success;
    Millis duration = 0;
    bool request_ended = false;  // the client has its final answer, by this outcome or before
};
struct ClientDisconnected {
    RequestId id = 0;
};
// A session is over; of one that is not held it has no effect. broken: by its server, or on the way there,
// with no close in good order. What a client did is not.
struct SessionEnded {
    RequestId id = 0;
    bool broken = false;
};
struct TimerFired {
    TimerToken token = 0;
};
// How many sidecars share the servers now, this one included, in place of Settings::siblings; 0 says nothing.
// Told by whoever knows them, bounded and doubted: see cluster/sibling_estimate.hpp.
struct SiblingsKnown {
    std::uint32_t count = 0;
};
using Event = std::variant<Started, StateRestored, ServerList, RequestArrived, FirstByte, AttemptEnded,
                           ClientDisconnected, SessionEnded, TimerFired, SiblingsKnown>;

// ---- Actions --------------------------------------------------------------------------------------------
// A caller must be able to carry out all of them.

struct StartAttempt {
    RequestId id = 0;
    ServerId server = 0;
    Millis attempt_deadline = 0;  // the caller ends the attempt as overdue at this time
    // Its last byte leaves before this time, or the attempt ends as superseded: by then the servers may have
    // forgotten the one that it repeats.
    Millis write_by = std::numeric_limits<Millis>::infinity();
};
struct Cancel {
    RequestId id = 0;
    std::uint32_t attempt = 0;
};
struct Reject {  // final: trying again is harmless
    RequestId id = 0;
    Millis retry_after = 0;  // 0: no advice
};
struct Fail {  // final: failed, promises nothing
    RequestId id = 0;
};
struct SetTimer {
    Millis at = 0;
    TimerToken token = 0;
};
struct Subscribe {
    bool active = true;
};
struct Log {
    std::string text{};
    std::optional<ServerId> server{};  // whom it is about
};
using Action = std::variant<StartAttempt, Cancel, Reject, Fail, SetTimer, Subscribe, Log>;

// ---- The balancer ---------------------------------------------------------------------------------------

class Balancer {
public:
    // Throws std::invalid_argument naming the setting that makes no sense.
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    // Appends to actions. Events about unknown or finished things have no effect.
    void handle(Millis now, const Event& event, std::vector<Action>& actions);

    // What this instance costs in memory: requests, servers and timers held at present, the length of the
    // list of those that wait for room, at most twice the requests and 64, and sessions, at most
    // max_sessions.
    struct ResourceUsage {
        std::size_t requests = 0, servers = 0, timers = 0, waiting = 0, sessions = 0;
    };
    ResourceUsage resource_usage() const;

    // What it has learned, to be given to the next life. Linear in the servers; changes nothing.
    LearnedState learned_state(Millis now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace elmbay::balancer
