#include "http/request_validation.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <utility>

namespace elmbay {

namespace {

using balancer::DeploymentSettings;
using balancer::Idempotency;

// Largest size of a correlation id or an idempotency key. The protocol's have 16 and 32 bytes.
constexpr std::size_t kMaxIdBytes = 256;
// Largest share of the remaining time that the response margin may take. On a slow or shared core the margin
// could otherwise use up a short deadline completely.
constexpr double kMaxMarginShare = 0.1;
// Minimum of the remaining time that is passed to the engine, in milliseconds.
constexpr Millis kMinTimeLeft = 1;
constexpr double kMicrosPerMilli = 1000;

constexpr const char* kCorrelationId = "X-Correlation-Id";
constexpr const char* kServiceClass = "X-Service-Class";
constexpr const char* kTimeLeft = "X-Time-Left";
constexpr const char* kIdempotencyKey = "Idempotency-Key";
constexpr std::array kSingleHeaders{kCorrelationId, kServiceClass, kTimeLeft, kIdempotencyKey};
// Further headers of the protocol, which servers may use or ignore.
constexpr std::array kOptionalHeaders{kServiceClass, "X-Account",     "Cookie",
                                      "X-Repeat",    "X-Weight-Hint", "X-Facts"};

// Returns the index of the request's class in the settings, or the number of classes if the class is unknown.
std::size_t class_index_of(const RequestHead& head, const DeploymentSettings& deployment) {
    const auto& classes = deployment.classes;
    const auto found = std::find(classes.begin(), classes.end(), header_value(head, kServiceClass));
    return static_cast<std::size_t>(found - classes.begin());
}

RequestProblem bad_request(const char* text) { return {http::status::bad_request, text}; }

// Parses the whole text as a finite number. Returns none if it is anything else.
std::optional<double> parse_finite(std::string_view text) {
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsed_end != end || !std::isfinite(value)) return {};
    return value;
}

}  // namespace

std::optional<Millis> parse_time_left(std::string_view text) {
    if (text.empty()) return {};
    const char unit = text.back();
    if (unit != 'm' && unit != 'u') return {};
    text.remove_suffix(1);
    const std::optional<double> value = parse_finite(text);
    if (!value || *value < 0) return {};
    return unit == 'u' ? *value / kMicrosPerMilli : *value;
}

std::string format_time_left(Millis time_left) {
    return std::to_string(static_cast<std::int64_t>(time_left * kMicrosPerMilli)) + "u";
}

std::optional<RequestProblem> validate_request(const RequestHead& head,
                                               const DeploymentSettings& deployment) {
    const bool is_get = head.method() == http::verb::get;
    if (!is_get && head.method() != http::verb::post)
        return RequestProblem{http::status::method_not_allowed, "GET or POST\n"};
    if (const auto problem = validate_headers(head, deployment)) return problem;
    const auto& request_class = deployment.settings.classes[class_index_of(head, deployment)];
    const bool is_idempotent = request_class.idempotency == Idempotency::idempotent;
    if (is_get != is_idempotent) return bad_request("the method is not that of the class\n");
    return {};
}

std::optional<RequestProblem> validate_headers(const RequestHead& head,
                                               const DeploymentSettings& deployment) {
    for (const char* name : kSingleHeaders) {
        if (head.count(name) > 1) return bad_request("a header that may stand once is repeated\n");
    }
    const std::string_view id = header_value(head, kCorrelationId);
    const std::string_view key = header_value(head, kIdempotencyKey);
    if (id.empty()) return bad_request("X-Correlation-Id is missing\n");
    if (id.size() > kMaxIdBytes || key.size() > kMaxIdBytes) return bad_request("an id is too long\n");
    const std::size_t class_index = class_index_of(head, deployment);
    if (class_index == deployment.classes.size())
        return bad_request("X-Service-Class is not a known class\n");
    if (!parse_time_left(header_value(head, kTimeLeft)))
        return bad_request("X-Time-Left is not a number and a unit\n");
    const bool needs_key =
        deployment.settings.classes[class_index].idempotency == Idempotency::idempotency_key;
    if (needs_key == key.empty()) return bad_request("Idempotency-Key goes with a keyed class\n");
    return {};
}

balancer::RequestArrived make_request_arrived(RequestId id, const RequestHead& head,
                                              const DeploymentSettings& deployment, Millis margin,
                                              Millis kernel_queue_time) {
    balancer::RequestArrived event;
    event.id = id;
    event.class_index = static_cast<std::uint32_t>(class_index_of(head, deployment));
    // A client never waits longer than the timeout of its class, so a larger X-Time-Left is not trusted.
    const Millis time_left = std::min(parse_time_left(header_value(head, kTimeLeft)).value_or(0),
                                      deployment.client_timeouts.at(event.class_index));
    const Millis usable_margin = std::min(margin, time_left * kMaxMarginShare);
    event.time_left = std::max(kMinTimeLeft, time_left - usable_margin - kernel_queue_time);
    if (const std::string_view account = header_value(head, "X-Account"); !account.empty()) {
        const auto& tenants = deployment.tenants;
        const auto tenant = std::find(tenants.begin(), tenants.end(), account);
        if (tenant != tenants.end()) event.tenant = static_cast<std::uint32_t>(tenant - tenants.begin());
    }
    if (const auto effort_micros = parse_finite(header_value(head, "X-Weight-Hint")))
        event.expected_work = std::max(0.0, *effort_micros / kMicrosPerMilli);
    event.is_client_retry = header_value(head, "X-Repeat") == "1";
    return event;
}

HttpRequest make_forwarded_request(HttpRequest request) {
    HttpRequest forwarded(request.method(), request.target(), kHttp11);
    forwarded.set(http::field::host, request[http::field::host]);
    forwarded.set(kCorrelationId, request[kCorrelationId]);
    for (const char* name : kOptionalHeaders) {
        if (request.count(name) > 0) forwarded.set(name, request[name]);
    }
    if (request.count(kIdempotencyKey) > 0) forwarded.set(kIdempotencyKey, request[kIdempotencyKey]);
    forwarded.body() = std::move(request.body());
    return forwarded;
}

}  // namespace elmbay
