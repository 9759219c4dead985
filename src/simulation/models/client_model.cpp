#include "simulation/models/client_model.hpp"

#include <algorithm>
#include <cmath>

#include "simulation/models/random_streams.hpp"
#include "simulation/scenario/timeline.hpp"

namespace elmbay::simulation {

namespace {

// Less than this is no time to be answered in.
constexpr Millis kLeastTime = 10;

// The rate's shape as pieces of constant height where it is bursty.
class Shape {
public:
    explicit Shape(const Scenario& scenario) : scenario_(scenario) {
        if (scenario.clients.arrival_shape != "bursty") return;
        Random random = random_stream(scenario.overview.seed, StreamPurpose::arrivals, 1);
        bool high = random.uniform() < 0.5;
        for (Millis at = 0; at < scenario.overview.duration; high = !high) {
            turns_.push_back({at, 1 + (high ? 1 : -1) * scenario.clients.rate_amplitude});
            at += exponential(random, scenario.clients.period);
        }
    }
    double at(Millis now) const {
        const ClientsSpec& c = scenario_.clients;
        double height = 1;
        if (c.arrival_shape == "ramp") height = 1 + (c.ramp_multiple - 1) * now / scenario_.overview.duration;
        if (c.arrival_shape == "wave")
            height = 1 + c.rate_amplitude * std::sin(2 * 3.14159265358979323846 * now / c.period);
        if (!turns_.empty()) {
            const auto next = std::upper_bound(turns_.begin(), turns_.end(), now,
                                               [](Millis t, const Turn& turn) { return t < turn.from; });
            height = std::prev(next)->height;
        }
        return height * load_multiple_at(scenario_, now);
    }
    double most() const {
        const ClientsSpec& c = scenario_.clients;
        double most = std::max(1 + c.rate_amplitude, c.arrival_shape == "ramp" ? c.ramp_multiple : 1);
        for (const FaultSpec& f : scenario_.faults)
            if (f.kind == FaultKind::load_surge) most *= std::max(1.0, f.load_multiple);
        return most;
    }

private:
    struct Turn {
        Millis from;
        double height;
    };
    const Scenario& scenario_;
    std::vector<Turn> turns_;
};

std::size_t drawn(Random& random, const std::vector<double>& sums) {
    const double at = random.uniform() * sums.back();
    return std::min<std::size_t>(std::upper_bound(sums.begin(), sums.end(), at) - sums.begin(),
                                 sums.size() - 1);
}

}  // namespace

ClientModel::ClientModel(const Scenario& scenario) : scenario_(scenario) {
    std::vector<double> sidecars, classes;
    for (std::uint64_t i = 0; i < scenario.sidecars.count; ++i)
        sidecars.push_back((sidecars.empty() ? 0 : sidecars.back()) +
                           std::pow(1.0 + static_cast<double>(i), -2 * scenario.clients.sidecar_skew));
    for (const ClassSpec& c : scenario.classes)
        classes.push_back((classes.empty() ? 0 : classes.back()) + c.share);
    // Thinning: candidates at the highest rate, each kept with the share that the rate has of it then.
    const Shape shape(scenario);
    const double most = shape.most();
    Random random = random_stream(scenario.overview.seed, StreamPurpose::arrivals);
    const Millis gap = 1000 / (scenario.clients.rate * most);
    for (Millis at = exponential(random, gap); at < scenario.overview.duration;
         at += exponential(random, gap)) {
        ClientArrival ask;
        ask.at = at;
        const double keep = random.uniform();
        ask.sidecar = static_cast<std::uint32_t>(drawn(random, sidecars));
        ask.class_index = static_cast<std::uint32_t>(drawn(random, classes));
        if (keep * most >= shape.at(at)) continue;
        // Which of those of a rush are the rush: as many as are beyond the usual.
        for (const FaultSpec& f : scenario.faults) {
            if (f.only_class.empty()) continue;
            const double times = load_multiple_of(scenario, f, at);
            if (times <= 1 || random.uniform() * times < 1) continue;
            for (std::size_t i = 0; i < scenario.classes.size(); ++i)
                if (scenario.classes[i].name == f.only_class) ask.class_index = static_cast<std::uint32_t>(i);
        }
        arrivals_.push_back(ask);
    }
}

ClientRequest ClientModel::make(OperationId request, std::uint64_t nth, Millis at) const {
    const ClientArrival& ask = arrivals_[request];
    const ClassSpec& c = scenario_.classes[ask.class_index];
    ClientRequest t;
    t.id = client_request_id(request, nth);
    t.at = at;
    t.timeout = std::min(c.client_deadline * scenario_.clients.request_timeout_share,
                         ask.at + c.client_deadline - at);
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::early_disconnect, t.id);
    if (random.uniform() < scenario_.clients.early_disconnect_share)
        t.disconnect_after = t.timeout * random.uniform();
    return t;
}

ClientRequest ClientModel::first_request(OperationId request) const {
    return make(request, 0, arrivals_[request].at);
}

std::optional<ClientRequest> ClientModel::next_request(Millis now, const ClientRequest& last,
                                                       ResponseKind answer, Millis retry_after) const {
    const OperationId request = operation_of(last.id);
    const std::uint64_t nth = last.id % kMaxRequestsPerOperation + 1;
    const ClientArrival& ask = arrivals_[request];
    const ClassSpec& c = scenario_.classes[ask.class_index];
    if (answer == ResponseKind::served || nth > scenario_.clients.max_retries) return {};
    if (c.idempotency() == balancer::Idempotency::non_idempotent && answer != ResponseKind::rejected)
        return {};
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::backoff, last.id);
    const bool honours = random.uniform() < scenario_.clients.retry_after_compliance;
    const Millis wait = scenario_.clients.backoff * (0.5 + random.uniform());
    Millis at = now + (honours ? std::max(wait, retry_after) : wait);
    if (const Millis together = scenario_.clients.retry_alignment; together > 0)
        at = std::ceil(at / together) * together;
    if (at + kLeastTime > ask.at + c.client_deadline) return {};
    return make(request, nth, at);
}

Millis ClientModel::work(OperationId request) const {
    const ClassSpec& c = scenario_.classes[arrivals_[request].class_index];
    if (c.work_distribution == "fixed") return c.work;
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::work, request);
    return c.work_distribution == "exponential" ? exponential(random, c.work)
                                                : lognormal(random, c.work, c.work_variation);
}

Millis ClientModel::attempt_work(OperationId request, std::uint32_t server) const {
    const ClassSpec& c = scenario_.classes[arrivals_[request].class_index];
    if (c.attempt_variation == 0) return work(request);
    Random random = random_stream(scenario_.overview.seed, StreamPurpose::attempt_work, request, server);
    return work(request) * lognormal(random, 1, c.attempt_variation);
}

}  // namespace elmbay::simulation
