// Measures the overhead of a fault proxy link without fault rules: the duration of round trips and the
// throughput through the link, compared with a direct connection.
//
// A run alternates between a direct connection and one through the link. Client, server and link each have a
// thread.
//
//     build/link_cost
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "fault_proxy/stream_link.hpp"

namespace {

namespace asio = boost::asio;
using elmbay::fault_proxy::EventLoopContext;
using elmbay::fault_proxy::StreamLink;
using elmbay::fault_proxy::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr int kRounds = 5;          // each measures a direct connection and one through the link
constexpr int kRoundTrips = 20000;  // on each connection
constexpr std::size_t kMessageBytes = 200;
constexpr std::size_t kBulkBytes = 512UL << 20;  // sent on each connection after the round trips
constexpr std::size_t kBufferBytes = 64UL * 1024;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kGiga = 1e9;

double seconds_since(SteadyClock::time_point start) {
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
}

/// Responds to each message with a message of the same length. Then reads until the client closes its sending
/// side, and sends one byte.
void serve(tcp::socket socket) {
    socket.set_option(tcp::no_delay(true));
    std::vector<char> buffer(kBufferBytes);
    for (int i = 0; i < kRoundTrips; ++i) {
        asio::read(socket, asio::buffer(buffer, kMessageBytes));
        asio::write(socket, asio::buffer(buffer, kMessageBytes));
    }
    boost::system::error_code error;
    while (!error) socket.read_some(asio::buffer(buffer), error);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(buffer, 1), ignored);
}

/// The measurements of one connection.
struct Measurement {
    std::vector<double> round_trips;  ///< microseconds, in ascending order
    double bytes_per_second = 0;

    double quantile(double share) const {
        return round_trips[static_cast<std::size_t>(share * static_cast<double>(round_trips.size() - 1))];
    }
};

std::vector<double> measure_round_trips(tcp::socket& socket) {
    std::vector<char> buffer(kMessageBytes);
    std::vector<double> round_trips;
    for (int i = 0; i < kRoundTrips; ++i) {
        const auto start = SteadyClock::now();
        asio::write(socket, asio::buffer(buffer));
        asio::read(socket, asio::buffer(buffer));
        round_trips.push_back(kMicrosPerSecond * seconds_since(start));
    }
    std::sort(round_trips.begin(), round_trips.end());
    return round_trips;
}

double measure_bytes_per_second(tcp::socket& socket) {
    std::vector<char> buffer(kBufferBytes);
    const auto start = SteadyClock::now();
    for (std::size_t sent = 0; sent < kBulkBytes; sent += kBufferBytes) {
        asio::write(socket, asio::buffer(buffer));
    }
    socket.shutdown(tcp::socket::shutdown_send);
    asio::read(socket, asio::buffer(buffer, 1));
    return static_cast<double>(kBulkBytes) / seconds_since(start);
}

Measurement measure(const tcp::endpoint& address) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(address);
    socket.set_option(tcp::no_delay(true));
    Measurement measurement;
    measurement.round_trips = measure_round_trips(socket);
    measurement.bytes_per_second = measure_bytes_per_second(socket);
    return measurement;
}

/// The overhead of the link compared with the direct connection, one value for each round.
struct Overheads {
    std::vector<double> throughput_ratios;
    std::vector<double> added_p50;  ///< microseconds
    std::vector<double> added_p99;  ///< microseconds
};

void add_overhead(Overheads& overheads, const Measurement& direct, const Measurement& linked) {
    fmt::print("direct p50 {:.0f} p99 {:.0f} us, {:.2f} GB/s; link p50 {:.0f} p99 {:.0f} us, {:.2f} GB/s\n",
               direct.quantile(0.5), direct.quantile(0.99), direct.bytes_per_second / kGiga,
               linked.quantile(0.5), linked.quantile(0.99), linked.bytes_per_second / kGiga);
    overheads.throughput_ratios.push_back(linked.bytes_per_second / direct.bytes_per_second);
    overheads.added_p50.push_back(linked.quantile(0.5) - direct.quantile(0.5));
    overheads.added_p99.push_back(linked.quantile(0.99) - direct.quantile(0.99));
}

void report(Overheads overheads) {
    for (auto* values : {&overheads.throughput_ratios, &overheads.added_p50, &overheads.added_p99}) {
        std::sort(values->begin(), values->end());
    }
    constexpr std::size_t kMedian = kRounds / 2;
    fmt::print(
        "median of {} rounds: {:.2f} of the direct throughput; "
        "the link adds {:.0f} us to a round trip at p50, {:.0f} us at p99\n",
        kRounds, overheads.throughput_ratios[kMedian], overheads.added_p50[kMedian],
        overheads.added_p99[kMedian]);
}

}  // namespace

int main() {
    asio::io_context server_io;
    asio::io_context link_io;
    const tcp::endpoint any_port(asio::ip::address_v4::loopback(), 0);
    tcp::acceptor server(server_io, any_port);
    std::thread server_thread([&] {
        for (int i = 0; i < 2 * kRounds; ++i) serve(server.accept());
    });
    EventLoopContext context(link_io);
    StreamLink link(context, {"a", "b"}, any_port, server.local_endpoint());
    const tcp::endpoint link_address = link.endpoint();
    auto work = asio::make_work_guard(link_io);
    std::thread link_thread([&] { link_io.run(); });
    Overheads overheads;
    for (int i = 0; i < kRounds; ++i) {
        const Measurement direct = measure(server.local_endpoint());
        const Measurement linked = measure(link_address);
        add_overhead(overheads, direct, linked);
    }
    report(std::move(overheads));
    work.reset();
    link_io.stop();
    link_thread.join();
    server_thread.join();
}
