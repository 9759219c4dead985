/// @file
/// One fault of a scenario: its kind, targets, time and parameters.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

using balancer::Millis;

/// Kinds of faults. The kinds from sidecar_kill on target sidecars. The kinds before it target servers, links
/// or clients.
enum class FaultKind {
    crash,                ///< The server process ends and its connections are reset. It restarts cold.
    machine_cut_off,      ///< The machine stops sending; its connections stay open. It restarts cold.
    freeze,               ///< The server makes no progress for `pulse` every `period`.
    fail_fast,            ///< The server responds to `share` of its requests with status 500 immediately.
    noisy_neighbour,      ///< Another program periodically uses `share` of the machine.
    unresponsive,         ///< The server accepts connections and requests and sends no response.
    drain,                ///< The server drains, ends after `linger`, and restarts cold after `duration`.
    join,                 ///< A server that was not running before starts cold.
    list_delay,           ///< Endpoint list updates arrive `delay` later than usual.
    load_surge,           ///< Clients send at `load_multiple` times the usual rate.
    partition,            ///< Members of different `groups` cannot reach each other.
    one_way_partition,    ///< Data from `from` does not reach `to`; the other direction works.
    message_loss,         ///< `share` of the messages from `from` to `to` are lost.
    message_delay,        ///< Messages from `from` to `to` are delayed by `delay`, plus or minus half of it.
    sidecar_kill,         ///< The process is ended with SIGKILL and started again.
    sidecar_restart,      ///< The process is ended with SIGTERM and started again.
    sidecar_reload,       ///< The discovery address changes, and SIGHUP makes the sidecar reload it.
    sidecar_pause,        ///< The process is suspended, then continues with its old state.
    sidecar_cpu_limit,    ///< The process is limited to `share` of one core.
    sidecar_other_build,  ///< The sidecar is restarted from `build`, and restored after `duration`.
    sidecar_other_settings  ///< The sidecar is restarted with `setting_overrides`, and restored after
                            ///< `duration`.
};

/// Whether the targets of the fault are sidecars.
constexpr bool targets_sidecars(FaultKind kind) { return kind >= FaultKind::sidecar_kill; }
/// Whether the fault ends the process of a server.
bool ends_server_process(FaultKind kind);
/// Whether the fault affects datagrams between sidecars.
bool affects_messages(FaultKind kind);
/// Whether the fault affects links: streams, or datagrams between sidecars.
bool affects_links(FaultKind kind);
/// Whether the fault has no target processes, such as one on links or on all clients.
bool has_no_targets(FaultKind kind);

/// One `[[fault]]` of a scenario file. The kind determines which fields apply.
struct FaultSpec {
    std::uint32_t line = 0;                   ///< Line in the file, counted from 1.
    std::string kind_name;                    ///< The kind as written in the file.
    FaultKind kind = FaultKind::crash;        ///< Set from kind_name by validation.
    std::string name;                         ///< Name in logs and plots; the name of the kind by default.
    Millis start = 0;                         ///< Start of the fault on its first target.
    Millis duration = 0;                      ///< 0: the fault lasts until the scenario ends.
    std::vector<std::string> targets{"10%"};  ///< Process names, shares such as "30%", zones, or "all".
    Millis pulse = 150;                       ///< Recurring kinds: duration of one occurrence.
    Millis period = 2000;             ///< Recurring kinds: from the start of one occurrence to the next.
    double share = 0.5;               ///< Affected share of requests, machine, messages or a core, by kind.
    Millis delay = 5000;              ///< list_delay, message_delay: additional delay.
    Millis linger = 3000;             ///< drain: time from the drain notice to the end of the process.
    Millis stagger = 0;               ///< Time from the start on one target to the start on the next.
    double load_multiple = 4;         ///< load_surge: factor on the usual rate.
    std::string load_shape = "step";  ///< load_surge: shape: step, ramp, doubling, spikes or square.
    std::vector<std::string> groups;  ///< partition: each is a space-separated list of names; a zone stands
                                      ///< for all of its members.
    std::vector<std::string> from;    ///< Faults on one direction of links: senders.
    std::vector<std::string> to;      ///< Faults on one direction of links: receivers.
    bool intermittent = false;  ///< Faults on links: whether they are active only for `pulse` every `period`.
    std::string build;          ///< sidecar_other_build: a policy name, or a name defined by `--build`.
    std::vector<std::string> setting_overrides;  ///< sidecar_other_settings: entries such as "siblings=30".
    std::string only_class;  ///< load_surge: class of the additional requests; empty: all classes.

    std::vector<std::uint32_t>
        target_ids;  ///< Numbers of the target servers or sidecars, ascending. Set by validation.

    /// Start of the fault on target number `nth`, counted from 0.
    Millis start_of(std::size_t nth) const { return start + stagger * static_cast<double>(nth); }
};

}  // namespace elmbay::simulation
