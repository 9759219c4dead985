// What keeping state costs: microseconds on the event loop and bytes written an hour by size of the fleet,
// and the time of requests beside a disk on which every operation takes 100 ms, against the same without a
// writer.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <random>
#include <thread>

#include "state/faulty_file_system.hpp"
#include "state/snapshot_writer.hpp"
#include "state/timestamp.hpp"
#include "support/sidecar_fixture.hpp"

namespace {

using namespace elmbay;
using namespace elmbay::balancer;
using Steady = std::chrono::steady_clock;

double micros(Steady::duration d) { return std::chrono::duration<double, std::micro>(d).count(); }
double share(std::vector<double> v, double q) {
    std::sort(v.begin(), v.end());
    return v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))];
}

// An hour of 250 requests a second, one in a hundred failing, looked at every 2 s.
void an_hour(ServerId servers) {
    Settings settings;
    settings.classes.emplace_back();
    Balancer balancer(settings, 1);
    std::vector<Action> actions;
    ServerList list;
    for (ServerId id = 1; id <= servers; ++id)
        list.servers.push_back({id, 0, 0, 0, EndpointState::active, 0});
    Millis now = 1e9;
    balancer.handle(now, list, actions);
    std::mt19937_64 random(1);
    state::test::FaultyFileSystem files;
    state::SnapshotStore store(files, "state", "n-1");
    store.open();
    std::vector<double> took;
    std::uint64_t generations = 0;
    for (RequestId id = 1; id <= 900000; ++id) {
        now += 4;
        actions.clear();
        balancer.handle(now, RequestArrived{id, 0, {}, 1000}, actions);
        const auto fails = [&] { return random() % 100 == 0; };
        for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
            bool sent = false;
            for (const Action& a : actions) sent = sent || std::holds_alternative<StartAttempt>(a);
            if (!sent) break;
            actions.clear();
            const bool failed = fails();
            balancer.handle(
                now,
                AttemptEnded{id, attempt, failed ? Outcome::error_response : Outcome::success, 20, !failed},
                actions);
        }
        if (id % 500 != 0) continue;
        const auto from = Steady::now();
        state::Snapshot snapshot{
            "n-1", {static_cast<std::int64_t>(now), 0, {}}, balancer.learned_state(now), {}};
        took.push_back(micros(Steady::now() - from));
        for (LearnedServerState& s : snapshot.learned_state.servers) {
            snapshot.uids.push_back("s-" + std::to_string(s.server));
            s.server = static_cast<std::uint32_t>(snapshot.uids.size() - 1);
        }
        if (store.save(snapshot, id % 15000 == 0 ? state::SaveMode::always : state::SaveMode::if_changed))
            std::exit(1);
        generations = store.generation();
    }
    std::printf(
        "%5u servers: knowledge taken in %.1f us (p99 %.1f); %.2f MB written an hour, %llu generations\n",
        servers, share(took, 0.5), share(took, 0.99), static_cast<double>(store.bytes_written()) / 1e6,
        static_cast<unsigned long long>(generations));
}

class SlowFileSystem : public state::test::FaultyFileSystem {
public:
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        slow();
        return FaultyFileSystem::write(file, bytes, error);
    }
    void sync(Handle file, std::error_code& error) override {
        slow();
        FaultyFileSystem::sync(file, error);
    }

private:
    static void slow() { std::this_thread::sleep_for(std::chrono::milliseconds(100)); }
};

// Requests one after another through one sidecar and one server, all in this thread; the writer is the other.
void beside_a_slow_disk() {
    test::SidecarFixture rig;
    rig.start();
    SlowFileSystem files;
    state::SnapshotWriter writer(files, "state", "n-1");
    writer.start();
    const auto client = rig.client();
    test::FakeServer& server = rig.servers.front();
    std::size_t asked = 0;
    const auto ask = [&] {
        const auto from = Steady::now();
        client->send(test::SidecarFixture::request("safe"));
        client->got.clear();
        ++asked;
        rig.until([&] {
            for (const auto& peer : server.peers)
                while (peer->answered < peer->requests()) {
                    ++peer->answered;
                    peer->respond("200 OK", "answer");
                }
            return client->got.find("answer") != std::string::npos;
        });
        return micros(Steady::now() - from);
    };
    for (int i = 0; i < 500; ++i) ask();
    std::vector<double> with, without;
    for (int block = 0; block < 40; ++block) {
        std::vector<double>& into = block % 2 ? with : without;
        for (int i = 0; i < 250; ++i) {
            if (block % 2 && i % 25 == 0) {
                auto snapshot = rig.sidecar->snapshot();
                snapshot.taken = state::current_timestamp();
                writer.post(std::move(snapshot));
            }
            into.push_back(ask());
        }
        for (const auto& peer : server.peers) peer->got.clear(), peer->answered = 0;
    }
    const auto status = writer.status();
    std::printf("requests beside a writer on a slow disk (%llu saves, %llu replaced) against without:\n",
                static_cast<unsigned long long>(status.saves),
                static_cast<unsigned long long>(status.superseded));
    for (const double q : {0.5, 0.9, 0.99})
        std::printf("  p%-3.0f %.0f us against %.0f us: ratio %.2f\n", q * 100, share(with, q),
                    share(without, q), share(with, q) / share(without, q));
    writer.stop(std::chrono::seconds(5));
}

}  // namespace

int main() {
    for (const ServerId servers : {12U, 200U, 2000U}) an_hour(servers);
    beside_a_slow_disk();
}
