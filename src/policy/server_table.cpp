#include "policy/server_table.hpp"

#include <algorithm>

#include "policy/cold_start.hpp"
#include "policy/ejection.hpp"

namespace hollybeam {

void ServerTable::apply(const ServerList& list, Millis now) {
    if (list.kind != ListKind::incremental)
        for (auto& [id, s] : servers_) s.listed = false;
    listed_ = std::max(list.servers.size(), servers_.size());
    for (const ServerInfo& info : list.servers) learn(info, now);
    if (list.kind == ListKind::full) memory_->forget_servers();
    std::erase_if(servers_, [](const auto& entry) { return is_gone(entry.second); });
    std::vector<Server*> all;
    for (auto& [id, s] : servers_) all.push_back(&s);
    aperture_->set_servers(std::move(all));
}

void ServerTable::drop_if_gone(Server& s) {
    if (is_gone(s)) aperture_->remove(&s), servers_.erase(s.info.id);
}

void ServerTable::learn(const ServerInfo& info, Millis now) {
    const auto [it, fresh] = servers_.try_emplace(info.id);
    Server& s = it->second;
    if (fresh) s.rank = random_->next();
    if (fresh || info.online_since > s.info.online_since) {
        ColdStart::started(s, random_->unit(), now);
        OutlierEjection::forget(s);
    }
    s.info = info;
    pace_->learn(s);
    s.listed = info.phase != Phase::off;
    if (!fresh) return;
    // Half of the list stays in the pool, whatever an earlier life thought of it.
    memory_->recall(s, 2 * (recalled_out_ + 1) <= listed_, now);
    recalled_out_ += s.standing == Standing::removed;
}

Server* ServerTable::find(ServerId id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

}  // namespace hollybeam
