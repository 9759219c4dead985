// Admission: how many attempts may be out at warm servers, and who may still add one.
//
// Little's law: a bound on what is out bounds the time it takes. The bound follows how long answers take
// against their aim; errors say nothing about crowding, and it only grows while it is used.
#pragma once

#include <algorithm>

#include "policy/fading.hpp"

namespace hollybeam {

class Admission {
public:
    // Attempts out are kept to what brings the mean answer in at this share of its aim: more makes the slower
    // answers late, less leaves servers idle. It starts without a bound worth the name.
    static constexpr double kAimShare = 0.55, kRoomAtStart = 1000, kGain = 0.5;
    static constexpr double kLeastRoom = 0.25;  // so that a light sidecar goes on hearing from its servers
    static constexpr double kCrowded = 0.35;    // answers take this share of the aim: well above an idle pool
    static constexpr double kFloor = 4;  // attempts at a server by all sidecars together that are always left
    static constexpr double kMostRatio =
        1.5;  // of an answer's time to its aim: what a turned-away one counts
    // The part of the room that is there for every class, however little its worth, and all that repeats get:
    // a repeat's aim has been running since its first try.
    static constexpr double kCommonRoom = 0.6;
    static constexpr double kUsedOver = 20;  // answers; twice that weight to each
    static constexpr Millis kMemory = 5000;  // as long as what servers complete (Aperture)

    explicit Admission(const Settings& settings);

    // A warm server answered; ratio: the time it took over its aim. out: attempts still out with it; warm:
    // servers of the pool.
    void answered(double ratio, int out, std::size_t warm, Millis now);

    // Whether one more may go out. chance: drawn from 0 to 1, so that less than one attempt can be allowed.
    // part: of the room, for its tenant.
    template <class Chance>
    bool has_room(const RequestClass& kind, bool repeat, double part, int out, Chance chance) const {
        const double mine = room_ * (crowd_.value > kCrowded ? part : 1) *
                            (kCommonRoom + (1 - kCommonRoom) * kind.worth / top_worth_ * (repeat ? 0 : 1));
        return out < mine && chance() <= mine;
    }
    bool any_room(int out) const { return out < room_; }

    bool crowded() const { return crowd_.value > kCrowded; }
    double crowd() const { return crowd_.value; }  // answers' time against their aim, at warm servers
    // Our part of what all sidecars together may always do at one server.
    double our_part() const { return our_part_; }

private:
    double floor(std::size_t warm) const;

    double our_part_, top_worth_ = 1e-9;  // of any class
    Recent crowd_;
    double used_ = 0;  // the most attempts out of late: a lull must not close the room
    double room_ = kRoomAtStart;
};

}  // namespace hollybeam
