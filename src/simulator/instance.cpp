#include "simulator/instance.hpp"

#include <utility>

namespace elmbay::balancer::wire {

Instance::Instance(std::string name, DeploymentSettings deployment, std::uint64_t seed)
    : name_(std::move(name)), deployment_(std::move(deployment)), balancer_(deployment_.settings, seed) {}

std::optional<RequestId> Instance::add_request(const std::string& request_name) {
    const auto [entry, is_new] = request_ids_.try_emplace(request_name, next_request_);
    if (!is_new) return {};
    requests_[next_request_].name = request_name;
    return next_request_++;
}

std::optional<RequestId> Instance::find_request(const std::string& request_name) const {
    const auto found = request_ids_.find(request_name);
    if (found == request_ids_.end()) return {};
    return found->second;
}

void Instance::end_request(RequestId id) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) found->second.has_ended = true;
    remove_finished_request(id);
}

void Instance::remove_finished_request(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    const Request& request = found->second;
    if (!request.has_ended || request.attempts_in_flight > 0) return;
    request_ids_.erase(request.name);
    requests_.erase(found);
}

ServerId Instance::add_server(const std::string& server_name) {
    const auto [entry, is_new] = server_ids_.try_emplace(server_name, next_server_);
    if (is_new) {
        servers_[next_server_].name = server_name;
        ++next_server_;
    }
    return entry->second;
}

std::optional<ServerId> Instance::find_server(const std::string& server_name) const {
    const auto found = server_ids_.find(server_name);
    if (found == server_ids_.end()) return {};
    return found->second;
}

void Instance::unlist_all_servers() {
    for (auto& [id, server] : servers_) server.listed = false;
}

void Instance::remove_unused_servers() {
    std::vector<ServerId> ids;
    ids.reserve(servers_.size());
    for (const auto& [id, server] : servers_) ids.push_back(id);
    for (const ServerId id : ids) remove_unused_server(id);
}

void Instance::remove_unused_server(ServerId id) {
    const auto found = servers_.find(id);
    if (found == servers_.end()) return;
    const Server& server = found->second;
    if (server.listed || server.attempts_in_flight > 0) return;
    server_ids_.erase(server.name);
    servers_.erase(found);
}

void Instance::attempt_started(RequestId request, ServerId server) {
    ++requests_.at(request).attempts_in_flight;
    ++servers_.at(server).attempts_in_flight;
}

void Instance::attempt_ended(RequestId request, bool ends_request) {
    Request& ended_request = requests_.at(request);
    if (ended_request.attempts_in_flight > 0) --ended_request.attempts_in_flight;
    if (ends_request) ended_request.has_ended = true;
}

void Instance::end_attempt_at_server(ServerId id) {
    Server& server = servers_.at(id);
    if (server.attempts_in_flight > 0) --server.attempts_in_flight;
    remove_unused_server(id);
}

}  // namespace elmbay::balancer::wire
