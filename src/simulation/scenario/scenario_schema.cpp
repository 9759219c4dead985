#include "simulation/scenario/scenario_schema.hpp"

#include <map>

#include "simulation/scenario/scenario_limits.hpp"

namespace elmbay::simulation {

namespace {

using schema::Key;
using schema::Unit;

const std::vector<Key<Overview>>& overview_keys() {
    static const std::vector<Key<Overview>> kKeys{
        {"about", Unit::word, &Overview::description, "\"\"", "what is rehearsed, in a sentence"},
        {"length", Unit::duration, &Overview::duration, "\"30s\"", "from the first request to the last", 1000,
         kMaxDuration},
        {"seed", Unit::count, &Overview::seed, "1", "all chance comes from it", 0, 9e15}};
    return kKeys;
}

const std::vector<Key<FleetSpec>>& fleet_keys() {
    static const std::vector<Key<FleetSpec>> kKeys{
        {"servers", Unit::count, &FleetSpec::servers, "12", "archive servers, named s-0, s-1 ...", 1,
         kMaxServers},
        {"halls", Unit::words, &FleetSpec::zones, "hall-a to hall-c",
         "servers and sidecars take turns in them"},
        {"cores", Unit::count, &FleetSpec::cores, "4", "of each server", 1, 1024},
        {"speed_spread", Unit::share, &FleetSpec::speed_variation, "10%",
         "machines differ by this either way", 0, 0.9},
        {"slots", Unit::count, &FleetSpec::worker_slots, "16", "requests in work at once, sharing the cores",
         1, 100000},
        {"queue", Unit::count, &FleetSpec::queue_capacity, "80",
         "waiting room; beyond it requests are turned away", 0, 1000000},
        {"thrash", Unit::share, &FleetSpec::contention_penalty, "3%",
         "efficiency lost for each request held per core beyond thrash_from", 0, 1},
        {"thrash_from", Unit::number, &FleetSpec::contention_threshold, "6",
         "requests held per core that cost nothing", 0, 10000},
        {"cold_from", Unit::share, &FleetSpec::slow_start_min_share, "20%",
         "capacity of a server that has just started", 0.01, 1},
        {"warm_within", Unit::duration, &FleetSpec::slow_start_duration, "\"15s\"",
         "until it has all of its capacity", 0, kMaxDuration},
        {"warm_by",
         Unit::word,
         &FleetSpec::warmup_mode,
         "\"time\"",
         "what warms a server",
         0,
         0,
         {"time", "work"}},
        {"warm_work", Unit::duration, &FleetSpec::warmup_work, "\"20s\"",
         "by work: core time that makes it warm before warm_within", 1, kMaxDuration},
        {"drops_waiting", Unit::flag, &FleetSpec::drops_abandoned_requests, "true",
         "what waits is dropped when its sidecar stops waiting; work that runs goes on"},
        {"connections", Unit::count, &FleetSpec::max_connections, "800",
         "open connections that a server takes", 1, 1000000},
        {"handshake_work", Unit::duration, &FleetSpec::handshake_work, "\"1ms\"", "work of a new connection",
         0, 1000},
        {"connection_tax", Unit::share, &FleetSpec::connection_overhead, "25%",
         "capacity that a full connection table takes", 0, 0.95},
        {"connect_timeout", Unit::duration, &FleetSpec::connect_timeout, "\"150ms\"",
         "a connection not up by then has failed", 1, 60000},
        {"idle_close", Unit::duration, &FleetSpec::idle_timeout, "\"15s\"",
         "an idle connection is closed after it", 100, kMaxDuration},
        {"same_hall", Unit::duration, &FleetSpec::same_zone_latency, "\"0.2ms\"", "one way within a hall", 0,
         10000},
        {"cross_hall", Unit::duration, &FleetSpec::cross_zone_latency, "\"0.6ms\"", "one way between halls",
         0, 10000},
        {"latency_jitter", Unit::share, &FleetSpec::latency_jitter, "20%", "of both, up or down", 0, 1},
        {"error_rate", Unit::share, &FleetSpec::error_rate, "0.05%", "requests that fail without any fault",
         0, 1}};
    return kKeys;
}

const std::vector<Key<RegistrySpec>>& registry_keys() {
    static const std::vector<Key<RegistrySpec>> kKeys{
        {"notice_least", Unit::duration, &RegistrySpec::min_notice_delay, "\"0.8s\"",
         "from an event to its being told, at least", 0, 600000},
        {"notice_most", Unit::duration, &RegistrySpec::max_notice_delay, "\"3s\"", "and at most", 0, 600000},
        {"spread", Unit::duration, &RegistrySpec::max_sidecar_skew, "\"100ms\"",
         "between one sidecar and another", 0, 60000}};
    return kKeys;
}

const std::vector<Key<ClientsSpec>>& client_keys() {
    static const std::vector<Key<ClientsSpec>> kKeys{
        {"rate", Unit::number, &ClientsSpec::rate, "300", "requests a second, through all sidecars together",
         0.001, kMaxRate},
        {"shape",
         Unit::word,
         &ClientsSpec::arrival_shape,
         "\"steady\"",
         "of the arrivals, which wait for no answer",
         0,
         0,
         {"steady", "bursty", "ramp", "wave"}},
        {"swing", Unit::share, &ClientsSpec::rate_amplitude, "30%",
         "bursty, wave: how far the rate leaves its mean", 0, 1},
        {"ramp_to", Unit::number, &ClientsSpec::ramp_multiple, "1", "ramp: multiple of the rate at the end",
         0, 1000},
        {"period", Unit::duration, &ClientsSpec::period, "\"8s\"",
         "of a wave; mean length of a burst or lull", 100, kMaxDuration},
        {"skew", Unit::share, &ClientsSpec::sidecar_skew, "50%",
         "0: sidecars alike; towards 1 few carry most", 0, 0.99},
        {"retries", Unit::count, &ClientsSpec::max_retries, "3", "of a caller, after the first try", 0, 10},
        {"try_share", Unit::share, &ClientsSpec::request_timeout_share, "45%",
         "of its class's give-up time after which a try is given up", 0.05, 1},
        {"backoff", Unit::duration, &ClientsSpec::backoff, "\"50ms\"", "before a caller's retry", 0, 60000},
        {"together", Unit::duration, &ClientsSpec::retry_alignment, "\"0ms\"",
         "retries leave at multiples of this, all at once; 0: each for itself", 0, 60000},
        {"honour", Unit::share, &ClientsSpec::retry_after_compliance, "40%",
         "callers that keep to Retry-After", 0, 1},
        {"impatient", Unit::share, &ClientsSpec::early_disconnect_share, "0.5%",
         "callers that leave before a try is over", 0, 1}};
    return kKeys;
}

const std::vector<Key<SidecarsSpec>>& sidecar_keys() {
    static const std::vector<Key<SidecarsSpec>> kKeys{
        {"count", Unit::count, &SidecarsSpec::count, "4", "each beside one copy of the application", 1,
         kMaxSidecars},
        {"sockets", Unit::count, &SidecarsSpec::max_sockets, "1024", "descriptors that one may hold", 64,
         1000000},
        {"max_attempts", Unit::count, &SidecarsSpec::max_attempts, "4", "for one request, the first included",
         1, 10},
        {"remember", Unit::duration, &SidecarsSpec::snapshot_interval, "\"0ms\"",
         "how often one keeps what it has learned for its next start, in virtual time; 0: never", 0, 3600000},
        {"cluster", Unit::flag, &SidecarsSpec::cluster_enabled, "false",
         "whether they know each other, by messages"}};
    return kKeys;
}

const std::vector<Key<MessagesSpec>>& message_keys() {
    static const std::vector<Key<MessagesSpec>> kKeys{
        {"delay_least", Unit::duration, &MessagesSpec::min_delay, "\"1.5ms\"",
         "of a message between sidecars, one way, at least", 0, 60000},
        {"delay_most", Unit::duration, &MessagesSpec::max_delay, "\"14ms\"", "and at most", 0, 60000},
        {"loss", Unit::share, &MessagesSpec::loss_rate, "1%", "of the messages", 0, 1},
        {"price", Unit::number, &MessagesSpec::goodput_cost, "0.01",
         "points of goodput for bytes delivered / (256 x first tries)", 0, 100},
        {"beat", Unit::duration, &MessagesSpec::heartbeat_interval, "\"0s\"",
         "virtual: how often each sidecar tells others that it is there; 0: never", 0, 600000},
        {"beat_size", Unit::count, &MessagesSpec::heartbeat_bytes, "64", "bytes of a beat", 1,
         MessagesSpec::kMaxMessageBytes},
        {"beat_to", Unit::count, &MessagesSpec::heartbeat_fanout, "3", "others that a beat goes to; 0: all",
         0, kMaxSidecars}};
    return kKeys;
}

const std::vector<Key<InvariantSpec>>& invariant_keys() {
    static const std::vector<Key<InvariantSpec>> kKeys{
        {"drain_grace", Unit::duration, &InvariantSpec::drain_grace, "\"500ms\"",
         "after it nothing new goes to a server that drains", 0, 60000},
        {"fall_multiple", Unit::number, &InvariantSpec::overload_multiple, "2.5",
         "a cold server sent more than this multiple of what it can do falls over", 1, 100},
        {"fall_span", Unit::duration, &InvariantSpec::overload_window, "\"1s\"",
         "and this is the time looked at", 100, 60000},
        {"told_cold_from", Unit::share, &InvariantSpec::configured_slow_start_min_share, "the truth",
         "what sidecars are told of cold_from: a bound for all machines", 0, 1},
        {"told_warm_within", Unit::duration, &InvariantSpec::configured_slow_start_duration, "the truth",
         "and of warm_within", 0, kMaxDuration}};
    return kKeys;
}

const std::vector<Key<ClassSpec>>& class_keys() {
    static const std::vector<Key<ClassSpec>> kKeys{
        {"name", Unit::word, &ClassSpec::name, "", "as in X-Service-Class", 0, 0, {}, true},
        {"share", Unit::share, &ClassSpec::share, "1", "of the requests, against the other classes", 0, 1000},
        {"effect",
         Unit::word,
         &ClassSpec::effect,
         "\"safe\"",
         "safe to repeat, keyed (repeats are dropped), or unsafe to repeat",
         0,
         0,
         {"safe", "keyed", "unsafe"}},
        {"work", Unit::duration, &ClassSpec::work, "\"80ms\"", "mean core time of a request", 0.01, 60000},
        {"law",
         Unit::word,
         &ClassSpec::work_distribution,
         "\"lognormal\"",
         "of the work",
         0,
         0,
         {"fixed", "exponential", "lognormal"}},
        {"cv", Unit::number, &ClassSpec::work_variation, "0.5", "lognormal: its coefficient of variation", 0,
         10},
        {"attempt_noise", Unit::share, &ClassSpec::attempt_variation, "20%",
         "attempts of one request differ by this", 0, 2},
        {"aim", Unit::duration, &ClassSpec::latency_objective, "\"400ms\"",
         "an answer after it is worth nothing", 1, 600000},
        {"give_up", Unit::duration, &ClassSpec::client_deadline, "\"1.5s\"", "all tries of a caller together",
         1, 600000},
        {"worth", Unit::number, &ClassSpec::priority_weight, "3", "of a unit of its work", 0, 1e6},
        {"window", Unit::duration, &ClassSpec::dedup_window, "\"3s\"",
         "keyed: servers drop repeats for so long", 0, 600000}};
    return kKeys;
}

const std::vector<Key<ExpectationSpec>>& expectation_keys() {
    static const std::vector<Key<ExpectationSpec>> kKeys{
        {"goodput", Unit::share, &ExpectationSpec::min_goodput, "0",
         "worth answered in time over worth asked, at least", 0, 1},
        {"worst_class", Unit::share, &ExpectationSpec::min_class_goodput, "0", "the same of the worst class",
         0, 1},
        {"worst_second", Unit::share, &ExpectationSpec::min_second_goodput, "0",
         "the same of the worst second", 0, 1},
        {"attempts", Unit::number, &ExpectationSpec::max_attempts_per_request, "any",
         "attempts for each try of a caller, at most", 0, 100},
        {"answered", Unit::share, &ExpectationSpec::min_answered_share, "0",
         "requests that got their answer at all, at least", 0, 1},
        {"held_back", Unit::share, &ExpectationSpec::max_delayed_failure_share, "100%",
         "tries whose refusal or failure was sat on while nothing was out, at most", 0, 1},
        {"p99", Unit::duration, &ExpectationSpec::max_p99, "any", "of the worst class, at most", 1, 600000},
        {"onset", Unit::share, &ExpectationSpec::min_onset_ratio, "0",
         "of a rush: the worst of its first two seconds over its second half, at least", 0, 10},
        {"settle", Unit::duration, &ExpectationSpec::max_settling_time, "any",
         "of a rush: until a second of it is within 0.9 of its second half, at most", 0, kMaxDuration},
        {"recover", Unit::duration, &ExpectationSpec::max_recovery_time, "any",
         "after a rush: until a second is within 0.9 of what was before it, at most", 0, kMaxDuration}};
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
        {"kind", Unit::word, &FaultSpec::kind_name, "", "what goes wrong", 0, 0, fault_kind_names(), true},
        {"name", Unit::word, &FaultSpec::name, "the kind", "for logs and plots"},
        {"at", Unit::duration, &FaultSpec::start, "", "when it begins", 0, kMaxDuration, {}, true},
        {"lasts", Unit::duration, &FaultSpec::duration, "to the end",
         "for how long; a dead server is back then", 1, kMaxDuration},
        {"who", Unit::words, &FaultSpec::targets, "\"10%\"",
         R"(names (s-3; n-1 of a sidecar), a share ("25%"), a hall, or "all")"},
        {"pause", Unit::duration, &FaultSpec::pulse, "\"150ms\"",
         "freeze: how long it stands still; spikes: how long one is", 1, 60000},
        {"every", Unit::duration, &FaultSpec::period, "\"2s\"",
         "freeze, neighbour, load: how often it comes on", 10, 600000},
        {"share", Unit::share, &FaultSpec::share, "50%",
         "fail-fast: of the requests; neighbour: of the machine; lossy: of the messages; starve: of its core",
         0, 0.99},
        {"delay", Unit::duration, &FaultSpec::delay, "\"5s\"",
         "list-late: further behind by this; late-messages: later by this", 1, 600000},
        {"linger", Unit::duration, &FaultSpec::linger, "\"3s\"", "drain: from the drain to its end", 1,
         600000},
        {"apart", Unit::duration, &FaultSpec::stagger, "\"0s\"", "from one of the servers hit to the next", 0,
         600000},
        {"times", Unit::number, &FaultSpec::load_multiple, "4", "load: multiple of the rate", 0, 100},
        {"shape",
         Unit::word,
         &FaultSpec::load_shape,
         "\"step\"",
         "load: at once; ramp to `times` over `lasts`; doubling each `every` up to `times`; spikes of "
         "`pause` "
         "each "
         "`every`; square, on and off for half of `every`",
         0,
         0,
         {"step", "ramp", "doubling", "spikes", "square"}},
        {"groups", Unit::words, &FaultSpec::groups, "none",
         "split: texts of names that don't hear each other: n-3, s-1, halls (their servers and sidecars), "
         "list; "
         "who "
         "stands in several bridges them"},
        {"from", Unit::words, &FaultSpec::from, "none",
         "one-way: whose bytes are lost; lossy, late-messages: whose messages, left out: everybody's"},
        {"to", Unit::words, &FaultSpec::to, "none", "on their way to whom"},
        {"flaps", Unit::flag, &FaultSpec::intermittent, "false",
         "split, one-way, lossy, late-messages: on for `pause` each `every`"},
        {"build", Unit::word, &FaultSpec::build, "none",
         "other-build: a balancer's name in virtual time, on sockets one that --build names"},
        {"set", Unit::words, &FaultSpec::setting_overrides, "none",
         R"(other-settings: what they say, such as "siblings=30")"},
        {"only", Unit::word, &FaultSpec::only_class, "the usual mix",
         "load: the class of what is asked beyond the usual"}};
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
