/// @file
/// Messages between sidecars in virtual time: the datagrams of "Between sidecars" in PROTOCOL, with the
/// delays, losses and faults of the scenario. Each sidecar sends and receives them through a MembershipAgent.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "simulation/models/random_streams.hpp"
#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

struct OutgoingMessage {
    std::optional<std::uint32_t> to;  ///< Number of a sidecar; nothing: all other sidecars.
    std::string bytes;
};

/// The part of one sidecar process that exchanges messages with other sidecars. A restarted sidecar gets a
/// new agent. It does no I/O and reads no clock. `now` never decreases. Functions append to `messages` what
/// the sidecar sends.
class MembershipAgent {
public:
    virtual ~MembershipAgent() = default;
    virtual void start(Millis now, std::vector<OutgoingMessage>& messages) = 0;
    virtual void on_message(Millis now, std::uint32_t from, std::string_view bytes,
                            std::vector<OutgoingMessage>& messages) = 0;
    /// The host of that sidecar reported the port as unreachable (ICMP).
    virtual void on_port_unreachable(Millis, std::uint32_t, std::vector<OutgoingMessage>&) {}
    /// The sidecar starts its graceful shutdown.
    virtual void leave(Millis, std::vector<OutgoingMessage>&) {}
    /// Returns the number of sidecars that share the servers, or nothing if the agent has no estimate of its
    /// own and the configured number applies.
    virtual std::optional<std::uint32_t> update_siblings(Millis) { return {}; }
    /// To be called at next_timer_at() or later.
    virtual void on_timer(Millis now, std::vector<OutgoingMessage>& messages) = 0;
    /// When on_timer() is due; fault_proxy::kNever: not before the next message.
    virtual Millis next_timer_at() const = 0;
};

/// Sends heartbeats to randomly drawn sidecars at a fixed interval, and ignores messages from others.
class HeartbeatSender : public MembershipAgent {
public:
    HeartbeatSender(const Scenario& scenario, std::uint32_t self, std::uint64_t seed);
    void start(Millis now, std::vector<OutgoingMessage>& messages) override;
    void on_message(Millis, std::uint32_t, std::string_view, std::vector<OutgoingMessage>&) override {}
    void on_timer(Millis now, std::vector<OutgoingMessage>& messages) override;
    Millis next_timer_at() const override { return next_heartbeat_at_; }

private:
    const Scenario& scenario_;
    const std::uint32_t self_;
    Random random_;
    Millis next_heartbeat_at_ = fault_proxy::kNever;
};

/// Applies the link rules of the scenario to each message. Random draws are keyed by the sender, the receiver
/// and the message's number on that link.
class MessageNetwork {
public:
    explicit MessageNetwork(const Scenario& scenario);

    /// One copy of a message that reaches a sidecar.
    struct Delivery {
        std::uint32_t to = 0;
        Millis delay = 0;
        std::string bytes;
    };
    /// Appends the deliveries of one message. The caller drops a delivery if is_cut() holds for its link when
    /// it is due.
    void send(Millis now, std::uint32_t from, const OutgoingMessage& message,
              std::vector<Delivery>& deliveries);
    bool is_cut(Millis now, std::uint32_t from, std::uint32_t to) const;

private:
    void send_to(Millis now, std::uint32_t from, std::uint32_t to, const std::string& bytes,
                 std::vector<Delivery>& deliveries);

    const std::uint32_t sidecar_count_;
    fault_proxy::Rules rules_;
    bool has_cut_rules_ = false;
    std::vector<std::string> sidecar_names_;
    std::unordered_map<std::uint64_t, std::uint64_t> message_counts_;  // by link: (sender << 32) | receiver
};

}  // namespace elmbay::simulation
