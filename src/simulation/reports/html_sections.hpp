/// @file
/// The parts of the HTML report below its heading. Each function returns HTML, which is empty if the report
/// has no data for the section.
#pragma once

#include <string>

#include "simulation/reports/svg_chart.hpp"

namespace elmbay::simulation {

/// Verdicts on the invariants and expectations.
std::string verdict_table(const Report& report);
/// A bar for each fault.
std::string fault_chart(const Report& report, const TimeAxis& axis);
/// Goodput, requests and latency by second.
std::string service_plots(const Report& report, const TimeAxis& axis);
/// Sidecars that were restarted, paused or had only part of a core.
std::string sidecar_chart(const Report& report, const TimeAxis& axis);
/// Fault rules that were active on links.
std::string link_fault_table(const SidecarActivity& activity);
/// Messages between sidecars, by second and by pair of sidecars.
std::string message_charts(const Report& report, const TimeAxis& axis);
/// Work sent to each server by second.
std::string work_chart(const Report& report, const TimeAxis& axis);
/// Outcomes and latencies of each request class.
std::string class_table(const Report& report);

}  // namespace elmbay::simulation
