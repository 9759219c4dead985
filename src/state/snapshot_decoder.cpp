#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "state/snapshot_codec.hpp"
#include "state/snapshot_layout.hpp"

namespace elmbay::state {

namespace {

using balancer::LearnedServerState;
using layout::read_number;
using layout::RecordKind;
using nlohmann::json;

constexpr std::size_t kMaxRecords = 1000000;  // more than a file of kMaxFileBytes can hold

// Compares a stored checksum with the computed one. Fuzzing builds accept most mismatches, because a fuzzer
// cannot guess checksums and would never reach the code behind them.
bool checksum_matches(std::uint64_t stored_checksum, std::uint64_t computed_checksum) {
#ifdef FUZZING_BUILD_MODE_UNSAFE_FOR_PRODUCTION
    return stored_checksum == computed_checksum || stored_checksum % 8 != 0;
#else
    return stored_checksum == computed_checksum;
#endif
}

// ---- Fields of a record's body ----------------------------------------------------------------------------
// A record with a valid checksum was written by an elmbay of some version. A field that is missing or has
// another type gets its default value, so that fields can be added and removed without a new format version.

double number_field(const json& body, const char* name, double default_value) {
    const auto field = body.find(name);
    return field != body.end() && field->is_number() ? field->get<double>() : default_value;
}

std::uint32_t count_field(const json& body, const char* name) {
    const auto field = body.find(name);
    if (field == body.end() || !field->is_number_unsigned()) return 0;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(field->get<std::uint64_t>(), UINT32_MAX));
}

std::int64_t integer_field(const json& body, const char* name) {
    const auto field = body.find(name);
    return field != body.end() && field->is_number_integer() ? field->get<std::int64_t>() : 0;
}

balancer::DecayedMean mean_field(const json& body, const char* name) {
    const auto field = body.find(name);
    if (field == body.end() || !field->is_array() || field->size() != 3) return {};
    for (const json& number : *field)
        if (!number.is_number()) return {};
    return {(*field)[0].get<double>(), (*field)[1].get<double>(), (*field)[2].get<double>()};
}

// Returns the uid in a body, or an empty string if it is missing or longer than kMaxNameBytes.
std::string uid_field(const json& body) {
    const auto field = body.find("uid");
    if (field == body.end() || !field->is_string()) return {};
    const auto& uid = field->get_ref<const std::string&>();
    return uid.size() <= kMaxNameBytes ? uid : std::string();
}

LearnedServerState decode_server(const json& body) {
    LearnedServerState server;
    server.online_since = number_field(body, "online_since", -1);
    server.outcome_bits = count_field(body, "outcomes");
    server.outcome_count = count_field(body, "seen");
    server.slow_start_tokens = number_field(body, "tokens", 1);
    if (body.contains("out_ms")) server.ejection_remaining_ms = number_field(body, "out_ms", 0);
    return server;
}

// Decodes all of the learned state except the servers.
balancer::LearnedState decode_means(const json& body) {
    balancer::LearnedState means;
    means.load_ratio = mean_field(body, "crowd");
    means.concurrency_limit = number_field(body, "room", 0);
    means.learned_limit = number_field(body, "learned", 0);
    means.learned_limit_warm_servers = number_field(body, "taught_by", 0);
    means.completion_rate = number_field(body, "carried", 0);
    means.retries_left = number_field(body, "retries_left", 0);
    return means;
}

Timestamp decode_timestamp(const json& body) {
    Timestamp timestamp{integer_field(body, "wall_ms"), integer_field(body, "since_boot_ms"), {}};
    const auto boot_id = body.find("boot");
    if (boot_id != body.end() && boot_id->is_binary() &&
        boot_id->get_binary().size() == timestamp.boot_id.size())
        std::copy(boot_id->get_binary().begin(), boot_id->get_binary().end(), timestamp.boot_id.begin());
    return timestamp;
}

struct Record {
    RecordKind kind = RecordKind::batch_end;
    json body;
};

// Applies records in order and builds the resulting snapshot.
class SnapshotBuilder {
public:
    void apply(const Record& record) {
        switch (record.kind) {
            case RecordKind::server:
                apply_server(record.body);
                break;
            case RecordKind::server_removed:
                servers_.erase(uid_field(record.body));
                break;
            case RecordKind::means:
                means_ = decode_means(record.body);
                break;
            case RecordKind::batch_end:
                taken_at_ = decode_timestamp(record.body);
                break;
        }  // other kinds, which later program versions may write, are ignored
    }

    Snapshot build(std::string instance) const {
        Snapshot snapshot{std::move(instance), taken_at_, means_, {}};
        for (const auto& [uid, server] : servers_) {
            snapshot.learned_state.servers.push_back(server);
            snapshot.learned_state.servers.back().server =
                static_cast<std::uint32_t>(snapshot.server_uids.size());
            snapshot.server_uids.push_back(uid);
        }
        return snapshot;
    }

private:
    void apply_server(const json& body) {
        const std::string uid = uid_field(body);
        if (uid.empty()) return;
        if (servers_.size() >= kMaxServers && !servers_.contains(uid)) return;
        servers_[uid] = decode_server(body);
    }

    std::map<std::string, LearnedServerState> servers_;
    balancer::LearnedState means_;
    Timestamp taken_at_;
};

// Decodes format version 1. A later version gets a separate decoder, and this one stays.
class Version1Decoder {
public:
    explicit Version1Decoder(std::string_view bytes) : bytes_(bytes) { result_.version = 1; }

    DecodeResult decode() {
        result_.error = decode_header();
        if (result_.error) return std::move(result_);
        const std::error_code stop_reason = decode_batches();
        if (result_.batches == 0) {
            result_.error = stop_reason;
            return std::move(result_);
        }
        if (result_.used_bytes < bytes_.size()) {
            result_.dropped_bytes = bytes_.size() - result_.used_bytes;
            result_.dropped_tail = stop_reason;
        }
        result_.snapshot = builder_.build(std::move(instance_));
        return std::move(result_);
    }

private:
    std::error_code decode_header() {
        const auto name_length = read_number<std::uint32_t>(bytes_, layout::kNameLengthOffset);
        const auto length = read_number<std::uint32_t>(bytes_, layout::kHeaderLengthOffset);
        if (name_length == 0 || name_length > kMaxNameBytes) return StateError::truncated_header;
        const std::size_t checked_bytes = layout::kFixedHeaderBytes + name_length;
        if (length != checked_bytes + layout::kChecksumBytes) return StateError::truncated_header;
        if (length > bytes_.size()) return StateError::truncated_header;
        result_.generation = read_number<std::uint64_t>(bytes_, layout::kGenerationOffset);
        const auto stored_checksum = read_number<std::uint64_t>(bytes_, checked_bytes);
        if (!checksum_matches(stored_checksum, layout::header_checksum_of(bytes_.substr(0, checked_bytes))))
            return StateError::header_checksum_mismatch;
        instance_ = bytes_.substr(layout::kFixedHeaderBytes, name_length);
        position_ = length;
        result_.used_bytes = length;
        return {};
    }

    // Decodes batches until the first incomplete or invalid one. Returns why decoding stopped, which is
    // meaningful only if bytes remain.
    std::error_code decode_batches() {
        std::vector<Record> batch;
        while (position_ < bytes_.size() && result_.records + batch.size() < kMaxRecords) {
            Record record;
            if (const std::error_code error = decode_record(result_.records + batch.size(), record))
                return error;
            const bool ends_batch = record.kind == RecordKind::batch_end;
            batch.push_back(std::move(record));
            if (ends_batch) apply_batch(batch);
        }
        return StateError::unfinished_batch;
    }

    std::error_code decode_record(std::uint64_t number, Record& record) {
        const std::size_t remaining_bytes = bytes_.size() - position_;
        if (remaining_bytes < layout::kRecordHeadBytes) return StateError::truncated_record_head;
        const std::string_view head = bytes_.substr(position_, layout::kRecordHeadBytes);
        const auto length = read_number<std::uint32_t>(head, 0);
        if (length > kMaxRecordBytes || length > remaining_bytes - layout::kRecordHeadBytes)
            return StateError::truncated_record;
        const std::string_view body = bytes_.substr(position_ + layout::kRecordHeadBytes, length);
        std::string checked_bytes(head.substr(0, layout::kRecordChecksumOffset));
        checked_bytes += body;
        const auto stored_checksum = read_number<std::uint64_t>(head, layout::kRecordChecksumOffset);
        if (!checksum_matches(stored_checksum,
                              layout::checksum_of(checked_bytes, result_.generation, number)))
            return StateError::record_checksum_mismatch;
        record.body = json::from_msgpack(body.begin(), body.end(), true, false);
        if (!record.body.is_object()) return StateError::malformed_record;
        record.kind =
            static_cast<RecordKind>(read_number<std::uint32_t>(head, layout::kRecordKindOffset) & 0xFF);
        position_ += layout::kRecordHeadBytes + length;
        return {};
    }

    void apply_batch(std::vector<Record>& batch) {
        for (const Record& record : batch) builder_.apply(record);
        result_.records += batch.size();
        batch.clear();
        ++result_.batches;
        result_.used_bytes = position_;
    }

    const std::string_view bytes_;
    std::size_t position_ = 0;
    std::string instance_;
    SnapshotBuilder builder_;
    DecodeResult result_;
};

DecodeResult rejected(StateError error, std::uint32_t version = 0) {
    DecodeResult result;
    result.error = error;
    result.version = version;
    return result;
}

}  // namespace

DecodeResult decode_snapshot_file(std::string_view bytes) {
    if (bytes.size() > kMaxFileBytes) return rejected(StateError::file_too_large);
    if (bytes.size() < layout::kFixedHeaderBytes || !bytes.starts_with(layout::kMagic))
        return rejected(StateError::not_a_snapshot);
    const auto version = read_number<std::uint32_t>(bytes, layout::kVersionOffset);
    if (version == 0) return rejected(StateError::invalid_version);
    if (version > kFormatVersion) return rejected(StateError::unsupported_version, version);
    return Version1Decoder(bytes).decode();
}

std::string describe_error(const DecodeResult& result) {
    if (!result.error) return {};
    if (result.error != StateError::unsupported_version) return result.error.message();
    return "format version " + std::to_string(result.version) +
           " is newer than the latest supported version, " + std::to_string(kFormatVersion);
}

std::string describe_dropped_tail(const DecodeResult& result) {
    if (!result.dropped_tail) return {};
    return std::to_string(result.dropped_bytes) +
           " bytes after the last complete batch dropped: " + result.dropped_tail.message();
}

}  // namespace elmbay::state
