// Case: a second copy of an answer comes some milliseconds late, and the next caller on that connection gets
// it.
#include <condition_variable>
#include <deque>

#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 10;
constexpr int kClients = 20;
constexpr double kDuration = 30000;
constexpr double kMeanPause = 40;     // between a client's requests, in ms
constexpr double kCopyShare = 0.05;   // share of answers that a second copy follows
constexpr double kOneWayDelay = 0.6;  // between sidecar and servers, in ms; BRIEF: 0.42 to 0.78 ms
std::atomic<int> copies = 0;

// One direction of a connection over the network between the halls: passes bytes on after kOneWayDelay.
class DelayedPipe {
public:
    DelayedPipe(int from, int to) : from_(from), to_(to) {}
    void run() {
        std::thread writer([this] { write(); });
        char bytes[65536];
        for (;;) {
            const ssize_t size = ::recv(from_, bytes, sizeof bytes, 0);
            if (size < 0 && errno == EINTR) continue;
            {
                const std::lock_guard lock(mutex_);
                pieces_.push_back({clock_ms() + kOneWayDelay, size > 0 ? string(bytes, size) : ""});
            }
            changed_.notify_one();
            if (size <= 0) break;
        }
        writer.join();
    }

private:
    struct Piece {
        double at;
        string bytes;  // empty at the end of the direction
    };
    void write() {
        for (;;) {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return !pieces_.empty(); });
            const Piece piece = std::move(pieces_.front());
            pieces_.pop_front();
            lock.unlock();
            sleep_ms(piece.at - clock_ms());
            if (piece.bytes.empty()) {
                ::shutdown(to_, SHUT_WR);
                return;
            }
            (void)::send(to_, piece.bytes.data(), piece.bytes.size(), MSG_NOSIGNAL);
        }
    }
    const int from_;
    const int to_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Piece> pieces_;
};

void pass_on(Connection sidecar, int server_port) {
    Connection server = Connection::to(server_port);
    if (!server.is_open()) return;
    DelayedPipe request(sidecar.fd(), server.fd());
    DelayedPipe answer(server.fd(), sidecar.fd());
    std::thread thread([&] { answer.run(); });
    request.run();
    thread.join();
}

void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        const string id = request.header("x-correlation-id");
        record.line("%s runs %s", server.c_str(), id.c_str());
        sleep_ms(10 + random_interval(20));
        const string answer = ok_answer("answer of " + server + " to " + id + "\n");
        if (!connection.write(answer)) return;
        if (!with_trouble() || random_between(0, 1) >= kCopyShare) continue;
        sleep_ms(random_between(2, 6));
        // The second copy comes only if no other request waits on the connection.
        if (connection.has_input()) continue;
        connection.write(answer);
        ++copies;
        record.line("%s sends the answer to %s again", server.c_str(), id.c_str());
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
        const int server_port = acceptors.back()->port();
        acceptors.push_back(
            std::make_unique<Acceptor>([server_port](Connection c) { pass_on(std::move(c), server_port); }));
        targets.push_back({name, acceptors.back()->port()});
    }
    Discovery discovery("discovery", targets, 41);
    Sidecar sidecar(arguments[1], discovery.port(), discovery.whole_list(), {});
    sidecar.start();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");

    std::atomic<int> sent = 0, served = 0, foreign = 0;
    const double until = now_ms() + kDuration;
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&] {
            Connection connection;
            while (now_ms() < until) {
                if (!connection.is_open()) connection = Connection::to(sidecar.port());
                const string id = new_id();
                ++sent;
                Message answer;
                const bool ok = connection.is_open() && connection.write(deposit_request(id, 600)) &&
                                connection.read(answer, now_ms() + 2000) == ReadResult::complete;
                if (!ok || answer.header("connection") == "close") connection.close();
                const bool is_served = ok && answer.status() == 200;
                const bool is_own = answer.body.ends_with(" to " + id + "\n");
                served += is_served;
                if (is_served && !is_own) {
                    ++foreign;
                    record.line("FOREIGN: %s was answered with 200: %s", id.c_str(), answer.body.c_str());
                } else {
                    record.line("%s was answered with %d", id.c_str(), ok ? answer.status() : 0);
                }
                sleep_ms(random_interval(kMeanPause));
            }
        });
    }
    for (std::thread& client : clients) client.join();
    record.say("%d requests, %d served, %d second copies, %d callers got the answer to another request",
               sent.load(), served.load(), copies.load(), foreign.load());
    if (served < 1000 || (with_trouble() && copies < 50)) end_test(sidecar, 2, "too little traffic");
    if (foreign > 0) end_test(sidecar, 1, "broken: a caller was served with foreign data");
    end_test(sidecar, 0, "held");
}
