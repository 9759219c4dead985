// Tests which updates GossipQueue selects for which receiver, and how often.
#include "cluster/gossip_queue.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

GossipQueue::Selection selection_for(MemberId receiver, std::size_t max_updates = Message::kMaxUpdates) {
    GossipQueue::Selection selection;
    selection.max_updates = max_updates;
    selection.receiver = receiver;
    return selection;
}

TEST(GossipQueue, DropsUpdateAfterRetransmitLimit) {
    GossipQueue queue(100);
    EXPECT_EQ(queue.retransmit_limit(), 9U);  // 3 times the number of digits of the member count
    queue.add(7);
    for (std::uint32_t i = 0; i < queue.retransmit_limit(); ++i) {
        EXPECT_EQ(queue.take(selection_for(1)), std::vector<MemberId>{7});
    }
    EXPECT_TRUE(queue.empty());
    EXPECT_TRUE(queue.take(selection_for(1)).empty());
    queue.add(7);
    EXPECT_EQ(queue.transmissions(7), 0U) << "a new update starts with no transmissions";
}

TEST(GossipQueue, TakesLeastTransmittedUpdateFirst) {
    GossipQueue queue(100);
    for (MemberId id = 0; id < 20; ++id) queue.add(id);
    const std::vector<MemberId> first = queue.take(selection_for(99));
    ASSERT_EQ(first.size(), Message::kMaxUpdates);
    const std::vector<MemberId> second = queue.take(selection_for(99));
    for (MemberId id = 0; id < 20; ++id) {
        EXPECT_GE(queue.transmissions(id), 1U) << id;
        EXPECT_LE(queue.transmissions(id), 2U) << id;
    }
}

TEST(GossipQueue, CountsUpdateOnReceiverItselfOnlyIfSelected) {
    GossipQueue queue(4);
    queue.add(2);
    EXPECT_EQ(queue.take(selection_for(2)), std::vector<MemberId>{2});
    EXPECT_EQ(queue.transmissions(2), 0U);
    GossipQueue::Selection selection = selection_for(2);
    selection.count_receiver = true;
    queue.take(selection);
    EXPECT_EQ(queue.transmissions(2), 1U);
    selection.skip_receiver = true;
    EXPECT_TRUE(queue.take(selection).empty());
}

TEST(GossipQueue, NeedsFewerTransmissionsWhenOthersSendTheUpdate) {
    GossipQueue queue(4);
    queue.count_transmission_by_other(3);
    EXPECT_TRUE(queue.empty()) << "no update on the member is queued";
    queue.add(3);
    queue.count_transmission_by_other(3);
    queue.count_transmission_by_other(3);
    EXPECT_EQ(queue.take(selection_for(1)), std::vector<MemberId>{3});
    EXPECT_TRUE(queue.empty());
}

TEST(GossipQueue, TakesAtMostMaxUpdatesAndOnlyTheSelectedMember) {
    GossipQueue queue(100);
    for (MemberId id = 0; id < 5; ++id) queue.add(id);
    EXPECT_EQ(queue.take(selection_for(99, 2)).size(), 2U);
    EXPECT_TRUE(queue.take(selection_for(99, 0)).empty());
    GossipQueue::Selection selection = selection_for(99);
    selection.only_member = 4;
    EXPECT_EQ(queue.take(selection), std::vector<MemberId>{4});
}

}  // namespace
}  // namespace elmbay::cluster
