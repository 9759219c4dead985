// Measures the cost of storing snapshots: the time to take a snapshot on the event loop and the bytes written
// an hour, for different fleet sizes. It also compares the duration of requests with and without a snapshot
// writer on a disk where every operation takes 100 ms.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "state/faulty_file_system.hpp"
#include "state/snapshot_writer.hpp"
#include "state/timestamp.hpp"
#include "support/sidecar_fixture.hpp"

namespace {

using namespace elmbay;
using namespace elmbay::balancer;
using Steady = std::chrono::steady_clock;

double microseconds(Steady::duration duration) {
    return std::chrono::duration<double, std::micro>(duration).count();
}

double quantile(std::vector<double> values, double fraction) {
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

// ---- The event loop and the bytes written -----------------------------------------------------------------

constexpr double kMillisPerRequest = 4;  // 250 requests a second
constexpr RequestId kRequestsPerHour = 900000;
constexpr RequestId kRequestsPerSnapshot = 500;    // a snapshot every 2 s
constexpr RequestId kRequestsPerFullSave = 15000;  // one save a minute, even if little has changed
constexpr std::uint32_t kMaxAttempts = 3;

// A balancer that handles requests in virtual time. One percent of the attempts fails.
class SimulatedTraffic {
public:
    explicit SimulatedTraffic(ServerId servers) : balancer_(settings(), 1) {
        ServerList list;
        for (ServerId id = 1; id <= servers; ++id) {
            list.servers.push_back({id, 0, 0, 0, EndpointState::active, 0});
        }
        balancer_.handle(now_, list, actions_);
    }

    void serve(RequestId id) {
        now_ += kMillisPerRequest;
        actions_.clear();
        balancer_.handle(now_, RequestArrived{id, 0, {}, 1000}, actions_);
        for (std::uint32_t attempt = 0; attempt < kMaxAttempts && attempt_started(); ++attempt) {
            actions_.clear();
            const bool failed = random_() % 100 == 0;
            const Outcome outcome = failed ? Outcome::error_response : Outcome::success;
            balancer_.handle(now_, AttemptEnded{id, attempt, outcome, 20, !failed}, actions_);
        }
    }

    // Returns a snapshot of the learned state. It identifies servers by their ids; assign_uids() replaces
    // them.
    state::Snapshot snapshot() const {
        return {"n-1", {static_cast<std::int64_t>(now_), 0, {}}, balancer_.learned_state(now_), {}};
    }

private:
    static Settings settings() {
        Settings settings;
        settings.classes.emplace_back();
        return settings;
    }

    bool attempt_started() const {
        return std::any_of(actions_.begin(), actions_.end(),
                           [](const Action& action) { return std::holds_alternative<StartAttempt>(action); });
    }

    Balancer balancer_;
    std::vector<Action> actions_;
    Millis now_ = 1e9;
    std::mt19937_64 random_{1};
};

// Adds a uid for each server and replaces the server ids by indices into the uids, as stored snapshots
// require.
void assign_uids(state::Snapshot& snapshot) {
    for (LearnedServerState& server : snapshot.learned_state.servers) {
        snapshot.server_uids.push_back("s-" + std::to_string(server.server));
        server.server = static_cast<std::uint32_t>(snapshot.server_uids.size() - 1);
    }
}

void measure_an_hour(ServerId servers) {
    SimulatedTraffic traffic(servers);
    state::test::FaultyFileSystem files;
    state::SnapshotStore store(files, "state", "n-1");
    store.open();
    std::vector<double> snapshot_times;
    std::uint64_t generations = 0;
    for (RequestId id = 1; id <= kRequestsPerHour; ++id) {
        traffic.serve(id);
        if (id % kRequestsPerSnapshot != 0) continue;
        const Steady::time_point begin = Steady::now();
        state::Snapshot snapshot = traffic.snapshot();
        snapshot_times.push_back(microseconds(Steady::now() - begin));
        assign_uids(snapshot);
        const bool full_save = id % kRequestsPerFullSave == 0;
        if (store.save(snapshot, full_save ? state::SaveMode::always : state::SaveMode::if_changed)) {
            std::exit(1);
        }
        generations = store.generation();
    }
    std::printf(
        "%5u servers: snapshot taken in %.1f us (p99 %.1f us); "
        "%.2f MB and %llu generations written an hour\n",
        servers, quantile(snapshot_times, 0.5), quantile(snapshot_times, 0.99),
        static_cast<double>(store.bytes_written()) / 1e6, static_cast<unsigned long long>(generations));
}

// ---- Requests beside a slow disk --------------------------------------------------------------------------

class SlowFileSystem : public state::test::FaultyFileSystem {
public:
    std::size_t write(Handle file, std::string_view bytes, std::error_code& error) override {
        delay();
        return FaultyFileSystem::write(file, bytes, error);
    }
    void sync(Handle file, std::error_code& error) override {
        delay();
        FaultyFileSystem::sync(file, error);
    }

private:
    static void delay() { std::this_thread::sleep_for(std::chrono::milliseconds(100)); }
};

// Sends sequential requests through one sidecar to one server, all on the calling thread.
class SequentialRequests {
public:
    SequentialRequests() {
        fixture_.start();
        client_ = fixture_.connect_client();
    }

    // Serves one request and returns its duration in microseconds.
    double serve() {
        const Steady::time_point begin = Steady::now();
        client_->send(test::SidecarFixture::request("safe"));
        client_->received.clear();
        fixture_.until([&] {
            fixture_.servers.front().respond_to_all();
            return client_->received.find("answer") != std::string::npos;
        });
        return microseconds(Steady::now() - begin);
    }

    state::Snapshot snapshot() const {
        state::Snapshot snapshot = fixture_.sidecar->snapshot();
        snapshot.taken_at = state::current_timestamp();
        return snapshot;
    }

    // Discards the bytes that the server has received, because counting its requests takes time in proportion
    // to them.
    void discard_received() {
        for (const auto& peer : fixture_.servers.front().connections) {
            peer->received.clear();
            peer->answered_request_count = 0;
        }
    }

private:
    test::SidecarFixture fixture_;
    std::shared_ptr<test::Peer> client_;
};

// Alternates blocks of requests with and without a writer, so that both are measured under the same
// conditions.
void measure_with_slow_disk() {
    constexpr int kWarmUpRequests = 500;
    constexpr int kBlocks = 40;
    constexpr int kRequestsPerBlock = 250;
    constexpr int kRequestsPerSave = 25;
    SequentialRequests requests;
    SlowFileSystem files;
    state::SnapshotWriter writer(files, "state", "n-1");
    writer.start();
    for (int i = 0; i < kWarmUpRequests; ++i) requests.serve();
    std::vector<double> times_with_writer;
    std::vector<double> times_without_writer;
    for (int block = 0; block < kBlocks; ++block) {
        const bool with_writer = block % 2 == 1;
        std::vector<double>& times = with_writer ? times_with_writer : times_without_writer;
        for (int i = 0; i < kRequestsPerBlock; ++i) {
            if (with_writer && i % kRequestsPerSave == 0) writer.post(requests.snapshot());
            times.push_back(requests.serve());
        }
        requests.discard_received();
    }
    const auto status = writer.status();
    std::printf(
        "request duration with a writer on a slow disk "
        "(%llu snapshots saved, %llu superseded), and without:\n",
        static_cast<unsigned long long>(status.saves), static_cast<unsigned long long>(status.superseded));
    for (const double fraction : {0.5, 0.9, 0.99}) {
        const double with_writer = quantile(times_with_writer, fraction);
        const double without_writer = quantile(times_without_writer, fraction);
        std::printf("  p%-3.0f %.0f us with, %.0f us without, ratio %.2f\n", fraction * 100, with_writer,
                    without_writer, with_writer / without_writer);
    }
    writer.stop(std::chrono::seconds(5));
}

}  // namespace

int main() {
    for (const ServerId servers : {12U, 200U, 2000U}) measure_an_hour(servers);
    measure_with_slow_disk();
}
