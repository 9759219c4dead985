/// @file
/// The byte layout of snapshot files, shared by the encoder and the decoder: offsets, record kinds and
/// checksums. Internal to src/state.
#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <boost/endian/conversion.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

namespace elmbay::state::layout {

constexpr std::string_view kMagic = "ELMBAYST";

/// Offsets in the header, in bytes.
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kHeaderLengthOffset = 12;
constexpr std::size_t kGenerationOffset = 16;
constexpr std::size_t kNameLengthOffset = 56;
/// The size of the header's part before the name. The name is followed by a checksum.
constexpr std::size_t kFixedHeaderBytes = 60;
constexpr std::size_t kChecksumBytes = 8;

/// A record consists of a head and a body. The head holds the length of the body, the record kind, and the
/// checksum of these two fields and the body.
constexpr std::size_t kRecordKindOffset = 4;
constexpr std::size_t kRecordChecksumOffset = 8;
constexpr std::size_t kRecordHeadBytes = 16;

/// The kind of a record, which determines the content of its body. The numbers are part of the file format.
enum class RecordKind : std::uint8_t {
    server = 1,          ///< the learned state of one server; replaces an earlier record of that server
    server_removed = 2,  ///< removes the server of an earlier record
    means = 3,           ///< the learned state of all servers together
    batch_end = 4        ///< ends a batch and makes its records valid; holds the timestamp
};

/// Appends a number in little-endian byte order.
template <class Number>
void append_number(std::string& out, Number value) {
    std::array<unsigned char, sizeof(Number)> bytes{};
    boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::little>(bytes.data(), value);
    out.append(bytes.begin(), bytes.end());
}

/// Returns the little-endian number at `offset`. Requires `offset` + sizeof(Number) <= `bytes.size()`.
template <class Number>
Number read_number(std::string_view bytes, std::size_t offset) {
    std::array<unsigned char, sizeof(Number)> raw{};
    std::memcpy(raw.data(), bytes.data() + offset, raw.size());
    return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::little>(raw.data());
}

/// Spreads the checksum seeds of different generations over the 64-bit range (2^64 divided by the
/// golden ratio).
constexpr std::uint64_t kGenerationFactor = 0x9E3779B97F4A7C15ULL;

/// Returns a record's checksum. It depends on the generation and on the record number, so that a record
/// copied from another generation or from another position does not match.
inline std::uint64_t checksum_of(std::string_view bytes, std::uint64_t generation, std::uint64_t record) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), generation * kGenerationFactor + record);
}

/// Returns the header's checksum, which depends on neither the generation nor a record number.
inline std::uint64_t header_checksum_of(std::string_view bytes) { return checksum_of(bytes, 0, 0); }

}  // namespace elmbay::state::layout
