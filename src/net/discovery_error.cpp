#include "net/discovery_error.hpp"

#include <string>

namespace elmbay {

namespace {

class DiscoveryCategory final : public std::error_category {
public:
    const char* name() const noexcept override { return "discovery"; }
    std::string message(int condition) const override {
        switch (static_cast<DiscoveryError>(condition)) {
            case DiscoveryError::no_socket:
                return "no descriptor available for the call";
            case DiscoveryError::connect_failed:
                return "connecting to the service failed";
            case DiscoveryError::connection_broken:
                return "the connection was reset or ended within a message";
            case DiscoveryError::connection_closed:
                return "the service closed the connection";
            case DiscoveryError::unexpected_status:
                return "the service responded with a status other than 200";
            case DiscoveryError::line_too_long:
                return "the service sent a line of more than 4 MiB";
            case DiscoveryError::invalid_list:
                return "the service sent a list that cannot be parsed";
            case DiscoveryError::version_reset:
                return "the service sent a change of an earlier version than the current list";
            case DiscoveryError::timed_out:
                return "the service sent no complete response or line within the timeout";
        }
        return "unknown error";
    }
};

}  // namespace

const std::error_category& discovery_category() noexcept {
    static const DiscoveryCategory kCategory;
    return kCategory;
}

std::error_code make_error_code(DiscoveryError error) noexcept {
    return {static_cast<int>(error), discovery_category()};
}

}  // namespace elmbay
