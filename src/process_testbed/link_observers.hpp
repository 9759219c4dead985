// Reports to a RequestHistory what passes a sidecar's ends of its links.
#pragma once

#include <string>

#include "fault_proxy/stream_link.hpp"
#include "process_testbed/request_history.hpp"

namespace elmbay::process_testbed {

/// Observes the link from a sidecar to a server: when each attempt was sent, and when it ended.
///
/// An attempt is in flight from its last byte, as the sidecar's end saw it, to its response or the end of its
/// connection there. So a link that is cut does not make the sidecar look late. The references must outlive
/// the link.
void observe_attempts(fault_proxy::StreamLink& link, const fault_proxy::EventLoopContext& context,
                      RequestHistory& history, const std::string& sidecar, const std::string& server);

/// Observes the link from a sidecar to its discovery: which entries of the endpoint list were delivered.
///
/// What was delivered to the sidecar's machine counts as known to it, also while the process is frozen. The
/// references must outlive the link.
void observe_endpoint_list(fault_proxy::StreamLink& link, const fault_proxy::EventLoopContext& context,
                           RequestHistory& history, const std::string& sidecar);

}  // namespace elmbay::process_testbed
