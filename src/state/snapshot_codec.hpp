/// @file
/// A snapshot's form in a file. No I/O and no clock in here; every function is thread-safe.
///
/// A file is a header and batches of records; the first batch is the whole snapshot, each later one what had
/// changed since. A batch counts once its end record is there: a tail that was torn off, at whatever byte,
/// leaves the snapshot as of the batch before. docs/operate/state.md states every byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "state/snapshot.hpp"
#include "state/state_error.hpp"

namespace elmbay::state {

/// The version that is written, and the latest that is read.
constexpr std::uint32_t kFormatVersion = 1;
/// Far above what so many servers take: 4096 of 400 bytes, three times over.
constexpr std::size_t kMaxFileBytes = 8U << 20;
/// Of a record's body; it also bounds how deep a hostile one can be nested.
constexpr std::size_t kMaxRecordBytes = 4U << 10;

/// The header of a generation's file. A name that is longer than kMaxNameBytes is cut.
std::string encode_header(const Snapshot& snapshot, std::uint64_t generation);

/// A batch that makes `before` into `after`; without `before`, the whole of `after`.
/// @param next_record records are numbered through the file from 0: the first free number, moved on past the
/// batch
std::string encode_batch(const Snapshot* before, const Snapshot& after, std::uint64_t generation,
                         std::uint64_t& next_record);

/// What a file's bytes say.
struct DecodeResult {
    std::error_code error;  ///< a StateError if there is no snapshot
    std::error_code
        dropped_tail;           ///< why the bytes behind the last whole batch don't count, if there are any
    std::uint32_t version = 0;  ///< as the file states it; 0: it states none
    std::uint64_t generation = 0;        ///< as the header states it
    std::uint64_t batches = 0;           ///< whole ones
    std::uint64_t records = 0;           ///< in whole batches
    std::size_t used_bytes = 0;          ///< header and whole batches
    std::size_t dropped_bytes = 0;       ///< of the tail
    std::optional<Snapshot> snapshot{};  ///< what the whole batches add up to
};

/// Never throws for what the bytes say; std::bad_alloc only.
DecodeResult decode_snapshot_file(std::string_view bytes);

/// The result's error in words, with the version where that is the matter; empty without an error.
std::string describe_error(const DecodeResult& result);
/// The dropped tail in words; empty if nothing was dropped.
std::string describe_dropped_tail(const DecodeResult& result);

}  // namespace elmbay::state
