/// @file
/// Responses that the listener generates itself, without forwarding the request to a server.
#pragma once

#include "http/message.hpp"
#include "http/request_validation.hpp"

namespace elmbay {

// Reasons for which the listener rejects a request, independent of the deployment settings. For checks
// against the settings see http/request_validation.hpp.
constexpr RequestProblem kBodyTooLarge{http::status::payload_too_large, "body too large\n"};
constexpr RequestProblem kRequestTimeout{http::status::request_timeout, "no request came in time\n"};
constexpr RequestProblem kPipelinedRequest{http::status::bad_request,
                                           "a request came before the answer to the last\n"};
constexpr RequestProblem kAmbiguousFraming{http::status::bad_request, "framing that contradicts itself\n"};
constexpr RequestProblem kHeadTooLarge{http::status::request_header_fields_too_large, "head too large\n"};
constexpr RequestProblem kMalformedRequest{http::status::bad_request, "malformed request\n"};
constexpr RequestProblem kGetWithBody{http::status::bad_request, "GET with a body\n"};
constexpr RequestProblem kUnknownPath{http::status::not_found, "no such path\n"};
constexpr RequestProblem kHealthCheckMethod{http::status::method_not_allowed, "GET\n"};
constexpr RequestProblem kCorrelationIdInUse{http::status::conflict, "X-Correlation-Id has been used\n"};
constexpr RequestProblem kOutOfMemory{http::status::service_unavailable, "no memory for the request\n"};
constexpr RequestProblem kInternalError{http::status::internal_server_error, "failed\n"};

/// @return a response with a plain text body. The caller adds the framing headers (prepare_payload()).
HttpResponse text_response(http::status status, const char* text);

}  // namespace elmbay
