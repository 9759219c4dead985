#include "config/config.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/endpoint_list_parser.hpp"
#include "config/json_fields.hpp"

namespace elmbay {

namespace {

/// Maximum of `limits.memory_mb`, in MB: one terabyte. Larger values limit nothing in practice, and clamping
/// them keeps the conversion to bytes from overflowing.
constexpr std::uint64_t kMaxMemoryMb = 1U << 20U;
constexpr unsigned kBytesPerMbShift = 20;

/// Whole real numbers below this are written without a decimal point. A double represents each of them
/// exactly.
constexpr double kMaxExactWholeNumber = 1e15;

/// Base of the digits of the field `seed`.
constexpr int kSeedBase = 16;

/// The path of a setting and its value as text.
using SettingPair = std::pair<std::string, std::string>;

std::string joined_with_commas(const Json& list) {
    std::string joined;
    for (const Json& item : list) {
        if (!joined.empty()) joined += ",";
        joined += item.is_string() ? item.get<std::string>() : item.dump();
    }
    return joined;
}

bool is_exact_whole_number(const Json& value) {
    if (!value.is_number_float()) return false;
    const auto number = value.get<double>();
    return std::floor(number) == number && std::abs(number) < kMaxExactWholeNumber;
}

// Appends the settings as pairs of path and value, with a count for each list of objects. The simulator's
// START message has the same form, and read_deployment_settings() reads it.
void flatten(const Json& value, const std::string& path, std::vector<SettingPair>& pairs) {
    const bool is_list_of_objects = value.is_array() && !value.empty() && value.front().is_object();
    if (value.is_object()) {
        const std::string prefix = path.empty() ? "" : path + ".";
        for (const auto& [name, inner] : value.items()) flatten(inner, prefix + name, pairs);
    } else if (is_list_of_objects) {
        pairs.emplace_back(path + ".count", std::to_string(value.size()));
        for (std::size_t i = 0; i < value.size(); ++i) {
            flatten(value[i], path + "." + std::to_string(i), pairs);
        }
    } else if (value.is_array()) {
        pairs.emplace_back(path, joined_with_commas(value));
    } else if (value.is_string()) {
        pairs.emplace_back(path, value.get<std::string>());
    } else if (is_exact_whole_number(value)) {
        pairs.emplace_back(path, std::to_string(static_cast<std::int64_t>(value.get<double>())));
    } else if (!value.is_null()) {
        pairs.emplace_back(path, value.dump());
    }
}

balancer::DeploymentSettings parse_deployment_settings(const Json& settings) {
    std::vector<SettingPair> pairs;
    flatten(settings, "", pairs);
    balancer::Fields fields("settings");
    for (const auto& [name, value] : pairs) fields.add(name, value);
    try {
        return balancer::read_deployment_settings(fields);
    } catch (const balancer::FieldError& error) {
        throw ConfigError(error);
    }
}

std::uint64_t parse_seed(const Json& value) {
    if (value.is_number_unsigned()) return value.get<std::uint64_t>();
    const std::string digits = as_text(value, "seed");
    const char* const digits_end = digits.data() + digits.size();
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits_end, seed, kSeedBase);
    const bool is_hexadecimal = error == std::errc() && end == digits_end;
    if (!is_hexadecimal) throw ConfigError("seed", FieldProblem::not_hexadecimal);
    return seed;
}

Endpoint parse_endpoint_field(const Json& document, const std::string& field) {
    return parse_endpoint(as_text(required_field(document, field, ""), field), field);
}

void read_limits(const Json& document, Config& config) {
    const auto limits = document.find("limits");
    if (limits == document.end()) return;
    if (!limits->is_object()) throw ConfigError("limits", FieldProblem::not_an_object);
    if (const auto sockets = limits->find("sockets"); sockets != limits->end()) {
        config.max_descriptors = static_cast<std::size_t>(as_whole_number(*sockets, "limits.sockets"));
    }
    if (const auto memory = limits->find("memory_mb"); memory != limits->end()) {
        const std::uint64_t memory_mb = std::min(as_whole_number(*memory, "limits.memory_mb"), kMaxMemoryMb);
        config.max_memory_bytes = static_cast<std::size_t>(memory_mb) << kBytesPerMbShift;
    }
}

void read_peers(const Json& document, Config& config) {
    if (const auto listen = document.find("peer_listen"); listen != document.end()) {
        config.peer_listen = parse_peer_endpoint(as_text(*listen, "peer_listen"), "peer_listen");
    }
    const auto peers = document.find("peers");
    if (peers == document.end()) return;
    const bool is_peer_list = peers->is_array() && peers->size() <= kMaxPeers;
    if (!is_peer_list) throw ConfigError("peers", FieldProblem::not_a_peer_list);
    for (std::size_t i = 0; i < peers->size(); ++i) {
        const std::string field = "peers." + std::to_string(i);
        config.peers.push_back(parse_peer_endpoint(as_text((*peers)[i], field), field));
    }
}

std::string read_config_file(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    if (!file) throw ConfigError("RELAY_CONFIG", FieldProblem::unreadable_file, ": " + path);
    return content.str();
}

}  // namespace

Config parse_config(const std::string& text) {
    // The first invalid field is reported, so the order of the calls below determines the error message.
    EndpointListParser cached_list_parser("known");
    const Json document = cached_list_parser.parse(text, "the configuration");
    if (!document.is_object()) throw ConfigError("the configuration is not an object");
    Config config;
    if (const auto name = document.find("name"); name != document.end()) config.name = as_text(*name, "name");
    config.listen = parse_endpoint_field(document, "listen");
    config.discovery = parse_endpoint_field(document, "discovery");
    config.seed = parse_seed(required_field(document, "seed", ""));
    read_limits(document, config);
    const Json& settings = required_field(document, "settings", "");
    if (!settings.is_object()) throw ConfigError("settings", FieldProblem::not_an_object);
    config.deployment = parse_deployment_settings(settings);
    read_peers(document, config);
    const auto cached_list = document.find("known");
    const bool has_cached_list = cached_list != document.end() && !cached_list->is_null();
    if (has_cached_list) config.cached_list = cached_list_parser.finish_list(*cached_list);
    return config;
}

Config reload_config(const Environment& environment) {
    const char* const path = environment("RELAY_CONFIG");
    if (!path) throw ConfigError("RELAY_CONFIG", FieldProblem::not_set);
    Config config = parse_config(read_config_file(path));
    if (const char* name = environment("RELAY_NAME")) config.name = name;
    if (const char* listen = environment("RELAY_LISTEN")) {
        config.listen = parse_endpoint(listen, "RELAY_LISTEN");
    }
    return config;
}

Config load_config(const Environment& environment) {
    Config config = reload_config(environment);
    if (const char* discovery = environment("RELAY_DISCOVERY")) {
        config.discovery = parse_endpoint(discovery, "RELAY_DISCOVERY");
    }
    return config;
}

}  // namespace elmbay
