#include "simulator/action_writer.hpp"

#include <array>
#include <charconv>

namespace elmbay::balancer::wire {

namespace {

/// Decimals of a time in milliseconds. The simulator counts in microseconds.
constexpr int kTimeDecimals = 3;
/// Maximum length of a time in characters. Times of the simulator's clock need less than half of it.
constexpr std::size_t kMaxTimeLength = 40;

}  // namespace

void ActionWriter::operator()(const StartAttempt& action) {
    begin_for_request("DISPATCH", action.id);
    add_text("server", instance_.server_name(action.server));
    add_time("try-until-ms", action.attempt_deadline);
    instance_.attempt_started(action.id, action.server);
}

void ActionWriter::operator()(const Cancel& action) {
    begin_for_request("ABANDON", action.id);
    add_integer("hop", action.attempt);
}

void ActionWriter::operator()(const Reject& action) {
    begin_for_request("DECLINE", action.id);
    if (action.retry_after > 0) add_time("retry-in-ms", action.retry_after);
    instance_.end_request(action.id);
}

void ActionWriter::operator()(const Fail& action) {
    begin_for_request("GIVE_UP", action.id);
    instance_.end_request(action.id);
}

void ActionWriter::operator()(const SetTimer& action) {
    begin("AFTER");
    add_time("at-ms", action.at);
    add_integer("nonce", action.token);
}

void ActionWriter::operator()(const Subscribe& action) {
    begin("SUBSCRIBE");
    add_integer("active", action.active ? 1 : 0);
}

void ActionWriter::operator()(const Log& action) {
    begin("PRINT");
    // The text is the last field and extends to the end of the line, so it must not contain line breaks.
    add_text("words", "");
    if (action.server) reply_ += instance_.server_name(*action.server) + " ";
    for (const char character : action.text) {
        const bool ends_line = character == '\n' || character == '\r';
        reply_ += ends_line ? ' ' : character;
    }
}

void ActionWriter::begin(std::string_view kind) {
    reply_ += kind;
    add_text("who", instance_.name());
}

void ActionWriter::begin_for_request(std::string_view kind, RequestId id) {
    begin(kind);
    add_text("rid", instance_.request_name(id));
}

void ActionWriter::add_text(std::string_view field, std::string_view value) {
    reply_ += ' ';
    reply_ += field;
    reply_ += '=';
    reply_ += value;
}

void ActionWriter::add_integer(std::string_view field, std::uint64_t value) {
    add_text(field, std::to_string(value));
}

void ActionWriter::add_time(std::string_view field, Millis value) {
    std::array<char, kMaxTimeLength> digits{};
    const char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), value,
                                          std::chars_format::fixed, kTimeDecimals)
                                .ptr;
    add_text(field, {digits.data(), static_cast<std::size_t>(end - digits.data())});
}

}  // namespace elmbay::balancer::wire
