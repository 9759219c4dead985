#include "simulation/scenario/scenario.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

using schema::Key;
using schema::Problems;
using schema::Unit;

// Bounds of what one machine can play; a file beyond them is refused, not tried.
constexpr double kMaxServers = 4096, kMaxSidecars = 20000, kMaxRate = 1e6, kLongest = 3600000;
constexpr std::size_t kMaxFaults = 1000, kMaxClasses = 32;

const std::vector<Key<Overview>> kOverview{
    {"about", Unit::word, &Overview::description, "\"\"", "what is rehearsed, in a sentence"},
    {"length", Unit::duration, &Overview::duration, "\"30s\"", "from the first request to the last", 1000,
     kLongest},
    {"seed", Unit::count, &Overview::seed, "1", "all chance comes from it", 0, 9e15}};

const std::vector<Key<FleetSpec>> kFleet{
    {"servers", Unit::count, &FleetSpec::servers, "12", "archive servers, named s-0, s-1 ...", 1,
     kMaxServers},
    {"halls", Unit::words, &FleetSpec::zones, "hall-a to hall-c", "servers and sidecars take turns in them"},
    {"cores", Unit::count, &FleetSpec::cores, "4", "of each server", 1, 1024},
    {"speed_spread", Unit::share, &FleetSpec::speed_variation, "10%", "machines differ by this either way", 0,
     0.9},
    {"slots", Unit::count, &FleetSpec::worker_slots, "16", "requests in work at once, sharing the cores", 1,
     100000},
    {"queue", Unit::count, &FleetSpec::queue_capacity, "80",
     "waiting room; beyond it requests are turned away", 0, 1000000},
    {"thrash", Unit::share, &FleetSpec::contention_penalty, "3%",
     "efficiency lost for each request held per core beyond thrash_from", 0, 1},
    {"thrash_from", Unit::number, &FleetSpec::contention_threshold, "6",
     "requests held per core that cost nothing", 0, 10000},
    {"cold_from", Unit::share, &FleetSpec::slow_start_min_share, "20%",
     "capacity of a server that has just started", 0.01, 1},
    {"warm_within", Unit::duration, &FleetSpec::slow_start_duration, "\"15s\"",
     "until it has all of its capacity", 0, kLongest},
    {"warm_by",
     Unit::word,
     &FleetSpec::warmup_mode,
     "\"time\"",
     "what warms a server",
     0,
     0,
     {"time", "work"}},
    {"warm_work", Unit::duration, &FleetSpec::warmup_work, "\"20s\"",
     "by work: core time that makes it warm before warm_within", 1, kLongest},
    {"drops_waiting", Unit::flag, &FleetSpec::drops_abandoned_requests, "true",
     "what waits is dropped when its sidecar stops waiting; work that runs goes on"},
    {"connections", Unit::count, &FleetSpec::max_connections, "800", "open connections that a server takes",
     1, 1000000},
    {"handshake_work", Unit::duration, &FleetSpec::handshake_work, "\"1ms\"", "work of a new connection", 0,
     1000},
    {"connection_tax", Unit::share, &FleetSpec::connection_overhead, "25%",
     "capacity that a full connection table takes", 0, 0.95},
    {"connect_timeout", Unit::duration, &FleetSpec::connect_timeout, "\"150ms\"",
     "a connection not up by then has failed", 1, 60000},
    {"idle_close", Unit::duration, &FleetSpec::idle_timeout, "\"15s\"",
     "an idle connection is closed after it", 100, kLongest},
    {"same_hall", Unit::duration, &FleetSpec::same_zone_latency, "\"0.2ms\"", "one way within a hall", 0,
     10000},
    {"cross_hall", Unit::duration, &FleetSpec::cross_zone_latency, "\"0.6ms\"", "one way between halls", 0,
     10000},
    {"latency_jitter", Unit::share, &FleetSpec::latency_jitter, "20%", "of both, up or down", 0, 1},
    {"error_rate", Unit::share, &FleetSpec::error_rate, "0.05%", "requests that fail without any fault", 0,
     1}};

const std::vector<Key<RegistrySpec>> kRegistry{
    {"notice_least", Unit::duration, &RegistrySpec::min_notice_delay, "\"0.8s\"",
     "from an event to its being told, at least", 0, 600000},
    {"notice_most", Unit::duration, &RegistrySpec::max_notice_delay, "\"3s\"", "and at most", 0, 600000},
    {"spread", Unit::duration, &RegistrySpec::max_sidecar_skew, "\"100ms\"",
     "between one sidecar and another", 0, 60000}};

const std::vector<Key<ClientsSpec>> kCallers{
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
    {"ramp_to", Unit::number, &ClientsSpec::ramp_multiple, "1", "ramp: multiple of the rate at the end", 0,
     1000},
    {"period", Unit::duration, &ClientsSpec::period, "\"8s\"", "of a wave; mean length of a burst or lull",
     100, kLongest},
    {"skew", Unit::share, &ClientsSpec::sidecar_skew, "50%", "0: sidecars alike; towards 1 few carry most", 0,
     0.99},
    {"retries", Unit::count, &ClientsSpec::max_retries, "3", "of a caller, after the first try", 0, 10},
    {"try_share", Unit::share, &ClientsSpec::request_timeout_share, "45%",
     "of its class's give-up time after which a try is given up", 0.05, 1},
    {"backoff", Unit::duration, &ClientsSpec::backoff, "\"50ms\"", "before a caller's retry", 0, 60000},
    {"together", Unit::duration, &ClientsSpec::retry_alignment, "\"0ms\"",
     "retries leave at multiples of this, all at once; 0: each for itself", 0, 60000},
    {"honour", Unit::share, &ClientsSpec::retry_after_compliance, "40%", "callers that keep to Retry-After",
     0, 1},
    {"impatient", Unit::share, &ClientsSpec::early_disconnect_share, "0.5%",
     "callers that leave before a try is over", 0, 1}};

const std::vector<Key<SidecarsSpec>> kSidecars{
    {"count", Unit::count, &SidecarsSpec::count, "4", "each beside one copy of the application", 1,
     kMaxSidecars},
    {"sockets", Unit::count, &SidecarsSpec::max_sockets, "1024", "descriptors that one may hold", 64,
     1000000},
    {"max_attempts", Unit::count, &SidecarsSpec::max_attempts, "4", "for one request, the first included", 1,
     10},
    {"remember", Unit::duration, &SidecarsSpec::snapshot_interval, "\"0ms\"",
     "how often one keeps what it has learned for its next start, in virtual time; 0: never", 0, 3600000},
    {"cluster", Unit::flag, &SidecarsSpec::cluster_enabled, "false",
     "whether they know each other, by messages"}};

const std::vector<Key<MessagesSpec>> kMessages{
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
    {"beat_to", Unit::count, &MessagesSpec::heartbeat_fanout, "3", "others that a beat goes to; 0: all", 0,
     kMaxSidecars}};

const std::vector<Key<InvariantSpec>> kRules{
    {"drain_grace", Unit::duration, &InvariantSpec::drain_grace, "\"500ms\"",
     "after it nothing new goes to a server that drains", 0, 60000},
    {"fall_multiple", Unit::number, &InvariantSpec::overload_multiple, "2.5",
     "a cold server sent more than this multiple of what it can do falls over", 1, 100},
    {"fall_span", Unit::duration, &InvariantSpec::overload_window, "\"1s\"", "and this is the time looked at",
     100, 60000},
    {"told_cold_from", Unit::share, &InvariantSpec::configured_slow_start_min_share, "the truth",
     "what sidecars are told of cold_from: a bound for all machines", 0, 1},
    {"told_warm_within", Unit::duration, &InvariantSpec::configured_slow_start_duration, "the truth",
     "and of warm_within", 0, kLongest}};

const std::vector<Key<ClassSpec>> kClass{
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
    {"cv", Unit::number, &ClassSpec::work_variation, "0.5", "lognormal: its coefficient of variation", 0, 10},
    {"attempt_noise", Unit::share, &ClassSpec::attempt_variation, "20%",
     "attempts of one request differ by this", 0, 2},
    {"aim", Unit::duration, &ClassSpec::latency_objective, "\"400ms\"", "an answer after it is worth nothing",
     1, 600000},
    {"give_up", Unit::duration, &ClassSpec::client_deadline, "\"1.5s\"", "all tries of a caller together", 1,
     600000},
    {"worth", Unit::number, &ClassSpec::priority_weight, "3", "of a unit of its work", 0, 1e6},
    {"window", Unit::duration, &ClassSpec::dedup_window, "\"3s\"", "keyed: servers drop repeats for so long",
     0, 600000}};

const std::vector<Key<ExpectationSpec>> kExpect{
    {"goodput", Unit::share, &ExpectationSpec::min_goodput, "0",
     "worth answered in time over worth asked, at least", 0, 1},
    {"worst_class", Unit::share, &ExpectationSpec::min_class_goodput, "0", "the same of the worst class", 0,
     1},
    {"worst_second", Unit::share, &ExpectationSpec::min_second_goodput, "0", "the same of the worst second",
     0, 1},
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
     "of a rush: until a second of it is within 0.9 of its second half, at most", 0, kLongest},
    {"recover", Unit::duration, &ExpectationSpec::max_recovery_time, "any",
     "after a rush: until a second is within 0.9 of what was before it, at most", 0, kLongest}};

const std::map<std::string, FaultKind> kKinds{{"die", FaultKind::crash},
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

// What `set` of other-settings may name. Each gets a number in its unit.
struct Setting {
    const char* name;
    void (*apply)(balancer::Settings&, double);
    double least, most;
};
constexpr Setting kSettings[] = {
    {"siblings", [](balancer::Settings& s, double v) { s.siblings = static_cast<std::uint32_t>(v); }, 1, 1e6},
    {"max_attempts", [](balancer::Settings& s, double v) { s.max_attempts = static_cast<std::uint32_t>(v); },
     1, 10},
    {"cold_from", [](balancer::Settings& s, double v) { s.slow_start_min_share = v; }, 0.01, 1},
    {"warm_within", [](balancer::Settings& s, double v) { s.slow_start_duration = v; }, 0, kLongest},
    {"fall_multiple", [](balancer::Settings& s, double v) { s.overload_multiple = v; }, 1, 100}};

// "NAME=VALUE" over settings; what is wrong with it, or nothing.
std::optional<std::string> apply_setting(const std::string& text, balancer::Settings& settings) {
    const std::size_t equals = text.find('=');
    const std::string name = text.substr(0, equals);
    const Setting* setting = nullptr;
    std::string known;
    for (const Setting& s : kSettings) {
        if (name == s.name) setting = &s;
        known += (known.empty() ? "" : ", ") + std::string(s.name);
    }
    if (!setting || equals == std::string::npos)
        return "'" + text + "' is not NAME=VALUE with one of " + known;
    const std::string value = text.substr(equals + 1);
    auto number = schema::parse_share(value);
    if (!number) number = schema::parse_duration(value);
    if (!number || *number < setting->least || *number > setting->most)
        return "'" + text + "': the value can't be used";
    setting->apply(settings, *number);
    return {};
}

std::vector<std::string> kind_names() {
    std::vector<std::string> names;
    for (const auto& [name, kind] : kKinds) names.push_back(name);
    return names;
}

const std::vector<Key<FaultSpec>> kFault{
    {"kind", Unit::word, &FaultSpec::kind_name, "", "what goes wrong", 0, 0, kind_names(), true},
    {"name", Unit::word, &FaultSpec::name, "the kind", "for logs and plots"},
    {"at", Unit::duration, &FaultSpec::start, "", "when it begins", 0, kLongest, {}, true},
    {"lasts", Unit::duration, &FaultSpec::duration, "to the end", "for how long; a dead server is back then",
     1, kLongest},
    {"who", Unit::words, &FaultSpec::targets, "\"10%\"",
     "names (s-3; n-1 of a sidecar), a share (\"25%\"), a hall, or \"all\""},
    {"pause", Unit::duration, &FaultSpec::pulse, "\"150ms\"",
     "freeze: how long it stands still; spikes: how long one is", 1, 60000},
    {"every", Unit::duration, &FaultSpec::period, "\"2s\"", "freeze, neighbour, load: how often it comes on",
     10, 600000},
    {"share", Unit::share, &FaultSpec::share, "50%",
     "fail-fast: of the requests; neighbour: of the machine; lossy: of the messages; starve: of its core", 0,
     0.99},
    {"delay", Unit::duration, &FaultSpec::delay, "\"5s\"",
     "list-late: further behind by this; late-messages: later by this", 1, 600000},
    {"linger", Unit::duration, &FaultSpec::linger, "\"3s\"", "drain: from the drain to its end", 1, 600000},
    {"apart", Unit::duration, &FaultSpec::stagger, "\"0s\"", "from one of the servers hit to the next", 0,
     600000},
    {"times", Unit::number, &FaultSpec::load_multiple, "4", "load: multiple of the rate", 0, 100},
    {"shape",
     Unit::word,
     &FaultSpec::load_shape,
     "\"step\"",
     "load: at once; ramp to `times` over `lasts`; doubling each `every` up to `times`; spikes of `pause` "
     "each "
     "`every`; square, on and off for half of `every`",
     0,
     0,
     {"step", "ramp", "doubling", "spikes", "square"}},
    {"groups", Unit::words, &FaultSpec::groups, "none",
     "split: texts of names that don't hear each other: n-3, s-1, halls (their servers and sidecars), list; "
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
     "other-settings: what they say, such as \"siblings=30\""},
    {"only", Unit::word, &FaultSpec::only_class, "the usual mix",
     "load: the class of what is asked beyond the usual"}};

bool ends_the_process(FaultKind kind) {
    return kind == FaultKind::crash || kind == FaultKind::machine_cut_off || kind == FaultKind::drain;
}
bool hits_messages(FaultKind kind) {
    return kind == FaultKind::message_loss || kind == FaultKind::message_delay;
}
bool hits_links(FaultKind kind) {
    return kind == FaultKind::partition || kind == FaultKind::one_way_partition || hits_messages(kind);
}
bool hits_nobody(FaultKind kind) {
    return kind == FaultKind::list_delay || kind == FaultKind::load_surge || hits_links(kind);
}

std::optional<std::uint32_t> numbered(const std::string& name, const char* prefix, std::uint64_t count) {
    if (!name.starts_with(prefix)) return {};
    std::uint32_t number = 0;
    const auto [end, wrong] = std::from_chars(name.data() + 2, name.data() + name.size(), number);
    if (wrong != std::errc() || end != name.data() + name.size() || number >= count) return {};
    return number;
}

// Names as links know them; a hall is all that stands in it.
std::vector<std::string> ends_of(const std::vector<std::string>& names, const Scenario& scenario,
                                 const std::string& key, std::uint32_t line, Problems& problems) {
    const auto halls = static_cast<std::uint32_t>(scenario.fleet.zones.size());
    std::vector<std::string> ends;
    for (const std::string& text : names) {
        std::istringstream words(text);
        for (std::string name; words >> name;) {
            const auto hall = std::find(scenario.fleet.zones.begin(), scenario.fleet.zones.end(), name);
            if (hall != scenario.fleet.zones.end()) {
                const auto nth = static_cast<std::uint32_t>(hall - scenario.fleet.zones.begin());
                for (std::uint32_t i = nth; i < scenario.fleet.servers; i += halls)
                    ends.push_back("s-" + std::to_string(i));
                for (std::uint32_t i = nth; i < scenario.sidecars.count; i += halls)
                    ends.push_back("n-" + std::to_string(i));
            } else if (name == "list" || name == "*" || numbered(name, "s-", scenario.fleet.servers) ||
                       numbered(name, "n-", scenario.sidecars.count)) {
                ends.push_back(name);
            } else {
                problems.push_back({line, key, "'" + name + "' is no sidecar, server or hall, nor 'list'"});
            }
        }
    }
    return ends;
}

void check_links(FaultSpec& fault, std::size_t nth, const Scenario& scenario, Problems& problems) {
    const std::string key = "fault " + std::to_string(nth + 1);
    for (std::string& group : fault.groups) {
        std::string ends;
        for (const std::string& e : ends_of({group}, scenario, key + ".groups", fault.line, problems))
            ends += (ends.empty() ? "" : " ") + e;
        group = ends;
    }
    fault.from = ends_of(fault.from, scenario, key + ".from", fault.line, problems);
    fault.to = ends_of(fault.to, scenario, key + ".to", fault.line, problems);
    if (fault.kind == FaultKind::partition && fault.groups.size() < 2)
        problems.push_back({fault.line, key + ".groups", "takes two groups at least"});
    if (hits_messages(fault.kind) && fault.from.empty()) fault.from = {"*"};
    if (hits_messages(fault.kind) && fault.to.empty()) fault.to = {"*"};
    if (fault.kind == FaultKind::one_way_partition && (fault.from.empty() || fault.to.empty()))
        problems.push_back({fault.line, key, "needs from and to"});
}

// Shares are rounded up, so that a small share of a small fleet still hits somebody, and drawn by the seed.
void select(FaultSpec& fault, std::size_t nth, const Scenario& scenario, Problems& problems) {
    if (hits_nobody(fault.kind)) return;
    const bool sidecars = hits_sidecars(fault.kind);
    const auto count =
        static_cast<std::uint32_t>(sidecars ? scenario.sidecars.count : scenario.fleet.servers);
    std::set<std::uint32_t> hit;
    const std::string key = "fault " + std::to_string(nth + 1) + ".who";
    for (const std::string& who : fault.targets) {
        const double share = who.ends_with('%') ? schema::parse_share(who).value_or(0) : 0;
        const auto hall = std::find(scenario.fleet.zones.begin(), scenario.fleet.zones.end(), who);
        if (const auto number = numbered(who, sidecars ? "n-" : "s-", count)) {
            hit.insert(*number);
        } else if (who == "all") {
            for (std::uint32_t i = 0; i < count; ++i) hit.insert(i);
        } else if (share > 0 && share <= 1) {
            Random random = stream(scenario.overview.seed, Purpose::selection, nth);
            std::vector<std::uint32_t> all(count);
            for (std::uint32_t i = 0; i < count; ++i) all[i] = i;
            const auto part = static_cast<std::size_t>(std::ceil(share * count - 1e-9));
            for (std::size_t i = 0; i < part; ++i) {
                std::swap(all[i], all[i + random.below(all.size() - i)]);
                hit.insert(all[i]);
            }
        } else if (hall != scenario.fleet.zones.end()) {  // sidecars stand in them in turn, like servers
            for (std::uint32_t i = 0; i < count; ++i)
                if (scenario.fleet.zones[scenario.zone_of(i)] == who) hit.insert(i);
        } else {
            problems.push_back({fault.line, key,
                                "'" + who + "' names nobody; there are " +
                                    (sidecars ? "n-0 to n-" : "s-0 to s-") + std::to_string(count - 1) +
                                    ", a share such as \"25%\", \"all\", and the halls"});
        }
    }
    fault.target_ids.assign(hit.begin(), hit.end());
}

Millis end_of(const FaultSpec& fault, std::size_t nth, const Scenario& scenario) {
    return fault.duration > 0 ? fault.start_of(nth) + fault.duration
                              : std::max(scenario.overview.duration, fault.start);
}

struct Span {
    Millis from, to;
    const FaultSpec* fault;
};

// What can't be: two ends of one server at a time, an end of one that has not started, the same fault twice
// at once on one server (which of the two figures would hold?). Different faults may overlap as they like.
void check_overlaps(const Scenario& scenario, Problems& problems) {
    std::map<std::pair<std::uint32_t, std::string>, std::vector<Span>> spans;
    std::map<std::uint32_t, const FaultSpec*> joins;
    for (const FaultSpec& f : scenario.faults)
        if (f.kind == FaultKind::join)
            for (const std::uint32_t s : f.target_ids)
                if (!joins.emplace(s, &f).second)
                    problems.push_back({f.line, "fault.who", "s-" + std::to_string(s) + " joins twice"});
    for (const FaultSpec& f : scenario.faults) {
        if (f.kind == FaultKind::join || hits_links(f.kind)) continue;  // rules of links may overlap
        const std::string group = ends_the_process(f.kind) ? "end"
                                  : hits_sidecars(f.kind)  ? "sidecar"
                                                           : f.kind_name;
        for (std::size_t i = 0; i < std::max<std::size_t>(1, f.target_ids.size()); ++i) {
            const std::uint32_t who = f.target_ids.empty() ? 0 : f.target_ids[i];
            const Span span{f.start_of(i),
                            f.kind == FaultKind::drain && f.duration > 0 ? end_of(f, i, scenario) + f.linger
                                                                         : end_of(f, i, scenario),
                            &f};
            const std::string name = hits_nobody(f.kind) ? "it" : "s-" + std::to_string(who);
            if (ends_the_process(f.kind) && joins.contains(who) && joins.at(who)->start_of(0) >= span.from)
                problems.push_back({f.line, "fault.at", name + " has not joined by then"});
            for (const Span& other : spans[{who, group}])
                // Back at the very moment of the next end: which comes first would be chance.
                if (group == "sidecar" ? span.from <= other.to && other.from <= span.to
                                       : span.from < other.to && other.from < span.to)
                    problems.push_back(
                        {f.line, "fault.at",
                         (group == "end"       ? name + " can't end twice"
                          : group == "sidecar" ? "n-" + std::to_string(who) + " is hit twice"
                                               : "two of '" + f.kind_name + "' overlap on " + name) +
                             ": line " + std::to_string(other.fault->line) + " has it from " +
                             std::to_string(static_cast<long>(other.from)) + "ms to " +
                             std::to_string(static_cast<long>(other.to)) + "ms"});
            spans[{who, group}].push_back(span);
        }
    }
}

void check_whole(Scenario& scenario, Problems& problems) {
    if (scenario.classes.empty()) {
        // Midlands Voices' own, so that the shortest file is of use.
        ClassSpec listen{"listen", 0.52, "safe", 95}, deposit{"deposit", 0.34, "unsafe", 60},
            annotate{"annotate", 0.14, "keyed", 110};
        deposit.latency_objective = 300, deposit.client_deadline = 1200, deposit.priority_weight = 5;
        annotate.latency_objective = 500;
        scenario.classes = {listen, deposit, annotate};
    }
    std::set<std::string> names;
    for (const ClassSpec& c : scenario.classes) {
        if (!names.insert(c.name).second) problems.push_back({0, "class." + c.name, "is there twice"});
        if (c.client_deadline < c.latency_objective)
            problems.push_back({0, "class." + c.name + ".give_up", "is before its aim"});
    }
    double shares = 0;
    for (const ClassSpec& c : scenario.classes) shares += c.share;
    if (shares <= 0) problems.push_back({0, "class.share", "adds up to nothing"});
    if (scenario.registry.max_notice_delay < scenario.registry.min_notice_delay)
        problems.push_back({0, "registry.notice_most", "is less than notice_least"});
    if (scenario.messages.max_delay < scenario.messages.min_delay)
        problems.push_back({0, "messages.delay_most", "is less than delay_least"});
    if (scenario.clients.rate * scenario.overview.duration / 1000 > 2e7)
        problems.push_back({0, "callers.rate", "gives more than 20 million requests in all"});
    for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
        FaultSpec& f = scenario.faults[i];
        const auto kind = kKinds.find(f.kind_name);
        if (kind == kKinds.end()) return;  // told by the schema
        f.kind = kind->second;
        if (f.name.empty()) f.name = f.kind_name;
        if (f.start >= scenario.overview.duration)
            problems.push_back({f.line, "fault " + std::to_string(i + 1) + ".at", "is after the end"});
        if (!f.only_class.empty() && !names.contains(f.only_class))
            problems.push_back({f.line, "fault " + std::to_string(i + 1) + ".only",
                                "'" + f.only_class + "' is no class of this file"});
        const bool pulses = f.kind == FaultKind::freeze || f.intermittent ||
                            (f.kind == FaultKind::load_surge && f.load_shape == "spikes");
        if (pulses && f.pulse >= f.period)
            problems.push_back(
                {f.line, "fault " + std::to_string(i + 1) + ".pause", "must be shorter than 'every'"});
        if (hits_links(f.kind)) check_links(f, i, scenario, problems);
        if (f.kind == FaultKind::sidecar_other_build && f.build.empty())
            problems.push_back({f.line, "fault " + std::to_string(i + 1) + ".build", "is needed"});
        if (f.kind == FaultKind::sidecar_other_settings && f.setting_overrides.empty())
            problems.push_back({f.line, "fault " + std::to_string(i + 1) + ".set", "is needed"});
        for (const std::string& text : f.setting_overrides) {
            balancer::Settings scratch;
            if (const auto wrong = apply_setting(text, scratch))
                problems.push_back({f.line, "fault " + std::to_string(i + 1) + ".set", *wrong});
        }
        const bool ends_by_itself =
            f.kind != FaultKind::sidecar_other_build && f.kind != FaultKind::sidecar_other_settings;
        if (hits_sidecars(f.kind) && f.duration == 0 && ends_by_itself) f.duration = 1000;
        select(f, i, scenario, problems);
    }
    if (problems.empty()) check_overlaps(scenario, problems);
    std::size_t off = 0;
    for (std::uint32_t s = 0; s < scenario.fleet.servers; ++s) off += scenario.joins_later(s);
    if (problems.empty() && off == scenario.fleet.servers)
        problems.push_back({0, "fault.who", "no server is there at the start"});
}

}  // namespace

balancer::Idempotency ClassSpec::idempotency() const {
    if (effect == "safe") return balancer::Idempotency::idempotent;
    return effect == "keyed" ? balancer::Idempotency::idempotency_key : balancer::Idempotency::non_idempotent;
}

bool Scenario::joins_later(std::uint32_t server) const {
    return std::any_of(faults.begin(), faults.end(), [&](const FaultSpec& f) {
        return f.kind == FaultKind::join &&
               std::find(f.target_ids.begin(), f.target_ids.end(), server) != f.target_ids.end();
    });
}

std::vector<fault_proxy::Rule> Scenario::link_rules() const {
    std::vector<fault_proxy::Rule> rules;
    for (const FaultSpec& f : faults) {
        if (!hits_links(f.kind)) continue;
        fault_proxy::Rule rule;
        rule.name = f.name + " " + std::to_string(rules.size() + 1);
        for (const std::string& group : f.groups) {
            std::istringstream words(group);
            rule.groups.emplace_back();
            for (std::string name; words >> name;) rule.groups.back().push_back(name);
        }
        if (f.kind != FaultKind::partition) rule.from = f.from, rule.to = f.to;
        if (hits_messages(f.kind)) rule.medium = fault_proxy::Medium::datagram;
        if (f.kind == FaultKind::message_loss)
            rule.type = fault_proxy::FaultType::drop, rule.probability = f.share;
        if (f.kind == FaultKind::message_delay) {
            rule.type = fault_proxy::FaultType::delay,
            rule.distribution = fault_proxy::DelayDistribution::uniform;
            rule.delay = f.delay, rule.jitter = f.delay / 2;
        }
        rule.starts_at = f.start;
        rule.duration = f.duration;  // 0: to the end, and while what is open then ends
        // One that flaps is a rule for each time that it is on: so it ends with its last.
        if (!f.intermittent) {
            rules.push_back(rule);
            continue;
        }
        const Millis end = f.duration > 0 ? f.start + f.duration : std::max(f.start + 1, overview.duration);
        for (Millis t = f.start; t < end; t += f.period) {
            fault_proxy::Rule once = rule;
            once.name += " at " + std::to_string(static_cast<long>(t));
            once.starts_at = t, once.duration = std::min(f.pulse, end - t);
            rules.push_back(std::move(once));
        }
    }
    return rules;
}

std::vector<fault_proxy::Rule> Scenario::message_rules() const {
    fault_proxy::Rule late, lost;
    late.name = "messages are late", late.type = fault_proxy::FaultType::delay,
    late.distribution = fault_proxy::DelayDistribution::uniform;
    late.delay = (messages.min_delay + messages.max_delay) / 2;
    late.jitter = (messages.max_delay - messages.min_delay) / 2;
    lost.name = "messages are lost", lost.type = fault_proxy::FaultType::drop,
    lost.probability = messages.loss_rate;
    late.medium = lost.medium = fault_proxy::Medium::datagram;
    return {late, lost};
}

balancer::Settings Scenario::settings(std::uint32_t sidecar, const FaultSpec* changed) const {
    balancer::Settings s;
    for (const ClassSpec& c : classes) {
        balancer::RequestClass rc;
        rc.idempotency = c.idempotency();
        rc.dedup_scope = balancer::DedupScope::all;
        rc.dedup_window = c.dedup_window;
        rc.latency_objective = c.latency_objective;
        rc.priority_weight = c.priority_weight;
        s.classes.push_back(rc);
    }
    s.my_zone = sidecar % static_cast<std::uint32_t>(fleet.zones.size());
    s.siblings = static_cast<std::uint32_t>(sidecars.count);
    s.max_attempts = static_cast<std::uint32_t>(sidecars.max_attempts);
    s.may_cancel = true;
    s.slow_start_min_share = invariants.configured_slow_start_min_share > 0
                                 ? invariants.configured_slow_start_min_share
                                 : fleet.slow_start_min_share;
    s.slow_start_duration = invariants.configured_slow_start_duration > 0
                                ? invariants.configured_slow_start_duration
                                : fleet.slow_start_duration;
    s.overload_multiple = invariants.overload_multiple;
    s.costs.cross_zone = 0.02;
    if (changed)
        for (const std::string& text : changed->setting_overrides) apply_setting(text, s);
    return s;
}

Scenario parse_scenario(const std::string& text, const std::string& file, std::optional<std::uint64_t> seed) {
    Problems problems;
    Scenario scenario;
    try {
        const toml::table table = toml::parse(text, file);
        schema::read_table(
            table, "", kOverview, scenario.overview, problems,
            {"fleet", "registry", "callers", "sidecars", "messages", "rules", "class", "fault", "expect"});
        if (seed) scenario.overview.seed = *seed;
        schema::read_section(table, "fleet", kFleet, scenario.fleet, problems);
        schema::read_section(table, "registry", kRegistry, scenario.registry, problems);
        schema::read_section(table, "callers", kCallers, scenario.clients, problems);
        schema::read_section(table, "sidecars", kSidecars, scenario.sidecars, problems);
        schema::read_section(table, "messages", kMessages, scenario.messages, problems);
        schema::read_section(table, "rules", kRules, scenario.invariants, problems);
        schema::read_section(table, "expect", kExpect, scenario.expectations, problems);
        schema::read_sections(
            table, "class", kMaxClasses, kClass, problems,
            [&](ClassSpec c, std::size_t, std::uint32_t) { scenario.classes.push_back(std::move(c)); });
        schema::read_sections(table, "fault", kMaxFaults, kFault, problems,
                              [&](FaultSpec f, std::size_t, std::uint32_t line) {
                                  f.line = line;
                                  scenario.faults.push_back(std::move(f));
                              });
    } catch (const toml::parse_error& error) {
        problems.push_back({error.source().begin.line, "", std::string(error.description())});
    }
    if (problems.empty()) check_whole(scenario, problems);
    if (!problems.empty()) throw ScenarioError(schema::text_of(file, problems));
    return scenario;
}

std::string scenario_manual() {
    return "At the top:\n" + schema::manual(kOverview) + "\n[fleet]\n" + schema::manual(kFleet) +
           "\n[registry]\n" + schema::manual(kRegistry) + "\n[callers]\n" + schema::manual(kCallers) +
           "\n[sidecars]\n" + schema::manual(kSidecars) + "\n[messages]\n" + schema::manual(kMessages) +
           "\n[rules]\n" + schema::manual(kRules) + "\n[[class]]\n" + schema::manual(kClass) +
           "\n[[fault]]\n" + schema::manual(kFault) + "\n[expect]\n" + schema::manual(kExpect);
}

}  // namespace elmbay::simulation
