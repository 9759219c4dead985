/// @file
/// A scenario: the service, its clients, the sidecars between them, and the faults with their times.
///
/// A scenario is one TOML file. parse_scenario() checks the whole file before the run starts. It reports
/// every problem with line, key and accepted values, including problems that arise only from a combination of
/// faults, such as a server that crashes twice. Times are milliseconds from the start of the simulation. Work
/// is milliseconds of one core at nominal speed.
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
    Millis duration = 30000;  ///< Time from the first arrival to the last.
    std::uint64_t seed = 1;   ///< All random draws derive from this seed.
};

/// `[fleet]`: the servers. All servers have the same specification except for their speed.
struct FleetSpec {
    std::uint64_t servers = 12;  ///< Number of servers, named s-0, s-1 and so on.
    /// Zones. Servers and sidecars are assigned to them in round-robin order.
    std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};
    std::uint64_t cores = 4;
    double speed_variation = 0.1;  ///< Maximum deviation of a machine from nominal speed, as a share.
    /// Maximum number of concurrently executing requests; they share the cores evenly.
    std::uint64_t worker_slots = 16;
    std::uint64_t queue_capacity = 80;  ///< Maximum number of queued requests; further requests are rejected.
    double contention_penalty = 0.03;   ///< Efficiency lost for each request per core above the threshold.
    double contention_threshold = 6;    ///< Requests per core up to which efficiency is full.
    double slow_start_min_share = 0.2;  ///< Share of its capacity that a server has at its start.
    Millis slow_start_duration = 15000;  ///< Time from a server's start until it has its full capacity.
    std::string warmup_mode = "time";    ///< How a server warms up: by "time" alone, or also by "work".
    /// Mode "work": work after which a server is warm, even before slow_start_duration.
    Millis warmup_work = 20000;
    /// Whether a server drops a queued request that its sidecar cancelled. Executing requests always run to
    /// completion.
    bool drops_abandoned_requests = true;
    std::uint64_t max_connections = 800;
    Millis handshake_work = 1;          ///< Work of accepting a connection.
    double connection_overhead = 0.25;  ///< Share of capacity that a full connection table uses.
    Millis connect_timeout = 150;
    Millis idle_timeout = 15000;      ///< Time after which an idle connection is closed.
    Millis same_zone_latency = 0.2;   ///< One-way latency within a zone.
    Millis cross_zone_latency = 0.6;  ///< One-way latency between zones.
    double latency_jitter = 0.2;      ///< Share by which a latency varies in either direction.
    double error_rate = 0.0005;       ///< Share of requests that fail without any scripted fault.
};

/// `[registry]`: delays of the endpoint list.
struct RegistrySpec {
    Millis min_notice_delay = 800;   ///< Minimum time from a change of a server to its notice in the list.
    Millis max_notice_delay = 3000;  ///< Maximum time from a change of a server to its notice in the list.
    /// Maximum time from the first sidecar to receive a notice until the last.
    Millis max_sidecar_skew = 100;
};

/// `[callers]`: the clients, which arrive independently of responses (open loop).
struct ClientsSpec {
    double rate = 300;                     ///< New operations per second through all sidecars together.
    std::string arrival_shape = "steady";  ///< Shape of the arrival rate: steady, bursty, ramp or wave.
    double rate_amplitude = 0.3;           ///< bursty, wave: share by which the rate deviates from its mean.
    double ramp_multiple = 1;              ///< ramp: factor on the rate at the end.
    Millis period = 8000;  ///< wave: period of the wave. bursty: mean duration of a burst or lull.
    /// 0: all sidecars receive the same traffic; close to 1: a few receive most of it.
    double sidecar_skew = 0.5;
    std::uint64_t max_retries = 3;  ///< Maximum retries of one client after its first request.
    /// Timeout of one request, as a share of the class's client_deadline.
    double request_timeout_share = 0.45;
    Millis backoff = 50;         ///< Mean delay before a retry.
    Millis retry_alignment = 0;  ///< Retries are sent at multiples of this time. 0: they are not aligned.
    double retry_after_compliance = 0.4;    ///< Share of clients that comply with Retry-After.
    double early_disconnect_share = 0.005;  ///< Share of requests whose client disconnects early.
};

/// `[sidecars]`: the load balancers under test.
struct SidecarsSpec {
    std::uint64_t count = 4;  ///< Number of sidecars, named n-0, n-1 and so on.
    std::uint64_t max_sockets = 1024;
    std::uint64_t max_attempts = 4;  ///< Maximum attempts of one request, including the first.
    /// Interval at which learned state is saved. 0: never. In virtual time only.
    Millis snapshot_interval = 0;
    bool cluster_enabled = false;  ///< Whether sidecars run the membership protocol.
};

/// `[messages]`: datagrams between sidecars, which may be delayed or lost.
struct MessagesSpec {
    /// Maximum payload in bytes that the operators allow.
    static constexpr std::uint64_t kMaxMessageBytes = 256;

    Millis min_delay = 1.5;  ///< Minimum one-way delay. Delays are uniformly distributed up to max_delay.
    Millis max_delay = 14;
    double loss_rate = 0.01;
    /// Points of goodput charged for bytes delivered / (kMaxMessageBytes x operations).
    double goodput_cost = 0.01;
    /// Interval of plain heartbeats in virtual time. They show which sidecars can reach each other. 0: none.
    Millis heartbeat_interval = 0;
    std::uint64_t heartbeat_bytes = 64;
    std::uint64_t heartbeat_fanout = 3;  ///< Receivers of one heartbeat, drawn at random. 0: all sidecars.
};

/// `[rules]`: limits of the invariants, and slow-start settings of the sidecars where they differ from the
/// fleet.
struct InvariantSpec {
    /// Time after the drain notice from which a sidecar must not start an attempt on the server.
    Millis drain_grace = 500;
    /// Multiple of its capacity above which a cold server is overloaded and fails.
    double overload_multiple = 2.5;
    Millis overload_window = 1000;  ///< Sliding window over which the work sent to a cold server is summed.
    /// Minimum slow-start share in the sidecars' configuration, where operators configure one bound for all
    /// machines of a site. 0: the value of the fleet.
    double configured_slow_start_min_share = 0;
    /// Slow-start duration in the sidecars' configuration. 0: the value of the fleet.
    Millis configured_slow_start_duration = 0;
};

/// One `[[class]]` of requests.
struct ClassSpec {
    std::string name;  ///< Value of the header X-Service-Class.
    double share = 1;  ///< Share of the operations, relative to the other classes.
    /// Effect of a repetition: safe, keyed (deduplicated by its key) or unsafe.
    std::string effect = "safe";
    Millis work = 80;  ///< Mean work of a request.
    /// Distribution of the work: fixed, exponential or lognormal.
    std::string work_distribution = "lognormal";
    double work_variation = 0.5;     ///< lognormal: coefficient of variation of the work.
    double attempt_variation = 0.2;  ///< Coefficient of variation between attempts of one request.
    Millis latency_objective = 400;  ///< Latency above which a response has no value.
    /// Time limit for the first request and all retries of a client together.
    Millis client_deadline = 1500;
    double priority_weight = 3;  ///< Value of one unit of work.
    Millis dedup_window = 3000;  ///< keyed: time for which servers drop repetitions.

    /// Returns the decision module's equivalent of `effect`.
    balancer::Idempotency idempotency() const;
};

/// `[expect]`: bounds on the metrics of a run. A bound left at its default is not checked. Invariants are
/// always checked.
struct ExpectationSpec {
    double min_goodput = 0;         ///< Delivered value over offered value.
    double min_class_goodput = 0;   ///< Goodput of the worst class.
    double min_second_goodput = 0;  ///< Goodput of the worst second with enough traffic.
    double max_attempts_per_request = 1e9;
    double min_answered_share = 0;  ///< Share of operations with a response of status 200, in time or late.
    double max_delayed_failure_share = 1;  ///< See InvariantChecker::delayed_failures().
    Millis max_p99 = 1e9;                  ///< Latency of the worst class.
    double min_onset_ratio = 0;            ///< See SurgeReport::onset_ratio.
    Millis max_settling_time = 1e9;        ///< See SurgeReport::settling_time.
    Millis max_recovery_time = 1e9;        ///< See SurgeReport::recovery_time.
};

/// The complete input of a run. Immutable after parsing; both drivers use the same object.
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
    /// Whether a fault of kind join starts the server, so that it is not running at the start of the
    /// scenario.
    bool joins_later(std::uint32_t server) const;
    /// Fault proxy rules for the faults on links between sidecars (n-I), servers (s-J) and "list".
    std::vector<fault_proxy::Rule> link_rules() const;
    /// Fault proxy rules for the usual delay and loss of messages between sidecars.
    std::vector<fault_proxy::Rule> message_rules() const;
    /// Settings of a sidecar's decision module, with the overrides of the fault `changed` unless it is null.
    balancer::Settings settings(std::uint32_t sidecar, const FaultSpec* changed = nullptr) const;
};

/// Error of an invalid scenario file. what() has one line for each problem.
class ScenarioError : public std::runtime_error {
public:
    ScenarioError(const std::string& file, schema::Problems problems);
    /// Returns the problems, each with its line, key and reason.
    const schema::Problems& problems() const { return problems_; }

private:
    schema::Problems problems_;
};

/// Parses and validates the text of a scenario file.
///
/// @param file  the name used in error messages
/// @param seed  replaces the seed of the file
/// @throws ScenarioError
Scenario parse_scenario(const std::string& text, const std::string& file,
                        std::optional<std::uint64_t> seed = {});

/// Returns a description of every key of a scenario file: meaning, unit, range and default.
std::string scenario_manual();

}  // namespace elmbay::simulation
