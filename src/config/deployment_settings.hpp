// What a sidecar is told at its start, for both drivers: named fields with typed access, and the one place
// that maps the operators' settings onto elmbay::balancer::Settings.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

// A field that is missing or can't be read; what() says where it stands and names it.
struct FieldError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Pairs of name and value, with access that throws FieldError. The texts belong to the caller.
class Fields {
public:
    explicit Fields(std::string where) : where_(std::move(where)) {}

    void add(std::string_view name, std::string_view value) { fields_.emplace_back(name, value); }
    bool has(std::string_view field) const { return find(field) != nullptr; }
    std::string_view text(std::string_view field) const;
    double number(std::string_view field) const;
    double number_or(std::string_view field, double fallback) const;
    std::uint64_t integer(std::string_view field) const;
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    bool flag_or(std::string_view field, bool fallback) const;

    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

private:
    const std::string_view* find(std::string_view field) const;

    std::string where_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

template <class T>
using Names = std::vector<std::pair<std::string_view, T>>;

template <class T>
T named(const Fields& fields, std::string_view field, const Names<T>& names) {
    const std::string_view text = fields.text(field);
    for (const auto& [name, value] : names)
        if (name == text) return value;
    fields.fail(field, "is not a known word");
}

// The library's settings, the names behind its integers, and what only a driver has to know.
struct DeploymentSettings {
    Settings settings;
    std::vector<std::string> zones;
    std::vector<std::string> machine_types;
    std::vector<std::string> classes;
    std::vector<Millis> give_up;  // by class: how long its client waits, all tries together
    std::vector<std::string> tenants;
    std::optional<std::uint32_t> my_number;  // of the sidecars that share the servers, from 0
    bool may_tell = true;                    // sidecars may send one another messages
    Millis connect_timeout = 250;
    Millis idle_close = 15000;
};
// A server's weight as its list tells it, made sound: 1 for what is no size at all, and never so far from it
// that one server would have all or nothing.
double sound_weight(double told);
// A name's number; one not met before gets the next.
std::uint32_t number_of(std::vector<std::string>& names, std::string_view name);
DeploymentSettings read_deployment_settings(const Fields& settings);

}  // namespace elmbay::balancer
