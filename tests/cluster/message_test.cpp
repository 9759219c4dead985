// Tests of the encoding of messages: round trips, the size limit, and the validation of untrusted bytes.
#include "cluster/message.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace elmbay::cluster {
namespace {

// Appends the checksum, as an independent implementation of the protocol would.
std::string with_checksum(std::string bytes) {
    XXH32_canonical_t checksum;
    XXH32_canonicalFromHash(&checksum, XXH32(bytes.data(), bytes.size(), 0x656c6d62));
    return bytes.append(reinterpret_cast<const char*>(checksum.digest), sizeof checksum.digest);
}
std::string encode_fields(const nlohmann::json& fields) {
    std::string bytes;
    nlohmann::json::to_msgpack(fields, bytes);
    return with_checksum(std::move(bytes));
}
nlohmann::json decode_fields(const std::string& bytes) {
    return nlohmann::json::from_msgpack(bytes.substr(0, bytes.size() - sizeof(XXH32_canonical_t)));
}

Message random_message(std::uint32_t max_number) {
    const auto number = [&] { return *rc::gen::inRange<std::uint32_t>(0, max_number); };
    Message message;
    message.kind = static_cast<Message::Kind>(*rc::gen::inRange(0, 8));
    message.from = *rc::gen::inRange<std::uint32_t>(0, Message::kMaxShortField + 1);
    message.incarnation = {1 + number() / 2, *rc::gen::arbitrary<std::uint16_t>()};
    message.state = static_cast<MemberState>(*rc::gen::inRange(0, 7));
    const auto short_number = [&] {
        return *rc::gen::inRange<std::uint32_t>(0, Message::kMaxShortField + 1);
    };
    message.uptime_seconds = short_number(), message.sequence = number(), message.subject = short_number(),
    message.digest = number(), message.present_count = short_number();
    message.view = static_cast<View>(*rc::gen::inRange(0, 4));
    for (int remaining = *rc::gen::inRange(0, 15); remaining > 0; --remaining)
        message.updates.push_back({short_number(),
                                   {number(), *rc::gen::arbitrary<std::uint16_t>()},
                                   static_cast<MemberState>(*rc::gen::inRange(0, 7)),
                                   short_number()});
    return message;
}

TEST(Message, RoundTripsAndFitsSizeLimitForAnyFieldValues) {
    EXPECT_TRUE(rc::check([] {
        const Message message = random_message(UINT32_MAX);
        const std::string bytes = encode(message);
        RC_ASSERT(bytes.size() <= Message::kMaxBytes);
        const auto decoded = decode(bytes);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == message);
    }));
    Message largest;
    largest.from = largest.uptime_seconds = largest.sequence = largest.subject = largest.digest =
        largest.present_count = largest.max_version = UINT32_MAX;
    largest.incarnation = {UINT32_MAX, UINT16_MAX};
    largest.updates.assign(20, {UINT32_MAX, {UINT32_MAX, UINT16_MAX}, MemberState::left, UINT32_MAX});
    const std::string bytes = encode(largest);
    EXPECT_LE(bytes.size(), Message::kMaxBytes);
    EXPECT_EQ(decode(bytes)->updates.size(), Message::kMaxUpdates);
}

// A later version appends fields. The fields of this version are still decoded.
TEST(Message, IgnoresFieldsOfLaterVersion) {
    Message message;
    message.kind = Message::Kind::ping;
    message.from = 3;
    message.incarnation = {7, 9};
    message.sequence = 5;
    nlohmann::json fields = decode_fields(encode(message));
    fields.push_back("a field of a later version");
    fields.push_back({1, 2, 3});
    EXPECT_EQ(decode(encode_fields(fields)), message);
}

TEST(Message, ReportsFaultAndFieldOfMalformedMessage) {
    Message message;
    message.kind = Message::Kind::ack;
    message.from = 3;
    message.incarnation = {7, 9};
    const auto field_of_error = [&](std::size_t field, const nlohmann::json& value) {
        nlohmann::json fields = decode_fields(encode(message));
        fields[field] = value;
        DecodeError error;
        EXPECT_FALSE(decode(encode_fields(fields), &error)) << field << " " << value;
        EXPECT_EQ(error.fault, DecodeFault::bad_field);
        return error.field;
    };
    EXPECT_EQ(field_of_error(0, 2), "version");
    EXPECT_EQ(field_of_error(1, 8), "kind");
    EXPECT_EQ(field_of_error(2, -1), "from");
    EXPECT_EQ(field_of_error(2, 70000), "from");
    EXPECT_EQ(field_of_error(3, 70000), "life");
    EXPECT_EQ(field_of_error(4, 0), "count");
    EXPECT_EQ(field_of_error(5, 7), "state");
    EXPECT_EQ(field_of_error(7, 1.5), "seq");
    EXPECT_EQ(field_of_error(10, "whole"), "view");
    EXPECT_EQ(field_of_error(13, nlohmann::json::array({1, 2, 3})), "updates");
    EXPECT_EQ(field_of_error(13, nlohmann::json::array({1, 2, 3, 9, 0})), "updates");
    const auto fault_of = [](std::string_view bytes) {
        DecodeError error;
        EXPECT_FALSE(decode(bytes, &error));
        EXPECT_EQ(error.field, "");
        return error.fault;
    };
    EXPECT_EQ(fault_of(encode(message).substr(0, 9)), DecodeFault::bad_checksum);
    EXPECT_EQ(fault_of("abc"), DecodeFault::not_a_message);
    EXPECT_EQ(fault_of(std::string(300, '\x91')), DecodeFault::too_long);
    // Maximum nesting depth, and an array header that announces four billion entries.
    EXPECT_FALSE(decode(with_checksum(std::string(252, '\x91'))));
    EXPECT_FALSE(decode(with_checksum(std::string("\xdd\xff\xff\xff\xff", 5))));
}

}  // namespace
}  // namespace elmbay::cluster
