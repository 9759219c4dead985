/// @file
/// Writes the actions of the balancer as lines of the simulator's wire protocol.
#pragma once

#include <string>
#include <string_view>

#include "elmbay/balancer.hpp"
#include "simulator/instance.hpp"

namespace elmbay::balancer::wire {

/// Appends one line for each action, without its newline, and records in the instance the attempt that the
/// action starts or the request that it ends. A visitor of balancer::Action. Throws std::out_of_range for an
/// action on a request or server that the instance does not contain.
class ActionWriter {
public:
    /// @param instance,reply must outlive the writer
    ActionWriter(Instance& instance, std::string& reply) : instance_(instance), reply_(reply) {}

    void operator()(const StartAttempt& action);
    void operator()(const Cancel& action);
    void operator()(const Reject& action);
    void operator()(const Fail& action);
    void operator()(const SetTimer& action);
    void operator()(const Subscribe& action);
    void operator()(const Log& action);

private:
    void begin(std::string_view kind);
    void begin_for_request(std::string_view kind, RequestId id);
    void add_text(std::string_view field, std::string_view value);
    void add_integer(std::string_view field, std::uint64_t value);
    void add_time(std::string_view field, Millis value);

    Instance& instance_;
    std::string& reply_;
};

}  // namespace elmbay::balancer::wire
