/// @file
/// What a client's request must be to be used, what the decisions are told of it, and what of it goes on to a
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

/// Why a request can't be used. It is answered by this and never sent on.
struct RequestProblem {
    http::status status = http::status::bad_request;
    const char* text = "";  ///< the response's body, with a line end; a literal
};

/// Checks method and headers. What is unknown, missing, repeated or contradicts itself is a problem: whoever
/// sent it is not the application that the settings describe, and a guess at its meaning may run something
/// twice.
/// @return none if the request can be used.
std::optional<RequestProblem> validate_request(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment);
/// The part of validate_request() that holds for any method: the headers that the protocol names.
std::optional<RequestProblem> validate_headers(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment);

/// Describes a request without a problem to the decisions.
/// @param margin            milliseconds by which the response is to be written before the client's time is
/// over.
/// @param kernel_queue_time milliseconds of that time that are over already.
balancer::RequestArrived make_request_arrived(RequestId id, const RequestHead& head,
                                              const balancer::DeploymentSettings& deployment, Millis margin,
                                              Millis kernel_queue_time = 0);

/// Builds the request for a server anew from what the protocol names: nothing else that a client writes gets
/// there.
HttpRequest make_forwarded_request(HttpRequest request);

/// Reads X-Time-Left: a number and a unit, `m` for milliseconds or `u` for microseconds.
/// @return milliseconds; none if it can't be read.
std::optional<Millis> parse_time_left(std::string_view text);
/// Writes X-Time-Left, in whole microseconds.
std::string format_time_left(Millis left);

}  // namespace elmbay
