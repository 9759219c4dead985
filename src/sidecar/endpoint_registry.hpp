/// @file
/// The servers of the endpoint lists, and the number of each server in the balancer.
///
/// Entries are indexed by uid, by number and by address, so that the cost of an incremental list depends on
/// its length and not on the size of the fleet. Uses no sockets and no clock.
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

/// Contains the listed servers, and servers that have left the list but still have attempts in flight.
///
/// Each address belongs to one process. A list may contain a new server at an address before it reports that
/// the old server has left. Requests for the old server would then reach the new one, which has not warmed
/// up. Therefore, of two servers at one address, the address belongs to the one whose process appeared in a
/// list last. If both processes first appeared in the same list, the address belongs to the one with the
/// later start time. The two start times come from two wall clocks and are compared for no other purpose.
///
/// Not thread-safe. Bounded by kMaxEntries.
class EndpointRegistry {
public:
    /// Maximum number of listed servers. The operators' largest fleet has 3,200. During a rolling replacement
    /// the list contains new servers before the old ones have left; a quarter more is enough for that.
    static constexpr std::size_t kMaxListed = 4096;
    /// Maximum number of entries. A complete list may replace every server, and entries of servers that have
    /// left remain while attempts are in flight.
    static constexpr std::size_t kMaxEntries = 3 * kMaxListed;
    /// Maximum length of a uid, in bytes. The longest host name in the DNS has 253.
    static constexpr std::size_t kMaxUidBytes = 1024;
    /// Maximum number of different zones, and of different machine types. A deployment has only a few of
    /// each; names are never removed.
    static constexpr std::size_t kMaxNames = 256;

    /// One server.
    struct Entry {
        balancer::ServerInfo info{};   ///< info.id is the server's number
        Endpoint endpoint{};           ///< address on which the server listens
        bool listed = false;           ///< in the current list, and neither removed nor displaced
        std::uint64_t first_list = 0;  ///< index, from 1, of the first list with its process; 0 if none yet
    };
    /// A new state of a server, as the result of a list.
    struct Change {
        balancer::ServerInfo info{};
        Endpoint endpoint{};
        bool may_send = false;  ///< whether new attempts may be sent to it
    };
    /// The effect of one list.
    struct Update {
        std::vector<Change> changes;                ///< must be applied in this order
        std::vector<balancer::ServerId> withdrawn;  ///< all entries that are not listed, ordered by uid
        std::size_t skipped = 0;                    ///< number of targets beyond the limits
        bool any_active = false;                    ///< whether at least one target is active
    };

    /// @param zones,machine_types names that have numbers already; the number is the index of the name.
    explicit EndpointRegistry(std::vector<std::string> zones = {},
                              std::vector<std::string> machine_types = {})
        : zones_(std::move(zones)), machine_types_(std::move(machine_types)) {}
    EndpointRegistry(const EndpointRegistry&) = delete;
    EndpointRegistry& operator=(const EndpointRegistry&) = delete;

    /// Reserves a number for a server that has not been in a list yet.
    /// @return the number.
    balancer::ServerId reserve_number(const std::string& uid);
    /// Applies a list. Takes time in proportion to the list if it is incremental, otherwise to the whole
    /// registry.
    Update apply(balancer::ListKind kind, const std::vector<Target>& targets);
    /// Removes the entries that are not listed and for which may_remove(number) returns true.
    template <class Predicate>
    void remove_withdrawn(Predicate may_remove);

    /// @return the entry with that number; nullptr if there is none.
    const Entry* find(balancer::ServerId id) const;
    /// @return all entries, ordered by uid.
    const std::map<std::string, Entry>& entries() const { return entries_; }
    /// @return the number of listed entries.
    std::size_t listed_count() const { return entries_.size() - withdrawn_.size(); }
    /// @return the number of entry visits so far, as a measure of the cost of lists.
    std::uint64_t visit_count() const { return visit_count_; }

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
    static std::uint32_t name_number(std::vector<std::string>& names, const std::string& name);

    std::map<std::string, Entry> entries_;                        // by uid
    std::unordered_map<balancer::ServerId, const Entry*> by_id_;  // all entries
    std::map<Endpoint, Position> by_endpoint_;                    // listed entries
    std::map<std::string_view, Position> withdrawn_;              // entries that are not listed, by uid
    std::vector<std::string> zones_;
    std::vector<std::string> machine_types_;
    ServerNumbers numbers_;
    std::uint64_t lists_applied_ = 0;
    std::uint64_t visit_count_ = 0;
};

template <class Predicate>
void EndpointRegistry::remove_withdrawn(Predicate may_remove) {
    for (auto next = withdrawn_.begin(); next != withdrawn_.end();) {
        ++visit_count_;
        const Position entry = next->second;
        const balancer::ServerId id = entry->second.info.id;
        if (!may_remove(id)) {
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
