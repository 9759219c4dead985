#include "http/message.hpp"

namespace elmbay {

bool says_unprocessed(const http::response_header<>& head) {
    return (head.result_int() == 503 || head.result_int() == 504) && head["X-Unprocessed"] == "1";
}

std::string_view field(const http::fields& fields, const char* name) {
    const auto value = fields[name];
    return {value.data(), value.size()};
}

bool framing_is_clear(const http::fields& fields) {
    const std::size_t lengths = fields.count(http::field::content_length);
    const std::size_t codings = fields.count(http::field::transfer_encoding);
    if (lengths + codings > 1) return false;
    return codings == 0 || boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

}  // namespace elmbay
