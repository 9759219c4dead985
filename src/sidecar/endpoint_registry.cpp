#include "sidecar/endpoint_registry.hpp"

#include <algorithm>

namespace elmbay {

using balancer::EndpointState;
using balancer::ListKind;
using balancer::ServerId;

ServerId EndpointRegistry::reserve(const std::string& uid) { return numbers_.reserve(uid); }

const EndpointRegistry::Entry* EndpointRegistry::find(ServerId id) const {
    const auto at = by_id_.find(id);
    return at == by_id_.end() ? nullptr : at->second;
}

EndpointRegistry::Update EndpointRegistry::apply(ListKind kind, const std::vector<Target>& targets) {
    Update update;
    ++lists_;
    if (kind != ListKind::incremental)
        for (auto at = entries_.begin(); at != entries_.end(); ++at) set_listed(at, false);
    update.changes.reserve(targets.size());
    for (const Target& target : targets) take(target, update);
    for (const auto& [uid, at] : withdrawn_) {
        ++visited_;
        update.withdrawn.push_back(at->second.info.id);
    }
    return update;
}

void EndpointRegistry::take(const Target& target, Update& update) {
    if (!entries_.contains(target.uid)) {
        if (target.state == EndpointState::removed) return;  // never known, or forgotten
        if (!has_place(target)) {
            ++update.passed_over;
            return;
        }
    }
    const Position at = find_or_add(target.uid);
    Entry& entry = at->second;
    const bool other_process = target.online_since > 0 && target.online_since != entry.info.online_since;
    if (entry.first_told == 0 || other_process) entry.first_told = lists_;
    entry.info = {entry.info.id,
                  name_number(zones_, target.zone),
                  name_number(machine_types_, target.machine_type),
                  target.cell,
                  target.state,
                  target.online_since,
                  target.weight};
    set_listed(at, false);  // under its earlier address
    entry.endpoint = target.endpoint;
    if (target.state != EndpointState::removed) displace(at, update);
    update.changes.push_back({entry.info, entry.endpoint, entry.info.state == EndpointState::active});
    update.any_active = update.any_active || target.state == EndpointState::active;
}

bool EndpointRegistry::has_place(const Target& target) const {
    return listed() < kMaxListed && entries_.size() < kMaxEntries && target.uid.size() <= kMaxUid;
}

EndpointRegistry::Position EndpointRegistry::find_or_add(const std::string& uid) {
    const auto [at, added] = entries_.try_emplace(uid);
    ++visited_;
    if (!added) return at;
    const ServerId id = numbers_.take(uid);
    at->second.info.id = id;
    by_id_.emplace(id, &at->second);
    withdrawn_.emplace(at->first, at);
    return at;
}

void EndpointRegistry::set_listed(Position at, bool listed) {
    ++visited_;
    Entry& entry = at->second;
    if (entry.listed == listed) return;
    entry.listed = listed;
    if (listed) {
        withdrawn_.erase(at->first);
        by_endpoint_.insert_or_assign(entry.endpoint, at);
    } else {
        withdrawn_.emplace(at->first, at);
        by_endpoint_.erase(entry.endpoint);
    }
}

bool EndpointRegistry::started_later(const Entry& a, const Entry& b) {
    if (a.first_told != b.first_told) return a.first_told > b.first_told;
    return a.info.online_since > b.info.online_since;
}

void EndpointRegistry::displace(Position arrived, Update& update) {
    const auto there = by_endpoint_.find(arrived->second.endpoint);
    if (there == by_endpoint_.end()) return set_listed(arrived, true);
    const Position other = there->second;
    if (started_later(other->second, arrived->second)) {
        arrived->second.info.state = EndpointState::removed;
        return;
    }
    set_listed(other, false);
    other->second.info.state = EndpointState::removed;
    update.changes.push_back({other->second.info, {}, false});
    set_listed(arrived, true);
}

std::uint32_t EndpointRegistry::name_number(std::vector<std::string>& names, const std::string& name) {
    const bool known = std::find(names.begin(), names.end(), name) != names.end();
    return known || names.size() < kMaxNames ? balancer::intern_name(names, name) : 0;
}

}  // namespace elmbay
