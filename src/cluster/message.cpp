#include "cluster/message.hpp"

#define XXH_INLINE_ALL  // a header alone: nothing to link
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace elmbay::cluster {

namespace {

using nlohmann::json;

// Of the fields, in their order. Every message has all of them.
enum Field : std::size_t {
    version,
    kind,
    from,
    life,
    count,
    state,
    uptime,
    seq,
    subject,
    digest,
    view,
    heard,
    speaks,
    updates,
    field_count
};
constexpr std::array<std::string_view, field_count> kFieldNames{
    "version", "kind",    "from",   "life", "count", "state",  "uptime",
    "seq",     "subject", "digest", "view", "heard", "speaks", "updates"};
constexpr std::array<const char*, 7> kStateNames{"expected", "joining", "alive", "suspect",
                                                 "failed",   "gone",    "left"};
constexpr std::array<const char*, 4> kViewNames{"unknown", "whole", "part", "alone"};
constexpr std::size_t kFieldsPerUpdate = 5;
constexpr XXH32_hash_t kSeed = 0x656c6d62;  // of this protocol: what is another's is not ours by chance
constexpr std::uint64_t kMax32 = UINT32_MAX;
constexpr std::uint64_t kMax16 = UINT16_MAX;
constexpr std::uint64_t kMax8 = UINT8_MAX;
constexpr auto kMaxState = static_cast<std::uint64_t>(MemberState::left);
constexpr auto kMaxKind = static_cast<std::uint64_t>(Message::Kind::table_page);
constexpr auto kMaxView = static_cast<std::uint64_t>(View::alone);

template <class T>
bool read_number(const json& value, std::uint64_t max, T& into) {
    if (!value.is_number_unsigned()) return false;
    const auto number = value.get<std::uint64_t>();
    if (number > max) return false;
    into = static_cast<T>(number);
    return true;
}

// Reads one field after another until one is wrong.
class FieldReader {
public:
    explicit FieldReader(const json& fields) : fields_(fields) {}

    template <class T>
    void read(Field field, std::uint64_t max, T& into) {
        if (!wrong_ && !read_number(fields_[field], max, into)) wrong_ = field;
    }
    void require(Field field, bool holds) {
        if (!wrong_ && !holds) wrong_ = field;
    }
    std::optional<Field> wrong() const { return wrong_; }

private:
    const json& fields_;
    std::optional<Field> wrong_;
};

bool read_update(const json* fields, Update& update) {
    return read_number(fields[0], kMax16, update.member_id) &&
           read_number(fields[1], kMax32, update.incarnation.counter) &&
           read_number(fields[2], kMax16, update.incarnation.nonce) &&
           read_number(fields[3], kMaxState, update.state) && read_number(fields[4], kMax16, update.detail);
}

bool read_updates(const json& list, std::vector<Update>& into) {
    if (!list.is_array() || list.size() % kFieldsPerUpdate != 0) return false;
    for (std::size_t i = 0; i < list.size(); i += kFieldsPerUpdate) {
        if (!read_update(&list[i], into.emplace_back())) return false;
    }
    return true;
}

// The array with at least as many fields as this version has, if the checksum holds.
std::optional<json> unpack(std::string_view bytes, DecodeError& error) {
    XXH32_canonical_t sum{};
    if (bytes.size() > Message::kMaxBytes) {
        error = {DecodeFault::too_long, {}};
        return std::nullopt;
    }
    if (bytes.size() <= sizeof sum.digest) {
        error = {DecodeFault::not_a_message, {}};
        return std::nullopt;
    }
    const std::string_view body = bytes.substr(0, bytes.size() - sizeof sum.digest);
    std::copy(bytes.begin() + static_cast<std::ptrdiff_t>(body.size()), bytes.end(), std::begin(sum.digest));
    if (XXH32(body.data(), body.size(), kSeed) != XXH32_hashFromCanonical(&sum)) {
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

std::uint32_t short_field(std::uint32_t number) { return std::min(number, Message::kMaxShortField); }

json packed_updates(const std::vector<Update>& updates) {
    json list = json::array();
    for (std::size_t i = 0; i < updates.size() && i < Message::kMaxUpdates; ++i) {
        const Update& update = updates[i];
        list.push_back(short_field(update.member_id));
        list.push_back(update.incarnation.counter);
        list.push_back(update.incarnation.nonce);
        list.push_back(static_cast<unsigned>(update.state));
        list.push_back(short_field(update.detail));
    }
    return list;
}

}  // namespace

const char* to_string(MemberState state) { return kStateNames.at(static_cast<std::size_t>(state)); }

const char* to_string(View view) { return kViewNames.at(static_cast<std::size_t>(view)); }

std::string encode(const Message& message) {
    const json fields = {Message::kVersion,
                         static_cast<unsigned>(message.kind),
                         short_field(message.from),
                         message.incarnation.nonce,
                         message.incarnation.counter,
                         static_cast<unsigned>(message.state),
                         short_field(message.uptime),
                         message.sequence,
                         short_field(message.subject),
                         message.digest,
                         static_cast<unsigned>(message.view),
                         short_field(message.present_count),
                         std::min<std::uint32_t>(message.max_version, kMax8),
                         packed_updates(message.updates)};
    std::string bytes;
    json::to_msgpack(fields, bytes);
    const XXH32_hash_t hash = XXH32(bytes.data(), bytes.size(), kSeed);
    XXH32_canonical_t sum;
    XXH32_canonicalFromHash(&sum, hash);
    bytes.append(std::begin(sum.digest), std::end(sum.digest));
    return bytes;
}

std::optional<Message> decode(std::string_view bytes, DecodeError* error) {
    DecodeError unwanted;
    DecodeError& result = error != nullptr ? *error : unwanted;
    const std::optional<json> fields = unpack(bytes, result);
    if (!fields) return std::nullopt;
    Message message;
    std::uint32_t written_version = 0;
    FieldReader reader(*fields);
    // A later version adds fields behind these; one that changes them is another version, and not read.
    reader.read(version, kMax32, written_version);
    reader.require(version, written_version == Message::kVersion);
    reader.read(kind, kMaxKind, message.kind);
    reader.read(from, kMax16, message.from);
    reader.read(life, kMax16, message.incarnation.nonce);
    reader.read(count, kMax32, message.incarnation.counter);
    reader.require(count, message.incarnation.counter > 0);
    reader.read(state, kMaxState, message.state);
    reader.read(uptime, kMax16, message.uptime);
    reader.read(seq, kMax32, message.sequence);
    reader.read(subject, kMax16, message.subject);
    reader.read(digest, kMax32, message.digest);
    reader.read(view, kMaxView, message.view);
    reader.read(heard, kMax16, message.present_count);
    reader.read(speaks, kMax8, message.max_version);
    reader.require(updates, read_updates((*fields)[updates], message.updates));
    if (reader.wrong()) {
        result = {DecodeFault::bad_field, kFieldNames[*reader.wrong()]};
        return std::nullopt;
    }
    return message;
}

}  // namespace elmbay::cluster
