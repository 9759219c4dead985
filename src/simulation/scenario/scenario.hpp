/// \file
/// A scenario: the service, its clients, the sidecars between them, and what goes wrong when.
///
/// A scenario is one TOML file. parse_scenario() checks it as a whole before anything starts and reports
/// every problem with line, key and what is allowed, including those that only appear when faults are
/// combined (a server that crashes twice). Times are milliseconds from the start of the simulation. Work is
/// milliseconds of one core at nominal speed.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "elmbay/balancer.hpp"
#include "fault_proxy/rules.hpp"
#include "schema/schema.hpp"
#include "simulation/scenario/fault_spec.hpp"

namespace elmbay::simulation {

/// The keys at the top of a scenario file.
struct Overview {
    std::string description;
    Millis duration = 30000;  ///< From the first arrival to the last.
    std::uint64_t seed = 1;   ///< All random draws derive from it.
};

/// `[fleet]`: the servers. All have the same specification except for their speed.
struct FleetSpec {
    std::uint64_t servers = 12;  ///< Named s-0, s-1 and so on.
    /// Servers and sidecars are assigned to them in turn.
    std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};
    std::uint64_t cores = 4;
    double speed_variation = 0.1;        ///< Machines differ from nominal speed by up to this share.
    std::uint64_t worker_slots = 16;     ///< Requests executing at once; they share the cores evenly.
    std::uint64_t queue_capacity = 80;   ///< Requests waiting for a slot; beyond it requests are rejected.
    double contention_penalty = 0.03;    ///< Efficiency lost per request held per core beyond the threshold.
    double contention_threshold = 6;     ///< Requests held per core that cost no efficiency.
    double slow_start_min_share = 0.2;   ///< Share of its capacity that a server has when it starts.
    Millis slow_start_duration = 15000;  ///< Until a started server has its whole capacity.
    std::string warmup_mode = "time";    ///< What warms a server up: "time", or "work" as well.
    Millis warmup_work = 20000;  ///< Mode "work": so much work warms it up before slow_start_duration.
    /// Whether a server drops a queued request whose sidecar gave up. Executing requests always go on.
    bool drops_abandoned_requests = true;
    std::uint64_t max_connections = 800;
    Millis handshake_work = 1;          ///< Work of accepting a connection.
    double connection_overhead = 0.25;  ///< Share of capacity that a full connection table takes.
    Millis connect_timeout = 150;
    Millis idle_timeout = 15000;      ///< An idle connection is closed after it.
    Millis same_zone_latency = 0.2;   ///< One way.
    Millis cross_zone_latency = 0.6;  ///< One way.
    double latency_jitter = 0.2;      ///< Share of a latency by which it varies either way.
    double error_rate = 0.0005;       ///< Share of requests that fail without any fault.
};

/// `[registry]`: how late the endpoint list is.
struct RegistrySpec {
    Millis min_notice_delay = 800;   ///< From a change of a server to its notice in the list.
    Millis max_notice_delay = 3000;  ///< From a change of a server to its notice in the list.
    Millis max_sidecar_skew = 100;   ///< Between the first sidecar that gets a notice and the last.
};

/// `[callers]`: the clients, which arrive independently of responses (open loop).
struct ClientsSpec {
    double rate = 300;                      ///< New operations a second, through all sidecars together.
    std::string arrival_shape = "steady";   ///< steady, bursty, ramp or wave.
    double rate_amplitude = 0.3;            ///< bursty, wave: share by which the rate leaves its mean.
    double ramp_multiple = 1;               ///< ramp: multiple of the rate at the end.
    Millis period = 8000;                   ///< wave: its period. bursty: mean length of a burst or lull.
    double sidecar_skew = 0.5;              ///< 0: all sidecars get the same traffic; towards 1: a few most.
    std::uint64_t max_retries = 3;          ///< Of one client, after its first request.
    double request_timeout_share = 0.45;    ///< Share of the class's client_deadline given to one request.
    Millis backoff = 50;                    ///< Mean wait before a retry.
    Millis retry_alignment = 0;             ///< Retries leave at multiples of this. 0: independently.
    double retry_after_compliance = 0.4;    ///< Share of clients that obey Retry-After.
    double early_disconnect_share = 0.005;  ///< Share of requests whose client disconnects early.
};

/// `[sidecars]`: the load balancers under test.
struct SidecarsSpec {
    std::uint64_t count = 4;  ///< Named n-0, n-1 and so on.
    std::uint64_t max_sockets = 1024;
    std::uint64_t max_attempts = 4;  ///< For one request, the first included.
    Millis snapshot_interval = 0;    ///< How often learned state is saved. 0: never. Virtual time only.
    bool cluster_enabled = false;    ///< Whether sidecars run the membership protocol.
};

/// `[messages]`: datagrams between sidecars, which may be late or lost.
struct MessagesSpec {
    /// Largest payload in bytes that the operators allow.
    static constexpr std::uint64_t kMaxMessageBytes = 256;

    Millis min_delay = 1.5;  ///< One way; uniform up to max_delay.
    Millis max_delay = 14;
    double loss_rate = 0.01;
    /// Points of goodput charged for bytes delivered / (kMaxMessageBytes x operations).
    double goodput_cost = 0.01;
    /// Interval of plain heartbeats in virtual time, by which a file can test who would hear whom. 0: none.
    Millis heartbeat_interval = 0;
    std::uint64_t heartbeat_bytes = 64;
    std::uint64_t heartbeat_fanout = 3;  ///< Receivers of one heartbeat, drawn at random. 0: all.
};

/// `[rules]`: limits of the invariants, and what sidecars are configured with where that differs.
struct InvariantSpec {
    Millis drain_grace = 500;        ///< After it no new attempt may go to a draining server.
    double overload_multiple = 2.5;  ///< Multiple of its capacity beyond which a cold server falls over.
    Millis overload_window = 1000;   ///< Time over which the work sent to a cold server is summed.
    /// What sidecars are configured with in place of the fleet's figure, which is a bound for all machines of
    /// a site. 0: the fleet's figure.
    double configured_slow_start_min_share = 0;
    Millis configured_slow_start_duration = 0;  ///< As configured_slow_start_min_share.
};

/// One `[[class]]` of requests.
struct ClassSpec {
    std::string name;             ///< As in the header X-Service-Class.
    double share = 1;             ///< Of the operations, relative to the other classes.
    std::string effect = "safe";  ///< Of a repetition: safe, keyed (dropped by its key) or unsafe.
    Millis work = 80;             ///< Mean.
    std::string work_distribution = "lognormal";  ///< fixed, exponential or lognormal.
    double work_variation = 0.5;                  ///< Lognormal: coefficient of variation of the work.
    double attempt_variation = 0.2;  ///< Coefficient of variation between attempts of one request.
    Millis latency_objective = 400;  ///< A later response has no value.
    Millis client_deadline = 1500;   ///< For the first request and all retries of a client together.
    double priority_weight = 3;      ///< Value of a unit of work.
    Millis dedup_window = 3000;      ///< keyed: how long servers drop repetitions.

    /// What `effect` means to the decision module.
    balancer::Idempotency idempotency() const;
};

/// `[expect]`: bounds on the metrics of a run. A default is not checked. Invariants are always checked.
struct ExpectationSpec {
    double min_goodput = 0;         ///< Delivered value over offered value.
    double min_class_goodput = 0;   ///< Goodput of the worst class.
    double min_second_goodput = 0;  ///< Goodput of the worst second with enough traffic.
    double max_attempts_per_request = 1e9;
    double min_answered_share = 0;         ///< Share of operations that got any response with status 200.
    double max_delayed_failure_share = 1;  ///< See InvariantChecker::delayed_failures().
    Millis max_p99 = 1e9;                  ///< Latency of the worst class.
    double min_onset_ratio = 0;            ///< See SurgeReport::onset_ratio.
    Millis max_settling_time = 1e9;        ///< See SurgeReport::settling_time.
    Millis max_recovery_time = 1e9;        ///< See SurgeReport::recovery_time.
};

/// All that a run needs. Immutable once parsed; both drivers play the same object.
struct Scenario {
    std::string name;
    Overview overview;
    FleetSpec fleet;
    RegistrySpec registry;
    ClientsSpec clients;
    SidecarsSpec sidecars;
    MessagesSpec messages;
    InvariantSpec invariants;
    ExpectationSpec expectations;
    std::vector<ClassSpec> classes;
    std::vector<FaultSpec> faults;

    /// The zone of a server or sidecar, as an index into fleet.zones.
    std::uint32_t zone_of(std::uint32_t process) const {
        return process % static_cast<std::uint32_t>(fleet.zones.size());
    }
    /// Whether a fault of kind join starts the server, so that it is off at first.
    bool joins_later(std::uint32_t server) const;
    /// Fault proxy rules for the faults on links between sidecars (n-I), servers (s-J) and "list".
    std::vector<fault_proxy::Rule> link_rules() const;
    /// Fault proxy rules for the usual delay and loss of messages between sidecars.
    std::vector<fault_proxy::Rule> message_rules() const;
    /// Settings of a sidecar's decision module, with the overrides of `changed` if that is given.
    balancer::Settings settings(std::uint32_t sidecar, const FaultSpec* changed = nullptr) const;
};

/// A scenario file that cannot be used. what() has a line for each problem.
class ScenarioError : public std::runtime_error {
public:
    ScenarioError(const std::string& file, schema::Problems problems);
    /// Each with its line, key and reason.
    const schema::Problems& problems() const { return problems_; }

private:
    schema::Problems problems_;
};

/// Parses and validates the text of a scenario file.
///
/// \param file  the name used in error messages
/// \param seed  replaces the seed of the file
/// \throws ScenarioError
Scenario parse_scenario(const std::string& text, const std::string& file,
                        std::optional<std::uint64_t> seed = {});

/// Every key of a scenario file with its meaning, unit, range and default.
std::string scenario_manual();

}  // namespace elmbay::simulation
