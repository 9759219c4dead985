// elmbay_fault_proxy: runs TCP and UDP links with faults on loopback, from a file or for a single link.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/endpoint_text.hpp"
#include "fault_proxy/script.hpp"
#include "fault_proxy/stream_link.hpp"

namespace {

namespace asio = boost::asio;
namespace fault_proxy = elmbay::fault_proxy;
namespace schema = elmbay::schema;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsageError = 2;

enum class Command { run, check, link, keys };

/// The parsed command line.
struct Arguments {
    Command command = Command::run;
    std::string file;                                         // for run and check
    fault_proxy::LinkSpec link{"a", "b", "127.0.0.1:0", ""};  // for link
    std::vector<std::string> rules;                           // for link, as TOML keys
};

/// Parses the command line.
/// @return the arguments; none if the program must exit. Then `exit_code` is set and all output has been
/// printed.
std::optional<Arguments> parse(int argc, char** argv, int& exit_code) {
    Arguments arguments;
    CLI::App app{
        "Forwards connections and datagrams on loopback and injects the faults of its rules.\n"
        "SIGHUP reloads the rules; SIGTERM ends the program and prints traffic totals."};
    app.set_version_flag("--version", "elmbay_fault_proxy " ELMBAY_VERSION);
    app.footer("Exit status: 0 success, 1 an address cannot be bound, 2 invalid command line or file.");
    auto* run = app.add_subcommand("run", "run the links and rules of a file (docs/operate/fault-proxy.md)");
    run->add_option("file", arguments.file)->required();
    auto* check = app.add_subcommand("check", "print the problems of a file");
    check->add_option("file", arguments.file)->required();
    auto* link = app.add_subcommand("link", "run one link, from a to b");
    link->add_option("--listen", arguments.link.listen, "address:port; port 0 selects a free port")
        ->capture_default_str();
    link->add_option("--target", arguments.link.target, "address:port")->required();
    link->add_option("--rule", arguments.rules,
                     R"(a rule as TOML keys: 'act = "delay", span = "20ms"'; may be repeated)");
    auto* keys = app.add_subcommand("keys", "print all keys of a file");
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        exit_code = app.exit(error) == 0 ? kExitOk : kExitUsageError;
        return {};
    }
    if (*check) arguments.command = Command::check;
    if (*link) arguments.command = Command::link;
    if (*keys) arguments.command = Command::keys;
    return arguments;
}

/// Parses a script and prints its problems.
/// @return the script; none if it has problems.
std::optional<fault_proxy::Script> parse_script(const std::string& text, const std::string& name,
                                                schema::Problems problems = {}) {
    fault_proxy::Script script;
    if (problems.empty()) script = fault_proxy::parse_script(text, name, problems);
    std::cerr << schema::format_problems(name, problems);
    if (!problems.empty()) return {};
    return script;
}

/// Reads a script from a file and prints its problems.
/// @return the script; none if it has problems.
std::optional<fault_proxy::Script> read_script(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    schema::Problems problems;
    if (!file) problems.push_back({0, "", "the file could not be read"});
    return parse_script(text.str(), path, problems);
}

/// Creates a script from the link and the rules of the command line.
std::optional<fault_proxy::Script> script_of_link(const Arguments& arguments) {
    std::string text = "rule = [";
    for (const std::string& rule : arguments.rules) text += "{" + rule + "},";
    text += "]\n";
    auto script = parse_script(text, "--rule");
    if (script) script->links.push_back(arguments.link);
    return script;
}

fault_proxy::udp::endpoint loopback_udp_endpoint(const std::string& text) {
    const auto endpoint = fault_proxy::loopback_endpoint(text);
    return {endpoint.address(), endpoint.port()};
}

/// Runs the links and members of a script until SIGTERM or SIGINT. SIGHUP reloads the rules.
class Proxy {
public:
    /// @param path file that SIGHUP reloads; empty: none.
    /// @throws std::invalid_argument       if an address is invalid.
    /// @throws boost::system::system_error if an address cannot be bound.
    Proxy(fault_proxy::Script script, std::string path)
        : path_(std::move(path)),
          context_(io_, script.seed),
          end_signals_(io_, SIGTERM, SIGINT),
          reload_signal_(io_, SIGHUP) {
        context_.replace_rules(std::move(script.rules));
        for (const fault_proxy::LinkSpec& spec : script.links) add_link(spec);
        if (!script.members.empty()) add_members(script);
    }

    void run() {
        end_signals_.async_wait([this](boost::system::error_code error, int) {
            if (!error) io_.stop();
        });
        wait_for_reload();
        context_.restart_clock();
        std::cout << "ready" << std::endl;
        io_.run();
        report();
    }

private:
    void add_link(const fault_proxy::LinkSpec& spec) {
        links_.push_back(std::make_unique<fault_proxy::StreamLink>(
            context_, fault_proxy::Link{spec.from, spec.to}, fault_proxy::loopback_endpoint(spec.listen),
            fault_proxy::loopback_endpoint(spec.target)));
        std::cout << spec.from << " -> " << spec.to << " at "
                  << fault_proxy::text_of(links_.back()->endpoint()) << std::endl;
    }
    void add_members(const fault_proxy::Script& script) {
        const std::string broadcast = script.broadcast.empty() ? "127.0.0.1:0" : script.broadcast;
        datagram_net_ =
            std::make_unique<fault_proxy::DatagramNet>(context_, loopback_udp_endpoint(broadcast));
        for (const fault_proxy::MemberSpec& member : script.members) {
            datagram_net_->add(member.name, loopback_udp_endpoint(member.listen),
                               loopback_udp_endpoint(member.target));
        }
        std::cout << script.members.size() << " datagram members" << std::endl;
    }
    void wait_for_reload() {
        reload_signal_.async_wait([this](boost::system::error_code error, int) {
            if (error) return;
            reload();
            wait_for_reload();
        });
    }
    // Replaces the rules with those of the file and restarts their clock. Links and members stay the same. An
    // invalid file changes nothing.
    void reload() {
        if (path_.empty()) return;
        auto script = read_script(path_);
        if (!script) return;
        context_.replace_rules(std::move(script->rules));
        context_.restart_clock();
        std::cout << "rules reloaded: " << context_.rules().all().size() << std::endl;
    }
    void report() const {
        for (const auto& link : links_) {
            std::cout << link->link().from << " -> " << link->link().to << ": " << link->opened_connections()
                      << " connections, " << link->bytes_to_target() << " bytes to target, "
                      << link->bytes_to_client() << " bytes to client" << std::endl;
        }
        if (!datagram_net_) return;
        const auto total = datagram_net_->total_counts();
        std::cout << "datagrams: " << total.sent << " sent, " << total.delivered << " delivered, "
                  << total.bytes_delivered << " bytes; " << datagram_net_->unknown_senders()
                  << " from unknown senders" << std::endl;
    }

    asio::io_context io_{1};
    const std::string path_;
    fault_proxy::EventLoopContext context_;
    std::vector<std::unique_ptr<fault_proxy::StreamLink>> links_;
    std::unique_ptr<fault_proxy::DatagramNet> datagram_net_;
    asio::signal_set end_signals_;
    asio::signal_set reload_signal_;
};

int run(const Arguments& arguments) {
    if (arguments.command == Command::keys) {
        std::cout << fault_proxy::script_manual();
        return kExitOk;
    }
    const bool is_link = arguments.command == Command::link;
    std::optional<fault_proxy::Script> script =
        is_link ? script_of_link(arguments) : read_script(arguments.file);
    if (!script) return kExitUsageError;
    if (arguments.command == Command::check) {
        std::cout << arguments.file << ": valid" << std::endl;
        return kExitOk;
    }
    Proxy(std::move(*script), arguments.file).run();
    return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
    int exit_code = kExitOk;
    const std::optional<Arguments> arguments = parse(argc, argv, exit_code);
    if (!arguments) return exit_code;
    try {
        return run(*arguments);
    } catch (const std::invalid_argument& error) {
        std::cerr << "elmbay_fault_proxy: " << error.what() << std::endl;
        return kExitUsageError;
    } catch (const std::exception& error) {
        std::cerr << "elmbay_fault_proxy: " << error.what() << std::endl;
        return kExitFailed;
    }
}
