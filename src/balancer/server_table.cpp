#include "balancer/server_table.hpp"

#include <algorithm>

#include "balancer/ejection.hpp"
#include "balancer/slow_start.hpp"

namespace elmbay::balancer {

void ServerTable::apply(const ServerList& list, Millis now) {
    list_size_ = std::max(list.servers.size(), servers_.size());
    ages_->record_list(list, now);
    if (list.kind == ListKind::incremental) {
        apply_changes(list.servers, now);
    } else {
        apply_snapshot(list.servers, now);
    }
    if (list.kind == ListKind::snapshot) restorer_->discard_servers();
}

void ServerTable::apply_snapshot(const std::vector<ServerInfo>& list, Millis now) {
    for (auto& [id, server] : servers_) server.listed = false;
    for (const ServerInfo& info : list) update_server(info, now);
    std::erase_if(servers_, [this](const auto& entry) {
        if (!is_unused(entry.second)) return false;
        ages_->mark_departed(entry.first);
        return true;
    });
    std::vector<Server*> all;
    for (auto& [id, server] : servers_) all.push_back(&server);
    aperture_->set_servers(all);
}

void ServerTable::apply_changes(const std::vector<ServerInfo>& list, Millis now) {
    for (const ServerInfo& info : list) {
        if (Server* known = find(info.id)) aperture_->remove(known);
        aperture_->add(&update_server(info, now));
    }
    for (const ServerInfo& info : list) {
        if (Server* server = find(info.id)) remove_if_unused(*server);
    }
}

void ServerTable::remove_if_unused(Server& server) {
    if (!is_unused(server)) return;
    ages_->mark_departed(server.info.id);
    aperture_->remove(&server);
    servers_.erase(server.info.id);
}

Server& ServerTable::update_server(const ServerInfo& info, Millis now) {
    const auto [entry, is_new] = servers_.try_emplace(info.id);
    Server& server = entry->second;
    if (is_new) server.rank = random_->next();
    const ServerAges::Process process = ages_->process_of(info.id);
    const bool has_restarted = process.number != server.process.number;
    if (is_new || has_restarted) {
        SlowStart::begin(server, random_->uniform(), now);
        OutlierEjection::reset(server);
    }
    server.process = process;
    server.info = info;
    latency_->set_machine_type(server);
    server.listed = info.state != EndpointState::removed;
    if (is_new) restore(server, now);
    return server;
}

// Half of the listed servers stay in the pool, regardless of the restored state.
void ServerTable::restore(Server& server, Millis now) {
    const bool may_eject = 2 * (restored_ejected_ + 1) <= list_size_;
    restorer_->restore(server, may_eject, now);
    if (server.ejection_state == EjectionState::ejected) ++restored_ejected_;
}

Server* ServerTable::find(ServerId id) {
    const auto entry = servers_.find(id);
    return entry == servers_.end() ? nullptr : &entry->second;
}

}  // namespace elmbay::balancer
