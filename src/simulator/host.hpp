/// @file
/// The protocol loop of the simulator adapter: reads batches of events, runs one Balancer for each simulated
/// sidecar, and writes the actions back. Makes no decisions itself.
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

/// Maximum number of server lists that can be defined at the same time. They are numbered from 0.
constexpr std::size_t kMaxCatalogs = 16;

/// One server of a server list, with the names of the wire protocol.
struct CatalogEntry {
    std::string server;
    std::string zone;          ///< empty if the list has none
    std::string machine_type;  ///< empty if the list has none
    std::uint32_t cell = 0;    ///< servers that share their idempotency keys
    EndpointState state = EndpointState::active;
    /// Time of the server's latest start, on the clock of the batches; 0 if long ago.
    Millis online_since = 0;
    double weight = 1;  ///< capacity relative to other servers
};

/// Returns the outcome of an attempt from the field `rc`. Throws FieldError.
Outcome read_outcome(const Message& message);

/// Hosts the simulated sidecars: passes the simulator's events to their instances until the input ends.
/// Single-threaded. The current time is that of the last batch.
class Host {
public:
    /// @param error_output receives the line that reports why the process ends, and a line for each unknown
    /// kind of event
    Host(std::istream& input, std::ostream& output, std::ostream& error_output);

    /// Runs the protocol loop. Returns the exit code of the process: 0 at the end of the input, 2 for input
    /// that violates the protocol.
    int run();

private:
    using EventHandler = void (Host::*)(Instance&, const Message&);
    /// A kind of event for one instance, and its handler.
    struct EventRoute {
        std::string_view kind;
        EventHandler handle;
    };
    static constexpr std::size_t kEventRoutes = 9;
    static const std::array<EventRoute, kEventRoutes> kRoutes;

    bool next_line(std::string& line);
    std::string context(std::string_view kind) const;
    int report_error(const std::string& what);
    void run_batch(const Message& mark);
    void handle_message(const Message& message);
    void report_unknown_event(const Message& message);

    // Handlers of events for the whole process, and of the event that creates an instance.
    void on_catalog(const Message& message);
    CatalogEntry read_catalog_entry(const Message& catalog);
    void on_start(const Message& message);

    // Handlers of events for one instance.
    void on_power_off(Instance& instance, const Message& message);
    void on_peers_known(Instance& instance, const Message& message);
    void on_accept(Instance& instance, const Message& message);
    void on_head_received(Instance& instance, const Message& message);
    void on_verdict(Instance& instance, const Message& message);
    void on_expired(Instance& instance, const Message& message);
    void on_tick_due(Instance& instance, const Message& message);
    void ignore_event(Instance& instance, const Message& message);

    ServerList apply_catalog(Instance& instance, ListKind kind, const std::vector<CatalogEntry>& catalog);
    const std::vector<CatalogEntry>& find_catalog(const Message& message) const;
    void handle_event(Instance& instance, const Event& event);
    void write_fault(const std::string& instance_name, const std::string& what);

    std::istream& input_;
    std::ostream& output_;
    std::ostream& error_output_;
    std::size_t line_number_ = 0;  // number of the line read last, from 1
    Millis now_ = 0;               // time of the current batch, in milliseconds
    std::string reply_;            // reply to the current batch, so far
    std::array<std::vector<CatalogEntry>, kMaxCatalogs> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> reported_kinds_;  // kinds that have been reported, once each
    std::vector<Action> actions_;              // of the current event; a member to reuse its memory
};

}  // namespace elmbay::balancer::wire
