#include "state/moment.hpp"

#include <time.h>

#include <algorithm>
#include <boost/uuid/string_generator.hpp>
#include <chrono>
#include <fstream>

namespace elmbay::state {

namespace {

std::array<std::uint8_t, 16> read_boot() {
    std::array<std::uint8_t, 16> boot{};
    std::string text;
    std::ifstream("/proc/sys/kernel/random/boot_id") >> text;
    try {
        const auto id = boost::uuids::string_generator()(text);
        std::copy(id.begin(), id.end(), boot.begin());
    } catch (const std::exception&) {  // not told: the wall clock has to do
    }
    return boot;
}

}  // namespace

Moment moment_now() {
    using namespace std::chrono;
    static const auto boot = read_boot();
    timespec up{};
    ::clock_gettime(CLOCK_BOOTTIME, &up);
    return {duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count(),
            static_cast<std::int64_t>(up.tv_sec) * 1000 + up.tv_nsec / 1000000, boot};
}

}  // namespace elmbay::state
