// Tests that the testbed detects each failpoint of the program (src/base/failpoints.hpp), and that the
// program without failpoints passes the same scenario.
#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

struct Failpoint {
    const char* name;
    bool (*scenario)(ProcessTestbed&);
};

class Failpoints : public testing::TestWithParam<Failpoint> {};

TEST_P(Failpoints, IsDetectedAndTheProgramWithoutItPasses) {
    Options options = small_testbed();
    options.request_deadline = 3000,
    options.latency_objective = 2000;  // short, because lost requests are waited for
    options.program =
        "env ELMBAY_PLANT=" + std::string(GetParam().name) + " " + ELMBAY_PROGRAM_WITH_FAILPOINTS;
    {
        ProcessTestbed with_failpoint(options);
        with_failpoint.start();
        EXPECT_FALSE(GetParam().scenario(with_failpoint)) << "the failpoint was not detected";
    }
    options.program = ELMBAY_PROGRAM_WITH_FAILPOINTS;
    options.request_deadline = 20000, options.latency_objective = 10000;
    ProcessTestbed without_failpoint(options);
    without_failpoint.start();
    EXPECT_TRUE(GetParam().scenario(without_failpoint)) << without_failpoint.describe_failure();
}

INSTANTIATE_TEST_SUITE_P(Each, Failpoints,
                         testing::Values(Failpoint{"resend", run_truncated_deposit_responses},
                                         Failpoint{"twice", run_slow_responses},
                                         Failpoint{"lose", run_slow_responses},
                                         Failpoint{"leak", run_repeated_connection_resets},
                                         Failpoint{"thaw", run_freeze_with_forty_requests}),
                         [](const auto& failpoint) { return std::string(failpoint.param.name); });

}  // namespace
}  // namespace elmbay::process_testbed
