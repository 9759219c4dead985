#include "net/client_responses.hpp"

namespace elmbay {

HttpResponse text_response(http::status status, const char* text) {
    HttpResponse response(status, kHttp11);
    response.set(http::field::content_type, "text/plain");
    // RFC 6455, section 4.4: the response names the supported protocol version.
    if (status == http::status::upgrade_required) response.set(http::field::sec_websocket_version, "13");
    response.body() = text;
    return response;
}

}  // namespace elmbay
