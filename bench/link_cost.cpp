// What a link that is told to do nothing costs: round trips and bytes a second through one, beside a direct
// connection in the same run, in turns. Ends and link have a thread each.
//
//     build/link_cost
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

#include "fault_proxy/stream_link.hpp"

namespace {

using namespace elmbay::fault_proxy;
namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr int kRounds = 5, kTrips = 20000;
constexpr std::size_t kMessage = 200, kBulk = 512UL << 20, kPiece = 64 * 1024;

double seconds(Clock::duration d) { return std::chrono::duration<double>(d).count(); }

// Answers each message with one as long, then takes bytes until the end.
void serve(tcp::socket socket) {
    socket.set_option(tcp::no_delay(true));
    std::vector<char> piece(kPiece);
    for (int i = 0; i < kTrips; ++i) {
        asio::read(socket, asio::buffer(piece, kMessage));
        asio::write(socket, asio::buffer(piece, kMessage));
    }
    boost::system::error_code error;
    while (!error) socket.read_some(asio::buffer(piece), error);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(piece, 1), ignored);
}

struct Figures {
    std::vector<double> trips;  // microseconds
    double rate = 0;            // bytes a second
};
Figures measure(const tcp::endpoint& at) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(at);
    socket.set_option(tcp::no_delay(true));
    std::vector<char> piece(kPiece);
    Figures f;
    for (int i = 0; i < kTrips; ++i) {
        const auto began = Clock::now();
        asio::write(socket, asio::buffer(piece, kMessage));
        asio::read(socket, asio::buffer(piece, kMessage));
        f.trips.push_back(1e6 * seconds(Clock::now() - began));
    }
    std::sort(f.trips.begin(), f.trips.end());
    const auto began = Clock::now();
    for (std::size_t sent = 0; sent < kBulk; sent += kPiece) asio::write(socket, asio::buffer(piece));
    socket.shutdown(tcp::socket::shutdown_send);
    asio::read(socket, asio::buffer(piece, 1));
    f.rate = static_cast<double>(kBulk) / seconds(Clock::now() - began);
    return f;
}

}  // namespace

int main() {
    asio::io_context server_io, link_io;
    tcp::acceptor server(server_io, {asio::ip::address_v4::loopback(), 0});
    std::thread serving([&] {
        for (int i = 0; i < 2 * kRounds; ++i) serve(server.accept());
    });
    EventLoopContext context(link_io);
    StreamLink link(context, {"a", "b"}, {asio::ip::address_v4::loopback(), 0}, server.local_endpoint());
    const auto at = link.endpoint();
    auto work = asio::make_work_guard(link_io);
    std::thread linking([&] { link_io.run(); });
    std::vector<double> rates, added50, added99;
    for (int i = 0; i < kRounds; ++i) {
        const Figures direct = measure(server.local_endpoint()), through = measure(at);
        const auto part = [](const Figures& f, double q) {
            return f.trips[static_cast<std::size_t>(q * static_cast<double>(f.trips.size() - 1))];
        };
        fmt::print(
            "direct p50 {:.0f} p99 {:.0f} us, {:.2f} GB/s; link p50 {:.0f} p99 {:.0f} us, {:.2f} GB/s\n",
            part(direct, 0.5), part(direct, 0.99), direct.rate / 1e9, part(through, 0.5), part(through, 0.99),
            through.rate / 1e9);
        rates.push_back(through.rate / direct.rate);
        added50.push_back(part(through, 0.5) - part(direct, 0.5));
        added99.push_back(part(through, 0.99) - part(direct, 0.99));
    }
    for (auto* list : {&rates, &added50, &added99}) std::sort(list->begin(), list->end());
    fmt::print(
        "median of {}: {:.2f} of the direct bytes a second; a round trip (two ways) adds {:.0f} us at p50, "
        "{:.0f} us at p99\n",
        kRounds, rates[kRounds / 2], added50[kRounds / 2], added99[kRounds / 2]);
    work.reset();
    link_io.stop();
    linking.join();
    serving.join();
}
