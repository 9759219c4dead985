// A small language for tests of many processes: start so many sidecars, put rules on the links between them,
// servers, the list and callers, freeze and kill, wait for events, ask each process what it believes. After
// every step of the loop the request_history is looked at; what it holds against the testbed ends the wait.
//
//     ProcessTestbed testbed({.sidecars = 3, .servers = 2, .program = ELMBAY_PROGRAM});
//     testbed.start();
//     const auto id = testbed.ask(0, "deposit");
//     testbed.ground().put({.name = "cut", .from = {"s-*"}, .to = {"n-0"}, .act = Act::cut});
//     ASSERT_TRUE(testbed.until([&] { return testbed.ended(id); })) << testbed.story(id);
//
// Names: sidecars n-0 ..., servers s-0 ..., the list "list", callers of n-I c-I. Links: c-I -> n-I,
// n-I -> s-J, n-I -> list; between sidecars datagrams. Everything runs in one loop and one thread; nothing
// sleeps. The destructor ends every process that it started, and they end with this one whatever happens.
#pragma once

#include <filesystem>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/stream_link.hpp"
#include "process_testbed/process.hpp"
#include "process_testbed/request_history.hpp"

namespace elmbay::process_testbed {

namespace asio = boost::asio;
using fault_proxy::tcp;
using fault_proxy::udp;
using nlohmann::json;

struct Options {
    std::size_t sidecars = 3, servers = 2;  // 700 and 2,000 at most: addresses
    std::string program;                    // the command that starts a sidecar
    std::uint64_t seed = 1;                 // of the rules' chance, and of the sidecars
    Millis patience = 3000;  // of a caller, unless it says otherwise; give-up of every class as well
    Millis latency_objective = 1500;
    std::size_t sockets = 256;
    bool cluster = false;            // whether they know each other
    bool status = true;              // each process tells what it believes on a Unix socket
    json settings = json::object();  // merged over the usual ones
};

// What a server does with a request.
enum class ServerBehavior {
    serve,      // answers after `delay`
    hold,       // does the work and answers once release() is called
    fail,       // 500
    turn_away,  // 503, unseen
    mute        // does the work and never answers
};

class Server;
class ListService;
class Client;

class ProcessTestbed {
public:
    static constexpr Millis kReadyWithin = 30000,
                            kWaitWithin = 60000;  // far beyond what a busy machine needs

    explicit ProcessTestbed(Options options);
    ~ProcessTestbed();
    ProcessTestbed(const ProcessTestbed&) = delete;
    ProcessTestbed& operator=(const ProcessTestbed&) = delete;

    // All sidecars, until each answers GET /up. Throws std::runtime_error with what one said if it does not.
    void start();

    fault_proxy::EventLoopContext& context() { return context_; }
    fault_proxy::DatagramNet& datagrams() { return *datagrams_; }
    fault_proxy::StreamLink& link(const std::string& from, const std::string& to);
    Millis now() const { return context_.now(); }
    RequestHistory& request_history() { return request_history_; }
    std::size_t sidecars() const { return sidecars_.size(); }
    std::size_t servers() const { return servers_.size(); }

    // ---- processes
    void freeze(std::size_t sidecar);
    void thaw(std::size_t sidecar);
    // On for `share` of every 20 ms from now on; 1: as usual again.
    void starve(std::size_t sidecar, double share);
    void kill(std::size_t sidecar);
    void terminate(std::size_t sidecar);
    // After kill(), or once it has ended. command: another build; operator_file: added to its own.
    void restart(std::size_t sidecar, const std::string& command = "", const std::string& operator_file = "");
    bool running(std::size_t sidecar) const;
    bool ready(std::size_t sidecar) const;
    Process& process(std::size_t sidecar);
    udp::endpoint peer_listen_of(std::size_t sidecar) const { return sidecars_.at(sidecar).peer_listen; }
    tcp::endpoint listen_of(std::size_t sidecar) const { return sidecars_.at(sidecar).listen; }
    // What it believes, within kWaitWithin; null if nothing listens.
    json status(std::size_t sidecar);
    // Whether it holds no more descriptors than it counts and kOwnDescriptors; waits a while for it to close.
    static constexpr std::size_t kOwnDescriptors = 24;  // as many as it reserves for itself, src/sidecar
    bool descriptors_accounted(std::size_t sidecar);
    // Written for its next start.
    void configure(std::size_t sidecar);

    // ---- callers
    struct ClientRequest {
        std::string request_class = "listen";  // deposit, annotate
        Millis patience = 0;                   // 0: that of the options
        Millis leaves = 0;                     // closes its connection after so long; 0: stays
        std::string key{};                     // of annotate; empty: its own
    };
    std::string ask(std::size_t sidecar, const std::string& request_class) {
        return ask(sidecar, ClientRequest{request_class});
    }
    std::string ask(std::size_t sidecar, const ClientRequest& ask);
    bool ended(const std::string& id) const;
    std::optional<RequestHistory::Answer> answer(const std::string& id) const;

    // ---- servers and their list
    Server& server(std::size_t number);
    std::size_t add_server();  // a new one, listed at once
    // "active", "leaving" or "left", told to every sidecar that watches.
    void list(std::size_t server, const std::string& state);

    // ---- waiting
    // Runs the loop until it holds; false after kWaitWithin, or at the first broken rule.
    bool until(const std::function<bool()>& holds);
    // Runs it for so long: only for what must not happen meanwhile.
    bool quiet_for(Millis span);
    // Everything asked has its end, and the request_history has nothing against the testbed.
    bool settle();
    std::string violations() const;
    // For a failure's message: the broken rules and the interleaved history of whom it concerns.
    std::string explain(const std::string& id = "");

private:
    friend class Client;
    struct Sidecar {
        std::unique_ptr<Process> process;
        tcp::endpoint listen;
        udp::endpoint peer_listen;
        std::string operator_file;
        std::vector<tcp::socket> kept;  // its callers' connections that no request is open on
        double share = 1;
        fault_proxy::EventLoopContext::Key duty{};
        bool ready = false, may_end = false;
        std::uint64_t life = 0;
    };
    struct Outcome {
        bool ended = false;
        std::optional<RequestHistory::Answer> answer;
    };

    static std::string sidecar_name(std::size_t i) { return "n-" + std::to_string(i); }
    static std::string server_name(std::size_t i) { return "s-" + std::to_string(i); }
    asio::ip::address_v4 address(std::uint32_t host) const;
    // listen: the address at which `from` finds it; the target's if left out.
    void add_link(const std::string& from, const std::string& to, tcp::endpoint target,
                  std::optional<asio::ip::address> listen = {});
    void watch_attempts(fault_proxy::StreamLink& link, const std::string& sidecar, const std::string& server);
    void watch_list(fault_proxy::StreamLink& link, const std::string& sidecar);
    void keep_connection(std::size_t sidecar, tcp::socket socket);
    std::optional<tcp::socket> kept_connection(std::size_t sidecar);
    void look_ready(std::size_t sidecar);
    void look_processes();
    void note_ended();
    void duty(std::size_t sidecar, bool on);
    std::string status_path(std::size_t sidecar) const;
    bool step(Millis until);

    const Options options_;
    const std::uint32_t run_;  // picks a part of loopback, so that nothing else answers there
    std::filesystem::path folder_;
    asio::io_context io_{1};
    fault_proxy::EventLoopContext context_;
    RequestHistory request_history_;
    std::map<fault_proxy::Link, std::unique_ptr<fault_proxy::StreamLink>> links_;
    std::unique_ptr<fault_proxy::DatagramNet> datagrams_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<ListService>> lists_;  // by sidecar
    std::vector<std::weak_ptr<Client>> clients_;
    std::vector<Sidecar> sidecars_;
    std::map<std::string, Outcome> outcomes_;
    std::uint64_t next_id_ = 0;
    bool broken_ = false;
};

// An archive server that does what it is told.
class Server {
public:
    Server(ProcessTestbed& testbed, std::string name, tcp::endpoint listen);
    ~Server();

    ServerBehavior behavior = ServerBehavior::serve;
    Millis delay = 0;
    std::size_t body = 0;  // bytes of an answer beside its first line

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    const std::string& name() const { return name_; }
    std::uint64_t requests() const { return requests_; }  // that came whole
    std::size_t holding() const { return held_.size(); }
    void release();  // answers what is held

private:
    class Connection;
    friend class Connection;
    void accept();
    void arrived(const std::shared_ptr<Connection>& connection, const std::string& id);

    ProcessTestbed& testbed_;
    const std::string name_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::list<std::pair<std::shared_ptr<Connection>, std::string>> held_;
    std::uint64_t requests_ = 0;
};

}  // namespace elmbay::process_testbed
