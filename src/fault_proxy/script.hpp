// The file of links, members and rules that elmbay_fault_proxy runs: TOML, read with the key tables below
// (schema.hpp).
//
//     [[link]]
//     from = "n-0"
//     to = "s-0"
//     listen = "127.0.0.1:9100"
//     target = "127.0.0.1:9000"
//
//     [[rule]]
//     act = "reset"
//     from = "s-0"
//     to = "n-0"
//     before_byte = 17
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "fault_proxy/rules.hpp"
#include "schema/schema.hpp"

namespace elmbay::fault_proxy {

/// A rule as written in the file. rule_keys() gives the key and the meaning of each field.
struct RuleSpec {
    std::string name;
    std::string fault_type;
    std::string medium = "any";
    std::string distribution = "fixed";
    std::string trigger = "opening";
    std::string trigger_point = "begins";
    std::vector<std::string> from{"*"};
    std::vector<std::string> to{"*"};
    std::vector<std::string> groups;
    Millis starts_at = 0;
    Millis duration = 0;
    Millis period = 0;
    Millis delay = 0;
    Millis jitter = 0;
    std::uint64_t first_number = 1;
    std::uint64_t last_number = 0;  ///< 0: no limit
    std::uint64_t trigger_byte = 0;
    std::uint64_t trigger_message = 1;
    std::uint64_t extra_copies = 1;
    std::uint64_t overtaken_by = 1;
    std::uint64_t corrupted_bytes = 1;
    double probability = 1;
    double bytes_per_second = 0;
};

/// @return the keys of a [[rule]] table.
const std::vector<schema::Key<RuleSpec>>& rule_keys();

/// Converts a rule as written in the file.
/// @param number   1-based number of the rule; an unnamed rule is named after it.
/// @param problems receives one problem for each value that contradicts other values.
Rule rule_of(const RuleSpec& spec, std::size_t number, std::uint32_t line, schema::Problems& problems);

/// A [[link]] table: a link for streams.
struct LinkSpec {
    std::string from;
    std::string to;
    std::string listen;  ///< address:port
    std::string target;  ///< address:port
};

/// A [[member]] table: a member of the datagram network.
struct MemberSpec {
    std::string name;
    std::string listen;  ///< address:port at which other members reach it
    std::string target;  ///< address:port on which it listens
};

/// The content of a whole file.
struct Script {
    static constexpr std::size_t kMaxRules = 1000;
    static constexpr std::size_t kMaxLinks =
        20000;  ///< also the maximum number of members; what one host can run

    std::uint64_t seed = 1;
    std::string broadcast;  ///< broadcast address of the members; empty: a free port of 127.0.0.1
    std::vector<LinkSpec> links;
    std::vector<MemberSpec> members;
    std::vector<Rule> rules;
};

/// Parses the text of a file. Errors in the text are reported, not thrown.
/// @param problems receives each error with its line and key.
Script parse_script(const std::string& text, const std::string& file, schema::Problems& problems);

/// A text is not an address:port on loopback.
class AddressError : public std::invalid_argument {
public:
    using std::invalid_argument::invalid_argument;
};

/// @param text such as "127.0.0.1:9000".
/// @throws AddressError unless it is an address of 127.0.0.0/8 or ::1 and a port.
boost::asio::ip::tcp::endpoint loopback_endpoint(const std::string& text);

/// @return a description of all keys of a file, for users.
std::string script_manual();

}  // namespace elmbay::fault_proxy
