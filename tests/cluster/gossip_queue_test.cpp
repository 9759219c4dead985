// The queue of updates by itself: what is told, to whom, and how often.
#include "cluster/gossip_queue.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

GossipQueue::Selection to(MemberId receiver, std::size_t room = Message::kMaxUpdates) {
    GossipQueue::Selection selection;
    selection.max_updates = room;
    selection.receiver = receiver;
    return selection;
}

TEST(GossipQueue, DropsUpdateAfterRetransmitLimit) {
    GossipQueue queue(100);
    EXPECT_EQ(queue.retransmit_limit(), 9U);  // 3 times the digits of the fleet
    queue.add(7);
    for (std::uint32_t i = 0; i < queue.retransmit_limit(); ++i) {
        EXPECT_EQ(queue.take(to(1)), std::vector<MemberId>{7});
    }
    EXPECT_TRUE(queue.empty());
    EXPECT_TRUE(queue.take(to(1)).empty());
    queue.add(7);
    EXPECT_EQ(queue.transmissions(7), 0U) << "another piece of news is told from the beginning";
}

TEST(GossipQueue, TakesLeastTransmittedUpdateFirst) {
    GossipQueue queue(100);
    for (MemberId id = 0; id < 20; ++id) queue.add(id);
    const std::vector<MemberId> first = queue.take(to(99));
    ASSERT_EQ(first.size(), Message::kMaxUpdates);
    const std::vector<MemberId> second = queue.take(to(99));
    for (MemberId id = 0; id < 20; ++id) {
        EXPECT_GE(queue.transmissions(id), 1U) << id;
        EXPECT_LE(queue.transmissions(id), 2U) << id;
    }
}

TEST(GossipQueue, CountsUpdateOnReceiverItselfOnlyIfSelected) {
    GossipQueue queue(4);
    queue.add(2);
    EXPECT_EQ(queue.take(to(2)), std::vector<MemberId>{2});
    EXPECT_EQ(queue.transmissions(2), 0U);
    GossipQueue::Selection selection = to(2);
    selection.count_receiver = true;
    queue.take(selection);
    EXPECT_EQ(queue.transmissions(2), 1U);
    selection.skip_receiver = true;
    EXPECT_TRUE(queue.take(selection).empty());
}

TEST(GossipQueue, NeedsFewerTransmissionsWhenOthersSendTheUpdate) {
    GossipQueue queue(4);
    queue.count_transmission_by_other(3);
    EXPECT_TRUE(queue.empty()) << "no news of it";
    queue.add(3);
    queue.count_transmission_by_other(3);
    queue.count_transmission_by_other(3);
    EXPECT_EQ(queue.take(to(1)), std::vector<MemberId>{3});
    EXPECT_TRUE(queue.empty());
}

TEST(GossipQueue, TakesAtMostMaxUpdatesAndOnlyTheSelectedMember) {
    GossipQueue queue(100);
    for (MemberId id = 0; id < 5; ++id) queue.add(id);
    EXPECT_EQ(queue.take(to(99, 2)).size(), 2U);
    EXPECT_TRUE(queue.take(to(99, 0)).empty());
    GossipQueue::Selection selection = to(99);
    selection.only = 4;
    EXPECT_EQ(queue.take(selection), std::vector<MemberId>{4});
}

}  // namespace
}  // namespace elmbay::cluster
