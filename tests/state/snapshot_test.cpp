// Tests the codec of snapshot files: encoded snapshots decode unchanged, and damaged files are rejected or
// decode to a complete earlier snapshot. Also tests the age of snapshots.
#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "samples.hpp"
#include "state/snapshot_codec.hpp"

namespace elmbay::state {
namespace {

using test::make_snapshot;
using test::round_of;

// Encodes rounds 1 to 3 in one file: a complete batch and two change batches. Appends to `batch_ends` the
// size of the file up to the end of each round.
std::string three_rounds(std::vector<std::size_t>* batch_ends = nullptr) {
    std::uint64_t next_record = 0;
    std::string bytes =
        encode_header(make_snapshot(1), 7) + encode_batch(nullptr, make_snapshot(1), 7, next_record);
    if (batch_ends) batch_ends->push_back(bytes.size());
    for (int round = 2; round <= 3; ++round) {
        const Snapshot before = make_snapshot(round - 1);
        bytes += encode_batch(&before, make_snapshot(round), 7, next_record);
        if (batch_ends) batch_ends->push_back(bytes.size());
    }
    return bytes;
}

TEST(SnapshotCodec, DecodesEncodedSnapshot) {
    const DecodeResult result = decode_snapshot_file(three_rounds());
    ASSERT_TRUE(result.snapshot);
    EXPECT_EQ(round_of(*result.snapshot), 3);
    EXPECT_EQ(result.snapshot->instance, "n-1");
    EXPECT_EQ(result.snapshot->taken_at, make_snapshot(3).taken_at);
    EXPECT_EQ(result.generation, 7U);
    EXPECT_EQ(result.batches, 3U);
    EXPECT_FALSE(result.dropped_tail);
}

TEST(SnapshotCodec, EncodesAddedAndRemovedServersAsChanges) {
    std::uint64_t next_record = 0;
    const Snapshot six_servers = make_snapshot(1, 6), four_servers = make_snapshot(1, 4),
                   eight_servers = make_snapshot(1, 8);
    std::string bytes = encode_header(six_servers, 1) + encode_batch(nullptr, six_servers, 1, next_record);
    const std::size_t first_size = bytes.size();
    bytes += encode_batch(&six_servers, four_servers, 1, next_record);
    EXPECT_LT(bytes.size() - first_size, first_size / 2) << "only two removed servers and the timestamp";
    EXPECT_EQ(decode_snapshot_file(bytes).snapshot->server_uids.size(), 4U);
    bytes += encode_batch(&four_servers, eight_servers, 1, next_record);
    EXPECT_EQ(decode_snapshot_file(bytes).snapshot->server_uids.size(), 8U);
    EXPECT_EQ(round_of(*decode_snapshot_file(bytes).snapshot), 1);
}

TEST(SnapshotCodec, RejectsFileOrDecodesEarlierBatchWhenTruncatedAtAnyByte) {
    std::vector<std::size_t> batch_ends;
    const std::string bytes = three_rounds(&batch_ends);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        const DecodeResult result = decode_snapshot_file(std::string_view(bytes).substr(0, length));
        const int complete_batches =
            (length >= batch_ends[0]) + (length >= batch_ends[1]) + (length >= batch_ends[2]);
        if (complete_batches == 0) {
            ASSERT_TRUE(result.error) << length;
            ASSERT_NE(result.error, StateError::unsupported_version) << length;
            ASSERT_FALSE(result.snapshot) << length;
        } else {
            ASSERT_TRUE(result.snapshot) << length;
            ASSERT_EQ(round_of(*result.snapshot), complete_batches) << length;
            ASSERT_EQ(!result.dropped_tail,
                      length == batch_ends[static_cast<std::size_t>(complete_batches) - 1])
                << length;
        }
    }
}

TEST(SnapshotCodec, RejectsFileOrDecodesEarlierBatchWithAnyBitFlipped) {
    const std::string bytes = three_rounds();
    std::size_t rejected = 0, decoded_earlier = 0;
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string flipped = bytes;
        flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ 1 << bit % 8);
        const DecodeResult result = decode_snapshot_file(flipped);
        if (!result.snapshot) {
            ++rejected;
            continue;
        }
        const int round = round_of(*result.snapshot);
        ASSERT_TRUE(round == 1 || round == 2) << "bit " << bit << " gave round " << round;
        ++decoded_earlier;
    }
    EXPECT_GT(rejected, 1000U);
    EXPECT_GT(decoded_earlier, 1000U);
}

TEST(SnapshotCodec, RejectsRecordsOfAnotherGenerationOrPosition) {
    std::uint64_t next_record = 0, restarted_record = 0;
    const Snapshot first = make_snapshot(1), second = make_snapshot(2);
    const std::string first_batch = encode_header(first, 7) + encode_batch(nullptr, first, 7, next_record);
    std::uint64_t continued_record = next_record;
    EXPECT_EQ(
        round_of(
            *decode_snapshot_file(first_batch + encode_batch(&first, second, 7, continued_record)).snapshot),
        2);
    continued_record = next_record;
    EXPECT_EQ(
        round_of(
            *decode_snapshot_file(first_batch + encode_batch(&first, second, 8, continued_record)).snapshot),
        1);
    EXPECT_EQ(
        round_of(
            *decode_snapshot_file(first_batch + encode_batch(&first, second, 7, restarted_record)).snapshot),
        1);
}

TEST(SnapshotCodec, DistinguishesNewerVersionFromInvalidFiles) {
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

TEST(SnapshotCodec, RejectsRandomBytesAfterValidHeader) {
    std::mt19937_64 random(20261201);
    const std::string header = encode_header(make_snapshot(1), 7);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = header;
        for (std::size_t count = random() % 400; count > 0; --count) bytes += static_cast<char>(random());
        EXPECT_FALSE(decode_snapshot_file(bytes).snapshot);
    }
}

TEST(SnapshotAge, UsesTimeSinceBootElseWallClock) {
    const Timestamp taken_at{1000000, 5000, {1}};
    EXPECT_EQ(age_of(taken_at, {900000, 7000, {1}}), 2000)
        << "the same boot: the time since boot counts, although the wall clock was set back";
    EXPECT_EQ(age_of(taken_at, {1060000, 10, {2}}), 60000) << "another boot: the wall clock counts";
    EXPECT_LT(age_of(taken_at, {900000, 10, {2}}), 0) << "another boot, and a timestamp in the future";
    EXPECT_EQ(age_of({1000, 5000, {}}, {4000, 9000, {}}), 3000)
        << "both boots are unknown: the wall clock counts";
    constexpr auto kMin = std::numeric_limits<std::int64_t>::min();
    constexpr auto kMax = std::numeric_limits<std::int64_t>::max();
    EXPECT_GT(age_of({kMin, kMin, {1}}, {kMax, kMax, {1}}), 1e18);
}

}  // namespace
}  // namespace elmbay::state
