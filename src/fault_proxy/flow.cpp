#include "fault_proxy/flow.hpp"

#include <algorithm>

namespace elmbay::fault_proxy {

namespace {

constexpr char kGarble = 0x55;  // no byte is the same after it

bool has_place(const Rule& rule) {
    switch (rule.act) {
        case Act::reset:
        case Act::half_close:
        case Act::silence:
        case Act::stall:
        case Act::garble:
            return true;
        default:
            return false;
    }
}

}  // namespace

Flow::Flow(const Rules& rules, Link link, std::uint64_t nth, bool asks)
    : rules_(rules), link_(std::move(link)), nth_(nth), asks_(asks) {}

bool Flow::once(const std::string& rule) {
    if (std::find(done_.begin(), done_.end(), rule) != done_.end()) return false;
    done_.push_back(rule);
    return true;
}

// The places within these bytes at which something happens, in order. A place at the opening is before the
// first byte that comes while the rule holds.
std::vector<Flow::Trigger> Flow::triggers(Millis now, std::string_view bytes) {
    std::vector<Trigger> found;
    const std::vector<std::size_t> meets = rules_.on_stream(link_, nth_);
    const bool messages = std::any_of(meets.begin(), meets.end(), [this](std::size_t i) {
        return rules_.all()[i].place == Place::message;
    });
    if (offset_ == 0 && messages) boundaries_.emplace(asks_);
    const std::vector<Boundary> met = boundaries_ ? boundaries_->take(bytes) : std::vector<Boundary>{};
    for (const std::size_t i : meets) {
        const Rule& r = rules_.all()[i];
        if (!has_place(r) || !r.holds_at(now)) continue;
        if (r.place == Place::opening) {
            found.push_back({offset_, i});
        } else if (r.place == Place::byte) {
            if (r.byte >= offset_ && r.byte < offset_ + bytes.size()) found.push_back({r.byte, i});
        } else {
            for (const Boundary& b : met)
                if (b.message == r.message && b.part == r.part) found.push_back({b.at, i});
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const Trigger& a, const Trigger& b) { return a.at < b.at; });
    return found;
}

void Flow::take(Millis now, std::string_view bytes, std::vector<Step>& steps) {
    if (over_) {
        offset_ += bytes.size();
        return;
    }
    const std::uint64_t begin = offset_;
    for (const Trigger& t : triggers(now, bytes)) {
        // A message's boundary may lie in bytes that have passed, if reading them had to wait for more.
        const std::uint64_t at = std::max(t.at, offset_);
        pass(now, bytes.substr(offset_ - begin, at - offset_), steps);
        const Rule& rule = rules_.all()[t.rule];
        if (once(rule.name)) act(now, rule, steps);
        if (over_) {
            offset_ = begin + bytes.size();
            return;
        }
    }
    pass(now, bytes.substr(offset_ - begin), steps);
}

void Flow::act(Millis now, const Rule& rule, std::vector<Step>& steps) {
    clear_at_ = std::max(clear_at_, now);
    switch (rule.act) {
        case Act::reset:
            steps.push_back({Step::Kind::reset, clear_at_, {}});
            over_ = true;
            break;
        case Act::half_close:
            steps.push_back({Step::Kind::half_close, clear_at_, {}});
            over_ = true;
            break;
        case Act::silence:
            over_ = true;
            break;
        case Act::stall:
            clear_at_ += rules_.drawn_delay(rule, link_, nth_, pieces_);
            break;
        case Act::garble:
            garble_left_ += rule.count;
            break;
        default:
            break;
    }
}

void Flow::pass(Millis now, std::string_view bytes, std::vector<Step>& steps) {
    if (bytes.empty()) return;
    Step step{Step::Kind::bytes, now, std::string(bytes)};
    offset_ += bytes.size();
    ++pieces_;
    for (char& c : step.bytes) {
        if (garble_left_ == 0) break;
        c = static_cast<char>(c ^ kGarble);
        --garble_left_;
    }
    Millis on_its_way = 0, sending = 0;
    for (const std::size_t i : rules_.on_stream(link_, nth_)) {
        const Rule& r = rules_.all()[i];
        if (!r.holds_at(now)) continue;
        if (r.act == Act::delay) on_its_way += rules_.drawn_delay(r, link_, nth_, pieces_);
        if (r.act == Act::rate && r.rate > 0)
            sending = std::max(sending, 1000 * static_cast<double>(bytes.size()) / r.rate);
    }
    // In order, whatever each piece's own delay; a rate counts from when the line is free.
    clear_at_ = std::max(now + on_its_way, clear_at_) + sending;
    step.at = clear_at_;
    steps.push_back(std::move(step));
}

void Flow::end(Millis now, Step::Kind kind, std::vector<Step>& steps) {
    if (over_) return;
    over_ = true;
    clear_at_ = std::max(clear_at_, now);
    steps.push_back({kind, clear_at_, {}});
}

}  // namespace elmbay::fault_proxy
