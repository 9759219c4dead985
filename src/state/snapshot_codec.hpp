/// @file
/// Encodes and decodes the file format of snapshots. Uses no I/O and no clock; every function is thread-safe.
///
/// A file consists of a header and batches of records. The first batch holds the complete snapshot, each
/// later batch the changes since the previous one. A batch is valid only with its end record: a file
/// truncated at any byte decodes to the snapshot of its last complete batch. docs/operate/state.md specifies
/// every byte.
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

/// The format version of files that are written, and the highest version that can be read.
constexpr std::uint32_t kFormatVersion = 1;
/// The maximum size of a file. It leaves ample space: kMaxServers servers of 400 bytes each fit three times.
constexpr std::size_t kMaxFileBytes = 8U << 20;
/// The maximum size of a record's body. It also limits the nesting depth of a maliciously crafted body.
constexpr std::size_t kMaxRecordBytes = 4U << 10;

/// Returns the header of a generation's file. An instance name longer than kMaxNameBytes is truncated.
std::string encode_header(const Snapshot& snapshot, std::uint64_t generation);

/// Returns a batch with the changes from `before` to `after`, or the complete snapshot `after` if `before` is
/// null.
/// @param next_record the number of the batch's first record, advanced past the batch; records are numbered
/// through the file from 0
std::string encode_batch(const Snapshot* before, const Snapshot& after, std::uint64_t generation,
                         std::uint64_t& next_record);

/// The result of decoding a file.
struct DecodeResult {
    std::error_code error;  ///< a StateError if the file has no valid snapshot
    /// Why the bytes after the last complete batch were ignored, if there are any.
    std::error_code dropped_tail;
    std::uint32_t version = 0;           ///< as stated in the file; 0 if it states none
    std::uint64_t generation = 0;        ///< as stated in the header
    std::uint64_t batches = 0;           ///< number of complete batches
    std::uint64_t records = 0;           ///< number of records in complete batches
    std::size_t used_bytes = 0;          ///< size of the header and the complete batches
    std::size_t dropped_bytes = 0;       ///< size of the ignored tail
    std::optional<Snapshot> snapshot{};  ///< the state after applying all complete batches
};

/// Decodes the content of a snapshot file. Invalid content is reported in DecodeResult::error. The only
/// exception that it throws is std::bad_alloc.
DecodeResult decode_snapshot_file(std::string_view bytes);

/// Returns the result's error as text, with the version number for an unsupported version. Empty if there is
/// no error.
std::string describe_error(const DecodeResult& result);
/// Returns the size of the dropped tail and the reason as text. Empty if nothing was dropped.
std::string describe_dropped_tail(const DecodeResult& result);

}  // namespace elmbay::state
