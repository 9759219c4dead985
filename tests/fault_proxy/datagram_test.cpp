// Tests which datagrams and connections pass between every directed pair of twelve members under a sequence
// of partitions. Probes at both ends observe the traffic; the tests do not rely on what the rules report.
#include <gtest/gtest.h>

#include <set>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/stream_link.hpp"

namespace elmbay::fault_proxy {
namespace {

using Error = boost::system::error_code;
constexpr int kMembers = 12;

std::string name_of(int member) { return "n-" + std::to_string(member); }

// Sends to all other members and records whose datagrams arrive. Like a real member, it has only its peers'
// addresses.
struct Probe {
    Probe(asio::io_context& io) : socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
    udp::socket socket;
    udp::endpoint from;
    std::array<char, 256> buffer{};
    std::set<std::pair<std::uint16_t, std::string>> received;  // port of the sender's address, text
    void receive() {
        socket.async_receive_from(asio::buffer(buffer), from, [this](Error error, std::size_t size) {
            if (error) return;
            received.emplace(from.port(), std::string(buffer.data(), size));
            receive();
        });
    }
};

struct NetFixture {
    asio::io_context io{1};
    EventLoopContext context{io};
    DatagramNet net{context, {asio::ip::address_v4::loopback(), 0}};
    std::vector<std::unique_ptr<Probe>> probes;
    std::vector<std::unique_ptr<tcp::acceptor>> servers;
    std::vector<std::unique_ptr<StreamLink>> links;  // index: sender * kMembers + receiver
    int round = 0;

    NetFixture() {
        for (int sender = 0; sender < kMembers; ++sender) {
            probes.push_back(std::make_unique<Probe>(io));
            probes.back()->receive();
            net.add(name_of(sender), {asio::ip::address_v4::loopback(), 0},
                    probes.back()->socket.local_endpoint());
            servers.push_back(
                std::make_unique<tcp::acceptor>(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
        }
        for (int sender = 0; sender < kMembers; ++sender)
            for (int receiver = 0; receiver < kMembers; ++receiver)
                links.push_back(std::make_unique<StreamLink>(
                    context, Link{name_of(sender), name_of(receiver)},
                    tcp::endpoint(asio::ip::address_v4::loopback(), 0), servers[receiver]->local_endpoint()));
    }
    // Returns the pairs between which datagrams pass now. Cut datagrams are lost for good, so waiting for a
    // later datagram suffices: each member sends a marker to itself last, over the same path, which is never
    // cut.
    std::set<std::pair<int, int>> received_pairs() {
        const std::string text = std::to_string(++round);
        for (int sender = 0; sender < kMembers; ++sender)
            for (int offset = 1; offset <= kMembers; ++offset)
                probes[sender]->socket.send_to(asio::buffer(text),
                                               net.address_of(name_of((sender + offset) % kMembers)));
        const auto received = [&](int sender, int receiver) {
            return probes[receiver]->received.contains({net.address_of(name_of(sender)).port(), text});
        };
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        const auto all_marked = [&] {
            for (int sender = 0; sender < kMembers; ++sender)
                if (!received(sender, sender)) return false;
            return true;
        };
        while (!all_marked() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(std::chrono::milliseconds(100));
        // The marker of one socket may overtake datagrams of another socket.
        io.run_for(std::chrono::milliseconds(20));
        std::set<std::pair<int, int>> pairs;
        for (int sender = 0; sender < kMembers; ++sender)
            for (int receiver = 0; receiver < kMembers; ++receiver)
                if (sender != receiver && received(sender, receiver)) pairs.emplace(sender, receiver);
        return pairs;
    }
    // Returns the pairs between which connections are established. The wait is the same for all pairs,
    // whether they connect or not.
    std::set<std::pair<int, int>> connected_pairs() {
        std::vector<std::unique_ptr<tcp::socket>> sockets;
        std::set<std::pair<int, int>> connected;
        for (int sender = 0; sender < kMembers; ++sender)
            for (int receiver = 0; receiver < kMembers; ++receiver) {
                if (sender == receiver) continue;
                sockets.push_back(std::make_unique<tcp::socket>(io));
                sockets.back()->async_connect(links[sender * kMembers + receiver]->endpoint(),
                                              [&connected, sender, receiver](Error error) {
                                                  if (!error) connected.emplace(sender, receiver);
                                              });
            }
        io.run_for(std::chrono::milliseconds(60));
        for (auto& socket : sockets) socket->close();
        io.run_for(std::chrono::milliseconds(1));
        return connected;
    }
};

TEST(FaultProxy, DeliversDatagramsAndConnectionsAccordingToPartitionRules) {
    NetFixture fixture;
    // Members 0 to 4 and members 5 to 9 are separated from each other. Member 10 is in both groups and member
    // 11 is in neither, so the partition affects neither of these two.
    const auto half = [](int member) { return member < 5 ? 1 : member < 10 ? 2 : 0; };
    struct Stage {
        const char* name;
        std::function<bool(int, int)> is_delivered;
        std::function<void()> apply;
    };
    const auto clear = [&] { fixture.context.replace_rules({}); };
    const Stage stages[] = {
        {"no partition", [](int, int) { return true; }, clear},
        {"two halves and a bridge",
         [&](int sender, int receiver) {
             return half(sender) == 0 || half(receiver) == 0 || half(sender) == half(receiver);
         },
         [&] {
             Rule rule;
             rule.name = "halves";
             rule.groups = {{"n-0", "n-1", "n-2", "n-3", "n-4", "n-10"},
                            {"n-5", "n-6", "n-7", "n-8", "n-9", "n-10"}};
             fixture.context.put_rule(rule);
         }},
        {"halves, a bridge and a one-way cut to n-11",
         [&](int sender, int receiver) {
             return (half(sender) == 0 || half(receiver) == 0 || half(sender) == half(receiver)) &&
                    !(receiver == 11 && sender < 3);
         },
         [&] {
             Rule rule;
             rule.name = "one way", rule.from = {"n-0", "n-1", "n-2"}, rule.to = {"n-11"};
             fixture.context.put_rule(rule);
         }},
        {"one isolated member", [](int sender, int receiver) { return sender != 7 && receiver != 7; },
         [&] {
             clear();
             Rule out, in;
             out.name = "out", out.from = {"n-7"};
             in.name = "in", in.to = {"n-7"};
             // The rules must not cut a member off from itself, because its marker takes that path.
             out.to =
                 in.from = {"n-0", "n-1", "n-2", "n-3", "n-4", "n-5", "n-6", "n-8", "n-9", "n-10", "n-11"};
             fixture.context.put_rule(out), fixture.context.put_rule(in);
         }},
        {"healed", [](int, int) { return true; }, clear}};
    for (const Stage& stage : stages) {
        stage.apply();
        const auto received = fixture.received_pairs();
        const auto connected = fixture.connected_pairs();
        for (int sender = 0; sender < kMembers; ++sender)
            for (int receiver = 0; receiver < kMembers; ++receiver) {
                if (sender == receiver) continue;
                EXPECT_EQ(received.contains({sender, receiver}), stage.is_delivered(sender, receiver))
                    << stage.name << ": " << sender << " to " << receiver;
                // A connection needs both directions.
                EXPECT_EQ(connected.contains({sender, receiver}),
                          stage.is_delivered(sender, receiver) && stage.is_delivered(receiver, sender))
                    << stage.name << ": " << sender << " connects to " << receiver;
            }
    }
}

TEST(DatagramNet, BroadcastsFromTheSendersAddressAndDropsDatagramsOfUnknownSenders) {
    NetFixture fixture;
    fixture.probes[3]->socket.send_to(asio::buffer(std::string("all")), fixture.net.broadcast_address());
    Probe unknown_sender(fixture.io);
    unknown_sender.socket.send_to(asio::buffer(std::string("boo")), fixture.net.address_of("n-0"));
    const std::uint16_t address = fixture.net.address_of("n-3").port();
    const auto receiver_count = [&] {
        std::size_t count = 0;
        for (const auto& probe : fixture.probes) count += probe->received.contains({address, "all"});
        return count;
    };
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while ((receiver_count() < kMembers - 1 || fixture.net.unknown_senders() == 0) &&
           std::chrono::steady_clock::now() < limit)
        fixture.io.run_one_for(std::chrono::milliseconds(100));
    EXPECT_EQ(receiver_count(), static_cast<std::size_t>(kMembers - 1));
    EXPECT_FALSE(fixture.probes[3]->received.contains({address, "all"}));
    EXPECT_EQ(fixture.net.unknown_senders(), 1U);
    EXPECT_EQ(fixture.net.total_counts().bytes_delivered, 3U * (kMembers - 1));
    EXPECT_EQ(fixture.probes[0]->received.size(), 1U);
}

TEST(DatagramNet, DelaysAReorderedDatagramUntilTwoLaterOnesAreDelivered) {
    NetFixture fixture;
    Rule rule;
    rule.name = "back", rule.type = FaultType::reorder, rule.overtaken_by = 2, rule.delay = 30000,
    rule.first_number = rule.last_number = 1;
    fixture.context.put_rule(rule);
    std::vector<std::string> delivered_counts;
    const auto to = fixture.net.address_of("n-1");
    std::size_t others_sent = 0;
    for (const char* text : {"first", "second", "third", "fourth"}) {
        fixture.probes[0]->socket.send_to(asio::buffer(std::string(text)), to);
        const bool is_delayed = std::string(text) == "first";
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (fixture.net.counts({"n-0", "n-1"}).sent < delivered_counts.size() + 1 &&
               std::chrono::steady_clock::now() < limit)
            fixture.io.run_one_for(std::chrono::milliseconds(100));
        delivered_counts.push_back(std::to_string(fixture.net.counts({"n-0", "n-1"}).delivered));
        others_sent += !is_delayed;
    }
    // After each datagram: the first is delayed; the second is delivered; the third and then the first; the
    // fourth.
    EXPECT_EQ(delivered_counts, (std::vector<std::string>{"0", "1", "3", "4"}));
}

}  // namespace
}  // namespace elmbay::fault_proxy
