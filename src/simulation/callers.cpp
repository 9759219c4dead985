#include "simulation/callers.hpp"

#include <algorithm>
#include <cmath>

#include "simulation/chance.hpp"
#include "simulation/timeline.hpp"

namespace elmbay::simulation {

namespace {

// Less than this is no time to be answered in.
constexpr Millis kLeastTime = 10;

// The rate's shape as pieces of constant height where it is bursty.
class Shape {
public:
    explicit Shape(const Incident& incident) : incident_(incident) {
        if (incident.callers.shape != "bursty") return;
        Random random = stream(incident.overview.seed, Purpose::arrivals, 1);
        bool high = random.unit() < 0.5;
        for (Millis at = 0; at < incident.overview.length; high = !high) {
            turns_.push_back({at, 1 + (high ? 1 : -1) * incident.callers.swing});
            at += exponential(random, incident.callers.period);
        }
    }
    double at(Millis now) const {
        const CallersSpec& c = incident_.callers;
        double height = 1;
        if (c.shape == "ramp") height = 1 + (c.ramp_to - 1) * now / incident_.overview.length;
        if (c.shape == "wave") height = 1 + c.swing * std::sin(2 * 3.14159265358979323846 * now / c.period);
        if (!turns_.empty()) {
            const auto next = std::upper_bound(turns_.begin(), turns_.end(), now,
                                               [](Millis t, const Turn& turn) { return t < turn.from; });
            height = std::prev(next)->height;
        }
        return height * load_at(incident_, now);
    }
    double most() const {
        const CallersSpec& c = incident_.callers;
        double most = std::max(1 + c.swing, c.shape == "ramp" ? c.ramp_to : 1);
        for (const FaultSpec& f : incident_.faults)
            if (f.kind == FaultKind::load) most *= std::max(1.0, f.times);
        return most;
    }

private:
    struct Turn {
        Millis from;
        double height;
    };
    const Incident& incident_;
    std::vector<Turn> turns_;
};

std::size_t drawn(Random& random, const std::vector<double>& sums) {
    const double at = random.unit() * sums.back();
    return std::min<std::size_t>(std::upper_bound(sums.begin(), sums.end(), at) - sums.begin(),
                                 sums.size() - 1);
}

}  // namespace

Callers::Callers(const Incident& incident) : incident_(incident) {
    std::vector<double> sidecars, classes;
    for (std::uint64_t i = 0; i < incident.sidecars.count; ++i)
        sidecars.push_back((sidecars.empty() ? 0 : sidecars.back()) +
                           std::pow(1.0 + static_cast<double>(i), -2 * incident.callers.skew));
    for (const ClassSpec& c : incident.classes)
        classes.push_back((classes.empty() ? 0 : classes.back()) + c.share);
    // Thinning: candidates at the highest rate, each kept with the share that the rate has of it then.
    const Shape shape(incident);
    const double most = shape.most();
    Random random = stream(incident.overview.seed, Purpose::arrivals);
    const Millis gap = 1000 / (incident.callers.rate * most);
    for (Millis at = exponential(random, gap); at < incident.overview.length;
         at += exponential(random, gap)) {
        Ask ask;
        ask.at = at;
        const double keep = random.unit();
        ask.sidecar = static_cast<std::uint32_t>(drawn(random, sidecars));
        ask.class_index = static_cast<std::uint32_t>(drawn(random, classes));
        if (keep * most >= shape.at(at)) continue;
        // Which of those of a rush are the rush: as many as are beyond the usual.
        for (const FaultSpec& f : incident.faults) {
            if (f.only.empty()) continue;
            const double times = load_of(incident, f, at);
            if (times <= 1 || random.unit() * times < 1) continue;
            for (std::size_t i = 0; i < incident.classes.size(); ++i)
                if (incident.classes[i].name == f.only) ask.class_index = static_cast<std::uint32_t>(i);
        }
        asks_.push_back(ask);
    }
}

Try Callers::make(RequestNumber request, std::uint64_t nth, Millis at) const {
    const Ask& ask = asks_[request];
    const ClassSpec& c = incident_.classes[ask.class_index];
    Try t;
    t.id = try_id(request, nth);
    t.at = at;
    t.time_left = std::min(c.give_up * incident_.callers.try_share, ask.at + c.give_up - at);
    Random random = stream(incident_.overview.seed, Purpose::patience, t.id);
    if (random.unit() < incident_.callers.impatient) t.leaves = t.time_left * random.unit();
    return t;
}

Try Callers::first(RequestNumber request) const { return make(request, 0, asks_[request].at); }

std::optional<Try> Callers::next(Millis now, const Try& last, Answer answer, Millis retry_after) const {
    const RequestNumber request = request_of(last.id);
    const std::uint64_t nth = last.id % kMaxTries + 1;
    const Ask& ask = asks_[request];
    const ClassSpec& c = incident_.classes[ask.class_index];
    if (answer == Answer::served || nth > incident_.callers.retries) return {};
    if (c.kind() == balancer::Idempotency::non_idempotent && answer != Answer::refused) return {};
    Random random = stream(incident_.overview.seed, Purpose::backoff, last.id);
    const bool honours = random.unit() < incident_.callers.honour;
    const Millis wait = incident_.callers.backoff * (0.5 + random.unit());
    Millis at = now + (honours ? std::max(wait, retry_after) : wait);
    if (const Millis together = incident_.callers.together; together > 0)
        at = std::ceil(at / together) * together;
    if (at + kLeastTime > ask.at + c.give_up) return {};
    return make(request, nth, at);
}

Millis Callers::work(RequestNumber request) const {
    const ClassSpec& c = incident_.classes[asks_[request].class_index];
    if (c.law == "fixed") return c.work;
    Random random = stream(incident_.overview.seed, Purpose::work, request);
    return c.law == "exponential" ? exponential(random, c.work) : lognormal(random, c.work, c.cv);
}

Millis Callers::attempt_work(RequestNumber request, std::uint32_t server) const {
    const ClassSpec& c = incident_.classes[asks_[request].class_index];
    if (c.attempt_noise == 0) return work(request);
    Random random = stream(incident_.overview.seed, Purpose::attempt_work, request, server);
    return work(request) * lognormal(random, 1, c.attempt_noise);
}

}  // namespace elmbay::simulation
