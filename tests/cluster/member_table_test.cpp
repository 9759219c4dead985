// Tests of the counts, digests and changes of MemberTable.
#include "cluster/member_table.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

constexpr Incarnation kEarlierIncarnation{10, 1};
constexpr Incarnation kLaterIncarnation{11, 1};

TEST(MemberTable, CountsMembersByState) {
    MemberTable table(0, 4, 0);
    table.set(1, 1, kEarlierIncarnation, MemberState::failed, "no answer");
    table.set(1, 2, kEarlierIncarnation, MemberState::left, "announced");
    table.set(1, 3, kEarlierIncarnation, MemberState::suspect, "no ack");
    EXPECT_EQ(table.member_counts().total, 4U);
    EXPECT_EQ(table.member_counts().present, 2U);
    EXPECT_EQ(table.member_counts().failed, 1U);
    EXPECT_EQ(table.member_counts().ended, 1U);
    EXPECT_EQ(table.failures(), 1U);
    EXPECT_TRUE(table.is_present_peer(3));
    EXPECT_FALSE(table.is_present_peer(1));
    EXPECT_FALSE(table.is_present_peer(0)) << "a member is not its own peer";
}

TEST(MemberTable, DigestDoesNotDependOnOrderOfUpdates) {
    MemberTable first(0, 4, 0);
    MemberTable second(1, 4, 0);
    first.set(1, 2, kEarlierIncarnation, MemberState::failed, "");
    first.set(2, 3, kEarlierIncarnation, MemberState::terminated, "");
    second.set(1, 3, kEarlierIncarnation, MemberState::terminated, "");
    EXPECT_NE(first.digest(), second.digest());
    second.set(2, 2, kEarlierIncarnation, MemberState::failed, "");
    EXPECT_EQ(first.digest(), second.digest());
    second.set(3, 2, kLaterIncarnation, MemberState::failed, "");
    EXPECT_NE(first.digest(), second.digest()) << "the incarnations differ";
    first.set(4, 2, kEarlierIncarnation, MemberState::alive, "");
    second.set(4, 2, kLaterIncarnation, MemberState::suspect, "");
    EXPECT_EQ(first.digest(), second.digest()) << "present members do not contribute to the digest";
}

TEST(MemberTable, RecordsEachStateChangeOnceUpToMaxChanges) {
    MemberTable table(0, 2, 0);
    table.set(5, 1, kEarlierIncarnation, MemberState::alive, "datagram");
    table.set(6, 1, kLaterIncarnation, MemberState::alive, "another datagram");
    const std::vector<MemberChange> changes = table.take_changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].before, MemberState::expected);
    EXPECT_EQ(changes[0].after, MemberState::alive);
    EXPECT_EQ(table[1].state_since, 5);
    EXPECT_EQ(table[1].incarnation, kLaterIncarnation);
    for (int i = 0; i < 1000; ++i) {
        table.set(i, 1, kLaterIncarnation, i % 2 == 0 ? MemberState::suspect : MemberState::alive, "");
    }
    EXPECT_EQ(table.take_changes().size(), MemberTable::kMaxChanges);
    EXPECT_TRUE(table.take_changes().empty());
}

TEST(MemberTable, KeepsTimeOfLastRejoin) {
    MemberTable table(0, 2, 0);
    table.set(5, 1, kEarlierIncarnation, MemberState::alive, "");
    EXPECT_LT(table.rejoined_at(1), 0);
    table.set(6, 1, kEarlierIncarnation, MemberState::failed, "");
    table.set(9, 1, kLaterIncarnation, MemberState::alive, "");
    EXPECT_EQ(table.rejoined_at(1), 9);
}

TEST(MemberTable, GossipsRefutationButNotFirstAppearance) {
    Member unknown;
    EXPECT_FALSE(needs_gossip(unknown, kEarlierIncarnation, MemberState::alive));
    EXPECT_TRUE(needs_gossip(unknown, kEarlierIncarnation, MemberState::failed));
    Member known;
    known.incarnation = kEarlierIncarnation;
    known.state = MemberState::alive;
    EXPECT_FALSE(needs_gossip(known, kEarlierIncarnation, MemberState::alive));
    EXPECT_TRUE(needs_gossip(known, kLaterIncarnation, MemberState::alive));
    known.state = MemberState::suspect;
    EXPECT_TRUE(needs_gossip(known, kEarlierIncarnation, MemberState::alive));
}

}  // namespace
}  // namespace elmbay::cluster
