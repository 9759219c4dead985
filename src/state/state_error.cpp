#include "state/state_error.hpp"

#include <string>

namespace elmbay::state {

namespace {

class StateErrorCategory : public std::error_category {
public:
    const char* name() const noexcept override { return "elmbay.state"; }
    std::string message(int value) const override {
        switch (static_cast<StateError>(value)) {
            case StateError::file_too_large:
                return "the file exceeds the size limit of a snapshot";
            case StateError::not_a_snapshot:
                return "the file is not an elmbay snapshot";
            case StateError::invalid_version:
                return "format version 0 is not valid";
            case StateError::unsupported_version:
                return "the format version is newer than the latest supported version";
            case StateError::truncated_header:
                return "the header is incomplete or its lengths are invalid";
            case StateError::header_checksum_mismatch:
                return "the header does not match its checksum";
            case StateError::truncated_record_head:
                return "a record head is truncated";
            case StateError::truncated_record:
                return "a record body is truncated or exceeds the size limit";
            case StateError::record_checksum_mismatch:
                return "a record does not match its checksum";
            case StateError::malformed_record:
                return "a record body is not a MessagePack map";
            case StateError::unfinished_batch:
                return "a batch has no end record";
            case StateError::generation_mismatch:
                return "the generation in the file name differs from the one in the header";
            case StateError::instance_mismatch:
                return "the snapshot belongs to another instance";
            case StateError::store_not_open:
                return "the snapshot store is not open";
            case StateError::directory_in_use:
                return "another process holds the lock of this directory";
            case StateError::load_timed_out:
                return "the load from disk timed out";
            case StateError::no_writer_thread:
                return "the writer thread could not be created";
            case StateError::write_hanging:
                return "a write to disk has exceeded its time limit";
            case StateError::unexpected_exception:
                return "unexpected exception";
        }
        return "unknown error";
    }
    std::error_condition default_error_condition(int value) const noexcept override {
        // flock(2) reports the same condition if another process holds the lock.
        if (static_cast<StateError>(value) == StateError::directory_in_use)
            return std::make_error_condition(std::errc::resource_unavailable_try_again);
        return {value, *this};
    }
};

}  // namespace

const std::error_category& state_error_category() noexcept {
    static const StateErrorCategory kCategory;
    return kCategory;
}

std::error_code make_error_code(StateError error) noexcept {
    return {static_cast<int>(error), state_error_category()};
}

}  // namespace elmbay::state
