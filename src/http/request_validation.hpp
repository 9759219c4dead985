/// @file
/// Validation of client requests, their description for the engine, and the request that is forwarded to a
/// server.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "config/deployment_settings.hpp"
#include "http/message.hpp"

namespace elmbay {

using balancer::Millis;
using balancer::RequestId;
using RequestHead = http::request_header<>;

/// Why a request is invalid. The listener responds with this and does not forward the request.
struct RequestProblem {
    http::status status = http::status::bad_request;
    const char* text = "";  ///< the response body with a line end; a string literal
};

/// Checks the method and the headers. Unknown, missing, repeated or contradictory values are rejected: the
/// application that the settings describe does not send them, and a wrong guess at their meaning could run a
/// request twice.
/// @return none if the request is valid.
std::optional<RequestProblem> validate_request(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment);
/// Checks only the headers that the protocol names, without the method. validate_request() includes this
/// check.
/// @return none if the headers are valid.
std::optional<RequestProblem> validate_headers(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment);

/// Builds the engine's event for a valid request.
/// @param margin            milliseconds before the client's deadline by which the response must be written.
/// @param kernel_queue_time milliseconds of the client's time that have already passed in the kernel.
balancer::RequestArrived make_request_arrived(RequestId id, const RequestHead& head,
                                              const balancer::DeploymentSettings& deployment, Millis margin,
                                              Millis kernel_queue_time = 0);

/// Builds the request for a server from the method, the target, the body and the headers that the protocol
/// names. No other header of the client is forwarded.
HttpRequest make_forwarded_request(HttpRequest request);

/// Parses X-Time-Left: a non-negative number and a unit, `m` for milliseconds or `u` for microseconds.
/// @return milliseconds; none if the text is invalid.
std::optional<Millis> parse_time_left(std::string_view text);
/// Formats the value of X-Time-Left in whole microseconds.
std::string format_time_left(Millis time_left);

}  // namespace elmbay
