/// @file
/// The servers that the endpoint list has named, and the number under which the balancer knows each.
///
/// Entries are indexed by uid, by number and by address: an incremental list costs what it changes, not what
/// the fleet holds. No sockets, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config.hpp"
#include "elmbay/balancer.hpp"
#include "sidecar/server_numbers.hpp"

namespace elmbay {

/// Listed servers, and those that have left the list but still have attempts in flight.
///
/// One address is one process. A list may name a new server at an address before it reports that the old one
/// has left. Requests for the old server would then reach the new one, which is cold. So of two servers at
/// one address, the one whose process the lists named last has the address. If the same list named both
/// first, the later start decides; those two times come from two wall clocks and are good for nothing else.
///
/// Not thread-safe. Bounded by kMaxEntries.
class EndpointRegistry {
public:
    /// Servers that may be listed at once. The operators' largest fleet has 3,200. A rolling replacement
    /// names new servers before the old ones have left; a quarter on top is enough for that.
    static constexpr std::size_t kMaxListed = 4096;
    /// All entries: a snapshot may replace every server, and those that left stay while attempts are in
    /// flight.
    static constexpr std::size_t kMaxEntries = 3 * kMaxListed;
    /// Bytes of one uid. The longest host name in the DNS has 253.
    static constexpr std::size_t kMaxUidBytes = 1024;
    /// Different zones, and different machine types. A deployment has a handful of each; they are kept for
    /// good.
    static constexpr std::size_t kMaxNames = 256;

    /// One server.
    struct Entry {
        balancer::ServerInfo info{};  ///< info.id is the server's number
        Endpoint endpoint{};          ///< where this sidecar reaches it
        bool listed = false;          ///< named by the current list, and neither removed nor displaced
        std::uint64_t first_list =
            0;  ///< the list, counted from 1, that first named its process; 0: none yet
    };
    /// One step of a list: what a server is from now on.
    struct Change {
        balancer::ServerInfo info{};
        Endpoint endpoint{};
        bool may_send = false;  ///< new attempts may go there
    };
    /// The effect of one list.
    struct Update {
        std::vector<Change> changes;                ///< to be applied in this order
        std::vector<balancer::ServerId> withdrawn;  ///< all entries that are not listed, by uid
        std::size_t skipped = 0;                    ///< targets beyond the bounds
        bool any_active = false;                    ///< at least one target may be sent to
    };

    /// @param zones,machine_types names that have numbers already: their places.
    explicit EndpointRegistry(std::vector<std::string> zones = {},
                              std::vector<std::string> machine_types = {})
        : zones_(std::move(zones)), machine_types_(std::move(machine_types)) {}
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    /// Reserves a number for a server that no list has named yet.
    /// @return the number.
    balancer::ServerId reserve_number(const std::string& uid);
    /// Applies a list. An incremental list costs what it names, any other the whole registry.
    Update apply(balancer::ListKind kind, const std::vector<Target>& targets);
    /// Forgets the entries that are not listed and for which may_forget(number) holds.
    template <class Predicate>
    void forget_withdrawn(Predicate may_forget);

    /// @return the entry with that number; nullptr if there is none.
    const Entry* find(balancer::ServerId id) const;
    /// @return all entries by uid.
    const std::map<std::string, Entry>& entries() const { return entries_; }
    /// @return how many entries are listed.
    std::size_t listed() const { return entries_.size() - withdrawn_.size(); }
    /// @return entries visited so far, to measure what a list costs.
    std::uint64_t visited() const { return visited_; }

private:
    using Position = std::map<std::string, Entry>::iterator;

    void withdraw_all();
    void apply_target(const Target& target, Update& update);
    bool should_skip(const Target& target, Update& update) const;
    bool has_capacity(const Target& target) const;
    Position find_or_add(const std::string& uid);
    void set_info(Entry& entry, const Target& target);
    void set_listed(Position position, bool listed);
    void claim_address(Position claimant, Update& update);
    static bool has_later_process(const Entry& entry, const Entry& other);
    static std::uint32_t number_of_name(std::vector<std::string>& names, const std::string& name);

    std::map<std::string, Entry> entries_;                        // by uid
    std::unordered_map<balancer::ServerId, const Entry*> by_id_;  // all entries
    std::map<Endpoint, Position> by_endpoint_;                    // listed entries
    std::map<std::string_view, Position> withdrawn_;              // by uid: entries that are not listed
    std::vector<std::string> zones_;
    std::vector<std::string> machine_types_;
    ServerNumbers numbers_;
    std::uint64_t lists_applied_ = 0;
    std::uint64_t visited_ = 0;
};

template <class Predicate>
void EndpointRegistry::forget_withdrawn(Predicate may_forget) {
    for (auto next = withdrawn_.begin(); next != withdrawn_.end();) {
        ++visited_;
        const Position entry = next->second;
        const balancer::ServerId id = entry->second.info.id;
        if (!may_forget(id)) {
            ++next;
            continue;
        }
        next = withdrawn_.erase(next);
        by_id_.erase(id);
        numbers_.retain(entry->first, id);
        entries_.erase(entry);
    }
}

}  // namespace elmbay
