/// @file
/// Conclusions from the outcome of an attempt.
#pragma once

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

/// Whether a server may have executed the request, so that a repetition may take effect twice.
inline bool may_have_run(balancer::Outcome outcome) {
    return outcome != balancer::Outcome::rejected && outcome != balancer::Outcome::connect_failed &&
           outcome != balancer::Outcome::not_sent;
}

}  // namespace elmbay::simulation
