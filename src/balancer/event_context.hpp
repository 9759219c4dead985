#pragma once

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::balancer {

/// The event being processed: its time and the list that its actions are appended to.
///
/// Owned by Balancer::Impl. Balancer::handle() calls begin() once for each event; the components of the
/// module read the time and append actions. Does not own the actions.
class EventContext {
public:
    /// Starts the processing of an event. Time never decreases, and a value of `now` that is not finite is
    /// ignored, so that one wrong clock reading has no lasting effect. `actions` must stay valid until the
    /// event has been processed.
    void begin(Millis now, std::vector<Action>& actions) {
        if (std::isfinite(now)) now_ = std::max(now_, now);
        actions_ = &actions;
    }
    /// Returns the time of the current event in milliseconds.
    Millis now() const { return now_; }
    /// Constructs an action in place at the end of the list. Call only between begin() and the end of the
    /// event.
    template <class ActionType>
    void emit(ActionType&& action) {
        actions_->emplace_back(std::forward<ActionType>(action));
    }

private:
    Millis now_ = 0;
    std::vector<Action>* actions_ = nullptr;
};

}  // namespace elmbay::balancer
