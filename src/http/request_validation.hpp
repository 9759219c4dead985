// What a request of the application must be to be used, what it tells the module, and what of it goes on to a
// server.
#pragma once

#include <optional>

#include "config/deployment_settings.hpp"
#include "http/message.hpp"

namespace elmbay {

using balancer::Millis;
using balancer::RequestId;
using RequestHead = http::request_header<>;

// Why a request can't be used: answered here, never sent on.
struct RequestProblem {
    http::status status = http::status::bad_request;
    const char* words = "";
};

// Whether it can be passed on at all. What is unknown, missing, repeated or contradicts itself can't: whoever
// sent it is not the application that the settings describe, and a guess at its meaning may run something
// twice.
std::optional<RequestProblem> validate_request(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment);
// The part of it that holds for a request of any method: the headers that the protocol names.
std::optional<RequestProblem> validate_headers(const RequestHead& head,
                                               const balancer::DeploymentSettings& deployment);

// What the module is told of a request that has no problem. margin: the answer leaves that much before the
// client's time is up; waited: so much of that time is over already (both in ms).
balancer::RequestArrived describe(RequestId id, const RequestHead& head,
                                  const balancer::DeploymentSettings& deployment, Millis margin,
                                  Millis kernel_queue_time = 0);

// The request for a server, built anew from what the protocol names: nothing else that a client writes gets
// there.
HttpRequest forwarded_request(HttpRequest request);

// A number and a unit, m for milliseconds or u for microseconds; nothing if it can't be read.
std::optional<Millis> parse_time_left(std::string_view text);
std::string time_left_text(Millis left);

}  // namespace elmbay
