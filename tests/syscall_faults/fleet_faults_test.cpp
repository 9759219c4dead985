// Tests processes of the program while their system calls fail with errors that Linux documents. Every
// request must get its final response in time, and none may be executed twice. RequestHistory checks both,
// and a failure prints the history.
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "process_testbed/process_testbed.hpp"

namespace elmbay::process_testbed {
namespace {

using Outcome = RequestHistory::Outcome;
// One request class for each effect: idempotent, non-idempotent and idempotent by key.
const std::array<std::string, 3> kRequestClasses{"listen", "deposit", "annotate"};

// A specification of faults (faults.hpp) for the program's processes, and the counts of calls that failed by
// each rule.
class Faults {
public:
    explicit Faults(const std::string& specification)
        : specification_(specification),
          counts_(std::filesystem::temp_directory_path() /
                  ("syscall-faults-" + std::to_string(::getpid()) + "-" + std::to_string(instances++))) {}
    ~Faults() {
        std::error_code ignored;
        std::filesystem::remove(counts_, ignored);
    }
    Faults(const Faults&) = delete;
    Faults& operator=(const Faults&) = delete;

    // Without verify_asan_link_order=0, AddressSanitizer rejects a preloaded library that precedes its own
    // runtime. The library forwards calls to that runtime.
    std::string program() const {
        return "exec env LD_PRELOAD='" ELMBAY_SYSCALL_FAULTS "' SYSCALL_FAULTS='" + specification_ +
               "' SYSCALL_FAULTS_COUNTS='" + counts_.string() +
               "' ASAN_OPTIONS=\"verify_asan_link_order=0:$ASAN_OPTIONS\" '" ELMBAY_PROGRAM "'";
    }
    std::uint64_t failed_calls(std::size_t rule) const {
        std::uint64_t count = 0;
        std::ifstream file(counts_, std::ios::binary);
        file.seekg(static_cast<std::streamoff>(rule * sizeof count));
        file.read(reinterpret_cast<char*>(&count), sizeof count);
        return count;
    }

private:
    static inline int instances = 0;
    const std::string specification_;
    const std::filesystem::path counts_;
};

Options options_for(const Faults& faults, std::size_t sidecars = 1, std::size_t servers = 4) {
    Options options;
    options.sidecars = sidecars;
    options.servers = servers;
    options.program = faults.program();
    // These limits are far longer than a busy machine needs, because the tests check no response times.
    options.request_deadline = 10000;
    options.latency_objective = 5000;
    options.settings = {{"limits", {{"connect-timeout-ms", 5000.0}}}};
    return options;
}

// Sends `requests_per_class` requests of every request class, with at most `max_in_flight` in flight at a
// time. Returns whether every forwarded request got its response.
bool send_requests(ProcessTestbed& testbed, std::size_t requests_per_class, std::size_t max_in_flight) {
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < requests_per_class * kRequestClasses.size(); ++i) {
        ids.push_back(
            testbed.send_request(i % testbed.sidecar_count(), kRequestClasses[i % kRequestClasses.size()]));
        if (!testbed.run_until([&] { return testbed.request_history().open_requests() < max_in_flight; }))
            return false;
    }
    if (!testbed.run_until_idle()) return false;
    for (const std::string& id : ids) {
        if (!testbed.outcome(id)) {
            std::cout << "connection closed without a response:\n"
                      << testbed.describe_failure(id) << std::endl;
        }
    }
    return true;
}

// Formats the numbers of requests by outcome for failure messages.
std::string summary(ProcessTestbed& testbed) {
    RequestHistory& request_history = testbed.request_history();
    return "served " + std::to_string(request_history.count(Outcome::served)) + ", rejected " +
           std::to_string(request_history.count(Outcome::rejected)) + ", failed " +
           std::to_string(request_history.count(Outcome::failed)) + ", truncated " +
           std::to_string(request_history.count(Outcome::truncated)) + " of " +
           std::to_string(request_history.total_requests());
}

std::uint64_t requests_without_response(ProcessTestbed& testbed) {
    RequestHistory& request_history = testbed.request_history();
    return request_history.total_requests() - request_history.count(Outcome::served) -
           request_history.count(Outcome::rejected) - request_history.count(Outcome::failed) -
           request_history.count(Outcome::truncated);
}

struct FaultCase {
    const char* name;
    const char* specification;  // at least one call must fail by its first rule
    bool all_served;            // every request must be served despite the fault
    // The fault closes idle connections, so that a request sent at that moment may get no response.
    bool may_close_connections = false;
};

// Prints the specification. Otherwise GoogleTest prints the addresses in a FaultCase, and the names that
// CTest shows differ from build to build.
std::ostream& operator<<(std::ostream& out, const FaultCase& fault) { return out << fault.specification; }

class SystemCallFault : public testing::TestWithParam<FaultCase> {};

// Faults that interrupt, shorten or temporarily fail a call must not cost any request its final response.
TEST_P(SystemCallFault, CostsNoRequestItsFinalResponse) {
    constexpr std::size_t kRequestsPerClass = 200;
    constexpr std::size_t kMaxInFlight = 12;
    const Faults faults(GetParam().specification);
    ProcessTestbed testbed(options_for(faults));
    testbed.start();
    for (std::size_t i = 0; i < testbed.server_count(); ++i) testbed.server(i).body_bytes = 20000;
    ASSERT_TRUE(send_requests(testbed, kRequestsPerClass, kMaxInFlight)) << summary(testbed) << "\n"
                                                                         << testbed.describe_failure();
    EXPECT_GT(faults.failed_calls(0), 0U);
    EXPECT_EQ(testbed.request_history().count(Outcome::truncated), 0U);
    EXPECT_LE(requests_without_response(testbed),
              GetParam().may_close_connections ? faults.failed_calls(0) : 0U)
        << summary(testbed);
    if (GetParam().all_served) {
        EXPECT_EQ(testbed.request_history().count(Outcome::served),
                  testbed.request_history().total_requests())
            << summary(testbed);
    }
    std::cout << GetParam().name << ": " << summary(testbed) << ", faults " << faults.failed_calls(0)
              << std::endl;
}

const std::vector<FaultCase> kFaultCases{
    {"ShortWrites", "seed=1 send:SHORT=0.25", true},
    {"ShortReads", "seed=2 recv:SHORT=0.25", true},
    {"InterruptedReads", "seed=3 recv:EINTR=0.25", true},
    {"InterruptedWrites", "seed=4 send:EINTR=0.25", true},
    {"InterruptedWaits", "seed=5 epoll_wait:EINTR=0.25 poll:EINTR=0.25", true},
    {"InterruptedConnects", "seed=6 connect:EINTR=0.5", true},
    {"AcceptConnectionAborted", "seed=7 accept:ECONNABORTED=0.25", true},
    {"AcceptProtocolError", "seed=8 accept:EPROTO=0.25", true},
    {"AcceptInterrupted", "seed=9 accept:EINTR=0.25", true},
    {"AcceptNetworkDown", "seed=10 accept:ENETDOWN=0.25", true},
    {"AcceptHostUnreachable", "seed=11 accept:EHOSTUNREACH=0.25", true},
    {"AcceptNoDescriptor", "seed=12 accept:EMFILE=0.25", false, true},
    {"AcceptNoFileTable", "seed=13 accept:ENFILE=0.25", true},
    {"AcceptNoBuffers", "seed=14 accept:ENOBUFS=0.25", true},
    {"AcceptNoMemory", "seed=15 accept:ENOMEM=0.25", true},
    {"SocketNoDescriptor", "seed=16 socket:EMFILE=x40", true},
    {"SocketNoFileTable", "seed=17 socket:ENFILE=x40", true},
    {"SocketNoBuffers", "seed=18 socket:ENOBUFS=x40", true},
    {"SocketNoMemory", "seed=19 socket:ENOMEM=x40", true},
    {"ConnectNoAddress", "seed=20 connect:EADDRNOTAVAIL=x40", true},
    {"ConnectNetworkUnreachable", "seed=21 connect:ENETUNREACH=x40", true},
    {"ConnectNoBuffers", "seed=22 connect:ENOBUFS=x40", true},
    {"ConnectTryAgain", "seed=23 connect:EAGAIN=x40", true},
    {"OptionsFail", "seed=24 setsockopt:ENOBUFS=0.25 getsockopt:ENOBUFS=0.25", true},
    {"BrokenAsTimedOut", "seed=25 recv@out:ETIMEDOUT=0.02 send@out:ETIMEDOUT=0.02", false},
    {"BrokenAsHostUnreachable", "seed=26 recv@out:EHOSTUNREACH=0.02 send@out:EHOSTUNREACH=0.02", false},
    {"BrokenAsReset", "seed=27 recv@out:ECONNRESET=0.02 send@out:ECONNRESET=0.02", false},
    {"BrokenAsPipe", "seed=28 send@out:EPIPE=0.05", false},
};
INSTANTIATE_TEST_SUITE_P(SystemCalls, SystemCallFault, testing::ValuesIn(kFaultCases),
                         [](const auto& info) { return std::string(info.param.name); });

// A status may be longer than one write() accepts. Each reader must get it completely.
TEST(StatusSocket, SendsWholeStatusDespiteFaults) {
    const Faults faults("seed=31 send:SHORT=0.5 send:EINTR=0.2 accept:ENFILE=0.3 accept:ECONNABORTED=0.3");
    ProcessTestbed testbed(options_for(faults, 1, 12));
    testbed.start();
    for (int i = 0; i < 20; ++i) {
        const json status = testbed.status(0);
        ASSERT_TRUE(status.is_object());
        EXPECT_EQ(status["name"], "n-0");
        EXPECT_EQ(status["servers"].size(), 12U);
    }
    EXPECT_GT(faults.failed_calls(0), 20U);
}

// Every fault, in about one of ten calls of each kind. Connections to servers break as well. Connections of
// clients do not, because a client whose connection breaks cannot get a response.
const char* const kAllFaults =
    "send:SHORT=0.05 send:EINTR=0.04 recv:SHORT=0.05 recv:EINTR=0.04 epoll_wait:EINTR=0.1 poll:EINTR=0.1 "
    "accept:ECONNABORTED=0.02 accept:EPROTO=0.01 accept:ENETDOWN=0.01 accept:EHOSTUNREACH=0.01 "
    "accept:EINTR=0.01 accept:ENFILE=0.01 accept:ENOBUFS=0.01 accept:ENOMEM=0.01 accept:EMFILE=0.01 "
    "socket:EMFILE=0.025 socket:ENFILE=0.025 socket:ENOBUFS=0.025 socket:ENOMEM=0.025 "
    "connect:EINTR=0.03 connect:EADDRNOTAVAIL=0.02 connect:ENETUNREACH=0.02 connect:ENOBUFS=0.01 "
    "connect:ETIMEDOUT=0.01 connect:EHOSTUNREACH=0.01 setsockopt:ENOBUFS=0.1 getsockopt:ENOBUFS=0.1 "
    "send@out:ETIMEDOUT=0.004 send@out:EHOSTUNREACH=0.003 send@out:EPIPE=0.003 "
    "recv@out:ETIMEDOUT=0.004 recv@out:EHOSTUNREACH=0.003 recv@out:ECONNRESET=0.003";
constexpr std::size_t kRuleCount = 33;
constexpr std::size_t kAcceptNoDescriptorRule = 14;  // accept:EMFILE

void expect_failed_calls_of_every_rule(const Faults& faults) {
    for (std::size_t rule = 0; rule < kRuleCount; ++rule)
        EXPECT_GT(faults.failed_calls(rule), 0U) << "rule " << rule;
}

// Resets all connections, so that the next requests arrive and are forwarded on new ones.
void reset_all_connections(ProcessTestbed& testbed) {
    for (std::size_t i = 0; i < testbed.sidecar_count(); ++i) {
        const std::string sidecar = "n-" + std::to_string(i);
        testbed.link("c-" + std::to_string(i), sidecar).reset_all();
        for (std::size_t j = 0; j < testbed.server_count(); ++j)
            testbed.link(sidecar, "s-" + std::to_string(j)).reset_all();
    }
}

TEST(CombinedFaults, LoseNoRequestAndExecuteNoneTwice) {
    constexpr std::size_t kRounds = 50;
    constexpr std::size_t kRequestsPerClass = 200;
    constexpr std::size_t kMaxInFlight = 32;
    const Faults faults("seed=41 " + std::string(kAllFaults));
    ProcessTestbed testbed(options_for(faults, 2, 6));
    testbed.start();
    for (std::size_t i = 0; i < testbed.server_count(); ++i) testbed.server(i).body_bytes = 4000;
    for (std::size_t round = 0; round < kRounds; ++round) {
        ASSERT_TRUE(send_requests(testbed, kRequestsPerClass, kMaxInFlight)) << summary(testbed) << "\n"
                                                                             << testbed.describe_failure();
        reset_all_connections(testbed);
    }
    expect_failed_calls_of_every_rule(faults);
    EXPECT_EQ(testbed.request_history().count(Outcome::truncated), 0U);
    // Without a free descriptor the sidecar closes an idle connection, and a request sent at that moment gets
    // no response. The sidecar never forwards such a request, and its client sends it again.
    EXPECT_LE(requests_without_response(testbed), faults.failed_calls(kAcceptNoDescriptorRule))
        << summary(testbed);
    std::cout << summary(testbed) << std::endl;
}

// Guards against lost requests when links are cut and restored one after another besides the faults.
TEST(CombinedFaults, LoseNoRequestWhileLinksAreCut) {
    constexpr std::size_t kRounds = 8;
    constexpr std::size_t kRequestsPerClass = 100;
    constexpr std::size_t kMaxInFlight = 24;
    const Faults faults("seed=42 " + std::string(kAllFaults));
    Options options = options_for(faults, 3, 6);
    // Attempts held up by a cut link end within the deadline.
    options.request_deadline = 3000;
    options.latency_objective = 1500;
    ProcessTestbed testbed(options);
    testbed.start();
    for (std::size_t round = 0; round < kRounds; ++round) {
        fault_proxy::Rule cut;
        cut.name = "cut";
        cut.type = fault_proxy::FaultType::cut;
        cut.from = {"n-" + std::to_string(round % 3)};
        cut.to = round % 4 == 3 ? std::vector<std::string>{"list"}
                                : std::vector<std::string>{"s-" + std::to_string(round % 6)};
        testbed.context().put_rule(cut);
        const bool all_responses_received = send_requests(testbed, kRequestsPerClass, kMaxInFlight);
        testbed.context().remove_rule("cut");
        ASSERT_TRUE(all_responses_received) << summary(testbed) << "\n" << testbed.describe_failure();
    }
    EXPECT_EQ(testbed.request_history().count(Outcome::truncated), 0U);
    std::cout << summary(testbed) << std::endl;
}

}  // namespace
}  // namespace elmbay::process_testbed
