#include "http/request_validation.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace elmbay {

namespace {

using balancer::DeploymentSettings;
using balancer::Idempotency;

constexpr std::size_t kLongestId = 256;  // of an id or key; the protocol's have 16 and 32 characters
// On a slow or shared core a short time must not go to the margin whole.
constexpr double kMaxMarginShare = 0.1;

constexpr const char* kId = "X-Correlation-Id";
constexpr const char* kClass = "X-Service-Class";
constexpr const char* kTimeLeft = "X-Time-Left";
constexpr const char* kKey = "Idempotency-Key";
// What else the protocol names: servers may use it, and need not.
constexpr const char* kFurther[] = {kClass, "X-Account", "Cookie", "X-Repeat", "X-Weight-Hint", "X-Facts"};

std::size_t class_of(const RequestHead& head, const DeploymentSettings& deployment) {
    const auto at = std::find(deployment.classes.begin(), deployment.classes.end(), field(head, kClass));
    return static_cast<std::size_t>(at - deployment.classes.begin());
}

}  // namespace

std::optional<Millis> parse_time_left(std::string_view text) {
    if (text.empty()) return {};
    const char unit = text.back();
    if (unit != 'm' && unit != 'u') return {};
    double value = 0;
    const char* end = text.data() + text.size() - 1;
    const auto [at, wrong] = std::from_chars(text.data(), end, value);
    if (wrong != std::errc() || at != end || !std::isfinite(value) || value < 0) return {};
    return unit == 'u' ? value / 1000 : value;
}

std::string time_left_text(Millis left) {
    return std::to_string(static_cast<std::int64_t>(left * 1000)) + "u";
}

std::optional<RequestProblem> validate_request(const RequestHead& head,
                                               const DeploymentSettings& deployment) {
    const bool get = head.method() == http::verb::get;
    if (!get && head.method() != http::verb::post)
        return RequestProblem{http::status::method_not_allowed, "GET or POST\n"};
    if (const auto problem = validate_headers(head, deployment)) return problem;
    if (get !=
        (deployment.settings.classes[class_of(head, deployment)].idempotency == Idempotency::idempotent))
        return RequestProblem{http::status::bad_request, "the method is not that of the class\n"};
    return {};
}

std::optional<RequestProblem> validate_headers(const RequestHead& head,
                                               const DeploymentSettings& deployment) {
    const auto bad = [](const char* words) { return RequestProblem{http::status::bad_request, words}; };
    for (const char* name : {kId, kClass, kTimeLeft, kKey})
        if (head.count(name) > 1) return bad("a header that may stand once is repeated\n");
    const auto id = field(head, kId), key = field(head, kKey);
    if (id.empty()) return bad("X-Correlation-Id is missing\n");
    if (id.size() > kLongestId || key.size() > kLongestId) return bad("an id is too long\n");
    const std::size_t index = class_of(head, deployment);
    if (index == deployment.classes.size()) return bad("X-Service-Class is not a known class\n");
    if (!parse_time_left(field(head, kTimeLeft))) return bad("X-Time-Left is not a number and a unit\n");
    if ((deployment.settings.classes[index].idempotency == Idempotency::idempotency_key) == key.empty())
        return bad("Idempotency-Key goes with a keyed class\n");
    return {};
}

balancer::RequestArrived describe(RequestId id, const RequestHead& head, const DeploymentSettings& deployment,
                                  Millis margin, Millis kernel_queue_time) {
    balancer::RequestArrived event;
    event.id = id;
    event.class_index = static_cast<std::uint32_t>(class_of(head, deployment));
    // A client never waits longer than its class is worth waiting for; what it says is not trusted beyond
    // that.
    const Millis left = std::min(parse_time_left(field(head, kTimeLeft)).value_or(0),
                                 deployment.give_up.at(event.class_index));
    event.time_left = std::max(1.0, left - std::min(margin, left * kMaxMarginShare) - kernel_queue_time);
    if (const auto account = field(head, "X-Account"); !account.empty()) {
        const auto tenant = std::find(deployment.tenants.begin(), deployment.tenants.end(), account);
        if (tenant != deployment.tenants.end())
            event.tenant = static_cast<std::uint32_t>(tenant - deployment.tenants.begin());
    }
    const auto hint = field(head, "X-Weight-Hint");
    double micros = 0;
    const auto [end, wrong] = std::from_chars(hint.data(), hint.data() + hint.size(), micros);
    if (wrong == std::errc() && end == hint.data() + hint.size() && std::isfinite(micros))
        event.effort = std::max(0.0, micros / 1000);
    event.repeat = field(head, "X-Repeat") == "1";
    return event;
}

HttpRequest forwarded_request(HttpRequest request) {
    HttpRequest anew(request.method(), request.target(), 11);
    anew.set(http::field::host, request[http::field::host]);
    anew.set(kId, request[kId]);
    for (const char* name : kFurther)
        if (request.count(name) > 0) anew.set(name, request[name]);
    if (request.count(kKey) > 0) anew.set(kKey, request[kKey]);
    anew.body() = std::move(request.body());
    return anew;
}

}  // namespace elmbay
