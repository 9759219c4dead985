#include "simulation/models/message_network.hpp"

#include <algorithm>

namespace elmbay::simulation {

Beats::Beats(const Scenario& scenario, std::uint32_t self, std::uint64_t seed)
    : scenario_(scenario), self_(self), random_(seed) {}

void Beats::begin(Millis now, std::vector<Outgoing>&) {
    // The first within one round, so that sidecars that start together don't speak together.
    if (scenario_.messages.heartbeat_interval > 0)
        next_ = now + scenario_.messages.heartbeat_interval * random_.uniform();
}

void Beats::wake(Millis now, std::vector<Outgoing>& out) {
    next_ = now + scenario_.messages.heartbeat_interval;
    const std::string bytes(scenario_.messages.heartbeat_bytes, 'b');
    const std::uint64_t others = scenario_.sidecars.count - 1;
    if (scenario_.messages.heartbeat_fanout == 0 || scenario_.messages.heartbeat_fanout >= others) {
        out.push_back({{}, bytes});
        return;
    }
    std::vector<std::uint32_t> drawn;
    while (drawn.size() < scenario_.messages.heartbeat_fanout) {
        const auto to = static_cast<std::uint32_t>(random_.below(scenario_.sidecars.count));
        if (to != self_ && std::find(drawn.begin(), drawn.end(), to) == drawn.end()) drawn.push_back(to);
    }
    for (const std::uint32_t to : drawn) out.push_back({to, bytes});
}

MessageNetwork::MessageNetwork(const Scenario& scenario)
    : sidecars_(static_cast<std::uint32_t>(scenario.sidecars.count)), rules_(scenario.overview.seed) {
    std::vector<fault_proxy::Rule> rules = scenario.message_rules();
    for (fault_proxy::Rule& rule : scenario.link_rules()) {
        cuts_ = cuts_ || rule.type == fault_proxy::FaultType::cut;
        rules.push_back(std::move(rule));
    }
    rules_.replace_all(std::move(rules));
    for (std::uint32_t i = 0; i < sidecars_; ++i) names_.push_back("n-" + std::to_string(i));
}

bool MessageNetwork::cut(Millis now, std::uint32_t from, std::uint32_t to) const {
    return cuts_ && rules_.is_cut({names_[from], names_[to]}, fault_proxy::Medium::datagram, now);
}

void MessageNetwork::send(Millis now, std::uint32_t from, const Outgoing& message,
                          std::vector<Delivery>& deliveries) {
    if (message.to) {
        if (*message.to < sidecars_ && *message.to != from)
            one(now, from, *message.to, message.bytes, deliveries);
        return;
    }
    for (std::uint32_t to = 0; to < sidecars_; ++to)
        if (to != from) one(now, from, to, message.bytes, deliveries);
}

void MessageNetwork::one(Millis now, std::uint32_t from, std::uint32_t to, const std::string& bytes,
                         std::vector<Delivery>& deliveries) {
    const std::uint64_t nth = ++numbers_[(std::uint64_t{from} << 32) | to];
    for (const fault_proxy::Rules::Delivery& d :
         rules_.deliver({names_[from], names_[to]}, nth, bytes.size(), now))
        deliveries.push_back({to, d.delay, bytes});
}

}  // namespace elmbay::simulation
