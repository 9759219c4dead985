/// @file
/// What can be wrong with a snapshot file, a store or its writer, beside what the system says (errno).
#pragma once

#include <system_error>

namespace elmbay::state {

/// Converts to std::error_code. The message is one clause in plain words.
enum class StateError {
    file_too_large = 1,        ///< longer than kMaxFileBytes
    not_a_snapshot,            ///< too short, or without the magic bytes
    invalid_version,           ///< version 0
    unsupported_version,       ///< a later version than this program knows: neither read nor removed
    truncated_header,          ///< the header's lengths don't fit the file
    header_checksum_mismatch,  ///< the header is damaged
    truncated_record_head,     ///< the file ends within a record's head
    truncated_record,          ///< the file ends within a record's body, or the body is longer than allowed
    record_checksum_mismatch,  ///< damaged, or a record of another generation or place
    malformed_record,          ///< the body is no MessagePack map
    unfinished_batch,          ///< the file ends before the batch's end record
    generation_mismatch,       ///< the file's name tells another generation than its header
    instance_mismatch,         ///< the snapshot is of another instance
    store_not_open,            ///< open() was not called, or failed
    directory_in_use,          ///< another process holds the lock
    load_timed_out,            ///< the disk has not answered within the start's timeout
    no_writer_thread,          ///< the system has no thread for the writer
    write_hanging,             ///< a save has taken kHangThreshold or longer
    unexpected_exception       ///< a save threw something that is not about memory
};

/// The category of StateError; lives as long as the program.
const std::error_category& state_error_category() noexcept;

/// Found by argument-dependent lookup when a StateError becomes a std::error_code.
std::error_code make_error_code(StateError error) noexcept;

}  // namespace elmbay::state

/// Lets a StateError convert to std::error_code implicitly.
template <>
struct std::is_error_code_enum<elmbay::state::StateError> : std::true_type {};
