// What members say to one another, as bytes: whole, within 256, and never believed to be more than it is.
#include "cluster/message.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace elmbay::cluster {
namespace {

// As another writer of this protocol would sign what it wrote.
std::string signed_text(std::string bytes) {
    XXH32_canonical_t sum;
    XXH32_canonicalFromHash(&sum, XXH32(bytes.data(), bytes.size(), 0x656c6d62));
    return bytes.append(reinterpret_cast<const char*>(sum.digest), sizeof sum.digest);
}
std::string signed_bytes(const nlohmann::json& all) {
    std::string bytes;
    nlohmann::json::to_msgpack(all, bytes);
    return signed_text(std::move(bytes));
}
nlohmann::json plain(const std::string& bytes) {
    return nlohmann::json::from_msgpack(bytes.substr(0, bytes.size() - sizeof(XXH32_canonical_t)));
}

Message drawn(std::uint32_t most) {
    const auto number = [&] { return *rc::gen::inRange<std::uint32_t>(0, most); };
    Message message;
    message.kind = static_cast<Message::Kind>(*rc::gen::inRange(0, 8));
    message.from = *rc::gen::inRange<std::uint32_t>(0, Message::kMaxShortField + 1);
    message.incarnation = {1 + number() / 2, *rc::gen::arbitrary<std::uint16_t>()};
    message.state = static_cast<MemberState>(*rc::gen::inRange(0, 7));
    const auto small = [&] { return *rc::gen::inRange<std::uint32_t>(0, Message::kMaxShortField + 1); };
    message.uptime = small(), message.sequence = number(), message.subject = small(),
    message.digest = number(), message.present_count = small();
    message.view = static_cast<View>(*rc::gen::inRange(0, 4));
    for (int i = *rc::gen::inRange(0, 15); i > 0; --i)
        message.updates.push_back({small(),
                                   {number(), *rc::gen::arbitrary<std::uint16_t>()},
                                   static_cast<MemberState>(*rc::gen::inRange(0, 7)),
                                   small()});
    return message;
}

TEST(Message, RoundTripsAndFitsSizeLimitForAnyFieldValues) {
    EXPECT_TRUE(rc::check([] {
        const Message message = drawn(UINT32_MAX);
        const std::string bytes = encode(message);
        RC_ASSERT(bytes.size() <= Message::kMaxBytes);
        const auto back = decode(bytes);
        RC_ASSERT(back.has_value());
        RC_ASSERT(*back == message);
    }));
    Message most;
    most.from = most.uptime = most.sequence = most.subject = most.digest = most.present_count =
        most.max_version = UINT32_MAX;
    most.incarnation = {UINT32_MAX, UINT16_MAX};
    most.updates.assign(20, {UINT32_MAX, {UINT32_MAX, UINT16_MAX}, MemberState::left, UINT32_MAX});
    const std::string bytes = encode(most);
    EXPECT_LE(bytes.size(), Message::kMaxBytes);
    EXPECT_EQ(decode(bytes)->updates.size(), Message::kMaxUpdates);
}

// A later version's fields stand behind ours; what we know is read all the same.
TEST(Message, IgnoresFieldsOfLaterVersion) {
    Message message;
    message.kind = Message::Kind::ping;
    message.from = 3;
    message.incarnation = {7, 9};
    message.sequence = 5;
    nlohmann::json all = plain(encode(message));
    all.push_back("of a later version");
    all.push_back({1, 2, 3});
    EXPECT_EQ(decode(signed_bytes(all)), message);
}

TEST(Message, NamesFaultAndFieldOfMalformedMessage) {
    Message message;
    message.kind = Message::Kind::ack;
    message.from = 3;
    message.incarnation = {7, 9};
    const auto with = [&](std::size_t field, const nlohmann::json& value) {
        nlohmann::json all = plain(encode(message));
        all[field] = value;
        DecodeError error;
        EXPECT_FALSE(decode(signed_bytes(all), &error)) << field << " " << value;
        EXPECT_EQ(error.fault, DecodeFault::bad_field);
        return error.field;
    };
    EXPECT_EQ(with(0, 2), "version");
    EXPECT_EQ(with(1, 8), "kind");
    EXPECT_EQ(with(2, -1), "from");
    EXPECT_EQ(with(2, 70000), "from");
    EXPECT_EQ(with(3, 70000), "life");
    EXPECT_EQ(with(4, 0), "count");
    EXPECT_EQ(with(5, 7), "state");
    EXPECT_EQ(with(7, 1.5), "seq");
    EXPECT_EQ(with(10, "whole"), "view");
    EXPECT_EQ(with(13, nlohmann::json::array({1, 2, 3})), "updates");
    EXPECT_EQ(with(13, nlohmann::json::array({1, 2, 3, 9, 0})), "updates");
    const auto fault_of = [](std::string_view bytes) {
        DecodeError error;
        EXPECT_FALSE(decode(bytes, &error));
        EXPECT_EQ(error.field, "");
        return error.fault;
    };
    EXPECT_EQ(fault_of(encode(message).substr(0, 9)), DecodeFault::bad_checksum);
    EXPECT_EQ(fault_of("abc"), DecodeFault::not_a_message);
    EXPECT_EQ(fault_of(std::string(300, '\x91')), DecodeFault::too_long);
    // Nested as deep as it goes; and one that says that it has four billion entries.
    EXPECT_FALSE(decode(signed_text(std::string(252, '\x91'))));
    EXPECT_FALSE(decode(signed_text(std::string("\xdd\xff\xff\xff\xff", 5))));
}

}  // namespace
}  // namespace elmbay::cluster
