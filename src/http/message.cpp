#include "http/message.hpp"

namespace elmbay {

bool is_marked_unprocessed(const http::response_header<>& head) {
    const http::status status = head.result();
    const bool is_unavailable =
        status == http::status::service_unavailable || status == http::status::gateway_timeout;
    return is_unavailable && head["X-Unprocessed"] == "1";
}

std::string_view header_value(const http::fields& fields, const char* name) {
    const auto value = fields[name];
    return {value.data(), value.size()};
}

bool has_unambiguous_framing(const http::fields& fields) {
    const std::size_t length_count = fields.count(http::field::content_length);
    const std::size_t encoding_count = fields.count(http::field::transfer_encoding);
    if (length_count + encoding_count > 1) return false;
    return encoding_count == 0 || boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

}  // namespace elmbay
