/// \file
/// Reads scenarios, from files or from the program itself, and writes reports.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// \throws UsageError  if the file can't be read
std::string read_file(const std::string& path);
/// \throws std::runtime_error  if the file can't be written
void write_file(const std::string& path, const std::string& text);

/// A scenario that has not been parsed.
struct ScenarioSource {
    std::string text;
    std::string file;  ///< Its name in error messages.
    std::string name;  ///< Its name in reports.
};

/// \param name_or_path  a bundled scenario, or a file
/// \throws UsageError  if it is neither
ScenarioSource find_scenario(const std::string& name_or_path);

/// Finds and parses a scenario.
///
/// \param seed  replaces the seed of the file
/// \throws UsageError  if there is no such file
/// \throws ScenarioError  if it is not a valid scenario
Scenario load_scenario(const std::string& name_or_path, std::optional<std::uint64_t> seed);

}  // namespace elmbay::simulation
