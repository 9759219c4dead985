/// @file
/// The probes that are under way, and the probes that are made for others (SWIM's failure detector).
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cluster/message.hpp"
#include "cluster/timing.hpp"

namespace elmbay::cluster {

/// Why a member is probed.
enum class ProbePurpose : std::uint8_t {
    regular,      ///< its turn has come; without an answer it is suspected
    final_check,  ///< its suspicion has ended; without an answer it has failed
    courtesy,     ///< it is not present; an answer shows that it is back
};

/// A probe of one member, direct first and then by way of others.
struct Probe {
    std::uint32_t sequence = 0;
    MemberId target = 0;
    ProbePurpose purpose = ProbePurpose::regular;
    Millis started_at = 0;
    Millis retry_at = 0;     ///< when the ping is repeated; 0: no more
    Millis indirect_at = 0;  ///< when helpers are asked to ping the target
    Millis ends_at = 0;      ///< without an answer by then the probe has failed
    bool indirect_started = false;
    std::uint32_t helpers = 0;  ///< that were asked
    std::uint32_t nacks = 0;    ///< that said that they have no answer yet
};

/// What is to be sent for a probe now.
struct ProbeStep {
    /// Who is pinged.
    enum class Kind : std::uint8_t {
        ping,          ///< the target, once more
        indirect_ping  ///< some helpers on our behalf, and the target once more
    };
    Kind kind = Kind::ping;
    std::uint32_t sequence = 0;
    MemberId target = 0;
    ProbePurpose purpose = ProbePurpose::regular;
};

/// The probes that are under way. A value without I/O and clock; not thread-safe. Times are monotonic
/// milliseconds.
class ProbeTracker {
public:
    /// At once; who would begin one more waits.
    static constexpr std::size_t kMaxProbes = 64;

    explicit ProbeTracker(const Timing& timing) : timing_(timing) {}

    /// Whether kMaxProbes are under way.
    bool full() const { return probes_.size() >= kMaxProbes; }
    /// Begins a probe; its first ping is the caller's to send. Only while not full().
    /// @param stretch what timeouts are multiplied by: LocalHealth::multiplier().
    void start(Millis now, MemberId target, ProbePurpose purpose, std::uint32_t sequence, double stretch);
    /// @return what is due, in order; each step is returned once.
    std::vector<ProbeStep> take_due(Millis now);
    /// @return the probes that ended without an answer, which are under way no longer.
    std::vector<Probe> take_expired(Millis now);
    /// An answer came.
    /// @return whether it belongs to a probe, which is then under way no longer.
    bool complete(std::uint32_t sequence, MemberId target);
    /// So many helpers were asked to ping the target; nothing for a probe that has ended.
    void set_helpers(std::uint32_t sequence, std::uint32_t helpers);
    /// A helper reports that the target has not answered it yet; nothing for a probe that has ended.
    void add_nack(std::uint32_t sequence, MemberId target);
    /// @return whether a final probe of that member is under way.
    bool has_final_probe(MemberId target) const;
    /// Drops all probes; nobody fails by it.
    void clear() { probes_.clear(); }
    /// @return when take_due() or take_expired() has something next; infinity if never.
    Millis next_due() const;
    /// @return the probes that are under way, the oldest first.
    const std::vector<Probe>& running() const { return probes_; }

private:
    Timing timing_;
    std::vector<Probe> probes_;
};

/// A ping that is sent on behalf of another member.
struct Relay {
    std::uint32_t sequence = 0;        ///< of our ping
    std::uint32_t asker_sequence = 0;  ///< of the asker's probe
    MemberId target = 0;
    MemberId asker = 0;
    Millis nack_at = 0;
    Millis ends_at = 0;
    bool nacked = false;
};

/// Pings that were sent for others and are not answered yet. A value without I/O and clock; not thread-safe.
class RelayTracker {
public:
    /// At once; requests beyond that are dropped.
    static constexpr std::size_t kMaxRelays = 32;

    explicit RelayTracker(const Timing& timing) : timing_(timing) {}

    /// Whether kMaxRelays are under way.
    bool full() const { return relays_.size() >= kMaxRelays; }
    /// Only while not full(); the ping is the caller's to send.
    void start(Millis now, MemberId target, MemberId asker, std::uint32_t sequence,
               std::uint32_t asker_sequence);
    /// @return the relay that this answer belongs to, which ends; nothing if it belongs to none.
    std::optional<Relay> complete(std::uint32_t sequence, MemberId target);
    /// @return relays whose asker is to hear now that there is no answer yet; each once.
    std::vector<Relay> take_due(Millis now);
    /// Drops the relays that have no answer by their end.
    void drop_expired(Millis now);
    /// Drops all relays.
    void clear() { relays_.clear(); }
    /// @return when something is due next; infinity if never.
    Millis next_due() const;
    /// @return the relays that are under way, the oldest first.
    const std::vector<Relay>& running() const { return relays_; }

private:
    Timing timing_;
    std::vector<Relay> relays_;
};

}  // namespace elmbay::cluster
