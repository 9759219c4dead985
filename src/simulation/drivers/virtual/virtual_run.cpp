#include "simulation/drivers/virtual/virtual_run.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <queue>
#include <unordered_map>

#include "simulation/baselines/baseline_policies.hpp"
#include "simulation/checking/sidecar_log.hpp"
#include "simulation/models/membership_agent.hpp"
#include "simulation/models/message_network.hpp"
#include "simulation/models/random_streams.hpp"
#include "simulation/models/service_model.hpp"

namespace elmbay::simulation {

namespace {

using namespace elmbay::balancer;

// The decision module's clock at time 0. It is above 0 because an online_since of 0 stands for a server that
// started long ago.
constexpr Millis kModuleTimeAtStart = 1e9;
// The real sidecar sends its response this long before the client's timeout, or a tenth of the timeout before
// it if that is shorter.
constexpr Millis kResponseMargin = 8;
constexpr double kMaxResponseMarginShare = 0.1;
constexpr Millis kClientLatency = 0.1;
// All open requests end within the longest client deadline after the last arrival; this allows for the
// messages that are sent after that.
constexpr Millis kEndAllowance = 5000;

/// What happens at a ScheduledEvent. The comment of each kind states what the event's target, subject and
/// qualifier are; a kind uses only those that its comment names.
enum class EventKind {
    client_request,     ///< A client sends request `subject`; `qualifier` is 1 for the first of an operation.
    module_timer,       ///< The timer with token `subject` of process `qualifier` of sidecar `target` is due.
    attempt_arrival,    ///< Attempt `subject` of sidecar `target` reaches its server.
    attempt_response,   ///< The end of attempt `subject` reaches sidecar `target`.
    attempt_timeout,    ///< Attempt `subject` of sidecar `target` exceeds its deadline.
    attempt_cancelled,  ///< Sidecar `target` has cancelled attempt `subject`.
    idle_timeout,       ///< Sidecar `target` closes idle connection `subject` to server `qualifier`.
    client_disconnect,  ///< The client of request `subject` disconnects from sidecar process `qualifier`.
    client_timeout,     ///< The client of request `subject` stops waiting.
    timeline_step,      ///< Step `subject` of the timeline is due.
    endpoint_notice,    ///< Notice `subject` reaches the registry or, with `qualifier` 1, sidecar `target`.
    snapshot,           ///< Sidecar `target` saves its learned state.
    server_event,       ///< The model of server `target` has to advance.
    process_restart,    ///< The process of sidecar `target` has drained and is replaced by a new one.
    request_read,       ///< Sidecar `target` reads request `subject`, late if the process was stalled.
    disconnect_read,    ///< Sidecar `target` detects that the client of request `subject` has disconnected.
    cpu_phase,          ///< Sidecar `target` gets its core (`subject` 1) or loses it, if its CPU is limited.
    message_arrival,    ///< Message `subject` reaches sidecar `target`.
    port_unreachable,   ///< Sidecar `target` is notified that the port of sidecar `subject` is unreachable.
    agent_timer         ///< The timer of the agent of process `subject` of sidecar `target` is due.
};

// Datagrams that the receive buffer of a stalled process holds. The kernel drops those that arrive when it is
// full. The number is net.core.rmem_default divided by the space that the kernel counts for a datagram of 256
// bytes.
constexpr std::size_t kMaxUnreadDatagrams = 256;
// Period in which a sidecar with limited CPU gets its share of the core, as in the driver on sockets.
constexpr Millis kCpuPeriod = 20;
constexpr Millis kUnixTimeAtStart = 1796000000000;  // an arbitrary date

struct ScheduledEvent {
    Millis at = 0;
    std::uint64_t number = 0;  // sequence number; orders events of the same time
    EventKind kind = EventKind::client_request;
    std::uint32_t target = 0;  // number of a sidecar or server
    std::uint64_t subject = 0;
    std::uint64_t qualifier = 0;
    bool operator>(const ScheduledEvent& other) const {
        return at != other.at ? at > other.at : number > other.number;
    }
};

/// One attempt, from the sidecar's decision until the sidecar and the server are done with it.
struct Attempt {
    ClientRequestId request_id = 0;
    // `index` counts the attempts of the request; `checker_index` is its number at the invariant checker.
    std::uint32_t sidecar = 0, server = 0, index = 0, checker_index = 0, sidecar_process = 0;
    std::uint32_t server_process = 0;  // the process that has the connection
    ServerRequestId server_request = 0;
    Millis sent_at = 0, latency = 0;
    bool pending = true;          // the sidecar waits for it
    bool new_connection = false;  // its connection has to be established first
    bool arrived = false;         // the request has reached the server or cannot reach it
    bool connected = false;
    Outcome outcome = Outcome::success;
};

struct SimulatedSidecar {
    std::unique_ptr<BalancingPolicy> policy;
    struct OpenRequest {
        std::vector<std::uint64_t> attempts;
        std::uint32_t pending_attempts = 0;
        bool finished = false;  // it has its response, or its client has disconnected
    };
    std::unordered_map<RequestId, OpenRequest> requests;
    struct IdleConnection {
        std::uint64_t number;
        std::uint32_t server_process;
    };
    std::vector<std::vector<IdleConnection>> idle_connections;  // by server, the most recently used last
    std::uint32_t process = 0;                                  // counts the processes of this sidecar
    bool alive = true, draining = false, paused = false, without_cpu = false;
    bool is_stalled() const { return paused || without_cpu; }
    std::vector<ScheduledEvent> held_events;       // events for the process while it is stalled
    std::size_t unread_datagrams = 0;              // datagrams among them
    double cpu_share = 1;                          // share of one core
    std::optional<std::size_t> replacement_fault;  // the fault whose build or settings the process runs with
    std::unique_ptr<MembershipAgent> agent;
    std::uint32_t siblings = 0;  // the number that the decision module has from the agent
    Millis started_at = 0;
    LearnedState snapshot;
    Millis snapshot_at = -1;
};

/// The last request of an operation, while its client waits for the response.
struct OpenClientRequest {
    ClientRequest request;
    std::uint32_t sidecar_process = 0;
};

class VirtualRun {
public:
    VirtualRun(const Scenario& scenario, const VirtualRunOptions& options)
        : scenario_(scenario),
          options_(options),
          clients_(scenario),
          service_model_(scenario, clients_),
          checker_(scenario, clients_, 0),
          metrics_(scenario, clients_),
          steps_(build_timeline(scenario)),
          notices_(build_notices(scenario, steps_)),
          link_rules_(scenario.overview.seed),
          message_network_(scenario),
          sidecar_log_(scenario),
          server_processes_(service_model_.server_count(), 0),
          server_event_at_(service_model_.server_count(), -1) {
        for (std::uint32_t i = 0; i < service_model_.server_count(); ++i)
            registry_.push_back(make_server_info(i, EndpointState::active, 0));
        for (std::uint32_t i = 0; i < service_model_.server_count(); ++i)
            if (!service_model_.is_listed_at_start(i)) registry_[i].state = EndpointState::removed;
        sidecars_.resize(scenario.sidecars.count);
        link_rules_.replace_all(scenario.link_rules());
    }

    Report run() {
        for (std::uint32_t i = 0; i < sidecars_.size(); ++i) start_sidecar(i);
        for (std::size_t i = 0; i < steps_.size(); ++i)
            schedule(steps_[i].at, EventKind::timeline_step, 0, i);
        for (std::size_t i = 0; i < notices_.size(); ++i)
            schedule(notices_[i].at, EventKind::endpoint_notice, 0, i, 0);
        if (scenario_.sidecars.snapshot_interval > 0)
            for (std::uint32_t i = 0; i < sidecars_.size(); ++i)
                schedule(scenario_.sidecars.snapshot_interval, EventKind::snapshot, i);
        schedule_next_arrival();
        const Millis length = scenario_.overview.duration;
        Millis max_deadline = 0;
        for (const ClassSpec& spec : scenario_.classes)
            max_deadline = std::max(max_deadline, spec.client_deadline);
        Millis reported_at = 0;
        while (!event_queue_.empty()) {
            const ScheduledEvent event = event_queue_.top();
            if (event.at > length + max_deadline + kEndAllowance ||
                (event.at > length && open_requests_.empty() && unsent_request_count_ == 0))
                break;
            event_queue_.pop();
            now_ = event.at;
            dispatch(event);
            if (options_.progress && now_ > reported_at + length / 100) {
                reported_at = now_;
                options_.progress(std::min(1.0, now_ / length));
            }
        }
        checker_.finish(now_);
        Report report = make_report(scenario_, clients_, checker_, metrics_);
        report.mode = "virtual";
        report.balancer = options_.balancer;
        report.connections = connection_count_;
        report.after_restart = after_restart_;
        report.sidecar_activity = sidecar_log_.report(std::min(now_, length), clients_.arrivals().size());
        report.log_lines = log_lines_;
        report.log_hash = log_hash_;
        return report;
    }

private:
    // ---- the event queue
    void schedule(Millis at, EventKind kind, std::uint32_t target, std::uint64_t subject = 0,
                  std::uint64_t qualifier = 0) {
        event_queue_.push({std::max(at, now_), ++last_event_, kind, target, subject, qualifier});
    }
    void dispatch(const ScheduledEvent& event) {
        if (delay_on_cut_link(event)) return;
        if (needs_sidecar_process(event) && sidecars_[event.target].is_stalled())
            return hold_for_stalled_sidecar(event);
        execute(event);
    }
    void execute(const ScheduledEvent& event) {
        switch (event.kind) {
            case EventKind::client_request:
                return send_client_request(event);
            case EventKind::module_timer:
                return fire_module_timer(event);
            case EventKind::attempt_arrival:
                return deliver_attempt(event.subject);
            case EventKind::attempt_response:
                return complete_attempt(event.subject, std::nullopt);
            case EventKind::attempt_timeout:
                return complete_attempt(event.subject, Outcome::timed_out);
            case EventKind::attempt_cancelled:
                return report_outcome(event.subject, Outcome::cancelled);
            case EventKind::idle_timeout:
                return close_idle_connection(event);
            case EventKind::client_disconnect:
                return disconnect_client(event.subject, static_cast<std::uint32_t>(event.qualifier));
            case EventKind::client_timeout:
                return time_out_client(event.subject);
            case EventKind::timeline_step:
                return apply_step(steps_[event.subject]);
            case EventKind::process_restart:
                if (!sidecars_[event.target].draining) return;
                sidecar_log_.on_ended(now_, event.target, "ended");
                return start_sidecar(event.target);
            case EventKind::endpoint_notice:
                return deliver_notice(event);
            case EventKind::request_read:
                return read_request(event.subject);
            case EventKind::disconnect_read:
                return read_disconnect(event.target, event.subject);
            case EventKind::cpu_phase:
                return start_cpu_phase(event.target, event.subject);
            case EventKind::message_arrival:
                return deliver_message(event);
            case EventKind::port_unreachable:
                return deliver_port_unreachable(event);
            case EventKind::agent_timer:
                return fire_agent_timer(event);
            case EventKind::snapshot:
                if (sidecars_[event.target].policy && !sidecars_[event.target].is_stalled())
                    save_snapshot(sidecars_[event.target]);
                return schedule(now_ + scenario_.sidecars.snapshot_interval, EventKind::snapshot,
                                event.target);
            case EventKind::server_event:
                if (event.at != server_event_at_[event.target]) return;
                server_event_at_[event.target] = -1;
                service_model_.server(event.target).advance(now_, departures_);
                return process_departures(event.target);
        }
    }

    // ---- stalled sidecars
    // Whether the sidecar's process handles the event, so that the event is held while the process is
    // stalled.
    static bool needs_sidecar_process(const ScheduledEvent& event) {
        switch (event.kind) {
            case EventKind::module_timer:
            case EventKind::attempt_response:
            case EventKind::attempt_timeout:
            case EventKind::attempt_cancelled:
            case EventKind::process_restart:
            case EventKind::request_read:
            case EventKind::disconnect_read:
            case EventKind::message_arrival:
            case EventKind::port_unreachable:
            case EventKind::agent_timer:
                return true;
            case EventKind::endpoint_notice:
                return event.qualifier == 1;
            default:
                return false;
        }
    }
    void hold_for_stalled_sidecar(const ScheduledEvent& event) {
        SimulatedSidecar& sidecar = sidecars_[event.target];
        // For the checker a notice counts as delivered when it is written to the connection, read or not.
        if (event.kind == EventKind::endpoint_notice) record_notice(event.target, notices_[event.subject]);
        if (event.kind == EventKind::message_arrival && ++sidecar.unread_datagrams > kMaxUnreadDatagrams)
            return discard_message(event.subject);
        sidecar.held_events.push_back(event);
    }
    void pause_sidecar(std::uint32_t number) {
        SimulatedSidecar& sidecar = sidecars_[number];
        if (!sidecar.alive || sidecar.paused) return;
        sidecar.paused = true;
        checker_.on_sidecar_paused(number);
        sidecar_log_.on_paused(now_, number);
    }
    void resume_sidecar(std::uint32_t number) {
        SimulatedSidecar& sidecar = sidecars_[number];
        if (!sidecar.paused) return;
        sidecar.paused = false;
        checker_.on_sidecar_resumed(number);
        sidecar_log_.on_resumed(now_, number);
        execute_held_events(number);
    }
    // Client disconnects and endpoint notices are executed before all events that could start an attempt, as
    // in the program (Upstream::WriteChecks).
    void execute_held_events(std::uint32_t number) {
        SimulatedSidecar& sidecar = sidecars_[number];
        if (sidecar.is_stalled()) return;
        sidecar.unread_datagrams = 0;
        std::vector<ScheduledEvent> held_events = std::exchange(sidecar.held_events, {});
        const auto rank = [](const ScheduledEvent& event) {
            return event.kind == EventKind::disconnect_read   ? 0
                   : event.kind == EventKind::endpoint_notice ? 1
                                                              : 2;
        };
        std::stable_sort(held_events.begin(), held_events.end(),
                         [&](const ScheduledEvent& left, const ScheduledEvent& right) {
                             return rank(left) < rank(right);
                         });
        for (const ScheduledEvent& event : held_events) execute(event);
    }
    // Discards the events that were held for a process that has ended.
    void discard_held_events(SimulatedSidecar& sidecar) {
        for (const ScheduledEvent& event : sidecar.held_events)
            if (event.kind == EventKind::message_arrival) discard_message(event.subject);
        sidecar.held_events.clear();
        sidecar.unread_datagrams = 0;
        sidecar.paused = sidecar.without_cpu = false;
    }
    void limit_cpu(std::uint32_t number, double share) {
        SimulatedSidecar& sidecar = sidecars_[number];
        const bool was_limited = sidecar.cpu_share < 1;
        sidecar.cpu_share = share;
        sidecar_log_.on_cpu_share_changed(now_, number, share);
        if (share >= 1) sidecar.without_cpu = false, execute_held_events(number);
        checker_.on_sidecar_cpu_limited(number, share < 1);
        if (!was_limited && share < 1) start_cpu_phase(number, 0);
    }
    void start_cpu_phase(std::uint32_t number, std::uint64_t has_core) {
        SimulatedSidecar& sidecar = sidecars_[number];
        sidecar.without_cpu = !has_core && sidecar.cpu_share < 1 && sidecar.alive;
        if (!sidecar.without_cpu) execute_held_events(number);
        if (sidecar.cpu_share >= 1) return;
        schedule(now_ + kCpuPeriod * (sidecar.without_cpu ? 1 - sidecar.cpu_share : sidecar.cpu_share),
                 EventKind::cpu_phase, number, sidecar.without_cpu);
    }

    // ---- messages between sidecars
    void start_agent(std::uint32_t number) {
        SimulatedSidecar& sidecar = sidecars_[number];
        sidecar.agent.reset();
        if (scenario_.messages.heartbeat_interval <= 0 && !scenario_.sidecars.cluster_enabled) return;
        const std::uint64_t seed =
            random_stream(scenario_.overview.seed, StreamPurpose::membership_agent, number, sidecar.process)
                .next();
        if (scenario_.sidecars.cluster_enabled)
            sidecar.agent =
                std::make_unique<ClusterMembershipAgent>(scenario_, number, seed, now_, kUnixTimeAtStart);
        else
            sidecar.agent = std::make_unique<HeartbeatSender>(scenario_, number, seed);
        sidecar.siblings = static_cast<std::uint32_t>(scenario_.sidecars.count);
        std::vector<OutgoingMessage> messages;
        sidecar.agent->start(now_, messages);
        send_messages(number, messages);
    }
    // Sends what the agent returned, schedules its timer and reports a new sibling count to the decision
    // module.
    void send_messages(std::uint32_t number, const std::vector<OutgoingMessage>& messages) {
        std::vector<MessageNetwork::Delivery> deliveries;
        for (const OutgoingMessage& message : messages) {
            deliveries.clear();
            message_network_.send(now_, number, message, deliveries);
            const std::uint64_t copies = message.to ? 1 : sidecars_.size() - 1;
            for (std::uint64_t i = 0; i < copies; ++i)
                sidecar_log_.on_message_sent(now_, message.bytes.size());
            for (MessageNetwork::Delivery& delivery : deliveries) {
                messages_in_transit_[++last_message_] = {number, std::move(delivery.bytes)};
                schedule(now_ + delivery.delay, EventKind::message_arrival, delivery.to, last_message_);
            }
        }
        SimulatedSidecar& sidecar = sidecars_[number];
        if (!sidecar.agent) return;
        if (sidecar.agent->next_timer_at() < fault_proxy::kNever)
            schedule(sidecar.agent->next_timer_at(), EventKind::agent_timer, number, sidecar.process);
        const auto siblings = sidecar.agent->update_siblings(now_);
        if (siblings && std::exchange(sidecar.siblings, *siblings) != *siblings)
            handle_event(number, SiblingCountChanged{*siblings});
    }
    void fire_agent_timer(const ScheduledEvent& event) {
        SimulatedSidecar& sidecar = sidecars_[event.target];
        // If the agent has postponed its timer in the meantime, another event is scheduled for the new time.
        if (sidecar.process != event.subject || !sidecar.agent || sidecar.agent->next_timer_at() > now_)
            return;
        std::vector<OutgoingMessage> messages;
        sidecar.agent->on_timer(now_, messages);
        send_messages(event.target, messages);
    }
    void discard_message(std::uint64_t number) { messages_in_transit_.erase(number); }
    void deliver_message(const ScheduledEvent& event) {
        const auto node = messages_in_transit_.extract(event.subject);
        if (node.empty()) return;
        const auto& [from, bytes] = node.mapped();
        if (message_network_.is_cut(now_, from, event.target)) return;
        SimulatedSidecar& sidecar = sidecars_[event.target];
        if (!sidecar.alive) {
            if (!message_network_.is_cut(now_, event.target, from))
                schedule(now_ + scenario_.messages.min_delay, EventKind::port_unreachable, from,
                         event.target);
            return;
        }
        sidecar_log_.on_message_delivered(now_, from, event.target, bytes.size());
        if (!sidecar.agent) return;
        std::vector<OutgoingMessage> messages;
        sidecar.agent->on_message(now_, from, bytes, messages);
        send_messages(event.target, messages);
    }

    void deliver_port_unreachable(const ScheduledEvent& event) {
        SimulatedSidecar& sidecar = sidecars_[event.target];
        if (!sidecar.agent) return;
        std::vector<OutgoingMessage> messages;
        sidecar.agent->on_port_unreachable(now_, static_cast<std::uint32_t>(event.subject), messages);
        send_messages(event.target, messages);
    }

    // ---- links
    static std::string sidecar_name(std::uint32_t number) { return "n-" + std::to_string(number); }
    static std::string server_name(std::uint32_t number) { return "s-" + std::to_string(number); }
    bool is_cut(const fault_proxy::Link& link) const {
        return !link_rules_.all().empty() && link_rules_.is_cut(link, fault_proxy::Medium::stream, now_);
    }
    // Reschedules the event to the next change of the link rules if the link is cut, because TCP retransmits
    // the data after the cut. Returns whether the link is cut.
    bool delay_while_cut(const fault_proxy::Link& link, const ScheduledEvent& event) {
        if (!is_cut(link)) return false;
        const Millis next = link_rules_.next_change(now_);
        if (next < fault_proxy::kNever)
            schedule(next, event.kind, event.target, event.subject, event.qualifier);
        return true;
    }
    bool delay_on_cut_link(const ScheduledEvent& event) {
        if (link_rules_.all().empty()) return false;
        if (event.kind == EventKind::endpoint_notice && event.qualifier == 1)
            return delay_while_cut({"list", sidecar_name(event.target)}, event);
        if (event.kind != EventKind::attempt_arrival && event.kind != EventKind::attempt_response)
            return false;
        const auto found = attempts_.find(event.subject);
        if (found == attempts_.end()) return false;
        const Attempt& attempt = found->second;
        const fault_proxy::Link link{sidecar_name(attempt.sidecar), server_name(attempt.server)};
        if (event.kind == EventKind::attempt_arrival) {
            if (!attempt.new_connection || attempt.connected) return delay_while_cut(link, event);
            if (!is_cut(link) && !is_cut(link.reversed())) return false;
            // The connection cannot be established while the link is cut in either direction. The attempt
            // fails after the connect timeout.
            fail_connection(found->second, event.subject,
                            std::max(0.0, attempt.sent_at + scenario_.fleet.connect_timeout - now_));
            return true;
        }
        // The sidecar detects a failed connect by itself, so the link does not matter.
        return attempt.outcome != Outcome::connect_failed && delay_while_cut(link.reversed(), event);
    }

    // ---- clients
    // Schedules one arrival at a time, so that the queue does not have to hold millions of them.
    void schedule_next_arrival() {
        if (next_operation_ >= clients_.arrivals().size()) return;
        const ClientRequest request = clients_.first_request(next_operation_++);
        ++unsent_request_count_;
        unsent_requests_.emplace(request.id, request);
        schedule(request.at, EventKind::client_request, 0, request.id, 1);
    }
    void send_client_request(const ScheduledEvent& event) {
        --unsent_request_count_;
        if (event.qualifier == 1) schedule_next_arrival();
        const auto unsent = unsent_requests_.find(event.subject);
        const ClientRequest request = unsent->second;
        unsent_requests_.erase(unsent);
        const ClientArrival& arrival = clients_.arrival_of(operation_of(request.id));
        SimulatedSidecar& sidecar = sidecars_[arrival.sidecar];
        log("ask %llu n-%u %s", ull(request.id), arrival.sidecar,
            scenario_.classes[arrival.class_index].name.c_str());
        if (!sidecar.alive || sidecar.draining)
            return continue_operation(request, ResponseKind::none, 0);  // the connection is refused
        checker_.on_request_sent(now_, request);
        open_requests_[request.id] = {request, sidecar.process};
        schedule(now_ + request.timeout, EventKind::client_timeout, 0, request.id);
        if (request.disconnect_after > 0)
            schedule(now_ + request.disconnect_after, EventKind::client_disconnect, arrival.sidecar,
                     request.id, sidecar.process);
        sidecar.requests[request.id];
        dispatch({now_, 0, EventKind::request_read, arrival.sidecar, request.id});
    }
    // The time for which the request lay unread counts against the client's timeout.
    void read_request(ClientRequestId id) {
        const auto open = open_requests_.find(id);
        if (open == open_requests_.end()) return;
        const ClientRequest& request = open->second.request;
        const ClientArrival& arrival = clients_.arrival_of(operation_of(id));
        RequestArrived event;
        event.id = request.id;
        event.class_index = arrival.class_index;
        event.time_left =
            std::max(1.0, request.timeout - (now_ - request.at) -
                              std::min(kResponseMargin, request.timeout * kMaxResponseMarginShare));
        event.is_client_retry = request.id % kMaxRequestsPerOperation > 0;
        handle_event(arrival.sidecar, event);
    }
    void respond(std::uint32_t number, ClientRequestId id, ResponseKind response, Millis retry_after) {
        const auto found = sidecars_[number].requests.find(id);
        if (found == sidecars_[number].requests.end() || found->second.finished) return;
        found->second.finished = true;
        const auto open = open_requests_.find(id);
        log("answer %llu %s", ull(id),
            response == ResponseKind::served     ? "served"
            : response == ResponseKind::rejected ? "refused"
                                                 : "failed");
        checker_.on_response(now_ + kClientLatency, id, response);
        if (open == open_requests_.end()) return;
        const ClientRequest request = open->second.request;
        open_requests_.erase(open);
        continue_operation(request, response, retry_after);
    }
    // Schedules the client's next request, or ends the operation.
    void continue_operation(const ClientRequest& request, ResponseKind response, Millis retry_after) {
        if (const auto next = clients_.next_request(now_, request, response, retry_after)) {
            ++unsent_request_count_;
            unsent_requests_.emplace(next->id, *next);
            schedule(next->at, EventKind::client_request, 0, next->id, 0);
        } else {
            metrics_.on_operation_ended(now_ + kClientLatency, operation_of(request.id), response);
            count_after_restart(operation_of(request.id), response);
        }
    }
    void time_out_client(ClientRequestId id) {
        const auto open = open_requests_.find(id);
        if (open == open_requests_.end()) return;
        const ClientRequest request = open->second.request;
        log("silence %llu", ull(id));
        const std::uint32_t number = clients_.arrival_of(operation_of(id)).sidecar;
        // A sidecar with limited CPU may respond slightly late. The driver on sockets grants slack for that.
        if (sidecars_[number].cpu_share < 1 || sidecars_[number].without_cpu) checker_.waive_response(id);
        checker_.on_response(now_, id, ResponseKind::none);
        open_requests_.erase(id);
        dispatch({now_, 0, EventKind::disconnect_read, number, id});
        continue_operation(request, ResponseKind::none, 0);
    }
    void disconnect_client(ClientRequestId id, std::uint32_t sidecar_process) {
        const std::uint32_t number = clients_.arrival_of(operation_of(id)).sidecar;
        if (!open_requests_.contains(id) || sidecars_[number].process != sidecar_process) return;
        log("leave %llu", ull(id));
        checker_.on_client_left(now_, id);
        metrics_.on_client_left(operation_of(id));
        open_requests_.erase(id);
        dispatch({now_, 0, EventKind::disconnect_read, number, id});
    }
    void read_disconnect(std::uint32_t number, ClientRequestId id) {
        const auto found = sidecars_[number].requests.find(id);
        if (found == sidecars_[number].requests.end() || found->second.finished) return;
        found->second.finished = true;
        handle_event(number, ClientDisconnected{id});
        erase_finished_request(number, id);
    }

    // ---- sidecars
    ServerInfo make_server_info(std::uint32_t server, EndpointState state, Millis online_since) const {
        return {server + 1, scenario_.zone_of(server),
                0,          0,
                state,      online_since > 0 ? online_since + kModuleTimeAtStart : 0};
    }
    void save_snapshot(SimulatedSidecar& sidecar) {
        sidecar.snapshot = sidecar.policy->learned_state(now_ + kModuleTimeAtStart);
        sidecar.snapshot_at = now_;
    }
    bool is_just_restarted(const SimulatedSidecar& sidecar, Millis at) const {
        return sidecar.process > 1 && at >= sidecar.started_at &&
               at < sidecar.started_at + Report::kRestartWindow;
    }
    void count_after_restart(OperationId operation, ResponseKind response) {
        const ClientArrival& arrival = clients_.arrival_of(operation);
        if (!is_just_restarted(sidecars_[arrival.sidecar], arrival.at)) return;
        const ClassSpec& spec = scenario_.classes[arrival.class_index];
        const double value = spec.priority_weight * clients_.work(operation);
        after_restart_.offered_value += value;
        if (response == ResponseKind::served && now_ + kClientLatency - arrival.at <= spec.latency_objective)
            after_restart_.delivered_value += value;
    }
    void start_sidecar(std::uint32_t number) {
        SimulatedSidecar& sidecar = sidecars_[number];
        // A process saves a last snapshot when it ends in a planned restart. A killed process leaves the
        // snapshot that it saved last.
        if (sidecar.policy && scenario_.sidecars.snapshot_interval > 0) save_snapshot(sidecar);
        sidecar.started_at = now_;
        ++sidecar.process;
        sidecar.alive = true;
        sidecar.draining = false;
        sidecar.idle_connections.assign(service_model_.server_count(), {});
        const std::uint64_t seed =
            random_stream(scenario_.overview.seed, StreamPurpose::balancer, number, sidecar.process).next();
        const FaultSpec* fault =
            sidecar.replacement_fault ? &scenario_.faults[*sidecar.replacement_fault] : nullptr;
        const std::string& build = fault && !fault->build.empty() ? fault->build : options_.balancer;
        sidecar.policy = make_policy(build, scenario_.settings(number, fault), seed);
        sidecar_log_.on_started(now_, number,
                                fault && fault->build.empty() ? build + " (" + fault->name + ")" : build);
        sidecar.policy->set_service_model(service_model_);
        handle_event(number, Started{});
        if (sidecar.snapshot_at >= 0)
            handle_event(number, StateRestored{sidecar.snapshot, now_ - sidecar.snapshot_at});
        ServerList list{ListKind::cached, {}};
        for (const ServerInfo& info : registry_) {
            if (info.state != EndpointState::removed) list.servers.push_back(info);
            checker_.on_endpoint_update(now_, number, info.id - 1, info.state,
                                        std::max(0.0, info.online_since - kModuleTimeAtStart));
        }
        handle_event(number, std::move(list));
        start_agent(number);
    }
    void kill_sidecar(std::uint32_t number) {
        SimulatedSidecar& sidecar = sidecars_[number];
        sidecar.alive = false;
        sidecar.agent.reset();
        discard_held_events(sidecar);
        checker_.on_sidecar_killed(number);
        sidecar_log_.on_ended(now_, number, "killed");
        for (const std::uint64_t attempt_number : pending_attempts(number, {})) {
            release_attempt(attempts_.at(attempt_number), Outcome::connection_reset);
            erase_finished_attempt(attempt_number);
        }
        close_idle_connections(sidecar);
        sidecar.requests.clear();
        sidecar.policy.reset();
        std::vector<ClientRequest> lost;
        for (const auto& [id, open] : open_requests_)
            if (clients_.arrival_of(operation_of(id)).sidecar == number) lost.push_back(open.request);
        std::sort(lost.begin(), lost.end(),
                  [](const ClientRequest& left, const ClientRequest& right) { return left.id < right.id; });
        for (const ClientRequest& request : lost) {
            open_requests_.erase(request.id);
            checker_.on_response(now_, request.id, ResponseKind::none);
            continue_operation(request, ResponseKind::none, 0);
        }
    }
    // Passes an event to the decision module of a sidecar and performs the actions that it returns.
    void handle_event(std::uint32_t number, const Event& event) {
        SimulatedSidecar& sidecar = sidecars_[number];
        if (!sidecar.policy) return;
        std::vector<Action> actions;
        sidecar.policy->handle(now_ + kModuleTimeAtStart, event, actions);
        for (const Action& action : actions) perform(number, action);
    }
    void perform(std::uint32_t number, const Action& action) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
            start_attempt(number, *start);
        } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
            const auto open = sidecars_[number].requests.find(cancel->id);
            if (open == sidecars_[number].requests.end() || cancel->attempt >= open->second.attempts.size())
                return;
            const std::uint64_t attempt_number = open->second.attempts[cancel->attempt];
            const auto found = attempts_.find(attempt_number);
            if (found == attempts_.end() || !found->second.pending) return;
            release_attempt(found->second, Outcome::cancelled);
            schedule(now_, EventKind::attempt_cancelled, number, attempt_number);
        } else if (const auto* reject = std::get_if<Reject>(&action)) {
            respond(number, reject->id, ResponseKind::rejected, reject->retry_after);
            erase_finished_request(number, reject->id);
        } else if (const auto* fail = std::get_if<Fail>(&action)) {
            respond(number, fail->id, ResponseKind::failed, 0);
            erase_finished_request(number, fail->id);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            schedule(timer->at - kModuleTimeAtStart, EventKind::module_timer, number, timer->token,
                     sidecars_[number].process);
        }
    }
    void fire_module_timer(const ScheduledEvent& event) {
        if (sidecars_[event.target].process == event.qualifier)
            handle_event(event.target, TimerFired{event.subject});
    }
    // Erases a request that is finished and has no pending attempts. A draining process ends when it has no
    // requests left.
    void erase_finished_request(std::uint32_t number, ClientRequestId id) {
        SimulatedSidecar& sidecar = sidecars_[number];
        const auto found = sidecar.requests.find(id);
        if (found != sidecar.requests.end() && found->second.finished && found->second.pending_attempts == 0)
            sidecar.requests.erase(found);
        if (sidecar.draining && sidecar.requests.empty()) {
            close_idle_connections(sidecar);
            // Scheduled, because this may run inside a call of the decision module that the restart replaces.
            schedule(now_, EventKind::process_restart, number);
        }
    }
    void close_idle_connections(SimulatedSidecar& sidecar) {
        for (std::uint32_t server = 0; server < service_model_.server_count(); ++server) {
            for (; !sidecar.idle_connections[server].empty(); sidecar.idle_connections[server].pop_back())
                if (sidecar.idle_connections[server].back().server_process == server_processes_[server])
                    service_model_.server(server).disconnect(now_, departures_);
            process_departures(server);
        }
    }

    // ---- attempts
    // An attempt stays in the table until the sidecar no longer waits for it and its request has arrived at
    // the server, whichever is later.
    void start_attempt(std::uint32_t number, const StartAttempt& start) {
        SimulatedSidecar& sidecar = sidecars_[number];
        const auto open = sidecar.requests.find(start.id);
        const std::uint32_t server = start.server - 1;
        if (open == sidecar.requests.end() || server >= service_model_.server_count()) return;
        const std::uint64_t attempt_number = ++last_attempt_;
        Attempt& attempt = attempts_[attempt_number];
        attempt.request_id = start.id, attempt.sidecar = number, attempt.server = server;
        attempt.index = static_cast<std::uint32_t>(open->second.attempts.size());
        attempt.sidecar_process = sidecar.process, attempt.sent_at = now_,
        attempt.server_process = server_processes_[server];
        open->second.attempts.push_back(attempt_number);
        ++open->second.pending_attempts;
        Random random =
            random_stream(scenario_.overview.seed, StreamPurpose::latency, start.id, attempt.index);
        const bool same_zone = scenario_.zone_of(server) == number % scenario_.fleet.zones.size();
        attempt.latency =
            (same_zone ? scenario_.fleet.same_zone_latency : scenario_.fleet.cross_zone_latency) *
            (1 + scenario_.fleet.latency_jitter * (2 * random.uniform() - 1));
        log("send %llu.%u n-%u s-%u", ull(attempt.request_id), attempt.index, number, server);
        attempt.checker_index = checker_.on_attempt_started(now_, attempt.request_id, server, number);
        if (start.attempt_deadline > 0)
            schedule(start.attempt_deadline - kModuleTimeAtStart, EventKind::attempt_timeout, number,
                     attempt_number);
        if (!sidecar.idle_connections[server].empty()) {
            attempt.server_process = sidecar.idle_connections[server].back().server_process;
            sidecar.idle_connections[server].pop_back();
            attempt.connected = true;
            return schedule(now_ + attempt.latency, EventKind::attempt_arrival, number, attempt_number);
        }
        attempt.new_connection = true;
        if (service_model_.server(server).is_reachable())
            return schedule(now_ + 3 * attempt.latency, EventKind::attempt_arrival, number, attempt_number);
        fail_connection(attempt, attempt_number, scenario_.fleet.connect_timeout);
    }
    void fail_connection(Attempt& attempt, std::uint64_t number, Millis delay) {
        checker_.on_attempt_delivered(now_, attempt.request_id, attempt.checker_index,
                                      InvariantChecker::Delivery::not_received);
        attempt.arrived = true;
        attempt.outcome = Outcome::connect_failed;
        schedule(now_ + delay, EventKind::attempt_response, attempt.sidecar, number);
    }
    void deliver_attempt(std::uint64_t number) {
        const auto found = attempts_.find(number);
        if (found == attempts_.end()) return;
        Attempt& attempt = found->second;
        ServerModel& server = service_model_.server(attempt.server);
        // The sidecar abandoned the attempt before the connection was established, so it has written nothing.
        if (attempt.new_connection && !attempt.pending) {
            attempts_.erase(found);
            return;
        }
        if (attempt.new_connection) {
            if (!server.is_reachable())
                return fail_connection(attempt, number, scenario_.fleet.connect_timeout);
            const bool accepted = server.connect(now_, departures_);
            process_departures(attempt.server);
            if (!accepted) return fail_connection(attempt, number, attempt.latency);
            ++connection_count_;
            attempt.connected = true;
            attempt.server_process = server_processes_[attempt.server];
        }
        attempt.arrived = true;
        // The process that had this connection has ended.
        if (attempt.server_process != server_processes_[attempt.server]) {
            if (server.is_reachable()) {
                attempt.outcome = Outcome::connection_reset;
                schedule(now_ + attempt.latency, EventKind::attempt_response, attempt.sidecar, number);
            }
            return erase_finished_attempt(number);
        }
        const ServerLoad load{clients_.attempt_work(operation_of(attempt.request_id), attempt.server),
                              server.capacity(now_), server.started_at(), server.is_cold(now_)};
        attempt.server_request =
            service_model_.deliver_attempt(now_, attempt.server, attempt.request_id, departures_);
        const bool rejected =
            std::any_of(departures_.begin(), departures_.end(), [&](const Departure& departure) {
                return departure.id == attempt.server_request && departure.kind == DepartureKind::rejected;
            });
        log("reach %llu.%u s-%u %.3f%s", ull(attempt.request_id), attempt.index, attempt.server, load.work,
            rejected ? " away" : "");
        metrics_.on_attempt(now_, attempt.server, load.work);
        attempt_of_server_request_[attempt.server_request] = number;
        const std::uint32_t server_number = attempt.server;
        const bool overloaded = checker_.on_attempt_delivered(
            now_, attempt.request_id, attempt.checker_index,
            rejected ? InvariantChecker::Delivery::rejected : InvariantChecker::Delivery::accepted, load);
        // The sidecar abandoned the attempt after it had written the request.
        if (!attempt.pending) abandon_at_server(attempt);
        erase_finished_attempt(number);
        process_departures(server_number);
        if (!overloaded) return;
        log("fell s-%u", server_number);
        ++server_processes_[server_number];
        service_model_.stop_permanently(now_, server_number, departures_);
        erase_idle_connections(server_number);
        process_departures(server_number);
    }
    // Schedules the responses to the sidecars for all departures, and the server's next event.
    void process_departures(std::uint32_t server) {
        const ServerModel::Departures departures = std::exchange(departures_, {});
        for (const Departure& departure : departures) {
            const auto entry = attempt_of_server_request_.find(departure.id);
            if (entry == attempt_of_server_request_.end()) continue;
            const std::uint64_t number = entry->second;
            attempt_of_server_request_.erase(entry);
            const auto found = attempts_.find(number);
            if (found == attempts_.end()) continue;
            Attempt& attempt = found->second;
            attempt.server_request = 0;
            // A frozen server rejects requests when the freeze ends. Such a request is unprocessed, as is one
            // that a server rejects at once.
            if (departure.kind == DepartureKind::rejected)
                checker_.on_attempt_delivered(now_, attempt.request_id, attempt.checker_index,
                                              InvariantChecker::Delivery::rejected);
            if (!attempt.pending) continue;
            attempt.outcome = departure.kind == DepartureKind::completed  ? Outcome::success
                              : departure.kind == DepartureKind::failed   ? Outcome::error_response
                              : departure.kind == DepartureKind::rejected ? Outcome::rejected
                                                                          : Outcome::connection_reset;
            schedule(now_ + attempt.latency, EventKind::attempt_response, attempt.sidecar, number);
        }
        const Millis next = service_model_.server(server).next_event_at();
        if (next < 1e300 && (server_event_at_[server] < 0 || next < server_event_at_[server])) {
            server_event_at_[server] = std::max(next, now_);
            schedule(next, EventKind::server_event, server);
        }
    }
    // Ends an attempt at the sidecar with `outcome`, or with the outcome that the server gave.
    void complete_attempt(std::uint64_t number, std::optional<Outcome> outcome) {
        const auto found = attempts_.find(number);
        if (found == attempts_.end() || !found->second.pending) return;
        const Outcome final_outcome = outcome.value_or(found->second.outcome);
        release_attempt(found->second, final_outcome);
        report_outcome(number, final_outcome);
    }
    // Ends the sidecar's side of an attempt: returns its connection to the pool or closes it.
    void release_attempt(Attempt& attempt, Outcome outcome) {
        attempt.pending = false;
        checker_.on_attempt_ended(now_, attempt.request_id, attempt.checker_index);
        const bool reusable =
            outcome == Outcome::success || outcome == Outcome::error_response || outcome == Outcome::rejected;
        const bool open = attempt.connected && attempt.server_process == server_processes_[attempt.server];
        const SimulatedSidecar& sidecar = sidecars_[attempt.sidecar];
        if (reusable && open && sidecar.process == attempt.sidecar_process && !sidecar.draining) {
            sidecars_[attempt.sidecar].idle_connections[attempt.server].push_back(
                {++last_idle_connection_, attempt.server_process});
            schedule(now_ + scenario_.fleet.idle_timeout, EventKind::idle_timeout, attempt.sidecar,
                     last_idle_connection_, attempt.server);
        } else if (open) {
            service_model_.server(attempt.server).disconnect(now_, departures_);
        }
        attempt.connected = false;
        abandon_at_server(attempt);
        process_departures(attempt.server);
    }
    void abandon_at_server(Attempt& attempt) {
        if (attempt.server_request == 0) return;
        attempt_of_server_request_.erase(attempt.server_request);
        service_model_.server(attempt.server).abandon(now_, attempt.server_request, departures_);
        attempt.server_request = 0;
    }
    void erase_finished_attempt(std::uint64_t number) {
        const auto found = attempts_.find(number);
        if (found != attempts_.end() && !found->second.pending && found->second.arrived)
            attempts_.erase(found);
    }
    // Reports the outcome to the decision module and, for the first success, the response to the client.
    void report_outcome(std::uint64_t number, Outcome outcome) {
        const auto entry = attempts_.find(number);
        if (entry == attempts_.end()) return;
        const Attempt attempt = entry->second;
        erase_finished_attempt(number);
        SimulatedSidecar& sidecar = sidecars_[attempt.sidecar];
        const auto found = sidecar.requests.find(attempt.request_id);
        if (sidecar.process != attempt.sidecar_process || found == sidecar.requests.end()) return;
        --found->second.pending_attempts;
        if (is_just_restarted(sidecar, now_)) {
            ++after_restart_.attempts;
            after_restart_.failed += outcome != Outcome::success && outcome != Outcome::cancelled;
        }
        log("end %llu.%u s-%u %d", ull(attempt.request_id), attempt.index, attempt.server,
            static_cast<int>(outcome));
        if (outcome == Outcome::success && !found->second.finished)
            respond(attempt.sidecar, attempt.request_id, ResponseKind::served, 0);
        handle_event(attempt.sidecar, AttemptEnded{attempt.request_id, attempt.index, outcome,
                                                   now_ - attempt.sent_at, found->second.finished});
        erase_finished_request(attempt.sidecar, attempt.request_id);
    }
    // Returns the numbers of pending attempts, sorted because the order of an unordered map is unspecified.
    std::vector<std::uint64_t> pending_attempts(std::optional<std::uint32_t> sidecar,
                                                std::optional<std::uint32_t> server) const {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, attempt] : attempts_)
            if (attempt.pending && (!sidecar || attempt.sidecar == *sidecar) &&
                (!server || attempt.server == *server))
                numbers.push_back(number);
        std::sort(numbers.begin(), numbers.end());
        return numbers;
    }

    void close_idle_connection(const ScheduledEvent& event) {
        auto& connections = sidecars_[event.target].idle_connections[event.qualifier];
        const auto found = std::find_if(connections.begin(), connections.end(), [&](const auto& connection) {
            return connection.number == event.subject;
        });
        if (found == connections.end()) return;
        const bool open = found->server_process == server_processes_[event.qualifier];
        connections.erase(found);
        if (!open) return;
        service_model_.server(static_cast<std::uint32_t>(event.qualifier)).disconnect(now_, departures_);
        process_departures(static_cast<std::uint32_t>(event.qualifier));
    }
    void erase_idle_connections(std::uint32_t server) {
        for (SimulatedSidecar& sidecar : sidecars_) sidecar.idle_connections[server].clear();
    }

    // ---- the timeline
    void apply_step(const TimelineStep& step) {
        log("step %s", text_of(step).c_str());
        if (step.kind == StepKind::sidecar_kill) return kill_sidecar(step.target);
        if (step.kind == StepKind::sidecar_start) return start_sidecar(step.target);
        if (step.kind == StepKind::sidecar_pause) return pause_sidecar(step.target);
        if (step.kind == StepKind::sidecar_resume) return resume_sidecar(step.target);
        if (step.kind == StepKind::sidecar_cpu_share) return limit_cpu(step.target, step.value);
        if (step.kind == StepKind::sidecar_replace)
            sidecars_[step.target].replacement_fault = static_cast<std::size_t>(step.value);
        if (step.kind == StepKind::sidecar_restore) sidecars_[step.target].replacement_fault.reset();
        if (step.kind == StepKind::sidecar_restart || step.kind == StepKind::sidecar_replace ||
            step.kind == StepKind::sidecar_restore) {
            sidecars_[step.target].draining = true;
            if (SimulatedSidecar& sidecar = sidecars_[step.target]; sidecar.agent && !sidecar.is_stalled()) {
                std::vector<OutgoingMessage> messages;
                sidecar.agent->leave(now_, messages);
                send_messages(step.target, messages);
            }
            if (sidecars_[step.target].requests.empty())
                schedule(now_, EventKind::process_restart, step.target);
            return;
        }
        if (step.targets_sidecar()) return;
        if (step.kind == StepKind::stop || step.kind == StepKind::cut_off) ++server_processes_[step.target];
        const bool was_cut_off = !service_model_.server(step.target).is_reachable();
        service_model_.apply(step, departures_);
        process_departures(step.target);
        if (step.kind == StepKind::stop) erase_idle_connections(step.target);
        if (step.kind == StepKind::start && was_cut_off) {
            // The connections to the previous process stayed open. The new process has the same address, and
            // resets them.
            erase_idle_connections(step.target);
            for (const std::uint64_t number : pending_attempts({}, step.target)) {
                Attempt& attempt = attempts_.at(number);
                if (!attempt.arrived) continue;
                attempt.outcome = Outcome::connection_reset;
                schedule(now_ + attempt.latency, EventKind::attempt_response, attempt.sidecar, number);
            }
        }
    }
    // Updates the registry, and schedules the delivery to each sidecar after its notice_skew().
    void deliver_notice(const ScheduledEvent& event) {
        const EndpointNotice& notice = notices_[event.subject];
        if (event.qualifier == 0) {
            const ServerInfo info = make_server_info(notice.server, notice.state, notice.online_since);
            ServerInfo& registered = registry_[notice.server];
            const Millis online_since = std::max(registered.online_since, info.online_since);
            registered = info;
            registered.online_since = online_since;
            for (std::uint32_t i = 0; i < sidecars_.size(); ++i)
                schedule(now_ + notice_skew(scenario_, i), EventKind::endpoint_notice, i, event.subject, 1);
            return;
        }
        if (!sidecars_[event.target].policy) return;
        const ServerInfo entry = record_notice(event.target, notice);
        log("told n-%u s-%u %d", event.target, notice.server, static_cast<int>(entry.state));
        handle_event(event.target, ServerList{ListKind::incremental, {entry}});
    }

    // Reports a notice to the checker as delivered to a sidecar. Returns the list entry that it carries.
    ServerInfo record_notice(std::uint32_t sidecar, const EndpointNotice& notice) {
        ServerInfo entry = make_server_info(notice.server, notice.state, notice.online_since);
        entry.online_since = std::max(entry.online_since, registry_[notice.server].online_since);
        checker_.on_endpoint_update(now_, sidecar, notice.server, entry.state,
                                    std::max(0.0, entry.online_since - kModuleTimeAtStart));
        return entry;
    }

    // ---- the event log (the words of its lines are part of the format)
    static unsigned long long ull(std::uint64_t value) { return value; }
    __attribute__((format(printf, 2, 3))) void log(const char* format, ...) {
        char line[192];
        int length = std::snprintf(line, sizeof line, "%.4f ", now_);
        va_list arguments;
        va_start(arguments, format);
        length +=
            std::vsnprintf(line + length, sizeof line - static_cast<std::size_t>(length), format, arguments);
        va_end(arguments);
        length = std::min<int>(length, sizeof line - 2);
        line[length++] = '\n';
        const std::string_view text(line, static_cast<std::size_t>(length));
        ++log_lines_;
        log_hash_ = fnv1a(text, log_hash_);
        if (options_.log) *options_.log << text;
    }

    const Scenario& scenario_;
    const VirtualRunOptions& options_;
    ClientModel clients_;
    ServiceModel service_model_;
    InvariantChecker checker_;
    ServiceMetrics metrics_;
    const std::vector<TimelineStep> steps_;
    const std::vector<EndpointNotice> notices_;
    fault_proxy::Rules link_rules_;
    MessageNetwork message_network_;
    SidecarActivityLog sidecar_log_;
    struct MessageInTransit {
        std::uint32_t from;
        std::string bytes;
    };
    std::unordered_map<std::uint64_t, MessageInTransit> messages_in_transit_;
    std::uint64_t last_message_ = 0;
    std::vector<SimulatedSidecar> sidecars_;
    std::vector<ServerInfo> registry_;
    // By server, the number of its process. Connections that an earlier process had are closed.
    std::vector<std::uint32_t> server_processes_;
    std::vector<Millis> server_event_at_;  // by server; -1: no event is scheduled
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> event_queue_;
    std::uint64_t last_event_ = 0, last_attempt_ = 0, last_idle_connection_ = 0;
    Millis now_ = 0;
    std::size_t next_operation_ = 0, unsent_request_count_ = 0;
    std::unordered_map<ClientRequestId, ClientRequest> unsent_requests_;
    std::unordered_map<ClientRequestId, OpenClientRequest> open_requests_;
    std::unordered_map<std::uint64_t, Attempt> attempts_;
    std::unordered_map<ServerRequestId, std::uint64_t> attempt_of_server_request_;
    ServerModel::Departures departures_;
    Report::AfterRestartReport after_restart_;
    std::uint64_t connection_count_ = 0, log_lines_ = 0, log_hash_ = kFnvOffsetBasis;
};

}  // namespace

Report run_virtual_simulation(const Scenario& scenario, const VirtualRunOptions& options) {
    return VirtualRun(scenario, options).run();
}

}  // namespace elmbay::simulation
