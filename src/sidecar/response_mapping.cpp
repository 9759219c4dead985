#include "sidecar/response_mapping.hpp"

#include <fmt/format.h>

#include <utility>

namespace elmbay {

namespace {

constexpr Millis kMillisPerSecond = 1000;

}  // namespace

HttpResponse success_response(HttpResponse&& server_response) {
    HttpResponse response(http::status::ok, kHttp11);
    const auto content_type = server_response[http::field::content_type];
    if (!content_type.empty()) response.set(http::field::content_type, content_type);
    response.body() = std::move(server_response.body());
    return response;
}

HttpResponse rejection_response(Millis retry_after) {
    HttpResponse response(http::status::service_unavailable, kHttp11);
    if (retry_after > 0) {
        response.set(http::field::retry_after, fmt::format("{:.3f}", retry_after / kMillisPerSecond));
    }
    response.body() = "refused: trying again is harmless\n";
    return response;
}

HttpResponse failure_response(bool timed_out) {
    HttpResponse response(timed_out ? http::status::gateway_timeout : http::status::bad_gateway, kHttp11);
    response.body() = "failed\n";
    return response;
}

HttpResponse error_response(const engine::FinalOutcome& outcome) {
    const bool rejected = outcome.kind == engine::FinalOutcome::Kind::rejected;
    return rejected ? rejection_response(outcome.retry_after) : failure_response(outcome.timed_out);
}

}  // namespace elmbay
