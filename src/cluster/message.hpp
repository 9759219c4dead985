/// @file
/// What sidecars say to one another, as bytes: MessagePack and an XXH32 of it (big-endian) behind, read by
/// the libraries and checked here field by field: UDP's own sum has 16 bits, and may be left out.
/// docs/reference/cluster-protocol.md has each field. Fields that a later version adds stand behind ours and
/// are passed over.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace elmbay::cluster {

/// A member's place in the settings' count of sidecars, the same at all of them: from 0, at most 65535.
using MemberId = std::uint32_t;

/// The state of a member as another sees it, in the order in which states outrank one another within one
/// incarnation.
enum class MemberState : std::uint8_t {
    expected,  ///< it should be there; nothing has been heard of it
    joining,   ///< it has started and has not heard of anybody yet
    alive,     ///< it was heard of
    suspect,   ///< a probe of it was not answered
    failed,    ///< silent: it has died or is cut off; which of the two is not known
    gone,      ///< its machine says that the process is not there
    left       ///< it ended in good order and said so
};
/// @return the state's name in the status JSON and in log lines.
const char* to_string(MemberState state);

/// One run of a process under a member's id, and what it has refuted since: the higher outranks the lower,
/// whatever clocks say.
struct Incarnation {
    /// Begins with the start's time (IncarnationClock) and rises with each refutation; 0: never heard of.
    std::uint32_t counter = 0;
    /// Drawn at the start of the process: tells two processes of one counter apart.
    std::uint16_t nonce = 0;
    // The check takes the comparison with 0 that the compiler generates for a null pointer.
    auto operator<=>(const Incarnation&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// What is said of one member.
struct Update {
    MemberId member_id = 0;
    Incarnation incarnation;
    MemberState state = MemberState::expected;
    /// suspect: who says so; alive and joining: seconds since its start, as it said itself; else 0.
    std::uint32_t detail = 0;
    bool operator==(const Update&) const = default;
};

/// How much of the fleet a member hears.
enum class View : std::uint8_t {
    unknown,  ///< it has just started
    whole,    ///< everybody who is not known to have ended
    part,     ///< some are silent
    alone     ///< no other member, though others should be there
};
/// @return the view's name in the status JSON.
const char* to_string(View view);

/// One datagram, as its fields.
struct Message {
    /// Of the layout; others are not read.
    static constexpr std::uint32_t kVersion = 1;
    /// Bytes of an encoded message: PROTOCOL, "Between sidecars".
    static constexpr std::size_t kMaxBytes = 256;
    /// Of ids, counts of members and seconds since a start, which stand at it from then on: 3 bytes each.
    static constexpr std::uint32_t kMaxShortField = 65535;
    /// So many fit whatever the numbers in them: 15 bytes each at most beside 44 of the rest.
    static constexpr std::size_t kMaxUpdates = 14;

    /// What the datagram asks for or answers.
    enum class Kind : std::uint8_t {
        ping,          ///< answer me
        ack,           ///< the answer: same sequence
        ping_req,      ///< ping `subject` for me
        indirect_ack,  ///< it answered me: same sequence
        nack,          ///< it has not answered me yet: same sequence. Shows the asker that it is heard itself
        gossip,        ///< updates alone
        table_request,  ///< tell me whom you hold for not present, from member `subject` on
        table_page      ///< that: the next page begins at `subject`, 0 if this is the last
    };
    Kind kind = Kind::gossip;
    MemberId from = 0;
    Incarnation incarnation;  ///< the sender's own
    MemberState state = MemberState::alive;
    std::uint32_t uptime = 0;  ///< seconds
    std::uint32_t sequence = 0;
    MemberId subject = 0;
    std::uint32_t digest = 0;  ///< of the sender's table
    View view = View::unknown;
    std::uint32_t present_count = 0;       ///< members that the sender counts as present
    std::uint32_t max_version = kVersion;  ///< the highest version that the sender reads
    std::vector<Update> updates;           ///< those beyond kMaxUpdates are not written
    bool operator==(const Message&) const = default;
};

/// Why bytes are no message.
enum class DecodeFault : std::uint8_t {
    too_long,       ///< more than Message::kMaxBytes
    not_a_message,  ///< too short, or no array with as many fields
    bad_checksum,
    bad_field  ///< one field is missing, of another type or out of range
};
/// Why bytes are no message, and where.
struct DecodeError {
    DecodeFault fault = DecodeFault::not_a_message;
    std::string_view field;  ///< its name in the protocol's table, for bad_field; else empty
    bool operator==(const DecodeError&) const = default;
};

/// @return the message as bytes, Message::kMaxBytes at most. Numbers beyond their range stand at its end.
std::string encode(const Message& message);
/// Reads any bytes. Ids are not checked against the fleet's size.
/// @param error where to say why, if anybody wants to know.
/// @return nothing for what is no message.
std::optional<Message> decode(std::string_view bytes, DecodeError* error = nullptr);

}  // namespace elmbay::cluster
