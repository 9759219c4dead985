#include "balancer/server_age.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace elmbay::balancer {

bool ServerAges::Record::contains(Millis start) const {
    return std::find(starts.begin(), starts.end(), start) != starts.end();
}

void ServerAges::Record::add(Millis start, Millis now) {
    newest = (newest + 1) % kMaxProcesses;
    starts[newest] = start;
    reported_at = now;
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
        if (entry == records_.end()) continue;  // a removed server without a record
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
    // For a server with a record, a start time of 0 carries no information: the process stays the last
    // reported one.
    const bool has_start = info.online_since > 0;
    if (!has_start || record.contains(info.online_since)) return false;
    record.add(info.online_since, now);
    return true;
}

void ServerAges::assign_start_times(std::vector<Start> starts, const ServerList& list, Millis now) {
    const bool is_first_list = std::isinf(list.list_age_bound);
    const bool may_be_older = list.list_age_bound > kMaxTrustedListAge;
    // A small number of servers in slow start costs little capacity, so they all count as new and no claimed
    // start time has to be trusted.
    const bool is_large_change = is_first_list || starts.size() > untrusted_count();
    if (may_be_older && is_large_change) return assign_claimed_start_times(std::move(starts), list, now);
    for (const Start& start : starts) begin_process(start.server, now);
}

void ServerAges::assign_claimed_start_times(std::vector<Start> starts, const ServerList& list, Millis now) {
    const WallTimeLowerBounds bounds = wall_time_lower_bounds(now);
    // If two servers have clocks that agree on a later time, at most one of them is wrong, so the local wall
    // clock is behind.
    const Millis wall_time = std::max(*list.wall_time, bounds.second_highest);
    std::sort(starts.begin(), starts.end(),
              [](const Start& left, const Start& right) { return left.claimed > right.claimed; });
    std::size_t untrusted_left = untrusted_count();
    for (const Start& start : starts) {
        Millis age = std::min(wall_time - start.claimed, list.list_age_bound);
        if (untrusted_left > 0) {
            --untrusted_left;
            age = std::min(age, bounds.excluding(start.server) - start.claimed);
        }
        begin_process(start.server, now - std::max(0.0, age));
    }
}

// At least one, because the server that has just started may be one of two or three. None if there is a
// single server, because no other server could take its requests.
std::size_t ServerAges::untrusted_count() const {
    if (listed_count_ < 2) return 0;
    const double untrusted = kUntrustedShare * static_cast<double>(listed_count_);
    return std::max<std::size_t>(1, static_cast<std::size_t>(untrusted));
}

ServerAges::WallTimeLowerBounds ServerAges::wall_time_lower_bounds(Millis now) const {
    WallTimeLowerBounds bounds;
    for (const auto& [id, record] : records_) {
        const bool has_start = record.starts[record.newest] > 0;
        if (!has_start) continue;
        const Millis bound = record.wall_time_lower_bound(now);
        if (bound > bounds.highest) {
            bounds = {bound, bounds.highest, id};
        } else {
            bounds.second_highest = std::max(bounds.second_highest, bound);
        }
    }
    return bounds;
}

// The start time is never before that of an earlier process of the same server.
void ServerAges::begin_process(ServerId id, Millis started_at) {
    Process& process = records_.at(id).process;
    process = {process.number + 1, std::max(process.started_at, started_at)};
}

ServerAges::Process ServerAges::process_of(ServerId id) const {
    const auto entry = records_.find(id);
    return entry == records_.end() ? Process{} : entry->second.process;
}

void ServerAges::mark_departed(ServerId id) {
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
