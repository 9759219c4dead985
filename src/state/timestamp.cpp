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

/// A boot whose id is not known.
constexpr BootId kUnknownBoot{};

BootId read_boot_id() {
    BootId boot{};
    std::string text;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> text;
    try {
        const auto id = boost::uuids::string_generator()(text);
        std::copy(id.begin(), id.end(), boot.begin());
    } catch (const std::exception&) {  // the id is not known: age_of() then uses the wall clock
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
    timespec up{};
    ::clock_gettime(CLOCK_BOOTTIME, &up);
    const std::int64_t wall_ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
    const std::int64_t since_boot_ms = static_cast<std::int64_t>(up.tv_sec) * 1000 + up.tv_nsec / 1000000;
    return {wall_ms, since_boot_ms, kBoot};
}

double age_of(const Timestamp& then, const Timestamp& now) {
    // In doubles: the difference of two hostile integers must not overflow.
    const bool same_boot = then.boot_id == now.boot_id && then.boot_id != kUnknownBoot;
    const double age = same_boot
                           ? static_cast<double>(now.since_boot_ms) - static_cast<double>(then.since_boot_ms)
                           : static_cast<double>(now.wall_ms) - static_cast<double>(then.wall_ms);
    // The machine has been up for so long since the other boot: a wall clock that tells less was set back.
    const bool other_boot =
        then.boot_id != now.boot_id && then.boot_id != kUnknownBoot && now.boot_id != kUnknownBoot;
    const double least = other_boot ? static_cast<double>(now.since_boot_ms) : 0;
    return age >= std::max(0.0, least) ? age : -1;
}

}  // namespace elmbay::state
