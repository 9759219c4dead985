#include "balancer/server_age.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace elmbay::balancer {

bool ServerAges::Record::knows(Millis start) const {
    return std::find(starts.begin(), starts.end(), start) != starts.end();
}

void ServerAges::Record::add(Millis start, Millis now) {
    newest = (newest + 1) % kMaxProcesses;
    starts[newest] = start;
    heard_at = now;
}

void ServerAges::record_list(const ServerList& list, Millis now) {
    if (list.kind == ListKind::failed) return;
    const bool is_whole = list.kind != ListKind::incremental;
    if (is_whole) {
        for (auto& [id, record] : records_) record.listed = false;
        listed_count_ = 0;
    }
    std::vector<Start> starts;
    for (const ServerInfo& info : list.servers) {
        const bool is_listed = info.state != EndpointState::removed;
        const auto entry = is_listed ? records_.try_emplace(info.id).first : records_.find(info.id);
        if (entry == records_.end()) continue;  // never known, and already gone
        const bool was_listed = std::exchange(entry->second.listed, is_listed);
        listed_count_ += is_listed;
        listed_count_ -= was_listed;
        if (!list.wall_time) {
            record_exact_start(info);
        } else if (is_listed && record_start(info, now)) {
            starts.push_back({info.id, info.online_since});
        }
    }
    if (!starts.empty()) assign_start_times(std::move(starts), list, now);
}

void ServerAges::record_exact_start(const ServerInfo& info) {
    Record& record = records_.at(info.id);
    const bool is_first = record.process.number == 0;
    if (is_first || info.online_since > record.starts[record.newest]) ++record.process.number;
    record.starts[record.newest] = info.online_since;
    record.process.started_at = info.online_since > 0 ? info.online_since : kLongAgo;
}

bool ServerAges::record_start(const ServerInfo& info, Millis now) {
    Record& record = records_.at(info.id);
    if (record.process.number == 0) record.process.number = 1;
    // A start of 0 says nothing new of a server that is known: its process stays the one that was heard of.
    const bool has_start = info.online_since > 0;
    if (!has_start || record.knows(info.online_since)) return false;
    record.add(info.online_since, now);
    return true;
}

void ServerAges::assign_start_times(std::vector<Start> starts, const ServerList& list, Millis now) {
    const bool is_first_list = std::isinf(list.list_age_bound);
    const bool may_be_older = list.list_age_bound > kMaxTrustedListAge;
    // Few servers in slow start cost little. Then no claimed start needs to be trusted.
    const bool are_many = is_first_list || starts.size() > doubted_count();
    if (may_be_older && are_many) return assign_start_times_by_claims(std::move(starts), list, now);
    for (const Start& start : starts) begin_process(start.server, now);
}

void ServerAges::assign_start_times_by_claims(std::vector<Start> starts, const ServerList& list, Millis now) {
    const EarliestWallTimes earliest = earliest_wall_times(now);
    // Two servers whose clocks agree that it is later are not both wrong: then our clock is behind.
    const Millis wall_time = std::max(*list.wall_time, earliest.second);
    std::sort(starts.begin(), starts.end(),
              [](const Start& a, const Start& b) { return a.claimed > b.claimed; });
    std::size_t left_to_doubt = doubted_count();
    for (const Start& start : starts) {
        Millis age = std::min(wall_time - start.claimed, list.list_age_bound);
        if (left_to_doubt > 0) {
            --left_to_doubt;
            age = std::min(age, earliest.without(start.server) - start.claimed);
        }
        begin_process(start.server, now - std::max(0.0, age));
    }
}

// At least one, as the server that has just started may be one of two or three. None where it is the only
// one, as then nobody else could serve.
std::size_t ServerAges::doubted_count() const {
    if (listed_count_ < 2) return 0;
    const double doubted = kDoubtedShare * static_cast<double>(listed_count_);
    return std::max<std::size_t>(1, static_cast<std::size_t>(doubted));
}

ServerAges::EarliestWallTimes ServerAges::earliest_wall_times(Millis now) const {
    EarliestWallTimes earliest;
    for (const auto& [id, record] : records_) {
        const bool has_start = record.starts[record.newest] > 0;
        if (!has_start) continue;
        const Millis time = record.earliest_wall_time(now);
        if (time > earliest.first) {
            earliest = {time, earliest.first, id};
        } else {
            earliest.second = std::max(earliest.second, time);
        }
    }
    return earliest;
}

// Never before an earlier process of the same server.
void ServerAges::begin_process(ServerId id, Millis started_at) {
    Process& process = records_.at(id).process;
    process = {process.number + 1, std::max(process.started_at, started_at)};
}

ServerAges::Process ServerAges::process_of(ServerId id) const {
    const auto entry = records_.find(id);
    return entry == records_.end() ? Process{} : entry->second.process;
}

void ServerAges::forget(ServerId id) {
    const auto entry = records_.find(id);
    if (entry == records_.end()) return;
    const bool was_listed = std::exchange(entry->second.listed, false);
    listed_count_ -= was_listed;
    departed_.push_back(id);
    if (departed_.size() <= kMaxDeparted) return;
    const auto oldest = records_.find(departed_.front());
    if (oldest != records_.end() && !oldest->second.listed) records_.erase(oldest);
    departed_.pop_front();
}

}  // namespace elmbay::balancer
