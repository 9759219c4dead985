// elmbay_fault_proxy: TCP and UDP links on loopback with faults on them, by a file or for one link.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/script.hpp"
#include "fault_proxy/stream_link.hpp"

namespace {

using namespace elmbay::fault_proxy;
namespace asio = boost::asio;

// Nothing, and every problem told, if the file can't be used.
std::optional<Script> read_script(const std::string& path) {
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    elmbay::schema::Problems problems;
    if (!file) problems.push_back({0, "", "can't be read"});
    Script script = problems.empty() ? parse_script(text.str(), path, problems) : Script{};
    std::cerr << elmbay::schema::text_of(path, problems);
    if (!problems.empty()) return {};
    return script;
}

std::string text_of(const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
}

class Program {
public:
    Program(Script script, std::string path)
        : path_(std::move(path)),
          context_(io_, script.seed),
          ends_(io_, SIGTERM, SIGINT),
          again_(io_, SIGHUP) {
        context_.replace_all(std::move(script.rules));
        for (const LinkSpec& l : script.links) {
            links_.push_back(std::make_unique<StreamLink>(
                context_, Link{l.from, l.to}, loopback_endpoint(l.listen), loopback_endpoint(l.target)));
            std::cout << l.from << " -> " << l.to << " at " << text_of(links_.back()->endpoint())
                      << std::endl;
        }
        if (script.members.empty()) return;
        const auto udp_of = [](const std::string& text) {
            const auto e = loopback_endpoint(text);
            return udp::endpoint(e.address(), e.port());
        };
        net_ = std::make_unique<DatagramNet>(
            context_, udp_of(script.everybody.empty() ? "127.0.0.1:0" : script.everybody));
        for (const MemberSpec& m : script.members) net_->add(m.name, udp_of(m.listen), udp_of(m.target));
        std::cout << script.members.size() << " members of datagrams" << std::endl;
    }
    int run() {
        ends_.async_wait([this](boost::system::error_code error, int) {
            if (!error) io_.stop();
        });
        await_reload();
        context_.begin();
        std::cout << "ready" << std::endl;
        io_.run();
        tell();
        return 0;
    }

private:
    // SIGHUP: the rules of the file anew, their times from now. Links and members stay; a bad file changes
    // nothing.
    void await_reload() {
        again_.async_wait([this](boost::system::error_code error, int) {
            if (error) return;
            if (auto script = path_.empty() ? std::nullopt : read_script(path_)) {
                context_.replace_all(std::move(script->rules));
                context_.begin();
                std::cout << "rules read again: " << context_.rules().all().size() << std::endl;
            }
            await_reload();
        });
    }
    void tell() const {
        for (const auto& l : links_)
            std::cout << l->link().from << " -> " << l->link().to << ": " << l->opened() << " connections, "
                      << l->bytes_forth() << " bytes there, " << l->bytes_back() << " back" << std::endl;
        if (!net_) return;
        const auto all = net_->total();
        std::cout << "datagrams: " << all.sent << " sent, " << all.delivered << " delivered, " << all.bytes
                  << " bytes; " << net_->strangers() << " from strangers" << std::endl;
    }

    asio::io_context io_{1};
    const std::string path_;
    EventLoopContext context_;
    std::vector<std::unique_ptr<StreamLink>> links_;
    std::unique_ptr<DatagramNet> net_;
    asio::signal_set ends_, again_;
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{
        "Stands between two ends on loopback and does to their bytes and datagrams what its rules say.\n"
        "SIGHUP reads the rules again; SIGTERM ends it and tells what went by."};
    app.set_version_flag("--version", "elmbay_fault_proxy " ELMBAY_VERSION);
    app.footer("Exit: 0 ended as told, 1 an address can't be had, 2 wrong use or a file that can't be used.");
    std::string file;
    LinkSpec one{"a", "b", "127.0.0.1:0", ""};
    std::vector<std::string> acts;
    auto* run = app.add_subcommand("run", "the links and rules of a file (docs/operate/fault-proxy.md)");
    run->add_option("file", file)->required();
    auto* check = app.add_subcommand("check", "says what is wrong with a file");
    check->add_option("file", file)->required();
    auto* link = app.add_subcommand("link", "one link, from a to b");
    link->add_option("--listen", one.listen, "address:port; port 0 takes any")->capture_default_str();
    link->add_option("--target", one.target, "address:port")->required();
    link->add_option("--rule", acts,
                     "a rule as keys of TOML: 'act = \"delay\", span = \"20ms\"'; again for more");
    auto* keys = app.add_subcommand("keys", "every key of a file");
    app.require_subcommand(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : 2;
    }
    if (*keys) {
        std::cout << script_manual();
        return 0;
    }
    std::optional<Script> script;
    if (*link) {
        std::string text = "rule = [";
        for (const std::string& act : acts) text += "{" + act + "},";
        text += "]\n";
        elmbay::schema::Problems problems;
        script = parse_script(text, "--rule", problems);
        std::cerr << elmbay::schema::text_of("--rule", problems);
        if (!problems.empty()) return 2;
        script->links.push_back(one);
    } else {
        script = read_script(file);
        if (!script) return 2;
        if (*check) {
            std::cout << file << ": sound" << std::endl;
            return 0;
        }
    }
    try {
        return Program(std::move(*script), file).run();
    } catch (const std::invalid_argument& error) {
        std::cerr << "elmbay_fault_proxy: " << error.what() << std::endl;
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "elmbay_fault_proxy: " << error.what() << std::endl;
        return 1;
    }
}
