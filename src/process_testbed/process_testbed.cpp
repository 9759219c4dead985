#include "process_testbed/process_testbed.hpp"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <random>
#include <stdexcept>

#include "process_testbed/request_reader.hpp"

namespace elmbay::process_testbed {

namespace http = boost::beast::http;
using Error = boost::system::error_code;
using fault_proxy::Link;

namespace {

constexpr std::uint64_t kMaxMessage = 4 << 20;
constexpr Millis kReadyLook = 20, kProcessLook = 10, kDutyRound = 20;
constexpr Millis kLateAnswer = 500;     // "up to half a second after its time it only earns nothing"
constexpr std::size_t kLogShown = 600;  // of a sidecar's log, when it does not come up

std::string text_of(const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
}

}  // namespace

// ---- a server ---------------------------------------------------------------------------------------------

class Server::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Server& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {
        Error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
    }
    void read() {
        parser_.emplace();
        parser_->body_limit(kMaxMessage);
        http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](Error error, std::size_t) {
            if (!self->server_) return;
            if (error) return self->drop();
            self->server_->arrived(self, std::string(self->parser_->get()["X-Correlation-Id"]));
        });
    }
    void respond(const std::string& status, const std::string& headers, const std::string& body) {
        if (!server_) return;
        const auto text = std::make_shared<std::string>("HTTP/1.1 " + status + "\r\n" + headers +
                                                        "Content-Length: " + std::to_string(body.size()) +
                                                        "\r\n\r\n" + body);
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](Error error, std::size_t) {
                              if (self->server_ && !error) self->read();
                          });
    }
    void drop() {
        if (!server_) return;
        Error ignored;
        socket_.close(ignored);
        std::exchange(server_, nullptr)->connections_.erase(shared_from_this());
    }

private:
    Server* server_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxMessage};
    std::optional<http::request_parser<http::string_body>> parser_;
};

Server::Server(ProcessTestbed& testbed, std::string name, tcp::endpoint listen)
    : testbed_(testbed), name_(std::move(name)), acceptor_(testbed.context().io(), listen) {
    accept();
}

Server::~Server() {
    for (const auto& connection : std::set(connections_)) connection->drop();
}

void Server::accept() {
    acceptor_.async_accept([this](Error error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            const auto connection = std::make_shared<Connection>(*this, std::move(socket));
            connections_.insert(connection);
            connection->read();
        }
        accept();
    });
}

void Server::arrived(const std::shared_ptr<Connection>& connection, const std::string& id) {
    ++requests_;
    const Millis now = testbed_.now();
    if (behavior == ServerBehavior::turn_away) {
        testbed_.request_history().turned_away(now, id, name_);
        return connection->respond("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
    }
    if (behavior == ServerBehavior::fail)
        return connection->respond("500 Internal Server Error", "", "failed\n");
    testbed_.request_history().done(now, id, name_);
    if (behavior == ServerBehavior::mute) return;
    const std::string text = id + " " + name_ + "\n" + std::string(body, 'x');
    if (behavior == ServerBehavior::hold) {
        held_.emplace_back(connection, text);
    } else if (delay <= 0) {
        connection->respond("200 OK", "Content-Type: text/plain\r\n", text);
    } else {
        testbed_.context().at(now + delay, [connection, text] {
            connection->respond("200 OK", "Content-Type: text/plain\r\n", text);
        });
    }
}

void Server::release() {
    for (const auto& [connection, text] : std::exchange(held_, {}))
        connection->respond("200 OK", "Content-Type: text/plain\r\n", text);
}

// ---- the list ---------------------------------------------------------------------------------------------

// PROTOCOL's "Discovery" as one sidecar reaches it: the whole list and a watch, with endpoints of its own.
class ListService {
public:
    static constexpr Millis kQuietLine = 2000;

    ListService(ProcessTestbed& testbed, std::string sidecar, tcp::endpoint listen)
        : testbed_(testbed), sidecar_(std::move(sidecar)), acceptor_(testbed.context().io(), listen) {
        accept();
        quiet();
    }
    ~ListService() { *here_ = false; }

    tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    void set(const std::string& uid, const std::string& state, Millis boot) {
        entries_[uid] = {state, boot};
        ++rev_;
        for (const auto& watcher : std::list(watchers_)) watcher->change(uid);
    }
    json list(const std::string& only = "") const {
        json targets = json::array();
        std::uint32_t number = 0;
        for (const auto& [uid, entry] : entries_) {
            ++number;
            if (only.empty() ? entry.state == "left" : uid != only) continue;
            targets.push_back({{"uid", uid},
                               {"endpoint", text_of(testbed_.link(sidecar_, uid).endpoint())},
                               {"az", std::string(1, static_cast<char>('a' + number % 3))},
                               {"model", "m"},
                               {"pod_group", 0},
                               {"state", entry.state},
                               {"boot_ms", entry.boot}});
        }
        return {{"rev", rev_}, {"all", only.empty()}, {"targets", targets}};
    }

private:
    struct Entry {
        std::string state;
        Millis boot = 0;
    };
    struct Watcher : std::enable_shared_from_this<Watcher> {
        Watcher(ListService& s, tcp::socket socket) : service(s), socket(std::move(socket)) {}
        void read() {
            request = {};
            http::async_read(this->socket, buffer, request,
                             [self = shared_from_this(), here = service.here_](Error error, std::size_t) {
                                 if (!*here) return;
                                 if (error) {
                                     self->service.watchers_.remove(self);
                                     return;
                                 }
                                 self->answer();
                                 self->read();
                             });
        }
        void answer() {
            const std::string list = service.list().dump();
            if (std::string(request.target()).find("stream=1") == std::string::npos)
                return send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                            list);
            watching = true;
            send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            line(list);
        }
        void change(const std::string& uid) {
            if (watching) line(service.list(uid).dump());
        }
        void line(const std::string& text) {
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size() + 1);
            send(size + text + "\n\r\n");
        }
        void send(const std::string& text) {
            waiting += text;
            if (!writing) write();
        }
        void write() {
            writing = true;
            const auto now = std::make_shared<std::string>(std::exchange(waiting, {}));
            asio::async_write(socket, asio::buffer(*now),
                              [self = shared_from_this(), now](Error error, std::size_t) {
                                  self->writing = false;
                                  if (!error && !self->waiting.empty()) self->write();
                              });
        }
        ListService& service;
        tcp::socket socket;
        boost::beast::flat_buffer buffer{16 * 1024};
        http::request<http::empty_body> request;
        std::string waiting;
        bool writing = false, watching = false;
    };

    void accept() {
        acceptor_.async_accept([this, here = here_](Error error, tcp::socket socket) {
            if (!*here || error == asio::error::operation_aborted) return;
            if (!error) {
                const auto watcher = std::make_shared<Watcher>(*this, std::move(socket));
                watchers_.push_back(watcher);
                watcher->read();
            }
            accept();
        });
    }
    void quiet() {
        testbed_.context().at(testbed_.now() + kQuietLine, [this, here = here_] {
            if (!*here) return;
            for (const auto& watcher : watchers_)
                if (watcher->watching) watcher->line("");
            quiet();
        });
    }

    ProcessTestbed& testbed_;
    const std::string sidecar_;
    tcp::acceptor acceptor_;
    std::map<std::string, Entry> entries_;
    std::uint64_t rev_ = 0;
    std::list<std::shared_ptr<Watcher>> watchers_;
    std::shared_ptr<bool> here_ = std::make_shared<bool>(true);
};

// ---- callers ----------------------------------------------------------------------------------------------

// One request on a new connection, or on one that is kept: what PROTOCOL says of the application.
class Client : public std::enable_shared_from_this<Client> {
public:
    Client(ProcessTestbed& testbed, std::size_t sidecar, std::string id, std::string message, Millis patience,
           Millis leaves)
        : testbed_(&testbed),
          sidecar_(sidecar),
          id_(std::move(id)),
          message_(std::move(message)),
          patience_(patience),
          leaves_(leaves),
          socket_(testbed.io_) {}

    void begin(const tcp::endpoint& at) {
        limit_ =
            testbed_->context_.at(testbed_->now() + patience_ + kLateAnswer, [self = shared_from_this()] {
                self->limit_ = {};
                if (self->testbed_)
                    self->end(std::nullopt, [&] {
                        self->testbed_->request_history_.silence(self->testbed_->now(), self->id_);
                    });
            });
        if (leaves_ > 0)
            leaving_ = testbed_->context_.at(testbed_->now() + leaves_, [self = shared_from_this()] {
                self->leaving_ = {};
                if (self->testbed_)
                    self->end(std::nullopt, [&] {
                        self->testbed_->request_history_.left(self->testbed_->now(), self->id_);
                    });
            });
        if (auto kept = testbed_->kept_connection(sidecar_)) {
            socket_ = std::move(*kept);
            return write();
        }
        socket_.async_connect(at, [self = shared_from_this()](Error error) {
            if (!self->testbed_) return;
            // Not taken: nothing is owed.
            if (error)
                return self->end(std::nullopt, [&] {
                    self->testbed_->request_history_.left(self->testbed_->now(), self->id_);
                });
            Error ignored;
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->write();
        });
    }
    void drop() {
        Error ignored;
        socket_.close(ignored);
        if (!testbed_) return;
        testbed_->context_.cancel(limit_);
        testbed_->context_.cancel(leaving_);
        testbed_ = nullptr;
    }

private:
    void write() {
        const auto self = shared_from_this();
        asio::async_write(socket_, asio::buffer(message_), [self](Error, std::size_t) {});
        parser_.body_limit(kMaxMessage);
        http::async_read(socket_, buffer_, parser_, [self](Error failed, std::size_t bytes) {
            if (self->testbed_) self->read(failed, bytes);
        });
    }
    void read(Error error, std::size_t bytes) {
        using Answer = RequestHistory::Answer;
        const Millis now = testbed_->now();
        if (error && bytes == 0 && buffer_.size() == 0)
            return end(std::nullopt, [&] { testbed_->request_history_.closed(now, id_); });
        if (error)
            return end(Answer::cut,
                       [&] { testbed_->request_history_.answered(now, id_, Answer::cut, true); });
        const auto& response = parser_.get();
        const int status = response.result_int();
        const Answer answer = status == 200                    ? Answer::served
                              : status == 429 || status == 503 ? Answer::refused
                                                               : Answer::failed;
        const bool genuine = answer != Answer::served || response.body().starts_with(id_ + " ");
        if (response.keep_alive()) testbed_->keep_connection(sidecar_, std::move(socket_));
        end(answer, [&] { testbed_->request_history_.answered(now, id_, answer, genuine); });
    }
    template <class Tell>
    void end(std::optional<RequestHistory::Answer> answer, Tell tell) {
        const auto self = shared_from_this();
        tell();
        testbed_->outcomes_[id_] = {true, answer};
        drop();
    }

    ProcessTestbed* testbed_;
    const std::size_t sidecar_;
    const std::string id_, message_;
    const Millis patience_, leaves_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_{kMaxMessage};
    http::response_parser<http::string_body> parser_;
    fault_proxy::EventLoopContext::Key limit_{}, leaving_{};
};

// ---- the testbed
// --------------------------------------------------------------------------------------------

namespace {

std::string log_of(const Process& process) {
    std::ifstream file(process.log());
    std::string said((std::istreambuf_iterator<char>(file)), {});
    return said.size() > kLogShown ? "..." + said.substr(said.size() - kLogShown) : said;
}

// Fleets of processes that run side by side keep apart by their numbers, those of one by a count.
std::uint32_t next_run() {
    static std::uint32_t count = 0;
    return static_cast<std::uint32_t>(::getpid()) + 1009 * count++;
}

std::filesystem::path fresh_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::runtime_error(name + ": can't be made");
    return name;
}

}  // namespace

// Each testbed has a part of loopback of its own: 4,096 addresses, of 3,800 parts.
asio::ip::address_v4 ProcessTestbed::address(std::uint32_t host) const {
    return asio::ip::address_v4((127U << 24) + (16U << 16) + ((run_ % 3800) << 12) + host + 2);
}

ProcessTestbed::ProcessTestbed(Options options)
    : options_(std::move(options)), run_(next_run()), folder_(fresh_folder()), context_(io_, options_.seed) {
    datagrams_ = std::make_unique<fault_proxy::DatagramNet>(context_, udp::endpoint(address(0), 0));
    sidecars_.resize(options_.sidecars);
    for (std::size_t i = 0; i < options_.sidecars; ++i) {
        Sidecar& s = sidecars_[i];
        const auto own = address(0x100 + static_cast<std::uint32_t>(i));
        // Free ports of its own address: nothing else has them, so they are free again at the next start.
        s.listen = tcp::acceptor(io_, tcp::endpoint(own, 0)).local_endpoint();
        s.peer_listen = udp::socket(io_, udp::endpoint(own, 0)).local_endpoint();
        s.process = std::make_unique<Process>(sidecar_name(i), options_.program, folder_);
        datagrams_->add(sidecar_name(i), {address(0x400 + static_cast<std::uint32_t>(i)), 0}, s.peer_listen);
        lists_.push_back(std::make_unique<ListService>(*this, sidecar_name(i), tcp::endpoint(address(1), 0)));
        add_link(sidecar_name(i), "list", lists_.back()->endpoint());
        watch_list(link(sidecar_name(i), "list"), sidecar_name(i));
        // Not at the sidecar's own address: its port is free until it starts, and must stay so.
        add_link("c-" + std::to_string(i), sidecar_name(i), s.listen,
                 address(0x400 + static_cast<std::uint32_t>(i)));
    }
    for (std::size_t j = 0; j < options_.servers; ++j) add_server();
    look_processes();
}

ProcessTestbed::~ProcessTestbed() {
    for (const auto& weak : clients_)
        if (const auto caller = weak.lock()) caller->drop();
    for (Sidecar& s : sidecars_) s.process->kill();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

fault_proxy::StreamLink& ProcessTestbed::link(const std::string& from, const std::string& to) {
    return *links_.at({from, to});
}

void ProcessTestbed::add_link(const std::string& from, const std::string& to, tcp::endpoint target,
                              std::optional<asio::ip::address> listen) {
    links_[{from, to}] = std::make_unique<fault_proxy::StreamLink>(
        context_, Link{from, to}, tcp::endpoint(listen.value_or(target.address()), 0), target);
}

std::size_t ProcessTestbed::add_server() {
    const std::size_t number = servers_.size();
    const std::string name = server_name(number);
    servers_.push_back(std::make_unique<Server>(
        *this, name, tcp::endpoint(address(0x800 + static_cast<std::uint32_t>(number)), 0)));
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        add_link(sidecar_name(i), name, servers_.back()->endpoint());
        watch_attempts(link(sidecar_name(i), name), sidecar_name(i), name);
    }
    for (const auto& list : lists_) list->set(name, "active", 0);
    return number;
}

Server& ProcessTestbed::server(std::size_t number) { return *servers_.at(number); }

void ProcessTestbed::list(std::size_t server, const std::string& state) {
    for (const auto& list : lists_) list->set(server_name(server), state, 0);
}

// An attempt is out from its last byte, as the sidecar's end of the link saw it, to its answer or its end.
void ProcessTestbed::watch_attempts(fault_proxy::StreamLink& link, const std::string& sidecar,
                                    const std::string& server) {
    struct Seen {
        std::map<std::uint64_t, RequestReader> requests;
        std::map<std::uint64_t, std::unique_ptr<http::response_parser<http::string_body>>> answers;
        std::map<std::uint64_t, std::string> pending;
    };
    const auto seen = std::make_shared<Seen>();
    fault_proxy::StreamLink::Tap tap;
    tap.sent = [this, seen, sidecar, server](std::uint64_t nth, std::string_view bytes) {
        seen->requests[nth].take(bytes, now(), [&](const std::string& id, Millis first_byte) {
            request_history_.sent(now(), id, {sidecar, server, nth}, first_byte);
        });
    };
    tap.got = [this, seen, sidecar, server](std::uint64_t nth, std::string_view bytes) {
        std::string& pending = seen->pending[nth];
        pending += bytes;
        auto& parser = seen->answers[nth];
        while (!pending.empty()) {
            if (!parser) {
                parser = std::make_unique<http::response_parser<http::string_body>>();
                parser->body_limit(kMaxMessage);
                parser->eager(true);
            }
            Error error;
            const std::size_t used = parser->put(asio::buffer(pending), error);
            pending.erase(0, used);
            const bool done = parser->is_done();
            // What can't be read has ended the attempt as well.
            if (done || (error && error != http::error::need_more))
                request_history_.over(now(), {sidecar, server, nth});
            if (done) parser.reset();
            if (used == 0 || (error && !done)) return;
        }
    };
    tap.over = [this, seen, sidecar, server](std::uint64_t nth) {
        request_history_.over(now(), {sidecar, server, nth});
        seen->requests.erase(nth);
        seen->answers.erase(nth);
        seen->pending.erase(nth);
    };
    link.tap(std::move(tap));
}

// What the list has written to the sidecar's machine counts as told. A line of the watch is an object, or the
// body of the whole list is; the framing between them holds no brace at its start.
void ProcessTestbed::watch_list(fault_proxy::StreamLink& link, const std::string& sidecar) {
    const auto pending = std::make_shared<std::map<std::uint64_t, std::string>>();
    fault_proxy::StreamLink::Tap tap;
    tap.got = [this, pending, sidecar](std::uint64_t nth, std::string_view bytes) {
        std::string& text = (*pending)[nth];
        text += bytes;
        for (;;) {
            const std::size_t open = text.find("{\"all\"");
            if (open == std::string::npos) return;
            // Its end is the first brace up to which it is JSON.
            json told;
            std::size_t close = open;
            while ((close = text.find('}', close)) != std::string::npos) {
                told = json::parse(text.begin() + static_cast<std::ptrdiff_t>(open),
                                   text.begin() + static_cast<std::ptrdiff_t>(close) + 1, nullptr, false);
                if (!told.is_discarded()) break;
                ++close;
            }
            if (close == std::string::npos) return;  // not all of it yet
            for (const json& t : told["targets"])
                request_history_.told(now(), sidecar, t["uid"], t["state"] == "active");
            text.erase(0, close + 1);
        }
    };
    tap.over = [pending](std::uint64_t nth) { pending->erase(nth); };
    link.tap(std::move(tap));
}

std::string ProcessTestbed::status_path(std::size_t i) const {
    return (folder_ / (sidecar_name(i) + ".status")).string();
}

void ProcessTestbed::configure(std::size_t i) {
    Sidecar& s = sidecars_[i];
    std::string peers_all =
        datagrams_->everybody().address().to_string() + ":" + std::to_string(datagrams_->everybody().port());
    json peers = json::array();
    for (std::size_t p = 0; p < sidecars_.size(); ++p) {
        const auto at = datagrams_->address_of(sidecar_name(p));
        peers.push_back(at.address().to_string() + ":" + std::to_string(at.port()));
    }
    const auto kind = [this](const char* name, const char* idempotency) {
        return json{{"name", name},
                    {"effect", idempotency},
                    {"dedup-scope", "all"},
                    {"dedup-window-ms", 3000.0},
                    {"on-time-ms", options_.latency_objective},
                    {"give-up-ms", options_.patience},
                    {"credit", 3.0},
                    {"late-value", 0.0}};
    };
    json settings = {
        {"azs", "a,b,c"},
        {"my-zone", std::string(1, static_cast<char>('a' + i % 3))},
        {"classes", {kind("listen", "repeatable"), kind("deposit", "once"), kind("annotate", "by_key")}},
        {"membership-mode", "pushed"},
        {"my-number", i},
        {"siblings", sidecars_.size()},
        {"limits",
         {{"max-attempts", 4},
          {"may-cancel", true},
          {"parallel-tries", false},
          {"connect-timeout-ms", 150.0},
          {"idle-close-ms", 15000.0}}},
        {"rules", {{"cold-from", 0.16}, {"fall-multiple", 2.5}, {"warm-within-ms", 20000.0}}}};
    settings.merge_patch(options_.settings);
    char seed[24];
    std::snprintf(seed, sizeof seed, "%llx",
                  static_cast<unsigned long long>(options_.seed * 1000003 + i * 1009 + ++s.life));
    s.process->write_config(
        {{"name", sidecar_name(i)},
         {"listen", text_of(s.listen)},
         {"discovery", text_of(link(sidecar_name(i), "list").endpoint())},
         {"seed", seed},
         {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", options_.sockets}}},
         {"peer_listen", s.peer_listen.address().to_string() + ":" + std::to_string(s.peer_listen.port())},
         {"peers", peers},
         {"peers_all", peers_all},
         {"known", lists_[i]->list()},
         {"settings", settings}});
    std::string file = s.operator_file;
    if (options_.cluster) file += "\n[cluster]\non = true\n";
    if (options_.status) file += "\n[status]\nsocket = \"" + status_path(i) + "\"\n";
    s.process->write_operator_file(file);
}

void ProcessTestbed::start() {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) restart(i);
    if (!until([this] {
            return std::all_of(sidecars_.begin(), sidecars_.end(), [](const Sidecar& s) { return s.ready; });
        }))
        for (const Sidecar& s : sidecars_)
            if (!s.ready) {
                throw std::runtime_error("a sidecar of '" + options_.program +
                                         "' does not come up; it said:\n" + log_of(*s.process) + explain());
            }
}

void ProcessTestbed::restart(std::size_t i, const std::string& command, const std::string& operator_file) {
    Sidecar& s = sidecars_[i];
    if (!command.empty()) s.process->set_command(command);
    if (!operator_file.empty()) s.operator_file = operator_file;
    configure(i);
    s.may_end = s.ready = false;
    datagrams_->listening(sidecar_name(i), true);
    s.process->start();
    request_history_.note(now(), sidecar_name(i), "started");
    look_ready(i);
}

void ProcessTestbed::look_ready(std::size_t i) {
    struct Probe {
        explicit Probe(asio::io_context& io) : socket(io) {}
        tcp::socket socket;
        boost::beast::flat_buffer buffer{16 * 1024};
        http::response<http::string_body> response;
    };
    const auto probe = std::make_shared<Probe>(io_);
    const auto told = [this, i, life = sidecars_[i].life](bool up) {
        if (sidecars_[i].life != life || sidecars_[i].ready || !running(i)) return;
        sidecars_[i].ready = up;
        if (up)
            request_history_.note(now(), sidecar_name(i), "ready");
        else
            context_.at(now() + kReadyLook, [this, i, life] {
                if (sidecars_[i].life == life) look_ready(i);
            });
    };
    probe->socket.async_connect(sidecars_[i].listen, [probe, told](Error error) {
        if (error) return told(false);
        static const std::string text = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        asio::async_write(probe->socket, asio::buffer(text), [probe](Error, std::size_t) {});
        http::async_read(
            probe->socket, probe->buffer, probe->response,
            [probe, told](Error wrong, std::size_t) { told(!wrong && probe->response.result_int() == 200); });
    });
}

// One that ends without having been told to has crashed.
void ProcessTestbed::look_processes() {
    note_ended();
    context_.at(now() + kProcessLook, [this] { look_processes(); });
}
void ProcessTestbed::note_ended() {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        const auto status = sidecars_[i].process->ended();
        if (!status) continue;
        sidecars_[i].ready = false;
        datagrams_->listening(sidecar_name(i), false);
        request_history_.died(now(), sidecar_name(i));
        if (!sidecars_[i].may_end) {
            request_history_.note(
                now(), sidecar_name(i),
                "ended by itself, status " + std::to_string(*status) + ": " + log_of(*sidecars_[i].process));
            broken_ = true;
        }
    }
}

void ProcessTestbed::freeze(std::size_t i) {
    sidecars_[i].process->freeze();
    request_history_.froze(now(), sidecar_name(i));
}
void ProcessTestbed::thaw(std::size_t i) {
    request_history_.thawed(now(), sidecar_name(i));
    sidecars_[i].process->thaw();
}

void ProcessTestbed::starve(std::size_t i, double share) {
    Sidecar& s = sidecars_[i];
    context_.cancel(s.duty);
    s.share = share;
    request_history_.note(now(), sidecar_name(i),
                          "has " + std::to_string(share) + " of its core from now on");
    if (share >= 1) return s.process->thaw();
    duty(i, false);
}
void ProcessTestbed::duty(std::size_t i, bool on) {
    Sidecar& s = sidecars_[i];
    on ? s.process->thaw() : s.process->freeze();
    const Millis span = kDutyRound * (on ? s.share : 1 - s.share);
    s.duty = context_.at(now() + span, [this, i, on] {
        sidecars_[i].duty = {};
        duty(i, !on);
    });
}

void ProcessTestbed::kill(std::size_t i) {
    datagrams_->listening(sidecar_name(i), false);
    context_.cancel(sidecars_[i].duty);
    sidecars_[i].process->kill();
    sidecars_[i].ready = false;
    request_history_.died(now(), sidecar_name(i));
}
void ProcessTestbed::terminate(std::size_t i) {
    sidecars_[i].may_end = true;
    request_history_.note(now(), sidecar_name(i), "SIGTERM");
    sidecars_[i].process->signal(SIGTERM);
}
bool ProcessTestbed::running(std::size_t i) const { return sidecars_[i].process->running(); }
bool ProcessTestbed::ready(std::size_t i) const { return sidecars_[i].ready; }
Process& ProcessTestbed::process(std::size_t i) { return *sidecars_[i].process; }

json ProcessTestbed::status(std::size_t i) {
    struct Reading {
        explicit Reading(asio::io_context& io) : socket(io) {}
        asio::local::stream_protocol::socket socket;
        std::string text;
        bool done = false;
    };
    const auto reading = std::make_shared<Reading>(io_);
    reading->socket.async_connect(status_path(i), [reading](Error error) {
        if (error) {
            reading->done = true;
            return;
        }
        asio::async_read(reading->socket, asio::dynamic_buffer(reading->text),
                         [reading](Error, std::size_t) { reading->done = true; });
    });
    until([&] { return reading->done; });
    return json::parse(reading->text, nullptr, false);
}

bool ProcessTestbed::descriptors_accounted(std::size_t i) {
    constexpr int kLooks = 40;
    constexpr Millis kBetween = 25;
    for (int look = 0; look < kLooks; ++look) {
        const json told = status(i);
        if (!told.is_object()) return false;
        const std::filesystem::directory_iterator held("/proc/" + std::to_string(process(i).pid()) + "/fd");
        const auto count = static_cast<std::size_t>(std::distance(begin(held), end(held)));
        const json& sockets = told["sockets"];
        if (count <= sockets["clients"].get<std::size_t>() + sockets["servers"].get<std::size_t>() +
                         sockets["sessions"].get<std::size_t>() + kOwnDescriptors)
            return true;
        quiet_for(kBetween);
    }
    return false;
}

std::string ProcessTestbed::ask(std::size_t i, const ClientRequest& a) {
    const std::string id = "r" + std::to_string(++next_id_);
    const Millis patience = a.patience > 0 ? a.patience : options_.patience;
    const bool safe = a.request_class == "listen", keyed = a.request_class == "annotate";
    char left[32];
    std::snprintf(left, sizeof left, "%.0fm", patience);
    std::string text = std::string(safe ? "GET" : "POST") +
                       " /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id +
                       "\r\nX-Service-Class: " + a.request_class + "\r\nX-Time-Left: " + left + "\r\n";
    if (keyed) text += "Idempotency-Key: " + (a.key.empty() ? "k-" + id : a.key) + "\r\n";
    text += safe ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
    request_history_.asked(now(), id,
                           safe    ? Idempotency::idempotent
                           : keyed ? Idempotency::idempotency_key
                                   : Idempotency::non_idempotent,
                           sidecar_name(i), patience);
    outcomes_[id];
    const auto caller = std::make_shared<Client>(*this, i, id, std::move(text), patience, a.leaves);
    std::erase_if(clients_, [](const auto& weak) { return weak.expired(); });
    clients_.push_back(caller);
    caller->begin(link("c-" + std::to_string(i), sidecar_name(i)).endpoint());
    return id;
}

void ProcessTestbed::keep_connection(std::size_t i, tcp::socket socket) {
    sidecars_[i].kept.push_back(std::move(socket));
}
// One that the sidecar has closed meanwhile is not used again.
std::optional<tcp::socket> ProcessTestbed::kept_connection(std::size_t i) {
    auto& kept = sidecars_[i].kept;
    while (!kept.empty()) {
        tcp::socket socket = std::move(kept.back());
        kept.pop_back();
        char byte;
        Error error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) return socket;
    }
    return {};
}

bool ProcessTestbed::ended(const std::string& id) const { return outcomes_.at(id).ended; }
std::optional<RequestHistory::Answer> ProcessTestbed::answer(const std::string& id) const {
    return outcomes_.at(id).answer;
}

// One step of the loop, and the request_history after it.
bool ProcessTestbed::step(Millis limit) {
    io_.run_one_for(std::chrono::milliseconds(50));
    request_history_.look(now());
    return request_history_.violations().empty() && !broken_ && now() < limit;
}

bool ProcessTestbed::until(const std::function<bool()>& holds) {
    const Millis limit = now() + kWaitWithin;
    while (!holds())
        if (!step(limit)) return false;
    return true;
}

bool ProcessTestbed::quiet_for(Millis span) {
    const Millis end = now() + span;
    while (now() < end)
        if (!step(end + kWaitWithin)) return false;
    return true;
}

bool ProcessTestbed::settle() {
    if (!until([this] { return request_history_.open() == 0; })) return false;
    if (!quiet_for(2 * RequestHistory::kSlack)) return false;
    request_history_.finish(now());
    return request_history_.violations().empty();
}

std::string ProcessTestbed::violations() const {
    std::string text;
    for (const RequestHistory::Violation& v : request_history_.violations())
        text += v.id + ": " + v.what + "\n";
    return text;
}

std::string ProcessTestbed::explain(const std::string& id) {
    note_ended();  // what broke it may have ended a process that has not been looked at since
    std::string text = violations();
    if (!id.empty()) return text + request_history_.history(id);
    if (request_history_.violations().empty()) return text + request_history_.history();
    return text + request_history_.history(request_history_.violations().front().id);
}

}  // namespace elmbay::process_testbed
