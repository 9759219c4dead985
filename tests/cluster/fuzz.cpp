// Whatever bytes come from a peer's address: no crash, tables that add up, datagrams that keep their bound.
#include <cstdlib>

#include "cluster/membership.hpp"

using namespace elmbay::cluster;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    constexpr std::uint32_t kCount = 5;
    Membership members({0, kCount, kCount, 7, {}}, 1000, IncarnationClock::kEpoch + 1e11);
    elmbay::cluster::Millis now = 1000;
    // A byte for the place and the time, one for the length, then so many bytes.
    while (size > 2) {
        now += data[0] * 4;
        const std::size_t length = std::min<std::size_t>(data[1], size - 2);
        members.on_datagram(now, data[0] % (kCount + 1), {reinterpret_cast<const char*>(data) + 2, length});
        if (members.next_due() <= now) members.on_timer(now);
        data += 2 + length;
        size -= 2 + length;
        for (const Datagram& datagram : members.take_datagrams()) {
            if (datagram.bytes.size() > Message::kMaxBytes) std::abort();
            if (datagram.to >= kCount || datagram.address_index >= kCount) std::abort();
        }
        members.take_changes();
        const Headcount headcount = members.headcount();
        if (headcount.present + headcount.silent + headcount.ended != kCount) std::abort();
        if (members.update_siblings(now) < 1) std::abort();
    }
    return 0;
}
