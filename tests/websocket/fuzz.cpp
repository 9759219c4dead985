// libFuzzer on opening handshakes, both sides: whatever a peer's head says, what is forwarded of it is
// bounded and well-formed. `.ci/run` builds it with clang and gives it a short run.
#include <cstdint>
#include <cstdlib>
#include <cstring>

#include "heads.hpp"

using namespace elmbay;
using namespace elmbay::websocket;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

// Sometimes replaces the input by a valid head, and mutates that.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned seed) {
    if (seed % 16 == 0 || size == 0) {
        const std::string protocols = "\r\nSec-WebSocket-Protocol: a, b\r\n\r\n";
        const std::string head = seed % 32 == 0 ? test::request_head("\r\n\r\n", protocols)
                                                : test::response_head("\r\n\r\n", protocols);
        size = std::min(head.size(), most);
        std::memcpy(data, head.data(), size);
    }
    return LLVMFuzzerMutate(data, size, most);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const elmbay::balancer::DeploymentSettings deployment = test::deployment();
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto head = test::parsed_request(text); head && is_upgrade_request(*head)) {
        const auto offered = offered_subprotocols(*head);
        if (offered.size() > kMaxSubprotocols) std::abort();
        if (!validate_upgrade(*head, deployment, {})) {
            http::fields into;
            add_forwarded_headers(into, *head, 250);
            for (const auto& f : into)
                if (f.value().find_first_of("\r\n") != std::string_view::npos) std::abort();
            if (into.count("X-Correlation-Id") != 1 || into.count("Sec-WebSocket-Extensions") != 0)
                std::abort();
            if ((into.count("Sec-WebSocket-Protocol") == 1) != !offered.empty()) std::abort();
        }
    }
    if (const auto head = test::parsed_response(text)) {
        const ServerResponse got = evaluate_server_response(*head, {"a", "b"});
        const bool stands = got.outcome == elmbay::balancer::Outcome::success;
        if (stands && head->result_int() != 101) std::abort();
        if (!got.subprotocol.empty() && (!stands || (got.subprotocol != "a" && got.subprotocol != "b")))
            std::abort();
    }
    return 0;
}
