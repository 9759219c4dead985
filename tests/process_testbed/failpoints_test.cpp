// Faults planted in the program (src/base/failpoints.hpp), and that the ground finds each. The sound program
// comes through the same scenario.
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
        ProcessTestbed planted(options);
        planted.start();
        EXPECT_FALSE(GetParam().scenario(planted)) << "the plant was not found";
    }
    options.program = ELMBAY_PROGRAM_WITH_FAILPOINTS;
    options.request_deadline = 20000, options.latency_objective = 10000;
    ProcessTestbed sound(options);
    sound.start();
    EXPECT_TRUE(GetParam().scenario(sound)) << sound.explain();
}

INSTANTIATE_TEST_SUITE_P(Each, Failpoints,
                         testing::Values(Failpoint{"resend", deposits_with_cut_answers},
                                         Failpoint{"twice", slow_answers}, Failpoint{"lose", slow_answers},
                                         Failpoint{"leak", descriptors_are_those_counted},
                                         Failpoint{"thaw", frozen_with_forty_requests}),
                         [](const auto& plant) { return std::string(plant.param.name); });

}  // namespace
}  // namespace elmbay::process_testbed
