// Fuzzes Membership with bytes from a peer's address. It must not crash, the counts of its table must add up,
// and its datagrams must not exceed their maximum size.
#include <cstdlib>

#include "cluster/membership.hpp"

using namespace elmbay::cluster;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr std::uint32_t kMemberCount = 5;
    Membership membership({0, kMemberCount, kMemberCount, 7, {}}, 1000, IncarnationClock::kEpoch + 1e11);
    elmbay::cluster::Millis now = 1000;
    // Input: one byte for the address index and the time step, one for the length, then the datagram.
    while (size > 2) {
        now += data[0] * 4;
        const std::size_t length = std::min<std::size_t>(data[1], size - 2);
        membership.on_datagram(now, data[0] % (kMemberCount + 1),
                               {reinterpret_cast<const char*>(data) + 2, length});
        if (membership.next_due() <= now) membership.on_timer(now);
        data += 2 + length;
        size -= 2 + length;
        for (const Datagram& datagram : membership.take_datagrams()) {
            if (datagram.bytes.size() > Message::kMaxBytes) std::abort();
            if (datagram.to >= kMemberCount || datagram.address_index >= kMemberCount) std::abort();
        }
        membership.take_changes();
        const MemberCounts counts = membership.member_counts();
        if (counts.present + counts.failed + counts.ended != kMemberCount) std::abort();
        if (membership.update_siblings(now) < 1) std::abort();
    }
    return 0;
}
