// Failpoints of the program (src/base/failpoints.hpp): the testbed detects each. The program without
// failpoints passes the same scenario.
#include "scenarios.hpp"

namespace elmbay::process_testbed {
namespace {

struct Failpoint {
    const char* name;
    bool (*scenario)(ProcessTestbed&);
};

class Failpoints : public testing::TestWithParam<Failpoint> {};

TEST_P(Failpoints, IsDetectedAndTheProgramWithoutItPasses) {
    Options options = few();
    options.request_deadline = 3000, options.latency_objective = 2000;  // what is lost is waited for
    options.program =
        "env ELMBAY_PLANT=" + std::string(GetParam().name) + " " + ELMBAY_PROGRAM_WITH_FAILPOINTS;
    {
        ProcessTestbed faulty(options);
        faulty.start();
        EXPECT_FALSE(GetParam().scenario(faulty)) << "the failpoint was not detected";
    }
    options.program = ELMBAY_PROGRAM_WITH_FAILPOINTS;
    options.request_deadline = 20000, options.latency_objective = 10000;
    ProcessTestbed without_faults(options);
    without_faults.start();
    EXPECT_TRUE(GetParam().scenario(without_faults)) << without_faults.describe_failure();
}

INSTANTIATE_TEST_SUITE_P(Each, Failpoints,
                         testing::Values(Failpoint{"resend", deposits_with_cut_answers},
                                         Failpoint{"twice", slow_answers}, Failpoint{"lose", slow_answers},
                                         Failpoint{"leak", descriptors_are_those_counted},
                                         Failpoint{"thaw", frozen_with_forty_requests}),
                         [](const auto& failpoint) { return std::string(failpoint.param.name); });

}  // namespace
}  // namespace elmbay::process_testbed
