// Every directed pair of twelve members, under a script of splits: what a probe at each end gets, by datagram
// and by connection, and not by the rules' own word.
#include <gtest/gtest.h>

#include <set>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/stream_link.hpp"

namespace elmbay::fault_proxy {
namespace {

using Error = boost::system::error_code;
constexpr int kMembers = 12;

std::string name_of(int i) { return "n-" + std::to_string(i); }

// Sends to all others and notes from whom it hears, as a member does that knows its peers' addresses only.
struct Probe {
    Probe(asio::io_context& io) : socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
    udp::socket socket;
    udp::endpoint from;
    std::array<char, 256> piece{};
    std::set<std::pair<std::uint16_t, std::string>> heard;  // port of the sender's address, text
    void read() {
        socket.async_receive_from(asio::buffer(piece), from, [this](Error error, std::size_t n) {
            if (error) return;
            heard.emplace(from.port(), std::string(piece.data(), n));
            read();
        });
    }
};

struct Net {
    asio::io_context io{1};
    EventLoopContext context{io};
    DatagramNet net{context, {asio::ip::address_v4::loopback(), 0}};
    std::vector<std::unique_ptr<Probe>> probes;
    std::vector<std::unique_ptr<tcp::acceptor>> servers;
    std::vector<std::unique_ptr<StreamLink>> links;  // [from * kMembers + to]
    int round = 0;

    Net() {
        for (int i = 0; i < kMembers; ++i) {
            probes.push_back(std::make_unique<Probe>(io));
            probes.back()->read();
            net.add(name_of(i), {asio::ip::address_v4::loopback(), 0},
                    probes.back()->socket.local_endpoint());
            servers.push_back(
                std::make_unique<tcp::acceptor>(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
        }
        for (int i = 0; i < kMembers; ++i)
            for (int j = 0; j < kMembers; ++j)
                links.push_back(std::make_unique<StreamLink>(
                    context, Link{name_of(i), name_of(j)}, tcp::endpoint(asio::ip::address_v4::loopback(), 0),
                    servers[j]->local_endpoint()));
    }
    // Who hears whom now. A datagram that is cut is gone for good, so one later is enough to know: each sends
    // a marker to itself last, by the same way, which nothing cuts.
    std::set<std::pair<int, int>> hears() {
        const std::string text = std::to_string(++round);
        for (int i = 0; i < kMembers; ++i)
            for (int k = 1; k <= kMembers; ++k)
                probes[i]->socket.send_to(asio::buffer(text), net.address_of(name_of((i + k) % kMembers)));
        const auto heard = [&](int i, int j) {
            return probes[j]->heard.contains({net.address_of(name_of(i)).port(), text});
        };
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        const auto all_marked = [&] {
            for (int i = 0; i < kMembers; ++i)
                if (!heard(i, i)) return false;
            return true;
        };
        while (!all_marked() && std::chrono::steady_clock::now() < limit)
            io.run_one_for(std::chrono::milliseconds(100));
        io.run_for(std::chrono::milliseconds(20));  // markers of two sockets may overtake each other's rest
        std::set<std::pair<int, int>> pairs;
        for (int i = 0; i < kMembers; ++i)
            for (int j = 0; j < kMembers; ++j)
                if (i != j && heard(i, j)) pairs.emplace(i, j);
        return pairs;
    }
    // Which connections come up. One that does not is waited for no longer than the ones that do.
    std::set<std::pair<int, int>> connects() {
        std::vector<std::unique_ptr<tcp::socket>> sockets;
        std::set<std::pair<int, int>> up;
        for (int i = 0; i < kMembers; ++i)
            for (int j = 0; j < kMembers; ++j) {
                if (i == j) continue;
                sockets.push_back(std::make_unique<tcp::socket>(io));
                sockets.back()->async_connect(links[i * kMembers + j]->endpoint(), [&up, i, j](Error error) {
                    if (!error) up.emplace(i, j);
                });
            }
        io.run_for(std::chrono::milliseconds(60));
        for (auto& s : sockets) s->close();
        io.run_for(std::chrono::milliseconds(1));
        return up;
    }
};

TEST(FaultProxy, PassesDatagramsAndConnectionsOfEachPairAsThePartitionsSay) {
    Net n;
    // As numbers: 0 to 4 and 5 to 9 are two halves, 10 stands in both, 11 in none.
    const auto half = [](int i) { return i < 5 ? 1 : i < 10 ? 2 : 0; };
    struct Stage {
        const char* name;
        std::function<bool(int, int)> hears;
        std::function<void()> put;
    };
    const auto clear = [&] { n.context.replace_rules({}); };
    const Stage script[] = {
        {"whole", [](int, int) { return true; }, clear},
        {"halves with a bridge",
         [&](int i, int j) { return half(i) == 0 || half(j) == 0 || half(i) == half(j); },
         [&] {
             Rule r;
             r.name = "halves";
             r.groups = {{"n-0", "n-1", "n-2", "n-3", "n-4", "n-10"},
                         {"n-5", "n-6", "n-7", "n-8", "n-9", "n-10"}};
             n.context.put_rule(r);
         }},
        {"and one way to n-11",
         [&](int i, int j) {
             return (half(i) == 0 || half(j) == 0 || half(i) == half(j)) && !(j == 11 && i < 3);
         },
         [&] {
             Rule r;
             r.name = "one way", r.from = {"n-0", "n-1", "n-2"}, r.to = {"n-11"};
             n.context.put_rule(r);
         }},
        {"one alone", [](int i, int j) { return i != 7 && j != 7; },
         [&] {
             clear();
             Rule out, in;
             out.name = "out", out.from = {"n-7"};
             in.name = "in", in.to = {"n-7"};
             // Nobody is cut off from itself.
             out.to =
                 in.from = {"n-0", "n-1", "n-2", "n-3", "n-4", "n-5", "n-6", "n-8", "n-9", "n-10", "n-11"};
             n.context.put_rule(out), n.context.put_rule(in);
         }},
        {"healed", [](int, int) { return true; }, clear}};
    for (const Stage& stage : script) {
        stage.put();
        const auto heard = n.hears();
        const auto up = n.connects();
        for (int i = 0; i < kMembers; ++i)
            for (int j = 0; j < kMembers; ++j) {
                if (i == j) continue;
                EXPECT_EQ(heard.contains({i, j}), stage.hears(i, j))
                    << stage.name << ": " << i << " to " << j;
                // A connection needs both ways.
                EXPECT_EQ(up.contains({i, j}), stage.hears(i, j) && stage.hears(j, i))
                    << stage.name << ": " << i << " connects to " << j;
            }
    }
}

TEST(DatagramNet, BroadcastsFromTheSendersAddressAndDropsUnknownSenders) {
    Net n;
    n.probes[3]->socket.send_to(asio::buffer(std::string("all")), n.net.broadcast_address());
    Probe stranger(n.io);
    stranger.socket.send_to(asio::buffer(std::string("boo")), n.net.address_of("n-0"));
    const std::uint16_t address = n.net.address_of("n-3").port();
    const auto got = [&] {
        std::size_t count = 0;
        for (const auto& p : n.probes) count += p->heard.contains({address, "all"});
        return count;
    };
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while ((got() < kMembers - 1 || n.net.unknown_senders() == 0) && std::chrono::steady_clock::now() < limit)
        n.io.run_one_for(std::chrono::milliseconds(100));
    EXPECT_EQ(got(), static_cast<std::size_t>(kMembers - 1));
    EXPECT_FALSE(n.probes[3]->heard.contains({address, "all"}));
    EXPECT_EQ(n.net.unknown_senders(), 1U);
    EXPECT_EQ(n.net.total_counts().bytes_delivered, 3U * (kMembers - 1));
    EXPECT_EQ(n.probes[0]->heard.size(), 1U);
}

TEST(DatagramNet, HoldsADatagramBackUntilTwoHaveOvertakenIt) {
    Net n;
    Rule r;
    r.name = "back", r.type = FaultType::reorder, r.overtaken_by = 2, r.delay = 30000,
    r.first_number = r.last_number = 1;
    n.context.put_rule(r);
    std::vector<std::string> order;
    const auto to = n.net.address_of("n-1");
    std::size_t seen = 0;
    for (const char* text : {"first", "second", "third", "fourth"}) {
        n.probes[0]->socket.send_to(asio::buffer(std::string(text)), to);
        const bool held = std::string(text) == "first";
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (n.net.counts({"n-0", "n-1"}).sent < order.size() + 1 &&
               std::chrono::steady_clock::now() < limit)
            n.io.run_one_for(std::chrono::milliseconds(100));
        order.push_back(std::to_string(n.net.counts({"n-0", "n-1"}).delivered));
        seen += !held;
    }
    // Held; one; two, and the first behind them; all.
    EXPECT_EQ(order, (std::vector<std::string>{"0", "1", "3", "4"}));
}

}  // namespace
}  // namespace elmbay::fault_proxy
