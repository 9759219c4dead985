// An scenario: the service_model, its clients, the sidecars between them, and what goes wrong when. One TOML
// file.
//
// parse_scenario() checks the file as a whole before anything starts: every problem is named with line, key
// and what is allowed, also what only shows when faults are laid over each other (a server that dies twice).
// Times are milliseconds from the start of the simulation; work is milliseconds of one core at usual speed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "elmbay/balancer.hpp"
#include "fault_proxy/rules.hpp"
#include "schema/schema.hpp"

namespace elmbay::simulation {

using balancer::Millis;

struct Overview {
    std::string description;
    Millis duration = 30000;
    std::uint64_t seed = 1;
};

struct FleetSpec {
    std::uint64_t servers = 12;
    std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};
    std::uint64_t cores = 4;
    double speed_variation = 0.1;       // machines differ by so much either way
    std::uint64_t worker_slots = 16;    // requests in work
    std::uint64_t queue_capacity = 80;  // the waiting room
    double contention_penalty = 0.03;   // efficiency lost for each request held per core beyond thrash_from
    double contention_threshold = 6;
    double slow_start_min_share = 0.2;  // share of its capacity with which a started server begins
    Millis slow_start_duration = 15000;
    std::string warmup_mode = "time";  // or "work"
    Millis warmup_work = 20000;  // by work: so much makes it warm, if slow_start_duration does not before
    bool drops_abandoned_requests =
        true;  // what waits is dropped when its sidecar stops waiting; running work goes on
    std::uint64_t max_connections = 800;
    Millis handshake_work = 1;
    double connection_overhead = 0.25;  // of its capacity that a full connection table takes
    Millis connect_timeout = 150;
    Millis idle_timeout = 15000;
    Millis same_zone_latency = 0.2, cross_zone_latency = 0.6,
           latency_jitter = 0.2;  // one way; the jitter is a share
    double error_rate = 0.0005;
};

struct RegistrySpec {
    Millis min_notice_delay = 800, max_notice_delay = 3000;  // from an event to its being told
    Millis max_sidecar_skew = 100;                           // between sidecars
};

struct ClientsSpec {
    double rate = 300;  // requests a second, all sidecars together
    std::string arrival_shape = "steady";
    double rate_amplitude = 0.3;  // of bursty and wave, how far from the mean
    double ramp_multiple = 1;     // of ramp: the multiple of the rate at the end
    Millis period = 8000;         // of wave; the mean length of a burst or lull
    double sidecar_skew = 0.5;    // 0: all sidecars alike; towards 1 few carry most
    std::uint64_t max_retries = 3;
    double request_timeout_share = 0.45;  // a try is given up after this share of its class's give-up time
    Millis backoff = 50;
    Millis retry_alignment = 0;  // retries leave at multiples of this, all at once; 0: each for itself
    double retry_after_compliance = 0.4;    // the share of clients that keep to Retry-After
    double early_disconnect_share = 0.005;  // the share that leaves before its try is over
};

struct SidecarsSpec {
    std::uint64_t count = 4;
    std::uint64_t max_sockets = 1024;
    std::uint64_t max_attempts = 4;
    Millis snapshot_interval = 0;
    bool cluster_enabled = false;  // they know each other
};

// Messages between sidecars, as PROTOCOL's "Between sidecars" and BRIEF have them: datagrams, late or lost.
struct MessagesSpec {
    Millis min_delay = 1.5, max_delay = 14;  // one way, uniform between
    double loss_rate = 0.01;
    double goodput_cost = 0.01;  // points of goodput for bytes delivered / (kMaxMessage x first tries)
    // Beats, in virtual time only: plain messages, so that a file can ask who would hear whom. On sockets
    // sidecars send what they have to say.
    Millis heartbeat_interval = 0;  // 0: none
    std::uint64_t heartbeat_bytes = 64;
    std::uint64_t heartbeat_fanout = 3;                     // others, drawn for each beat; 0: all
    static constexpr std::uint64_t kMaxMessageBytes = 256;  // bytes; PROTOCOL
};

struct InvariantSpec {
    Millis drain_grace = 500;
    double overload_multiple = 2.5;
    Millis overload_window = 1000;
    // What sidecars are told of cold starts, where it is less than the truth: the settings of a site are
    // bounds for all its machines. 0: the truth.
    double configured_slow_start_min_share = 0;
    Millis configured_slow_start_duration = 0;
};

struct ClassSpec {
    std::string name;
    double share = 1;
    std::string effect = "safe";  // safe, keyed, unsafe
    Millis work = 80;
    std::string work_distribution = "lognormal";  // fixed, exponential
    double work_variation = 0.5;
    double attempt_variation = 0.2;
    Millis latency_objective = 400, client_deadline = 1500;
    double priority_weight = 3;
    Millis dedup_window = 3000;  // keyed: repeats are dropped for so long

    balancer::Idempotency idempotency() const;
};

// What the operators expect of the run; what is left out is not looked at. The four rules always are.
struct ExpectationSpec {
    double min_goodput = 0;         // worth answered within its objective over worth asked for, at least
    double min_class_goodput = 0;   // the same of the worst class
    double min_second_goodput = 0;  // and of the worst second in which enough was asked
    double max_attempts_per_request = 1e9;  // attempts a try, at most
    double min_answered_share = 0;          // share of requests that got any 200, at least
    double max_delayed_failure_share =
        1;                 // share of tries answered without a server long after nothing was out
    Millis max_p99 = 1e9;  // of the worst class
    // Of rushes (faults of kind load), see RushReport.
    double min_onset_ratio = 0;  // at least
    Millis max_settling_time = 1e9, max_recovery_time = 1e9;
};

enum class FaultKind {
    crash,              // the process ends: connections are reset; it comes back cold
    machine_cut_off,    // the machine says nothing more: connections stay open and silent; back cold
    freeze,             // stands still for `pause` every `every`
    fail_fast,          // answers `share` of its requests with 500 at once
    noisy_neighbour,    // another program takes `share` of the machine, on and off
    unresponsive,       // accepts connections and requests and answers none
    drain,              // is told to drain, finishes, and is gone after `linger`; back cold after `lasts`
    join,               // a server that was off until now starts cold
    list_delay,         // the list falls `delay` further behind
    load_surge,         // clients ask `times` as often
    partition,          // `groups` don't hear each other
    one_way_partition,  // nothing of `from` gets to `to`; the other way all does
    message_loss,       // `share` of the messages from `from` to `to` are lost
    message_delay,      // they are `delay` later, half of it more or less
    sidecar_kill,
    sidecar_restart,        // SIGTERM, then started again
    sidecar_reload,         // discovery moves and SIGHUP says so
    sidecar_pause,          // stands still and wakes with what it believed
    sidecar_cpu_limit,      // has `share` of its core
    sidecar_other_build,    // restarted from `build`, and back after `lasts`
    sidecar_other_settings  // restarted with what `set` says, and back after `lasts`
};
// Of the sidecars' kinds only.
constexpr bool hits_sidecars(FaultKind kind) { return kind >= FaultKind::sidecar_kill; }

struct FaultSpec {
    std::uint32_t line = 0;
    std::string kind_name;
    FaultKind kind = FaultKind::crash;
    std::string name;  // for logs and plots; the kind if left out
    Millis start = 0, duration = 0;
    std::vector<std::string> targets{"10%"};  // names, "30%", a hall, "all"
    Millis pulse = 150, period = 2000;
    double share = 0.5;
    Millis delay = 5000, linger = 3000, stagger = 0;  // apart: between one server's drain and the next one's
    double load_multiple = 4;
    std::string load_shape = "step";            // load: step, ramp, doubling, spikes, square
    std::vector<std::string> groups, from, to;  // split, one-way: names, halls (servers and sidecars), "list"
    bool intermittent = false;                  // split, one-way: on for `pause` every `every`
    std::string build;  // other-build: a balancer in virtual time, on sockets a name of `--build`
    std::vector<std::string> setting_overrides;  // other-settings: "siblings=30"
    std::string only_class;  // load: the class of what is asked beyond the usual; none: the usual mix

    std::vector<std::uint32_t> target_ids;  // numbers of servers or sidecars, in order; filled by the check
    Millis start_of(std::size_t nth) const { return start + stagger * static_cast<double>(nth); }
};

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

    std::uint32_t zone_of(std::uint32_t server) const {
        return server % static_cast<std::uint32_t>(fleet.zones.size());
    }
    bool joins_later(std::uint32_t server) const;  // it joins later
    // What splits, one-way faults and faults on messages do to links between n-I, s-J and "list".
    std::vector<fault_proxy::Rule> link_rules() const;
    // What messages between sidecars meet without any fault.
    std::vector<fault_proxy::Rule> message_rules() const;
    // The settings that a decision module gets for this scenario; changed: with a fault's `set` over them.
    balancer::Settings settings(std::uint32_t sidecar, const FaultSpec* changed = nullptr) const;
};

// A file that can't be used; what() has a line for each problem.
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Throws ScenarioError. file is the name for its messages. seed: in place of the file's, if given.
Scenario parse_scenario(const std::string& text, const std::string& file,
                        std::optional<std::uint64_t> seed = {});
// Every key of an scenario file with its unit, default and range.
std::string scenario_manual();

}  // namespace elmbay::simulation
