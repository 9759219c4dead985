/// @file
/// Bounds the total memory that messages may occupy in this process.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace elmbay {

/// Grants bytes for messages that are not small.
///
/// A message beyond the protocol's usual size is read only with a grant for its maximum size, and the grant
/// is kept for as long as the message. Such large grants leave a share of the budget to the others. Small
/// messages need no grant, because the descriptor limit bounds their number.
///
/// Not thread-safe: used on the event loop's thread only.
class ByteBudget {
public:
    /// A number of bytes that counts as used until the grant is destroyed. A grant may outlive its budget,
    /// because the event loop destroys pending handlers, and with them connections, last.
    class Grant {
    public:
        Grant(Grant&&) noexcept = default;
        Grant& operator=(Grant&& other) noexcept {
            std::swap(used_, other.used_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        Grant(const Grant&) = delete;
        Grant& operator=(const Grant&) = delete;
        ~Grant() {
            if (used_) *used_ -= bytes_;
        }

    private:
        friend class ByteBudget;
        Grant(std::shared_ptr<std::size_t> used, std::size_t bytes) : used_(std::move(used)), bytes_(bytes) {
            *used_ += bytes;
        }

        std::shared_ptr<std::size_t> used_;  // the budget's counter; nullptr after a move
        std::size_t bytes_;
    };

    /// @param limit the maximum sum of all grants, in bytes
    explicit ByteBudget(std::size_t limit) : limit_(limit) {}
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    /// Returns a grant of the given number of bytes, or nothing if fewer bytes are available.
    std::optional<Grant> acquire(std::size_t bytes) { return acquire_within(limit_, bytes); }

    /// Returns a grant for a message beyond the usual size, or nothing if fewer bytes are available without
    /// the share that is left to other messages.
    std::optional<Grant> acquire_large(std::size_t bytes) {
        return acquire_within(limit_ / kLargeDivisor * kLargeMultiplier, bytes);
    }

private:
    // Share of the limit up to which large grants are given: two thirds.
    static constexpr std::size_t kLargeMultiplier = 2;
    static constexpr std::size_t kLargeDivisor = 3;

    std::optional<Grant> acquire_within(std::size_t limit, std::size_t bytes) {
        if (*used_ > limit || bytes > limit - *used_) return {};
        return Grant(used_, bytes);
    }

    std::size_t limit_;
    // Bytes that are granted; shared with the grants.
    std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

}  // namespace elmbay
