/// @file
/// Encoding of the messages between sidecars: a MessagePack array, followed by its XXH32 checksum
/// (big-endian). Libraries parse both, and decode() validates each field. The message has a checksum of its
/// own because UDP's checksum has only 16 bits and is optional. docs/reference/cluster-protocol.md describes
/// each field. A later version appends its fields, and decode() ignores them.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace elmbay::cluster {

/// A member's index among the sidecars in the settings, the same at all members: 0 to 65535.
using MemberId = std::uint32_t;

/// The state of a member in another member's table. Within one incarnation a higher state overrides a lower
/// one. The status JSON and the log name the states expected, joining, alive, suspect, failed, gone and left.
enum class MemberState : std::uint8_t {
    expected,    ///< it is configured, and nothing has been received about it
    joining,     ///< it has started and has not received a datagram yet
    alive,       ///< it answers, or another member reports that it does
    suspect,     ///< a probe of it was not answered
    failed,      ///< it does not answer: it has crashed, or a partition separates it
    terminated,  ///< its host reports that its port is closed (ICMP); "gone" in the JSON and the log
    left         ///< it announced that it shuts down
};
/// @return the state's name in the status JSON and in log lines.
const char* to_string(MemberState state);

/// Identifies one run of a process under a member's id and the last refutation by it. A higher incarnation
/// overrides a lower one, regardless of wall clocks.
struct Incarnation {
    /// Starts at the time of the process start (IncarnationClock) and increases with each refutation; 0:
    /// unknown.
    std::uint32_t counter = 0;
    /// Drawn at random at the start of the process, to distinguish two processes with equal counters.
    std::uint16_t nonce = 0;
    // clang-tidy mistakes the comparison with 0 that the compiler generates for a null pointer.
    auto operator<=>(const Incarnation&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// A report about one member, as members send it to each other.
struct Update {
    MemberId member_id = 0;
    Incarnation incarnation;
    MemberState state = MemberState::expected;
    /// For suspect, the id of the member that suspects it. For alive and joining, its uptime in seconds, as
    /// it last reported. Else 0.
    std::uint32_t detail = 0;
    bool operator==(const Update&) const = default;
};

/// From how much of the fleet a member receives datagrams. The status JSON names the views unknown, whole,
/// part and alone.
enum class View : std::uint8_t {
    unknown,   ///< it has just started and has received nothing yet
    complete,  ///< all members that are not known to have ended
    partial,   ///< some members have failed
    isolated   ///< no other member, although others are configured
};
/// @return the view's name in the status JSON.
const char* to_string(View view);

/// The fields of one datagram.
struct Message {
    /// Version of the layout. Messages of another version are rejected.
    static constexpr std::uint32_t kVersion = 1;
    /// Maximum number of bytes of an encoded message (PROTOCOL, "Between sidecars").
    static constexpr std::size_t kMaxBytes = 256;
    /// Maximum of ids, member counts and uptimes, so that each takes at most 3 bytes. Higher numbers are
    /// clamped to it.
    static constexpr std::uint32_t kMaxShortField = 65535;
    /// Number of updates that fit whatever their values: each takes at most 15 bytes, and the other fields
    /// take at most 44.
    static constexpr std::size_t kMaxUpdates = 14;

    /// The type of the message.
    enum class Kind : std::uint8_t {
        ping,          ///< request for an ack from the receiver
        ack,           ///< answer to a ping, with the sequence of the ping
        ping_req,      ///< request to ping the member `subject` for the sender
        indirect_ack,  ///< `subject` answered the receiver's ping_req, whose sequence it has
        // The arrival of a nack shows the requester that its own link works.
        nack,           ///< `subject` has not answered the receiver's ping_req yet
        gossip,         ///< only carries updates
        table_request,  ///< request for the members that are not present, from `subject` on
        table_page      ///< answer to it; `subject` is the start of the next page, 0 if there is none
    };
    Kind kind = Kind::gossip;
    MemberId from = 0;
    Incarnation incarnation;  ///< the sender's incarnation
    MemberState state = MemberState::alive;
    std::uint32_t uptime_seconds = 0;  ///< of the sender's process
    std::uint32_t sequence = 0;
    MemberId subject = 0;
    std::uint32_t digest = 0;  ///< digest of the sender's table
    View view = View::unknown;
    std::uint32_t present_count = 0;       ///< number of members present in the sender's table
    std::uint32_t max_version = kVersion;  ///< highest version that the sender can read
    std::vector<Update> updates;           ///< encode() writes the first kMaxUpdates of them
    bool operator==(const Message&) const = default;
};

/// The reason why bytes are not a valid message.
enum class DecodeFault : std::uint8_t {
    too_long,       ///< more than Message::kMaxBytes
    not_a_message,  ///< too short, or not an array with all fields
    bad_checksum,
    bad_field  ///< a field has the wrong type or is out of range
};
/// The reason why bytes are not a valid message, and the invalid field.
struct DecodeError {
    DecodeFault fault = DecodeFault::not_a_message;
    std::string_view field;  ///< for bad_field, the field's name in the protocol's table; else empty
    bool operator==(const DecodeError&) const = default;
};

/// @return the encoded message, at most Message::kMaxBytes long. Numbers beyond their range are clamped to
/// it.
std::string encode(const Message& message);
/// Decodes a message from untrusted bytes. Ids are not checked against the fleet's size.
/// @param error receives the reason if decoding fails; may be null.
/// @return the message, or nothing if the bytes are not a valid message.
std::optional<Message> decode(std::string_view bytes, DecodeError* error = nullptr);

}  // namespace elmbay::cluster
