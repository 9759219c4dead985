// A fleet of Membership state machines in virtual time, for the tests and bench/members.cpp. Its network
// loses, delays, duplicates and corrupts datagrams and has partitions. Processes crash, stall and restart.
// Runs with the same seed are equal.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

class VirtualFleet {
public:
    static constexpr Millis kUnixAtStart = 1796000000000;    // Unix milliseconds at the fleet's time 0
    static constexpr std::size_t kMaxUnreadDatagrams = 256;  // per stalled process, as in src/simulation

    struct NetworkConditions {
        double loss = 0, duplication = 0, corruption = 0;
        Millis min_delay = 1.5, max_delay = 14;  // milliseconds one way, as on the platform
    };

    explicit VirtualFleet(std::uint32_t count, std::uint64_t seed = 1, Timing timing = {})
        : sent_datagrams(count, 0), timing_(timing), random_(seed), processes_(count) {}

    NetworkConditions net;
    // Returns whether the network currently drops all datagrams of that direction.
    std::function<bool(MemberId from, MemberId to)> is_link_cut = [](MemberId, MemberId) { return false; };
    // Called after each step, for checks.
    std::function<void()> after_step;
    // Returns the member that `owner` reaches at an index of its list of peers. The default is a correct
    // list. Any other function must be a permutation that is its own inverse.
    std::function<MemberId(MemberId owner, std::uint32_t address_index)> member_at_address =
        [](MemberId, std::uint32_t address_index) { return address_index; };
    bool hosts_report_closed_ports = true;  // hosts answer datagrams to ended processes with an ICMP error

    // Starts the process of a member. claimed_id: the member id that the process uses, if it is another one.
    void start(MemberId id, Millis clock_offset = 0, std::optional<MemberId> claimed_id = {}) {
        Process& process = processes_[id];
        ++process.generation;
        process.stalled = false;
        process.unread_datagrams.clear();
        process.clock_offset = clock_offset;
        process.membership = std::make_unique<Membership>(
            Membership::Setup{claimed_id.value_or(id), count(), count(), random_.next(), timing_}, now_,
            kUnixAtStart + now_ + clock_offset);
        flush_outputs(id);
    }
    void start_all() {
        for (MemberId id = 0; id < count(); ++id) start(id);
    }
    void kill(MemberId id) {
        processes_[id].membership.reset();
        ++processes_[id].generation;
        processes_[id].unread_datagrams.clear();
    }
    void leave(MemberId id) {
        processes_[id].membership->leave(now_);
        flush_outputs(id);
        kill(id);
    }
    void stall(MemberId id) { processes_[id].stalled = true; }
    void resume(MemberId id) {
        Process& process = processes_[id];
        process.stalled = false;
        if (!process.membership) return;
        // An event loop may run the timers before it reads the socket, so the timer comes first here.
        if (process.membership->next_due() <= now_) process.membership->on_timer(now_);
        for (const auto& [from, bytes] : std::exchange(process.unread_datagrams, {}))
            process.membership->on_datagram(now_, from, bytes);
        flush_outputs(id);
    }
    // Delivers a datagram to a member, with the source address at the given index of its list of peers.
    void inject(MemberId to, std::optional<std::uint32_t> address_index, const std::string& bytes) {
        if (processes_[to].membership) processes_[to].membership->on_datagram(now_, address_index, bytes);
        flush_outputs(to);
    }

    void run_for(Millis span) {
        const Millis end = now_ + span;
        while (!queue_.empty() && queue_.top().at <= end) step();
        now_ = end;
    }
    // Runs until the condition holds, which is checked at intervals. Returns whether it did hold in time.
    bool run_until(const std::function<bool()>& condition, Millis within, Millis check_interval = 50) {
        const Millis end = now_ + within;
        while (!condition()) {
            if (now_ >= end) return false;
            run_for(check_interval);
        }
        return true;
    }

    Millis now() const { return now_; }
    std::uint32_t count() const { return static_cast<std::uint32_t>(processes_.size()); }
    bool is_running(MemberId id) const { return processes_[id].membership != nullptr; }
    bool is_stalled(MemberId id) const { return processes_[id].stalled; }
    Membership& operator[](MemberId id) { return *processes_[id].membership; }
    View view(MemberId id) { return processes_[id].membership->view(now_); }
    MemberState state_at(MemberId observer, MemberId member) {
        return processes_[observer].membership->member(member).state;
    }
    // Returns whether the tables of all running members have the same digest.
    bool digests_agree() {
        std::set<std::uint32_t> digests;
        for (const Process& process : processes_)
            if (process.membership && !process.membership->yielded())
                digests.insert(process.membership->digest());
        return digests.size() <= 1;
    }
    // Returns whether each running member counts exactly the running members as present.
    bool is_accurate() {
        for (MemberId observer = 0; observer < count(); ++observer)
            for (MemberId id = 0; is_running(observer) && id < count(); ++id)
                if ((state_at(observer, id) <= MemberState::suspect) != is_running(id)) return false;
        return true;
    }
    std::uint64_t false_failures = 0;  // changes to failed of reachable members that were running
    struct Traffic {
        std::uint64_t datagrams = 0, bytes = 0;
    } delivered;
    std::vector<std::uint64_t> sent_datagrams;  // number of sent datagrams, by member id
    // FNV-1a hash of all sent datagrams, including lost ones: time, sender, destination and bytes.
    std::uint64_t traffic_hash = 0xcbf29ce484222325ULL;
    std::function<void(MemberId observer, const MemberChange&)> on_member_changed =
        [](MemberId, const MemberChange&) {};

private:
    struct Process {
        std::unique_ptr<Membership> membership;
        std::uint64_t generation = 0;
        bool stalled = false;
        Millis clock_offset = 0, next_timer_at = -1;
        std::vector<std::pair<std::uint32_t, std::string>> unread_datagrams;
    };
    struct Event {
        Millis at = 0;
        std::uint64_t sequence = 0;  // order of events with equal times: first scheduled, first run
        MemberId to = 0, from = 0;
        bool is_timer = false;
        std::uint64_t generation = 0;
        std::shared_ptr<const std::string> bytes;
        bool is_port_unreachable = false;
        bool operator>(const Event& other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void schedule(Event event) {
        event.sequence = ++last_sequence_;
        queue_.push(std::move(event));
    }
    void hash_traffic(MemberId from, const Datagram& datagram) {
        const auto add = [&](std::uint64_t value) {
            traffic_hash = (traffic_hash ^ value) * 0x100000001b3ULL;
        };
        add(static_cast<std::uint64_t>(now_ * 1000));
        add(from);
        add(datagram.to);
        add(datagram.address_index);
        for (const char byte : datagram.bytes) add(static_cast<unsigned char>(byte));
    }
    Millis delay() { return net.min_delay + (net.max_delay - net.min_delay) * random_.uniform(); }
    // Schedules the datagrams and the next on_timer() of a member, and counts false failures.
    void flush_outputs(MemberId id) {
        Process& process = processes_[id];
        if (!process.membership) return;
        for (Datagram& datagram : process.membership->take_datagrams()) {
            ++sent_datagrams[id];
            hash_traffic(id, datagram);
            const MemberId to = member_at_address(id, datagram.address_index);
            if (is_link_cut(id, to) || random_.uniform() < net.loss) continue;
            int copies = 1 + (random_.uniform() < net.duplication);
            if (net.corruption > 0 && random_.uniform() < net.corruption)
                datagram.bytes[random_.below(datagram.bytes.size())] ^=
                    static_cast<char>(1 + random_.below(255));
            const auto bytes = std::make_shared<const std::string>(std::move(datagram.bytes));
            for (; copies > 0; --copies) schedule({now_ + delay(), 0, to, id, false, 0, bytes});
        }
        for (const MemberChange& change : process.membership->take_changes()) {
            false_failures +=
                change.after == MemberState::failed && is_running(change.member_id) &&
                !processes_[change.member_id].stalled && !is_link_cut(id, change.member_id) &&
                !is_link_cut(change.member_id, id) &&
                process.membership->member(change.member_id).incarnation ==
                    processes_[change.member_id].membership->member(change.member_id).incarnation;
            on_member_changed(id, change);
        }
        const Millis next = process.membership->next_due();
        if (next < 1e300 && (process.next_timer_at < 0 || next < process.next_timer_at)) {
            process.next_timer_at = std::max(next, now_);
            schedule({process.next_timer_at, 0, id, id, true, process.generation, nullptr});
        }
    }
    void step() {
        const Event event = queue_.top();
        queue_.pop();
        now_ = std::max(now_, event.at);
        Process& process = processes_[event.to];
        if (event.is_timer) {
            if (event.generation == process.generation && process.next_timer_at == event.at) {
                process.next_timer_at = -1;
                if (process.membership && !process.stalled) {
                    if (process.membership->next_due() <= now_) process.membership->on_timer(now_);
                    flush_outputs(event.to);
                }
            } else if (event.generation != process.generation && process.next_timer_at == event.at) {
                process.next_timer_at = -1;
                flush_outputs(event.to);
            }
        } else if (event.is_port_unreachable) {
            if (process.membership && !process.stalled) {
                process.membership->on_port_unreachable(now_, member_at_address(event.to, event.from));
                flush_outputs(event.to);
            }
        } else if (!is_link_cut(event.from, event.to)) {
            if (!process.membership) {
                if (hosts_report_closed_ports && !is_link_cut(event.to, event.from))
                    schedule({now_ + delay(), 0, event.from, event.to, false, 0, nullptr, true});
            } else if (process.stalled) {
                if (process.unread_datagrams.size() < kMaxUnreadDatagrams)
                    process.unread_datagrams.emplace_back(member_at_address(event.to, event.from),
                                                          *event.bytes);
            } else {
                ++delivered.datagrams;
                delivered.bytes += event.bytes->size();
                process.membership->on_datagram(now_, member_at_address(event.to, event.from), *event.bytes);
                flush_outputs(event.to);
            }
        }
        if (after_step) after_step();
    }

    const Timing timing_;
    Random random_;
    std::vector<Process> processes_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
    std::uint64_t last_sequence_ = 0;
    Millis now_ = 0;
};

}  // namespace elmbay::cluster
