// Tests the sidecar with random settings: class names, effects, deduplication windows, deadlines, limits and
// tenants. They cover a far wider range than the settings of the deployment that the sidecar was made for.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "support/sidecar_fixture.hpp"

namespace elmbay::test {
namespace {

struct RandomSettings {
    Json settings;
    Json limits;
    bool short_deadlines = false;  // a request may time out on a busy machine
};

// Generates the settings of one deployment. The same seed generates the same settings.
class SettingsGenerator {
public:
    explicit SettingsGenerator(std::uint64_t seed) : random_(seed), short_deadlines_(seed % 3 == 0) {}

    RandomSettings generate() {
        const Json classes = request_classes();
        Json settings = {{"classes", classes}, {"limits", attempt_limits()}, {"rules", slow_start()}};
        settings["membership-mode"] = random_choice({"pushed", "on_request"});
        settings["siblings"] = random_integer(1, 5000);
        if (random_bool()) {
            settings["azs"] = {"annex", "b", "hall-c"};
            settings["my-zone"] = "annex";
        }
        const int tenants = random_integer(0, 3);
        for (int i = 0; i < tenants; ++i) {
            settings["tenants"].push_back(
                {{"name", "tenant " + std::to_string(i)}, {"quota-per-s", random_real(0.5, 500)}});
        }
        const Json limits = {{"cores", random_real(0.05, 1)},
                             {"memory_mb", random_integer(32, 192)},
                             {"sockets", random_integer(256, 1024)}};
        return {settings, limits, short_deadlines_};
    }

private:
    double random_real(double from, double to) { return std::uniform_real_distribution<>(from, to)(random_); }
    int random_integer(int from, int to) { return std::uniform_int_distribution<>(from, to)(random_); }
    bool random_bool() { return random_integer(0, 1) == 1; }
    std::string random_choice(const std::vector<std::string>& words) {
        return words[static_cast<std::size_t>(random_integer(0, static_cast<int>(words.size()) - 1))];
    }

    Json request_classes() {
        Json classes = Json::array();
        const int count = random_integer(1, 7);
        for (int i = 0; i < count; ++i) classes.push_back(request_class(i));
        return classes;
    }

    Json request_class(int index) {
        const Millis deadline = short_deadlines_ ? random_real(20, 400) : random_real(8000, 90000);
        const std::string name =
            random_choice({"read", "write", "pay", "x", "Seal-2", "long.name/with:signs"});
        Json request_class = {{"name", name + std::to_string(index)},
                              {"effect", random_choice({"repeatable", "by_key", "once"})},
                              {"on-time-ms", deadline * random_real(0.1, 1)},
                              {"give-up-ms", deadline},
                              {"credit", random_real(0.01, 100)}};
        if (request_class["effect"] == "by_key") {
            request_class["dedup-scope"] = random_choice({"all", "zone", "cell"});
            request_class["dedup-window-ms"] = deadline * random_real(0.01, 3);
        }
        if (random_bool()) request_class["late-value"] = random_real(0, 1);
        return request_class;
    }

    Json attempt_limits() {
        return {{"max-attempts", random_integer(1, 8)},
                {"may-cancel", random_bool()},
                {"parallel-tries", random_bool()},
                {"connect-timeout-ms", short_deadlines_ ? random_real(20, 300) : random_real(8000, 9000)},
                {"idle-close-ms", random_real(3000, 120000)}};
    }

    Json slow_start() {
        return {{"cold-from", random_real(0.05, 1)},
                {"warm-within-ms", random_real(0, 60000)},
                {"fall-multiple", random_real(1.2, 6)}};
    }

    std::mt19937_64 random_;
    bool short_deadlines_;
};

std::string request_of(const Json& request_class, std::size_t request_number) {
    const bool idempotent = request_class["effect"] == "repeatable";
    const int deadline = static_cast<int>(request_class["give-up-ms"].get<double>());
    std::string text = idempotent ? "GET" : "POST";
    text += " /api HTTP/1.1\r\nHost: h\r\n";
    text += "X-Correlation-Id: d-" + std::to_string(request_number) + "\r\n";
    text += "X-Service-Class: " + request_class["name"].get<std::string>() + "\r\n";
    text += "X-Time-Left: " + std::to_string(deadline) + "m\r\n";
    if (request_class["effect"] == "by_key") text += "Idempotency-Key: k\r\n";
    text += idempotent ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
    return text;
}

TEST(DeploymentSettings, ServesEachRequestClassOfRandomSettings) {
    for (std::uint64_t seed = 1; seed <= 45; ++seed) {
        const RandomSettings generated = SettingsGenerator(seed).generate();
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + generated.settings.dump());
        SidecarFixture fixture;
        fixture.config["settings"] = generated.settings;
        fixture.config["limits"] = generated.limits;
        fixture.start();
        ASSERT_FALSE(HasFatalFailure());
        fixture.begin_watch();
        fixture.send_chunk("\n");  // a heartbeat: nothing has changed
        fixture.handle_pending_events();
        const auto readiness_probe = fixture.connect_client();
        readiness_probe->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(fixture.until([&] { return readiness_probe->received.size() > 12; }));
        EXPECT_EQ(status_of(*readiness_probe), "HTTP/1.1 200")
            << "the sidecar must be ready with the endpoint list of its configuration";

        FakeServer& server = fixture.servers.front();
        std::size_t request_number = 0;
        for (const Json& request_class : generated.settings["classes"]) {
            ++request_number;
            const auto client = fixture.connect_client();
            client->send(request_of(request_class, request_number));
            ASSERT_TRUE(fixture.until([&] {
                server.respond_to_all();
                return client->received.find("\r\n\r\n") != std::string::npos;
            }));
            // With a short deadline the request may time out, so any final response is valid.
            if (generated.short_deadlines) continue;
            EXPECT_EQ(status_of(*client), "HTTP/1.1 200") << request_class.dump();
            EXPECT_TRUE(client->received.ends_with("answer"));
        }
    }
}

}  // namespace
}  // namespace elmbay::test
