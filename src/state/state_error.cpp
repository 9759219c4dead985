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
                return "it is larger than a state can be";
            case StateError::not_a_snapshot:
                return "it is no state of an elmbay";
            case StateError::invalid_version:
                return "its version can't be";
            case StateError::unsupported_version:
                return "it is of a newer version";
            case StateError::truncated_header:
                return "its header is not whole";
            case StateError::header_checksum_mismatch:
                return "its header does not match its checksum";
            case StateError::truncated_record_head:
                return "a record's head is cut off";
            case StateError::truncated_record:
                return "a record is cut off";
            case StateError::record_checksum_mismatch:
                return "a record does not match its checksum";
            case StateError::malformed_record:
                return "a record can't be read";
            case StateError::unfinished_batch:
                return "a batch has no end";
            case StateError::generation_mismatch:
                return "it was written under another name";
            case StateError::instance_mismatch:
                return "it is of another instance";
            case StateError::store_not_open:
                return "the store is not open";
            case StateError::directory_in_use:
                return "another process keeps its state in this folder";
            case StateError::load_timed_out:
                return "the disk has not answered in time";
            case StateError::no_writer_thread:
                return "no thread for the writer";
            case StateError::write_hanging:
                return "the disk hangs";
            case StateError::unexpected_exception:
                return "unexpected exception";
        }
        return "unknown error";
    }
    std::error_condition default_error_condition(int value) const noexcept override {
        // What flock(2) says of a lock that another process holds.
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
