// Membership in virtual time on a network that loses, delays, repeats and garbles what they send, with
// splits, crashes, freezes and restarts: for tests and bench/members.cpp. The same seed gives the same run.
#pragma once

#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "cluster/membership.hpp"

namespace elmbay::cluster {

class VirtualFleet {
public:
    static constexpr Millis kUnix = 1796000000000;  // the fleet's clock at its time 0
    static constexpr std::size_t kMaxUnread = 256;  // of a frozen process, as in src/simulation

    struct Net {
        double loss = 0, repeat = 0, garble = 0;
        Millis min_delay = 1.5, max_delay = 14;  // as the platform has it
    };

    explicit VirtualFleet(std::uint32_t count, std::uint64_t seed = 1, Timing timing = {})
        : sent_by(count, 0), timing_(timing), random_(seed), nodes_(count) {}

    Net net;
    // Whether nothing gets from one to the other now.
    std::function<bool(MemberId from, MemberId to)> cut = [](MemberId, MemberId) { return false; };
    // Looks after every step.
    std::function<void()> after_step;
    // Whom one finds at a place of its list of peers, if that is not right: a permutation that undoes itself.
    std::function<MemberId(MemberId of, std::uint32_t place)> member_at = [](MemberId, std::uint32_t place) {
        return place;
    };
    bool refuses = true;  // a machine says that its process is not there

    // as: the number that it takes itself for, where that is not its own.
    void start(MemberId id, Millis clock_offset = 0, std::optional<MemberId> as = {}) {
        Node& node = nodes_[id];
        ++node.generation;
        node.frozen = false;
        node.unread.clear();
        node.clock_offset = clock_offset;
        node.members = std::make_unique<Membership>(
            Membership::Setup{as.value_or(id), count(), count(), random_.next(), timing_}, now_,
            kUnix + now_ + clock_offset);
        settle(id);
    }
    void start_all() {
        for (MemberId id = 0; id < count(); ++id) start(id);
    }
    void kill(MemberId id) {
        nodes_[id].members.reset();
        ++nodes_[id].generation;
        nodes_[id].unread.clear();
    }
    void end(MemberId id) {
        nodes_[id].members->leave(now_);
        settle(id);
        kill(id);
    }
    void freeze(MemberId id) { nodes_[id].frozen = true; }
    void thaw(MemberId id) {
        Node& node = nodes_[id];
        node.frozen = false;
        if (!node.members) return;
        // Its timers may be seen before its socket: what lies unread has not been heard then.
        if (node.members->next_due() <= now_) node.members->on_timer(now_);
        for (const auto& [from, bytes] : std::exchange(node.unread, {}))
            node.members->on_datagram(now_, from, bytes);
        settle(id);
    }
    // Into its socket, as if from there.
    void inject(MemberId to, std::optional<std::uint32_t> place, const std::string& bytes) {
        if (nodes_[to].members) nodes_[to].members->on_datagram(now_, place, bytes);
        settle(to);
    }

    void run_for(Millis span) {
        const Millis end = now_ + span;
        while (!queue_.empty() && queue_.top().at <= end) step();
        now_ = end;
    }
    // Whether it came to hold; looked at every so often.
    bool until(const std::function<bool()>& holds, Millis within, Millis every = 50) {
        const Millis end = now_ + within;
        while (!holds()) {
            if (now_ >= end) return false;
            run_for(every);
        }
        return true;
    }

    Millis now() const { return now_; }
    std::uint32_t count() const { return static_cast<std::uint32_t>(nodes_.size()); }
    bool runs(MemberId id) const { return nodes_[id].members != nullptr; }
    bool frozen(MemberId id) const { return nodes_[id].frozen; }
    Membership& operator[](MemberId id) { return *nodes_[id].members; }
    View view(MemberId id) { return nodes_[id].members->view(now_); }
    MemberState held(MemberId by, MemberId of) { return nodes_[by].members->member(of).state; }
    // Of all who run, whether they hold the same.
    bool agree() {
        std::set<std::uint32_t> digests;
        for (const Node& node : nodes_)
            if (node.members && !node.members->yielded()) digests.insert(node.members->digest());
        return digests.size() <= 1;
    }
    // Who runs holds who runs for there, and nobody else.
    bool right() {
        for (MemberId a = 0; a < count(); ++a)
            for (MemberId b = 0; runs(a) && b < count(); ++b)
                if ((held(a, b) <= MemberState::suspect) != runs(b)) return false;
        return true;
    }
    std::uint64_t false_failures = 0;  // changes to failed of one that ran and was not frozen
    struct Sent {
        std::uint64_t datagrams = 0, bytes = 0;
    } delivered;
    std::vector<std::uint64_t> sent_by;
    // Over all datagrams that were sent, lost ones too: when, from whom, to where and each byte (FNV-1a).
    std::uint64_t traffic_hash = 0xcbf29ce484222325ULL;
    std::function<void(MemberId at, const MemberChange&)> changed = [](MemberId, const MemberChange&) {};

private:
    struct Node {
        std::unique_ptr<Membership> members;
        std::uint64_t generation = 0;
        bool frozen = false;
        Millis clock_offset = 0, waking = -1;
        std::vector<std::pair<std::uint32_t, std::string>> unread;
    };
    struct Event {
        Millis at = 0;
        std::uint64_t order = 0;  // of two at one time the first scheduled comes first
        MemberId to = 0, from = 0;
        bool wake = false;
        std::uint64_t generation = 0;
        std::shared_ptr<const std::string> bytes;
        bool refused = false;
        bool operator>(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(Event event) {
        event.order = ++last_order_;
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
    void settle(MemberId id) {
        Node& node = nodes_[id];
        if (!node.members) return;
        for (Datagram& datagram : node.members->take_datagrams()) {
            ++sent_by[id];
            hash_traffic(id, datagram);
            const MemberId to = member_at(id, datagram.address_index);
            if (cut(id, to) || random_.uniform() < net.loss) continue;
            int copies = 1 + (random_.uniform() < net.repeat);
            if (net.garble > 0 && random_.uniform() < net.garble)
                datagram.bytes[random_.below(datagram.bytes.size())] ^=
                    static_cast<char>(1 + random_.below(255));
            const auto bytes = std::make_shared<const std::string>(std::move(datagram.bytes));
            for (; copies > 0; --copies) schedule({now_ + delay(), 0, to, id, false, 0, bytes});
        }
        for (const MemberChange& change : node.members->take_changes()) {
            false_failures += change.after == MemberState::failed && runs(change.member_id) &&
                              !nodes_[change.member_id].frozen && !cut(id, change.member_id) &&
                              !cut(change.member_id, id) &&
                              node.members->member(change.member_id).incarnation ==
                                  nodes_[change.member_id].members->member(change.member_id).incarnation;
            changed(id, change);
        }
        const Millis next = node.members->next_due();
        if (next < 1e300 && (node.waking < 0 || next < node.waking)) {
            node.waking = std::max(next, now_);
            schedule({node.waking, 0, id, id, true, node.generation, nullptr});
        }
    }
    void step() {
        const Event event = queue_.top();
        queue_.pop();
        now_ = std::max(now_, event.at);
        Node& node = nodes_[event.to];
        if (event.wake) {
            if (event.generation == node.generation && node.waking == event.at) {
                node.waking = -1;
                if (node.members && !node.frozen) {
                    if (node.members->next_due() <= now_) node.members->on_timer(now_);
                    settle(event.to);
                }
            } else if (event.generation != node.generation && node.waking == event.at) {
                node.waking = -1;
                settle(event.to);
            }
        } else if (event.refused) {
            if (node.members && !node.frozen) {
                node.members->on_port_unreachable(now_, member_at(event.to, event.from));
                settle(event.to);
            }
        } else if (!cut(event.from, event.to)) {
            if (!node.members) {
                if (refuses && !cut(event.to, event.from))
                    schedule({now_ + delay(), 0, event.from, event.to, false, 0, nullptr, true});
            } else if (node.frozen) {
                if (node.unread.size() < kMaxUnread)
                    node.unread.emplace_back(member_at(event.to, event.from), *event.bytes);
            } else {
                ++delivered.datagrams;
                delivered.bytes += event.bytes->size();
                node.members->on_datagram(now_, member_at(event.to, event.from), *event.bytes);
                settle(event.to);
            }
        }
        if (after_step) after_step();
    }

    const Timing timing_;
    Random random_;
    std::vector<Node> nodes_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
    std::uint64_t last_order_ = 0;
    Millis now_ = 0;
};

}  // namespace elmbay::cluster
