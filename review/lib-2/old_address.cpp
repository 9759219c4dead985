// Case: a change from the old address of discovery takes effect over the newer list of the new address.
#include "stand_ins.hpp"

using namespace review;

namespace {

constexpr int kServers = 6;
constexpr double kHeldUp = 120;      // STANDING: a sidecar is held up for up to 0.15 s
constexpr double kToldAfter = 4000;  // LATER: counts as told 4 s after SIGHUP
constexpr double kDrainGrace =
    500 + 50;  // stop-sending-within-ms; each time limit on sockets is 50 ms longer
std::mutex mutex;
std::vector<double> received_by_draining;

void serve(Connection connection, const string& server) {
    Message request;
    while (connection.read(request, 1e12) == ReadResult::complete) {
        const string id = request.header("x-correlation-id");
        record.line("%s runs %s", server.c_str(), id.c_str());
        if (server == "s-0") {
            const std::lock_guard lock(mutex);
            received_by_draining.push_back(now_ms());
        }
        sleep_ms(30);
        if (!connection.write(ok_answer("answer of " + server + " to " + id + "\n"))) return;
    }
}

int received_after(double time) {
    const std::lock_guard lock(mutex);
    return static_cast<int>(std::count_if(received_by_draining.begin(), received_by_draining.end(),
                                          [time](double at) { return at > time; }));
}

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
    Discovery old_agent("old agent", targets, 41);
    std::vector<Target> newer = targets;
    newer[0].state = "leaving";
    Discovery new_agent("new agent", newer, 77);
    Sidecar sidecar(arguments[1], old_agent.port(), old_agent.whole_list(), {});
    sidecar.start();
    if (!sidecar.wait_until_ready()) end_test(sidecar, 2, "the sidecar is not ready");
    send_requests(sidecar, now_ms() + 3000);
    if (old_agent.watches() == 0 || received_after(0) == 0)
        end_test(sidecar, 2, "no watch, or no request to s-0");

    // A new configuration: discovery moves. The new agent knows that s-0 drains; the old one is behind.
    std::thread requests([&] { send_requests(sidecar, now_ms() + 9000); });
    new_agent.hold_answers();
    sidecar.set_discovery(new_agent.port());
    sidecar.signal(SIGHUP);
    const double reloaded_at = now_ms();
    record.line("SIGHUP");
    while (new_agent.held_calls() == 0 && now_ms() < reloaded_at + 2000) sleep_ms(0.1);
    if (new_agent.held_calls() == 0) end_test(sidecar, 2, "no call to the new address");
    if (with_trouble()) {
        sidecar.signal(SIGSTOP);
        record.line("sidecar held up");
        sleep_ms(20);
    }
    new_agent.release_answers();
    sleep_ms(30);
    old_agent.change("s-0", "active", 0.9);
    if (with_trouble()) {
        sleep_ms(kHeldUp - 50);
        sidecar.signal(SIGCONT);
        record.line("sidecar goes on");
    }
    sleep_ms(reloaded_at + 1500 - now_ms());
    old_agent.close_watches();
    requests.join();
    if (new_agent.watches() == 0) end_test(sidecar, 2, "no watch at the new address");

    const int late = received_after(reloaded_at + kToldAfter + kDrainGrace);
    record.say("%d requests to s-0 later than %.0f ms after SIGHUP", late, kToldAfter + kDrainGrace);
    if (late > 0) end_test(sidecar, 1, "broken: work was sent to a server that drains");
    end_test(sidecar, 0, "held");
}
