#include "state/timestamp.hpp"

#include <algorithm>
#include <boost/uuid/string_generator.hpp>
#include <chrono>
#include <ctime>
#include <fstream>
#include <string>

namespace elmbay::state {

namespace {

using BootId = std::array<std::uint8_t, 16>;

// The value of BootId if the id of the boot is unknown.
constexpr BootId kUnknownBoot{};

BootId read_boot_id() {
    BootId boot{};
    std::string text;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> text;
    try {
        const auto id = boost::uuids::string_generator()(text);
        std::copy(id.begin(), id.end(), boot.begin());
    } catch (const std::exception&) {  // without an id age_of() uses the wall clock
        return {};
    }
    return boot;
}

}  // namespace

Timestamp current_timestamp() {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    using std::chrono::system_clock;
    static const BootId kBoot = read_boot_id();
    timespec uptime{};
    ::clock_gettime(CLOCK_BOOTTIME, &uptime);
    const std::int64_t wall_ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    const std::int64_t since_boot_ms =
        static_cast<std::int64_t>(uptime.tv_sec) * 1000 + uptime.tv_nsec / 1000000;
    return {wall_ms, since_boot_ms, kBoot};
}

double age_of(const Timestamp& taken_at, const Timestamp& now) {
    // Subtracts in floating point, because the difference of two arbitrary integers from a file may overflow.
    const bool same_boot = taken_at.boot_id == now.boot_id && taken_at.boot_id != kUnknownBoot;
    const double age_ms =
        same_boot ? static_cast<double>(now.since_boot_ms) - static_cast<double>(taken_at.since_boot_ms)
                  : static_cast<double>(now.wall_ms) - static_cast<double>(taken_at.wall_ms);
    // A snapshot of a previous boot is at least as old as the current uptime. A wall clock that shows less
    // was set back.
    const bool other_boot =
        taken_at.boot_id != now.boot_id && taken_at.boot_id != kUnknownBoot && now.boot_id != kUnknownBoot;
    const double min_age_ms = other_boot ? static_cast<double>(now.since_boot_ms) : 0;
    return age_ms >= std::max(0.0, min_age_ms) ? age_ms : -1;
}

}  // namespace elmbay::state
