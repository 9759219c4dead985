/// @file
/// elmbay_simulation: runs a simulated service whose servers fail on a script, and checks the balancer in
/// front of it.
#include <iostream>
#include <stdexcept>

#include "command_line.hpp"
#include "commands.hpp"
#include "simulation/scenario/scenario.hpp"
#include "usage_error.hpp"

namespace {

namespace simulation = elmbay::simulation;

int execute_reporting_errors(const simulation::CommandOptions& options) {
    try {
        return simulation::execute(options);
    } catch (const simulation::ScenarioError& error) {
        std::cerr << error.what();
        return simulation::kExitUsage;
    } catch (const simulation::UsageError& error) {
        std::cerr << "elmbay_simulation: " << error.what() << "\n";
        return simulation::kExitUsage;
    } catch (const std::invalid_argument& error) {
        std::cerr << "elmbay_simulation: " << error.what() << "\n";
        return simulation::kExitUsage;
    } catch (const std::exception& error) {
        std::cerr << "elmbay_simulation: " << error.what() << "\n";
        return simulation::kExitFailed;
    }
}

}  // namespace

int main(int argc, char** argv) {
    const auto parsed = simulation::parse_command_line(argc, argv);
    return parsed.options ? execute_reporting_errors(*parsed.options) : parsed.exit_code;
}
