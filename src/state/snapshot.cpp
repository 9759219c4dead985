#include "state/snapshot.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <cstring>
#include <map>
#include <nlohmann/json.hpp>

namespace elmbay::state {

namespace {

using nlohmann::json;
namespace endian = boost::endian;

constexpr std::string_view kMagic = "ELMBAYST";
constexpr std::size_t kFixedHeader = 60, kChecksum = 8, kRecordHead = 16;
constexpr std::size_t kMaxRecords = 1000000;  // a file of the most bytes can't hold more

enum class Kind : std::uint8_t { server = 1, server_gone = 2, means = 3, batch_end = 4 };

template <class T>
void put(std::string& out, T value) {
    unsigned char bytes[sizeof(T)];
    endian::endian_store<T, sizeof(T), endian::order::little>(bytes, value);
    out.append(reinterpret_cast<const char*>(bytes), sizeof(T));
}
template <class T>
T get(std::string_view bytes, std::size_t at) {
    return endian::endian_load<T, sizeof(T), endian::order::little>(
        reinterpret_cast<const unsigned char*>(bytes.data() + at));
}

// Bound to the file and the place: a record of another generation, or one that stands elsewhere, never
// passes.
std::uint64_t seal(std::string_view bytes, std::uint64_t generation, std::uint64_t number) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), generation * 0x9E3779B97F4A7C15ULL + number);
}

// A fuzzer can't guess checksums, and what lies behind them is what it is to reach.
bool matches(std::uint64_t stated, std::uint64_t computed) {
#ifdef FUZZING_BUILD_MODE_UNSAFE_FOR_PRODUCTION
    return stated == computed || stated % 8 != 0;
#else
    return stated == computed;
#endif
}

void put_record(std::string& out, Kind kind, const json& body, std::uint64_t generation,
                std::uint64_t& number) {
    const std::vector<std::uint8_t> packed = json::to_msgpack(body);
    std::string sealed;
    put<std::uint32_t>(sealed, static_cast<std::uint32_t>(packed.size()));
    put<std::uint32_t>(sealed, static_cast<std::uint32_t>(kind));
    const std::string head = sealed;
    sealed.append(packed.begin(), packed.end());
    out += head;
    put<std::uint64_t>(out, seal(sealed, generation, number++));
    out.append(packed.begin(), packed.end());
}

json body_of(const hollybeam::FadingKnowledge& k) { return json::array({k.value, k.weight, k.since}); }

json body_of(const std::string& uid, const hollybeam::ServerKnowledge& s) {
    json body{{"uid", uid},
              {"online_since", s.online_since},
              {"outcomes", s.outcomes},
              {"seen", s.seen},
              {"tokens", s.tokens}};
    if (s.out_ms) body["out_ms"] = *s.out_ms;
    return body;
}

json means_of(const hollybeam::Knowledge& k) {
    return {{"crowd", body_of(k.crowd)}, {"room", k.room},       {"learned", k.learned},
            {"taught_by", k.taught_by},  {"carried", k.carried}, {"retries_left", k.retries_left}};
}

json body_of(const Moment& m) {
    return {{"wall_ms", m.wall_ms},
            {"since_boot_ms", m.since_boot_ms},
            {"boot", json::binary({m.boot.begin(), m.boot.end()})}};
}

// ---- DecodeResult. A record that passed its checksum was written by some elmbay: what is missing or of
// another kind in it keeps its default, so that a field may be added or dropped without a new version.

double number(const json& body, const char* name, double otherwise) {
    const auto at = body.find(name);
    return at != body.end() && at->is_number() ? at->get<double>() : otherwise;
}
std::uint32_t count(const json& body, const char* name) {
    const auto at = body.find(name);
    return at != body.end() && at->is_number_unsigned()
               ? static_cast<std::uint32_t>(std::min<std::uint64_t>(at->get<std::uint64_t>(), UINT32_MAX))
               : 0;
}
std::int64_t moment(const json& body, const char* name) {
    const auto at = body.find(name);
    return at != body.end() && at->is_number_integer() ? at->get<std::int64_t>() : 0;
}
hollybeam::FadingKnowledge fading(const json& body, const char* name) {
    const auto at = body.find(name);
    if (at == body.end() || !at->is_array() || at->size() != 3) return {};
    for (const json& figure : *at)
        if (!figure.is_number()) return {};
    return {(*at)[0].get<double>(), (*at)[1].get<double>(), (*at)[2].get<double>()};
}
std::string uid_of(const json& body) {
    const auto at = body.find("uid");
    if (at == body.end() || !at->is_string()) return {};
    const auto& uid = at->get_ref<const std::string&>();
    return uid.size() <= kMaxNameBytes ? uid : std::string();
}
Moment read_moment(const json& body) {
    Moment m{moment(body, "wall_ms"), moment(body, "since_boot_ms"), {}};
    const auto boot = body.find("boot");
    if (boot != body.end() && boot->is_binary() && boot->get_binary().size() == m.boot.size())
        std::copy(boot->get_binary().begin(), boot->get_binary().end(), m.boot.begin());
    return m;
}

// The state that the batches so far add up to.
struct Sum {
    std::map<std::string, hollybeam::ServerKnowledge> servers;
    hollybeam::Knowledge means;
    Moment taken;

    void apply(Kind kind, const json& body) {
        const std::string uid = uid_of(body);
        if (kind == Kind::server_gone) servers.erase(uid);
        if (kind == Kind::server && !uid.empty() && (servers.size() < kMaxServers || servers.contains(uid))) {
            hollybeam::ServerKnowledge s;
            s.online_since = number(body, "online_since", -1);
            s.outcomes = count(body, "outcomes"), s.seen = count(body, "seen");
            s.tokens = number(body, "tokens", 1);
            if (body.contains("out_ms")) s.out_ms = number(body, "out_ms", 0);
            servers[uid] = s;
        }
        if (kind == Kind::means) {
            means.crowd = fading(body, "crowd");
            means.room = number(body, "room", 0), means.learned = number(body, "learned", 0);
            means.taught_by = number(body, "taught_by", 0), means.carried = number(body, "carried", 0);
            means.retries_left = number(body, "retries_left", 0);
        }
        if (kind == Kind::batch_end) taken = read_moment(body);
    }

    Snapshot snapshot(std::string instance) const {
        Snapshot s{std::move(instance), taken, means, {}};
        for (const auto& [uid, known] : servers) {
            s.knowledge.servers.push_back(known);
            s.knowledge.servers.back().server = static_cast<std::uint32_t>(s.uids.size());
            s.uids.push_back(uid);
        }
        return s;
    }
};

DecodeResult broken(DecodeResult r, std::string why) {
    r.trouble = Trouble::broken;
    r.why = std::move(why);
    return r;
}

// Version 1. A later version gets a reader of its own beside it; this one stays.
DecodeResult read_version_1(std::string_view bytes, DecodeResult r) {
    const auto name = get<std::uint32_t>(bytes, 56);
    const auto header = get<std::uint32_t>(bytes, 12);
    if (name == 0 || name > kMaxNameBytes || header != kFixedHeader + name + kChecksum ||
        header > bytes.size())
        return broken(std::move(r), "its header is not whole");
    const std::size_t sealed = kFixedHeader + name;
    r.generation = get<std::uint64_t>(bytes, 16);
    if (!matches(get<std::uint64_t>(bytes, sealed), seal(bytes.substr(0, sealed), 0, 0)))
        return broken(std::move(r), "its header does not match its checksum");
    const std::string instance(bytes.substr(kFixedHeader, name));

    Sum sum;
    std::vector<std::pair<Kind, json>> batch;
    std::size_t at = header;
    r.used = at;
    std::string why;
    while (at < bytes.size() && r.records + batch.size() < kMaxRecords) {
        if (bytes.size() - at < kRecordHead) {
            why = "a record's head is cut off";
            break;
        }
        const auto length = get<std::uint32_t>(bytes, at);
        if (length > kMaxRecordBytes || length > bytes.size() - at - kRecordHead) {
            why = "a record is cut off";
            break;
        }
        std::string sealed_part(bytes.substr(at, 8));
        const std::string_view body = bytes.substr(at + kRecordHead, length);
        sealed_part += body;
        if (!matches(get<std::uint64_t>(bytes, at + 8),
                     seal(sealed_part, r.generation, r.records + batch.size()))) {
            why = "a record does not match its checksum";
            break;
        }
        json parsed = json::from_msgpack(body.begin(), body.end(), true, false);
        if (!parsed.is_object()) {
            why = "a record can't be read";
            break;
        }
        const auto kind = static_cast<Kind>(get<std::uint32_t>(bytes, at + 4) & 0xFF);
        batch.emplace_back(kind, std::move(parsed));
        at += kRecordHead + length;
        if (kind != Kind::batch_end) continue;
        for (const auto& [what, content] : batch) sum.apply(what, content);
        r.records += batch.size();
        batch.clear();
        ++r.batches;
        r.used = at;
    }
    if (r.batches == 0) return broken(std::move(r), why.empty() ? "its first batch has no end" : why);
    if (r.used < bytes.size())
        r.why = std::to_string(bytes.size() - r.used) +
                " bytes of a torn tail dropped: " + (why.empty() ? "a batch has no end" : why);
    r.snapshot = sum.snapshot(instance);
    return r;
}

bool same(const hollybeam::ServerKnowledge& a, const hollybeam::ServerKnowledge& b) {
    return a.online_since == b.online_since && a.outcomes == b.outcomes && a.seen == b.seen &&
           a.out_ms == b.out_ms && a.tokens == b.tokens;
}

}  // namespace

double age_of(const Moment& then, const Moment& now) {
    // In doubles: the difference of two hostile integers must not overflow.
    constexpr std::array<std::uint8_t, 16> kNotTold{};
    const bool same_boot = then.boot == now.boot && then.boot != kNotTold;
    const double age = same_boot
                           ? static_cast<double>(now.since_boot_ms) - static_cast<double>(then.since_boot_ms)
                           : static_cast<double>(now.wall_ms) - static_cast<double>(then.wall_ms);
    // The machine has been up for so long since the other boot: a wall clock that tells less was set back.
    const bool other_boot = then.boot != now.boot && then.boot != kNotTold && now.boot != kNotTold;
    const double least = other_boot ? static_cast<double>(now.since_boot_ms) : 0;
    return age >= std::max(0.0, least) ? age : -1;
}

std::string encode_header(const Snapshot& snapshot, std::uint64_t generation) {
    std::string out(kMagic);
    const std::string name = snapshot.instance.substr(0, kMaxNameBytes);
    put<std::uint32_t>(out, kVersion);
    put<std::uint32_t>(out, static_cast<std::uint32_t>(kFixedHeader + name.size() + kChecksum));
    put<std::uint64_t>(out, generation);
    put<std::int64_t>(out, snapshot.taken.wall_ms);
    put<std::int64_t>(out, snapshot.taken.since_boot_ms);
    out.append(snapshot.taken.boot.begin(), snapshot.taken.boot.end());
    put<std::uint32_t>(out, static_cast<std::uint32_t>(name.size()));
    out += name;
    put<std::uint64_t>(out, seal(out, 0, 0));
    return out;
}

std::string encode_batch(const Snapshot* before, const Snapshot& after, std::uint64_t generation,
                         std::uint64_t& next) {
    std::string out;
    std::map<std::string_view, const hollybeam::ServerKnowledge*> had;
    if (before)
        for (std::size_t i = 0; i < before->uids.size(); ++i)
            had[before->uids[i]] = &before->knowledge.servers[i];
    for (std::size_t i = 0; i < after.uids.size(); ++i) {
        const auto& known = after.knowledge.servers[i];
        const auto at = had.find(after.uids[i]);
        const bool changed = at == had.end() || !same(*at->second, known);
        if (at != had.end()) had.erase(at);
        if (changed) put_record(out, Kind::server, body_of(after.uids[i], known), generation, next);
    }
    for (const auto& [uid, gone] : had)
        put_record(out, Kind::server_gone, {{"uid", std::string(uid)}}, generation, next);
    const json means = means_of(after.knowledge);
    if (!before || means != means_of(before->knowledge))
        put_record(out, Kind::means, means, generation, next);
    put_record(out, Kind::batch_end, body_of(after.taken), generation, next);
    return out;
}

DecodeResult decode_snapshot_file(std::string_view bytes) {
    DecodeResult r;
    if (bytes.size() > kMaxFileBytes) return broken(std::move(r), "it is larger than a state can be");
    if (bytes.size() < kFixedHeader || bytes.substr(0, kMagic.size()) != kMagic)
        return broken(std::move(r), "it is no state of an elmbay");
    r.version = get<std::uint32_t>(bytes, 8);
    if (r.version == 1) return read_version_1(bytes, std::move(r));
    if (r.version == 0) return broken(std::move(r), "its version can't be");
    r.trouble = Trouble::newer;
    r.why = "it is of version " + std::to_string(r.version) + ", this program reads up to " +
            std::to_string(kVersion);
    return r;
}

}  // namespace elmbay::state
