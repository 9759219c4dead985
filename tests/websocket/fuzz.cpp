// Fuzz target (libFuzzer) for opening handshakes of clients and servers: for any head that a peer sends, the
// forwarded headers are bounded and well-formed. `.ci/run` builds it with clang and runs it for a short time.
#include <cstdint>
#include <cstdlib>
#include <cstring>

#include "heads.hpp"

using namespace elmbay;
using namespace elmbay::websocket;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t max_size);

// Replaces some inputs by a valid head before mutating them.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t max_size,
                                               unsigned seed) {
    if (seed % 16 == 0 || size == 0) {
        const std::string protocols = "\r\nSec-WebSocket-Protocol: a, b\r\n\r\n";
        const std::string head = seed % 32 == 0 ? test::request_head("\r\n\r\n", protocols)
                                                : test::response_head("\r\n\r\n", protocols);
        size = std::min(head.size(), max_size);
        std::memcpy(data, head.data(), size);
    }
    return LLVMFuzzerMutate(data, size, max_size);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const elmbay::balancer::DeploymentSettings deployment = test::deployment();
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto head = test::parsed_request(text); head && is_upgrade_request(*head)) {
        const auto offered = offered_subprotocols(*head);
        if (offered.size() > kMaxSubprotocols) std::abort();
        if (!validate_upgrade(*head, deployment, {})) {
            http::fields forwarded;
            add_forwarded_headers(forwarded, *head, 250);
            for (const auto& field : forwarded)
                if (field.value().find_first_of("\r\n") != std::string_view::npos) std::abort();
            if (forwarded.count("X-Correlation-Id") != 1 || forwarded.count("Sec-WebSocket-Extensions") != 0)
                std::abort();
            if ((forwarded.count("Sec-WebSocket-Protocol") == 1) != !offered.empty()) std::abort();
        }
    }
    if (const auto head = test::parsed_response(text)) {
        const ServerResponse response = evaluate_server_response(*head, {"a", "b"});
        const bool is_accepted = response.outcome == elmbay::balancer::Outcome::success;
        if (is_accepted && head->result_int() != 101) std::abort();
        if (!response.subprotocol.empty() &&
            (!is_accepted || (response.subprotocol != "a" && response.subprotocol != "b")))
            std::abort();
    }
    return 0;
}
