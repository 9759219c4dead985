// One direction of one connection: bytes in, and out come pieces and events in order, each with the time
// before which it must not be carried out. No I/O and no clock; cuts are the driver's, which holds all of it
// back while the link is cut.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fault_proxy/boundaries.hpp"
#include "fault_proxy/rules.hpp"

namespace elmbay::fault_proxy {

struct Step {
    enum class Kind { bytes, half_close, reset };
    Kind kind = Kind::bytes;
    Millis at = 0;
    std::string bytes{};
};

class Flow {
public:
    // link: the direction; nth: of the connection, counted on the link of who opened it. asks: bytes are the
    // opener's. rules must outlive it; a change of them counts for what comes after.
    Flow(const Rules& rules, Link link, std::uint64_t nth, bool asks);

    // Appends to steps.
    void take(Millis now, std::string_view bytes, std::vector<Step>& steps);
    // Whether bytes of now pass untouched and at once: then the driver may pass them on by itself, and only
    // skip() them here. A rule on messages counts on connections whose first byte came while it was there.
    bool plain() const {
        return !over_ && !boundaries_ && garble_left_ == 0 && rules_.on_stream(link_, nth_).empty();
    }
    void skip(std::size_t bytes) { offset_ += bytes; }
    // The sender's end of sending, or its reset.
    void end(Millis now, Step::Kind kind, std::vector<Step>& steps);
    std::uint64_t offset() const { return offset_; }
    // Nothing passes any more, whatever comes.
    bool over() const { return over_; }

private:
    struct Trigger {
        std::uint64_t at;
        std::size_t rule;
    };
    std::vector<Trigger> triggers(Millis now, std::string_view bytes);
    void pass(Millis now, std::string_view bytes, std::vector<Step>& steps);
    void act(Millis now, const Rule& rule, std::vector<Step>& steps);
    bool once(const std::string& rule);

    const Rules& rules_;
    const Link link_;
    const std::uint64_t nth_;
    const bool asks_;
    std::optional<Boundaries> boundaries_;  // kept from the first byte on, if any rule asks for messages
    std::uint64_t offset_ = 0, pieces_ = 0, garble_left_ = 0;
    Millis clear_at_ = 0;  // what comes next may pass then
    bool over_ = false;
    std::vector<std::string> done_;  // rules that have had their one place here
};

}  // namespace elmbay::fault_proxy
