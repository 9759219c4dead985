#include "simulation/scenario/setting_override.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <stdexcept>

#include "schema/schema.hpp"
#include "simulation/scenario/scenario_limits.hpp"

namespace elmbay::simulation {

namespace {

using balancer::Settings;

/// A setting that a fault may override, with its accepted range.
struct OverridableSetting {
    const char* name;
    void (*apply)(Settings&, double);
    double min;
    double max;
};

constexpr auto kOverridableSettings = std::to_array<OverridableSetting>(
    {{"siblings", [](Settings& s, double value) { s.siblings = static_cast<std::uint32_t>(value); }, 1, 1e6},
     {"max_attempts", [](Settings& s, double value) { s.max_attempts = static_cast<std::uint32_t>(value); },
      1, 10},
     {"cold_from", [](Settings& s, double value) { s.slow_start_min_share = value; }, 0.01, 1},
     {"warm_within", [](Settings& s, double value) { s.slow_start_duration = value; }, 0, kMaxDuration},
     {"fall_multiple", [](Settings& s, double value) { s.overload_multiple = value; }, 1, 100}});

std::string names_of_settings() {
    std::string names;
    for (const OverridableSetting& setting : kOverridableSettings) {
        if (!names.empty()) names += ", ";
        names += setting.name;
    }
    return names;
}

}  // namespace

void apply_setting_override(const std::string& text, Settings& settings) {
    const std::size_t equals = text.find('=');
    const std::string name = text.substr(0, equals);
    const auto* const setting =
        std::find_if(std::begin(kOverridableSettings), std::end(kOverridableSettings),
                     [&](const OverridableSetting& candidate) { return name == candidate.name; });
    if (setting == std::end(kOverridableSettings) || equals == std::string::npos) {
        throw std::invalid_argument("'" + text + "' is not NAME=VALUE with one of " + names_of_settings());
    }
    const std::string value_text = text.substr(equals + 1);
    std::optional<double> value = schema::parse_share(value_text);
    if (!value) value = schema::parse_duration(value_text);
    if (!value || *value < setting->min || *value > setting->max) {
        throw std::invalid_argument("'" + text + "': the value is malformed or out of range");
    }
    setting->apply(settings, *value);
}

}  // namespace elmbay::simulation
