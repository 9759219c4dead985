// The file's form: what goes in comes out, and what is damaged is refused or whole.
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "samples.hpp"
#include "state/snapshot_codec.hpp"

namespace elmbay::state {
namespace {

using test::round_of;
using test::sample;

// Rounds 1 to 3 in one file: a whole batch and two of changes. ends[i]: where round i + 1 is complete.
std::string three_rounds(std::vector<std::size_t>* ends = nullptr) {
    std::uint64_t next = 0;
    std::string bytes = encode_header(sample(1), 7) + encode_batch(nullptr, sample(1), 7, next);
    if (ends) ends->push_back(bytes.size());
    for (int round = 2; round <= 3; ++round) {
        const Snapshot before = sample(round - 1);
        bytes += encode_batch(&before, sample(round), 7, next);
        if (ends) ends->push_back(bytes.size());
    }
    return bytes;
}

TEST(StateFile, DecodesWhatWasEncoded) {
    const DecodeResult result = decode_snapshot_file(three_rounds());
    ASSERT_TRUE(result.snapshot);
    EXPECT_EQ(round_of(*result.snapshot), 3);
    EXPECT_EQ(result.snapshot->instance, "n-1");
    EXPECT_EQ(result.snapshot->taken_at, sample(3).taken_at);
    EXPECT_EQ(result.generation, 7U);
    EXPECT_EQ(result.batches, 3U);
    EXPECT_FALSE(result.dropped_tail);
}

TEST(StateFile, EncodesAddedAndRemovedServersAsChanges) {
    std::uint64_t next = 0;
    const Snapshot six = sample(1, 6), four = sample(1, 4), eight = sample(1, 8);
    std::string bytes = encode_header(six, 1) + encode_batch(nullptr, six, 1, next);
    const std::size_t whole = bytes.size();
    bytes += encode_batch(&six, four, 1, next);
    EXPECT_LT(bytes.size() - whole, whole / 2) << "two names and a time";
    EXPECT_EQ(decode_snapshot_file(bytes).snapshot->server_uids.size(), 4U);
    bytes += encode_batch(&four, eight, 1, next);
    EXPECT_EQ(decode_snapshot_file(bytes).snapshot->server_uids.size(), 8U);
    EXPECT_EQ(round_of(*decode_snapshot_file(bytes).snapshot), 1);
}

TEST(StateFile, IsRejectedOrDecodesEarlierBatchWhenTruncatedAtAnyByte) {
    std::vector<std::size_t> ends;
    const std::string bytes = three_rounds(&ends);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        const DecodeResult result = decode_snapshot_file(std::string_view(bytes).substr(0, cut));
        const int whole = (cut >= ends[0]) + (cut >= ends[1]) + (cut >= ends[2]);
        if (whole == 0) {
            ASSERT_TRUE(result.error) << cut;
            ASSERT_NE(result.error, StateError::unsupported_version) << cut;
            ASSERT_FALSE(result.snapshot) << cut;
        } else {
            ASSERT_TRUE(result.snapshot) << cut;
            ASSERT_EQ(round_of(*result.snapshot), whole) << cut;
            ASSERT_EQ(!result.dropped_tail, cut == ends[static_cast<std::size_t>(whole) - 1]) << cut;
        }
    }
}

TEST(StateFile, IsRejectedOrDecodesEarlierBatchWithAnyBitFlipped) {
    const std::string bytes = three_rounds();
    std::size_t refused = 0, earlier = 0;
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string flipped = bytes;
        flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ 1 << bit % 8);
        const DecodeResult result = decode_snapshot_file(flipped);
        if (!result.snapshot) {
            ++refused;
            continue;
        }
        const int round = round_of(*result.snapshot);
        ASSERT_TRUE(round == 1 || round == 2) << "bit " << bit << " gave round " << round;
        ++earlier;
    }
    EXPECT_GT(refused, 1000U);
    EXPECT_GT(earlier, 1000U);
}

TEST(StateFile, RejectsRecordsOfAnotherGenerationOrPosition) {
    std::uint64_t next = 0, from_start = 0;
    const Snapshot one = sample(1), two = sample(2);
    const std::string base = encode_header(one, 7) + encode_batch(nullptr, one, 7, next);
    std::uint64_t as_is = next;
    EXPECT_EQ(round_of(*decode_snapshot_file(base + encode_batch(&one, two, 7, as_is)).snapshot), 2);
    as_is = next;
    EXPECT_EQ(round_of(*decode_snapshot_file(base + encode_batch(&one, two, 8, as_is)).snapshot), 1);
    EXPECT_EQ(round_of(*decode_snapshot_file(base + encode_batch(&one, two, 7, from_start)).snapshot), 1);
}

TEST(StateFile, DistinguishesNewerVersionFromInvalidFiles) {
    std::string bytes = three_rounds();
    bytes[8] = 2;
    EXPECT_EQ(decode_snapshot_file(bytes).error, StateError::unsupported_version);
    EXPECT_EQ(decode_snapshot_file(bytes).version, 2U);
    bytes[8] = 0;
    EXPECT_EQ(decode_snapshot_file(bytes).error, StateError::invalid_version);
    EXPECT_EQ(decode_snapshot_file(std::string(4096, '\0')).error, StateError::not_a_snapshot);
    EXPECT_EQ(decode_snapshot_file("").error, StateError::not_a_snapshot);
    EXPECT_EQ(decode_snapshot_file(std::string(kMaxFileBytes + 1, 'E')).error, StateError::file_too_large);
}

TEST(StateFile, RejectsRandomBytesAfterValidHeader) {
    std::mt19937_64 random(20261201);
    const std::string header = encode_header(sample(1), 7);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = header;
        for (std::size_t n = random() % 400; n > 0; --n) bytes += static_cast<char>(random());
        EXPECT_FALSE(decode_snapshot_file(bytes).snapshot);
    }
}

TEST(StateAge, UsesTimeSinceBootElseWallClock) {
    const Timestamp then{1000000, 5000, {1}};
    EXPECT_EQ(age_of(then, {900000, 7000, {1}}), 2000) << "the wall clock was set back; the boot's was not";
    EXPECT_EQ(age_of(then, {1060000, 10, {2}}), 60000) << "another boot";
    EXPECT_LT(age_of(then, {900000, 10, {2}}), 0) << "another boot, and a file from the future";
    EXPECT_EQ(age_of({1000, 5000, {}}, {4000, 9000, {}}), 3000) << "no boot is known to be the same";
    constexpr auto kLeast = std::numeric_limits<std::int64_t>::min();
    constexpr auto kMost = std::numeric_limits<std::int64_t>::max();
    EXPECT_GT(age_of({kLeast, kLeast, {1}}, {kMost, kMost, {1}}), 1e18);
}

}  // namespace
}  // namespace elmbay::state
