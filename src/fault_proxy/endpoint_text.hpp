// Formats socket addresses as text.
#pragma once

#include <string>

namespace elmbay::fault_proxy {

/// @return "ADDRESS:PORT" of a TCP or UDP endpoint.
template <class Endpoint>
std::string text_of(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace elmbay::fault_proxy
