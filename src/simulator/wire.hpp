// The simulator's wire: a text codec and the host that runs one Balancer for each instance.
// Nothing here chooses anything; see src/balance.cpp for the decisions.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/deployment_settings.hpp"
#include "elmbay/balancer.hpp"

namespace elmbay::balancer::wire {

// A line that can't be read; what() names line number, message and field.
using WireError = FieldError;

// One line taken apart: the message's name and its name=value pairs.
class Message : public Fields {
public:
    Message(std::string_view line, std::size_t number);

    std::string_view kind() const { return kind_; }

private:
    std::string_view kind_;
};

Outcome read_outcome(const Message& message);

struct CatalogEntry {
    std::string server;
    std::string zone;
    std::string machine_type;
    std::uint32_t cell = 0;
    EndpointState state = EndpointState::active;
    Millis online_since = 0;
    double weight = 1;
};

// Runs until the end of input; returns the process's exit status.
class Host {
public:
    Host(std::istream& in, std::ostream& out, std::ostream& err);
    ~Host();
    int run();

private:
    struct Instance;
    bool next_line(std::string& line);
    void batch(const Message& mark);
    void event(const Message& message);
    void catalog(const Message& message);
    void start(const Message& message);
    void list(Instance& instance, const Message& message);
    void attempt_ended(Instance& instance, const Message& message);
    void give(Instance& instance, const Event& event);
    void put(Instance& instance, const Action& action);

    std::istream& in_;
    std::ostream& out_;
    std::ostream& err_;
    std::size_t line_ = 0;
    double now_ = 0;
    std::string reply_;
    std::array<std::vector<CatalogEntry>, 16> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;
    std::vector<Action> actions_;
};

}  // namespace elmbay::balancer::wire
