// Case: clients that stop in the middle of a request and stay, and clients that connect by hundreds and say
// nothing. Usual clients' requests wait in the accept queue and get no answer in time.
#include <list>

#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 8;
// LATER: clients hold a third of the descriptors at most for requests, so 85 of 256: 75 and at most 10 usual
// ones.
constexpr int kSockets = 256;
constexpr int kStoppedClients = 75;
constexpr int kSilentClients = 600;  // LATER: others connect by hundreds and say nothing
constexpr double kDuration = 12000;
constexpr double kRequestInterval = 160;
constexpr int kMostUsual = 10;
constexpr int kGiveUp = 300;    // STANDING: settings may give shorter deadlines
constexpr int kTimeLeft = 120;  // BRIEF: a try is given up after 33 to 55% of that
// STANDING: half a second after its time a request is lost; PROTOCOL: each time limit is 50 ms longer.
constexpr double kGrace = 500 + 50;

void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        const string id = request.header("x-correlation-id");
        record.line("%s runs %s", server.c_str(), id.c_str());
        sleep_ms(20);
        if (!connection.write(ok_answer("answer of " + server + " to " + id + "\n"))) return;
    }
}

// Clients that connect, write `text`, read what they are sent, and stay until they get an error or a close.
// Then they do the same again.
void run_bad_clients(const char* name, int port, std::size_t count, bool sends_half_a_request, double until) {
    std::vector<Connection> clients(count);
    std::vector<double> since(count);
    std::vector<pollfd> entries(count);
    int turned_away = 0;
    double longest = 0;
    while (now_ms() < until) {
        for (std::size_t i = 0; i < count; ++i) {
            if (clients[i].is_open()) continue;
            clients[i] = Connection::to(port);
            since[i] = now_ms();
            if (sends_half_a_request && clients[i].is_open())
                clients[i].write(deposit_head(new_id(), kTimeLeft) + "Content-Length: 212\r\n\r\nhalf");
        }
        for (std::size_t i = 0; i < count; ++i) entries[i] = {clients[i].fd(), POLLIN, 0};
        ::poll(entries.data(), entries.size(), 10);
        for (std::size_t i = 0; i < count; ++i) {
            if (entries[i].revents == 0) continue;
            longest = std::max(longest, now_ms() - since[i]);
            ++turned_away;
            clients[i].close();
        }
    }
    record.say("%zu %s: %d times an error or a close, the latest after %.0f ms", count, name, turned_away,
               longest);
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
                    {.memory_mb = 64, .sockets = kSockets, .give_up_ms = kGiveUp});
    sidecar.start();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");

    std::atomic<int> sent = 0, in_time = 0, closed = 0, lost = 0, open = 0;
    std::list<std::thread> threads;
    const double until = now_ms() + kDuration;
    if (with_trouble()) {
        const int port = sidecar.port();
        threads.emplace_back([=] { run_bad_clients("stopped clients", port, kStoppedClients, true, until); });
        threads.emplace_back([=] { run_bad_clients("silent clients", port, kSilentClients, false, until); });
    }
    for (; now_ms() < until - 3000; sleep_ms(kRequestInterval)) {
        if (open >= kMostUsual) continue;
        ++open;
        threads.emplace_back([&] {
            Connection connection = Connection::to(sidecar.port());
            const string id = new_id();
            ++sent;
            const double sent_at = now_ms();
            Message answer;
            ReadResult result = ReadResult::reset;
            if (connection.is_open() && connection.write(deposit_request(id, kTimeLeft))) {
                record.line("%s sent, whole", id.c_str());
                result = connection.read(answer, sent_at + 3000);
            }
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
            connection.close();
            --open;
        });
    }
    for (std::thread& thread : threads) thread.join();
    record.say("%d requests: %d answered in time, %d closed unread, %d lost", sent.load(), in_time.load(),
               closed.load(), lost.load());
    if (sidecar.has_ended()) end_test(sidecar, 2, "the sidecar has ended");
    if (sent < 30) end_test(sidecar, 2, "too few requests");
    if (lost > 0) end_test(sidecar, 1, "broken: requests got no final answer in time");
    end_test(sidecar, 0, "held");
}
