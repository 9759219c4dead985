/// \file
/// The parts of the HTML report below its heading. Each returns HTML, empty where there is nothing to show.
#pragma once

#include <string>

#include "simulation/reports/svg_chart.hpp"

namespace elmbay::simulation {

/// Invariants and expectations.
std::string verdict_table(const Report& report);
/// A bar for each fault.
std::string fault_chart(const Report& report, const TimeAxis& axis);
/// Goodput, requests and latency by second.
std::string service_plots(const Report& report, const TimeAxis& axis);
/// Sidecars that were restarted, paused or had part of a core.
std::string sidecar_chart(const Report& report, const TimeAxis& axis);
/// Rules that were active on links.
std::string link_fault_table(const SidecarActivity& activity);
/// Messages between sidecars by second, and between each two of them.
std::string message_charts(const Report& report, const TimeAxis& axis);
/// Work sent to each server by second.
std::string work_chart(const Report& report, const TimeAxis& axis);
/// What each class of requests got.
std::string class_table(const Report& report);

}  // namespace elmbay::simulation
