#include "simulation/models/message_network.hpp"

#include <algorithm>

namespace elmbay::simulation {

HeartbeatSender::HeartbeatSender(const Scenario& scenario, std::uint32_t self, std::uint64_t seed)
    : scenario_(scenario), self_(self), random_(seed) {}

void HeartbeatSender::start(Millis now, std::vector<OutgoingMessage>&) {
    // The first heartbeat is due at a random time within one interval, so that sidecars that start together
    // do not send together.
    if (scenario_.messages.heartbeat_interval > 0)
        next_heartbeat_at_ = now + scenario_.messages.heartbeat_interval * random_.uniform();
}

void HeartbeatSender::on_timer(Millis now, std::vector<OutgoingMessage>& messages) {
    next_heartbeat_at_ = now + scenario_.messages.heartbeat_interval;
    const std::string bytes(scenario_.messages.heartbeat_bytes, 'b');
    const std::uint64_t other_sidecars = scenario_.sidecars.count - 1;
    if (scenario_.messages.heartbeat_fanout == 0 || scenario_.messages.heartbeat_fanout >= other_sidecars) {
        messages.push_back({{}, bytes});
        return;
    }
    std::vector<std::uint32_t> receivers;
    while (receivers.size() < scenario_.messages.heartbeat_fanout) {
        const auto to = static_cast<std::uint32_t>(random_.below(scenario_.sidecars.count));
        if (to != self_ && std::find(receivers.begin(), receivers.end(), to) == receivers.end())
            receivers.push_back(to);
    }
    for (const std::uint32_t to : receivers) messages.push_back({to, bytes});
}

MessageNetwork::MessageNetwork(const Scenario& scenario)
    : sidecar_count_(static_cast<std::uint32_t>(scenario.sidecars.count)), rules_(scenario.overview.seed) {
    std::vector<fault_proxy::Rule> rules = scenario.message_rules();
    for (fault_proxy::Rule& rule : scenario.link_rules()) {
        has_cut_rules_ = has_cut_rules_ || rule.type == fault_proxy::FaultType::cut;
        rules.push_back(std::move(rule));
    }
    rules_.replace_all(std::move(rules));
    for (std::uint32_t i = 0; i < sidecar_count_; ++i) sidecar_names_.push_back("n-" + std::to_string(i));
}

bool MessageNetwork::is_cut(Millis now, std::uint32_t from, std::uint32_t to) const {
    return has_cut_rules_ &&
           rules_.is_cut({sidecar_names_[from], sidecar_names_[to]}, fault_proxy::Medium::datagram, now);
}

void MessageNetwork::send(Millis now, std::uint32_t from, const OutgoingMessage& message,
                          std::vector<Delivery>& deliveries) {
    if (message.to) {
        if (*message.to < sidecar_count_ && *message.to != from)
            send_to(now, from, *message.to, message.bytes, deliveries);
        return;
    }
    for (std::uint32_t to = 0; to < sidecar_count_; ++to)
        if (to != from) send_to(now, from, to, message.bytes, deliveries);
}

void MessageNetwork::send_to(Millis now, std::uint32_t from, std::uint32_t to, const std::string& bytes,
                             std::vector<Delivery>& deliveries) {
    const std::uint64_t nth = ++message_counts_[(std::uint64_t{from} << 32) | to];
    for (const fault_proxy::Rules::Delivery& delivery :
         rules_.deliver({sidecar_names_[from], sidecar_names_[to]}, nth, bytes.size(), now))
        deliveries.push_back({to, delivery.delay, bytes});
}

}  // namespace elmbay::simulation
