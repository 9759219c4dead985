// What long messages may take of the process's memory together.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace elmbay {

// A message beyond the protocol's usual size is taken in only with a grant for the most that it may come to,
// and the grant lasts as long as the message is held. It may outlive its budget: connections stand in
// handlers that the loop gives up last.
class ByteBudget {
public:
    class Grant {
    public:
        Grant(Grant&&) noexcept = default;
        Grant& operator=(Grant&& other) noexcept {
            std::swap(used_, other.used_);
            std::swap(bytes_, other.bytes_);
            return *this;
        }
        ~Grant() {
            if (used_) *used_ -= bytes_;
        }

    private:
        friend class ByteBudget;
        Grant(std::shared_ptr<std::size_t> used, std::size_t bytes) : used_(std::move(used)), bytes_(bytes) {
            *used_ += bytes;
        }
        std::shared_ptr<std::size_t> used_;
        std::size_t bytes_;
    };

    explicit ByteBudget(std::size_t most) : most_(most) {}
    ByteBudget(const ByteBudget&) = delete;
    ByteBudget& operator=(const ByteBudget&) = delete;

    // None where so many are not left.
    std::optional<Grant> take(std::size_t bytes) {
        if (bytes > most_ - *used_) return {};
        return Grant(used_, bytes);
    }

private:
    std::size_t most_;
    std::shared_ptr<std::size_t> used_ = std::make_shared<std::size_t>(0);
};

}  // namespace elmbay
