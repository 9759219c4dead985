// What sidecars say to one another, as bytes: MessagePack and an XXH32 of it (big-endian) behind, read by the
// libraries and checked here field by field: UDP's own sum has 16 bits, and may be left out.
// docs/reference/cluster-protocol.md has each field. Fields that a later version adds stand behind ours and
// are passed over.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace elmbay::cluster {

// A member's number is its place in the settings' count of sidecars, the same at all of them.
using MemberId = std::uint32_t;

// In the order in which they outrank one another within one incarnation.
enum class MemberState : std::uint8_t {
    expected,  // it should be there; nothing has been heard of it
    joining,   // it has started and has not heard of anybody yet
    alive,
    suspect,  // somebody's probe of it failed
    failed,   // silent: it has died or is cut off, which nobody here can tell
    gone,     // its machine says that the process is not there
    left      // it ended in good order and said so
};
const char* to_string(MemberState state);

// One life of a process under a number, and what it has said since: higher is later, whatever clocks say.
struct Incarnation {
    std::uint32_t counter =
        0;                    // begins with the start's time, in tenths of a second since kEpoch; 0: nobody's
    std::uint16_t nonce = 0;  // drawn at the start: tells two processes of one count apart
    auto operator<=>(const Incarnation&) const = default;
};

// What is said of one member.
struct Update {
    MemberId number = 0;
    Incarnation incarnation;
    MemberState state = MemberState::expected;
    // suspect: who says so; alive and joining: seconds since its start, as it said itself; else 0.
    std::uint32_t detail = 0;
    bool operator==(const Update&) const = default;
};

// How much of the fleet a member hears.
enum class View : std::uint8_t {
    unknown,  // it has just started
    whole,    // everybody who is not known to have ended
    part,     // some are silent
    alone     // nobody, though others should be there
};
const char* to_string(View view);

struct Message {
    static constexpr std::uint32_t kVersion = 1;
    static constexpr std::size_t kMaxBytes = 256;  // PROTOCOL, "Between sidecars"
    // Of members, and of seconds since a start, which stand at it from then on: 3 bytes each.
    static constexpr std::uint32_t kMaxShortField = 65535;
    // So many fit whatever the numbers in them: 15 bytes each at most beside 44 of the rest.
    static constexpr std::size_t kMaxUpdates = 14;

    enum class Kind : std::uint8_t {
        ping,           // answer me
        ack,            // the answer: same seq
        ping_req,       // ping `subject` for me
        indirect_ack,   // it answered me: same seq
        nack,           // it has not answered me yet: same seq. The asker learns that it is heard itself
        gossip,         // updates alone
        table_request,  // tell me what you hold from member `subject` on
        table_page      // that: the next page begins at `subject`, 0 if this is the last
    };
    Kind kind = Kind::gossip;
    MemberId from = 0;
    Incarnation incarnation;  // the sender's own
    MemberState state = MemberState::alive;
    std::uint32_t uptime = 0;  // seconds
    std::uint32_t sequence = 0;
    MemberId subject = 0;
    std::uint32_t digest = 0;  // of all that the sender holds
    View view = View::unknown;
    std::uint32_t present_count = 0;       // members that the sender counts as present
    std::uint32_t max_version = kVersion;  // the highest version that the sender reads
    std::vector<Update> updates;           // those beyond kMaxUpdates are not written
    bool operator==(const Message&) const = default;
};

std::string encode(const Message& message);
// Nothing for what is no message of ours; why names the field. Numbers are not checked against the fleet's
// size.
std::optional<Message> decode(std::string_view bytes, std::string* why = nullptr);

}  // namespace elmbay::cluster
