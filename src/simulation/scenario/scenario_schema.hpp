/// @file
/// The keys of a scenario file. Each table of keys defines validation, defaults and manual (see src/schema).
#pragma once

#include <string>
#include <vector>

#include "schema/schema.hpp"
#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// The keys of every table of a scenario file.
struct ScenarioSchema {
    std::vector<schema::Key<Overview>> overview;
    std::vector<schema::Key<FleetSpec>> fleet;
    std::vector<schema::Key<RegistrySpec>> registry;
    std::vector<schema::Key<ClientsSpec>> clients;
    std::vector<schema::Key<SidecarsSpec>> sidecars;
    std::vector<schema::Key<MessagesSpec>> messages;
    std::vector<schema::Key<InvariantSpec>> invariants;
    std::vector<schema::Key<ClassSpec>> request_class;
    std::vector<schema::Key<FaultSpec>> fault;
    std::vector<schema::Key<ExpectationSpec>> expectations;
};

/// Returns the schema of scenario files.
const ScenarioSchema& scenario_schema();

/// Returns the fault kind that `name` denotes in a scenario file. The schema accepts no other names.
///
/// @throws std::out_of_range  if no kind has that name
FaultKind fault_kind_named(const std::string& name);

}  // namespace elmbay::simulation
