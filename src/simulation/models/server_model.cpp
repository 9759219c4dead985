#include "simulation/models/server_model.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace elmbay::simulation {

namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
// During warm-up the model advances in steps of this length, each with the capacity at its middle, which is
// exact while the capacity rises linearly.
constexpr Millis kWarmupStep = 20;
// Remaining progress, in milliseconds of core time, below which a request counts as completed (rounding).
constexpr double kProgressTolerance = 1e-9;
constexpr ServerRequestId kFirstHandshakeId = 1ULL << 63;

}  // namespace

ServerModel::ServerModel(const FleetSpec& spec, double speed, bool running)
    : spec_(spec), speed_(speed), is_up_(running) {}

double ServerModel::warm_share(Millis now) const {
    if (started_at_ < 0 || spec_.slow_start_duration <= 0) return 1;
    double warm_fraction = (now - started_at_) / spec_.slow_start_duration;
    if (spec_.warmup_mode == "work")
        warm_fraction = std::max(warm_fraction, work_done_since_start_ / spec_.warmup_work);
    return spec_.slow_start_min_share +
           (1 - spec_.slow_start_min_share) * std::clamp(warm_fraction, 0.0, 1.0);
}

double ServerModel::capacity(Millis now) const {
    return static_cast<double>(spec_.cores) * speed_ * warm_share(now);
}

double ServerModel::progress_rate(Millis now) const {
    if (!is_up_ || unresponsive_ || is_frozen(now) || executing_.empty()) return 0;
    const double cores = static_cast<double>(spec_.cores),
                 executing_requests = static_cast<double>(executing_.size());
    const double requests_per_core = (executing_requests + static_cast<double>(queued_count_)) / cores;
    const double contention_factor =
        1 / (1 + spec_.contention_penalty * std::max(0.0, requests_per_core - spec_.contention_threshold));
    const double connection_table_share =
        static_cast<double>(connection_count_) / static_cast<double>(spec_.max_connections);
    return speed_ * warm_share(now) * (1 - neighbour_share_) * contention_factor *
           (1 - spec_.connection_overhead * connection_table_share) *
           std::min(1.0, cores / executing_requests);
}

Millis ServerModel::next_event_at() const {
    if (is_up_ && !frozen_departures_.empty()) return frozen_until_;
    if (!is_up_ || unresponsive_ || executing_.empty()) return kNever;
    if (is_frozen(simulated_until_)) return frozen_until_;
    const Millis middle =
        warm_share(simulated_until_) < 1 ? simulated_until_ + kWarmupStep / 2 : simulated_until_;
    const double rate = progress_rate(middle);
    Millis next =
        rate > 0 ? simulated_until_ + std::max(0.0, executing_.begin()->first - progress_) / rate : kNever;
    if (warm_share(simulated_until_) < 1) next = std::min(next, simulated_until_ + kWarmupStep);
    return next;
}

// Advances in intervals within which only the progress of executing requests changes.
void ServerModel::simulate_until(Millis now, Departures& departures) {
    while (simulated_until_ < now) {
        if (is_up_ && is_frozen(simulated_until_)) {
            simulated_until_ = std::min(now, frozen_until_);
            continue;
        }
        departures.insert(departures.end(), frozen_departures_.begin(), frozen_departures_.end());
        frozen_departures_.clear();
        if (!is_up_ || unresponsive_ || executing_.empty()) {
            simulated_until_ = now;
            return;
        }
        const bool cold = warm_share(simulated_until_) < 1;
        const double rate = progress_rate(cold ? simulated_until_ + kWarmupStep / 2 : simulated_until_);
        const Millis until = std::min({now, next_event_at(), cold ? simulated_until_ + kWarmupStep : kNever});
        const double progress_made = rate * (until - simulated_until_);
        progress_ += progress_made;
        work_done_ += progress_made * static_cast<double>(executing_.size());
        work_done_since_start_ += progress_made * static_cast<double>(executing_.size());
        simulated_until_ = until;
        while (!executing_.empty() && executing_.begin()->first <= progress_ + kProgressTolerance) {
            const ServerRequestId id = executing_.begin()->second;
            executing_.erase(executing_.begin());
            const auto request = requests_.find(id);
            const bool abandoned = request->second.abandoned;
            requests_.erase(request);
            if (!abandoned) departures.push_back({id, DepartureKind::completed});
            fill_slots();
        }
    }
    if (is_frozen(simulated_until_) || frozen_departures_.empty()) return;
    departures.insert(departures.end(), frozen_departures_.begin(), frozen_departures_.end());
    frozen_departures_.clear();
}

void ServerModel::start_executing(ServerRequestId id, Request& request) {
    request.executing = true;
    request.finish_progress = progress_ + request.remaining_work;
    executing_.emplace(request.finish_progress, id);
}

void ServerModel::fill_slots() {
    while (executing_.size() < spec_.worker_slots && !queue_.empty()) {
        const ServerRequestId id = queue_.front();
        queue_.pop_front();
        const auto request = requests_.find(id);
        if (request == requests_.end() || request->second.executing) continue;
        --queued_count_;
        start_executing(id, request->second);
    }
}

void ServerModel::advance(Millis now, Departures& departures) { simulate_until(now, departures); }

void ServerModel::add_request(Millis now, ServerRequestId id, Millis work, bool fails,
                              Departures& departures) {
    simulate_until(now, departures);
    if (cut_off_) return;
    if (!is_up_) {
        departures.push_back({id, DepartureKind::reset});
    } else if (unresponsive_ && executing_.size() >= spec_.worker_slots &&
               queued_count_ >= spec_.queue_capacity) {
        return;  // an unresponsive server drops the excess without a response
    } else if ((fails && !unresponsive_) ||
               (executing_.size() >= spec_.worker_slots && queued_count_ >= spec_.queue_capacity)) {
        (is_frozen(now) ? frozen_departures_ : departures)
            .push_back({id, fails ? DepartureKind::failed : DepartureKind::rejected});
    } else {
        Request& added = requests_[id];
        added.remaining_work = std::max(1e-6, work);
        if (executing_.size() < spec_.worker_slots) {
            start_executing(id, added);
        } else {
            queue_.push_back(id);
            ++queued_count_;
        }
    }
}

void ServerModel::abandon(Millis now, ServerRequestId id, Departures& departures) {
    simulate_until(now, departures);
    std::erase_if(frozen_departures_, [&](const Departure& departure) { return departure.id == id; });
    const auto request = requests_.find(id);
    if (request == requests_.end()) return;
    if (request->second.executing || !spec_.drops_abandoned_requests) {
        request->second.abandoned = true;
        return;
    }
    requests_.erase(request);
    --queued_count_;
    std::erase(queue_, id);
}

bool ServerModel::connect(Millis now, Departures& departures) {
    simulate_until(now, departures);
    if (!is_up_ || connection_count_ >= spec_.max_connections) return false;
    ++connection_count_;
    if (spec_.handshake_work > 0) {
        Request& handshake = requests_[++last_handshake_id_];
        handshake.remaining_work = spec_.handshake_work;
        handshake.abandoned = true;
        start_executing(last_handshake_id_, handshake);
    }
    return true;
}

void ServerModel::disconnect(Millis now, Departures& departures) {
    simulate_until(now, departures);
    if (connection_count_ > 0) --connection_count_;
}

void ServerModel::freeze(Millis now, Millis until, Departures& departures) {
    simulate_until(now, departures);
    if (is_up_) frozen_until_ = std::max(frozen_until_, until);
}

void ServerModel::set_neighbour_share(Millis now, double share, Departures& departures) {
    simulate_until(now, departures);
    neighbour_share_ = share;
}

void ServerModel::set_unresponsive(Millis now, bool unresponsive, Departures& departures) {
    simulate_until(now, departures);
    unresponsive_ = unresponsive;
}

void ServerModel::clear() {
    requests_.clear();
    frozen_departures_.clear();
    executing_.clear();
    queue_.clear();
    queued_count_ = connection_count_ = 0;
    frozen_until_ = 0;
    is_up_ = false;
}

void ServerModel::stop(Millis now, Departures& departures) {
    simulate_until(now, departures);
    std::vector<ServerRequestId> lost;
    for (const auto& [id, request] : requests_)
        if (id < kFirstHandshakeId && !request.abandoned) lost.push_back(id);
    for (const Departure& departure : frozen_departures_) lost.push_back(departure.id);
    std::sort(lost.begin(), lost.end());  // the order of an unordered map is unspecified
    for (const ServerRequestId id : lost) departures.push_back({id, DepartureKind::reset});
    clear();
}

void ServerModel::cut_off(Millis now, Departures& departures) {
    simulate_until(now, departures);
    clear();
    cut_off_ = true;
}

void ServerModel::start(Millis now, Departures& departures) {
    simulate_until(now, departures);
    if (is_up_) return;
    clear();
    is_up_ = true;
    cut_off_ = unresponsive_ = false;
    started_at_ = now;
    work_done_since_start_ = 0;
}

}  // namespace elmbay::simulation
