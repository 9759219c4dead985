// Report the traffic at a sidecar's ends of its links to a RequestHistory.
#pragma once

#include <string>

#include "fault_proxy/stream_link.hpp"
#include "process_testbed/request_history.hpp"

namespace elmbay::process_testbed {

/// Observes the link from a sidecar to a server and reports when each attempt was sent and when it ended.
///
/// An attempt is in flight from its last byte until its response or the end of its connection, as seen at the
/// sidecar's end. A cut of the link therefore does not count as a delay by the sidecar. The references must
/// outlive the link.
void observe_attempts(fault_proxy::StreamLink& link, const fault_proxy::EventLoopContext& context,
                      RequestHistory& history, const std::string& sidecar, const std::string& server);

/// Observes the link from a sidecar to its discovery service and reports which entries of the endpoint list
/// were delivered.
///
/// An entry counts as delivered once it reaches the sidecar's host, even while the process is frozen. The
/// references must outlive the link.
void observe_endpoint_list(fault_proxy::StreamLink& link, const fault_proxy::EventLoopContext& context,
                           RequestHistory& history, const std::string& sidecar);

}  // namespace elmbay::process_testbed
