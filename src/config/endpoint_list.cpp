#include "config/endpoint_list.hpp"

#include <utility>

#include "config/deployment_settings.hpp"
#include "config/endpoint_list_parser.hpp"

namespace elmbay {

namespace {

using balancer::EndpointState;

EndpointState parse_state(const std::string& word, const std::string& field) {
    if (word == "active") return EndpointState::active;
    if (word == "leaving") return EndpointState::draining;
    if (word == "left") return EndpointState::removed;
    throw ConfigError(field, FieldProblem::unknown_value);
}

// Reads the optional fields of a target: all except identity, state and address.
void read_optional_fields(const Json& entry, const std::string& prefix, Target& target) {
    if (const auto zone = entry.find("az"); zone != entry.end()) {
        target.zone = as_text(*zone, prefix + "az");
    }
    if (const auto model = entry.find("model"); model != entry.end()) {
        target.machine_type = as_text(*model, prefix + "model");
    }
    if (const auto group = entry.find("pod_group"); group != entry.end()) {
        target.cell = static_cast<std::uint32_t>(as_whole_number(*group, prefix + "pod_group"));
    }
    if (const auto boot = entry.find("boot_ms"); boot != entry.end()) {
        target.online_since = as_number(*boot, prefix + "boot_ms");
    }
    if (const auto hint = entry.find("capacity_hint"); hint != entry.end()) {
        target.weight = balancer::sanitize_weight(as_number(*hint, prefix + "capacity_hint"));
    }
}

Target parse_target(const Json& entry, const std::string& path) {
    if (!entry.is_object()) throw ConfigError(path, FieldProblem::not_an_object);
    const std::string prefix = path + ".";
    Target target;
    target.uid = as_text(required_field(entry, "uid", prefix), prefix + "uid");
    if (target.uid.empty()) throw ConfigError(prefix + "uid", FieldProblem::empty);
    const std::string state = as_text(required_field(entry, "state", prefix), prefix + "state");
    target.state = parse_state(state, prefix + "state");
    const bool needs_address = target.state != EndpointState::removed;
    if (needs_address || entry.contains("endpoint")) {
        const std::string address = as_text(required_field(entry, "endpoint", prefix), prefix + "endpoint");
        target.endpoint = parse_endpoint(address, prefix + "endpoint");
    }
    read_optional_fields(entry, prefix, target);
    return target;
}

}  // namespace

EndpointListParser::EndpointListParser(const std::string& field)
    : field_(field),
      path_prefix_(field.empty() ? "" : field + "."),
      list_depth_(field.empty() ? 0 : 1),
      is_in_list_(field.empty()) {}

Json EndpointListParser::parse(std::string_view text, const std::string& document_name) {
    const auto callback = [this](int depth, Event event, const Json& value) {
        return should_keep(depth, event, value);
    };
    constexpr bool allow_exceptions = false;  // invalid JSON results in a discarded value instead
    Json document = Json::parse(text, callback, allow_exceptions);
    if (document.is_discarded()) throw ConfigError(document_name + " is not JSON");
    return document;
}

EndpointList EndpointListParser::finish_list(const Json& remainder) {
    if (!remainder.is_object()) {
        throw ConfigError(field_.empty() ? "list" : field_, FieldProblem::not_an_object);
    }
    list_.revision = as_whole_number(required_field(remainder, "rev", path_prefix_), path_prefix_ + "rev");
    const Json& all = required_field(remainder, "all", path_prefix_);
    if (!all.is_boolean()) throw ConfigError(path_prefix_ + "all", FieldProblem::not_a_boolean);
    list_.is_complete = all.get<bool>();
    if (!required_field(remainder, "targets", path_prefix_).is_array()) {
        throw ConfigError(path_prefix_ + "targets", FieldProblem::not_a_list);
    }
    return std::move(list_);
}

bool EndpointListParser::should_keep(int depth, Event event, const Json& value) {
    const bool is_key_of_interest = event == Event::key && depth <= list_depth_ + 1;
    if (is_key_of_interest) return should_keep_value_of(depth, value.get_ref<const std::string&>());
    const bool is_object_or_array_start = event == Event::object_start || event == Event::array_start;
    switch (position_) {
        case Position::outside:
            return true;
        case Position::in_other_field:
            return !is_object_or_array_start;
        case Position::in_targets:
            return should_keep_in_targets(depth, event, value);
    }
    return true;
}

bool EndpointListParser::should_keep_in_targets(int depth, Event event, const Json& value) {
    const int target_depth = list_depth_ + 2;  // inside the list's braces and the brackets of "targets"
    const bool is_object_or_array_start = event == Event::object_start || event == Event::array_start;
    if (depth < target_depth) return true;                       // the brackets of "targets"
    if (depth > target_depth) return !is_object_or_array_start;  // a field of a target
    if (event == Event::object_start || event == Event::key) return true;
    add_target(value);  // a complete target, or a value that is not a target
    return false;
}

// Decides for a key of the list, or of the document that contains the list.
bool EndpointListParser::should_keep_value_of(int depth, const std::string& key) {
    const bool is_beside_list = depth == list_depth_;
    if (is_beside_list) is_in_list_ = key == field_;
    if (!is_in_list_ || is_beside_list) {
        position_ = Position::outside;
        return true;
    }
    if (key != "targets") {
        position_ = Position::in_other_field;
        return key == "rev" || key == "all";
    }
    position_ = Position::in_targets;
    // The last value counts if a key is repeated.
    list_.targets.clear();
    parsed_targets_ = 0;
    return true;
}

void EndpointListParser::add_target(const Json& value) {
    if (list_.targets.size() >= kMaxTargets) {
        ++list_.dropped_targets;
        return;
    }
    const std::string path = path_prefix_ + "targets." + std::to_string(parsed_targets_);
    ++parsed_targets_;
    list_.targets.push_back(parse_target(value, path));
}

EndpointList parse_endpoint_list(std::string_view text) {
    EndpointListParser parser("");
    const Json remainder = parser.parse(text, "the list");
    return parser.finish_list(remainder);
}

}  // namespace elmbay
