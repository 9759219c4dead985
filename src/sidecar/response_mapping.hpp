/// @file
/// Maps each outcome of a request to the final HTTP response for the client.
#pragma once

#include "base/timing.hpp"
#include "engine/engine.hpp"
#include "http/message.hpp"

namespace elmbay {

/// Returns a 200 response with the body and the Content-Type of the server's response. Other headers are not
/// forwarded.
/// @param server_response the response of the server, whose body is moved.
HttpResponse success_response(HttpResponse&& server_response);

/// Returns a 503 response: no server executed the request, and a retry is harmless.
/// @param retry_after milliseconds for the header Retry-After; 0 to omit the header.
HttpResponse rejection_response(Millis retry_after);

/// Returns a 504 response if no response arrived in time, otherwise 502. A server may have executed the
/// request.
HttpResponse failure_response(bool timed_out);

/// Returns the response for a rejected or failed request.
/// @param outcome any outcome except success.
HttpResponse error_response(const engine::FinalOutcome& outcome);

}  // namespace elmbay
