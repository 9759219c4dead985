// The program's own membership (cluster/membership.hpp) beside a decision module in virtual time.
#pragma once

#include "cluster/membership.hpp"
#include "rehearsal/messages.hpp"

namespace elmbay::rehearsal {

class MembersCompanion : public Companion {
public:
    // unix: Unix ms of the rehearsal's time 0.
    MembersCompanion(const Incident& incident, std::uint32_t self, std::uint64_t seed, Millis now,
                     Millis unix);
    void begin(Millis now, std::vector<Outgoing>& out) override;
    void heard(Millis now, std::uint32_t from, std::string_view bytes, std::vector<Outgoing>& out) override;
    void refused(Millis now, std::uint32_t whom, std::vector<Outgoing>& out) override;
    void leave(Millis now, std::vector<Outgoing>& out) override;
    void wake(Millis now, std::vector<Outgoing>& out) override;
    Millis next() const override { return members_.next(); }
    std::optional<std::uint32_t> siblings(Millis now) override { return members_.siblings(now); }

private:
    void send(std::vector<Outgoing>& out);
    cluster::Membership members_;
};

}  // namespace elmbay::rehearsal
