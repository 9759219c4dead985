#include "config/config.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace elmbay {

namespace {

using Json = nlohmann::json;
// A hundred times the fleet: a wrong file must not fill the memory.
constexpr std::size_t kMaxPeers = 30000;
constexpr std::uint64_t kMaxMemoryMb = 1U << 20U;  // a terabyte: what is said beyond that is no limit
using balancer::EndpointState;

[[noreturn]] void fail(const std::string& field, const std::string& what) {
    throw ConfigError("field '" + field + "' " + what);
}

const Json& member(const Json& object, const std::string& name, const std::string& path) {
    const auto at = object.find(name);
    if (at == object.end()) fail(path + name, "is missing");
    return *at;
}

std::string text(const Json& value, const std::string& field) {
    if (!value.is_string()) fail(field, "is not a text");
    return value.get<std::string>();
}

double number(const Json& value, const std::string& field) {
    if (!value.is_number()) fail(field, "is not a number");
    return value.get<double>();
}

std::uint64_t whole(const Json& value, const std::string& field) {
    const double d = number(value, field);
    if (!(d >= 0 && d < 1.8e19) || d != std::floor(d)) fail(field, "is not a whole number");
    return value.is_number_unsigned() ? value.get<std::uint64_t>() : static_cast<std::uint64_t>(d);
}

Endpoint endpoint(const std::string& value, const std::string& field) {
    const auto colon = value.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos) fail(field, "is not address:port");
    const char* end = value.data() + value.size();
    const auto [at, wrong] = std::from_chars(value.data() + colon + 1, end, port);
    if (wrong != std::errc() || at != end) fail(field, "has no port that can be read");
    std::string host = value.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(host, error);
    if (error) fail(field, "has no address that can be read");
    return {address, port};
}

Target target(const Json& entry, const std::string& path) {
    if (!entry.is_object()) fail(path, "is not an object");
    Target t;
    t.uid = text(member(entry, "uid", path + "."), path + ".uid");
    if (t.uid.empty()) fail(path + ".uid", "is empty");
    const std::string state = text(member(entry, "state", path + "."), path + ".state");
    if (state == "active")
        t.state = EndpointState::active;
    else if (state == "leaving")
        t.state = EndpointState::draining;
    else if (state == "left")
        t.state = EndpointState::removed;
    else
        fail(path + ".state", "is not a known word");
    // One that has left needs no address.
    if (t.state != EndpointState::removed || entry.contains("endpoint"))
        t.endpoint =
            endpoint(text(member(entry, "endpoint", path + "."), path + ".endpoint"), path + ".endpoint");
    if (const auto at = entry.find("az"); at != entry.end()) t.zone = text(*at, path + ".az");
    if (const auto at = entry.find("model"); at != entry.end()) t.machine_type = text(*at, path + ".model");
    if (const auto at = entry.find("pod_group"); at != entry.end())
        t.cell = static_cast<std::uint32_t>(whole(*at, path + ".pod_group"));
    if (const auto at = entry.find("boot_ms"); at != entry.end())
        t.online_since = number(*at, path + ".boot_ms");
    if (const auto at = entry.find("capacity_hint"); at != entry.end())
        t.weight = balancer::sound_weight(number(*at, path + ".capacity_hint"));
    return t;
}

// Parses JSON that holds a listing and turns each of its targets into a Target as soon as it has been read,
// so that thousands of them never stand in memory as JSON. What is nested in a target is passed over unread:
// no field of one is.
class ListingParser {
public:
    // path: the field that is the listing; empty if the whole text is one.
    explicit ListingParser(const std::string& path)
        : path_(path),
          prefix_(path.empty() ? "" : path + "."),
          depth_(path.empty() ? 0 : 1),
          inside_(path.empty()) {}

    // The JSON without the targets. Throws ConfigError, naming the text as `what`.
    Json parse(std::string_view text, const std::string& what) {
        const auto callback = [this](int depth, Event event, const Json& value) {
            return keep(depth, event, value);
        };
        Json json = Json::parse(text, callback, false);
        if (json.is_discarded()) throw ConfigError(what + " is not JSON");
        return json;
    }
    // The listing of what parse() has read; json: what stands there without the targets.
    Listing listing(const Json& json) {
        if (!json.is_object()) fail(path_.empty() ? "list" : path_, "is not an object");
        listing_.rev = whole(member(json, "rev", prefix_), prefix_ + "rev");
        const Json& all = member(json, "all", prefix_);
        if (!all.is_boolean()) fail(prefix_ + "all", "is not a truth value");
        listing_.all = all.get<bool>();
        if (!member(json, "targets", prefix_).is_array()) fail(prefix_ + "targets", "is not a list");
        return std::move(listing_);
    }

private:
    using Event = Json::parse_event_t;

    // Whether the parser keeps what it has come to. depth: how many braces and brackets it stands in.
    bool keep(int depth, Event event, const Json& value) {
        const int in_listing = depth_ + 1, in_targets = depth_ + 2;
        const bool nested = event == Event::object_start || event == Event::array_start;
        if (event == Event::key && depth <= in_listing)
            return enter(depth, value.get_ref<const std::string&>());
        if (at_ == At::elsewhere) return true;
        if (at_ == At::other_field) return !nested;
        if (depth < in_targets) return true;     // the list of targets itself
        if (depth > in_targets) return !nested;  // a field of a target
        if (event == Event::object_start || event == Event::key) return true;
        add(value);  // a whole target, or something that is none
        return false;
    }
    // A key of the listing, or of the object that it is a field of. Whether its value is kept.
    bool enter(int depth, const std::string& key) {
        if (depth == depth_) inside_ = key == path_;
        if (!inside_ || depth == depth_) {
            at_ = At::elsewhere;
            return true;
        }
        at_ = key == "targets" ? At::targets : At::other_field;
        if (at_ == At::targets)
            listing_.targets.clear(), count_ = 0;  // of a key that comes twice the last counts
        return at_ == At::targets || key == "rev" || key == "all";
    }
    void add(const Json& value) {
        if (listing_.targets.size() >= kMaxTargets) {
            ++listing_.passed_over;
            return;
        }
        listing_.targets.push_back(target(value, prefix_ + "targets." + std::to_string(count_++)));
    }

    const std::string path_, prefix_;
    const int depth_;  // braces round the listing
    bool inside_;      // the listing, rather than a field beside it
    enum class At { elsewhere, targets, other_field } at_ = At::elsewhere;
    std::size_t count_ = 0;  // targets so far
    Listing listing_;
};

// Settings in the form of the simulator's first message: path and value, lists of objects with their count.
void flatten(const Json& value, const std::string& path,
             std::vector<std::pair<std::string, std::string>>& out) {
    if (value.is_object()) {
        for (const auto& [name, inner] : value.items())
            flatten(inner, path.empty() ? name : path + "." + name, out);
    } else if (value.is_array() && !value.empty() && value.front().is_object()) {
        out.emplace_back(path + ".count", std::to_string(value.size()));
        for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), out);
    } else if (value.is_array()) {
        std::string joined;
        for (const Json& item : value)
            joined +=
                (joined.empty() ? "" : ",") + (item.is_string() ? item.get<std::string>() : item.dump());
        out.emplace_back(path, joined);
    } else if (value.is_string()) {
        out.emplace_back(path, value.get<std::string>());
    } else if (value.is_number_float() && std::floor(value.get<double>()) == value.get<double>() &&
               std::abs(value.get<double>()) < 1e15) {
        out.emplace_back(path, std::to_string(static_cast<std::int64_t>(value.get<double>())));
    } else if (!value.is_null()) {
        out.emplace_back(path, value.dump());
    }
}

balancer::DeploymentSettings deployment(const Json& settings) {
    std::vector<std::pair<std::string, std::string>> pairs;
    flatten(settings, "", pairs);
    balancer::Fields fields("settings");
    for (const auto& [name, value] : pairs) fields.add(name, value);
    try {
        return balancer::read_deployment_settings(fields);
    } catch (const balancer::FieldError& error) {
        throw ConfigError(error.what());
    }
}

std::uint64_t seed(const Json& value) {
    if (value.is_number_unsigned()) return value.get<std::uint64_t>();
    const std::string digits = text(value, "seed");
    std::uint64_t result = 0;
    const auto [end, wrong] = std::from_chars(digits.data(), digits.data() + digits.size(), result, 16);
    if (wrong != std::errc() || end != digits.data() + digits.size())
        fail("seed", "is not a hexadecimal number");
    return result;
}

}  // namespace

Listing parse_listing(std::string_view text) {
    ListingParser parser("");
    return parser.listing(parser.parse(text, "the list"));
}

Config parse_config(const std::string& source) {
    ListingParser parser("known");
    const Json json = parser.parse(source, "the configuration");
    if (!json.is_object()) throw ConfigError("the configuration is not an object");
    Config c;
    if (const auto at = json.find("name"); at != json.end()) c.name = text(*at, "name");
    c.listen = endpoint(text(member(json, "listen", ""), "listen"), "listen");
    c.discovery = endpoint(text(member(json, "discovery", ""), "discovery"), "discovery");
    c.seed = seed(member(json, "seed", ""));
    if (const auto limits = json.find("limits"); limits != json.end()) {
        if (!limits->is_object()) fail("limits", "is not an object");
        if (const auto at = limits->find("sockets"); at != limits->end())
            c.sockets = static_cast<std::size_t>(whole(*at, "limits.sockets"));
        if (const auto at = limits->find("memory_mb"); at != limits->end())
            c.memory = static_cast<std::size_t>(std::min(whole(*at, "limits.memory_mb"), kMaxMemoryMb))
                       << 20U;
    }
    const Json& settings = member(json, "settings", "");
    if (!settings.is_object()) fail("settings", "is not an object");
    c.deployment = deployment(settings);
    const auto peer = [](const Json& value, const std::string& field) {
        const Endpoint e = endpoint(text(value, field), field);
        return PeerEndpoint(e.address(), e.port());
    };
    if (const auto at = json.find("peer_listen"); at != json.end()) c.peer_listen = peer(*at, "peer_listen");
    if (const auto at = json.find("peers"); at != json.end()) {
        if (!at->is_array() || at->size() > kMaxPeers) fail("peers", "is not a list of so many addresses");
        for (std::size_t i = 0; i < at->size(); ++i)
            c.peers.push_back(peer((*at)[i], "peers." + std::to_string(i)));
    }
    if (const auto at = json.find("known"); at != json.end() && !at->is_null()) c.known = parser.listing(*at);
    return c;
}

Config reload_config(const std::function<const char*(const char*)>& get) {
    const char* path = get("RELAY_CONFIG");
    if (!path) fail("RELAY_CONFIG", "is not set");
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) fail("RELAY_CONFIG", std::string("names a file that can't be read: ") + path);
    Config c = parse_config(content.str());
    if (const char* name = get("RELAY_NAME")) c.name = name;
    if (const char* listen = get("RELAY_LISTEN")) c.listen = endpoint(listen, "RELAY_LISTEN");
    return c;
}

Config load_config(const std::function<const char*(const char*)>& get) {
    Config c = reload_config(get);
    if (const char* discovery = get("RELAY_DISCOVERY")) c.discovery = endpoint(discovery, "RELAY_DISCOVERY");
    return c;
}

}  // namespace elmbay
