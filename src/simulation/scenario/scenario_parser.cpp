/// @file
/// Parses and validates the text of a scenario file, and describes its keys.
#include <utility>

#include "schema/document.hpp"
#include "simulation/scenario/scenario.hpp"
#include "simulation/scenario/scenario_limits.hpp"
#include "simulation/scenario/scenario_schema.hpp"
#include "simulation/scenario/scenario_validation.hpp"

namespace elmbay::simulation {

namespace {

using schema::Problems;

void read_classes(const toml::table& root, Scenario& scenario, Problems& problems) {
    schema::read_sections(root, "class", kMaxClasses, scenario_schema().request_class, problems,
                          [&](ClassSpec spec, std::size_t /*number*/, std::uint32_t /*line*/) {
                              scenario.classes.push_back(std::move(spec));
                          });
}

void read_faults(const toml::table& root, Scenario& scenario, Problems& problems) {
    schema::read_sections(root, "fault", kMaxFaults, scenario_schema().fault, problems,
                          [&](FaultSpec spec, std::size_t /*number*/, std::uint32_t line) {
                              spec.line = line;
                              scenario.faults.push_back(std::move(spec));
                          });
}

void read_scenario(const toml::table& root, Scenario& scenario, Problems& problems) {
    const ScenarioSchema& keys = scenario_schema();
    const std::vector<std::string> tables{"fleet", "registry", "callers", "sidecars", "messages",
                                          "rules", "class",    "fault",   "expect"};
    schema::read_table(root, "", keys.overview, scenario.overview, problems, tables);
    schema::read_section(root, "fleet", keys.fleet, scenario.fleet, problems);
    schema::read_section(root, "registry", keys.registry, scenario.registry, problems);
    schema::read_section(root, "callers", keys.clients, scenario.clients, problems);
    schema::read_section(root, "sidecars", keys.sidecars, scenario.sidecars, problems);
    schema::read_section(root, "messages", keys.messages, scenario.messages, problems);
    schema::read_section(root, "rules", keys.invariants, scenario.invariants, problems);
    schema::read_section(root, "expect", keys.expectations, scenario.expectations, problems);
    read_classes(root, scenario, problems);
    read_faults(root, scenario, problems);
}

}  // namespace

Scenario parse_scenario(const std::string& text, const std::string& file, std::optional<std::uint64_t> seed) {
    Problems problems;
    Scenario scenario;
    schema::read_document(text, file, problems,
                          [&](const toml::table& root) { read_scenario(root, scenario, problems); });
    if (seed) scenario.overview.seed = *seed;
    if (problems.empty()) complete_and_validate(scenario, problems);
    if (!problems.empty()) throw ScenarioError(file, std::move(problems));
    return scenario;
}

std::string scenario_manual() {
    const ScenarioSchema& keys = scenario_schema();
    return "Top level:\n" + schema::manual(keys.overview) +        //
           "\n[fleet]\n" + schema::manual(keys.fleet) +            //
           "\n[registry]\n" + schema::manual(keys.registry) +      //
           "\n[callers]\n" + schema::manual(keys.clients) +        //
           "\n[sidecars]\n" + schema::manual(keys.sidecars) +      //
           "\n[messages]\n" + schema::manual(keys.messages) +      //
           "\n[rules]\n" + schema::manual(keys.invariants) +       //
           "\n[[class]]\n" + schema::manual(keys.request_class) +  //
           "\n[[fault]]\n" + schema::manual(keys.fault) +          //
           "\n[expect]\n" + schema::manual(keys.expectations);
}

}  // namespace elmbay::simulation
