#include "config/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>

#include "config/config_error.hpp"

namespace elmbay {

Endpoint parse_endpoint(const std::string& text, const std::string& field) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) throw ConfigError(field, FieldProblem::no_port_separator);

    std::uint16_t port = 0;
    const char* const text_end = text.data() + text.size();
    const auto [port_end, port_error] = std::from_chars(text.data() + colon + 1, text_end, port);
    const bool is_port = port_error == std::errc() && port_end == text_end;
    if (!is_port) throw ConfigError(field, FieldProblem::invalid_port);

    std::string host = text.substr(0, colon);
    const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (has_brackets) host = host.substr(1, host.size() - 2);
    boost::system::error_code address_error;
    const auto address = boost::asio::ip::make_address(host, address_error);
    if (address_error) throw ConfigError(field, FieldProblem::invalid_address);
    return {address, port};
}

PeerEndpoint parse_peer_endpoint(const std::string& text, const std::string& field) {
    const Endpoint endpoint = parse_endpoint(text, field);
    return {endpoint.address(), endpoint.port()};
}

}  // namespace elmbay
