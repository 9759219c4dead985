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
    std::string about;
    Millis length = 30000;
    std::uint64_t seed = 1;
};

struct FleetSpec {
    std::uint64_t servers = 12;
    std::vector<std::string> halls{"hall-a", "hall-b", "hall-c"};
    std::uint64_t cores = 4;
    double speed_spread = 0.1;  // machines differ by so much either way
    std::uint64_t slots = 16;   // requests in work
    std::uint64_t queue = 80;   // the waiting room
    double thrash = 0.03;       // efficiency lost for each request held per core beyond thrash_from
    double thrash_from = 6;
    double slow_start_min_share = 0.2;  // share of its capacity with which a started server begins
    Millis slow_start_duration = 15000;
    std::string warm_by = "time";  // or "work"
    Millis warm_work = 20000;      // by work: so much makes it warm, if slow_start_duration does not before
    bool drops_waiting = true;  // what waits is dropped when its sidecar stops waiting; running work goes on
    std::uint64_t connections = 800;
    Millis handshake_work = 1;
    double connection_tax = 0.25;  // of its capacity that a full connection table takes
    Millis connect_timeout = 150;
    Millis idle_close = 15000;
    Millis same_hall = 0.2, cross_hall = 0.6, latency_jitter = 0.2;  // one way; the jitter is a share
    double error_rate = 0.0005;
};

struct RegistrySpec {
    Millis notice_least = 800, notice_most = 3000;  // from an event to its being told
    Millis spread = 100;                            // between sidecars
};

struct ClientsSpec {
    double rate = 300;  // requests a second, all sidecars together
    std::string shape = "steady";
    double swing = 0.3;    // of bursty and wave, how far from the mean
    double ramp_to = 1;    // of ramp: the multiple of the rate at the end
    Millis period = 8000;  // of wave; the mean length of a burst or lull
    double skew = 0.5;     // 0: all sidecars alike; towards 1 few carry most
    std::uint64_t retries = 3;
    double try_share = 0.45;  // a try is given up after this share of its class's give-up time
    Millis backoff = 50;
    Millis together = 0;       // retries leave at multiples of this, all at once; 0: each for itself
    double honour = 0.4;       // the share of clients that keep to Retry-After
    double impatient = 0.005;  // the share that leaves before its try is over
};

struct SidecarsSpec {
    std::uint64_t count = 4;
    std::uint64_t sockets = 1024;
    std::uint64_t max_attempts = 4;
    Millis remember = 0;
    bool cluster = false;  // they know each other
};

// Messages between sidecars, as PROTOCOL's "Between sidecars" and BRIEF have them: datagrams, late or lost.
struct MessagesSpec {
    Millis delay_least = 1.5, delay_most = 14;  // one way, uniform between
    double loss = 0.01;
    double price = 0.01;  // points of goodput for bytes delivered / (kMaxMessage x first tries)
    // Beats, in virtual time only: plain messages, so that a file can ask who would hear whom. On sockets
    // sidecars send what they have to say.
    Millis beat = 0;  // 0: none
    std::uint64_t beat_size = 64;
    std::uint64_t beat_to = 3;                         // others, drawn for each beat; 0: all
    static constexpr std::uint64_t kMaxMessage = 256;  // bytes; PROTOCOL
};

struct RulesSpec {
    Millis drain_grace = 500;
    double overload_multiple = 2.5;
    Millis fall_span = 1000;
    // What sidecars are told of cold starts, where it is less than the truth: the settings of a site are
    // bounds for all its machines. 0: the truth.
    double told_cold_from = 0;
    Millis told_warm_within = 0;
};

struct ClassSpec {
    std::string name;
    double share = 1;
    std::string idempotency = "safe";  // safe, keyed, unsafe
    Millis work = 80;
    std::string law = "lognormal";  // fixed, exponential
    double cv = 0.5;
    double attempt_noise = 0.2;
    Millis latency_objective = 400, give_up = 1500;
    double priority_weight = 3;
    Millis window = 3000;  // keyed: repeats are dropped for so long

    balancer::Idempotency kind() const;
};

// What the operators expect of the run; what is left out is not looked at. The four rules always are.
struct ExpectSpec {
    double goodput = 0;       // worth answered within its objective over worth asked for, at least
    double worst_class = 0;   // the same of the worst class
    double worst_second = 0;  // and of the worst second in which enough was asked
    double attempts = 1e9;    // attempts a try, at most
    double answered = 0;      // share of requests that got any 200, at least
    double held_back = 1;     // share of tries answered without a server long after nothing was out
    Millis p99 = 1e9;         // of the worst class
    // Of rushes (faults of kind load), see RushReport.
    double onset = 0;  // at least
    Millis settle = 1e9, recover = 1e9;
};

enum class FaultKind {
    die,            // the process ends: connections are reset; it comes back cold
    vanish,         // the machine says nothing more: connections stay open and silent; back cold
    freeze,         // stands still for `pause` every `every`
    fail_fast,      // answers `share` of its requests with 500 at once
    neighbour,      // another program takes `share` of the machine, on and off
    hollow,         // accepts connections and requests and answers none
    drain,          // is told to drain, finishes, and is gone after `linger`; back cold after `lasts`
    join,           // a server that was off until now starts cold
    list_late,      // the list falls `delay` further behind
    load,           // clients ask `times` as often
    split,          // `groups` don't hear each other
    one_way,        // nothing of `from` gets to `to`; the other way all does
    lossy,          // `share` of the messages from `from` to `to` are lost
    late_messages,  // they are `delay` later, half of it more or less
    sidecar_kill,
    sidecar_restart,  // SIGTERM, then started again
    sidecar_reload,   // discovery moves and SIGHUP says so
    pause,            // stands still and wakes with what it believed
    starve,           // has `share` of its core
    other_build,      // restarted from `build`, and back after `lasts`
    other_settings    // restarted with what `set` says, and back after `lasts`
};
// Of the sidecars' kinds only.
constexpr bool hits_sidecars(FaultKind kind) { return kind >= FaultKind::sidecar_kill; }

struct FaultSpec {
    std::uint32_t line = 0;
    std::string kind_name;
    FaultKind kind = FaultKind::die;
    std::string name;  // for logs and plots; the kind if left out
    Millis at = 0, lasts = 0;
    std::vector<std::string> who{"10%"};  // names, "30%", a hall, "all"
    Millis pause = 150, every = 2000;
    double share = 0.5;
    Millis delay = 5000, linger = 3000, apart = 0;  // apart: between one server's drain and the next one's
    double times = 4;
    std::string shape = "step";                 // load: step, ramp, doubling, spikes, square
    std::vector<std::string> groups, from, to;  // split, one-way: names, halls (servers and sidecars), "list"
    bool flaps = false;                         // split, one-way: on for `pause` every `every`
    std::string build;             // other-build: a balancer in virtual time, on sockets a name of `--build`
    std::vector<std::string> set;  // other-settings: "siblings=30"
    std::string only;              // load: the class of what is asked beyond the usual; none: the usual mix

    std::vector<std::uint32_t> hit;  // numbers of servers or sidecars, in order; filled by the check
    Millis begins(std::size_t nth) const { return at + apart * static_cast<double>(nth); }
};

struct Scenario {
    std::string name;
    Overview overview;
    FleetSpec fleet;
    RegistrySpec registry;
    ClientsSpec clients;
    SidecarsSpec sidecars;
    MessagesSpec messages;
    RulesSpec rules;
    ExpectSpec expect;
    std::vector<ClassSpec> classes;
    std::vector<FaultSpec> faults;

    std::uint32_t hall_of(std::uint32_t server) const {
        return server % static_cast<std::uint32_t>(fleet.halls.size());
    }
    bool starts_off(std::uint32_t server) const;  // it joins later
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
