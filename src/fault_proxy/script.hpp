// The file of links, members and rules that elmbay_fault_proxy runs: TOML, by one table of keys (schema.hpp).
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

/// A rule as a person writes it. Each field has the name of its key; rule_keys() says what it means.
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
    std::uint64_t last_number = 0;  ///< 0: any
    std::uint64_t trigger_byte = 0;
    std::uint64_t trigger_message = 1;
    std::uint64_t extra_copies = 1;
    std::uint64_t overtaken_by = 1;
    std::uint64_t corrupted_bytes = 1;
    double probability = 1;
    double bytes_per_second = 0;
};

/// @return the keys of [[rule]].
const std::vector<schema::Key<RuleSpec>>& rule_keys();

/// Translates a rule.
/// @param number   from 1; names a rule that has no name.
/// @param problems gets one more for each value that does not fit the others.
Rule rule_of(const RuleSpec& spec, std::size_t number, std::uint32_t line, schema::Problems& problems);

/// A [[link]] of streams.
struct LinkSpec {
    std::string from;
    std::string to;
    std::string listen;  ///< address:port
    std::string target;  ///< address:port
};

/// A [[member]] of the datagram net.
struct MemberSpec {
    std::string name;
    std::string listen;  ///< address:port where the others reach it
    std::string target;  ///< address:port where it listens
};

/// A whole file.
struct Script {
    static constexpr std::size_t kMaxRules = 1000;
    static constexpr std::size_t kMaxLinks = 20000;  ///< and members: what one machine plays

    std::uint64_t seed = 1;
    std::string broadcast;  ///< the broadcast address of the members; empty: any port of 127.0.0.1
    std::vector<LinkSpec> links;
    std::vector<MemberSpec> members;
    std::vector<Rule> rules;
};

/// Reads a file's text. Does not throw for what the file says.
/// @param problems gets one more for each thing that is wrong, with its line and key.
Script parse_script(const std::string& text, const std::string& file, schema::Problems& problems);

/// A text that is no address:port on loopback.
class AddressError : public std::invalid_argument {
public:
    using std::invalid_argument::invalid_argument;
};

/// @param text such as "127.0.0.1:9000".
/// @throws AddressError unless it is an address of 127.0.0.0/8 or ::1 and a port.
boost::asio::ip::tcp::endpoint loopback_endpoint(const std::string& text);

/// @return all keys of a file, for a person.
std::string script_manual();

}  // namespace elmbay::fault_proxy
