#include "simulation/models/server_model.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace elmbay::simulation {

namespace {

constexpr Millis kNever = std::numeric_limits<Millis>::infinity();
// While the capacity rises, time passes in steps of this, each with the capacity of its middle: for an even
// rise that is exact.
constexpr Millis kWarmStep = 20;
// What rounding may leave of a request that is due.
constexpr double kRounding = 1e-9;
constexpr Ticket kChores = 1ULL << 63;

}  // namespace

ServerModel::ServerModel(const FleetSpec& spec, double speed, bool running)
    : spec_(spec), speed_(speed), up_(running) {}

double ServerModel::warmth(Millis now) const {
    if (started_ < 0 || spec_.slow_start_duration <= 0) return 1;
    double part = (now - started_) / spec_.slow_start_duration;
    if (spec_.warmup_mode == "work") part = std::max(part, done_since_start_ / spec_.warmup_work);
    return spec_.slow_start_min_share + (1 - spec_.slow_start_min_share) * std::clamp(part, 0.0, 1.0);
}

double ServerModel::capacity(Millis now) const {
    return static_cast<double>(spec_.cores) * speed_ * warmth(now);
}

double ServerModel::rate_each(Millis now) const {
    if (!up_ || hollow_ || is_frozen(now) || running_.empty()) return 0;
    const double cores = static_cast<double>(spec_.cores), in_work = static_cast<double>(running_.size());
    const double held = (in_work + static_cast<double>(queued_)) / cores;
    const double crowding =
        1 / (1 + spec_.contention_penalty * std::max(0.0, held - spec_.contention_threshold));
    const double table = static_cast<double>(connections_) / static_cast<double>(spec_.max_connections);
    return speed_ * warmth(now) * (1 - neighbour_) * crowding * (1 - spec_.connection_overhead * table) *
           std::min(1.0, cores / in_work);
}

Millis ServerModel::next() const {
    if (up_ && !thawing_.empty()) return frozen_until_;
    if (!up_ || hollow_ || running_.empty()) return kNever;
    if (is_frozen(at_)) return frozen_until_;
    const Millis middle = warmth(at_) < 1 ? at_ + kWarmStep / 2 : at_;
    const double rate = rate_each(middle);
    Millis at = rate > 0 ? at_ + std::max(0.0, running_.begin()->first - progress_) / rate : kNever;
    if (warmth(at_) < 1) at = std::min(at, at_ + kWarmStep);
    return at;
}

// Lets time pass in pieces within which nothing changes but what is in work.
void ServerModel::pass(Millis now, Out& out) {
    while (at_ < now) {
        if (up_ && is_frozen(at_)) {
            at_ = std::min(now, frozen_until_);
            continue;
        }
        out.insert(out.end(), thawing_.begin(), thawing_.end());
        thawing_.clear();
        if (!up_ || hollow_ || running_.empty()) {
            at_ = now;
            return;
        }
        const bool cold = warmth(at_) < 1;
        const double rate = rate_each(cold ? at_ + kWarmStep / 2 : at_);
        const Millis until = std::min({now, next(), cold ? at_ + kWarmStep : kNever});
        const double gone = rate * (until - at_);
        progress_ += gone;
        done_ += gone * static_cast<double>(running_.size());
        done_since_start_ += gone * static_cast<double>(running_.size());
        at_ = until;
        while (!running_.empty() && running_.begin()->first <= progress_ + kRounding) {
            const Ticket ticket = running_.begin()->second;
            running_.erase(running_.begin());
            const auto work = works_.find(ticket);
            const bool silent = work->second.silent;
            works_.erase(work);
            if (!silent) out.push_back({ticket, Fate::done});
            fill_slots();
        }
    }
    if (is_frozen(at_) || thawing_.empty()) return;
    out.insert(out.end(), thawing_.begin(), thawing_.end());
    thawing_.clear();
}

void ServerModel::begin(Ticket ticket, Work& work) {
    work.in_work = true;
    work.due = progress_ + work.left;
    running_.emplace(work.due, ticket);
}

void ServerModel::fill_slots() {
    while (running_.size() < spec_.worker_slots && !waiting_.empty()) {
        const Ticket ticket = waiting_.front();
        waiting_.pop_front();
        const auto work = works_.find(ticket);
        if (work == works_.end() || work->second.in_work) continue;
        --queued_;
        begin(ticket, work->second);
    }
}

void ServerModel::advance(Millis now, Out& out) { pass(now, out); }

void ServerModel::arrive(Millis now, Ticket ticket, Millis work, bool fails, Out& out) {
    pass(now, out);
    if (cut_off_) return;
    if (!up_) {
        out.push_back({ticket, Fate::reset});
    } else if (hollow_ && running_.size() >= spec_.worker_slots && queued_ >= spec_.queue_capacity) {
        return;  // it holds no more, and says nothing of it
    } else if ((fails && !hollow_) ||
               (running_.size() >= spec_.worker_slots && queued_ >= spec_.queue_capacity)) {
        (is_frozen(now) ? thawing_ : out).push_back({ticket, fails ? Fate::failed : Fate::turned_away});
    } else {
        Work& added = works_[ticket];
        added.left = std::max(1e-6, work);
        if (running_.size() < spec_.worker_slots) {
            begin(ticket, added);
        } else {
            waiting_.push_back(ticket);
            ++queued_;
        }
    }
}

void ServerModel::abandon(Millis now, Ticket ticket, Out& out) {
    pass(now, out);
    std::erase_if(thawing_, [&](const Departure& d) { return d.ticket == ticket; });
    const auto work = works_.find(ticket);
    if (work == works_.end()) return;
    if (work->second.in_work || !spec_.drops_abandoned_requests) {
        work->second.silent = true;
        return;
    }
    works_.erase(work);
    --queued_;
    std::erase(waiting_, ticket);
}

bool ServerModel::connect(Millis now, Out& out) {
    pass(now, out);
    if (!up_ || connections_ >= spec_.max_connections) return false;
    ++connections_;
    if (spec_.handshake_work > 0) {
        Work& chore = works_[++chore_];
        chore.left = spec_.handshake_work;
        chore.silent = true;
        begin(chore_, chore);
    }
    return true;
}

void ServerModel::disconnect(Millis now, Out& out) {
    pass(now, out);
    if (connections_ > 0) --connections_;
}

void ServerModel::freeze(Millis now, Millis until, Out& out) {
    pass(now, out);
    if (up_) frozen_until_ = std::max(frozen_until_, until);
}

void ServerModel::set_neighbour(Millis now, double share, Out& out) {
    pass(now, out);
    neighbour_ = share;
}

void ServerModel::set_hollow(Millis now, bool hollow, Out& out) {
    pass(now, out);
    hollow_ = hollow;
}

void ServerModel::clear() {
    works_.clear();
    thawing_.clear();
    running_.clear();
    waiting_.clear();
    queued_ = connections_ = 0;
    frozen_until_ = 0;
    up_ = false;
}

void ServerModel::stop(Millis now, Out& out) {
    pass(now, out);
    std::vector<Ticket> lost;
    for (const auto& [ticket, work] : works_)
        if (ticket < kChores && !work.silent) lost.push_back(ticket);
    for (const Departure& d : thawing_) lost.push_back(d.ticket);
    std::sort(lost.begin(), lost.end());  // the map's order is its own affair
    for (const Ticket ticket : lost) out.push_back({ticket, Fate::reset});
    clear();
}

void ServerModel::vanish(Millis now, Out& out) {
    pass(now, out);
    clear();
    cut_off_ = true;
}

void ServerModel::start(Millis now, Out& out) {
    pass(now, out);
    if (up_) return;
    clear();
    up_ = true;
    cut_off_ = hollow_ = false;
    started_ = now;
    done_since_start_ = 0;
}

}  // namespace elmbay::simulation
