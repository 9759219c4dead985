// Messages between sidecars in virtual time: PROTOCOL's "Between sidecars" with the delays, losses and faults
// of the scenario. What speaks and listens beside a decision module is a MembershipAgent.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "simulation/models/random_streams.hpp"
#include "simulation/scenario/scenario.hpp"

namespace elmbay::simulation {

struct Outgoing {
    std::optional<std::uint32_t> to;  // a sidecar; nothing: every other one
    std::string bytes;
};

// One life of it: a restart makes another. No I/O and no clock; `now` never goes back.
class MembershipAgent {
public:
    virtual ~MembershipAgent() = default;
    virtual void begin(Millis now, std::vector<Outgoing>& out) = 0;
    virtual void heard(Millis now, std::uint32_t from, std::string_view bytes,
                       std::vector<Outgoing>& out) = 0;
    // The machine of that sidecar says that nobody listens there.
    virtual void refused(Millis, std::uint32_t, std::vector<Outgoing>&) {}
    // Its sidecar has been told to end.
    virtual void leave(Millis, std::vector<Outgoing>&) {}
    // How many sidecars it holds to share the servers, if it knows more than the settings.
    virtual std::optional<std::uint32_t> siblings(Millis) { return {}; }
    // At next() or later.
    virtual void wake(Millis now, std::vector<Outgoing>& out) = 0;
    virtual Millis next() const = 0;  // fault_proxy::kNever: nothing to do until something is heard
};

// Says that it is there, to some others drawn each time, and listens to nothing.
class Beats : public MembershipAgent {
public:
    Beats(const Scenario& scenario, std::uint32_t self, std::uint64_t seed);
    void begin(Millis now, std::vector<Outgoing>& out) override;
    void heard(Millis, std::uint32_t, std::string_view, std::vector<Outgoing>&) override {}
    void wake(Millis now, std::vector<Outgoing>& out) override;
    Millis next() const override { return next_; }

private:
    const Scenario& scenario_;
    const std::uint32_t self_;
    Random random_;
    Millis next_ = fault_proxy::kNever;
};

// What each message meets on its way. Chance is keyed by the ends and the number of the message on its link.
class MessageNetwork {
public:
    explicit MessageNetwork(const Scenario& scenario);

    struct Delivery {
        std::uint32_t to = 0;
        Millis after = 0;
        std::string bytes;
    };
    // What becomes of one message; it is not delivered if the link is cut() when it is to come.
    void send(Millis now, std::uint32_t from, const Outgoing& message, std::vector<Delivery>& deliveries);
    bool cut(Millis now, std::uint32_t from, std::uint32_t to) const;

private:
    void one(Millis now, std::uint32_t from, std::uint32_t to, const std::string& bytes,
             std::vector<Delivery>& deliveries);

    const std::uint32_t sidecars_;
    fault_proxy::Rules rules_;
    bool cuts_ = false;  // whether any rule ever cuts
    std::vector<std::string> names_;
    std::unordered_map<std::uint64_t, std::uint64_t> numbers_;  // messages of a link so far
};

}  // namespace elmbay::simulation
