// The callers: who asks when, for what, and what they do with what they get. No I/O, no clock.
//
// Arrivals are drawn ahead and wait for no answer (open loop): a slow archive does not make callers kinder.
// Everything about a request follows from the seed and its number, whatever happened to others.
#pragma once

#include <optional>
#include <vector>

#include "simulation/incident.hpp"

namespace elmbay::simulation {

// A request is what a person wants; a try is one message to the sidecar. Tries of a request count from 0.
using RequestNumber = std::uint64_t;
using TryId = std::uint64_t;
constexpr std::uint64_t kMaxTries = 16;
constexpr TryId try_id(RequestNumber request, std::uint64_t nth) { return request * kMaxTries + nth; }
constexpr RequestNumber request_of(TryId id) { return id / kMaxTries; }

struct Ask {
    Millis at = 0;
    std::uint32_t sidecar = 0, class_index = 0;
};

enum class Answer {
    served,
    refused,  // 429 or 503: trying again is harmless
    failed,   // any other answer, or one that broke off
    none      // the time was up, or the connection closed with nothing
};

struct Try {
    TryId id = 0;
    Millis at = 0;         // when it is sent
    Millis time_left = 0;  // what it tells the sidecar, and waits
    Millis leaves = 0;     // the caller is gone this long after; 0: stays
};

class Callers {
public:
    explicit Callers(const Incident& incident);

    const std::vector<Ask>& asks() const { return asks_; }
    const Ask& ask(RequestNumber request) const { return asks_[request]; }
    Try first(RequestNumber request) const;
    // What follows the end of a try at `now`. Nothing: the caller gives up or is content. An unsafe request
    // is asked again only after a refusal: only then is it known not to have run.
    std::optional<Try> next(Millis now, const Try& last, Answer answer, Millis retry_after) const;

    // Core time of a request, and of one attempt at one server.
    Millis work(RequestNumber request) const;
    Millis attempt_work(RequestNumber request, std::uint32_t server) const;

private:
    Try make(RequestNumber request, std::uint64_t nth, Millis at) const;

    const Incident& incident_;
    std::vector<Ask> asks_;
};

}  // namespace elmbay::simulation
