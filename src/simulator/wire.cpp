#include "simulator/wire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <istream>
#include <ostream>

#include "base/visitor.hpp"

namespace elmbay::balancer::wire {

namespace {

const Names<EndpointState> states{
    {"on", EndpointState::active}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}};
const Names<ListKind> list_kinds{{"INCREMENTAL", ListKind::incremental},
                                 {"FULL", ListKind::snapshot},
                                 {"SAVED", ListKind::cached},
                                 {"FAILED", ListKind::failed}};
const Names<Outcome> outcomes{
    {"completed", Outcome::success},           {"errored", Outcome::error_response},
    {"saturated", Outcome::rejected},          {"overdue", Outcome::timed_out},
    {"refused_conn", Outcome::connect_failed}, {"severed", Outcome::connection_reset},
    {"recalled", Outcome::cancelled},          {"superseded", Outcome::not_sent}};

void add_number(std::string& line, double value) {
    char buffer[40];
    const auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3).ptr;
    line.append(buffer, end);
}

}  // namespace

// ---- Codec ----------------------------------------------------------------------------------------------

namespace {

std::string_view without_return(std::string_view line) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

std::string_view first_word(std::string_view line) { return line.substr(0, line.find(' ')); }

}  // namespace

Message::Message(std::string_view line, std::size_t number)
    : Fields("line " + std::to_string(number) + ": " + std::string(first_word(without_return(line)))) {
    line = without_return(line);
    kind_ = first_word(line);
    if (kind_.empty()) throw WireError("line " + std::to_string(number) + ": empty line");
    std::string_view rest = kind_.size() < line.size() ? line.substr(kind_.size() + 1) : std::string_view();
    while (!rest.empty()) {
        const auto gap = rest.find(' ');
        const std::string_view pair = rest.substr(0, gap);
        rest = gap == std::string_view::npos ? std::string_view() : rest.substr(gap + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos || equals == 0) fail(pair, "is not name=value");
        add(pair.substr(0, equals), pair.substr(equals + 1));
    }
}

Outcome read_outcome(const Message& message) { return named(message, "rc", outcomes); }

// ---- Host -----------------------------------------------------------------------------------------------

// One sidecar: its balancer and the names behind the integers the balancer sees. A request's name is kept
// until it has ended and its attempts have; a server's while it is listed or an attempt on it is out.
struct Host::Instance {
    struct Request {
        std::string name;
        std::uint32_t out = 0;
        bool ended = false;
    };
    struct Server {
        std::string name;
        std::uint32_t out = 0;
        bool listed = false;
    };

    Instance(std::string name_, DeploymentSettings deployment_, std::uint64_t seed)
        : name(std::move(name_)), deployment(std::move(deployment_)), balancer(deployment.settings, seed) {}

    ServerId server(const std::string& server_name) {
        const auto [at, fresh] = server_ids.try_emplace(server_name, next_server);
        if (fresh) servers[next_server++].name = server_name;
        return at->second;
    }

    void drop_request(RequestId id) {
        const auto at = requests.find(id);
        if (at == requests.end() || !at->second.ended || at->second.out > 0) return;
        request_ids.erase(at->second.name);
        requests.erase(at);
    }
    void end_request(RequestId id) {
        if (const auto at = requests.find(id); at != requests.end()) at->second.ended = true;
        drop_request(id);
    }
    void drop_server(ServerId id) {
        const auto at = servers.find(id);
        if (at == servers.end() || at->second.listed || at->second.out > 0) return;
        server_ids.erase(at->second.name);
        servers.erase(at);
    }

    std::string name;
    DeploymentSettings deployment;
    Balancer balancer;
    std::unordered_map<std::string, RequestId> request_ids;
    std::unordered_map<RequestId, Request> requests;
    std::unordered_map<std::string, ServerId> server_ids;
    std::map<ServerId, Server> servers;
    RequestId next_request = 1;
    ServerId next_server = 1;
};

Host::Host(std::istream& in, std::ostream& out, std::ostream& err) : in_(in), out_(out), err_(err) {}
Host::~Host() = default;

bool Host::next_line(std::string& line) {
    if (!std::getline(in_, line)) return false;
    ++line_;
    return true;
}

int Host::run() {
    try {
        for (std::string line; next_line(line);) {
            const Message mark(line, line_);
            if (mark.kind() != "MARK") mark.fail(mark.kind(), "stands where MARK is due");
            batch(mark);
        }
    } catch (const WireError& error) {
        err_ << "elmbay_simulator_adapter: " << error.what() << '\n';
        return 2;
    }
    return 0;
}

void Host::batch(const Message& mark) {
    now_ = mark.number("now-ms");
    const std::uint64_t frame = mark.integer("frame");
    reply_.clear();
    for (std::string line;;) {
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_) + ": MARK: input ends before 'OVER_TO_YOU'");
        const Message message(line, line_);
        if (message.kind() == "OVER_TO_YOU") break;
        event(message);
    }
    out_ << reply_ << "END frame=" << frame << '\n' << std::flush;
}

void Host::event(const Message& message) {
    const std::string_view kind = message.kind();
    if (kind == "CATALOG") return catalog(message);
    if (kind == "START") return start(message);
    static const std::vector<std::string_view> known{"POWER_OFF",     "PEERS_KNOWN", "ACCEPT",
                                                     "HEAD_RECEIVED", "VERDICT",     "EXPIRED",
                                                     "TICK_DUE",      "HEALTH",      "MEMO"};
    if (std::find(known.begin(), known.end(), kind) == known.end()) {
        if (std::find(unknown_kinds_.begin(), unknown_kinds_.end(), kind) == unknown_kinds_.end()) {
            unknown_kinds_.emplace_back(kind);
            err_ << "elmbay_simulator_adapter: line " << line_ << ": unknown event " << kind << " skipped\n";
        }
        return;
    }
    const auto at = instances_.find(message.text("who"));
    if (at == instances_.end()) message.fail("who", "names an instance that is not running");
    Instance& instance = at->second;
    if (kind == "POWER_OFF") {
        instances_.erase(at);
    } else if (kind == "PEERS_KNOWN") {
        list(instance, message);
    } else if (kind == "ACCEPT") {
        RequestArrived arrived;
        arrived.time_left = message.number("time-left-ms");
        arrived.effort = message.number_or("effort-ms", 0);
        arrived.repeat = message.flag_or("repeat", false);
        const auto& classes = instance.deployment.classes;
        const auto grade = std::find(classes.begin(), classes.end(), message.text("grade"));
        arrived.class_index = static_cast<std::uint32_t>(grade - classes.begin());
        if (message.has("realm")) {
            const auto& tenants = instance.deployment.tenants;
            const auto realm = std::find(tenants.begin(), tenants.end(), message.text("realm"));
            if (realm != tenants.end()) arrived.tenant = static_cast<std::uint32_t>(realm - tenants.begin());
        }
        const std::string rid(message.text("rid"));
        const auto [known_id, fresh] = instance.request_ids.try_emplace(rid, instance.next_request);
        if (!fresh) message.fail("rid", "was given before");
        arrived.id = known_id->second;
        instance.requests[instance.next_request++].name = rid;
        give(instance, arrived);
    } else if (kind == "HEAD_RECEIVED" || kind == "EXPIRED") {
        const auto request = instance.request_ids.find(std::string(message.text("rid")));
        const bool gone = kind == "EXPIRED";
        const auto hop = gone ? 0 : static_cast<std::uint32_t>(message.integer("hop"));
        if (request == instance.request_ids.end()) return;  // the instance has ended it meanwhile
        const RequestId id = request->second;
        give(instance, gone ? Event(ClientDisconnected{id}) : Event(FirstByte{id, hop}));
        if (gone) instance.end_request(id);
    } else if (kind == "VERDICT") {
        attempt_ended(instance, message);
    } else if (kind == "TICK_DUE") {
        give(instance, TimerFired{message.integer("nonce")});
    }
}

void Host::catalog(const Message& message) {
    const std::uint64_t ref = message.integer("ref");
    if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
    const std::uint64_t count = message.integer("items");
    std::vector<CatalogEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) {
        std::string line;
        if (!next_line(line))
            throw WireError("line " + std::to_string(line_) + ": CATALOG: input ends within 'items'");
        const Message entry(line, line_);
        if (entry.kind() != "M") message.fail("items", "does not match the entries that follow");
        CatalogEntry e;
        e.server = entry.text("server");
        if (entry.has("rack-zone")) e.zone = entry.text("rack-zone");
        if (entry.has("kind")) e.machine_type = entry.text("kind");
        e.cell = static_cast<std::uint32_t>(entry.integer_or("pod", 0));
        e.state = named(entry, "phase", states);
        e.online_since = entry.number_or("online-since-ms", 0);
        e.weight = sound_weight(entry.number_or("units", 1));
        entries.push_back(std::move(e));
    }
    catalogs_[ref] = std::move(entries);
}

void Host::start(const Message& message) {
    const std::string name(message.text("who"));
    const std::uint64_t seed = message.integer("entropy");
    instances_.erase(name);
    try {
        const auto at = instances_.try_emplace(name, name, read_deployment_settings(message), seed).first;
        give(at->second, Started{});
    } catch (const std::invalid_argument& error) {
        reply_ += "FAULT who=" + name + " words=" + error.what() + "\n";
    }
}

void Host::list(Instance& instance, const Message& message) {
    ServerList list{named(message, "mode", list_kinds), {}};
    if (list.kind != ListKind::failed) {
        const std::uint64_t ref = message.integer("ref");
        if (ref >= catalogs_.size()) message.fail("ref", "is out of range");
        if (list.kind != ListKind::incremental)
            for (auto& [id, server] : instance.servers) server.listed = false;
        for (const CatalogEntry& e : catalogs_[ref]) {
            const ServerId id = instance.server(e.server);
            instance.servers[id].listed = e.state != EndpointState::removed;
            list.servers.push_back({id, number_of(instance.deployment.zones, e.zone),
                                    number_of(instance.deployment.machine_types, e.machine_type), e.cell,
                                    e.state, e.online_since, e.weight});
        }
    }
    give(instance, list);
    if (list.kind == ListKind::failed) return;
    std::vector<ServerId> ids;
    for (const auto& [id, server] : instance.servers) ids.push_back(id);
    for (const ServerId id : ids) instance.drop_server(id);
}

void Host::attempt_ended(Instance& instance, const Message& message) {
    AttemptEnded ended;
    ended.attempt = static_cast<std::uint32_t>(message.integer("hop"));
    ended.outcome = read_outcome(message);
    ended.duration = message.number_or("duration-ms", 0);
    ended.request_ended = message.flag_or("terminal", false);
    const auto server = instance.server_ids.find(std::string(message.text("server")));
    const auto request = instance.request_ids.find(std::string(message.text("rid")));
    if (request == instance.request_ids.end()) return;
    ended.id = request->second;
    Instance::Request& held = instance.requests.at(ended.id);
    if (held.out > 0) --held.out;
    if (ended.request_ended) held.ended = true;
    give(instance, ended);
    instance.drop_request(ended.id);
    if (server == instance.server_ids.end()) return;
    const ServerId id = server->second;
    if (Instance::Server& s = instance.servers.at(id); s.out > 0) --s.out;
    instance.drop_server(id);
}

void Host::give(Instance& instance, const Event& event) {
    actions_.clear();
    try {
        instance.balancer.handle(now_, event, actions_);
    } catch (const std::exception& error) {
        reply_ += "FAULT who=" + instance.name + " words=" + error.what() + "\n";
        return;
    }
    for (const Action& action : actions_) put(instance, action);
}

void Host::put(Instance& instance, const Action& action) {
    const auto head = [&](std::string_view kind) { (reply_ += kind) += " who=" + instance.name; };
    const auto request = [&](std::string_view kind, RequestId id) {
        head(kind);
        reply_ += " rid=" + instance.requests.at(id).name;
    };
    const auto server = [&](ServerId id) { reply_ += " server=" + instance.servers.at(id).name; };
    const auto time = [&](std::string_view field, Millis value) {
        (reply_ += field) += '=';
        add_number(reply_, value);
    };
    std::visit(Visitor{[&](const StartAttempt& a) {
                           request("DISPATCH", a.id);
                           server(a.server);
                           time(" try-until-ms", a.attempt_deadline);
                           ++instance.requests.at(a.id).out;
                           ++instance.servers.at(a.server).out;
                       },
                       [&](const Cancel& a) {
                           request("ABANDON", a.id);
                           reply_ += " hop=" + std::to_string(a.attempt);
                       },
                       [&](const Reject& a) {
                           request("DECLINE", a.id);
                           if (a.retry_after > 0) time(" retry-in-ms", a.retry_after);
                           instance.end_request(a.id);
                       },
                       [&](const Fail& a) {
                           request("GIVE_UP", a.id);
                           instance.end_request(a.id);
                       },
                       [&](const SetTimer& a) {
                           head("AFTER");
                           time(" at-ms", a.at);
                           reply_ += " nonce=" + std::to_string(a.token);
                       },
                       [&](const Subscribe& a) {
                           head("SUBSCRIBE");
                           reply_ += a.active ? " active=1" : " active=0";
                       },
                       [&](const Log& a) {
                           head("PRINT");
                           reply_ += " words=";
                           if (a.server) reply_ += instance.servers.at(*a.server).name + " ";
                           for (const char c : a.text) reply_ += c == '\n' || c == '\r' ? ' ' : c;
                       }},
               action);
    reply_ += '\n';
}

}  // namespace elmbay::balancer::wire
