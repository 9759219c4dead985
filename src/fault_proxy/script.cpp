#include "fault_proxy/script.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace elmbay::fault_proxy {

namespace {

using schema::Key;
using schema::Problems;
using schema::Unit;

// Longest duration in a file: one hour, in milliseconds.
constexpr Millis kMaxDuration = 3600000;
// Highest number of a connection, datagram, byte or message. A double represents every integer up to it
// exactly.
constexpr double kMaxCount = 9e15;

const std::map<std::string, FaultType> kFaultTypes{
    {"cut", FaultType::cut},         {"lose", FaultType::drop},
    {"delay", FaultType::delay},     {"repeat", FaultType::duplicate},
    {"reorder", FaultType::reorder}, {"rate", FaultType::limit_rate},
    {"refuse", FaultType::refuse},   {"hold", FaultType::delay_open},
    {"reset", FaultType::reset},     {"half-close", FaultType::half_close},
    {"silence", FaultType::silence}, {"stall", FaultType::stall},
    {"garble", FaultType::corrupt}};

std::vector<std::string> fault_type_names() {
    std::vector<std::string> names;
    names.reserve(kFaultTypes.size());
    for (const auto& [name, type] : kFaultTypes) names.push_back(name);
    return names;
}

const std::vector<Key<LinkSpec>> kLinkKeys{
    {"from", Unit::word, &LinkSpec::from, "", "name of the client", 0, 0, {}, true},
    {"to", Unit::word, &LinkSpec::to, "", "name of the target", 0, 0, {}, true},
    {"listen",
     Unit::word,
     &LinkSpec::listen,
     "",
     "address:port on loopback to which `from` connects",
     0,
     0,
     {},
     true},
    {"target",
     Unit::word,
     &LinkSpec::target,
     "",
     "address:port on loopback on which `to` listens",
     0,
     0,
     {},
     true}};

const std::vector<Key<MemberSpec>> kMemberKeys{
    {"name", Unit::word, &MemberSpec::name, "", "name of the member", 0, 0, {}, true},
    {"listen",
     Unit::word,
     &MemberSpec::listen,
     "",
     "address:port on loopback at which other members reach it",
     0,
     0,
     {},
     true},
    {"target",
     Unit::word,
     &MemberSpec::target,
     "",
     "address:port on loopback on which it listens and from which it sends",
     0,
     0,
     {},
     true}};

// The keys before the first table.
struct TopLevelSpec {
    std::uint64_t seed = 1;
    std::string broadcast;
};
const std::vector<Key<TopLevelSpec>> kTopLevelKeys{
    {"seed", Unit::count, &TopLevelSpec::seed, "1", "seed of all random choices", 0, kMaxCount},
    {"everybody", Unit::word, &TopLevelSpec::broadcast, "none",
     "broadcast address: reaches all members except the sender"}};

std::vector<std::string> split_names(const std::string& text) {
    std::vector<std::string> names;
    std::size_t from = 0;
    while (from <= text.size()) {
        const std::size_t to = std::min(text.find_first_of(" ,", from), text.size());
        if (to > from) names.push_back(text.substr(from, to - from));
        from = to + 1;
    }
    return names;
}

void check_address(const std::string& text, const std::string& key, std::uint32_t line, Problems& problems) {
    try {
        loopback_endpoint(text);
    } catch (const AddressError& error) {
        problems.push_back({line, key, error.what()});
    }
}

Medium medium_of(const RuleSpec& spec) {
    if (spec.medium == "any") return Medium::any;
    return spec.medium == "stream" ? Medium::stream : Medium::datagram;
}

Trigger trigger_of(const RuleSpec& spec) {
    if (spec.trigger == "byte") return Trigger::at_byte;
    return spec.trigger == "message" ? Trigger::at_message : Trigger::on_open;
}

MessagePoint trigger_point_of(const RuleSpec& spec) {
    if (spec.trigger_point == "head") return MessagePoint::head_end;
    return spec.trigger_point == "ends" ? MessagePoint::end : MessagePoint::begin;
}

DelayDistribution distribution_of(const RuleSpec& spec) {
    if (spec.distribution == "uniform") return DelayDistribution::uniform;
    return spec.distribution == "exponential" ? DelayDistribution::exponential : DelayDistribution::fixed;
}

// Reports values that contradict each other, in the order of the keys.
void check_rule(const RuleSpec& spec, const Rule& rule, const std::string& section, std::uint32_t line,
                Problems& problems) {
    const auto report = [&](const char* key, const char* what) {
        problems.push_back({line, section + "." + key, what});
    };
    const FaultType type = rule.type;
    const bool needs_delay =
        type == FaultType::delay || type == FaultType::delay_open || type == FaultType::stall;
    if (spec.groups.size() == 1) report("groups", "needs at least two groups");
    if (applies_to_datagrams_only(type) && rule.medium == Medium::stream) {
        report("medium",
               "this fault applies to datagrams only; TCP hides loss and duplication from its users");
    }
    if (spec.period > 0 && spec.period <= spec.duration) report("every", "must be longer than lasts");
    if (spec.period > 0 && spec.duration <= 0) report("lasts", "is required if every is set");
    if (rule.last_number < rule.first_number) report("last", "must not be less than first");
    if (type == FaultType::limit_rate && spec.bytes_per_second <= 0)
        report("rate", "is required: bytes per second");
    if (needs_delay && spec.delay <= 0) report("span", "is required: duration of the fault");
}

void read_top_level(const toml::table& table, Script& script, Problems& problems) {
    TopLevelSpec top;
    schema::read_table(table, "", kTopLevelKeys, top, problems, {"link", "member", "rule"});
    script.seed = top.seed;
    script.broadcast = top.broadcast;
    if (!top.broadcast.empty()) check_address(top.broadcast, "everybody", 0, problems);
}

void read_links(const toml::table& table, Script& script, Problems& problems) {
    std::set<std::pair<std::string, std::string>> ends;
    const auto add = [&](LinkSpec spec, std::size_t number, std::uint32_t line) {
        const std::string section = "link " + std::to_string(number);
        check_address(spec.listen, section + ".listen", line, problems);
        check_address(spec.target, section + ".target", line, problems);
        const bool is_new = ends.emplace(spec.from, spec.to).second;
        if (!is_new) problems.push_back({line, section, "is defined twice"});
        script.links.push_back(std::move(spec));
    };
    schema::read_sections(table, "link", Script::kMaxLinks, kLinkKeys, problems, add);
}

void read_members(const toml::table& table, Script& script, Problems& problems) {
    std::set<std::string> names;
    const auto add = [&](MemberSpec spec, std::size_t number, std::uint32_t line) {
        const std::string section = "member " + std::to_string(number);
        check_address(spec.listen, section + ".listen", line, problems);
        check_address(spec.target, section + ".target", line, problems);
        const bool is_new = names.insert(spec.name).second;
        if (!is_new) problems.push_back({line, section + ".name", "is defined twice"});
        script.members.push_back(std::move(spec));
    };
    schema::read_sections(table, "member", Script::kMaxLinks, kMemberKeys, problems, add);
}

void read_rules(const toml::table& table, Script& script, Problems& problems) {
    std::set<std::string> names;
    const auto add = [&](const RuleSpec& spec, std::size_t number, std::uint32_t line) {
        script.rules.push_back(rule_of(spec, number, line, problems));
        const bool is_new = names.insert(script.rules.back().name).second;
        if (!is_new)
            problems.push_back(
                {line, "rule " + std::to_string(number) + ".name", "is already the name of another rule"});
    };
    schema::read_sections(table, "rule", Script::kMaxRules, rule_keys(), problems, add);
}

}  // namespace

const std::vector<Key<RuleSpec>>& rule_keys() {
    static const std::vector<Key<RuleSpec>> kKeys{
        {"name", Unit::word, &RuleSpec::name, "its number", "unique name of the rule"},
        {"act", Unit::word, &RuleSpec::fault_type, "", "the fault", 0, 0, fault_type_names(), true},
        {"from", Unit::words, &RuleSpec::from, "\"*\"", "names of senders; a trailing * matches any suffix"},
        {"to", Unit::words, &RuleSpec::to, "\"*\"", "names of receivers; a trailing * matches any suffix"},
        {"groups", Unit::words, &RuleSpec::groups, "none",
         "replaces from and to: links between two groups, each a text of names (\"n-0 n-1\"); a name in "
         "several groups keeps all its links"},
        {"medium",
         Unit::word,
         &RuleSpec::medium,
         "\"any\"",
         "the traffic that the rule applies to",
         0,
         0,
         {"any", "stream", "datagram"}},
        {"at", Unit::duration, &RuleSpec::starts_at, "\"0s\"", "time at which the rule becomes active", 0,
         kMaxDuration},
        {"lasts", Unit::duration, &RuleSpec::duration, "to the end", "how long the rule is active", 0,
         kMaxDuration},
        {"every", Unit::duration, &RuleSpec::period, "once", "interval of repetition; longer than lasts", 0,
         kMaxDuration},
        {"first", Unit::count, &RuleSpec::first_number, "1",
         "number of the first connection or datagram of a link that it applies to", 1, kMaxCount},
        {"last", Unit::count, &RuleSpec::last_number, "any",
         "number of the last connection or datagram that it applies to", 1, kMaxCount},
        {"chance", Unit::share, &RuleSpec::probability, "100%", "probability for each connection or datagram",
         0, 1},
        {"where",
         Unit::word,
         &RuleSpec::trigger,
         "\"opening\"",
         "trigger in a stream: when it opens, before the byte `before_byte`, or at the HTTP message "
         "`message`",
         0,
         0,
         {"opening", "byte", "message"}},
        {"before_byte", Unit::count, &RuleSpec::trigger_byte, "0",
         "offset of a byte in one direction, from 0", 0, kMaxCount},
        {"message", Unit::count, &RuleSpec::trigger_message, "1",
         "number of an HTTP message in one direction, from 1", 1, kMaxCount},
        {"part",
         Unit::word,
         &RuleSpec::trigger_point,
         "\"begins\"",
         "point in the message: before its first byte, after its head, after its last byte",
         0,
         0,
         {"begins", "head", "ends"}},
        {"span", Unit::duration, &RuleSpec::delay, "\"0ms\"", "duration of a delay, hold, stall or reorder",
         0, kMaxDuration},
        {"jitter", Unit::duration, &RuleSpec::jitter, "\"0ms\"",
         "for law uniform: largest deviation from span", 0, kMaxDuration},
        {"law",
         Unit::word,
         &RuleSpec::distribution,
         "\"fixed\"",
         "distribution of span",
         0,
         0,
         {"fixed", "uniform", "exponential"}},
        {"rate", Unit::size, &RuleSpec::bytes_per_second, "none", "for rate: bytes per second", 1, 1e12},
        {"copies", Unit::count, &RuleSpec::extra_copies, "1",
         "for repeat: additional copies of each datagram", 1, 100},
        {"behind", Unit::count, &RuleSpec::overtaken_by, "1",
         "for reorder: number of later datagrams that overtake it", 1, 64},
        {"count", Unit::count, &RuleSpec::corrupted_bytes, "1", "for garble: number of changed bytes", 1,
         kMaxCount}};
    return kKeys;
}

Rule rule_of(const RuleSpec& spec, std::size_t number, std::uint32_t line, Problems& problems) {
    const std::string default_name = "rule " + std::to_string(number);
    Rule rule;
    rule.name = spec.name.empty() ? default_name : spec.name;
    const auto type = kFaultTypes.find(spec.fault_type);
    if (type == kFaultTypes.end()) return rule;  // the schema has already reported the unknown name
    rule.type = type->second;
    rule.from = spec.from;
    rule.to = spec.to;
    for (const std::string& group : spec.groups) rule.groups.push_back(split_names(group));
    rule.medium = medium_of(spec);
    rule.starts_at = spec.starts_at;
    rule.duration = spec.duration;
    rule.period = spec.period;
    rule.first_number = spec.first_number;
    rule.last_number = spec.last_number == 0 ? UINT64_MAX : spec.last_number;
    rule.probability = spec.probability;
    rule.trigger = trigger_of(spec);
    rule.trigger_byte = spec.trigger_byte;
    rule.trigger_message = spec.trigger_message;
    rule.trigger_point = trigger_point_of(spec);
    rule.delay = spec.delay;
    rule.jitter = spec.jitter;
    rule.distribution = distribution_of(spec);
    rule.bytes_per_second = spec.bytes_per_second;
    rule.extra_copies = spec.extra_copies;
    rule.overtaken_by = spec.overtaken_by;
    rule.corrupted_bytes = spec.corrupted_bytes;
    check_rule(spec, rule, default_name, line, problems);
    return rule;
}

boost::asio::ip::tcp::endpoint loopback_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) throw AddressError("'" + text + "' is not address:port");
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [port_end, port_error] = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const bool has_port = port_error == std::errc() && port_end == end;
    if (error || !has_port) throw AddressError("'" + text + "' is not address:port");
    if (!address.is_loopback()) {
        throw AddressError("'" + text + "' is not on loopback (127.0.0.0/8)");
    }
    return {address, port};
}

Script parse_script(const std::string& text, const std::string& file, Problems& problems) {
    Script script;
    try {
        const toml::table table = toml::parse(text, file);
        read_top_level(table, script, problems);
        read_links(table, script, problems);
        read_members(table, script, problems);
        read_rules(table, script, problems);
    } catch (const toml::parse_error& error) {
        problems.push_back({error.source().begin.line, "", std::string(error.description())});
    }
    return script;
}

std::string script_manual() {
    return "At the top:\n" + schema::manual(kTopLevelKeys) + "\n[[link]] of streams\n" +
           schema::manual(kLinkKeys) + "\n[[member]] of datagrams\n" + schema::manual(kMemberKeys) +
           "\n[[rule]]\n" + schema::manual(rule_keys());
}

}  // namespace elmbay::fault_proxy
