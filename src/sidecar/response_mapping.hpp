/// @file
/// The final HTTP response that a client gets for each outcome of its request.
#pragma once

#include "base/timing.hpp"
#include "engine/engine.hpp"
#include "http/message.hpp"

namespace elmbay {

/// 200 with the server's body and Content-Type. No other header of the server's is passed on.
/// @param server_response its body is moved from.
HttpResponse success_response(HttpResponse&& server_response);

/// 503: the request never ran, and a retry is harmless.
/// @param retry_after milliseconds for Retry-After; 0: no such header.
HttpResponse rejection_response(Millis retry_after);

/// 504 if no response came in time, else 502. The request may have run.
HttpResponse failure_response(bool timed_out);

/// @param outcome any but success, whose response is the server's.
HttpResponse error_response(const engine::FinalOutcome& outcome);

}  // namespace elmbay
