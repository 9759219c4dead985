// Case: a sidecar that is restarted while discovery is down sends to a server that drains.
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 6;
constexpr double kOutage = 8000;  // STANDING, herd+mass: discovery is down for 8 s
constexpr double kDrainGrace =
    500 + 50;  // stop-sending-within-ms; each time limit on sockets is 50 ms longer
std::mutex mutex;
std::vector<std::pair<double, string>> received_by_draining;

// For drains a send counts from its first byte. The client's id is read with the whole request.
void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        const string id = request.header("x-correlation-id");
        record.line("%s runs %s", server.c_str(), id.c_str());
        if (server == "s-0") {
            const std::lock_guard lock(mutex);
            received_by_draining.emplace_back(now_ms(), id);
        }
        sleep_ms(30);
        if (!connection.write(ok_answer("answer of " + server + " to " + id + "\n"))) return;
    }
}

int received_after(double time) {
    const std::lock_guard lock(mutex);
    return static_cast<int>(std::count_if(received_by_draining.begin(), received_by_draining.end(),
                                          [time](const auto& entry) { return entry.first > time; }));
}

// Sends a request every 20 ms, each on a connection of its own.
void send_requests(const Sidecar& sidecar, double until) {
    std::vector<std::thread> clients;
    while (now_ms() < until) {
        clients.emplace_back([&sidecar] {
            Connection connection = Connection::to(sidecar.port());
            const string id = new_id();
            Message answer;
            if (!connection.is_open() || !connection.write(deposit_request(id, 600))) return;
            if (connection.read(answer, now_ms() + 2000) == ReadResult::complete)
                record.line("%s was answered with %d", id.c_str(), answer.status());
        });
        sleep_ms(20);
    }
    for (std::thread& client : clients) client.join();
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
    // The agent on the sidecar's machine: lists are pushed.
    Discovery agent("agent", targets, 41);
    Sidecar sidecar(arguments[1], agent.port(), agent.whole_list(), {});
    sidecar.start();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");
    send_requests(sidecar, now_ms() + 2000);
    const int before = received_after(0);
    if (agent.watches() == 0 || before == 0) end_test(sidecar, 2, "no watch, or no request to s-0");

    // The process is killed. While it isn't there, the agent learns that s-0 drains, and then discovery goes
    // down.
    sidecar.signal(SIGKILL);
    while (!sidecar.has_ended()) sleep_ms(1);
    record.say("%d requests to s-0 up to the kill of the sidecar", before);
    sleep_ms(200);
    agent.change("s-0", "leaving");
    sleep_ms(200);
    const double outage_at = now_ms();
    if (with_trouble()) {
        agent.set_down(true);
        record.say("discovery is down: the agent is silent");
    }
    sleep_ms(200);
    // The platform starts it again. `known` is the list as the sidecar last had it: s-0 is active there.
    sidecar.start();
    const double restarted_at = now_ms();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready after its restart");
    send_requests(sidecar, outage_at + kOutage);
    agent.set_down(false);
    record.say("discovery is back");
    send_requests(sidecar, now_ms() + 2000);

    const int late = received_after(restarted_at + kDrainGrace);
    record.say("second process: %d requests to s-0 later than %.0f ms after its start", late, kDrainGrace);
    if (late > 0) end_test(sidecar, 1, "broken: work was sent to a server that drains");
    end_test(sidecar, 0, "held");
}
