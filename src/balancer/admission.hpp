// Admission: how many attempts may be out at warm servers, and who may still add one.
//
// Little's law: a bound on what is out (the room) bounds the time it takes. The room follows how long answers
// take against their objective; errors say nothing about crowding, and it only grows while it is used.
//
// How far it may grow before anything hurts: servers that share their cores take no more than in proportion
// to what they hold, so n out at a share x of the objective lets no more than n * kAimShare / x out come in
// at kAimShare. The most that was learned so, fading in a minute, is the ceiling: a rush meets it at once,
// and not 1000 places that nobody ever saw carried. (docs/design/admission.md)
//
// A sidecar among so many that its part of the servers is less than one attempt (light) can't bound what is
// out by a count: it admits a share of its requests, as a breaker does. A late answer closes it but for
// probes, which grow with time; one in time half opens it, another opens it.
#pragma once

#include <algorithm>
#include <cmath>

#include "balancer/decaying.hpp"
#include "elmbay/learned_state.hpp"

namespace elmbay::balancer {

class Admission {
public:
    // Attempts out are kept to what brings the mean answer in at this share of its objective: more makes the
    // slower answers late, less leaves servers idle.
    static constexpr double kAimShare = 0.55, kGain = 0.5;
    // Of servers that have taught nothing yet, in multiples of our part of kFloor: where the room begins, so
    // that a sidecar that starts under load is soon at its settled room, and where its ceiling is at the
    // least.
    static constexpr double kFirst = 5, kBelieved = 2;
    static constexpr double kLeastShare = 0.05;  // answers quicker than this teach no more
    static constexpr double kWanted = 1;         // so far an answer opens a room that is full, with no crowd
    static constexpr Millis kLearned = 60000;    // what was learned fades so
    static constexpr double kFloor = 4;  // attempts at a server by all sidecars together that are always left
    static constexpr double kOpen = 2, kHalfOpen = 0.5, kProbe = 0.02;  // a light sidecar's room
    static constexpr Millis kProbesGrow = 3000;                         // by e in this time
    // Answers take this share of their objective: where a late one, by exp(-1 / share), is first a hundredth
    // and more. A nearer server or a quicker growing room is worth less than that.
    static constexpr double kCrowded = 0.25;
    static constexpr double kMaxRatio = 1.5;  // of time to objective: what a turned-away one counts
    static constexpr double kUsedOver = 20;   // answers; twice that weight to each
    static constexpr Millis kMemory = 5000;   // as long as what servers complete (Aperture)
    // The part of the room that is there for every class, however little its worth, and all that repeats get:
    // a repeat's objective has been running since its first try.
    static constexpr double kCommonRoom = 0.6;

    explicit Admission(const Settings& settings);
    // pool_is() comes next.
    void set_siblings(std::uint32_t siblings) { each_ = kFloor / std::max(1U, siblings); }

    // What has been learned, into and out of a value; an earlier life's counts as of the time it was taken.
    void know(LearnedState& k, Millis now) const;
    void recall(const LearnedState& k, Millis taken_at, Millis now);
    // The pool has so many warm servers.
    void pool_is(std::size_t warm);
    // A warm server answered; ratio: the time it took over its objective. out: attempts still out with it.
    void answered(double ratio, int out, Millis now);

    // Whether one more may go out. part: of the room, for its tenant. chance: drawn from 0 to 1, so that less
    // than one attempt can be allowed.
    template <class Chance>
    bool has_room(const RequestClass& kind, bool repeat, double part, int out, Millis now,
                  Chance chance) const {
        double mine = room(now) * (crowded() ? part : 1) *
                      (kCommonRoom +
                       (1 - kCommonRoom) * kind.priority_weight / max_priority_weight_ * (repeat ? 0 : 1));
        if (out >= mine) return false;
        // Of a share of the requests, first tries have the most: each stands for several repeats.
        if (mine < 1 && repeat) mine *= mine;
        return chance() <= mine;
    }
    bool any_room(int out, Millis now) const { return out < room(now); }

    bool crowded() const { return crowd_.value > kCrowded; }
    double crowd() const { return crowd_.value; }  // answers' time against their objective, at warm servers
    // Our part of what all sidecars together may always do at one server.
    double our_part() const { return std::min(1.0, each_); }

private:
    double room(Millis now) const {
        return room_ < 1 ? std::min(1.0, room_ * std::exp((now - at_) / kProbesGrow)) : room_;
    }
    bool light() const { return floor_ < 1; }
    bool breaker(double ratio, int out);
    double ceiling() const;

    double each_ = 0;                    // our part of kFloor
    double max_priority_weight_ = 1e-9;  // of any class
    double floor_ = 0;  // of the room: one attempt for each warm server, or our part of kFloor
    double least_ceiling_ = kOpen;
    DecayingAverage crowd_;
    DecayingCounter answers_;  // of late
    double load_ = 0;          // attempts out in the mean of those answers
    double carriers_ = 0;      // warm servers in the same mean: who carried them
    double used_ = 0;          // the most attempts out of late: a lull must not close the room
    double warm_ = 0;          // servers of the pool
    double learned_ = 0;       // the most that could be out, as of at_, and how many servers taught it
    double taught_by_ = 0;
    double room_ = 0;  // at at_; 0: none has been given yet
    Millis at_ = 0;
};

}  // namespace elmbay::balancer
