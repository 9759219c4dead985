/// @file
/// Pending probes and pending relayed pings of SWIM's failure detector.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"
#include "cluster/timing.hpp"

namespace elmbay::cluster {

/// The purpose of a probe.
enum class ProbePurpose : std::uint8_t {
    regular,       ///< periodic probe; if it fails, the target is suspected
    final_check,   ///< probe at the end of a suspicion; if it fails, the target is set to failed
    rejoin_check,  ///< probe of a member that is not present; an answer shows that it is back
};

/// A probe of one member: direct pings first, then pings through helpers.
struct Probe {
    std::uint32_t sequence = 0;
    MemberId target = 0;
    ProbePurpose purpose = ProbePurpose::regular;
    Millis started_at = 0;
    Millis retry_at = 0;     ///< time of the next repetition of the ping; 0: none
    Millis indirect_at = 0;  ///< time of the requests to helpers
    Millis ends_at = 0;      ///< time at which the probe fails without an answer
    bool indirect_started = false;
    std::uint32_t helpers = 0;  ///< number of helpers that were requested to ping the target
    std::uint32_t nacks = 0;    ///< number of helpers that reported that they have no answer yet
};

/// A message to send for a probe.
struct ProbeStep {
    /// The type of the step.
    enum class Kind : std::uint8_t {
        ping,          ///< ping the target once more
        indirect_ping  ///< request helpers to ping the target, and ping it once more directly
    };
    Kind kind = Kind::ping;
    std::uint32_t sequence = 0;
    MemberId target = 0;
    ProbePurpose purpose = ProbePurpose::regular;
};

/// The pending probes. A value type without I/O and clock; not thread-safe. Times are monotonic milliseconds.
class ProbeTracker {
public:
    /// Maximum number of pending probes. While it is reached, the caller delays further probes.
    static constexpr std::size_t kMaxProbes = 64;

    explicit ProbeTracker(const Timing& timing) : timing_(timing) {}

    /// @return whether kMaxProbes are pending.
    bool full() const { return probes_.size() >= kMaxProbes; }
    /// Starts a probe. The caller sends its first ping. Precondition: not full().
    /// @param timeout_multiplier factor for the timeouts: LocalHealth::multiplier().
    void start(Millis now, MemberId target, ProbePurpose purpose, std::uint32_t sequence,
               double timeout_multiplier);
    /// @return the steps that are due, in order; each step is returned once.
    std::vector<ProbeStep> take_due(Millis now);
    /// Removes the probes that ended without an answer.
    /// @return the removed probes.
    std::vector<Probe> take_expired(Millis now);
    /// Handles an answer, and removes the probe that it belongs to.
    /// @return whether the answer belongs to a pending probe.
    bool complete(std::uint32_t sequence, MemberId target);
    /// Sets how many helpers were requested to ping the target. Has no effect on a probe that has ended.
    void set_helpers(std::uint32_t sequence, std::uint32_t helpers);
    /// Counts the nack of a helper that has no answer from the target yet. Has no effect on a probe that has
    /// ended.
    void add_nack(std::uint32_t sequence, MemberId target);
    /// @return whether a final probe of the member is pending.
    bool has_final_probe(MemberId target) const;
    /// Drops all probes without a result.
    void clear() { probes_.clear(); }
    /// @return the next time at which take_due() or take_expired() returns something; infinity if there is
    /// none.
    Millis next_due() const;
    /// @return the pending probes, oldest first.
    const std::vector<Probe>& running() const { return probes_; }

private:
    Timing timing_;
    std::vector<Probe> probes_;
};

/// A ping that is sent on behalf of another member.
struct Relay {
    std::uint32_t sequence = 0;            ///< sequence of the relayed ping
    std::uint32_t requester_sequence = 0;  ///< sequence of the requester's probe
    MemberId target = 0;
    MemberId requester = 0;
    Millis nack_at = 0;
    Millis ends_at = 0;
    bool nack_sent = false;
};

/// The pending pings that were sent on behalf of other members. A value type without I/O and clock; not
/// thread-safe. Times are monotonic milliseconds.
class RelayTracker {
public:
    /// Maximum number of pending relays. The caller drops requests beyond it.
    static constexpr std::size_t kMaxRelays = 32;

    explicit RelayTracker(const Timing& timing) : timing_(timing) {}

    /// @return whether kMaxRelays are pending.
    bool full() const { return relays_.size() >= kMaxRelays; }
    /// Starts a relay. The caller sends the ping. Precondition: not full().
    void start(Millis now, MemberId target, MemberId requester, std::uint32_t sequence,
               std::uint32_t requester_sequence);
    /// Handles an answer, and removes the relay that it belongs to.
    /// @return the removed relay; nothing if the answer belongs to none.
    std::optional<Relay> complete(std::uint32_t sequence, MemberId target);
    /// @return the relays for which a nack is due, each once.
    std::vector<Relay> take_due(Millis now);
    /// Drops the relays that have ended without an answer.
    void drop_expired(Millis now);
    /// Drops all relays.
    void clear() { relays_.clear(); }
    /// @return the time of the next nack or expiry; infinity if there is none.
    Millis next_due() const;
    /// @return the pending relays, oldest first.
    const std::vector<Relay>& running() const { return relays_; }

private:
    Timing timing_;
    std::vector<Relay> relays_;
};

}  // namespace elmbay::cluster
