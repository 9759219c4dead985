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
    fields
};
constexpr std::array<const char*, fields> kNames{"version", "kind",   "from",   "life",    "count",
                                                 "state",   "uptime", "seq",    "subject", "digest",
                                                 "view",    "heard",  "speaks", "updates"};
constexpr std::size_t kUpdateFields = 5;
constexpr XXH32_hash_t kSeed = 0x656c6d62;  // of this protocol: what is another's is not ours by chance
constexpr std::uint64_t kMost32 = UINT32_MAX, kMost16 = Message::kMaxShortField, kMost8 = UINT8_MAX;

template <class T>
bool take(const json& value, std::uint64_t most, T& into) {
    if (!value.is_number_unsigned()) return false;
    const auto number = value.get<std::uint64_t>();
    if (number > most) return false;
    into = static_cast<T>(number);
    return true;
}

bool take_update(const json* at, Update& u) {
    return take(at[0], kMost16, u.number) && take(at[1], kMost32, u.incarnation.counter) &&
           take(at[2], UINT16_MAX, u.incarnation.nonce) &&
           take(at[3], static_cast<std::uint64_t>(MemberState::left), u.state) &&
           take(at[4], kMost16, u.detail);
}

}  // namespace

const char* to_string(MemberState state) {
    constexpr const char* kStates[] = {"expected", "joining", "alive", "suspect", "failed", "gone", "left"};
    return kStates[static_cast<std::size_t>(state)];
}

const char* to_string(View view) {
    constexpr const char* kViews[] = {"unknown", "whole", "part", "alone"};
    return kViews[static_cast<std::size_t>(view)];
}

std::string encode(const Message& m) {
    const auto short_of = [](std::uint32_t number) { return std::min(number, Message::kMaxShortField); };
    json list = json::array();
    for (std::size_t i = 0; i < m.updates.size() && i < Message::kMaxUpdates; ++i) {
        const Update& u = m.updates[i];
        for (const std::uint32_t number :
             {short_of(u.number), u.incarnation.counter, std::uint32_t{u.incarnation.nonce},
              static_cast<std::uint32_t>(u.state), short_of(u.detail)})
            list.push_back(number);
    }
    const json all = {Message::kVersion,
                      static_cast<unsigned>(m.kind),
                      short_of(m.from),
                      m.incarnation.nonce,
                      m.incarnation.counter,
                      static_cast<unsigned>(m.state),
                      short_of(m.uptime),
                      m.sequence,
                      short_of(m.subject),
                      m.digest,
                      static_cast<unsigned>(m.view),
                      short_of(m.present_count),
                      std::min<std::uint32_t>(m.max_version, kMost8),
                      std::move(list)};
    std::string bytes;
    json::to_msgpack(all, bytes);
    const XXH32_hash_t hash = XXH32(bytes.data(), bytes.size(), kSeed);
    XXH32_canonical_t sum;
    XXH32_canonicalFromHash(&sum, hash);
    bytes.append(reinterpret_cast<const char*>(sum.digest), sizeof sum.digest);
    return bytes;
}

std::optional<Message> decode(std::string_view bytes, std::string* why) {
    const auto wrong = [&](const std::string& what) {
        if (why) *why = what;
        return std::nullopt;
    };
    if (bytes.size() > Message::kMaxBytes) return wrong("longer than " + std::to_string(Message::kMaxBytes));
    XXH32_canonical_t sum;
    if (bytes.size() <= sizeof sum.digest) return wrong("no message");
    const std::string_view body = bytes.substr(0, bytes.size() - sizeof sum.digest);
    std::copy(bytes.begin() + static_cast<std::ptrdiff_t>(body.size()), bytes.end(), sum.digest);
    if (XXH32(body.data(), body.size(), kSeed) != XXH32_hashFromCanonical(&sum)) return wrong("garbled");
    const json all = json::from_msgpack(body.begin(), body.end(), true, false);
    if (!all.is_array() || all.size() < fields) return wrong("no message");
    Message m;
    std::uint32_t written = 0;
    // A later version adds fields behind these; one that changes them is another version, and not read.
    const auto bad = [&](Field f) { return wrong(std::string("field ") + kNames[f]); };
    if (!take(all[version], kMost32, written) || written != Message::kVersion) return bad(version);
    if (!take(all[kind], static_cast<std::uint64_t>(Message::Kind::table_page), m.kind)) return bad(kind);
    if (!take(all[from], kMost16, m.from)) return bad(from);
    if (!take(all[life], UINT16_MAX, m.incarnation.nonce)) return bad(life);
    if (!take(all[count], kMost32, m.incarnation.counter) || m.incarnation.counter == 0) return bad(count);
    if (!take(all[state], static_cast<std::uint64_t>(MemberState::left), m.state)) return bad(state);
    if (!take(all[uptime], kMost16, m.uptime)) return bad(uptime);
    if (!take(all[seq], kMost32, m.sequence)) return bad(seq);
    if (!take(all[subject], kMost16, m.subject)) return bad(subject);
    if (!take(all[digest], kMost32, m.digest)) return bad(digest);
    if (!take(all[view], static_cast<std::uint64_t>(View::alone), m.view)) return bad(view);
    if (!take(all[heard], kMost16, m.present_count)) return bad(heard);
    if (!take(all[speaks], kMost8, m.max_version)) return bad(speaks);
    const json& list = all[updates];
    if (!list.is_array() || list.size() % kUpdateFields != 0) return bad(updates);
    for (std::size_t i = 0; i < list.size(); i += kUpdateFields)
        if (!take_update(&list[i], m.updates.emplace_back())) return bad(updates);
    return m;
}

}  // namespace elmbay::cluster
