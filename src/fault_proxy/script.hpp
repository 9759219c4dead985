// A file of links and rules: TOML by one table of keys (schema.hpp), for `elmbay_fault_proxy` and for
// incidents.
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
#include <string>
#include <vector>

#include "fault_proxy/rules.hpp"
#include "schema/schema.hpp"

namespace elmbay::fault_proxy {

// A rule as a person writes it.
struct RuleSpec {
    std::string name, act, medium = "any", law = "fixed", where = "opening", part = "begins";
    std::vector<std::string> from{"*"}, to{"*"}, groups;
    Millis at = 0, lasts = 0, every = 0, span = 0, jitter = 0;
    std::uint64_t first = 1, last = 0, before_byte = 0, message = 1, copies = 1, behind = 1, count = 1;
    double chance = 1, rate = 0;
};
// The keys of [[rule]], for whoever takes rules into a file of its own.
const std::vector<schema::Key<RuleSpec>>& rule_keys();
// What a spec means; a problem for what can't be. number: from 1, names one that has no name.
Rule rule_of(const RuleSpec& spec, std::size_t number, std::uint32_t line, schema::Problems& problems);

struct LinkSpec {
    std::string from, to, listen, target;
};
struct MemberSpec {
    std::string name, listen, target;
};
struct Script {
    static constexpr std::size_t kMaxRules = 1000, kMaxLinks = 20000;  // what one machine plays
    std::uint64_t seed = 1;
    std::string everybody;  // address that reaches all members; none: none
    std::vector<LinkSpec> links;
    std::vector<MemberSpec> members;
    std::vector<Rule> rules;
};
// Never throws for what the file says: problems has a line for each that there is.
Script parse_script(const std::string& text, const std::string& file, schema::Problems& problems);
// "127.0.0.1:9000"; loopback only (throws std::invalid_argument).
boost::asio::ip::tcp::endpoint loopback_endpoint(const std::string& text);
std::string script_manual();

}  // namespace elmbay::fault_proxy
