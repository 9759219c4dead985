#include "fault_proxy/stream_filter.hpp"

#include <algorithm>

namespace elmbay::fault_proxy {

namespace {

constexpr double kMillisPerSecond = 1000;

bool has_trigger(FaultType type) {
    switch (type) {
        case FaultType::reset:
        case FaultType::half_close:
        case FaultType::silence:
        case FaultType::stall:
        case FaultType::corrupt:
            return true;
        default:
            return false;
    }
}

}  // namespace

StreamFilter::StreamFilter(const Rules& rules, Link link, std::uint64_t connection,
                           MessageBoundaryReader::MessageKind sender)
    : rules_(rules), link_(std::move(link)), connection_(connection), sender_(sender) {}

bool StreamFilter::passes_unchanged() const {
    const bool has_state = has_ended_ || message_reader_ || bytes_to_corrupt_ > 0;
    return !has_state && rules_.stream_rules(link_, connection_).empty();
}

bool StreamFilter::mark_applied(const std::string& rule) {
    if (std::find(applied_rules_.begin(), applied_rules_.end(), rule) != applied_rules_.end()) return false;
    applied_rules_.push_back(rule);
    return true;
}

// Returns the offset within the next `size` bytes at which the rule is triggered, if any.
std::optional<std::uint64_t> StreamFilter::trigger_offset(
    const Rule& rule, std::size_t size, const std::vector<MessageBoundary>& boundaries) const {
    switch (rule.trigger) {
        case Trigger::on_open:
            return offset_;
        case Trigger::at_byte: {
            const bool is_within = rule.trigger_byte >= offset_ && rule.trigger_byte < offset_ + size;
            return is_within ? std::optional(rule.trigger_byte) : std::nullopt;
        }
        case Trigger::at_message: {
            const auto boundary =
                std::find_if(boundaries.begin(), boundaries.end(), [&](const MessageBoundary& other) {
                    return other.message_number == rule.trigger_message && other.point == rule.trigger_point;
                });
            return boundary == boundaries.end() ? std::nullopt : std::optional(boundary->offset);
        }
    }
    return {};
}

// Returns the rules that are triggered within these bytes, in order of offset. Trigger::on_open is triggered
// before the first byte that arrives while the rule is active.
std::vector<StreamFilter::TriggeredRule> StreamFilter::find_triggered(Millis now, std::string_view bytes) {
    std::vector<TriggeredRule> found;
    const std::vector<std::size_t> indexes = rules_.stream_rules(link_, connection_);
    const bool needs_messages = std::any_of(indexes.begin(), indexes.end(), [this](std::size_t i) {
        return rules_.all()[i].trigger == Trigger::at_message;
    });
    if (offset_ == 0 && needs_messages) message_reader_.emplace(sender_);
    const auto boundaries = message_reader_ ? message_reader_->read(bytes) : std::vector<MessageBoundary>{};
    for (const std::size_t i : indexes) {
        const Rule& rule = rules_.all()[i];
        if (!has_trigger(rule.type) || !rule.is_active_at(now)) continue;
        const auto offset = trigger_offset(rule, bytes.size(), boundaries);
        if (offset) found.push_back({*offset, i});
    }
    std::stable_sort(found.begin(), found.end(), [](const TriggeredRule& left, const TriggeredRule& right) {
        return left.offset < right.offset;
    });
    return found;
}

void StreamFilter::on_bytes(Millis now, std::string_view bytes, std::vector<StreamAction>& actions) {
    if (has_ended_) {
        offset_ += bytes.size();
        return;
    }
    const std::uint64_t begin = offset_;
    for (const TriggeredRule& triggered : find_triggered(now, bytes)) {
        // The offset of a message boundary may precede the current offset, because the parser may need more
        // bytes to find it.
        const std::uint64_t until = std::max(triggered.offset, offset_);
        send(now, bytes.substr(offset_ - begin, until - offset_), actions);
        const Rule& rule = rules_.all()[triggered.rule];
        if (mark_applied(rule.name)) apply(now, rule, actions);
        if (has_ended_) {
            offset_ = begin + bytes.size();
            return;
        }
    }
    send(now, bytes.substr(offset_ - begin), actions);
}

void StreamFilter::apply(Millis now, const Rule& rule, std::vector<StreamAction>& actions) {
    earliest_next_ = std::max(earliest_next_, now);
    switch (rule.type) {
        case FaultType::reset:
            actions.push_back({StreamAction::Kind::reset, earliest_next_, {}});
            has_ended_ = true;
            break;
        case FaultType::half_close:
            actions.push_back({StreamAction::Kind::half_close, earliest_next_, {}});
            has_ended_ = true;
            break;
        case FaultType::silence:
            has_ended_ = true;
            break;
        case FaultType::stall:
            earliest_next_ += rules_.draw_delay(rule, link_, connection_, sent_chunks_);
            break;
        case FaultType::corrupt:
            bytes_to_corrupt_ += rule.corrupted_bytes;
            break;
        default:
            break;
    }
}

void StreamFilter::corrupt(std::string& bytes) {
    for (char& byte : bytes) {
        if (bytes_to_corrupt_ == 0) break;
        byte = static_cast<char>(byte ^ kCorruptionMask);
        --bytes_to_corrupt_;
    }
}

void StreamFilter::send(Millis now, std::string_view bytes, std::vector<StreamAction>& actions) {
    if (bytes.empty()) return;
    StreamAction action{StreamAction::Kind::send_bytes, now, std::string(bytes)};
    offset_ += bytes.size();
    ++sent_chunks_;
    corrupt(action.bytes);
    Millis delay = 0;
    Millis transmission = 0;
    for (const std::size_t i : rules_.stream_rules(link_, connection_)) {
        const Rule& rule = rules_.all()[i];
        if (!rule.is_active_at(now)) continue;
        if (rule.type == FaultType::delay) delay += rules_.draw_delay(rule, link_, connection_, sent_chunks_);
        if (rule.type == FaultType::limit_rate && rule.bytes_per_second > 0) {
            const auto size = static_cast<double>(bytes.size());
            transmission = std::max(transmission, kMillisPerSecond * size / rule.bytes_per_second);
        }
    }
    // Keeps all chunks in order, regardless of each chunk's own delay. Under a rate limit, transmission
    // starts when the previous chunk has been sent.
    earliest_next_ = std::max(now + delay, earliest_next_) + transmission;
    action.not_before = earliest_next_;
    actions.push_back(std::move(action));
}

void StreamFilter::on_end(Millis now, StreamAction::Kind kind, std::vector<StreamAction>& actions) {
    if (has_ended_) return;
    has_ended_ = true;
    earliest_next_ = std::max(earliest_next_, now);
    actions.push_back({kind, earliest_next_, {}});
}

}  // namespace elmbay::fault_proxy
