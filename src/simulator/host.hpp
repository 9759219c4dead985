/// @file
/// The simulator's side of the adapter: reads batches of events, runs one Balancer for each simulated
/// sidecar, and writes the actions back. Nothing here decides anything.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "elmbay/balancer.hpp"
#include "simulator/instance.hpp"
#include "simulator/message.hpp"

namespace elmbay::balancer::wire {

/// Server lists that the simulator keeps defined at a time, numbered from 0.
constexpr std::size_t kMaxCatalogs = 16;

/// One server of a list, by the names on the wire.
struct CatalogEntry {
    std::string server;
    std::string zone;          ///< empty: not given
    std::string machine_type;  ///< empty: not given
    std::uint32_t cell = 0;    ///< servers that share their idempotency keys
    EndpointState state = EndpointState::active;
    Millis online_since = 0;  ///< when it last started, on the batch's clock; 0: long ago
    double weight = 1;        ///< its size against other servers'
};

/// The outcome of an attempt, field `rc`. Throws FieldError.
Outcome read_outcome(const Message& message);

/// Serves the simulator until its input ends. One thread; the time is what the last batch says.
class Host {
public:
    /// @param error_output for the one line that says why the process ends, and for events that are not known
    Host(std::istream& input, std::ostream& output, std::ostream& error_output);

    /// The process's exit status: 0 at the end of the input, 2 for input that breaks the protocol.
    int run();

private:
    using EventHandler = void (Host::*)(Instance&, const Message&);
    /// An event for one instance, and what handles it.
    struct EventRoute {
        std::string_view kind;
        EventHandler handle;
    };
    static constexpr std::size_t kEventRoutes = 9;
    static const std::array<EventRoute, kEventRoutes> kRoutes;

    bool next_line(std::string& line);
    std::string context(std::string_view kind) const;
    int report(const std::string& what);
    void run_batch(const Message& mark);
    void handle(const Message& message);
    void note_unknown_event(const Message& message);

    // Events for the whole process, and the one that makes an instance.
    void on_catalog(const Message& message);
    CatalogEntry read_catalog_entry(const Message& catalog);
    void on_start(const Message& message);

    // Events for one instance, a function each.
    void on_power_off(Instance& instance, const Message& message);
    void on_peers_known(Instance& instance, const Message& message);
    void on_accept(Instance& instance, const Message& message);
    void on_head_received(Instance& instance, const Message& message);
    void on_verdict(Instance& instance, const Message& message);
    void on_expired(Instance& instance, const Message& message);
    void on_tick_due(Instance& instance, const Message& message);
    void ignore(Instance& instance, const Message& message);

    ServerList apply_catalog(Instance& instance, ListKind kind, const std::vector<CatalogEntry>& catalog);
    const std::vector<CatalogEntry>& find_catalog(const Message& message) const;
    void give(Instance& instance, const Event& event);
    void write_fault(const std::string& instance_name, const std::string& what);

    std::istream& input_;
    std::ostream& output_;
    std::ostream& error_output_;
    std::size_t line_number_ = 0;  // of the line read last, from 1
    Millis now_ = 0;               // of the batch at hand
    std::string reply_;            // to the batch at hand, so far
    std::array<std::vector<CatalogEntry>, kMaxCatalogs> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;  // that have been reported, once each
    std::vector<Action> actions_;             // of the event at hand; kept for its memory
};

}  // namespace elmbay::balancer::wire
