/// @file
/// Errors of snapshot files, SnapshotStore and SnapshotWriter other than system errors (errno).
#pragma once

#include <system_error>

namespace elmbay::state {

/// An error of a snapshot file, a store or a writer. Converts to std::error_code. The error message is a
/// single clause without a final period.
enum class StateError {
    file_too_large = 1,        ///< the file is longer than kMaxFileBytes
    not_a_snapshot,            ///< the file is too short or lacks the magic bytes
    invalid_version,           ///< the format version is 0
    unsupported_version,       ///< the format version is above kFormatVersion; the file is neither read nor
                               ///< removed
    truncated_header,          ///< the lengths in the header do not fit the file
    header_checksum_mismatch,  ///< the header is corrupted
    truncated_record_head,     ///< the file ends inside a record's head
    truncated_record,          ///< the file ends inside a record's body, or the body exceeds kMaxRecordBytes
    record_checksum_mismatch,  ///< the record is corrupted or belongs to another generation or position
    malformed_record,          ///< the record's body is not a MessagePack map
    unfinished_batch,          ///< the file ends before the end record of a batch
    generation_mismatch,       ///< the generation in the file's name differs from the one in its header
    instance_mismatch,         ///< the snapshot belongs to another instance
    store_not_open,            ///< SnapshotStore::open() was not called or failed
    directory_in_use,          ///< another process holds the lock of the directory
    load_timed_out,            ///< the load did not finish within the timeout of SnapshotWriter::start()
    no_writer_thread,          ///< the system could not create the writer thread
    write_hanging,             ///< a save has taken SnapshotWriter::kHangThreshold or longer
    unexpected_exception       ///< a load or save threw an exception other than std::bad_alloc
};

/// Returns the category of StateError. It lives as long as the process.
const std::error_category& state_error_category() noexcept;

/// Makes an error code of a StateError. Found by argument-dependent lookup when a StateError becomes a
/// std::error_code.
std::error_code make_error_code(StateError error) noexcept;

}  // namespace elmbay::state

/// Lets a StateError convert to std::error_code implicitly.
template <>
struct std::is_error_code_enum<elmbay::state::StateError> : std::true_type {};
