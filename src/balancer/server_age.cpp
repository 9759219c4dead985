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
    if (list.kind != ListKind::incremental) {
        for (auto& [id, record] : records_) record.listed = false;
        listed_ = 0;
    }
    std::vector<Start> starts;
    for (const ServerInfo& info : list.servers) {
        const bool here = info.state != EndpointState::removed;
        const auto at = here ? records_.try_emplace(info.id).first : records_.find(info.id);
        if (at == records_.end()) continue;  // never known, and already gone
        listed_ += here;
        listed_ -= std::exchange(at->second.listed, here);
        if (!list.wall_time)
            record_exact_start(info);
        else if (here && record_start(info, now))
            starts.push_back({info.id, info.online_since});
    }
    if (!starts.empty()) date_starts(std::move(starts), list, now);
}

void ServerAges::record_exact_start(const ServerInfo& info) {
    Record& record = records_.at(info.id);
    if (record.process.number == 0 || info.online_since > record.starts[record.newest])
        ++record.process.number;
    record.starts[record.newest] = info.online_since;
    record.process.started_at = info.online_since > 0 ? info.online_since : kLongAgo;
}

bool ServerAges::record_start(const ServerInfo& info, Millis now) {
    Record& record = records_.at(info.id);
    // 0 says nothing new of one that is known: the process stays the one that was heard of.
    if (record.process.number == 0) record.process.number = 1;
    if (!(info.online_since > 0) || record.knows(info.online_since)) return false;
    record.add(info.online_since, now);
    return true;
}

void ServerAges::date_starts(std::vector<Start> starts, const ServerList& list, Millis now) {
    const bool first_list = std::isinf(list.list_age_bound);
    const bool may_be_older = list.list_age_bound > kMaxTrustedListAge;
    // Few starts in an outage cost little as cold ones. Then nothing needs to be believed.
    if (may_be_older && (first_list || starts.size() > doubted_count()))
        return date_by_claims(std::move(starts), list, now);
    for (const Start& start : starts) begin_process(start.server, now);
}

void ServerAges::date_by_claims(std::vector<Start> starts, const ServerList& list, Millis now) {
    const EarliestPossibleTimes least = earliest_possible_times(now);
    // Two servers whose clocks agree that it is later are not both wrong: then our clock is behind.
    const Millis wall_time = std::max(*list.wall_time, least.second);
    std::sort(starts.begin(), starts.end(),
              [](const Start& a, const Start& b) { return a.claimed > b.claimed; });
    std::size_t may_doubt = doubted_count();
    for (const Start& start : starts) {
        Millis age = std::min(wall_time - start.claimed, list.list_age_bound);
        if (may_doubt > 0) {
            --may_doubt;
            age = std::min(age, least.without(start.server) - start.claimed);
        }
        begin_process(start.server, now - std::max(0.0, age));
    }
}

// One at least, as the just started one may be one of two or three; none where it is the only one, as then
// nobody else could serve.
std::size_t ServerAges::doubted_count() const {
    if (listed_ < 2) return 0;
    return std::max<std::size_t>(1, static_cast<std::size_t>(kDoubtedShare * static_cast<double>(listed_)));
}

ServerAges::EarliestPossibleTimes ServerAges::earliest_possible_times(Millis now) const {
    EarliestPossibleTimes least;
    for (const auto& [id, record] : records_) {
        if (record.starts[record.newest] <= 0) continue;
        const Millis time = record.earliest_wall_time(now);
        if (time > least.first)
            least = {time, least.first, id};
        else
            least.second = std::max(least.second, time);
    }
    return least;
}

// Never before an earlier process of the same server.
void ServerAges::begin_process(ServerId id, Millis started_at) {
    Process& process = records_.at(id).process;
    process = {process.number + 1, std::max(process.started_at, started_at)};
}

ServerAges::Process ServerAges::process_of(ServerId id) const {
    const auto at = records_.find(id);
    return at == records_.end() ? Process{} : at->second.process;
}

void ServerAges::forget(ServerId id) {
    const auto at = records_.find(id);
    if (at == records_.end()) return;
    listed_ -= std::exchange(at->second.listed, false);
    departed_.push_back(id);
    if (departed_.size() <= kMaxDeparted) return;
    const auto oldest = records_.find(departed_.front());
    if (oldest != records_.end() && !oldest->second.listed) records_.erase(oldest);
    departed_.pop_front();
}

}  // namespace elmbay::balancer
