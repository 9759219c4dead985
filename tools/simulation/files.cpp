#include "files.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

#include "bundle.hpp"
#include "usage_error.hpp"

namespace elmbay::simulation {

std::string read_file(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        throw UsageError(path + ": can't be read; `elmbay_simulation list` names the bundled scenarios");
    }
    return text.str();
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file) throw std::runtime_error(path + ": can't be written");
}

ScenarioSource find_scenario(const std::string& name_or_path) {
    for (const BundledScenario& scenario : bundled_scenarios()) {
        if (scenario.name == name_or_path) return {scenario.text, scenario.name + ".toml", scenario.name};
    }
    return {read_file(name_or_path), name_or_path, std::filesystem::path(name_or_path).filename().string()};
}

Scenario load_scenario(const std::string& name_or_path, std::optional<std::uint64_t> seed) {
    const ScenarioSource source = find_scenario(name_or_path);
    Scenario scenario = parse_scenario(source.text, source.file, seed);
    scenario.name = source.name;
    return scenario;
}

}  // namespace elmbay::simulation
