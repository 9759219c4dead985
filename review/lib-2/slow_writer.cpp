// Case: a planned restart while clients write a request slowly: the connection ends with no answer.
#include <list>

#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 6;
constexpr int kClients = 20;
constexpr int kRestarts = 4;
constexpr int kPieces = 9;
constexpr double kPieceInterval = 100;     // a slow client writes its request within 0.9 s
constexpr double kRun = 3000;              // of a sidecar, until it is told to end
constexpr double kKillAfter = 1500 + 700;  // PROTOCOL: the longest deadline and 0.7 s after SIGTERM
constexpr std::size_t kBody = 9000;
std::atomic<double> told_to_end_at = 1e12;

void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        const string id = request.header("x-correlation-id");
        record.line("%s runs %s", server.c_str(), id.c_str());
        sleep_ms(20);
        if (!connection.write(ok_answer("answer of " + server + " to " + id + "\n"))) return;
    }
}

struct Counts {
    std::atomic<int> sent = 0, answered = 0, sent_again = 0, lost = 0;
};

// One client: a request after the other on a connection that is kept, the first on it written at once. A
// request that crosses the end of the resting connection is sent once more on a new one.
void run_client(const Sidecar& sidecar, double until, Counts& counts) {
    Connection connection;
    bool is_used = false;
    sleep_ms(random_between(0, 900));
    while (now_ms() < until) {
        if (!connection.is_open()) {
            is_used = false;
            connection = Connection::to(sidecar.port());
            if (!connection.is_open()) {
                sleep_ms(20);
                continue;
            }
        }
        const string id = new_id();
        const string text = deposit_head(id, 600) + "Content-Length: " + std::to_string(kBody) + "\r\n\r\n" +
                            string(kBody, 'b');
        const double begun_at = now_ms();
        bool is_written = true;
        const int pieces = is_used ? kPieces : 1;
        const std::size_t size = text.size() / pieces + 1;
        for (std::size_t at = 0; at < text.size() && is_written; at += size) {
            if (at > 0) sleep_ms(kPieceInterval);
            is_written = connection.write(text.substr(at, size));
        }
        const double written_at = now_ms();
        ++counts.sent;
        Message answer;
        const ReadResult result =
            is_written ? connection.read(answer, written_at + 600 + 550) : ReadResult::reset;
        const double told_at = told_to_end_at;
        // Counted are only requests that were begun before the sidecar was told to end, on a used connection.
        const bool is_begun_before = begun_at < told_at && is_used;
        if (result == ReadResult::complete) {
            ++counts.answered;
            record.line("%s, begun at %.0f, written at %.0f, was answered with %d", id.c_str(), begun_at,
                        written_at, answer.status());
        } else if (is_written && is_begun_before) {
            ++counts.lost;
            record.line(
                "LOST: %s, begun %.0f ms before SIGTERM, last byte written %.0f ms after it, %s with no "
                "answer",
                id.c_str(), told_at - begun_at, written_at - told_at,
                result == ReadResult::timed_out ? "the connection is open" : "the connection ended");
        } else {
            ++counts.sent_again;
            record.line("%s, begun at %.0f, is to be sent again on a new connection", id.c_str(), begun_at);
        }
        if (result != ReadResult::complete || answer.header("connection") == "close") connection.close();
        is_used = true;
        sleep_ms(random_interval(30));
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
    Sidecar sidecar(arguments[1], discovery.port(), discovery.whole_list(), {});
    Counts counts;
    for (int life = 0; life < kRestarts; ++life) {
        if (life == 0 || with_trouble()) sidecar.start();
        if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");
        told_to_end_at = 1e12;
        std::list<std::thread> clients;
        const double until = now_ms() + kRun + 400;  // new connections go on coming for 0.2 to 0.4 s
        for (int i = 0; i < kClients; ++i) clients.emplace_back([&] { run_client(sidecar, until, counts); });
        sleep_ms(kRun);
        if (with_trouble()) {
            told_to_end_at = now_ms();
            sidecar.signal(SIGTERM);
            record.line("SIGTERM");
            while (now_ms() < told_to_end_at + kKillAfter && !sidecar.has_ended()) sleep_ms(1);
        }
        for (std::thread& client : clients) client.join();
        if (with_trouble()) sidecar.kill();
    }
    record.say("%d requests: %d answered, %d sent again on another connection, %d lost", counts.sent.load(),
               counts.answered.load(), counts.sent_again.load(), counts.lost.load());
    if (counts.sent < 100) end_test(sidecar, 2, "too few requests");
    if (counts.lost > 0) end_test(sidecar, 1, "broken: a connection ended with no answer to a request");
    end_test(sidecar, 0, "held");
}
