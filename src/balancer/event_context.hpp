#pragma once

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// The event at hand: its time and the list that its actions are appended to.
///
/// Owned by Balancer::Impl. Balancer::handle() calls begin() once for each event; the parts of the module
/// read the time and add actions. Holds no actions itself.
class EventContext {
public:
    /// Starts an event. Time never goes back, and a reading that is not finite is ignored: one bad clock
    /// reading must not stay. `actions` must outlive the event.
    void begin(Millis now, std::vector<Action>& actions) {
        if (std::isfinite(now)) now_ = std::max(now_, now);
        actions_ = &actions;
    }
    /// The time of the event at hand in ms.
    Millis now() const { return now_; }
    /// Appends an action, built in place. Only between begin() and the end of the event.
    template <class ActionType>
    void emit(ActionType&& action) {
        actions_->emplace_back(std::forward<ActionType>(action));
    }

private:
    Millis now_ = 0;
    std::vector<Action>* actions_ = nullptr;
};

}  // namespace elmbay::balancer
