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
    std::string act;
    std::string medium = "any";
    std::string law = "fixed";
    std::string where = "opening";
    std::string part = "begins";
    std::vector<std::string> from{"*"};
    std::vector<std::string> to{"*"};
    std::vector<std::string> groups;
    Millis at = 0;
    Millis lasts = 0;
    Millis every = 0;
    Millis span = 0;
    Millis jitter = 0;
    std::uint64_t first = 1;
    std::uint64_t last = 0;  ///< 0: any
    std::uint64_t before_byte = 0;
    std::uint64_t message = 1;
    std::uint64_t copies = 1;
    std::uint64_t behind = 1;
    std::uint64_t count = 1;
    double chance = 1;
    double rate = 0;
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
    std::string everybody;  ///< the broadcast address of the members; empty: any port of 127.0.0.1
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
