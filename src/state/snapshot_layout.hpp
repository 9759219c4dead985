/// @file
/// The bytes that the encoder and the decoder agree on: offsets, record kinds, checksums. Internal to
/// src/state.
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

/// Offsets in the header.
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kHeaderLengthOffset = 12;
constexpr std::size_t kGenerationOffset = 16;
constexpr std::size_t kNameLengthOffset = 56;
/// The header's part before the name; behind the name stands a checksum.
constexpr std::size_t kFixedHeaderBytes = 60;
constexpr std::size_t kChecksumBytes = 8;

/// A record: length of the body and kind, the checksum of both and of the body, the body.
constexpr std::size_t kRecordKindOffset = 4;
constexpr std::size_t kRecordChecksumOffset = 8;
constexpr std::size_t kRecordHeadBytes = 16;

/// What a record's body holds. The numbers are part of the file format.
enum class RecordKind : std::uint8_t {
    server = 1,          ///< what is known of one server; replaces an earlier record of it
    server_removed = 2,  ///< the server of an earlier record is no longer kept
    means = 3,           ///< what is known of all servers together
    batch_end = 4        ///< ends a batch: its records are valid from here on
};

/// Appends a number, little-endian.
template <class Number>
void append_number(std::string& out, Number value) {
    std::array<unsigned char, sizeof(Number)> bytes{};
    boost::endian::endian_store<Number, sizeof(Number), boost::endian::order::little>(bytes.data(), value);
    out.append(bytes.begin(), bytes.end());
}

/// The number at an offset; the bytes must be there.
template <class Number>
Number read_number(std::string_view bytes, std::size_t offset) {
    std::array<unsigned char, sizeof(Number)> raw{};
    std::memcpy(raw.data(), bytes.data() + offset, raw.size());
    return boost::endian::endian_load<Number, sizeof(Number), boost::endian::order::little>(raw.data());
}

/// Spreads generations over the checksum's seeds.
constexpr std::uint64_t kGenerationFactor = 0x9E3779B97F4A7C15ULL;

/// Bound to the file and the place: a record of another generation, or one that stands elsewhere, never
/// passes.
inline std::uint64_t checksum_of(std::string_view bytes, std::uint64_t generation, std::uint64_t record) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), generation * kGenerationFactor + record);
}

/// The header's checksum has no generation and no place.
inline std::uint64_t header_checksum_of(std::string_view bytes) { return checksum_of(bytes, 0, 0); }

}  // namespace elmbay::state::layout
