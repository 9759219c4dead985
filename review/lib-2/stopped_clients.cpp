// Case: hundreds of clients stop in the middle of a request and stay. Usual clients' requests wait in the
// accept queue and get no answer in time.
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 8;
constexpr int kWaves = 4;
constexpr double kWaveInterval = 6000;
constexpr int kStoppedClients = 300;  // in a wave
constexpr int kRequests = 12;         // of usual clients, in a wave
constexpr double kRequestInterval = 50;
constexpr int kTimeLeft = 400;  // BRIEF: a try is given up after 33 to 55% of the class's 1.2 s
// STANDING: half a second after its time a request is lost; PROTOCOL: each time limit is 50 ms longer.
constexpr double kGrace = 500 + 50;

void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        const string id = request.header("x-correlation-id");
        record.line("%s runs %s", server.c_str(), id.c_str());
        sleep_ms(40);
        if (!connection.write(ok_answer("answer of " + server + " to " + id + "\n"))) return;
    }
}

// Clients that connect at once, send half a request, and stay until they get an error or a close.
void run_stopped_clients(int port) {
    std::vector<Connection> clients;
    for (int i = 0; i < kStoppedClients; ++i) {
        Connection client = Connection::to(port);
        client.write(deposit_head(new_id(), kTimeLeft) + "Content-Length: 212\r\n\r\nhalf");
        clients.push_back(std::move(client));
    }
    const double begin = now_ms();
    record.line("%d clients have sent half a request and stay", kStoppedClients);
    Message ignored;
    double longest = 0;
    for (Connection& client : clients) {
        client.read(ignored, begin + 10000);
        longest = now_ms() - begin;
        client.close();
    }
    record.line("all of them have got an error or a close %.0f ms after the last has connected", longest);
}

}  // namespace

int main(int, char** arguments) {
    record.open(string(arguments[2]) + "/record.txt");
    std::vector<std::unique_ptr<Acceptor>> acceptors;
    std::vector<Target> targets;
    for (int i = 0; i < kServers; ++i) {
        const string name = "s-" + std::to_string(i);
        acceptors.push_back(std::make_unique<Acceptor>([name](Connection c) { serve(std::move(c), name); }));
        targets.push_back({name, acceptors.back()->port()});
    }
    Discovery discovery("discovery", targets, 41);
    Sidecar sidecar(arguments[1], discovery.port(), discovery.whole_list(),
                    {.memory_mb = 64, .sockets = 256});
    sidecar.start();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");

    std::atomic<int> in_time = 0, closed = 0, lost = 0;
    std::vector<std::thread> threads;
    for (int wave = 0; wave < kWaves; ++wave) {
        const double begin = now_ms();
        if (with_trouble()) threads.emplace_back([&] { run_stopped_clients(sidecar.port()); });
        sleep_ms(100);
        for (int i = 0; i < kRequests; ++i) {
            threads.emplace_back([&] {
                Connection connection = Connection::to(sidecar.port());
                const string id = new_id();
                if (!connection.is_open() || !connection.write(deposit_request(id, kTimeLeft))) {
                    ++closed;
                    return;
                }
                const double sent_at = now_ms();
                record.line("%s sent, whole", id.c_str());
                Message answer;
                const ReadResult result = connection.read(answer, sent_at + 8000);
                const double time = now_ms() - sent_at;
                if (result == ReadResult::closed || result == ReadResult::reset) {
                    ++closed;  // STANDING: new connections may be shut unread then
                    record.line("%s: connection closed after %.0f ms", id.c_str(), time);
                } else if (time <= kTimeLeft + kGrace) {
                    ++in_time;
                    record.line("%s answered with %d after %.0f ms", id.c_str(), answer.status(), time);
                } else {
                    ++lost;
                    record.line("LOST: %s had %d ms and was answered with %d after %.0f ms", id.c_str(),
                                kTimeLeft, answer.status(), time);
                }
            });
            sleep_ms(kRequestInterval);
        }
        sleep_ms(begin + kWaveInterval - now_ms());
    }
    for (std::thread& thread : threads) thread.join();
    record.say("%d requests: %d answered in time, %d closed unread, %d lost", kWaves * kRequests,
               in_time.load(), closed.load(), lost.load());
    if (sidecar.has_ended()) end_test(sidecar, 2, "the sidecar has ended");
    if (lost > 0) end_test(sidecar, 1, "broken: requests got no final answer in time");
    end_test(sidecar, 0, "held");
}
