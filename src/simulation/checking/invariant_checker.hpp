// The four rules, judged from what servers, clients and the registry saw, never from what a sidecar says.
//
// Both drivers report here. The virtual one knows when a sidecar sends and gives up; the real one sees it
// when the bytes come or the connection ends, and so grants `slack` (PROTOCOL: each limit is 50 ms longer on
// sockets).
#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "simulation/models/client_model.hpp"

namespace elmbay::simulation {

enum class Invariant { one_final_outcome, no_duplicate_effect, drain_respected, cold_server_not_overloaded };
constexpr std::size_t kInvariantCount = 4;
const char* name_of(Invariant rule);

// A server as an attempt reaches it, and what the attempt brings.
struct ServerLoad {
    Millis work = 0;
    double capacity = 0;  // ms of work a ms
    Millis started_at = 0;
    bool cold = false;
};

class InvariantChecker {
public:
    static constexpr std::size_t kMaxExamples = 5;  // kept of each rule; beyond that only the count
    // A refusal or failure later than this share of the objective after the last attempt ended (or the
    // request came) was sat on: the module may hold a request for a sixteenth of its objective.
    static constexpr double kPromptFailureShare = 0.25;

    InvariantChecker(const Scenario& scenario, const ClientModel& clients, Millis slack);

    // ---- clients
    void on_request_sent(Millis now, const ClientRequest& t);
    // ClientModel see an answer's last byte. genuine: a served answer's body was made for this try.
    void on_response(Millis now, ClientRequestId id, Answer answer, bool genuine = true);
    void on_client_left(Millis now, ClientRequestId id);
    // The connection was closed with nothing. Where nothing was sent on for the try, the client knows that it
    // has not been taken; else its outcome is lost.
    void on_connection_closed(Millis now, ClientRequestId id);
    // The try is excused: its sidecar was killed, or ended as it was told to with nothing sent on for it.
    void excuse(ClientRequestId id);
    void on_sidecar_killed(std::uint32_t sidecar);
    // It ended as it was told to: what it had taken and not answered is lost; its next life is told anew.
    void on_sidecar_stopped(std::uint32_t sidecar);
    // It stands still: it owes no answer in time to what it has and gets until it is thawed. All else holds,
    // as that nothing goes out for who has gone meanwhile.
    void on_sidecar_paused(std::uint32_t sidecar);
    void on_sidecar_resumed(std::uint32_t sidecar);
    // It has part of its core only, in turns: its answers may be late by kStarvedSlack, also in virtual time.
    static constexpr Millis kStarvedSlack = 50;  // PROTOCOL: what each limit has on sockets
    void on_sidecar_cpu_limited(std::uint32_t sidecar, bool starved);

    // ---- the registry: bytes on their way to a sidecar count as told
    void on_endpoint_update(Millis now, std::uint32_t sidecar, std::uint32_t server,
                            balancer::EndpointState state, Millis online_since);

    // ---- servers
    enum class Delivery { accepted, rejected, not_received };
    // An attempt goes out. Returns its number within the try.
    std::uint32_t on_attempt_started(Millis now, ClientRequestId id, std::uint32_t server,
                                     std::uint32_t sidecar);
    // What became of it at the server, whose figures at this time are given. True: that was too much for a
    // cold server, it falls over.
    bool on_attempt_delivered(Millis now, ClientRequestId id, std::uint32_t attempt, Delivery what,
                              const ServerLoad& load = {});
    // Something came to a server that no client asked for.
    void on_unknown_request(Millis now, const std::string& what);
    // It is no longer out: answered, reset, or its sidecar ended it.
    void on_attempt_ended(Millis now, ClientRequestId id, std::uint32_t attempt);

    // After the last event. What is open now is lost.
    void finish(Millis now);

    // ---- the verdict
    struct Finding {
        std::uint64_t violations = 0;
        std::vector<std::string> examples;
    };
    const Finding& finding(Invariant rule) const { return findings_[static_cast<std::size_t>(rule)]; }
    bool all_hold() const;
    std::uint64_t client_requests() const { return tries_.size(); }
    std::uint64_t attempts() const { return attempts_; }
    std::uint64_t delayed_failures() const { return held_back_; }
    std::uint64_t overloaded_servers() const { return fallen_; }
    std::uint64_t max_attempts() const { return most_attempts_; }

private:
    struct Attempt {
        std::uint32_t server = 0;
        Millis sent = 0;
        bool out = true, may_have_run = true;
    };
    struct Record {
        Millis deadline = 0, last_over = 0, ended = 0;
        std::uint32_t sidecar = 0;
        bool open = true, excused = false;
        bool gone = false;         // its client went away
        bool may_be_late = false;  // its sidecar stood still
        std::vector<Attempt> attempts;
        const Attempt* first_possible_run() const;
    };
    struct Suspect {
        ClientRequestId id;
        std::uint32_t attempt;
        Millis since;
    };
    struct Told {
        balancer::EndpointState state = balancer::EndpointState::active;
        Millis at = 0, online_since = 0;
    };
    struct Push {
        Millis at, work;
        bool told;
    };

    const ClassSpec& class_of(ClientRequestId id) const;
    void broken(Invariant rule, Millis now, ClientRequestId id, const std::string& what);
    void check_twice(Millis now, ClientRequestId id, const Record& record, std::uint32_t server);

    const Scenario& scenario_;
    const ClientModel& clients_;
    const Millis slack_;
    std::unordered_map<ClientRequestId, Record> tries_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, Told> told_;  // by sidecar and server
    std::vector<std::deque<Push>> pushes_;                          // by server, within the span looked at
    std::vector<Suspect> suspects_;
    std::set<std::uint32_t> frozen_, starved_;
    std::array<Finding, kInvariantCount> findings_;
    std::uint64_t attempts_ = 0, held_back_ = 0, fallen_ = 0, most_attempts_ = 0;
};

}  // namespace elmbay::simulation
