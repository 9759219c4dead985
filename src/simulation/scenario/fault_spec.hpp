/// \file
/// One fault of a scenario: what goes wrong, to whom, and when.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "elmbay/balancer.hpp"

namespace elmbay::simulation {

using balancer::Millis;

/// What can go wrong. Kinds from sidecar_kill on target sidecars; those before it servers, links or clients.
enum class FaultKind {
    crash,                  ///< The server's process ends, its connections are reset; it returns cold.
    machine_cut_off,        ///< The machine falls silent, its connections stay open; it returns cold.
    freeze,                 ///< The server makes no progress for `pulse` every `period`.
    fail_fast,              ///< The server answers `share` of its requests with status 500 at once.
    noisy_neighbour,        ///< Another program takes `share` of the machine, on and off.
    unresponsive,           ///< The server accepts connections and requests and answers none.
    drain,                  ///< Drains, ends after `linger`, and returns cold after `duration`.
    join,                   ///< A server that was off until now starts cold.
    list_delay,             ///< Endpoint list updates are `delay` later than usual.
    load_surge,             ///< Clients send `load_multiple` times the usual rate.
    partition,              ///< Members of different `groups` cannot reach each other.
    one_way_partition,      ///< Nothing of `from` reaches `to`; the other direction works.
    message_loss,           ///< `share` of the messages from `from` to `to` are lost.
    message_delay,          ///< Messages from `from` to `to` are `delay` later, give or take half of it.
    sidecar_kill,           ///< SIGKILL, then started again.
    sidecar_restart,        ///< SIGTERM, then started again.
    sidecar_reload,         ///< The discovery address moves, and SIGHUP announces it.
    sidecar_pause,          ///< The process is stopped, then continues with its old state.
    sidecar_cpu_limit,      ///< The process gets `share` of one core.
    sidecar_other_build,    ///< Restarted from `build`, and restored after `duration`.
    sidecar_other_settings  ///< Restarted with `setting_overrides`, and restored after `duration`.
};

/// Whether the targets of the fault are sidecars.
constexpr bool targets_sidecars(FaultKind kind) { return kind >= FaultKind::sidecar_kill; }
/// Whether the fault ends a server's process.
bool ends_server_process(FaultKind kind);
/// Whether the fault affects datagrams between sidecars.
bool affects_messages(FaultKind kind);
/// Whether the fault affects links: streams, or datagrams between sidecars.
bool affects_links(FaultKind kind);
/// Whether the fault has no target processes, such as one on links or on all clients.
bool has_no_targets(FaultKind kind);

/// One `[[fault]]` of a scenario file. Which fields matter depends on the kind.
struct FaultSpec {
    std::uint32_t line = 0;                   ///< In the file, counted from 1.
    std::string kind_name;                    ///< As the file has it.
    FaultKind kind = FaultKind::crash;        ///< Set from kind_name by validation.
    std::string name;                         ///< For logs and plots; the kind's name if left out.
    Millis start = 0;                         ///< When it begins for its first target.
    Millis duration = 0;                      ///< 0: until the scenario ends.
    std::vector<std::string> targets{"10%"};  ///< Names, shares such as "30%", zones, or "all".
    Millis pulse = 150;                       ///< Kinds that come and go: how long one occurrence lasts.
    Millis period = 2000;                     ///< Kinds that come and go: from one occurrence to the next.
    double share = 0.5;                       ///< Of requests, the machine, messages or a core, by kind.
    Millis delay = 5000;                      ///< list_delay, message_delay: how much later.
    Millis linger = 3000;                     ///< drain: from the drain to the end of the process.
    Millis stagger = 0;                       ///< From the start on one target to the start on the next.
    double load_multiple = 4;                 ///< load_surge: multiple of the usual rate.
    std::string load_shape = "step";          ///< load_surge: step, ramp, doubling, spikes or square.
    std::vector<std::string> groups;  ///< partition: each a text of names; zones mean all their members.
    std::vector<std::string> from;    ///< Faults on one direction of links: the senders.
    std::vector<std::string> to;      ///< Faults on one direction of links: the receivers.
    bool intermittent = false;        ///< Faults on links: active for `pulse` every `period`.
    std::string build;                ///< sidecar_other_build: a policy, or a name given by `--build`.
    std::vector<std::string> setting_overrides;  ///< sidecar_other_settings: such as "siblings=30".
    std::string only_class;  ///< load_surge: the class of the additional requests; empty: all.

    std::vector<std::uint32_t> target_ids;  ///< Servers or sidecars, ascending. Set by validation.

    /// When the fault begins on its target number `nth`, counted from 0.
    Millis start_of(std::size_t nth) const { return start + stagger * static_cast<double>(nth); }
};

}  // namespace elmbay::simulation
