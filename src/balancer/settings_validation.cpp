#include "balancer/settings_validation.hpp"

#include <cmath>
#include <stdexcept>

namespace elmbay::balancer {

namespace {

void check(bool sound, const std::string& setting) {
    if (!sound) throw std::invalid_argument("elmbay: setting makes no sense: " + setting);
}
void check_time(Millis value, const std::string& name) { check(std::isfinite(value) && value >= 0, name); }

}  // namespace

void validate(const Settings& s) {
    check(!s.classes.empty(), "classes (none given)");
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const std::string prefix = "classes[" + std::to_string(i) + "].";
        const RequestClass& c = s.classes[i];
        check(std::isfinite(c.latency_objective) && c.latency_objective > 0, prefix + "aim");
        check_time(c.dedup_window, prefix + "dedup_window");
        check_time(c.objective_stretch, prefix + "aim_stretch");
        check_time(c.priority_weight, prefix + "worth");
        check(c.late_weight >= 0 && c.late_weight <= 1, prefix + "late_worth");
    }
    for (std::size_t i = 0; i < s.tenants.size(); ++i)
        check_time(s.tenants[i].quota, "tenants[" + std::to_string(i) + "].quota");
    check(s.max_attempts >= 1, "max_attempts");
    check_time(s.slow_start_duration, "warm_within");
    check(std::isfinite(s.overload_multiple) && s.overload_multiple >= 1, "fall_multiple");
    check(s.slow_start_min_share >= 0 && s.slow_start_min_share <= 1, "cold_from");
    check_time(s.costs.cross_zone, "fees.cross_zone");
}

}  // namespace elmbay::balancer
