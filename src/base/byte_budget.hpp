// What long messages may take of the process's memory together.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>

namespace elmbay {

// A message beyond the protocol's usual size is taken in only with a grant for the most that it may come to,
// and the grant lasts as long as the message is held. Grants must not outlive their budget.
class ByteBudget {
public:
    class Grant {
    public:
        Grant(Grant&& other) noexcept : owner_(std::exchange(other.owner_, nullptr)), bytes_(other.bytes_) {}
        Grant& operator=(Grant&& other) noexcept {
            std::swap(owner_, other.owner_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~Grant() {
            if (owner_) owner_->used_ -= bytes_;
        }

    private:
        friend class ByteBudget;
        Grant(ByteBudget& owner, std::size_t bytes) : owner_(&owner), bytes_(bytes) { owner.used_ += bytes; }
        ByteBudget* owner_;
        std::size_t bytes_;
    };

    explicit ByteBudget(std::size_t most) : most_(most) {}
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    // None where so many are not left.
    std::optional<Grant> take(std::size_t bytes) {
        if (bytes > most_ - used_) return {};
        return Grant(*this, bytes);
    }
    std::size_t used() const { return used_; }

private:
    std::size_t most_, used_ = 0;
};

}  // namespace elmbay
