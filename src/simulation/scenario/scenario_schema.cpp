#include "simulation/scenario/scenario_schema.hpp"

#include <map>

#include "simulation/scenario/scenario_limits.hpp"

namespace elmbay::simulation {

namespace {

using schema::Key;
using schema::Unit;

const std::vector<Key<Overview>>& overview_keys() {
    static const std::vector<Key<Overview>> kKeys{
        {"about", Unit::word, &Overview::description, "\"\"", "description of the scenario in one sentence"},
        {"length", Unit::duration, &Overview::duration, "\"30s\"", "time from the first request to the last",
         1000, kMaxDuration},
        {"seed", Unit::count, &Overview::seed, "1", "seed of all random draws", 0, 9e15}};
    return kKeys;
}

const std::vector<Key<FleetSpec>>& fleet_keys() {
    static const std::vector<Key<FleetSpec>> kKeys{
        {"servers", Unit::count, &FleetSpec::servers, "12",
         "number of archive servers, named s-0, s-1 and so on", 1, kMaxServers},
        {"halls", Unit::words, &FleetSpec::zones, "hall-a to hall-c",
         "zones; servers and sidecars are assigned to them in round-robin order"},
        {"cores", Unit::count, &FleetSpec::cores, "4", "cores of each server", 1, 1024},
        {"speed_spread", Unit::share, &FleetSpec::speed_variation, "10%",
         "maximum deviation of a machine from nominal speed", 0, 0.9},
        {"slots", Unit::count, &FleetSpec::worker_slots, "16",
         "maximum concurrently executing requests, which share the cores", 1, 100000},
        {"queue", Unit::count, &FleetSpec::queue_capacity, "80",
         "maximum queued requests; further requests are rejected", 0, 1000000},
        {"thrash", Unit::share, &FleetSpec::contention_penalty, "3%",
         "efficiency lost for each request per core above thrash_from", 0, 1},
        {"thrash_from", Unit::number, &FleetSpec::contention_threshold, "6",
         "requests per core up to which efficiency is full", 0, 10000},
        {"cold_from", Unit::share, &FleetSpec::slow_start_min_share, "20%",
         "share of its capacity that a server has at its start", 0.01, 1},
        {"warm_within", Unit::duration, &FleetSpec::slow_start_duration, "\"15s\"",
         "time from a server's start until it has its full capacity", 0, kMaxDuration},
        {"warm_by",
         Unit::word,
         &FleetSpec::warmup_mode,
         "\"time\"",
         "how a server warms up: by time alone, or also by work",
         0,
         0,
         {"time", "work"}},
        {"warm_work", Unit::duration, &FleetSpec::warmup_work, "\"20s\"",
         "work: core time after which a server is warm, even before warm_within", 1, kMaxDuration},
        {"drops_waiting", Unit::flag, &FleetSpec::drops_abandoned_requests, "true",
         "whether a server drops a queued request that its sidecar cancelled; executing requests always run "
         "to completion"},
        {"connections", Unit::count, &FleetSpec::max_connections, "800",
         "maximum open connections of a server", 1, 1000000},
        {"handshake_work", Unit::duration, &FleetSpec::handshake_work, "\"1ms\"",
         "work of accepting a connection", 0, 1000},
        {"connection_tax", Unit::share, &FleetSpec::connection_overhead, "25%",
         "share of capacity that a full connection table uses", 0, 0.95},
        {"connect_timeout", Unit::duration, &FleetSpec::connect_timeout, "\"150ms\"",
         "time after which an attempt to connect has failed", 1, 60000},
        {"idle_close", Unit::duration, &FleetSpec::idle_timeout, "\"15s\"",
         "time after which an idle connection is closed", 100, kMaxDuration},
        {"same_hall", Unit::duration, &FleetSpec::same_zone_latency, "\"0.2ms\"",
         "one-way latency within a hall", 0, 10000},
        {"cross_hall", Unit::duration, &FleetSpec::cross_zone_latency, "\"0.6ms\"",
         "one-way latency between halls", 0, 10000},
        {"latency_jitter", Unit::share, &FleetSpec::latency_jitter, "20%",
         "share by which both latencies vary in either direction", 0, 1},
        {"error_rate", Unit::share, &FleetSpec::error_rate, "0.05%",
         "share of requests that fail without any scripted fault", 0, 1}};
    return kKeys;
}

const std::vector<Key<RegistrySpec>>& registry_keys() {
    static const std::vector<Key<RegistrySpec>> kKeys{
        {"notice_least", Unit::duration, &RegistrySpec::min_notice_delay, "\"0.8s\"",
         "minimum time from a change of a server to its notice in the list", 0, 600000},
        {"notice_most", Unit::duration, &RegistrySpec::max_notice_delay, "\"3s\"",
         "maximum time from a change of a server to its notice in the list", 0, 600000},
        {"spread", Unit::duration, &RegistrySpec::max_sidecar_skew, "\"100ms\"",
         "maximum time from the first sidecar to receive a notice until the last", 0, 60000}};
    return kKeys;
}

const std::vector<Key<ClientsSpec>>& client_keys() {
    static const std::vector<Key<ClientsSpec>> kKeys{
        {"rate", Unit::number, &ClientsSpec::rate, "300",
         "operations per second through all sidecars together", 0.001, kMaxRate},
        {"shape",
         Unit::word,
         &ClientsSpec::arrival_shape,
         "\"steady\"",
         "shape of the arrival rate; arrivals do not depend on responses (open loop)",
         0,
         0,
         {"steady", "bursty", "ramp", "wave"}},
        {"swing", Unit::share, &ClientsSpec::rate_amplitude, "30%",
         "bursty, wave: share by which the rate deviates from its mean", 0, 1},
        {"ramp_to", Unit::number, &ClientsSpec::ramp_multiple, "1",
         "ramp: factor on the rate at the end of the scenario", 0, 1000},
        {"period", Unit::duration, &ClientsSpec::period, "\"8s\"",
         "wave: period of the wave; bursty: mean duration of a burst or lull", 100, kMaxDuration},
        {"skew", Unit::share, &ClientsSpec::sidecar_skew, "50%",
         "0: all sidecars receive the same traffic; close to 100%: a few receive most of it", 0, 0.99},
        {"retries", Unit::count, &ClientsSpec::max_retries, "3",
         "maximum retries of a client after its first request", 0, 10},
        {"try_share", Unit::share, &ClientsSpec::request_timeout_share, "45%",
         "timeout of one request, as a share of give_up of its class", 0.05, 1},
        {"backoff", Unit::duration, &ClientsSpec::backoff, "\"50ms\"",
         "mean delay before a retry of a client", 0, 60000},
        {"together", Unit::duration, &ClientsSpec::retry_alignment, "\"0ms\"",
         "client retries are sent at multiples of this time; 0: they are not aligned", 0, 60000},
        {"honour", Unit::share, &ClientsSpec::retry_after_compliance, "40%",
         "share of clients that comply with Retry-After", 0, 1},
        {"impatient", Unit::share, &ClientsSpec::early_disconnect_share, "0.5%",
         "share of requests whose client disconnects before the response", 0, 1}};
    return kKeys;
}

const std::vector<Key<SidecarsSpec>>& sidecar_keys() {
    static const std::vector<Key<SidecarsSpec>> kKeys{
        {"count", Unit::count, &SidecarsSpec::count, "4", "number of sidecars, named n-0, n-1 and so on", 1,
         kMaxSidecars},
        {"sockets", Unit::count, &SidecarsSpec::max_sockets, "1024", "maximum descriptors of a sidecar", 64,
         1000000},
        {"max_attempts", Unit::count, &SidecarsSpec::max_attempts, "4",
         "maximum attempts of one request, including the first", 1, 10},
        {"remember", Unit::duration, &SidecarsSpec::snapshot_interval, "\"0ms\"",
         "interval at which a sidecar saves its learned state for its next start, in virtual time only; 0: "
         "never",
         0, 3600000},
        {"cluster", Unit::flag, &SidecarsSpec::cluster_enabled, "false",
         "whether sidecars run the membership protocol"}};
    return kKeys;
}

const std::vector<Key<MessagesSpec>>& message_keys() {
    static const std::vector<Key<MessagesSpec>> kKeys{
        {"delay_least", Unit::duration, &MessagesSpec::min_delay, "\"1.5ms\"",
         "minimum one-way delay of a message between sidecars", 0, 60000},
        {"delay_most", Unit::duration, &MessagesSpec::max_delay, "\"14ms\"",
         "maximum one-way delay of a message between sidecars", 0, 60000},
        {"loss", Unit::share, &MessagesSpec::loss_rate, "1%", "share of the messages that is lost", 0, 1},
        {"price", Unit::number, &MessagesSpec::goodput_cost, "0.01",
         "points of goodput charged for bytes delivered / (256 x operations)", 0, 100},
        {"beat", Unit::duration, &MessagesSpec::heartbeat_interval, "\"0s\"",
         "interval of the heartbeats of each sidecar, in virtual time only; 0: none", 0, 600000},
        {"beat_size", Unit::count, &MessagesSpec::heartbeat_bytes, "64", "bytes of a heartbeat", 1,
         MessagesSpec::kMaxMessageBytes},
        {"beat_to", Unit::count, &MessagesSpec::heartbeat_fanout, "3",
         "receivers of one heartbeat, drawn at random; 0: all sidecars", 0, kMaxSidecars}};
    return kKeys;
}

const std::vector<Key<InvariantSpec>>& invariant_keys() {
    static const std::vector<Key<InvariantSpec>> kKeys{
        {"drain_grace", Unit::duration, &InvariantSpec::drain_grace, "\"500ms\"",
         "time after the drain notice from which a sidecar must not start an attempt on the server", 0,
         60000},
        {"fall_multiple", Unit::number, &InvariantSpec::overload_multiple, "2.5",
         "multiple of its capacity above which a cold server is overloaded and fails", 1, 100},
        {"fall_span", Unit::duration, &InvariantSpec::overload_window, "\"1s\"",
         "sliding window over which the work sent to a cold server is summed", 100, 60000},
        {"told_cold_from", Unit::share, &InvariantSpec::configured_slow_start_min_share, "fleet.cold_from",
         "value of cold_from in the sidecars' configuration, such as one bound for all machines of a site", 0,
         1},
        {"told_warm_within", Unit::duration, &InvariantSpec::configured_slow_start_duration,
         "fleet.warm_within", "value of warm_within in the sidecars' configuration", 0, kMaxDuration}};
    return kKeys;
}

const std::vector<Key<ClassSpec>>& class_keys() {
    static const std::vector<Key<ClassSpec>> kKeys{
        {"name", Unit::word, &ClassSpec::name, "", "value of the header X-Service-Class", 0, 0, {}, true},
        {"share", Unit::share, &ClassSpec::share, "1",
         "share of the operations, relative to the other classes", 0, 1000},
        {"effect",
         Unit::word,
         &ClassSpec::effect,
         "\"safe\"",
         "effect of a repetition: safe, keyed (deduplicated by its key) or unsafe",
         0,
         0,
         {"safe", "keyed", "unsafe"}},
        {"work", Unit::duration, &ClassSpec::work, "\"80ms\"", "mean work of a request, in core time", 0.01,
         60000},
        {"law",
         Unit::word,
         &ClassSpec::work_distribution,
         "\"lognormal\"",
         "distribution of the work",
         0,
         0,
         {"fixed", "exponential", "lognormal"}},
        {"cv", Unit::number, &ClassSpec::work_variation, "0.5",
         "lognormal: coefficient of variation of the work", 0, 10},
        {"attempt_noise", Unit::share, &ClassSpec::attempt_variation, "20%",
         "coefficient of variation of the work between attempts of one request", 0, 2},
        {"aim", Unit::duration, &ClassSpec::latency_objective, "\"400ms\"",
         "latency above which a response has no value", 1, 600000},
        {"give_up", Unit::duration, &ClassSpec::client_deadline, "\"1.5s\"",
         "time limit for the first request and all retries of a client together", 1, 600000},
        {"worth", Unit::number, &ClassSpec::priority_weight, "3", "value of a unit of work", 0, 1e6},
        {"window", Unit::duration, &ClassSpec::dedup_window, "\"3s\"",
         "keyed: time for which servers drop repetitions", 0, 600000}};
    return kKeys;
}

const std::vector<Key<ExpectationSpec>>& expectation_keys() {
    static const std::vector<Key<ExpectationSpec>> kKeys{
        {"goodput", Unit::share, &ExpectationSpec::min_goodput, "0",
         "minimum delivered value over offered value", 0, 1},
        {"worst_class", Unit::share, &ExpectationSpec::min_class_goodput, "0",
         "minimum goodput of the worst class", 0, 1},
        {"worst_second", Unit::share, &ExpectationSpec::min_second_goodput, "0",
         "minimum goodput of the worst second with enough traffic", 0, 1},
        {"attempts", Unit::number, &ExpectationSpec::max_attempts_per_request, "any",
         "maximum mean number of attempts for one client request", 0, 100},
        {"answered", Unit::share, &ExpectationSpec::min_answered_share, "0",
         "minimum share of operations with a response of status 200, in time or late", 0, 1},
        {"held_back", Unit::share, &ExpectationSpec::max_delayed_failure_share, "100%",
         "maximum share of client requests that were rejected or failed long after their last attempt ended",
         0, 1},
        {"p99", Unit::duration, &ExpectationSpec::max_p99, "any", "maximum p99 latency of the worst class", 1,
         600000},
        {"onset", Unit::share, &ExpectationSpec::min_onset_ratio, "0",
         "load surge: minimum goodput of the worse of its first two seconds over that of its second half", 0,
         10},
        {"settle", Unit::duration, &ExpectationSpec::max_settling_time, "any",
         "load surge: maximum time until a second reaches 0.9 of the goodput of its second half", 0,
         kMaxDuration},
        {"recover", Unit::duration, &ExpectationSpec::max_recovery_time, "any",
         "after a load surge: maximum time until a second reaches 0.9 of the goodput before it", 0,
         kMaxDuration}};
    return kKeys;
}

const std::map<std::string, FaultKind> kFaultKinds{{"die", FaultKind::crash},
                                                   {"vanish", FaultKind::machine_cut_off},
                                                   {"freeze", FaultKind::freeze},
                                                   {"fail-fast", FaultKind::fail_fast},
                                                   {"neighbour", FaultKind::noisy_neighbour},
                                                   {"hollow", FaultKind::unresponsive},
                                                   {"drain", FaultKind::drain},
                                                   {"join", FaultKind::join},
                                                   {"list-late", FaultKind::list_delay},
                                                   {"load", FaultKind::load_surge},
                                                   {"split", FaultKind::partition},
                                                   {"one-way", FaultKind::one_way_partition},
                                                   {"sidecar-kill", FaultKind::sidecar_kill},
                                                   {"sidecar-restart", FaultKind::sidecar_restart},
                                                   {"sidecar-reload", FaultKind::sidecar_reload},
                                                   {"lossy", FaultKind::message_loss},
                                                   {"late-messages", FaultKind::message_delay},
                                                   {"pause", FaultKind::sidecar_pause},
                                                   {"starve", FaultKind::sidecar_cpu_limit},
                                                   {"other-build", FaultKind::sidecar_other_build},
                                                   {"other-settings", FaultKind::sidecar_other_settings}};

std::vector<std::string> fault_kind_names() {
    std::vector<std::string> names;
    names.reserve(kFaultKinds.size());
    for (const auto& [name, kind] : kFaultKinds) names.push_back(name);
    return names;
}

const std::vector<Key<FaultSpec>>& fault_keys() {
    static const std::vector<Key<FaultSpec>> kKeys{
        {"kind", Unit::word, &FaultSpec::kind_name, "", "kind of the fault", 0, 0, fault_kind_names(), true},
        {"name", Unit::word, &FaultSpec::name, "the kind", "name in logs and plots"},
        {"at",
         Unit::duration,
         &FaultSpec::start,
         "",
         "start of the fault on its first target",
         0,
         kMaxDuration,
         {},
         true},
        {"lasts", Unit::duration, &FaultSpec::duration, "to the end",
         "duration of the fault; a server that has ended restarts after it", 1, kMaxDuration},
        {"who", Unit::words, &FaultSpec::targets, "\"10%\"",
         R"(targets: names (s-3 of a server, n-1 of a sidecar), a share ("25%"), a hall, or "all")"},
        {"pause", Unit::duration, &FaultSpec::pulse, "\"150ms\"",
         "freeze, spikes, flaps: duration of one occurrence", 1, 60000},
        {"every", Unit::duration, &FaultSpec::period, "\"2s\"",
         "freeze, neighbour, load, flaps: time from the start of one occurrence to the next", 10, 600000},
        {"share", Unit::share, &FaultSpec::share, "50%",
         "affected share; fail-fast: of the requests; neighbour: of the machine; lossy: of the messages; "
         "starve: share of a core that the sidecar has",
         0, 0.99},
        {"delay", Unit::duration, &FaultSpec::delay, "\"5s\"", "list-late, late-messages: additional delay",
         1, 600000},
        {"linger", Unit::duration, &FaultSpec::linger, "\"3s\"",
         "drain: time from the drain notice to the end of the process", 1, 600000},
        {"apart", Unit::duration, &FaultSpec::stagger, "\"0s\"",
         "time from the start on one target to the start on the next", 0, 600000},
        {"times", Unit::number, &FaultSpec::load_multiple, "4", "load: factor on the usual rate", 0, 100},
        {"shape",
         Unit::word,
         &FaultSpec::load_shape,
         "\"step\"",
         "load: step, at once; ramp, up to `times` over `lasts`; doubling, each `every` up to `times`; "
         "spikes of `pause` each `every`; square, on and off for half of `every`",
         0,
         0,
         {"step", "ramp", "doubling", "spikes", "square"}},
        {"groups", Unit::words, &FaultSpec::groups, "none",
         "split: lists of names that cannot reach each other: n-3, s-1, halls (their servers and sidecars), "
         "list; "
         "a name in several groups connects them"},
        {"from", Unit::words, &FaultSpec::from, "none",
         "one-way, lossy, late-messages: senders; if omitted with lossy and late-messages: all"},
        {"to", Unit::words, &FaultSpec::to, "none",
         "one-way, lossy, late-messages: receivers; if omitted with lossy and late-messages: all"},
        {"flaps", Unit::flag, &FaultSpec::intermittent, "false",
         "split, one-way, lossy, late-messages: active only for `pause` of each `every`"},
        {"build", Unit::word, &FaultSpec::build, "none",
         "other-build: a balancer in virtual time; on sockets, a name defined by --build"},
        {"set", Unit::words, &FaultSpec::setting_overrides, "none",
         R"(other-settings: overrides such as "siblings=30")"},
        {"only", Unit::word, &FaultSpec::only_class, "the usual mix",
         "load: class of the additional requests"}};
    return kKeys;
}

}  // namespace

const ScenarioSchema& scenario_schema() {
    static const ScenarioSchema kSchema{overview_keys(), fleet_keys(),      registry_keys(),  client_keys(),
                                        sidecar_keys(),  message_keys(),    invariant_keys(), class_keys(),
                                        fault_keys(),    expectation_keys()};
    return kSchema;
}

FaultKind fault_kind_named(const std::string& name) { return kFaultKinds.at(name); }

}  // namespace elmbay::simulation
