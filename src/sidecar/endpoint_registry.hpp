// The servers that the discovery service has named, and the number under which the decision module knows
// each.
//
// Entries are indexed by uid, by number and by address, so that an incremental list costs what it changes and
// not what the fleet holds. No sockets, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "elmbay/balancer.hpp"
#include "sidecar/server_numbers.hpp"

namespace elmbay {

class EndpointRegistry {
public:
    // Servers that may be listed at once. The operators' largest fleet has 3,200; a rolling replacement names
    // new servers before the old ones have left, and a quarter on top is enough for that.
    static constexpr std::size_t kMaxListed = 4096;
    // All entries: a whole list may replace every server, and those that left stay while attempts are out.
    static constexpr std::size_t kMaxEntries = 3 * kMaxListed;
    // Bytes of one uid. The longest name of a host in the DNS has 253.
    static constexpr std::size_t kMaxUid = 1024;
    // Different zones or models. A deployment has a handful of each, and they are kept for good.
    static constexpr std::size_t kMaxNames = 256;

    struct Entry {
        balancer::ServerInfo info{};  // info.id is the server's number
        Endpoint endpoint{};
        bool listed = false;           // named by the list in force, and neither left nor displaced
        std::uint64_t first_told = 0;  // the list, counted from 1, that first told of its process
    };
    // One step of a list: what a server is from now on.
    struct Change {
        balancer::ServerInfo info{};
        Endpoint endpoint{};
        bool may_send = false;
    };
    struct Update {
        std::vector<Change> changes;                // in the order in which they count
        std::vector<balancer::ServerId> withdrawn;  // all entries that are not listed, by uid
        std::size_t passed_over = 0;                // targets for which there was no place
        bool any_active = false;                    // at least one target may be sent to
    };

    // zones, kinds: the names that have numbers already.
    explicit EndpointRegistry(std::vector<std::string> zones = {},
                              std::vector<std::string> machine_types = {})
        : zones_(std::move(zones)), machine_types_(std::move(machine_types)) {}
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    // Reserves a number for a server that no list has named yet and returns it.
    balancer::ServerId reserve(const std::string& uid);
    // Takes over what a list says.
    Update apply(balancer::ListKind kind, const std::vector<Target>& targets);
    // Forgets the entries that are not listed and for which done(number) holds.
    template <class Done>
    void forget_withdrawn(Done done);

    // The entry with that number; nullptr if there is none.
    const Entry* find(balancer::ServerId id) const;
    // By uid.
    const std::map<std::string, Entry>& entries() const { return entries_; }
    std::size_t listed() const { return entries_.size() - withdrawn_.size(); }
    // Entries looked at so far, to tell what a list costs.
    std::uint64_t visited() const { return visited_; }

private:
    using Position = std::map<std::string, Entry>::iterator;

    bool has_place(const Target& target) const;
    Position find_or_add(const std::string& uid);
    void set_listed(Position at, bool listed);
    // One address is one process. The list may tell of a new server there before it tells that the old one
    // has left: what went to the old one's name would reach the new one, cold and unasked. Of the two, the
    // one whose process was told last has the address. Their starts are on two wall clocks, and decide only
    // between two that the same list told first.
    void displace(Position arrived, Update& update);
    static bool started_later(const Entry& a, const Entry& b);
    void take(const Target& target, Update& update);
    static std::uint32_t name_number(std::vector<std::string>& names, const std::string& name);

    std::map<std::string, Entry> entries_;                        // by uid
    std::unordered_map<balancer::ServerId, const Entry*> by_id_;  // all entries
    std::map<Endpoint, Position> by_endpoint_;                    // listed entries
    std::map<std::string_view, Position> withdrawn_;              // by uid: entries that are not listed
    std::vector<std::string> zones_, machine_types_;
    ServerNumbers numbers_;
    std::uint64_t lists_ = 0;  // taken over so far
    std::uint64_t visited_ = 0;
};

template <class Done>
void EndpointRegistry::forget_withdrawn(Done done) {
    for (auto at = withdrawn_.begin(); at != withdrawn_.end();) {
        ++visited_;
        const Position entry = at->second;
        if (!done(entry->second.info.id)) {
            ++at;
            continue;
        }
        at = withdrawn_.erase(at);
        by_id_.erase(entry->second.info.id);
        numbers_.keep(entry->first, entry->second.info.id);
        entries_.erase(entry);
    }
}

}  // namespace elmbay
