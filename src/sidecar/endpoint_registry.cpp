#include "sidecar/endpoint_registry.hpp"

#include <algorithm>

namespace elmbay {

using balancer::EndpointState;
using balancer::ListKind;
using balancer::ServerId;

ServerId EndpointRegistry::reserve_number(const std::string& uid) { return numbers_.reserve(uid); }

const EndpointRegistry::Entry* EndpointRegistry::find(ServerId id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

EndpointRegistry::Update EndpointRegistry::apply(ListKind kind, const std::vector<Target>& targets) {
    Update update;
    ++lists_applied_;
    if (kind != ListKind::incremental) withdraw_all();
    update.changes.reserve(targets.size());
    for (const Target& target : targets) apply_target(target, update);
    for (const auto& [uid, position] : withdrawn_) {
        ++visit_count_;
        update.withdrawn.push_back(position->second.info.id);
    }
    return update;
}

void EndpointRegistry::withdraw_all() {
    for (auto position = entries_.begin(); position != entries_.end(); ++position) {
        set_listed(position, false);
    }
}

void EndpointRegistry::apply_target(const Target& target, Update& update) {
    if (should_skip(target, update)) return;
    const auto position = find_or_add(target.uid);
    Entry& entry = position->second;
    set_info(entry, target);
    set_listed(position, false);  // removes the entry under its earlier address
    entry.endpoint = target.endpoint;
    if (target.state != EndpointState::removed) claim_address(position, update);
    update.changes.push_back({entry.info, entry.endpoint, entry.info.state == EndpointState::active});
    update.any_active = update.any_active || target.state == EndpointState::active;
}

bool EndpointRegistry::should_skip(const Target& target, Update& update) const {
    if (entries_.contains(target.uid)) return false;
    if (target.state == EndpointState::removed) return true;  // unknown or forgotten
    if (has_capacity(target)) return false;
    ++update.skipped;
    return true;
}

bool EndpointRegistry::has_capacity(const Target& target) const {
    return listed_count() < kMaxListed && entries_.size() < kMaxEntries && target.uid.size() <= kMaxUidBytes;
}

EndpointRegistry::Position EndpointRegistry::find_or_add(const std::string& uid) {
    const auto [position, added] = entries_.try_emplace(uid);
    ++visit_count_;
    if (!added) return position;
    const ServerId id = numbers_.assign(uid);
    position->second.info.id = id;
    by_id_.emplace(id, &position->second);
    withdrawn_.emplace(position->first, position);
    return position;
}

void EndpointRegistry::set_info(Entry& entry, const Target& target) {
    const bool is_other_process = target.online_since > 0 && target.online_since != entry.info.online_since;
    if (entry.first_list == 0 || is_other_process) entry.first_list = lists_applied_;
    entry.info.zone = name_number(zones_, target.zone);
    entry.info.machine_type = name_number(machine_types_, target.machine_type);
    entry.info.cell = target.cell;
    entry.info.state = target.state;
    entry.info.online_since = target.online_since;
    entry.info.weight = target.weight;
}

void EndpointRegistry::set_listed(Position position, bool listed) {
    ++visit_count_;
    Entry& entry = position->second;
    if (entry.listed == listed) return;
    entry.listed = listed;
    if (listed) {
        withdrawn_.erase(position->first);
        by_endpoint_.insert_or_assign(entry.endpoint, position);
    } else {
        withdrawn_.emplace(position->first, position);
        by_endpoint_.erase(entry.endpoint);
    }
}

bool EndpointRegistry::has_later_process(const Entry& entry, const Entry& other) {
    if (entry.first_list != other.first_list) return entry.first_list > other.first_list;
    return entry.info.online_since > other.info.online_since;
}

void EndpointRegistry::claim_address(Position claimant, Update& update) {
    const auto found = by_endpoint_.find(claimant->second.endpoint);
    if (found == by_endpoint_.end()) {
        set_listed(claimant, true);
        return;
    }
    const Position holder = found->second;
    if (has_later_process(holder->second, claimant->second)) {
        claimant->second.info.state = EndpointState::removed;
        return;
    }
    set_listed(holder, false);
    holder->second.info.state = EndpointState::removed;
    update.changes.push_back({holder->second.info, {}, false});
    set_listed(claimant, true);
}

// Returns the number of a name. All names beyond kMaxNames share number 0.
std::uint32_t EndpointRegistry::name_number(std::vector<std::string>& names, const std::string& name) {
    const bool is_known = std::find(names.begin(), names.end(), name) != names.end();
    if (!is_known && names.size() >= kMaxNames) return 0;
    return balancer::intern_name(names, name);
}

}  // namespace elmbay
