/// @file
/// Bounds the memory that long messages of the process take together.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace elmbay {

/// Grants bytes for messages beyond the protocol's usual size.
///
/// A connection takes a long message in only with a grant for the most that the message may come to, and
/// keeps the grant for as long as it holds the message. Messages of the usual size need none: the number of
/// descriptors bounds them.
///
/// Not thread-safe: for the event loop's thread.
class ByteBudget {
public:
    /// Bytes that are in use until this is destroyed. May outlive its budget: connections live on in handlers
    /// that the event loop destroys last.
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

        std::shared_ptr<std::size_t> used_;  // the budget's; nullptr: moved from
        std::size_t bytes_;
    };

    /// @param limit bytes that all grants may come to together
    explicit ByteBudget(std::size_t limit) : limit_(limit) {}
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    /// A grant of so many bytes; none if fewer are left.
    std::optional<Grant> acquire(std::size_t bytes) {
        const std::size_t left = limit_ - *used_;
        if (bytes > left) return {};
        return Grant(used_, bytes);
    }

private:
    std::size_t limit_;
    std::shared_ptr<std::size_t> used_ =
        std::make_shared<std::size_t>(0);  // bytes granted, shared with grants
};

}  // namespace elmbay
