#include "cluster/message.hpp"

#define XXH_INLINE_ALL  // header-only use, without linking the library
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace elmbay::cluster {

namespace {

using nlohmann::json;

// Indexes of the fields in the array. Each message has all of them.
enum Field : std::size_t {
    version_field,
    kind_field,
    sender_field,
    nonce_field,
    counter_field,
    state_field,
    uptime_field,
    sequence_field,
    subject_field,
    digest_field,
    view_field,
    present_count_field,
    max_version_field,
    updates_field,
    field_count
};
constexpr std::array<std::string_view, field_count> kFieldNames{
    "version", "kind",    "from",   "life", "count", "state",  "uptime",
    "seq",     "subject", "digest", "view", "heard", "speaks", "updates"};
constexpr std::array<const char*, 7> kStateNames{"expected", "joining", "alive", "suspect",
                                                 "failed",   "gone",    "left"};
constexpr std::array<const char*, 4> kViewNames{"unknown", "whole", "part", "alone"};
constexpr std::size_t kFieldsPerUpdate = 5;
// Specific to this protocol, so that datagrams of other protocols fail the check. "elmb" in ASCII.
constexpr XXH32_hash_t kChecksumSeed = 0x656c6d62;
constexpr std::uint64_t kMaxUint32 = UINT32_MAX;
constexpr std::uint64_t kMaxUint16 = UINT16_MAX;
constexpr std::uint64_t kMaxUint8 = UINT8_MAX;
constexpr auto kMaxState = static_cast<std::uint64_t>(MemberState::left);
constexpr auto kMaxKind = static_cast<std::uint64_t>(Message::Kind::table_page);
constexpr auto kMaxView = static_cast<std::uint64_t>(View::isolated);

template <class T>
bool read_number(const json& value, std::uint64_t max, T& output) {
    if (!value.is_number_unsigned()) return false;
    const auto number = value.get<std::uint64_t>();
    if (number > max) return false;
    output = static_cast<T>(number);
    return true;
}

// Reads fields one after another, and stops at the first invalid one.
class FieldReader {
public:
    explicit FieldReader(const json& fields) : fields_(fields) {}

    template <class T>
    void read(Field field, std::uint64_t max, T& output) {
        if (!invalid_field_ && !read_number(fields_[field], max, output)) invalid_field_ = field;
    }
    void require(Field field, bool is_valid) {
        if (!invalid_field_ && !is_valid) invalid_field_ = field;
    }
    std::optional<Field> invalid_field() const { return invalid_field_; }

private:
    const json& fields_;
    std::optional<Field> invalid_field_;
};

bool read_update(const json* fields, Update& update) {
    return read_number(fields[0], kMaxUint16, update.member_id) &&
           read_number(fields[1], kMaxUint32, update.incarnation.counter) &&
           read_number(fields[2], kMaxUint16, update.incarnation.nonce) &&
           read_number(fields[3], kMaxState, update.state) &&
           read_number(fields[4], kMaxUint16, update.detail);
}

bool read_updates(const json& list, std::vector<Update>& output) {
    if (!list.is_array() || list.size() % kFieldsPerUpdate != 0) return false;
    for (std::size_t i = 0; i < list.size(); i += kFieldsPerUpdate) {
        if (!read_update(&list[i], output.emplace_back())) return false;
    }
    return true;
}

// Verifies the checksum and parses the array, which has at least the fields of this version.
std::optional<json> unpack(std::string_view bytes, DecodeError& error) {
    XXH32_canonical_t checksum{};
    if (bytes.size() > Message::kMaxBytes) {
        error = {DecodeFault::too_long, {}};
        return std::nullopt;
    }
    if (bytes.size() <= sizeof checksum.digest) {
        error = {DecodeFault::not_a_message, {}};
        return std::nullopt;
    }
    const std::string_view body = bytes.substr(0, bytes.size() - sizeof checksum.digest);
    std::copy(bytes.begin() + static_cast<std::ptrdiff_t>(body.size()), bytes.end(),
              std::begin(checksum.digest));
    if (XXH32(body.data(), body.size(), kChecksumSeed) != XXH32_hashFromCanonical(&checksum)) {
        error = {DecodeFault::bad_checksum, {}};
        return std::nullopt;
    }
    json fields = json::from_msgpack(body.begin(), body.end(), true, false);
    if (!fields.is_array() || fields.size() < field_count) {
        error = {DecodeFault::not_a_message, {}};
        return std::nullopt;
    }
    return fields;
}

std::uint32_t clamp_short_field(std::uint32_t number) { return std::min(number, Message::kMaxShortField); }

json pack_updates(const std::vector<Update>& updates) {
    json list = json::array();
    for (std::size_t i = 0; i < updates.size() && i < Message::kMaxUpdates; ++i) {
        const Update& update = updates[i];
        list.push_back(clamp_short_field(update.member_id));
        list.push_back(update.incarnation.counter);
        list.push_back(update.incarnation.nonce);
        list.push_back(static_cast<unsigned>(update.state));
        list.push_back(clamp_short_field(update.detail));
    }
    return list;
}

}  // namespace

const char* to_string(MemberState state) { return kStateNames.at(static_cast<std::size_t>(state)); }

const char* to_string(View view) { return kViewNames.at(static_cast<std::size_t>(view)); }

std::string encode(const Message& message) {
    const json fields = {Message::kVersion,
                         static_cast<unsigned>(message.kind),
                         clamp_short_field(message.from),
                         message.incarnation.nonce,
                         message.incarnation.counter,
                         static_cast<unsigned>(message.state),
                         clamp_short_field(message.uptime_seconds),
                         message.sequence,
                         clamp_short_field(message.subject),
                         message.digest,
                         static_cast<unsigned>(message.view),
                         clamp_short_field(message.present_count),
                         std::min<std::uint32_t>(message.max_version, kMaxUint8),
                         pack_updates(message.updates)};
    std::string bytes;
    json::to_msgpack(fields, bytes);
    const XXH32_hash_t hash = XXH32(bytes.data(), bytes.size(), kChecksumSeed);
    XXH32_canonical_t checksum;
    XXH32_canonicalFromHash(&checksum, hash);
    bytes.append(std::begin(checksum.digest), std::end(checksum.digest));
    return bytes;
}

std::optional<Message> decode(std::string_view bytes, DecodeError* error) {
    DecodeError ignored_error;
    DecodeError& result = error != nullptr ? *error : ignored_error;
    const std::optional<json> fields = unpack(bytes, result);
    if (!fields) return std::nullopt;
    Message message;
    std::uint32_t message_version = 0;
    FieldReader reader(*fields);
    // Later writers may append fields without changing the version. A message whose version differs has other
    // fields and is rejected.
    reader.read(version_field, kMaxUint32, message_version);
    reader.require(version_field, message_version == Message::kVersion);
    reader.read(kind_field, kMaxKind, message.kind);
    reader.read(sender_field, kMaxUint16, message.from);
    reader.read(nonce_field, kMaxUint16, message.incarnation.nonce);
    reader.read(counter_field, kMaxUint32, message.incarnation.counter);
    reader.require(counter_field, message.incarnation.counter > 0);
    reader.read(state_field, kMaxState, message.state);
    reader.read(uptime_field, kMaxUint16, message.uptime_seconds);
    reader.read(sequence_field, kMaxUint32, message.sequence);
    reader.read(subject_field, kMaxUint16, message.subject);
    reader.read(digest_field, kMaxUint32, message.digest);
    reader.read(view_field, kMaxView, message.view);
    reader.read(present_count_field, kMaxUint16, message.present_count);
    reader.read(max_version_field, kMaxUint8, message.max_version);
    reader.require(updates_field, read_updates((*fields)[updates_field], message.updates));
    if (reader.invalid_field()) {
        result = {DecodeFault::bad_field, kFieldNames[*reader.invalid_field()]};
        return std::nullopt;
    }
    return message;
}

}  // namespace elmbay::cluster
