#include "simulation/models/client_model.hpp"

#include <algorithm>
#include <cmath>

#include "simulation/models/random_streams.hpp"
#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

namespace {

/// Clients send no retry if less than this remains until the deadline of their operation.
constexpr Millis kMinTimeForRetry = 10;

/// The arrival rate over time, as a multiple of the mean rate.
class ArrivalRateShape {
public:
    explicit ArrivalRateShape(const Scenario& scenario) : scenario_(scenario) {
        if (scenario.clients.arrival_shape != "bursty") return;
        Random random = random_stream(scenario.overview.seed, StreamPurpose::arrivals, 1);
        bool high = random.uniform() < 0.5;
        for (Millis at = 0; at < scenario.overview.duration; high = !high) {
            segments_.push_back({at, 1 + (high ? 1 : -1) * scenario.clients.rate_amplitude});
            at += exponential(random, scenario.clients.period);
        }
    }
    double multiple_at(Millis now) const {
        const ClientsSpec& spec = scenario_.clients;
        double multiple = 1;
        if (spec.arrival_shape == "ramp")
            multiple = 1 + (spec.ramp_multiple - 1) * now / scenario_.overview.duration;
        if (spec.arrival_shape == "wave")
            multiple = 1 + spec.rate_amplitude * std::sin(2 * 3.14159265358979323846 * now / spec.period);
        if (!segments_.empty()) {
            const auto next =
                std::upper_bound(segments_.begin(), segments_.end(), now,
                                 [](Millis at, const Segment& segment) { return at < segment.start; });
            multiple = std::prev(next)->multiple;
        }
        return multiple * load_multiple_at(scenario_, now);
    }
    /// An upper bound of multiple_at() over the whole run.
    double max_multiple() const {
        const ClientsSpec& spec = scenario_.clients;
        double highest =
            std::max(1 + spec.rate_amplitude, spec.arrival_shape == "ramp" ? spec.ramp_multiple : 1);
        for (const FaultSpec& fault : scenario_.faults)
            if (fault.kind == FaultKind::load_surge) highest *= std::max(1.0, fault.load_multiple);
        return highest;
    }

private:
    /// A period of constant rate in a bursty shape.
    struct Segment {
        Millis start;
        double multiple;
    };
    const Scenario& scenario_;
    std::vector<Segment> segments_;
};

/// Draws an index in proportion to weights, given as cumulative sums.
std::size_t draw_index(Random& random, const std::vector<double>& cumulative_weights) {
    const double at = random.uniform() * cumulative_weights.back();
    return std::min<std::size_t>(std::upper_bound(cumulative_weights.begin(), cumulative_weights.end(), at) -
                                     cumulative_weights.begin(),
                                 cumulative_weights.size() - 1);
}

}  // namespace

ClientModel::ClientModel(const Scenario& scenario) : scenario_(scenario) {
    std::vector<double> sidecar_weights, class_weights;
    for (std::uint64_t i = 0; i < scenario.sidecars.count; ++i)
        sidecar_weights.push_back((sidecar_weights.empty() ? 0 : sidecar_weights.back()) +
                                  std::pow(1.0 + static_cast<double>(i), -2 * scenario.clients.sidecar_skew));
    for (const ClassSpec& spec : scenario.classes)
        class_weights.push_back((class_weights.empty() ? 0 : class_weights.back()) + spec.share);
    // Thinning: draws candidates at the highest rate of the run, and keeps each with the probability
    // (rate at its time) / (highest rate).
    const ArrivalRateShape shape(scenario);
    const double max_multiple = shape.max_multiple();
    Random random = random_stream(scenario.overview.seed, StreamPurpose::arrivals);
    const Millis mean_gap = 1000 / (scenario.clients.rate * max_multiple);
    for (Millis at = exponential(random, mean_gap); at < scenario.overview.duration;
         at += exponential(random, mean_gap)) {
        ClientArrival arrival;
        arrival.at = at;
        const double keep = random.uniform();
        arrival.sidecar = static_cast<std::uint32_t>(draw_index(random, sidecar_weights));
        arrival.class_index = static_cast<std::uint32_t>(draw_index(random, class_weights));
        if (keep * max_multiple >= shape.multiple_at(at)) continue;
        // A load surge that is limited to one class: the arrivals in excess of the usual rate get that class.
        for (const FaultSpec& fault : scenario.faults) {
            if (fault.only_class.empty()) continue;
            const double load_multiple = load_multiple_of(scenario, fault, at);
            if (load_multiple <= 1 || random.uniform() * load_multiple < 1) continue;
            for (std::size_t i = 0; i < scenario.classes.size(); ++i)
                if (scenario.classes[i].name == fault.only_class)
                    arrival.class_index = static_cast<std::uint32_t>(i);
        }
        arrivals_.push_back(arrival);
    }
}

ClientRequest ClientModel::make_request(OperationId operation, std::uint64_t nth, Millis at) const {
    const ClientArrival& arrival = arrivals_[operation];
    const ClassSpec& spec = scenario_.classes[arrival.class_index];
    ClientRequest request;
    request.id = client_request_id(operation, nth);
    request.at = at;
    request.timeout = std::min(spec.client_deadline * scenario_.clients.request_timeout_share,
                               arrival.at + spec.client_deadline - at);
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::early_disconnect, request.id);
    if (random.uniform() < scenario_.clients.early_disconnect_share)
        request.disconnect_after = request.timeout * random.uniform();
    return request;
}

ClientRequest ClientModel::first_request(OperationId operation) const {
    return make_request(operation, 0, arrivals_[operation].at);
}

std::optional<ClientRequest> ClientModel::next_request(Millis now, const ClientRequest& last,
                                                       ResponseKind response, Millis retry_after) const {
    const OperationId operation = operation_of(last.id);
    const std::uint64_t nth = last.id % kMaxRequestsPerOperation + 1;
    const ClientArrival& arrival = arrivals_[operation];
    const ClassSpec& spec = scenario_.classes[arrival.class_index];
    if (response == ResponseKind::served || nth > scenario_.clients.max_retries) return {};
    if (spec.idempotency() == balancer::Idempotency::non_idempotent && response != ResponseKind::rejected)
        return {};
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::backoff, last.id);
    const bool honours_retry_after = random.uniform() < scenario_.clients.retry_after_compliance;
    const Millis backoff = scenario_.clients.backoff * (0.5 + random.uniform());
    Millis at = now + (honours_retry_after ? std::max(backoff, retry_after) : backoff);
    if (const Millis alignment = scenario_.clients.retry_alignment; alignment > 0)
        at = std::ceil(at / alignment) * alignment;
    if (at + kMinTimeForRetry > arrival.at + spec.client_deadline) return {};
    return make_request(operation, nth, at);
}

Millis ClientModel::work(OperationId operation) const {
    const ClassSpec& spec = scenario_.classes[arrivals_[operation].class_index];
    if (spec.work_distribution == "fixed") return spec.work;
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::work, operation);
    return spec.work_distribution == "exponential" ? exponential(random, spec.work)
                                                   : lognormal(random, spec.work, spec.work_variation);
}

Millis ClientModel::attempt_work(OperationId operation, std::uint32_t server) const {
    const ClassSpec& spec = scenario_.classes[arrivals_[operation].class_index];
    if (spec.attempt_variation == 0) return work(operation);
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::attempt_work, operation, server);
    return work(operation) * lognormal(random, 1, spec.attempt_variation);
}

}  // namespace elmbay::simulation
