/// @file
/// When a snapshot was taken, on two clocks, and how old it is.
#pragma once

#include <array>
#include <cstdint>

namespace elmbay::state {

/// One instant on the wall clock and on the clock that counts since boot. The time since boot is never set
/// back but says nothing to another boot; the wall clock survives a reboot but may be stepped.
struct Timestamp {
    std::int64_t wall_ms = 0;                ///< Unix time, ms
    std::int64_t since_boot_ms = 0;          ///< CLOCK_BOOTTIME, ms
    std::array<std::uint8_t, 16> boot_id{};  ///< the boot's id; all zero: not known
    bool operator==(const Timestamp&) const = default;
};

/// Now, by this machine's clocks. Thread-safe.
Timestamp current_timestamp();

/// Milliseconds from then to now: by the time since boot where the boot is the same, else by the wall clock.
/// Less than 0: not known, as the wall clock was set back in between: it tells less than nothing, or less
/// than the machine has been up since another boot. A step that shows in neither counts in full: forward it
/// makes the state older, which is believed less; back, younger by no more than the time that the machine was
/// off.
double age_of(const Timestamp& then, const Timestamp& now);

}  // namespace elmbay::state
