// One service_model server, without sockets and clock: the client gives `now` (milliseconds, never going
// back) and asks when to come again.
//
// Requests in slots share the cores evenly (processor sharing): k of them get min(1, cores / k) of a core
// each, times what the machine can do at the moment: its speed, its warmth, what a neighbour leaves, what
// crowding and open connections cost, and nothing while it is frozen. Beyond the slots requests wait in turn;
// beyond the waiting room they are turned away unseen.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

using Ticket = std::uint64_t;  // names one request at a server; the client's choice, above 0

enum class Fate { done, failed, turned_away, reset };
struct Departure {
    Ticket ticket = 0;
    Fate fate = Fate::done;
};

class ServerModel {
public:
    // running: whether the process is up (and warm) at time 0.
    ServerModel(const FleetSpec& spec, double speed, bool running);

    // ---- work. Departures are appended in the order in which they happen, by any call that has `out`.
    using Out = std::vector<Departure>;

    // A request has come whole. fails: the machine would fail it for a reason of its own. The answer of what
    // is turned away or failed comes at once. To a process that is not up: reset.
    void arrive(Millis now, Ticket ticket, Millis work, bool fails, Out& out);
    // Its sidecar no longer waits. What waits here is dropped if the fleet does so; what runs goes on, and
    // departs with nobody to tell.
    void abandon(Millis now, Ticket ticket, Out& out);
    void advance(Millis now, Out& out);
    // When advance() has something to do; infinity if never without a further call.
    Millis next() const;

    // ---- connections
    bool connect(Millis now, Out& out);  // false: refused, or the table is full
    void disconnect(Millis now, Out& out);
    // Whether a connection that is tried now gets an answer at all (a machine cut off gives none).
    bool is_reachable() const { return !cut_off_; }

    // ---- faults
    void freeze(Millis now, Millis until, Out& out);
    void set_neighbour(Millis now, double share, Out& out);
    void set_hollow(Millis now, bool hollow, Out& out);
    // The process ends: all that it holds is reset. A later start() is cold.
    void stop(Millis now, Out& out);
    void vanish(Millis now, Out& out);  // the same without a word: nothing departs
    void start(Millis now, Out& out);

    // ---- what can be seen
    bool is_running() const { return up_; }
    bool is_frozen(Millis now) const { return now < frozen_until_; }
    Millis started_at() const { return started_; }
    std::size_t executing_count() const { return running_.size(); }
    std::size_t queued_count() const { return queued_; }
    std::size_t connection_count() const { return connections_; }
    bool holds(Ticket ticket) const { return works_.contains(ticket); }
    // Milliseconds of work a millisecond that it could do at `now` if enough were there and none too much:
    // cores, speed and warmth. What the rule on cold servers measures against.
    double capacity(Millis now) const;
    bool is_cold(Millis now) const { return warmth(now) < 1; }
    double work_done() const { return done_; }

private:
    struct Work {
        Millis left = 0;  // while waiting; in work it is due when the common progress reaches `due`
        double due = 0;
        bool in_work = false, silent = false;
    };

    double warmth(Millis now) const;
    double rate_each(Millis now) const;  // progress of each request in work
    void pass(Millis now, Out& out);
    void fill_slots();
    void begin(Ticket ticket, Work& work);
    void clear();

    const FleetSpec spec_;
    const double speed_;
    bool up_, cut_off_ = false, hollow_ = false;
    Millis at_ = 0, started_ = -1;  // -1: warm since before the start
    Millis frozen_until_ = 0;
    double neighbour_ = 0, done_ = 0, done_since_start_ = 0;
    double progress_ = 0;                    // of whatever has been in work all the time
    std::multimap<double, Ticket> running_;  // by due
    std::deque<Ticket> waiting_;
    std::unordered_map<Ticket, Work> works_;
    std::vector<Departure> thawing_;  // answers that a frozen process has yet to give
    std::size_t connections_ = 0, queued_ = 0;
    Ticket chore_ = 1ULL << 63;  // handshakes: work with no request
};

}  // namespace elmbay::simulation
