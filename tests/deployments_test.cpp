// The sidecar on other customers' settings: names, effects, windows, deadlines, limits and tenants drawn from
// seeds, far beyond those of the deployment that it was made for.
#include <random>

#include "net_rig.hpp"

namespace elmbay::test {

namespace {

struct Drawn {
    Json settings, limits;
    bool in_a_hurry = false;  // deadlines that a busy machine may miss
};

Drawn draw(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto between = [&](double from, double to) {
        return std::uniform_real_distribution<>(from, to)(random);
    };
    const auto whole = [&](int from, int to) { return std::uniform_int_distribution<>(from, to)(random); };
    const auto one_of = [&](std::vector<std::string> words) {
        return words[static_cast<std::size_t>(whole(0, static_cast<int>(words.size()) - 1))];
    };
    Drawn drawn;
    drawn.in_a_hurry = seed % 3 == 0;
    Json classes = Json::array();
    for (int i = 0, count = whole(1, 7); i < count; ++i) {
        const Millis give_up = drawn.in_a_hurry ? between(20, 400) : between(8000, 90000);
        Json kind = {{"name", one_of({"read", "write", "pay", "x", "Seal-2", "long.name/with:signs"}) +
                                  std::to_string(i)},
                     {"effect", one_of({"repeatable", "by_key", "once"})},
                     {"on-time-ms", give_up * between(0.1, 1)},
                     {"give-up-ms", give_up},
                     {"credit", between(0.01, 100)}};
        if (kind["effect"] == "by_key") {
            kind["dedup-scope"] = one_of({"all", "zone", "cell"});
            kind["dedup-window-ms"] = give_up * between(0.01, 3);
        }
        if (whole(0, 1)) kind["late-value"] = between(0, 1);
        classes.push_back(kind);
    }
    drawn.settings = {{"classes", classes},
                      {"limits",
                       {{"max-attempts", whole(1, 8)},
                        {"may-cancel", whole(0, 1) == 1},
                        {"parallel-tries", whole(0, 1) == 1},
                        {"connect-timeout-ms", drawn.in_a_hurry ? between(20, 300) : between(8000, 9000)},
                        {"idle-close-ms", between(3000, 120000)}}},
                      {"rules",
                       {{"cold-from", between(0.05, 1)},
                        {"warm-within-ms", between(0, 60000)},
                        {"fall-multiple", between(1.2, 6)}}},
                      {"membership-mode", one_of({"pushed", "on_request"})},
                      {"siblings", whole(1, 5000)}};
    if (whole(0, 1)) {
        drawn.settings["azs"] = {"annex", "b", "hall-c"};
        drawn.settings["my-zone"] = "annex";
    }
    for (int i = 0, count = whole(0, 3); i < count; ++i)
        drawn.settings["tenants"].push_back(
            {{"name", "tenant " + std::to_string(i)}, {"quota-per-s", between(0.5, 500)}});
    drawn.limits = {
        {"cores", between(0.05, 1)}, {"memory_mb", whole(32, 192)}, {"sockets", whole(256, 1024)}};
    return drawn;
}

std::string request_for(const Json& kind, std::size_t number) {
    const bool safe = kind["effect"] == "repeatable";
    return std::string(safe ? "GET" : "POST") + " /api HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: d-" +
           std::to_string(number) + "\r\nX-Service-Class: " + kind["name"].get<std::string>() +
           "\r\nX-Time-Left: " + std::to_string(static_cast<int>(kind["give-up-ms"].get<double>())) +
           "m\r\n" + (kind["effect"] == "by_key" ? "Idempotency-Key: k\r\n" : "") +
           (safe ? "" : "Content-Length: 4\r\n") + "\r\n" + (safe ? "" : "body");
}

TEST(Deployments, OfAnyRangeStartAndServeEachOfTheirClasses) {
    for (std::uint64_t seed = 1; seed <= 45; ++seed) {
        const Drawn drawn = draw(seed);
        SCOPED_TRACE("seed " + std::to_string(seed) + ": " + drawn.settings.dump());
        NetRig rig;
        rig.config["settings"] = drawn.settings;
        rig.config["limits"] = drawn.limits;
        rig.start();
        ASSERT_FALSE(HasFatalFailure());
        const auto up = rig.client();
        up->send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(rig.until([&] { return up->got.size() > 12; }));
        EXPECT_EQ(status_of(*up), "HTTP/1.1 200") << "ready from what is known";
        auto& server = rig.servers.front();
        std::size_t number = 0;
        for (const Json& kind : drawn.settings["classes"]) {
            const auto client = rig.client();
            client->send(request_for(kind, ++number));
            ASSERT_TRUE(rig.until([&] {
                for (const auto& peer : server.peers)
                    while (!peer->closed && peer->answered < peer->requests())
                        ++peer->answered, peer->respond("200 OK", "answer");
                return client->got.find("\r\n\r\n") != std::string::npos;
            }));
            if (drawn.in_a_hurry) continue;  // any final answer will do
            EXPECT_EQ(status_of(*client), "HTTP/1.1 200") << kind.dump();
            EXPECT_TRUE(client->got.ends_with("answer"));
        }
    }
}

}  // namespace

}  // namespace elmbay::test
