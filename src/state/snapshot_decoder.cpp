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

constexpr std::size_t kMaxRecords = 1000000;  // a file of the most bytes can't hold more

// A fuzzer can't guess checksums, and what lies behind them is what it is to reach.
bool matches(std::uint64_t stated, std::uint64_t computed) {
#ifdef FUZZING_BUILD_MODE_UNSAFE_FOR_PRODUCTION
    return stated == computed || stated % 8 != 0;
#else
    return stated == computed;
#endif
}

// ---- Fields of a body. A record that passed its checksum was written by some elmbay: what is missing or of
// another kind in it keeps its default, so that a field may be added or dropped without a new version.

double number_field(const json& body, const char* name, double otherwise) {
    const auto field = body.find(name);
    return field != body.end() && field->is_number() ? field->get<double>() : otherwise;
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
    for (const json& figure : *field)
        if (!figure.is_number()) return {};
    return {(*field)[0].get<double>(), (*field)[1].get<double>(), (*field)[2].get<double>()};
}

// Empty: there is none that can be used.
std::string uid_field(const json& body) {
    const auto field = body.find("uid");
    if (field == body.end() || !field->is_string()) return {};
    const auto& uid = field->get_ref<const std::string&>();
    return uid.size() <= kMaxNameBytes ? uid : std::string();
}

LearnedServerState server_of(const json& body) {
    LearnedServerState server;
    server.online_since = number_field(body, "online_since", -1);
    server.outcome_bits = count_field(body, "outcomes");
    server.outcome_count = count_field(body, "seen");
    server.slow_start_tokens = number_field(body, "tokens", 1);
    if (body.contains("out_ms")) server.ejection_remaining_ms = number_field(body, "out_ms", 0);
    return server;
}

// Everything but the servers.
balancer::LearnedState means_of(const json& body) {
    balancer::LearnedState means;
    means.load_ratio = mean_field(body, "crowd");
    means.concurrency_limit = number_field(body, "room", 0);
    means.learned_limit = number_field(body, "learned", 0);
    means.learned_limit_warm_servers = number_field(body, "taught_by", 0);
    means.completion_rate = number_field(body, "carried", 0);
    means.retries_left = number_field(body, "retries_left", 0);
    return means;
}

Timestamp timestamp_of(const json& body) {
    Timestamp taken{integer_field(body, "wall_ms"), integer_field(body, "since_boot_ms"), {}};
    const auto boot = body.find("boot");
    if (boot != body.end() && boot->is_binary() && boot->get_binary().size() == taken.boot_id.size())
        std::copy(boot->get_binary().begin(), boot->get_binary().end(), taken.boot_id.begin());
    return taken;
}

struct Record {
    RecordKind kind = RecordKind::batch_end;
    json body;
};

// The state that the batches so far add up to.
class Accumulator {
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
                means_ = means_of(record.body);
                break;
            case RecordKind::batch_end:
                taken_ = timestamp_of(record.body);
                break;
        }  // any other kind: of a later program, passed over
    }

    Snapshot snapshot(std::string instance) const {
        Snapshot snapshot{std::move(instance), taken_, means_, {}};
        for (const auto& [uid, known] : servers_) {
            snapshot.learned_state.servers.push_back(known);
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
        servers_[uid] = server_of(body);
    }

    std::map<std::string, LearnedServerState> servers_;
    balancer::LearnedState means_;
    Timestamp taken_;
};

// Version 1. A later version gets a decoder of its own beside it; this one stays.
class Version1Decoder {
public:
    explicit Version1Decoder(std::string_view bytes) : bytes_(bytes) { result_.version = 1; }

    DecodeResult decode() {
        result_.error = decode_header();
        if (result_.error) return std::move(result_);
        const std::error_code stopped = decode_batches();
        if (result_.batches == 0) {
            result_.error = stopped;
            return std::move(result_);
        }
        if (result_.used_bytes < bytes_.size()) {
            result_.dropped_bytes = bytes_.size() - result_.used_bytes;
            result_.dropped_tail = stopped;
        }
        result_.snapshot = sum_.snapshot(std::move(instance_));
        return std::move(result_);
    }

private:
    std::error_code decode_header() {
        const auto name_length = read_number<std::uint32_t>(bytes_, layout::kNameLengthOffset);
        const auto length = read_number<std::uint32_t>(bytes_, layout::kHeaderLengthOffset);
        if (name_length == 0 || name_length > kMaxNameBytes) return StateError::truncated_header;
        const std::size_t checked = layout::kFixedHeaderBytes + name_length;
        if (length != checked + layout::kChecksumBytes) return StateError::truncated_header;
        if (length > bytes_.size()) return StateError::truncated_header;
        result_.generation = read_number<std::uint64_t>(bytes_, layout::kGenerationOffset);
        const auto stated = read_number<std::uint64_t>(bytes_, checked);
        if (!matches(stated, layout::header_checksum_of(bytes_.substr(0, checked))))
            return StateError::header_checksum_mismatch;
        instance_ = bytes_.substr(layout::kFixedHeaderBytes, name_length);
        position_ = length;
        result_.used_bytes = length;
        return {};
    }

    // As many whole batches as there are; why it stopped, of use where bytes are left.
    std::error_code decode_batches() {
        std::vector<Record> batch;
        while (position_ < bytes_.size() && result_.records + batch.size() < kMaxRecords) {
            Record record;
            if (const std::error_code error = decode_record(result_.records + batch.size(), record))
                return error;
            const bool ends = record.kind == RecordKind::batch_end;
            batch.push_back(std::move(record));
            if (ends) finish(batch);
        }
        return StateError::unfinished_batch;
    }

    std::error_code decode_record(std::uint64_t number, Record& record) {
        const std::size_t left = bytes_.size() - position_;
        if (left < layout::kRecordHeadBytes) return StateError::truncated_record_head;
        const std::string_view head = bytes_.substr(position_, layout::kRecordHeadBytes);
        const auto length = read_number<std::uint32_t>(head, 0);
        if (length > kMaxRecordBytes || length > left - layout::kRecordHeadBytes)
            return StateError::truncated_record;
        const std::string_view body = bytes_.substr(position_ + layout::kRecordHeadBytes, length);
        std::string checked(head.substr(0, layout::kRecordChecksumOffset));
        checked += body;
        const auto stated = read_number<std::uint64_t>(head, layout::kRecordChecksumOffset);
        if (!matches(stated, layout::checksum_of(checked, result_.generation, number)))
            return StateError::record_checksum_mismatch;
        record.body = json::from_msgpack(body.begin(), body.end(), true, false);
        if (!record.body.is_object()) return StateError::malformed_record;
        record.kind =
            static_cast<RecordKind>(read_number<std::uint32_t>(head, layout::kRecordKindOffset) & 0xFF);
        position_ += layout::kRecordHeadBytes + length;
        return {};
    }

    void finish(std::vector<Record>& batch) {
        for (const Record& record : batch) sum_.apply(record);
        result_.records += batch.size();
        batch.clear();
        ++result_.batches;
        result_.used_bytes = position_;
    }

    const std::string_view bytes_;
    std::size_t position_ = 0;
    std::string instance_;
    Accumulator sum_;
    DecodeResult result_;
};

DecodeResult refused(StateError error, std::uint32_t version = 0) {
    DecodeResult result;
    result.error = error;
    result.version = version;
    return result;
}

}  // namespace

DecodeResult decode_snapshot_file(std::string_view bytes) {
    if (bytes.size() > kMaxFileBytes) return refused(StateError::file_too_large);
    if (bytes.size() < layout::kFixedHeaderBytes || !bytes.starts_with(layout::kMagic))
        return refused(StateError::not_a_snapshot);
    const auto version = read_number<std::uint32_t>(bytes, layout::kVersionOffset);
    if (version == 0) return refused(StateError::invalid_version);
    if (version > kFormatVersion) return refused(StateError::unsupported_version, version);
    return Version1Decoder(bytes).decode();
}

std::string describe_error(const DecodeResult& result) {
    if (!result.error) return {};
    if (result.error != StateError::unsupported_version) return result.error.message();
    return "it is of version " + std::to_string(result.version) + ", this program reads up to " +
           std::to_string(kFormatVersion);
}

std::string describe_dropped_tail(const DecodeResult& result) {
    if (!result.dropped_tail) return {};
    return std::to_string(result.dropped_bytes) +
           " bytes of a torn tail dropped: " + result.dropped_tail.message();
}

}  // namespace elmbay::state
