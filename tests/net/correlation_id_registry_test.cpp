// Tests for how long a correlation id is remembered.
#include "net/correlation_id_registry.hpp"

#include <gtest/gtest.h>

#include <string>

namespace elmbay::test {
namespace {

constexpr Millis kLongestDeadline = 1500;

// Guards against a request that runs twice because its id is repeated some seconds after its client has
// disconnected: ids were forgotten after one to two longest deadlines.
TEST(CorrelationIdRegistry, RemembersIdLongAfterTheLongestDeadlineDespiteOtherRequests) {
    CorrelationIdRegistry registry(kLongestDeadline);
    EXPECT_TRUE(registry.insert("repeated", 0));
    for (int second = 1; second < 30; ++second) {
        EXPECT_TRUE(registry.insert("other-" + std::to_string(second), second * 1000.0));
    }
    EXPECT_FALSE(registry.insert("repeated", 30000));
}

// An id that is sent again and again must not be accepted once in each retention.
TEST(CorrelationIdRegistry, RemembersRepeatedIdAsLongAsANewOne) {
    CorrelationIdRegistry registry(kLongestDeadline);
    EXPECT_TRUE(registry.insert("repeated", 0));
    const Millis interval = CorrelationIdRegistry::kMinRetention / 2;
    for (int i = 1; i < 10; ++i) EXPECT_FALSE(registry.insert("repeated", i * interval)) << i;
}

// Ever new ids at full speed must not take memory without a limit, nor displace an id at once.
TEST(CorrelationIdRegistry, KeepsIdWhileFewerThanOneGenerationOfOthersFollow) {
    CorrelationIdRegistry registry(kLongestDeadline);
    EXPECT_TRUE(registry.insert("repeated", 0));
    for (std::size_t i = 1; i < CorrelationIdRegistry::kMaxIdsPerGeneration; ++i) {
        ASSERT_TRUE(registry.insert("other-" + std::to_string(i), 0));
    }
    EXPECT_FALSE(registry.insert("repeated", 0));
}

}  // namespace
}  // namespace elmbay::test
