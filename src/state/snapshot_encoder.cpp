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

json encode_body(const balancer::DecayedMean& mean) {
    return json::array({mean.value, mean.weight, mean.last_sample_age_ms});
}

json encode_body(const std::string& uid, const LearnedServerState& server) {
    json body{{"uid", uid},
              {"online_since", server.online_since},
              {"outcomes", server.outcome_bits},
              {"seen", server.outcome_count},
              {"tokens", server.slow_start_tokens}};
    if (server.ejection_remaining_ms) body["out_ms"] = *server.ejection_remaining_ms;
    return body;
}

json encode_body(const balancer::LearnedState& learned_state) {
    return {{"crowd", encode_body(learned_state.load_ratio)},
            {"room", learned_state.concurrency_limit},
            {"learned", learned_state.learned_limit},
            {"taught_by", learned_state.learned_limit_warm_servers},
            {"carried", learned_state.completion_rate},
            {"retries_left", learned_state.retries_left}};
}

json encode_body(const Timestamp& timestamp) {
    return {{"wall_ms", timestamp.wall_ms},
            {"since_boot_ms", timestamp.since_boot_ms},
            {"boot", json::binary({timestamp.boot_id.begin(), timestamp.boot_id.end()})}};
}

bool is_equal(const LearnedServerState& left, const LearnedServerState& right) {
    return left.online_since == right.online_since && left.outcome_bits == right.outcome_bits &&
           left.outcome_count == right.outcome_count &&
           left.ejection_remaining_ms == right.ejection_remaining_ms &&
           left.slow_start_tokens == right.slow_start_tokens;
}

// Encodes records with consecutive numbers and collects their bytes.
class BatchEncoder {
public:
    BatchEncoder(std::uint64_t generation, std::uint64_t& next_record)
        : generation_(generation), next_record_(next_record) {}

    void append(RecordKind kind, const json& body) {
        const std::vector<std::uint8_t> packed = json::to_msgpack(body);
        std::string head;
        append_number<std::uint32_t>(head, static_cast<std::uint32_t>(packed.size()));
        append_number<std::uint32_t>(head, static_cast<std::uint32_t>(kind));
        std::string checked_bytes = head;
        checked_bytes.append(packed.begin(), packed.end());
        bytes_ += head;
        append_number<std::uint64_t>(bytes_, layout::checksum_of(checked_bytes, generation_, next_record_));
        bytes_.append(packed.begin(), packed.end());
        ++next_record_;
    }
    std::string take_bytes() { return std::move(bytes_); }

private:
    const std::uint64_t generation_;
    std::uint64_t& next_record_;
    std::string bytes_;
};

// Appends records of new and changed servers, then of removed ones.
void append_servers(BatchEncoder& batch, const Snapshot* before, const Snapshot& after) {
    std::map<std::string_view, const LearnedServerState*> previous_servers;
    if (before)
        for (std::size_t i = 0; i < before->server_uids.size(); ++i)
            previous_servers[before->server_uids[i]] = &before->learned_state.servers[i];
    for (std::size_t i = 0; i < after.server_uids.size(); ++i) {
        const LearnedServerState& server = after.learned_state.servers[i];
        const auto previous = previous_servers.find(after.server_uids[i]);
        const bool changed = previous == previous_servers.end() || !is_equal(*previous->second, server);
        if (previous != previous_servers.end()) previous_servers.erase(previous);
        if (changed) batch.append(RecordKind::server, encode_body(after.server_uids[i], server));
    }
    for (const auto& [uid, server] : previous_servers)
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
    const json means = encode_body(after.learned_state);
    if (!before || means != encode_body(before->learned_state)) batch.append(RecordKind::means, means);
    batch.append(RecordKind::batch_end, encode_body(after.taken_at));
    return batch.take_bytes();
}

}  // namespace elmbay::state
