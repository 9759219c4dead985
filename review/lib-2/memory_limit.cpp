// Case: clients that write chunked requests slowly drive the sidecar over its memory limit.
#include <barrier>

#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 8;
constexpr int kClients = 330;  // LATER: at most a third of the descriptors, 341 of 1,024
constexpr int kRounds = 6;
constexpr double kWriteTime = 1000;  // of a client that writes slowly, in ms
constexpr int kMemoryMb = 32;        // LATER: 32 to 192 MB
constexpr int kSockets = 1024;       // LATER: 256 to 1,024 descriptors
constexpr int kPieces = 8;
constexpr std::size_t kBody = 65536;  // PROTOCOL: bodies hold at most 64 KiB
// STANDING, zone+brink: some requests and answers are long.
constexpr std::size_t kLongBody = 200000;
constexpr int kClientsPerLongBody = 10;

void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        record.line("%s runs %s", server.c_str(), request.header("x-correlation-id").c_str());
        sleep_ms(200);
        if (!connection.write(ok_answer(string(kBody, 'a')))) return;
    }
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
                    {.memory_mb = kMemoryMb, .sockets = kSockets});
    sidecar.start();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");
    record.say("resident anonymous memory at the start: %ld kB", sidecar.anonymous_kb());

    std::atomic<bool> is_over = false;
    std::atomic<long> most = 0;
    std::thread meter([&] {
        while (!is_over) {
            const long used = sidecar.anonymous_kb();
            if (used > most + 500) record.line("resident anonymous memory: %ld kB", used);
            most = std::max(most.load(), used);
            sleep_ms(2);
        }
    });
    std::atomic<int> sent = 0, answered = 0, closed = 0;
    std::vector<std::thread> clients;
    std::barrier all_clients(kClients);
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, i] {
            Connection connection;
            for (int round = 0; round < kRounds; ++round) {
                if (!connection.is_open()) connection = Connection::to(sidecar.port());
                const string id = new_id();
                Message answer;
                ++sent;
                all_clients.arrive_and_wait();
                if (!with_trouble()) sleep_ms(i * 3);
                const std::size_t size = i % kClientsPerLongBody == 0 ? kLongBody : kBody;
                const string piece(size / kPieces, 'b');
                char piece_size[32];
                std::snprintf(piece_size, sizeof piece_size, "%zx\r\n", piece.size());
                const string head = deposit_head(id, 600) + "Transfer-Encoding: chunked\r\n\r\n";
                bool ok = connection.is_open() && connection.write(head);
                for (int n = 0; n < kPieces; ++n) {
                    ok = ok && connection.write(piece_size + piece + "\r\n");
                    if (with_trouble()) sleep_ms(kWriteTime / kPieces);
                }
                ok = ok && connection.write("0\r\n\r\n") &&
                     connection.read(answer, now_ms() + 3000) == ReadResult::complete;
                ++(ok ? answered : closed);
                record.line("%s was answered with %d", id.c_str(), ok ? answer.status() : 0);
                if (!ok || answer.header("connection") == "close") connection.close();
                sleep_ms(500);
            }
        });
    }
    for (std::thread& client : clients) client.join();
    is_over = true;
    meter.join();
    record.say("%d requests%s; %d answered, %d closed; most resident anonymous memory: %ld kB of %d kB",
               sent.load(), with_trouble() ? " written slowly" : "", answered.load(), closed.load(),
               most.load(), kMemoryMb * 1024);
    if (sidecar.has_ended()) end_test(sidecar, 2, "the sidecar has ended");
    if (most > kMemoryMb * 1024) end_test(sidecar, 1, "broken: over memory_mb, where the platform kills it");
    end_test(sidecar, 0, "held");
}
