#include "fault_proxy/script.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <map>
#include <set>
#include <stdexcept>

namespace elmbay::fault_proxy {

namespace {

using schema::Key;
using schema::Problems;
using schema::Unit;

constexpr double kLongest = 3600000;  // ms

const std::map<std::string, Act> kActs{{"cut", Act::cut},         {"lose", Act::lose},
                                       {"delay", Act::delay},     {"repeat", Act::repeat},
                                       {"reorder", Act::reorder}, {"rate", Act::rate},
                                       {"refuse", Act::refuse},   {"hold", Act::hold},
                                       {"reset", Act::reset},     {"half-close", Act::half_close},
                                       {"silence", Act::silence}, {"stall", Act::stall},
                                       {"garble", Act::garble}};

std::vector<std::string> act_names() {
    std::vector<std::string> names;
    for (const auto& [name, act] : kActs) names.push_back(name);
    return names;
}

const std::vector<Key<LinkSpec>> kLink{
    {"from", Unit::word, &LinkSpec::from, "", "who connects", 0, 0, {}, true},
    {"to", Unit::word, &LinkSpec::to, "", "whom it means to reach", 0, 0, {}, true},
    {"listen",
     Unit::word,
     &LinkSpec::listen,
     "",
     "address:port given to `from`, on loopback",
     0,
     0,
     {},
     true},
    {"target", Unit::word, &LinkSpec::target, "", "where `to` really listens, on loopback", 0, 0, {}, true}};

const std::vector<Key<MemberSpec>> kMember{
    {"name", Unit::word, &MemberSpec::name, "", "of one that sends and gets datagrams", 0, 0, {}, true},
    {"listen", Unit::word, &MemberSpec::listen, "", "where the others reach it, on loopback", 0, 0, {}, true},
    {"target", Unit::word, &MemberSpec::target, "", "where it listens, and sends from", 0, 0, {}, true}};

struct Top {
    std::uint64_t seed = 1;
    std::string everybody;
};
const std::vector<Key<Top>> kTop{
    {"seed", Unit::count, &Top::seed, "1", "all chance comes from it", 0, 9e15},
    {"everybody", Unit::word, &Top::everybody, "none", "an address that reaches all members but the sender"}};

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
    } catch (const std::invalid_argument& error) {
        problems.push_back({line, key, error.what()});
    }
}

}  // namespace

const std::vector<Key<RuleSpec>>& rule_keys() {
    static const std::vector<Key<RuleSpec>> keys{
        {"name", Unit::word, &RuleSpec::name, "its number", "to change it, and for logs"},
        {"act", Unit::word, &RuleSpec::act, "", "what happens", 0, 0, act_names(), true},
        {"from", Unit::words, &RuleSpec::from, "\"*\"", "who sends; a trailing * is any rest"},
        {"to", Unit::words, &RuleSpec::to, "\"*\"", "who should get it"},
        {"groups", Unit::words, &RuleSpec::groups, "none",
         "in place of from and to: links between two of them, each a text of names (\"n-0 n-1\"); who stands "
         "in several bridges them"},
        {"medium", Unit::word, &RuleSpec::medium, "\"any\"", "of what", 0, 0, {"any", "stream", "datagram"}},
        {"at", Unit::duration, &RuleSpec::at, "\"0s\"", "when it begins to hold", 0, kLongest},
        {"lasts", Unit::duration, &RuleSpec::lasts, "to the end", "for how long", 0, kLongest},
        {"every", Unit::duration, &RuleSpec::every, "once", "comes on again so often; longer than lasts", 0,
         kLongest},
        {"first", Unit::count, &RuleSpec::first, "1", "of the connections or datagrams of a link", 1, 9e15},
        {"last", Unit::count, &RuleSpec::last, "any", "and the last of them", 1, 9e15},
        {"chance", Unit::share, &RuleSpec::chance, "100%", "of each connection or datagram", 0, 1},
        {"where",
         Unit::word,
         &RuleSpec::where,
         "\"opening\"",
         "in a stream: at once, before the byte `before_byte`, or at the HTTP message `message`",
         0,
         0,
         {"opening", "byte", "message"}},
        {"before_byte", Unit::count, &RuleSpec::before_byte, "0", "of one direction, from 0", 0, 9e15},
        {"message", Unit::count, &RuleSpec::message, "1", "of one direction, from 1", 1, 9e15},
        {"part",
         Unit::word,
         &RuleSpec::part,
         "\"begins\"",
         "before its first byte, after its head, after it",
         0,
         0,
         {"begins", "head", "ends"}},
        {"span", Unit::duration, &RuleSpec::span, "\"0ms\"", "of delay, hold, stall, reorder", 0, kLongest},
        {"jitter", Unit::duration, &RuleSpec::jitter, "\"0ms\"", "law uniform: span by this more or less", 0,
         kLongest},
        {"law",
         Unit::word,
         &RuleSpec::law,
         "\"fixed\"",
         "of span",
         0,
         0,
         {"fixed", "uniform", "exponential"}},
        {"rate", Unit::size, &RuleSpec::rate, "none", "of rate: bytes a second", 1, 1e12},
        {"copies", Unit::count, &RuleSpec::copies, "1", "of repeat: more of each", 1, 100},
        {"behind", Unit::count, &RuleSpec::behind, "1", "of reorder: how many later ones overtake it", 1, 64},
        {"count", Unit::count, &RuleSpec::count, "1", "of garble: bytes", 1, 9e15}};
    return keys;
}

Rule rule_of(const RuleSpec& spec, std::size_t number, std::uint32_t line, Problems& problems) {
    const std::string where = "rule " + std::to_string(number);
    const auto wrong = [&](const char* key, const char* what) {
        problems.push_back({line, where + "." + key, what});
    };
    Rule rule;
    rule.name = spec.name.empty() ? where : spec.name;
    const auto act = kActs.find(spec.act);
    if (act == kActs.end()) return rule;  // told by the schema
    rule.act = act->second;
    rule.from = spec.from, rule.to = spec.to;
    for (const std::string& group : spec.groups) rule.groups.push_back(split_names(group));
    if (spec.groups.size() == 1) wrong("groups", "takes two groups at least");
    rule.medium = spec.medium == "any"      ? Medium::any
                  : spec.medium == "stream" ? Medium::stream
                                            : Medium::datagram;
    const bool datagrams_only = rule.act == Act::lose || rule.act == Act::repeat || rule.act == Act::reorder;
    if (datagrams_only && rule.medium == Medium::stream)
        wrong("medium", "this act is of datagrams; TCP loses and repeats nothing that its user could see");
    rule.at = spec.at, rule.lasts = spec.lasts, rule.every = spec.every;
    if (spec.every > 0 && spec.every <= spec.lasts) wrong("every", "must be longer than lasts");
    if (spec.every > 0 && spec.lasts <= 0) wrong("lasts", "is needed with every");
    rule.first = spec.first, rule.last = spec.last == 0 ? UINT64_MAX : spec.last;
    if (rule.last < rule.first) wrong("last", "is before first");
    rule.chance = spec.chance;
    rule.place = spec.where == "byte"      ? Place::byte
                 : spec.where == "message" ? Place::message
                                           : Place::opening;
    rule.byte = spec.before_byte, rule.message = spec.message;
    rule.part = spec.part == "head" ? Part::head : spec.part == "ends" ? Part::ends : Part::begins;
    rule.span = spec.span, rule.jitter = spec.jitter;
    rule.law = spec.law == "uniform"       ? Law::uniform
               : spec.law == "exponential" ? Law::exponential
                                           : Law::fixed;
    if (rule.act == Act::rate && spec.rate <= 0) wrong("rate", "is needed: bytes a second");
    const bool spans = rule.act == Act::delay || rule.act == Act::hold || rule.act == Act::stall;
    if (spans && spec.span <= 0) wrong("span", "is needed: for how long");
    rule.rate = spec.rate;
    rule.copies = spec.copies, rule.behind = spec.behind, rule.count = spec.count;
    return rule;
}

boost::asio::ip::tcp::endpoint loopback_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    if (colon == std::string::npos) throw std::invalid_argument("'" + text + "' is not address:port");
    const auto [at, wrong] = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    if (error || wrong != std::errc() || at != end)
        throw std::invalid_argument("'" + text + "' is not address:port");
    if (!address.is_loopback())
        throw std::invalid_argument("'" + text + "' is not on loopback (127.0.0.0/8)");
    return {address, port};
}

Script parse_script(const std::string& text, const std::string& file, Problems& problems) {
    Script script;
    try {
        const toml::table table = toml::parse(text, file);
        Top top;
        schema::read_table(table, "", kTop, top, problems, {"link", "member", "rule"});
        script.seed = top.seed, script.everybody = top.everybody;
        if (!top.everybody.empty()) check_address(top.everybody, "everybody", 0, problems);
        std::set<std::pair<std::string, std::string>> ends;
        schema::read_sections(table, "link", Script::kMaxLinks, kLink, problems,
                              [&](LinkSpec spec, std::size_t number, std::uint32_t line) {
                                  const std::string where = "link " + std::to_string(number);
                                  check_address(spec.listen, where + ".listen", line, problems);
                                  check_address(spec.target, where + ".target", line, problems);
                                  if (!ends.emplace(spec.from, spec.to).second)
                                      problems.push_back({line, where, "is there twice"});
                                  script.links.push_back(std::move(spec));
                              });
        std::set<std::string> names;
        schema::read_sections(table, "member", Script::kMaxLinks, kMember, problems,
                              [&](MemberSpec spec, std::size_t number, std::uint32_t line) {
                                  const std::string where = "member " + std::to_string(number);
                                  check_address(spec.listen, where + ".listen", line, problems);
                                  check_address(spec.target, where + ".target", line, problems);
                                  if (!names.insert(spec.name).second)
                                      problems.push_back({line, where + ".name", "is there twice"});
                                  script.members.push_back(std::move(spec));
                              });
        std::set<std::string> rules;
        schema::read_sections(table, "rule", Script::kMaxRules, rule_keys(), problems,
                              [&](const RuleSpec& spec, std::size_t number, std::uint32_t line) {
                                  script.rules.push_back(rule_of(spec, number, line, problems));
                                  if (!rules.insert(script.rules.back().name).second)
                                      problems.push_back({line, "rule " + std::to_string(number) + ".name",
                                                          "is another rule's"});
                              });
    } catch (const toml::parse_error& error) {
        problems.push_back({error.source().begin.line, "", std::string(error.description())});
    }
    return script;
}

std::string script_manual() {
    return "At the top:\n" + schema::manual(kTop) + "\n[[link]] of streams\n" + schema::manual(kLink) +
           "\n[[member]] of datagrams\n" + schema::manual(kMember) + "\n[[rule]]\n" +
           schema::manual(rule_keys());
}

}  // namespace elmbay::fault_proxy
