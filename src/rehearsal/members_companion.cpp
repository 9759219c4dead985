#include "rehearsal/members_companion.hpp"

namespace elmbay::rehearsal {

MembersCompanion::MembersCompanion(const Incident& incident, std::uint32_t self, std::uint64_t seed,
                                   Millis now, Millis unix)
    : members_({self,
                static_cast<std::uint32_t>(incident.sidecars.count),
                static_cast<std::uint32_t>(incident.sidecars.count),
                seed,
                {}},
               now, unix + now) {}

void MembersCompanion::begin(Millis, std::vector<Outgoing>& out) { send(out); }
void MembersCompanion::heard(Millis now, std::uint32_t from, std::string_view bytes,
                             std::vector<Outgoing>& out) {
    members_.heard(now, from, bytes);
    send(out);
}
void MembersCompanion::refused(Millis now, std::uint32_t whom, std::vector<Outgoing>& out) {
    members_.refused(now, whom);
    send(out);
}
void MembersCompanion::leave(Millis now, std::vector<Outgoing>& out) {
    members_.leave(now);
    send(out);
}
void MembersCompanion::wake(Millis now, std::vector<Outgoing>& out) {
    members_.wake(now);
    send(out);
}
void MembersCompanion::send(std::vector<Outgoing>& out) {
    for (cluster::Datagram& d : members_.take_datagrams())
        out.push_back({d.address_index, std::move(d.bytes)});
    members_.take_changes();
}

}  // namespace elmbay::rehearsal
