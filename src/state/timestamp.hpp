/// @file
/// The time at which a snapshot was taken, on two clocks, and the age of a snapshot.
#pragma once

#include <array>
#include <cstdint>

namespace elmbay::state {

/// One instant on the wall clock and on the boot-time clock (CLOCK_BOOTTIME). The time since boot never steps
/// back, but it is comparable only within one boot. The wall clock is comparable across reboots, but it may
/// be stepped.
struct Timestamp {
    std::int64_t wall_ms = 0;                ///< Unix time, ms
    std::int64_t since_boot_ms = 0;          ///< CLOCK_BOOTTIME, ms
    std::array<std::uint8_t, 16> boot_id{};  ///< identifies the boot; all zero if unknown
    bool operator==(const Timestamp&) const = default;
};

/// Returns the current time on both clocks of this host. Thread-safe.
Timestamp current_timestamp();

/// Returns the milliseconds from `taken_at` to `now`: the difference of the times since boot if both are of
/// the same boot, else the difference on the wall clock. Returns a negative value if the age is unknown,
/// because the wall clock was set back in between: the age by the wall clock is negative, or less than the
/// uptime since a different boot. A smaller step of the wall clock cannot be detected and changes the age by
/// its full size. A step forward makes the state older, which reduces its weight. A step back makes it
/// younger by at most the time during which the machine was off.
double age_of(const Timestamp& taken_at, const Timestamp& now);

}  // namespace elmbay::state
