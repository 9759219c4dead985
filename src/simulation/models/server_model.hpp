/// @file
/// The model of one server. It does no I/O and reads no clock: the caller passes `now` in milliseconds, which
/// never decreases, and calls advance() at next_event_at().
///
/// Requests in worker slots share the cores evenly (processor sharing): each of k requests progresses at
/// min(1, cores / k) of a core, times the server's current speed factors: the machine's speed, the warm-up,
/// the share that a noisy neighbour leaves, and the costs of contention and of open connections. A frozen
/// server makes no progress. Requests in excess of the slots wait in a FIFO queue, and those in excess of the
/// queue are rejected unprocessed.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

/// Number of a request at a server, chosen by the caller; above 0 and below 2^63.
using ServerRequestId = std::uint64_t;

enum class DepartureKind { completed, failed, rejected, reset };
/// The end of one request at a server.
struct Departure {
    ServerRequestId id = 0;
    DepartureKind kind = DepartureKind::completed;
};

class ServerModel {
public:
    /// @param running  whether the process is up, and warm, at time 0
    ServerModel(const FleetSpec& spec, double speed, bool running);

    /// @name Requests
    /// Each function that has a parameter `departures` appends those that happened up to `now`, in order.
    /// @{
    using Departures = std::vector<Departure>;

    /// A request has arrived in full. A rejected or failed request departs at once, or when the freeze ends
    /// if the server is frozen. A request to a process that does not run departs at once as reset. A server
    /// that is cut off gives no departure.
    ///
    /// @param fails  whether the server fails this request because of a fault of its own
    void add_request(Millis now, ServerRequestId id, Millis work, bool fails, Departures& departures);
    /// The sidecar no longer waits for the request. A queued request is dropped if the fleet is configured
    /// so; an executing one continues and gives no departure.
    void abandon(Millis now, ServerRequestId id, Departures& departures);
    void advance(Millis now, Departures& departures);
    /// When advance() is due; infinity: not before another call.
    Millis next_event_at() const;
    /// @}

    /// @name Connections
    /// @{

    /// Returns whether the server accepts the connection; false if the process does not run or its connection
    /// table is full.
    bool connect(Millis now, Departures& departures);
    void disconnect(Millis now, Departures& departures);
    /// Whether a new connection is accepted or refused at all; a machine that is cut off does neither.
    bool is_reachable() const { return !cut_off_; }
    /// @}

    /// @name Faults
    /// @{
    void freeze(Millis now, Millis until, Departures& departures);
    /// @param share  share of the machine that other processes take
    void set_neighbour_share(Millis now, double share, Departures& departures);
    /// An unresponsive server accepts requests and completes none.
    void set_unresponsive(Millis now, bool unresponsive, Departures& departures);
    /// The process ends and resets all its requests. A later start() is cold.
    void stop(Millis now, Departures& departures);
    /// The machine becomes unreachable. Its requests are lost without departures.
    void cut_off(Millis now, Departures& departures);
    void start(Millis now, Departures& departures);
    /// @}

    /// @name State
    /// @{
    bool is_running() const { return is_up_; }
    bool is_frozen(Millis now) const { return now < frozen_until_; }
    Millis started_at() const { return started_at_; }
    std::size_t executing_count() const { return executing_.size(); }
    std::size_t queued_count() const { return queued_count_; }
    std::size_t connection_count() const { return connection_count_; }
    bool holds_request(ServerRequestId id) const { return requests_.contains(id); }
    /// Milliseconds of work per millisecond that the server could complete at `now` under ideal load: cores,
    /// speed and warm-up. The invariant on cold servers measures load against it.
    double capacity(Millis now) const;
    bool is_cold(Millis now) const { return warm_share(now) < 1; }
    double work_done() const { return work_done_; }
    /// @}

private:
    struct Request {
        Millis remaining_work = 0;   // valid while queued
        double finish_progress = 0;  // valid while executing: it completes when progress_ reaches this value
        bool executing = false, abandoned = false;  // abandoned: gives no departure; also set for handshakes
    };

    double warm_share(Millis now) const;
    double progress_rate(Millis now) const;  // of each executing request
    void simulate_until(Millis now, Departures& departures);
    void fill_slots();
    void start_executing(ServerRequestId id, Request& request);
    void clear();

    const FleetSpec spec_;
    const double speed_;
    bool is_up_, cut_off_ = false, unresponsive_ = false;
    Millis simulated_until_ = 0, started_at_ = -1;  // started_at_ -1: warm since before time 0
    Millis frozen_until_ = 0;
    double neighbour_share_ = 0, work_done_ = 0, work_done_since_start_ = 0;
    double progress_ = 0;  // core time that a request would have got if it had executed since time 0
    std::multimap<double, ServerRequestId> executing_;  // by finish_progress
    std::deque<ServerRequestId> queue_;
    std::unordered_map<ServerRequestId, Request> requests_;
    std::vector<Departure> frozen_departures_;  // given when the freeze ends
    std::size_t connection_count_ = 0, queued_count_ = 0;
    ServerRequestId last_handshake_id_ = 1ULL << 63;  // a handshake is work without a request
};

}  // namespace elmbay::simulation
