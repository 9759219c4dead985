#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "state/snapshot_codec.hpp"
#include "state/snapshot_layout.hpp"

namespace elmbay::state {

namespace {

using balancer::LearnedServerState;
using layout::append_number;
using layout::RecordKind;
using nlohmann::json;

json body_of(const balancer::DecayedMean& mean) {
    return json::array({mean.value, mean.weight, mean.last_sample_age_ms});
}

json body_of(const std::string& uid, const LearnedServerState& server) {
    json body{{"uid", uid},
              {"online_since", server.online_since},
              {"outcomes", server.outcome_bits},
              {"seen", server.outcome_count},
              {"tokens", server.slow_start_tokens}};
    if (server.ejection_remaining_ms) body["out_ms"] = *server.ejection_remaining_ms;
    return body;
}

json body_of(const balancer::LearnedState& learned_state) {
    return {
        {"crowd", body_of(learned_state.load_ratio)}, {"room", learned_state.concurrency_limit},
        {"learned", learned_state.learned_limit},     {"taught_by", learned_state.learned_limit_warm_servers},
        {"carried", learned_state.completion_rate},   {"retries_left", learned_state.retries_left}};
}

json body_of(const Timestamp& taken) {
    return {{"wall_ms", taken.wall_ms},
            {"since_boot_ms", taken.since_boot_ms},
            {"boot", json::binary({taken.boot_id.begin(), taken.boot_id.end()})}};
}

bool same(const LearnedServerState& a, const LearnedServerState& b) {
    return a.online_since == b.online_since && a.outcome_bits == b.outcome_bits &&
           a.outcome_count == b.outcome_count && a.ejection_remaining_ms == b.ejection_remaining_ms &&
           a.slow_start_tokens == b.slow_start_tokens;
}

// Appends numbered records.
class BatchEncoder {
public:
    BatchEncoder(std::uint64_t generation, std::uint64_t& next_record)
        : generation_(generation), next_record_(next_record) {}

    void append(RecordKind kind, const json& body) {
        const std::vector<std::uint8_t> packed = json::to_msgpack(body);
        std::string head;
        append_number<std::uint32_t>(head, static_cast<std::uint32_t>(packed.size()));
        append_number<std::uint32_t>(head, static_cast<std::uint32_t>(kind));
        std::string checked = head;
        checked.append(packed.begin(), packed.end());
        bytes_ += head;
        append_number<std::uint64_t>(bytes_, layout::checksum_of(checked, generation_, next_record_));
        bytes_.append(packed.begin(), packed.end());
        ++next_record_;
    }
    std::string take() { return std::move(bytes_); }

private:
    const std::uint64_t generation_;
    std::uint64_t& next_record_;
    std::string bytes_;
};

// Servers that are new or have changed, then those that are gone.
void append_servers(BatchEncoder& batch, const Snapshot* before, const Snapshot& after) {
    std::map<std::string_view, const LearnedServerState*> known_before;
    if (before)
        for (std::size_t i = 0; i < before->server_uids.size(); ++i)
            known_before[before->server_uids[i]] = &before->learned_state.servers[i];
    for (std::size_t i = 0; i < after.server_uids.size(); ++i) {
        const LearnedServerState& known = after.learned_state.servers[i];
        const auto earlier = known_before.find(after.server_uids[i]);
        const bool changed = earlier == known_before.end() || !same(*earlier->second, known);
        if (earlier != known_before.end()) known_before.erase(earlier);
        if (changed) batch.append(RecordKind::server, body_of(after.server_uids[i], known));
    }
    for (const auto& [uid, learned_state] : known_before)
        batch.append(RecordKind::server_removed, {{"uid", std::string(uid)}});
}

}  // namespace

std::string encode_header(const Snapshot& snapshot, std::uint64_t generation) {
    const std::string name = snapshot.instance.substr(0, kMaxNameBytes);
    const std::size_t length = layout::kFixedHeaderBytes + name.size() + layout::kChecksumBytes;
    std::string out(layout::kMagic);
    append_number<std::uint32_t>(out, kFormatVersion);
    append_number<std::uint32_t>(out, static_cast<std::uint32_t>(length));
    append_number<std::uint64_t>(out, generation);
    append_number<std::int64_t>(out, snapshot.taken_at.wall_ms);
    append_number<std::int64_t>(out, snapshot.taken_at.since_boot_ms);
    out.append(snapshot.taken_at.boot_id.begin(), snapshot.taken_at.boot_id.end());
    append_number<std::uint32_t>(out, static_cast<std::uint32_t>(name.size()));
    out += name;
    append_number<std::uint64_t>(out, layout::header_checksum_of(out));
    return out;
}

std::string encode_batch(const Snapshot* before, const Snapshot& after, std::uint64_t generation,
                         std::uint64_t& next_record) {
    BatchEncoder batch(generation, next_record);
    append_servers(batch, before, after);
    const json means = body_of(after.learned_state);
    if (!before || means != body_of(before->learned_state)) batch.append(RecordKind::means, means);
    batch.append(RecordKind::batch_end, body_of(after.taken_at));
    return batch.take();
}

}  // namespace elmbay::state
