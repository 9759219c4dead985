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

constexpr Millis kReadyTimeout = 15000;  // for all sidecars together
constexpr Millis kReadyPollInterval = 20, kProcessPollInterval = 20;
// While the sidecars start, the clock of the faults is this far before time 0. No sidecar takes so long.
constexpr Millis kPreparationTime = 3600000;
constexpr Millis kStartDelay = 300;  // from the readiness of the last sidecar to time 0
// From SIGTERM to SIGKILL. PROTOCOL gives a sidecar the longest deadline (at most 3 s) and 0.7 s.
constexpr Millis kTerminationTimeout = 4000;
// Period in which a sidecar with limited CPU runs for its share of the period and is stopped for the rest.
constexpr Millis kCpuPeriod = 20;
constexpr std::size_t kMaxLogExcerptBytes = 600;  // in the error when a sidecar does not become ready

// Returns the loopback address of a host of a run. Each run has a subnet of its own, so that no other run
// responds at the address of a stopped server.
asio::ip::address_v4 loopback_address(std::uint32_t run, std::uint32_t host) {
    return asio::ip::address_v4((127U << 24) | ((16 + run % 200) << 16) | (host + 2));
}

std::string text_of(const tcp::endpoint& endpoint) {
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Host numbers in the subnet of a run. Servers count from 0.
constexpr std::uint32_t kFirstSidecarHost = 0x8000, kFirstPeerHost = 0xa000, kBroadcastHost = 0xfff0;

/// The folder for the configurations and logs of a run. A temporary one is removed at the end.
class RunFolder {
public:
    explicit RunFolder(const std::string& path) : path_(path), is_temporary_(path.empty()) {
        if (is_temporary_) {
            std::string name = (std::filesystem::temp_directory_path() / "simulation-XXXXXX").string();
            if (!::mkdtemp(name.data()))
                throw std::runtime_error(name + ": the temporary folder cannot be created");
            path_ = name;
        } else {
            std::filesystem::create_directories(path_);
        }
    }
    ~RunFolder() {
        std::error_code ignored;
        if (is_temporary_) std::filesystem::remove_all(path_, ignored);
    }
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;
    const std::filesystem::path& path() const { return path_; }

private:
    std::filesystem::path path_;
    bool is_temporary_;
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
          sidecar_log_(scenario),
          run_number_(std::random_device()()),
          fault_context_(testbed_.io, scenario.overview.seed),
          datagram_net_(fault_context_, {loopback_address(run_number_, kBroadcastHost), 0}) {
        for (const FaultSpec& fault : scenario.faults)
            if (fault.kind == FaultKind::sidecar_other_build &&
                !options.command_by_build_name.contains(fault.build))
                throw std::invalid_argument("a fault starts the build '" + fault.build +
                                            "': specify its command with --build " + fault.build +
                                            "=COMMAND");
        if (!options.log_path.empty()) {
            log_.open(options.log_path);
            if (!log_) throw std::runtime_error(options.log_path + ": cannot be opened for writing");
        }
        // The rules of the scenario do not apply before time 0.
        fault_context_.restart_clock(kPreparationTime);
        auto rules = scenario.link_rules();
        uses_links_ = std::any_of(rules.begin(), rules.end(), [](const fault_proxy::Rule& rule) {
            return rule.medium != fault_proxy::Medium::datagram;
        });
        for (fault_proxy::Rule& rule : scenario.message_rules()) {
            rule.starts_at = -kPreparationTime;  // message rules apply during the preparation too
            rules.push_back(std::move(rule));
        }
        fault_context_.replace_rules(std::move(rules));
        datagram_net_.observe([this](const fault_proxy::Link& link, std::size_t bytes, bool delivered) {
            if (!delivered) return sidecar_log_.on_message_sent(testbed_.now(), bytes);
            sidecar_log_.on_message_delivered(testbed_.now(), sidecar_number(link.from),
                                              sidecar_number(link.to), bytes);
        });
        for (std::uint32_t i = 0; i < service_model_.server_count(); ++i)
            servers_.push_back(
                std::make_unique<ServerEmulator>(testbed_, service_model_, checker_, metrics_, clients_, i,
                                                 tcp::endpoint(loopback_address(run_number_, i), 0)));
        for (std::uint32_t i = 0; i < scenario.sidecars.count; ++i) add_peer(i);
        for (std::uint32_t i = 0; i < scenario.sidecars.count; ++i) add_sidecar(i);
    }

    Report run() {
        testbed_.begin();  // for the timers of the preparation
        for (Sidecar& sidecar : sidecars_) sidecar.process->start();
        wait_until_ready();
        testbed_.begin(kStartDelay);
        fault_context_.restart_clock(kStartDelay);
        for (Sidecar& sidecar : sidecars_) sidecar.discovery->resume();
        schedule_run();
        for (std::uint32_t i = 0; i < sidecars_.size(); ++i) sidecar_log_.on_started(0, i, "elmbay");
        while (!finished_) testbed_.io.run_one();
        checker_.finish(testbed_.now());
        for (Sidecar& sidecar : sidecars_) sidecar.process->kill();
        return report();
    }

private:
    /// One sidecar process with its emulated clients and discovery service.
    struct Sidecar {
        std::unique_ptr<process_testbed::Process> process;
        std::unique_ptr<DiscoveryEmulator> discovery;
        std::unique_ptr<ClientEmulator> clients;
        tcp::endpoint listen_endpoint;
        bool ready = false, stopping = false;  // stopping: SIGTERM has been sent, so its exit is expected
        std::uint32_t process_number = 0;      // counts the configured processes of this sidecar
        // Index of the fault whose build or settings the process runs with.
        std::optional<std::size_t> replacement_fault;
        double cpu_share = 1;  // share of one core
        bool cpu_limited = false;
    };
    static std::string sidecar_name(std::uint32_t number) { return "n-" + std::to_string(number); }
    static std::uint32_t sidecar_number(const std::string& sidecar) {
        return static_cast<std::uint32_t>(std::stoul(sidecar.substr(2)));
    }

    // ---- links from each sidecar to its servers and its discovery service, if the scenario has link faults
    tcp::endpoint endpoint_for_server(std::uint32_t sidecar, std::uint32_t server) {
        if (!uses_links_) return servers_[server]->endpoint();
        auto& link = server_links_[{sidecar, server}];
        link = std::make_unique<fault_proxy::StreamLink>(
            fault_context_, fault_proxy::Link{"n-" + std::to_string(sidecar), "s-" + std::to_string(server)},
            tcp::endpoint(servers_[server]->endpoint().address(), 0), servers_[server]->endpoint());
        if (!service_model_.is_listed_at_start(server))
            link->set_target_state(fault_proxy::StreamLink::TargetState::down);
        record_first_bytes(*link);
        servers_[server]->sent_at = [this](ClientRequestId id) {
            const auto found = sent_at_.find(id);
            return found == sent_at_.end() ? testbed_.now() : found->second;
        };
        return link->endpoint();
    }
    tcp::endpoint endpoint_for_discovery(std::uint32_t sidecar) {
        const tcp::endpoint discovery_endpoint = sidecars_[sidecar].discovery->endpoint();
        if (!uses_links_) return discovery_endpoint;
        // The last link is in use. Earlier ones stay until their connections close.
        auto& links = discovery_links_[sidecar];
        if (links.empty() || links.back().first != discovery_endpoint)
            links.emplace_back(discovery_endpoint,
                               std::make_unique<fault_proxy::StreamLink>(
                                   fault_context_, fault_proxy::Link{"n-" + std::to_string(sidecar), "list"},
                                   tcp::endpoint(discovery_endpoint.address(), 0), discovery_endpoint));
        return links.back().second->endpoint();
    }
    // Records when the sidecar writes the first byte of each attempt on the link.
    void record_first_bytes(fault_proxy::StreamLink& link) {
        const auto readers = std::make_shared<std::map<std::uint64_t, process_testbed::RequestReader>>();
        fault_proxy::StreamLink::Observer observer;
        observer.on_client_sent = [this, readers](std::uint64_t connection, std::string_view bytes) {
            (*readers)[connection].feed(bytes, testbed_.now(),
                                        [this](const std::string& id, Millis first_byte) {
                                            if (const auto number = ServerEmulator::parse_id(id))
                                                sent_at_[*number] = first_byte;
                                        });
        };
        observer.on_client_ended = [readers](std::uint64_t connection) { readers->erase(connection); };
        link.observe(std::move(observer));
    }
    // A link has to refuse or ignore connections as the kernel would do for the server behind it.
    void update_links(const TimelineStep& step) {
        using Target = fault_proxy::StreamLink::TargetState;
        if (step.kind != StepKind::stop && step.kind != StepKind::cut_off && step.kind != StepKind::start)
            return;
        const Target target_state = step.kind == StepKind::stop      ? Target::down
                                    : step.kind == StepKind::cut_off ? Target::unreachable
                                                                     : Target::up;
        for (auto& [ends, link] : server_links_)
            if (ends.second == step.target) link->set_target_state(target_state);
    }

    // ---- preparation
    // Adds an address where the other sidecars reach this one, and picks the port on which it listens itself.
    void add_peer(std::uint32_t number) {
        fault_proxy::udp::socket probe(
            testbed_.io,
            fault_proxy::udp::endpoint(loopback_address(run_number_, kFirstSidecarHost + number), 0));
        peer_listen_endpoints_.push_back(probe.local_endpoint());
        probe.close();
        datagram_net_.add(sidecar_name(number), {loopback_address(run_number_, kFirstPeerHost + number), 0},
                          peer_listen_endpoints_.back());
    }
    static std::string udp_text_of(const fault_proxy::udp::endpoint& endpoint) {
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }
    json peer_list() const {
        json list = json::array();
        for (std::uint32_t i = 0; i < peer_listen_endpoints_.size(); ++i)
            list.push_back(udp_text_of(datagram_net_.address_of(sidecar_name(i))));
        return list;
    }
    void add_sidecar(std::uint32_t number) {
        Sidecar sidecar;
        const auto address = loopback_address(run_number_, kFirstSidecarHost + number);
        // Picks a free port. Only this sidecar uses the address, so the port stays free between its
        // processes.
        tcp::acceptor probe(testbed_.io, tcp::endpoint(address, 0));
        sidecar.listen_endpoint = probe.local_endpoint();
        probe.close();
        std::vector<RegistryEntry> entries;
        for (std::uint32_t server = 0; server < service_model_.server_count(); ++server)
            entries.push_back(
                {server, endpoint_for_server(number, server),
                 scenario_.fleet.zones[scenario_.zone_of(server)],
                 service_model_.is_listed_at_start(server) ? EndpointState::active : EndpointState::removed,
                 0});
        sidecar.discovery =
            std::make_unique<DiscoveryEmulator>(testbed_, checker_, number, std::move(entries), address);
        const std::string command = options_.sidecar_command;
        sidecar.process = std::make_unique<process_testbed::Process>("n-" + std::to_string(number), command,
                                                                     folder_.path());
        sidecar.clients = std::make_unique<ClientEmulator>(
            testbed_, scenario_, clients_, sidecar.listen_endpoint,
            ClientEmulator::Handlers{
                [this](const ClientRequest& request) { checker_.on_request_sent(testbed_.now(), request); },
                [this](const ClientRequest& request, const ClientEmulator::Outcome& outcome) {
                    on_request_ended(request, outcome);
                }});
        sidecars_.push_back(std::move(sidecar));
        configure(number);
    }
    void configure(std::uint32_t number) {
        Sidecar& sidecar = sidecars_[number];
        const FaultSpec* fault =
            sidecar.replacement_fault ? &scenario_.faults[*sidecar.replacement_fault] : nullptr;
        const balancer::Settings settings = scenario_.settings(number, fault);
        json classes = json::array();
        for (const ClassSpec& spec : scenario_.classes)
            classes.push_back({{"name", spec.name},
                               {"effect", spec.effect == "safe"    ? "repeatable"
                                          : spec.effect == "keyed" ? "by_key"
                                                                   : "once"},
                               {"dedup-scope", "all"},
                               {"dedup-window-ms", spec.dedup_window},
                               {"on-time-ms", spec.latency_objective},
                               {"give-up-ms", spec.client_deadline},
                               {"credit", spec.priority_weight},
                               {"late-value", 0.0}});
        std::string zones;
        for (const std::string& zone : scenario_.fleet.zones) zones += (zones.empty() ? "" : ",") + zone;
        char seed[24];
        std::snprintf(
            seed, sizeof seed, "%016llx",
            static_cast<unsigned long long>(random_stream(scenario_.overview.seed, StreamPurpose::balancer,
                                                          number, ++sidecar.process_number)
                                                .next()));
        const json config = {
            {"name", "n-" + std::to_string(number)},
            {"listen", text_of(sidecar.listen_endpoint)},
            {"discovery", text_of(endpoint_for_discovery(number))},
            {"seed", seed},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", scenario_.sidecars.max_sockets}}},
            {"peer_listen", udp_text_of(peer_listen_endpoints_[number])},
            {"peers", peer_list()},
            {"peers_all", udp_text_of(datagram_net_.broadcast_address())},
            {"known",
             endpoint_list_json(sidecar.discovery->entries(), sidecar.discovery->revision(), true, testbed_)},
            {"settings",
             {{"azs", zones},
              {"my-zone", scenario_.fleet.zones[number % scenario_.fleet.zones.size()]},
              {"classes", classes},
              {"membership-mode", "pushed"},
              {"my-number", number},
              {"siblings", settings.siblings},
              {"limits",
               {{"max-attempts", settings.max_attempts},
                {"may-cancel", true},
                {"parallel-tries", false},
                {"connect-timeout-ms", scenario_.fleet.connect_timeout},
                {"idle-close-ms", scenario_.fleet.idle_timeout}}},
              {"rules",
               {{"cold-from", settings.slow_start_min_share},
                {"fall-multiple", settings.overload_multiple},
                {"warm-within-ms", settings.slow_start_duration}}},
              {"fees", {{"cross-zone", settings.costs.cross_zone}}}}}};
        sidecar.process->write_config(config);
        if (scenario_.sidecars.cluster_enabled)
            sidecar.process->write_operator_file("[cluster]\non = true\n");
    }
    void poll_ready(std::uint32_t number) {
        Sidecar& sidecar = sidecars_[number];
        sidecar.clients->check_ready([this, number](bool ready) {
            sidecars_[number].ready = sidecars_[number].ready || ready;
            if (!ready)
                testbed_.at(testbed_.now() + kReadyPollInterval, [this, number] { poll_ready(number); });
        });
    }
    void wait_until_ready() {
        for (std::uint32_t i = 0; i < sidecars_.size(); ++i) poll_ready(i);
        const auto all_ready = [this] {
            return std::all_of(sidecars_.begin(), sidecars_.end(),
                               [](const Sidecar& sidecar) { return sidecar.ready; });
        };
        while (!all_ready()) {
            testbed_.io.run_one_for(std::chrono::milliseconds(50));
            for (Sidecar& sidecar : sidecars_)
                if (sidecar.process->poll_exit()) throw_not_ready(sidecar, "ended before it was ready");
            if (testbed_.now() > kReadyTimeout)
                for (Sidecar& sidecar : sidecars_)
                    if (!sidecar.ready) throw_not_ready(sidecar, "was not ready within 15 s");
        }
    }
    [[noreturn]] void throw_not_ready(const Sidecar& sidecar, const std::string& problem) {
        std::ifstream file(sidecar.process->log_path());
        std::string text((std::istreambuf_iterator<char>(file)), {});
        if (text.size() > kMaxLogExcerptBytes) text = "..." + text.substr(text.size() - kMaxLogExcerptBytes);
        throw std::runtime_error("the sidecar '" + options_.sidecar_command + "' " + problem +
                                 "; the end of its log:\n" + text);
    }

    // ---- the run
    void schedule_run() {
        for (const TimelineStep& step : steps_) testbed_.at(step.at, [this, &step] { apply_step(step); });
        for (const EndpointNotice& notice : notices_)
            for (std::uint32_t i = 0; i < sidecars_.size(); ++i)
                testbed_.at(notice.at + notice_skew(scenario_, i),
                            [this, &notice, i] { sidecars_[i].discovery->apply(notice); });
        for (std::uint32_t i = 0; i < sidecars_.size(); ++i)
            for (std::uint32_t server = 0; server < service_model_.server_count(); ++server)
                if (!service_model_.is_listed_at_start(server))
                    checker_.on_endpoint_update(testbed_.now(), i, server, EndpointState::removed, 0);
        poll_processes();
        schedule_next_operation();
        Millis max_deadline = 0;
        for (const ClassSpec& spec : scenario_.classes)
            max_deadline = std::max(max_deadline, spec.client_deadline);
        testbed_.at(scenario_.overview.duration + 1, [this] { finish_if_done(); });
        testbed_.at(scenario_.overview.duration + max_deadline + 1000, [this] { finished_ = true; });
    }
    void write_log(const std::string& line) {
        if (log_.is_open()) log_ << line << "\n";
    }
    void schedule_next_operation() {
        if (next_operation_ >= clients_.arrivals().size()) return;
        const OperationId operation = next_operation_++;
        testbed_.at(clients_.arrival_of(operation).at, [this, operation] {
            const ClientArrival& arrival = clients_.arrival_of(operation);
            operation_hash_ = fnv1a(operation_log_line(operation, arrival), operation_hash_);
            write_log(operation_log_line(operation, arrival));
            send_request(clients_.first_request(operation));
            schedule_next_operation();
        });
    }
    std::string operation_log_line(OperationId operation, const ClientArrival& arrival) const {
        char text[96];
        std::snprintf(text, sizeof text, "%.4f ask %llu n-%u %u %.4f", arrival.at,
                      static_cast<unsigned long long>(operation), arrival.sidecar, arrival.class_index,
                      clients_.work(operation));
        return text;
    }
    void send_request(ClientRequest request) {
        request.at = testbed_.now();
        ++open_request_count_;
        sidecars_[clients_.arrival_of(operation_of(request.id)).sidecar].clients->send(request);
    }
    void on_request_ended(const ClientRequest& request, const ClientEmulator::Outcome& outcome) {
        using End = ClientEmulator::End;
        const Millis now = testbed_.now();
        --open_request_count_;
        switch (outcome.end) {
            case End::client_left:
                checker_.on_client_left(now, request.id);
                metrics_.on_client_left(operation_of(request.id));
                return finish_if_done();
            case End::connect_failed:
                break;
            case End::closed:
                checker_.on_connection_closed(now, request.id);
                break;
            default:
                checker_.on_response(now, request.id, outcome.response, outcome.genuine);
        }
        if (const auto next = clients_.next_request(now, request, outcome.response, outcome.retry_after)) {
            ++open_request_count_;
            testbed_.at(next->at, [this, retry = *next] {
                --open_request_count_;
                send_request(retry);
            });
        } else {
            metrics_.on_operation_ended(now, operation_of(request.id), outcome.response);
        }
        finish_if_done();
    }
    void finish_if_done() {
        if (open_request_count_ == 0 && next_operation_ >= clients_.arrivals().size() &&
            testbed_.now() > scenario_.overview.duration)
            finished_ = true;
    }

    void apply_step(const TimelineStep& step) {
        step_hash_ = fnv1a(step_text(step), step_hash_);
        executed_steps_.push_back(step_text(step));
        write_log("step " + step_text(step));
        if (!step.targets_sidecar()) {
            servers_[step.target]->apply(step);
            return update_links(step);
        }
        Sidecar& sidecar = sidecars_[step.target];
        switch (step.kind) {
            case StepKind::sidecar_kill:
                datagram_net_.set_listening(sidecar_name(step.target), false);
                sidecar.process->kill();
                checker_.on_sidecar_killed(step.target);
                sidecar_log_.on_ended(testbed_.now(), step.target, "killed");
                break;
            case StepKind::sidecar_pause:
                sidecar.process->freeze();
                checker_.on_sidecar_paused(step.target);
                sidecar_log_.on_paused(testbed_.now(), step.target);
                break;
            case StepKind::sidecar_resume:
                checker_.on_sidecar_resumed(step.target);
                sidecar.process->thaw();
                sidecar_log_.on_resumed(testbed_.now(), step.target);
                break;
            case StepKind::sidecar_cpu_share:
                sidecar.cpu_share = step.value;
                sidecar_log_.on_cpu_share_changed(testbed_.now(), step.target, step.value);
                checker_.on_sidecar_cpu_limited(step.target, step.value < 1);
                if (!std::exchange(sidecar.cpu_limited, true)) start_cpu_phase(step.target, true);
                break;
            case StepKind::sidecar_replace:
                sidecar.replacement_fault = static_cast<std::size_t>(step.value);
                restart_process(step.target);
                break;
            case StepKind::sidecar_restore:
                sidecar.replacement_fault.reset();
                restart_process(step.target);
                break;
            case StepKind::sidecar_start:
                start_process(step.target);
                break;
            case StepKind::sidecar_restart:
                restart_process(step.target);
                break;
            case StepKind::sidecar_reload:
                sidecar.discovery->move();
                configure(step.target);
                sidecar.process->signal(SIGHUP);
                break;
            default:
                break;
        }
    }
    void restart_process(std::uint32_t number) {
        Sidecar& sidecar = sidecars_[number];
        sidecar.stopping = true;
        sidecar.process->signal(SIGTERM);
        testbed_.at(
            testbed_.now() + kTerminationTimeout, [this, number, process_number = sidecar.process_number] {
                if (sidecars_[number].process_number != process_number ||
                    !sidecars_[number].process->is_running())
                    return;
                notes_.push_back("n-" + std::to_string(number) + " did not end within " +
                                 std::to_string(static_cast<int>(kTerminationTimeout)) + "ms after SIGTERM");
                sidecars_[number].process->kill();  // requests without a response are lost
                sidecar_log_.on_ended(testbed_.now(), number, "killed after SIGTERM");
                start_process(number);
            });
    }
    // Starts the running or the stopped part of a period of the CPU limit.
    void start_cpu_phase(std::uint32_t number, bool running) {
        Sidecar& sidecar = sidecars_[number];
        if (running)
            sidecar.process->thaw();
        else
            sidecar.process->freeze();
        if (sidecar.cpu_share >= 1 && running) {
            sidecar.cpu_limited = false;
            return;
        }
        testbed_.at(testbed_.now() + kCpuPeriod * (running ? sidecar.cpu_share : 1 - sidecar.cpu_share),
                    [this, number, running] { start_cpu_phase(number, !running); });
    }
    static std::string step_text(const TimelineStep& step) { return simulation::text_of(step); }
    void start_process(std::uint32_t number) {
        Sidecar& sidecar = sidecars_[number];
        configure(number);
        sidecar.stopping = false;
        std::string command = options_.sidecar_command, build = "elmbay";
        if (sidecar.replacement_fault) {
            const FaultSpec& fault = scenario_.faults[*sidecar.replacement_fault];
            if (fault.build.empty())
                build += " (" + fault.name + ")";
            else
                build = fault.build, command = options_.command_by_build_name.at(fault.build);
        }
        datagram_net_.set_listening(sidecar_name(number), true);
        sidecar.process->set_command(command);
        sidecar.process->start();
        sidecar_log_.on_started(testbed_.now(), number, build);
    }
    // Restarts the processes that ended as requested, and reports all others that ended as crashed.
    void poll_processes() {
        for (std::uint32_t i = 0; i < sidecars_.size(); ++i) {
            const auto status = sidecars_[i].process->poll_exit();
            if (!status) continue;
            const std::string cause = WIFSIGNALED(*status)
                                          ? "by signal " + std::to_string(WTERMSIG(*status))
                                          : "with exit status " + std::to_string(WEXITSTATUS(*status));
            if (sidecars_[i].stopping) {
                checker_.on_sidecar_stopped(i);
                sidecar_log_.on_ended(testbed_.now(), i, "ended");
                start_process(i);
            } else {
                checker_.on_unknown_request(testbed_.now(),
                                            "n-" + std::to_string(i) + " ended unexpectedly, " + cause);
                notes_.push_back("n-" + std::to_string(i) + " ended unexpectedly, " + cause);
            }
        }
        if (options_.progress && testbed_.now() > progress_reported_at_ + scenario_.overview.duration / 100) {
            progress_reported_at_ = testbed_.now();
            options_.progress(std::clamp(progress_reported_at_ / scenario_.overview.duration, 0.0, 1.0));
        }
        testbed_.at(testbed_.now() + kProcessPollInterval, [this] { poll_processes(); });
    }

    Report report() {
        Report result = make_report(scenario_, clients_, checker_, metrics_);
        result.mode = "real";
        result.balancer = options_.sidecar_command;
        result.timer_lateness = testbed_.timer_lateness();
        result.notes = notes_;
        result.sidecar_activity =
            sidecar_log_.report(std::min(testbed_.now(), scenario_.overview.duration), next_operation_);
        result.timeline = executed_steps_;
        for (const auto& server : servers_) result.connections += server->accepted_connections();
        result.log_lines = executed_steps_.size() + next_operation_;
        result.log_hash = fnv1a(std::to_string(step_hash_), operation_hash_);
        return result;
    }

    const Scenario& scenario_;
    const SocketRunOptions& options_;
    const RunFolder folder_;
    LoopbackTestbed testbed_;
    ClientModel clients_;
    ServiceModel service_model_;
    InvariantChecker checker_;
    ServiceMetrics metrics_;
    const std::vector<TimelineStep> steps_;
    const std::vector<EndpointNotice> notices_;
    SidecarActivityLog sidecar_log_;
    const std::uint32_t run_number_;
    std::vector<std::unique_ptr<ServerEmulator>> servers_;
    fault_proxy::EventLoopContext fault_context_;
    bool uses_links_ = false;  // whether the scenario has faults on streams; without them there are no links
    fault_proxy::DatagramNet datagram_net_;
    std::vector<fault_proxy::udp::endpoint> peer_listen_endpoints_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::unique_ptr<fault_proxy::StreamLink>> server_links_;
    std::map<std::uint32_t, std::vector<std::pair<tcp::endpoint, std::unique_ptr<fault_proxy::StreamLink>>>>
        discovery_links_;
    std::unordered_map<ClientRequestId, Millis> sent_at_;  // first byte of the last attempt of each request
    std::vector<Sidecar> sidecars_;
    std::ofstream log_;
    std::vector<std::string> executed_steps_, notes_;
    std::uint64_t step_hash_ = kFnvOffsetBasis, operation_hash_ = kFnvOffsetBasis;
    std::size_t next_operation_ = 0, open_request_count_ = 0;
    Millis progress_reported_at_ = 0;
    bool finished_ = false;
};

}  // namespace

Report run_socket_simulation(const Scenario& scenario, const SocketRunOptions& options) {
    return SocketRun(scenario, options).run();
}

}  // namespace elmbay::simulation
