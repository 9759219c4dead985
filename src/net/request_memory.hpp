/// @file
/// The memory of a request that is being received, taken from the byte budget as its bytes arrive.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "base/byte_budget.hpp"
#include "http/message.hpp"

namespace elmbay {

/// Grants for the head and the body of one request.
///
/// A request of the usual size needs no grant. A longer one gets its memory in steps as its bytes arrive, so
/// that a client that stops in the middle, or that only states a length, holds little. The descriptor limit
/// bounds the memory of all requests without a grant, and the budget that of all others.
///
/// Not thread-safe. Owned by ClientConnection until its request is complete, and then by the request.
class RequestMemory {
public:
    /// Size limit of the parser's input buffer without a grant, in bytes.
    static constexpr std::size_t kHeadBytesWithoutGrant = std::size_t{4} * 1024;
    /// Size limit of the parser's input buffer with a grant, in bytes. It bounds endless chunk size lines and
    /// trailers.
    static constexpr std::size_t kMaxInputBytes = 2 * kMaxHeadBytes;
    /// Capacity of a body without a grant, in bytes.
    static constexpr std::size_t kBodyBytesWithoutGrant = std::size_t{4} * 1024;

    /// @param budget must outlive this object's calls; a grant may outlive it.
    explicit RequestMemory(ByteBudget& budget) : budget_(&budget) {}

    /// Takes the memory for an input buffer of kMaxInputBytes and for the head that is parsed from it.
    /// @return false if it is not available, or if it was taken before.
    bool grow_input();
    /// @return whether grow_input() has succeeded.
    bool has_grown_input() const { return input_grant_.has_value(); }
    /// Takes the memory for a body of kMaxRequestBodyBytes.
    /// @return false if it is not available.
    bool reserve_large_body();
    /// Makes the capacity of `body` at least `size` bytes.
    /// @param size at most kMaxRequestBodyBytes.
    /// @return false if the memory is not available. Then the request must be rejected.
    bool reserve_body(std::string& body, std::size_t size);

private:
    bool take_body_grant(std::size_t capacity);

    ByteBudget* budget_;
    std::optional<ByteBudget::Grant> input_grant_;
    std::optional<ByteBudget::Grant> body_grant_;
    std::size_t granted_body_bytes_ = kBodyBytesWithoutGrant;
};

}  // namespace elmbay
