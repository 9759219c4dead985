#include "balancer/settings_validation.hpp"

#include <cmath>
#include <string>

namespace elmbay::balancer {

namespace {

// Errors name a setting by its key in the operator's file.
void require(bool is_valid, const std::string& setting) {
    if (!is_valid) throw InvalidSetting(setting);
}

void require_not_negative(double value, const std::string& setting) {
    require(std::isfinite(value) && value >= 0, setting);
}

void require_share(double value, const std::string& setting) { require(value >= 0 && value <= 1, setting); }

void validate(const RequestClass& request_class, const std::string& prefix) {
    const double objective = request_class.latency_objective;
    require(std::isfinite(objective) && objective > 0, prefix + "aim");
    require_not_negative(request_class.dedup_window, prefix + "dedup_window");
    require_not_negative(request_class.objective_work_multiple, prefix + "aim_stretch");
    require_not_negative(request_class.priority_weight, prefix + "worth");
    require_share(request_class.late_weight, prefix + "late_worth");
}

std::string element_prefix(const char* list_key, std::size_t index) {
    return std::string(list_key) + "[" + std::to_string(index) + "].";
}

}  // namespace

InvalidSetting::InvalidSetting(const std::string& setting)
    : std::invalid_argument("elmbay: invalid setting: " + setting), setting_(setting) {}

void validate(const Settings& settings) {
    require(!settings.classes.empty(), "classes (must not be empty)");
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
        validate(settings.classes[i], element_prefix("classes", i));
    }
    for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
        require_not_negative(settings.tenants[i].quota, element_prefix("tenants", i) + "quota");
    }
    require(settings.max_attempts >= 1, "max_attempts");
    require_not_negative(settings.slow_start_duration, "warm_within");
    const double multiple = settings.overload_multiple;
    require(std::isfinite(multiple) && multiple >= 1, "fall_multiple");
    require_share(settings.slow_start_min_share, "cold_from");
    require_not_negative(settings.costs.cross_zone, "fees.cross_zone");
}

}  // namespace elmbay::balancer
