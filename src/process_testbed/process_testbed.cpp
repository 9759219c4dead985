#include "process_testbed/process_testbed.hpp"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <chrono>
#include <iterator>

#include "process_testbed/link_observers.hpp"
#include "process_testbed/sidecar_config.hpp"

namespace elmbay::process_testbed {

using Error = boost::system::error_code;
using fault_proxy::Link;

namespace {

// Each testbed has its own block of loopback addresses: one of 3,800 blocks of 4,096 addresses from
// 127.16.0.0 on.
constexpr std::uint32_t kLoopback = 127U << 24;
constexpr std::uint32_t kFirstBlock = 16U << 16;
constexpr std::uint32_t kBlockCount = 3800;
constexpr std::uint32_t kBlockBits = 12;
constexpr std::uint32_t kFirstHost = 2;
// Distance between the blocks of two testbeds of one process. It is prime, so that they rarely collide with
// the blocks of the process with the next process id.
constexpr std::uint32_t kBlockStep = 1009;

// Host numbers within a block.
constexpr std::uint32_t kBroadcastHost = 0;
constexpr std::uint32_t kDiscoveryHost = 1;
constexpr std::uint32_t kFirstSidecarHost = 0x100;  // addresses on which the processes listen
constexpr std::uint32_t kFirstLinkHost = 0x400;     // addresses of the links through which others reach them
constexpr std::uint32_t kFirstServerHost = 0x800;

constexpr std::chrono::milliseconds kMaxLoopStep{50};  // maximum duration of one step of the event loop

// A sidecar gets one second in total to close unneeded descriptors.
constexpr int kMaxDescriptorChecks = 40;
constexpr Millis kDescriptorCheckPeriod = 25;

// Selects an address block by process id, to separate processes, and by a counter, to separate testbeds of
// one process.
std::uint32_t next_loopback_block() {
    static std::uint32_t count = 0;
    const auto block = static_cast<std::uint32_t>(::getpid()) + kBlockStep * count;
    ++count;
    return block;
}

std::uint32_t host(std::uint32_t first, std::size_t number) {
    return first + static_cast<std::uint32_t>(number);
}

}  // namespace

asio::ip::address_v4 ProcessTestbed::address(std::uint32_t host) const {
    const std::uint32_t block = (loopback_block_ % kBlockCount) << kBlockBits;
    return asio::ip::address_v4(kLoopback + kFirstBlock + block + host + kFirstHost);
}

ProcessTestbed::ProcessTestbed(Options options)
    : options_(std::move(options)),
      loopback_block_(next_loopback_block()),
      context_(io_, options_.seed),
      datagrams_(
          std::make_unique<fault_proxy::DatagramNet>(context_, udp::endpoint(address(kBroadcastHost), 0))),
      clients_(context_, request_history_),
      operator_files_(options_.sidecars) {
    for (std::size_t i = 0; i < options_.sidecars; ++i) add_sidecar(i);
    for (std::size_t j = 0; j < options_.servers; ++j) add_server();
    schedule_process_check();
}

ProcessTestbed::~ProcessTestbed() {
    clients_.close_all();
    for (const auto& sidecar : sidecars_) sidecar->process().kill();
}

void ProcessTestbed::add_sidecar(std::size_t sidecar) {
    const std::string name = sidecar_name(sidecar);
    const auto own_address = address(host(kFirstSidecarHost, sidecar));
    const auto link_address = address(host(kFirstLinkHost, sidecar));
    // Selects free ports of the sidecar's own address. Nothing else binds to that address, so they are free
    // again at the next start.
    const SidecarController::Endpoints endpoints{
        tcp::acceptor(io_, tcp::endpoint(own_address, 0)).local_endpoint(),
        udp::socket(io_, udp::endpoint(own_address, 0)).local_endpoint()};
    sidecars_.push_back(std::make_unique<SidecarController>(context_, request_history_, *datagrams_, name,
                                                            endpoints, options_.program, folder_.path()));
    datagrams_->add(name, {link_address, 0}, endpoints.cluster);
    const auto endpoint_of = [this, name](const std::string& uid) { return link(name, uid).endpoint(); };
    discoveries_.push_back(std::make_unique<DiscoveryEmulator>(context_, endpoint_of,
                                                               tcp::endpoint(address(kDiscoveryHost), 0)));
    add_link(name, kDiscoveryName, discoveries_.back()->endpoint());
    observe_endpoint_list(link(name, kDiscoveryName), context_, request_history_, name);
    // The link listens on another address, because the sidecar's port must stay free until the sidecar
    // starts.
    add_link(clients_name(sidecar), name, endpoints.listen, link_address);
}

std::size_t ProcessTestbed::add_server() {
    const std::size_t number = servers_.size();
    const std::string name = server_name(number);
    servers_.push_back(std::make_unique<ServerEmulator>(
        context_, request_history_, name, tcp::endpoint(address(host(kFirstServerHost, number)), 0)));
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        const std::string sidecar = sidecar_name(i);
        add_link(sidecar, name, servers_.back()->endpoint());
        observe_attempts(link(sidecar, name), context_, request_history_, sidecar, name);
    }
    set_endpoint_state(number, EndpointState::active);
    return number;
}

void ProcessTestbed::set_endpoint_state(std::size_t server, EndpointState state) {
    for (const auto& discovery : discoveries_) discovery->set_state(server_name(server), state);
}

fault_proxy::StreamLink& ProcessTestbed::link(const std::string& from, const std::string& to) {
    return *links_.at({from, to});
}

void ProcessTestbed::add_link(const std::string& from, const std::string& to, const tcp::endpoint& target,
                              const std::optional<asio::ip::address>& listen_address) {
    const tcp::endpoint listen(listen_address.value_or(target.address()), 0);
    links_[{from, to}] = std::make_unique<fault_proxy::StreamLink>(context_, Link{from, to}, listen, target);
}

std::string ProcessTestbed::status_path(std::size_t sidecar) const {
    return (folder_.path() / (sidecar_name(sidecar) + ".status")).string();
}

void ProcessTestbed::write_files(std::size_t sidecar, const std::string& operator_file) {
    SidecarController& controller = *sidecars_[sidecar];
    SidecarIdentity identity;
    identity.name = controller.name();
    identity.number = sidecar;
    identity.run = controller.runs() + 1;
    identity.listen = controller.endpoints().listen;
    identity.discovery = link(controller.name(), kDiscoveryName).endpoint();
    identity.cluster_listen = controller.endpoints().cluster;
    for (const auto& peer : sidecars_) identity.peers.push_back(datagrams_->address_of(peer->name()));
    identity.broadcast = datagrams_->broadcast_address();
    identity.known_endpoints = discoveries_[sidecar]->whole_list();
    controller.process().write_config(sidecar_config(options_, identity));
    controller.process().write_operator_file(
        sidecar_operator_file(options_, operator_file, status_path(sidecar)));
}

void ProcessTestbed::start() {
    for (std::size_t i = 0; i < sidecars_.size(); ++i) restart(i);
    const auto is_ready = [](const auto& sidecar) { return sidecar->is_ready(); };
    if (run_until([&] { return std::all_of(sidecars_.begin(), sidecars_.end(), is_ready); })) return;
    const auto not_ready = std::find_if_not(sidecars_.begin(), sidecars_.end(), is_ready);
    if (not_ready == sidecars_.end()) return;
    throw SidecarNotReady("sidecar did not become ready: '" + options_.program + "'; its log:\n" +
                          (*not_ready)->log_excerpt() + describe_failure());
}

void ProcessTestbed::restart(std::size_t sidecar, const std::string& command,
                             const std::string& operator_file) {
    SidecarController& controller = *sidecars_[sidecar];
    if (!command.empty()) controller.process().set_command(command);
    if (!operator_file.empty()) operator_files_[sidecar] = operator_file;
    write_files(sidecar, operator_files_[sidecar]);
    controller.start();
}

udp::endpoint ProcessTestbed::cluster_endpoint(std::size_t sidecar) const {
    return sidecars_.at(sidecar)->endpoints().cluster;
}

tcp::endpoint ProcessTestbed::listen_endpoint(std::size_t sidecar) const {
    return sidecars_.at(sidecar)->endpoints().listen;
}

void ProcessTestbed::schedule_process_check() {
    record_crashes();
    context_.schedule(now() + kProcessCheckPeriod, [this] { schedule_process_check(); });
}

void ProcessTestbed::record_crashes() {
    for (const auto& sidecar : sidecars_) {
        if (sidecar->has_crashed()) has_crash_ = true;
    }
}

json ProcessTestbed::status(std::size_t sidecar) {
    struct Reading {
        explicit Reading(asio::io_context& io) : socket(io) {}
        asio::local::stream_protocol::socket socket;
        std::string text;
        bool is_done = false;
    };
    const auto reading = std::make_shared<Reading>(io_);
    reading->socket.async_connect(status_path(sidecar), [reading](Error error) {
        if (error) {
            reading->is_done = true;
            return;
        }
        asio::async_read(reading->socket, asio::dynamic_buffer(reading->text),
                         [reading](Error, std::size_t) { reading->is_done = true; });
    });
    run_until([&] { return reading->is_done; });
    return json::parse(reading->text, nullptr, false);
}

std::size_t ProcessTestbed::open_descriptors(std::size_t sidecar) const {
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process(sidecar).pid()) +
                                                      "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

bool ProcessTestbed::descriptors_are_accounted_for(std::size_t sidecar) {
    for (int check = 0; check < kMaxDescriptorChecks; ++check) {
        const json status_report = status(sidecar);
        if (!status_report.is_object()) return false;
        const std::size_t open = open_descriptors(sidecar);
        std::size_t counted = kReservedDescriptors;
        for (const char* kind : {"clients", "servers", "sessions"}) {
            counted += status_report["sockets"][kind].get<std::size_t>();
        }
        if (open <= counted) return true;
        run_for(kDescriptorCheckPeriod);
    }
    return false;
}

std::string ProcessTestbed::send_request(std::size_t sidecar, ClientRequest request) {
    if (request.deadline <= 0) request.deadline = options_.request_deadline;
    const std::string name = sidecar_name(sidecar);
    return clients_.send(name, link(clients_name(sidecar), name).endpoint(), request);
}

// Runs one step of the event loop and checks the history. Returns false if the current wait must end.
bool ProcessTestbed::run_step(Millis limit) {
    io_.run_one_for(kMaxLoopStep);
    request_history_.check_due_overlaps(now());
    const bool has_no_failure = request_history_.violations().empty() && !has_crash_;
    return has_no_failure && now() < limit;
}

bool ProcessTestbed::run_until(const std::function<bool()>& condition) {
    const Millis limit = now() + kMaxWait;
    while (!condition()) {
        if (!run_step(limit)) return false;
    }
    return true;
}

bool ProcessTestbed::run_for(Millis duration) {
    const Millis end = now() + duration;
    while (now() < end) {
        if (!run_step(end + kMaxWait)) return false;
    }
    return true;
}

bool ProcessTestbed::run_until_idle() {
    if (!run_until([this] { return request_history_.open_requests() == 0; })) return false;
    if (!run_for(2 * RequestHistory::kTolerance)) return false;
    request_history_.check_all_requests_ended(now());
    return request_history_.violations().empty();
}

std::string ProcessTestbed::violations() const {
    std::string text;
    for (const RequestHistory::Violation& violation : request_history_.violations()) {
        text += violation.request_id + ": " + violation.description + "\n";
    }
    return text;
}

std::string ProcessTestbed::describe_failure(const std::string& id) {
    record_crashes();  // a process may have ended since the last check
    const std::string text = violations();
    if (!id.empty()) return text + request_history_.history(id);
    if (request_history_.violations().empty()) return text + request_history_.history();
    return text + request_history_.history(request_history_.violations().front().request_id);
}

}  // namespace elmbay::process_testbed
