/// @file
/// Reads scenarios from files or from the program's bundle, and writes reports.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Returns the content of a file.
///
/// @throws UsageError  if the file can't be read
std::string read_file(const std::string& path);
/// Writes `text` to a file.
///
/// @throws std::runtime_error  if the file can't be written
void write_file(const std::string& path, const std::string& text);

/// The unparsed text of a scenario.
struct ScenarioSource {
    std::string text;
    std::string file;  ///< File name in error messages.
    std::string name;  ///< Scenario name in reports.
};

/// Returns a bundled scenario or the content of a file.
///
/// @param name_or_path  name of a bundled scenario, or path of a file
/// @throws UsageError  if there is no such scenario and no such file
ScenarioSource find_scenario(const std::string& name_or_path);

/// Finds and parses a scenario.
///
/// @param seed  replaces the seed of the file
/// @throws UsageError  if there is no such file
/// @throws ScenarioError  if the scenario is invalid
Scenario load_scenario(const std::string& name_or_path, std::optional<std::uint64_t> seed);

}  // namespace elmbay::simulation
