// The table of members by itself: counts, digests and changes.
#include "cluster/member_table.hpp"

#include <gtest/gtest.h>

namespace elmbay::cluster {
namespace {

constexpr Incarnation kFirst{10, 1};
constexpr Incarnation kSecond{11, 1};

TEST(MemberTable, CountsMembersByState) {
    MemberTable table(0, 4, 0);
    table.set(1, 1, kFirst, MemberState::failed, "silent");
    table.set(1, 2, kFirst, MemberState::left, "said so");
    table.set(1, 3, kFirst, MemberState::suspect, "no answer");
    EXPECT_EQ(table.headcount().all, 4U);
    EXPECT_EQ(table.headcount().present, 2U);
    EXPECT_EQ(table.headcount().silent, 1U);
    EXPECT_EQ(table.headcount().ended, 1U);
    EXPECT_EQ(table.failures(), 1U);
    EXPECT_TRUE(table.is_present_peer(3));
    EXPECT_FALSE(table.is_present_peer(1));
    EXPECT_FALSE(table.is_present_peer(0)) << "it is no peer of itself";
}

TEST(MemberTable, DigestDoesNotDependOnOrderOfUpdates) {
    MemberTable one(0, 4, 0);
    MemberTable other(1, 4, 0);
    one.set(1, 2, kFirst, MemberState::failed, "");
    one.set(2, 3, kFirst, MemberState::gone, "");
    other.set(1, 3, kFirst, MemberState::gone, "");
    EXPECT_NE(one.digest(), other.digest());
    other.set(2, 2, kFirst, MemberState::failed, "");
    EXPECT_EQ(one.digest(), other.digest());
    other.set(3, 2, kSecond, MemberState::failed, "");
    EXPECT_NE(one.digest(), other.digest()) << "of another incarnation";
    one.set(4, 2, kFirst, MemberState::alive, "");
    other.set(4, 2, kSecond, MemberState::suspect, "");
    EXPECT_EQ(one.digest(), other.digest()) << "how one is present is nobody's concern";
}

TEST(MemberTable, RecordsEachStateChangeOnceUpToItsBound) {
    MemberTable table(0, 2, 0);
    table.set(5, 1, kFirst, MemberState::alive, "heard");
    table.set(6, 1, kSecond, MemberState::alive, "heard again");
    const std::vector<MemberChange> changes = table.take_changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].before, MemberState::expected);
    EXPECT_EQ(changes[0].after, MemberState::alive);
    EXPECT_EQ(table[1].since, 5);
    EXPECT_EQ(table[1].incarnation, kSecond);
    for (int i = 0; i < 1000; ++i) {
        table.set(i, 1, kSecond, i % 2 == 0 ? MemberState::suspect : MemberState::alive, "");
    }
    EXPECT_EQ(table.take_changes().size(), MemberTable::kMaxChanges);
    EXPECT_TRUE(table.take_changes().empty());
}

TEST(MemberTable, KeepsTimeOfLastRejoin) {
    MemberTable table(0, 2, 0);
    table.set(5, 1, kFirst, MemberState::alive, "");
    EXPECT_LT(table.rejoined_at(1), 0);
    table.set(6, 1, kFirst, MemberState::failed, "");
    table.set(9, 1, kSecond, MemberState::alive, "");
    EXPECT_EQ(table.rejoined_at(1), 9);
}

TEST(MemberTable, GossipsRefutationButNotFirstAppearance) {
    Member never_heard;
    EXPECT_FALSE(needs_gossip(never_heard, kFirst, MemberState::alive));
    EXPECT_TRUE(needs_gossip(never_heard, kFirst, MemberState::failed));
    Member known;
    known.incarnation = kFirst;
    known.state = MemberState::alive;
    EXPECT_FALSE(needs_gossip(known, kFirst, MemberState::alive));
    EXPECT_TRUE(needs_gossip(known, kSecond, MemberState::alive));
    known.state = MemberState::suspect;
    EXPECT_TRUE(needs_gossip(known, kFirst, MemberState::alive));
}

}  // namespace
}  // namespace elmbay::cluster
