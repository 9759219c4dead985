// Tests the program's processes with faults between them. Each test waits for events. RequestHistory is
// checked after every step, and a failure prints its history.
#include <gtest/gtest.h>
#include <sched.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

using fault_proxy::FaultType;
using fault_proxy::Rule;
using fault_proxy::Trigger;
using Outcome = RequestHistory::Outcome;

Rule make_rule(const char* name, FaultType type, const char* from, const char* to) {
    Rule rule;
    rule.name = name, rule.type = type, rule.from = {from}, rule.to = {to};
    return rule;
}

TEST(ProcessTestbed, ServesEachClassAndReportsItsStatus) {
    ProcessTestbed testbed(small_testbed());
    testbed.start();
    std::vector<std::string> ids;
    for (const char* request_class : {"listen", "deposit", "annotate"})
        for (std::size_t i = 0; i < 2; ++i) ids.push_back(testbed.send_request(i, request_class));
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
    for (const std::string& id : ids)
        EXPECT_EQ(testbed.outcome(id), Outcome::served) << testbed.describe_failure(id);
    const json status = testbed.status(1);
    EXPECT_EQ(status["name"], "n-1");
    EXPECT_EQ(status["requests"]["served"], 3);
    EXPECT_EQ(status["servers"].size(), 2U);
}

// The server has processed the deposit, and its response is cut before each of its bytes in turn. The deposit
// must not be processed a second time.
TEST(ProcessTestbed, ProcessesADepositOnceWhenItsResponseIsCutAtAnyByte) {
    ProcessTestbed testbed(small_testbed(1, 2));
    testbed.start();
    const std::string first = testbed.send_request(0, "deposit");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(first); })) << testbed.describe_failure();
    const std::uint64_t length =
        testbed.link("n-0", "s-0").bytes_to_client() + testbed.link("n-0", "s-1").bytes_to_client();
    ASSERT_GT(length, 20U);
    for (std::uint64_t byte = 0; byte < length; ++byte) {
        for (const FaultType type : {FaultType::reset, FaultType::half_close}) {
            Rule cut = make_rule("cut", type, "s-*", "n-0");
            cut.trigger = Trigger::at_byte, cut.trigger_byte = byte;
            testbed.context().put_rule(cut);
            // Resets all connections, because the rule counts bytes from the start of a connection.
            for (const char* server : {"s-0", "s-1"}) testbed.link("n-0", server).reset_all();
            const std::string id = testbed.send_request(0, "deposit");
            ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); }))
                << testbed.describe_failure(id);
            EXPECT_EQ(testbed.outcome(id), Outcome::failed) << "byte " << byte << "\n"
                                                            << testbed.describe_failure(id);
        }
    }
    testbed.context().remove_rule("cut");
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// A sidecar is frozen with forty open requests, and their clients disconnect. It must send no attempt for
// them when it resumes.
TEST(ProcessTestbed, SendsNothingAfterAFreezeForClientsThatHaveDisconnected) {
    ProcessTestbed testbed(small_testbed(2, 2));
    testbed.start();
    EXPECT_TRUE(run_freeze_with_forty_requests(testbed)) << testbed.describe_failure();
}

// While a sidecar is frozen, one server starts draining and attempts at the other one break. When the sidecar
// resumes, both events are unread. It must apply the endpoint list before it retries.
TEST(ProcessTestbed, AppliesADrainBeforeItRetriesAfterAFreeze) {
    ProcessTestbed testbed(small_testbed(1, 2));
    testbed.start();
    for (int i = 0; i < 20; ++i) testbed.send_request(0, "listen");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.request_history().open_requests() == 0; }))
        << testbed.describe_failure();
    testbed.server(0).behavior = testbed.server(1).behavior = ServerBehavior::hold;
    for (int i = 0; i < 20; ++i) testbed.send_request(0, "listen");
    ASSERT_TRUE(testbed.run_until([&] {
        const std::size_t held = testbed.server(0).held_requests() + testbed.server(1).held_requests();
        return testbed.server(1).held_requests() >= 3 && held >= testbed.request_history().open_requests();
    })) << testbed.describe_failure();
    testbed.freeze(0);
    testbed.link("n-0", "s-1").reset_all();
    ASSERT_TRUE(testbed.run_for(1));
    testbed.set_endpoint_state(0, EndpointState::leaving);
    ASSERT_TRUE(testbed.run_for(RequestHistory::kDrainGrace + 3 * RequestHistory::kTolerance))
        << testbed.describe_failure();
    testbed.server(0).behavior = testbed.server(1).behavior = ServerBehavior::serve;
    testbed.server(0).release_held(), testbed.server(1).release_held();
    testbed.thaw(0);
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// A connection passes no bytes in one direction, from its start or after a message head. Each client must get
// its outcome by its deadline, and a deposit that may have been processed must be neither rejected nor sent
// again.
TEST(ProcessTestbed, GivesEachRequestAnOutcomeWhenItsConnectionPassesNoBytes) {
    Options options = small_testbed(1, 2);
    options.request_deadline = 1500, options.latency_objective = 700;
    ProcessTestbed testbed(options);
    testbed.start();
    struct Case {
        const char *from, *to;
        fault_proxy::Trigger trigger;
        fault_proxy::MessagePoint trigger_point;
    };
    const Case cases[] = {{"s-*", "n-0", Trigger::on_open, fault_proxy::MessagePoint::begin},
                          {"s-*", "n-0", Trigger::at_message, fault_proxy::MessagePoint::head_end},
                          {"n-0", "s-*", Trigger::on_open, fault_proxy::MessagePoint::begin},
                          {"n-0", "s-*", Trigger::at_message, fault_proxy::MessagePoint::head_end}};
    for (const Case& test_case : cases) {
        for (const char* request_class : {"deposit", "annotate"}) {
            Rule silence = make_rule("silent", FaultType::silence, test_case.from, test_case.to);
            silence.trigger = test_case.trigger, silence.trigger_point = test_case.trigger_point;
            testbed.context().put_rule(silence);
            for (const char* server : {"s-0", "s-1"}) testbed.link("n-0", server).reset_all();
            const std::string id = testbed.send_request(0, request_class);
            ASSERT_TRUE(testbed.run_until([&] { return testbed.has_ended(id); }))
                << testbed.describe_failure(id);
            EXPECT_TRUE(testbed.outcome(id).has_value()) << testbed.describe_failure(id);
            EXPECT_NE(testbed.outcome(id), Outcome::served) << testbed.describe_failure(id);
        }
    }
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// The endpoint list reaches only one side of a partition. That side must stop sending to the draining server;
// the other side continues until the list is delivered to it.
TEST(ProcessTestbed, StopsSendingToADrainingServerOnceTheListIsDelivered) {
    ProcessTestbed testbed(small_testbed(2, 2));
    testbed.start();
    testbed.context().put_rule(make_rule("split", FaultType::cut, "list", "n-1"));
    testbed.set_endpoint_state(0, EndpointState::leaving);
    ASSERT_TRUE(testbed.run_until([&] { return testbed.status(0)["servers"][0]["state"] == "leaving"; }));
    const auto bytes_to_first_server = [&](std::size_t sidecar) {
        return testbed.link("n-" + std::to_string(sidecar), "s-0").bytes_to_target();
    };
    const auto bytes_before_0 = bytes_to_first_server(0), bytes_before_1 = bytes_to_first_server(1);
    for (int i = 0; i < 40; ++i) testbed.send_request(static_cast<std::size_t>(i % 2), "listen");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.request_history().open_requests() == 0; }))
        << testbed.describe_failure();
    EXPECT_EQ(bytes_to_first_server(0), bytes_before_0);
    EXPECT_GT(bytes_to_first_server(1), bytes_before_1)
        << "n-1 stopped sending before the list was delivered to it";
    testbed.context().remove_rule("split");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.status(1)["servers"][0]["state"] == "leaving"; }));
    const auto bytes_after_drain = bytes_to_first_server(1);
    for (int i = 0; i < 20; ++i) testbed.send_request(1, "listen");
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
    EXPECT_EQ(bytes_to_first_server(1), bytes_after_drain);
}

// A sidecar that starts while its port is still in use must wait, and serve once the port is free.
TEST(ProcessTestbed, WaitsForAPortThatIsStillInUse) {
    ProcessTestbed testbed(small_testbed(1, 1));
    testbed.start();
    testbed.kill(0);
    const tcp::endpoint endpoint = testbed.listen_endpoint(0);
    auto port_holder = std::make_unique<tcp::acceptor>(testbed.context().io(), endpoint);
    testbed.restart(0);
    ASSERT_TRUE(testbed.run_for(200)) << "an invariant was violated or the process ended";
    ASSERT_FALSE(testbed.is_ready(0));
    port_holder.reset();
    ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(0); })) << testbed.describe_failure();
    testbed.send_request(0, "deposit");
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// One sidecar has a clock that is five minutes ahead, the second is another build with another operator's
// file, the third is out of descriptors, and the fourth has a tenth of its core. The first, second and fourth
// must serve every request, and the third must not lose an outcome.
TEST(ProcessTestbed, ServesSideBySideWithOtherClocksBuildsAndLimits) {
    ProcessTestbed testbed(small_testbed(4, 2));
    testbed.start();
    testbed.kill(0), testbed.kill(1);
    testbed.restart(0, "", "[proof]\nclock_ahead = \"5m\"\n");
    testbed.restart(1, ELMBAY_PROGRAM_WITH_FAILPOINTS, "[websocket]\non = true\n");
    ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(0) && testbed.is_ready(1); }))
        << testbed.describe_failure();
    const double clock_offset_ms =
        testbed.status(0)["now_ms"].get<double>() - testbed.status(2)["now_ms"].get<double>();
    EXPECT_NEAR(clock_offset_ms, 300000, 60000);
#ifndef __SANITIZE_ADDRESS__  // UBSan opens a pipe to check memory, and reports an error if it cannot
    testbed.process(2).limit_descriptors(22);
#endif
    testbed.limit_cpu(3, 0.1);
    std::vector<std::string> ids;
    for (int i = 0; i < 80; ++i)
        ids.push_back(testbed.send_request(static_cast<std::size_t>(i % 4), "listen"));
    ASSERT_TRUE(testbed.run_until([&] { return testbed.request_history().open_requests() == 0; }))
        << testbed.describe_failure();
    testbed.limit_cpu(3, 1);
    for (std::size_t i = 0; i < ids.size(); ++i)
        if (i % 4 != 2) {
            EXPECT_EQ(testbed.outcome(ids[i]), Outcome::served) << testbed.describe_failure(ids[i]);
        }
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
}

// A sidecar starts from a snapshot that was written before the sidecar's last run. The snapshot records a
// server as ejected that failed at that time but is healthy now. The server must receive requests again, and
// no request may remain without an outcome.
TEST(ProcessTestbed, RestoresAServerThatAnOlderSnapshotHasEjected) {
    namespace fs = std::filesystem;
    std::string folder = (fs::temp_directory_path() / "elmbay-snapshot-XXXXXX").string();
    ASSERT_NE(::mkdtemp(folder.data()), nullptr);
    const fs::path current = fs::path(folder) / "now", older = fs::path(folder) / "older";
    const std::string operator_file = "[state]\nfolder = \"" + current.string() + "\"\nevery = \"100ms\"\n";
    ProcessTestbed testbed(small_testbed(1, 2));
    testbed.start();
    testbed.kill(0);
    testbed.restart(0, "", operator_file);
    ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(0); })) << testbed.describe_failure();
    const auto is_ejected = [&] {
        const json status = testbed.status(0);
        for (const json& server : status["servers"])
            if (server["uid"] == "s-0") return server.value("removed", false);
        return false;
    };
    // Sends several requests at once, so that both servers get some.
    const auto send_eight_requests = [&] {
        for (int i = 0; i < 8; ++i) testbed.send_request(0, "listen");
        return testbed.run_until([&] { return testbed.request_history().open_requests() == 0; });
    };
    testbed.server(1).delay = 5;
    testbed.server(0).behavior = ServerBehavior::fail;
    ASSERT_TRUE(testbed.run_until([&] { return send_eight_requests() && is_ejected(); }))
        << testbed.describe_failure();
    testbed.terminate(0);  // writes a last snapshot as it ends
    ASSERT_TRUE(testbed.run_until([&] { return !testbed.is_running(0); })) << testbed.describe_failure();
    fs::copy(current, older, fs::copy_options::recursive);
    // Runs once with both servers healthy, and then once from the snapshot taken before.
    testbed.server(0).behavior = ServerBehavior::serve;
    testbed.restart(0);
    ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(0); })) << testbed.describe_failure();
    testbed.kill(0);
    fs::remove_all(current);
    fs::copy(older, current, fs::copy_options::recursive);
    testbed.restart(0);
    ASSERT_TRUE(testbed.run_until([&] { return testbed.is_ready(0); })) << testbed.describe_failure();
    const auto received_before = testbed.server(0).received_requests();
    EXPECT_TRUE(is_ejected()) << "the snapshot was not restored";
    ASSERT_TRUE(testbed.run_until([&] {
        return send_eight_requests() && testbed.server(0).received_requests() > received_before + 1;
    })) << testbed.describe_failure();
    EXPECT_FALSE(is_ejected());
    ASSERT_TRUE(testbed.run_until_idle()) << testbed.describe_failure();
    fs::remove_all(folder);
}

// The kernel ends the sidecars if the test itself is killed.
TEST(ProcessTestbed, EndsItsProcessesWhenTheTestIsKilled) {
    int pipe_ends[2];
    ASSERT_EQ(::pipe(pipe_ends), 0);
    const pid_t child = ::fork();
    if (child == 0) {
        ProcessTestbed testbed(small_testbed(2, 1));
        testbed.start();
        const pid_t pids[2] = {testbed.process(0).pid(), testbed.process(1).pid()};
        if (::write(pipe_ends[1], pids, sizeof pids) != sizeof pids) ::_exit(1);
        ::raise(SIGKILL);
    }
    ASSERT_GT(child, 0);
    pid_t pids[2] = {0, 0};
    ASSERT_EQ(::read(pipe_ends[0], pids, sizeof pids), static_cast<ssize_t>(sizeof pids));
    int status = 0;
    ASSERT_EQ(::waitpid(child, &status, 0), child);
    // Returns whether the process has ended, or is a zombie that its new parent has not reaped yet.
    const auto has_exited = [](pid_t pid) {
        std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
        std::string number, name, state;
        return !(stat >> number >> name >> state) || state == "Z" || name != "(elmbay)";
    };
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!(has_exited(pids[0]) && has_exited(pids[1])) && std::chrono::steady_clock::now() < limit)
        ::sched_yield();
    EXPECT_TRUE(has_exited(pids[0]) && has_exited(pids[1]));
    ::close(pipe_ends[0]), ::close(pipe_ends[1]);
}

}  // namespace
}  // namespace elmbay::process_testbed
