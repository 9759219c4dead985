// Faults planted in the program (src/base/plants.hpp), and that the ground finds each. The sound program
// comes through the same scenario.
#include "scenarios.hpp"

namespace elmbay::fleet {
namespace {

struct Plant {
    const char* name;
    bool (*scenario)(Fleet&);
};

class Plants : public testing::TestWithParam<Plant> {};

TEST_P(Plants, IsFoundAndTheSoundProgramIsNotBlamed) {
    Options options = few();
    options.patience = 3000, options.latency_objective = 2000;  // what is lost is waited for
    options.program = "env ELMBAY_PLANT=" + std::string(GetParam().name) + " " + ELMBAY_PLANTED;
    {
        Fleet planted(options);
        planted.start();
        EXPECT_FALSE(GetParam().scenario(planted)) << "the plant was not found";
    }
    options.program = ELMBAY_PLANTED;
    options.patience = 20000, options.latency_objective = 10000;
    Fleet sound(options);
    sound.start();
    EXPECT_TRUE(GetParam().scenario(sound)) << sound.story();
}

INSTANTIATE_TEST_SUITE_P(Each, Plants,
                         testing::Values(Plant{"resend", deposits_with_cut_answers},
                                         Plant{"twice", slow_answers}, Plant{"lose", slow_answers},
                                         Plant{"leak", descriptors_are_those_counted},
                                         Plant{"thaw", frozen_with_forty_requests}),
                         [](const auto& plant) { return std::string(plant.param.name); });

}  // namespace
}  // namespace elmbay::fleet
