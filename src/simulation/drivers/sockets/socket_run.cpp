#include "simulation/drivers/sockets/socket_run.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

#include "fault_proxy/datagram_net.hpp"
#include "fault_proxy/stream_link.hpp"
#include "process_testbed/process.hpp"
#include "process_testbed/request_reader.hpp"
#include "simulation/checking/sidecar_log.hpp"
#include "simulation/drivers/sockets/client_emulator.hpp"
#include "simulation/drivers/sockets/discovery_emulator.hpp"
#include "simulation/drivers/sockets/server_emulator.hpp"
#include "simulation/models/random_streams.hpp"

namespace elmbay::simulation {

namespace {

using balancer::EndpointState;
using nlohmann::json;

constexpr Millis kReadyWithin = 15000;  // of all sidecars
constexpr Millis kReadyLook = 20, kProcessLook = 20;
constexpr Millis kLongAhead = 3600000;  // no sidecar takes so long to be ready
constexpr Millis kBeforeFirst = 300;    // between the last sidecar's readiness and time 0
constexpr Millis kTermWithin = 4000;    // PROTOCOL: longest deadline (3 s at most) and 0.7 s; then SIGKILL
constexpr Millis kDutyRound = 20;       // of a starved sidecar: on for its share of it
constexpr std::size_t kLogShown = 600;  // of a sidecar's log, when it does not come up

// Each run has a part of loopback of its own, so that nothing else answers where a server has died.
asio::ip::address_v4 loopback(std::uint32_t run, std::uint32_t host) {
    return asio::ip::address_v4((127U << 24) | ((16 + run % 200) << 16) | (host + 2));
}

std::string text_of(const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
}

// Hosts of that part: servers from 0, then
constexpr std::uint32_t kSidecars = 0x8000, kPeers = 0xa000, kEverybody = 0xfff0;

class Folder {
public:
    explicit Folder(const std::string& given) : path_(given), own_(given.empty()) {
        if (own_) {
            std::string name = (std::filesystem::temp_directory_path() / "simulation-XXXXXX").string();
            if (!::mkdtemp(name.data())) throw std::runtime_error(name + ": can't be made");
            path_ = name;
        } else {
            std::filesystem::create_directories(path_);
        }
    }
    ~Folder() {
        std::error_code ignored;
        if (own_) std::filesystem::remove_all(path_, ignored);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
    bool own_;
};

class SocketRun {
public:
    SocketRun(const Scenario& scenario, const SocketRunOptions& options)
        : scenario_(scenario),
          options_(options),
          folder_(options.folder),
          clients_(scenario),
          service_model_(scenario, clients_),
          checker_(scenario, clients_, ClientEmulator::kSlack),
          metrics_(scenario, clients_),
          steps_(build_timeline(scenario)),
          notices_(build_notices(scenario, steps_)),
          sidecars_(scenario),
          run_(std::random_device()()),
          context_(testbed_.io, scenario.overview.seed),
          messages_(context_, {loopback(run_, kEverybody), 0}) {
        for (const FaultSpec& f : scenario.faults)
            if (f.kind == FaultKind::sidecar_other_build && !options.build_commands.contains(f.build))
                throw std::invalid_argument("a fault starts the build '" + f.build +
                                            "': say which command that is with --build " + f.build +
                                            "=COMMAND");
        if (!options.log_path.empty()) {
            log_.open(options.log_path);
            if (!log_) throw std::runtime_error(options.log_path + ": can't be written");
        }
        context_.restart_clock(kLongAhead);  // nothing of the file holds before time 0
        auto rules = scenario.link_rules();
        linked_ = std::any_of(rules.begin(), rules.end(), [](const fault_proxy::Rule& rule) {
            return rule.medium != fault_proxy::Medium::datagram;
        });
        for (fault_proxy::Rule& rule : scenario.message_rules()) {
            rule.starts_at = -kLongAhead;  // from before the start
            rules.push_back(std::move(rule));
        }
        context_.replace_rules(std::move(rules));
        messages_.observe([this](const fault_proxy::Link& link, std::size_t bytes, bool delivered) {
            if (!delivered) return sidecars_.on_message_sent(testbed_.now(), bytes);
            sidecars_.on_message_delivered(testbed_.now(), number_of(link.from), number_of(link.to), bytes);
        });
        for (std::uint32_t i = 0; i < service_model_.count(); ++i)
            servers_.push_back(std::make_unique<ServerEmulator>(testbed_, service_model_, checker_, metrics_,
                                                                clients_, i,
                                                                tcp::endpoint(loopback(run_, i), 0)));
        for (std::uint32_t i = 0; i < scenario.sidecars.count; ++i) add_peer(i);
        for (std::uint32_t i = 0; i < scenario.sidecars.count; ++i) add_sidecar(i);
    }

    Report run() {
        testbed_.begin();  // for the waits until all are ready
        for (Side& side : sides_) side.process->start();
        wait_ready();
        testbed_.begin(kBeforeFirst);
        context_.restart_clock(kBeforeFirst);
        for (Side& side : sides_) side.discovery->resume();
        begin();
        for (std::uint32_t i = 0; i < sides_.size(); ++i) sidecars_.on_started(0, i, "elmbay");
        while (!over_) testbed_.io.run_one();
        checker_.finish(testbed_.now());
        for (Side& side : sides_) side.process->kill();
        return report();
    }

private:
    struct Side {
        std::unique_ptr<process_testbed::Process> process;
        std::unique_ptr<DiscoveryEmulator> discovery;
        std::unique_ptr<ClientEmulator> clients;
        tcp::endpoint listen;
        bool ready = false, may_end = false;
        std::uint32_t life = 0;
        std::optional<std::size_t> changed;  // the fault whose build or settings it runs
        double share = 1;                    // of its core
        bool duty_runs = false;
    };
    static std::string name_of_sidecar(std::uint32_t i) { return "n-" + std::to_string(i); }
    static std::uint32_t number_of(const std::string& sidecar) {
        return static_cast<std::uint32_t>(std::stoul(sidecar.substr(2)));
    }

    // ---- links, where the scenario has faults on them: between each sidecar, its servers and its list
    tcp::endpoint way_to_server(std::uint32_t i, std::uint32_t s) {
        if (!linked_) return servers_[s]->endpoint();
        auto& link = links_[{i, s}];
        link = std::make_unique<fault_proxy::StreamLink>(
            context_, fault_proxy::Link{"n-" + std::to_string(i), "s-" + std::to_string(s)},
            tcp::endpoint(servers_[s]->endpoint().address(), 0), servers_[s]->endpoint());
        if (!service_model_.there_at_start(s))
            link->set_target_state(fault_proxy::StreamLink::TargetState::down);
        watch(*link);
        servers_[s]->sent_at = [this](ClientRequestId id) {
            const auto at = sent_at_.find(id);
            return at == sent_at_.end() ? testbed_.now() : at->second;
        };
        return link->endpoint();
    }
    tcp::endpoint way_to_list(std::uint32_t i) {
        const tcp::endpoint list = sides_[i].discovery->endpoint();
        if (!linked_) return list;
        auto& links = list_links_[i];  // the last is the one in use; those before stay until they are closed
        if (links.empty() || links.back().first != list)
            links.emplace_back(list, std::make_unique<fault_proxy::StreamLink>(
                                         context_, fault_proxy::Link{"n-" + std::to_string(i), "list"},
                                         tcp::endpoint(list.address(), 0), list));
        return links.back().second->endpoint();
    }
    void watch(fault_proxy::StreamLink& link) {
        const auto readers = std::make_shared<std::map<std::uint64_t, process_testbed::RequestReader>>();
        fault_proxy::StreamLink::Observer observer;
        observer.on_client_sent = [this, readers](std::uint64_t nth, std::string_view bytes) {
            (*readers)[nth].feed(bytes, testbed_.now(), [this](const std::string& id, Millis first_byte) {
                if (const auto number = ServerEmulator::id_of(id)) sent_at_[*number] = first_byte;
            });
        };
        observer.on_client_ended = [readers](std::uint64_t nth) { readers->erase(nth); };
        link.observe(std::move(observer));
    }
    // What the kernel says for a server that has gone, its links must say.
    void tell_links(const TimelineStep& s) {
        using Target = fault_proxy::StreamLink::TargetState;
        if (s.kind != StepKind::stop && s.kind != StepKind::cut_off && s.kind != StepKind::start) return;
        const Target target = s.kind == StepKind::stop      ? Target::down
                              : s.kind == StepKind::cut_off ? Target::unreachable
                                                            : Target::up;
        for (auto& [ends, link] : links_)
            if (ends.second == s.target) link->set_target_state(target);
    }

    // ---- before the start
    // Where the others reach it, and a port of its own address at which it listens itself.
    void add_peer(std::uint32_t i) {
        fault_proxy::udp::socket probe(testbed_.io,
                                       fault_proxy::udp::endpoint(loopback(run_, kSidecars + i), 0));
        peer_listens_.push_back(probe.local_endpoint());
        probe.close();
        messages_.add(name_of_sidecar(i), {loopback(run_, kPeers + i), 0}, peer_listens_.back());
    }
    static std::string text_of_peer(const fault_proxy::udp::endpoint& e) {
        return e.address().to_string() + ":" + std::to_string(e.port());
    }
    json peers() const {
        json list = json::array();
        for (std::uint32_t i = 0; i < peer_listens_.size(); ++i)
            list.push_back(text_of_peer(messages_.address_of(name_of_sidecar(i))));
        return list;
    }
    void add_sidecar(std::uint32_t i) {
        Side side;
        const auto address = loopback(run_, kSidecars + i);
        // A free port of its own address: nothing else has it, so it is free again at the next start.
        tcp::acceptor probe(testbed_.io, tcp::endpoint(address, 0));
        side.listen = probe.local_endpoint();
        probe.close();
        std::vector<Entry> entries;
        for (std::uint32_t s = 0; s < service_model_.count(); ++s)
            entries.push_back(
                {s, way_to_server(i, s), scenario_.fleet.zones[scenario_.zone_of(s)],
                 service_model_.there_at_start(s) ? EndpointState::active : EndpointState::removed, 0});
        side.discovery =
            std::make_unique<DiscoveryEmulator>(testbed_, checker_, i, std::move(entries), address);
        const std::string command = options_.sidecar_command;
        side.process =
            std::make_unique<process_testbed::Process>("n-" + std::to_string(i), command, folder_.path());
        side.clients = std::make_unique<ClientEmulator>(
            testbed_, scenario_, clients_, side.listen,
            ClientEmulator::Handlers{
                [this](const ClientRequest& t) { checker_.on_request_sent(testbed_.now(), t); },
                [this](const ClientRequest& t, const ClientEmulator::Outcome& o) { ended(t, o); }});
        sides_.push_back(std::move(side));
        configure(i);
    }
    void configure(std::uint32_t i) {
        Side& side = sides_[i];
        const FaultSpec* changed = side.changed ? &scenario_.faults[*side.changed] : nullptr;
        const balancer::Settings s = scenario_.settings(i, changed);
        json classes = json::array();
        for (const ClassSpec& c : scenario_.classes)
            classes.push_back({{"name", c.name},
                               {"effect", c.effect == "safe"    ? "repeatable"
                                          : c.effect == "keyed" ? "by_key"
                                                                : "once"},
                               {"dedup-scope", "all"},
                               {"dedup-window-ms", c.dedup_window},
                               {"on-time-ms", c.latency_objective},
                               {"give-up-ms", c.client_deadline},
                               {"credit", c.priority_weight},
                               {"late-value", 0.0}});
        std::string halls;
        for (const std::string& hall : scenario_.fleet.zones) halls += (halls.empty() ? "" : ",") + hall;
        char seed[24];
        std::snprintf(
            seed, sizeof seed, "%016llx",
            static_cast<unsigned long long>(
                random_stream(scenario_.overview.seed, StreamPurpose::balancer, i, ++side.life).next()));
        const json config = {
            {"name", "n-" + std::to_string(i)},
            {"listen", text_of(side.listen)},
            {"discovery", text_of(way_to_list(i))},
            {"seed", seed},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", scenario_.sidecars.max_sockets}}},
            {"peer_listen", text_of_peer(peer_listens_[i])},
            {"peers", peers()},
            {"peers_all", text_of_peer(messages_.broadcast_address())},
            {"known", listing_of(side.discovery->entries(), side.discovery->rev(), true, testbed_)},
            {"settings",
             {{"azs", halls},
              {"my-zone", scenario_.fleet.zones[i % scenario_.fleet.zones.size()]},
              {"classes", classes},
              {"membership-mode", "pushed"},
              {"my-number", i},
              {"siblings", s.siblings},
              {"limits",
               {{"max-attempts", s.max_attempts},
                {"may-cancel", true},
                {"parallel-tries", false},
                {"connect-timeout-ms", scenario_.fleet.connect_timeout},
                {"idle-close-ms", scenario_.fleet.idle_timeout}}},
              {"rules",
               {{"cold-from", s.slow_start_min_share},
                {"fall-multiple", s.overload_multiple},
                {"warm-within-ms", s.slow_start_duration}}},
              {"fees", {{"cross-zone", s.costs.cross_zone}}}}}};
        side.process->write_config(config);
        if (scenario_.sidecars.cluster_enabled) side.process->write_operator_file("[cluster]\non = true\n");
    }
    void look_ready(std::uint32_t i) {
        Side& side = sides_[i];
        side.clients->up([this, i](bool up) {
            sides_[i].ready = sides_[i].ready || up;
            if (!up) testbed_.at(testbed_.now() + kReadyLook, [this, i] { look_ready(i); });
        });
    }
    void wait_ready() {
        for (std::uint32_t i = 0; i < sides_.size(); ++i) look_ready(i);
        const auto all = [this] {
            return std::all_of(sides_.begin(), sides_.end(), [](const Side& s) { return s.ready; });
        };
        while (!all()) {
            testbed_.io.run_one_for(std::chrono::milliseconds(50));
            for (Side& side : sides_)
                if (side.process->poll_exit()) not_ready(side, "ended at once");
            if (testbed_.now() > kReadyWithin)
                for (Side& side : sides_)
                    if (!side.ready) not_ready(side, "is not ready after 15 s");
        }
    }
    [[noreturn]] void not_ready(const Side& side, const std::string& what) {
        std::ifstream file(side.process->log_path());
        std::string text((std::istreambuf_iterator<char>(file)), {});
        if (text.size() > kLogShown) text = "..." + text.substr(text.size() - kLogShown);
        throw std::runtime_error("the sidecar '" + options_.sidecar_command + "' " + what + "; it said:\n" +
                                 text);
    }

    // ---- the run
    void begin() {
        for (const TimelineStep& s : steps_) testbed_.at(s.at, [this, &s] { step(s); });
        for (const EndpointNotice& n : notices_)
            for (std::uint32_t i = 0; i < sides_.size(); ++i)
                testbed_.at(n.at + notice_skew(scenario_, i),
                            [this, &n, i] { sides_[i].discovery->change(n); });
        for (std::uint32_t i = 0; i < sides_.size(); ++i)
            for (std::uint32_t s = 0; s < service_model_.count(); ++s)
                if (!service_model_.there_at_start(s))
                    checker_.on_endpoint_update(testbed_.now(), i, s, EndpointState::removed, 0);
        look_processes();
        ask_next();
        Millis patience = 0;
        for (const ClassSpec& c : scenario_.classes) patience = std::max(patience, c.client_deadline);
        testbed_.at(scenario_.overview.duration + 1, [this] { finished(); });
        testbed_.at(scenario_.overview.duration + patience + 1000, [this] { over_ = true; });
    }
    void note(const std::string& line) {
        if (log_.is_open()) log_ << line << "\n";
    }
    void ask_next() {
        if (next_ask_ >= clients_.arrivals().size()) return;
        const OperationId request = next_ask_++;
        testbed_.at(clients_.arrival_of(request).at, [this, request] {
            const ClientArrival& a = clients_.arrival_of(request);
            ask_hash_ = fnv1a(ask_text(request, a), ask_hash_);
            note(ask_text(request, a));
            ask(clients_.first_request(request));
            ask_next();
        });
    }
    std::string ask_text(OperationId request, const ClientArrival& a) const {
        char text[96];
        std::snprintf(text, sizeof text, "%.4f ask %llu n-%u %u %.4f", a.at,
                      static_cast<unsigned long long>(request), a.sidecar, a.class_index,
                      clients_.work(request));
        return text;
    }
    void ask(ClientRequest t) {
        t.at = testbed_.now();
        ++open_;
        sides_[clients_.arrival_of(operation_of(t.id)).sidecar].clients->ask(t);
    }
    void ended(const ClientRequest& t, const ClientEmulator::Outcome& o) {
        using End = ClientEmulator::End;
        const Millis now = testbed_.now();
        --open_;
        switch (o.end) {
            case End::left:
                checker_.on_client_left(now, t.id);
                metrics_.on_client_left(operation_of(t.id));
                return finished();
            case End::unreached:
                break;
            case End::closed:
                checker_.on_connection_closed(now, t.id);
                break;
            default:
                checker_.on_response(now, t.id, o.answer, o.genuine);
        }
        if (const auto next = clients_.next_request(now, t, o.answer, o.retry_after)) {
            ++open_;
            testbed_.at(next->at, [this, again = *next] {
                --open_;
                ask(again);
            });
        } else {
            metrics_.on_operation_ended(now, operation_of(t.id), o.answer);
        }
        finished();
    }
    void finished() {
        if (open_ == 0 && next_ask_ >= clients_.arrivals().size() &&
            testbed_.now() > scenario_.overview.duration)
            over_ = true;
    }

    void step(const TimelineStep& s) {
        step_hash_ = fnv1a(text_of_step(s), step_hash_);
        executed_.push_back(text_of_step(s));
        note("step " + text_of_step(s));
        if (!s.targets_sidecar()) {
            servers_[s.target]->apply(s);
            return tell_links(s);
        }
        Side& side = sides_[s.target];
        switch (s.kind) {
            case StepKind::sidecar_kill:
                messages_.set_listening(name_of_sidecar(s.target), false);
                side.process->kill();
                checker_.on_sidecar_killed(s.target);
                sidecars_.on_ended(testbed_.now(), s.target, "killed");
                break;
            case StepKind::sidecar_pause:
                side.process->freeze();
                checker_.on_sidecar_paused(s.target);
                sidecars_.on_paused(testbed_.now(), s.target);
                break;
            case StepKind::sidecar_resume:
                checker_.on_sidecar_resumed(s.target);
                side.process->thaw();
                sidecars_.on_resumed(testbed_.now(), s.target);
                break;
            case StepKind::sidecar_cpu_share:
                side.share = s.value;
                sidecars_.on_cpu_share_changed(testbed_.now(), s.target, s.value);
                checker_.on_sidecar_cpu_limited(s.target, s.value < 1);
                if (!std::exchange(side.duty_runs, true)) duty(s.target, true);
                break;
            case StepKind::sidecar_replace:
                side.changed = static_cast<std::size_t>(s.value);
                restart(s.target);
                break;
            case StepKind::sidecar_restore:
                side.changed.reset();
                restart(s.target);
                break;
            case StepKind::sidecar_start:
                revive(s.target);
                break;
            case StepKind::sidecar_restart:
                restart(s.target);
                break;
            case StepKind::sidecar_reload:
                side.discovery->move();
                configure(s.target);
                side.process->signal(SIGHUP);
                break;
            default:
                break;
        }
    }
    void restart(std::uint32_t who) {
        Side& side = sides_[who];
        side.may_end = true;
        side.process->signal(SIGTERM);
        testbed_.at(testbed_.now() + kTermWithin, [this, who, life = side.life] {
            if (sides_[who].life != life || !sides_[who].process->is_running()) return;
            notes_.push_back("n-" + std::to_string(who) + " had not ended " +
                             std::to_string(static_cast<int>(kTermWithin)) + "ms after SIGTERM");
            sides_[who].process->kill();  // what it has not answered is lost
            sidecars_.on_ended(testbed_.now(), who, "killed after SIGTERM");
            revive(who);
        });
    }
    void duty(std::uint32_t who, bool on) {
        Side& side = sides_[who];
        if (on)
            side.process->thaw();
        else
            side.process->freeze();
        if (side.share >= 1 && on) {
            side.duty_runs = false;
            return;
        }
        testbed_.at(testbed_.now() + kDutyRound * (on ? side.share : 1 - side.share),
                    [this, who, on] { duty(who, !on); });
    }
    static std::string text_of_step(const TimelineStep& s) { return simulation::text_of(s); }
    void revive(std::uint32_t who) {
        Side& side = sides_[who];
        configure(who);
        side.may_end = false;
        std::string command = options_.sidecar_command, build = "elmbay";
        if (side.changed) {
            const FaultSpec& f = scenario_.faults[*side.changed];
            if (f.build.empty())
                build += " (" + f.name + ")";
            else
                build = f.build, command = options_.build_commands.at(f.build);
        }
        messages_.set_listening(name_of_sidecar(who), true);
        side.process->set_command(command);
        side.process->start();
        sidecars_.on_started(testbed_.now(), who, build);
    }
    // A sidecar that ends without having been told to has crashed.
    void look_processes() {
        for (std::uint32_t i = 0; i < sides_.size(); ++i) {
            const auto status = sides_[i].process->poll_exit();
            if (!status) continue;
            const std::string how = WIFSIGNALED(*status) ? "by signal " + std::to_string(WTERMSIG(*status))
                                                         : "with " + std::to_string(WEXITSTATUS(*status));
            if (sides_[i].may_end) {
                checker_.on_sidecar_stopped(i);
                sidecars_.on_ended(testbed_.now(), i, "ended");
                revive(i);
            } else {
                checker_.on_unknown_request(testbed_.now(),
                                            "n-" + std::to_string(i) + " ended by itself, " + how);
                notes_.push_back("n-" + std::to_string(i) + " ended by itself, " + how);
            }
        }
        if (options_.progress && testbed_.now() > shown_ + scenario_.overview.duration / 100) {
            shown_ = testbed_.now();
            options_.progress(std::clamp(shown_ / scenario_.overview.duration, 0.0, 1.0));
        }
        testbed_.at(testbed_.now() + kProcessLook, [this] { look_processes(); });
    }

    Report report() {
        Report r = make_report(scenario_, clients_, checker_, metrics_);
        r.mode = "real";
        r.balancer = options_.sidecar_command;
        r.punctuality = testbed_.punctuality();
        r.notes = notes_;
        r.sidecar_activity =
            sidecars_.report(std::min(testbed_.now(), scenario_.overview.duration), next_ask_);
        r.timeline = executed_;
        for (const auto& server : servers_) r.connections += server->connections();
        r.log_lines = executed_.size() + next_ask_;
        r.log_hash = fnv1a(std::to_string(step_hash_), ask_hash_);
        return r;
    }

    const Scenario& scenario_;
    const SocketRunOptions& options_;
    const Folder folder_;
    LoopbackTestbed testbed_;
    ClientModel clients_;
    ServiceModel service_model_;
    InvariantChecker checker_;
    ServiceMetrics metrics_;
    const std::vector<TimelineStep> steps_;
    const std::vector<EndpointNotice> notices_;
    SidecarActivityLog sidecars_;
    const std::uint32_t run_;
    std::vector<std::unique_ptr<ServerEmulator>> servers_;
    fault_proxy::EventLoopContext context_;
    bool linked_ = false;  // whether the file has faults on streams: only then they go over links
    fault_proxy::DatagramNet messages_;
    std::vector<fault_proxy::udp::endpoint> peer_listens_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::unique_ptr<fault_proxy::StreamLink>> links_;
    std::map<std::uint32_t, std::vector<std::pair<tcp::endpoint, std::unique_ptr<fault_proxy::StreamLink>>>>
        list_links_;
    std::unordered_map<ClientRequestId, Millis> sent_at_;  // of each try its last attempt
    std::vector<Side> sides_;
    std::ofstream log_;
    std::vector<std::string> executed_, notes_;
    std::uint64_t step_hash_ = kFnvOffsetBasis, ask_hash_ = kFnvOffsetBasis;
    std::size_t next_ask_ = 0, open_ = 0;
    Millis shown_ = 0;
    bool over_ = false;
};

}  // namespace

Report run_socket_simulation(const Scenario& scenario, const SocketRunOptions& options) {
    return SocketRun(scenario, options).run();
}

}  // namespace elmbay::simulation
