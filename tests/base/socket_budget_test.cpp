// Tests how SocketBudget divides descriptors among clients and servers.
#include <gtest/gtest.h>

#include "base/sockets.hpp"

namespace elmbay::test {
namespace {

// Clients may use less than a third of the descriptors. With a larger allocation, idle clients used the
// sockets of clients with requests to send.
TEST(SocketBudget, GivesClientsLessThanAThirdOfTheSockets) {
    constexpr std::size_t kSockets = 360;
    SocketBudget budget(kSockets);
    std::size_t clients = 0;
    std::size_t servers = 0;
    while (budget.acquire(SocketPurpose::clients)) ++clients;
    while (budget.acquire(SocketPurpose::servers)) ++servers;
    EXPECT_LT(clients, kSockets / 3);
    EXPECT_GT(clients, kSockets / 4);
    EXPECT_EQ(clients + servers, kSockets);
}

}  // namespace
}  // namespace elmbay::test
