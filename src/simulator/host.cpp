#include "simulator/host.hpp"

#include <algorithm>
#include <istream>
#include <ostream>
#include <stdexcept>
#include <utility>
#include <variant>

#include "simulator/action_writer.hpp"

namespace elmbay::balancer::wire {

namespace {

/// Exit code of the process for input that violates the protocol.
constexpr int kExitInvalidInput = 2;

// Names of enumerators in the wire protocol.
const EnumNames<EndpointState> kStateNames{
    {"on", EndpointState::active}, {"fading", EndpointState::draining}, {"off", EndpointState::removed}};
const EnumNames<ListKind> kListKindNames{{"INCREMENTAL", ListKind::incremental},
                                         {"FULL", ListKind::snapshot},
                                         {"SAVED", ListKind::cached},
                                         {"FAILED", ListKind::failed}};
const EnumNames<Outcome> kOutcomeNames{
    {"completed", Outcome::success},           {"errored", Outcome::error_response},
    {"saturated", Outcome::rejected},          {"overdue", Outcome::timed_out},
    {"refused_conn", Outcome::connect_failed}, {"severed", Outcome::connection_reset},
    {"recalled", Outcome::cancelled},          {"superseded", Outcome::not_sent}};

// Returns the index of a name, or the number of names if the list does not contain it.
std::uint32_t index_of(const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

Outcome read_outcome(const Message& message) { return read_enum(message, "rc", kOutcomeNames); }

const std::array<Host::EventRoute, Host::kEventRoutes> Host::kRoutes{{
    {"POWER_OFF", &Host::on_power_off},
    {"PEERS_KNOWN", &Host::on_peers_known},
    {"ACCEPT", &Host::on_accept},
    {"HEAD_RECEIVED", &Host::on_head_received},
    {"VERDICT", &Host::on_verdict},
    {"EXPIRED", &Host::on_expired},
    {"TICK_DUE", &Host::on_tick_due},
    {"HEALTH", &Host::ignore_event},  // the balancer makes no health checks
    {"MEMO", &Host::ignore_event},    // the balancer sends no messages to other instances
}};

Host::Host(std::istream& input, std::ostream& output, std::ostream& error_output)
    : input_(input), output_(output), error_output_(error_output) {}

// ---- Lines and batches ----------------------------------------------------------------------------------

bool Host::next_line(std::string& line) {
    if (!std::getline(input_, line)) return false;
    ++line_number_;
    return true;
}

std::string Host::context(std::string_view kind) const {
    return "line " + std::to_string(line_number_) + ": " + std::string(kind);
}

int Host::report_error(const std::string& what) {
    error_output_ << "elmbay_simulator_adapter: " << what << '\n';
    return kExitInvalidInput;
}

int Host::run() {
    try {
        for (std::string line; next_line(line);) {
            const Message mark(line, line_number_);
            if (mark.kind() != "MARK") mark.throw_wire_error(mark.kind(), WireProblem::mark_expected);
            run_batch(mark);
        }
    } catch (const WireError& error) {
        return report_error(error.what());
    } catch (const FieldError& error) {
        return report_error(error.what());
    }
    return 0;
}

void Host::run_batch(const Message& mark) {
    now_ = mark.number("now-ms");
    const std::uint64_t frame = mark.integer("frame");
    reply_.clear();
    for (std::string line;;) {
        if (!next_line(line)) throw WireError(context("MARK"), WireProblem::input_ends_in_batch);
        const Message message(line, line_number_);
        if (message.kind() == "OVER_TO_YOU") break;
        handle_message(message);
    }
    output_ << reply_ << "END frame=" << frame << '\n' << std::flush;
}

void Host::handle_message(const Message& message) {
    const std::string_view kind = message.kind();
    if (kind == "CATALOG") return on_catalog(message);
    if (kind == "START") return on_start(message);
    const auto* const route = std::find_if(kRoutes.begin(), kRoutes.end(),
                                           [kind](const EventRoute& known) { return known.kind == kind; });
    if (route == kRoutes.end()) return report_unknown_event(message);
    const auto instance = instances_.find(message.text("who"));
    if (instance == instances_.end()) message.throw_wire_error("who", WireProblem::unknown_instance);
    (this->*route->handle)(instance->second, message);
}

void Host::report_unknown_event(const Message& message) {
    const std::string_view kind = message.kind();
    const bool is_reported =
        std::find(reported_kinds_.begin(), reported_kinds_.end(), kind) != reported_kinds_.end();
    if (is_reported) return;
    reported_kinds_.emplace_back(kind);
    error_output_ << "elmbay_simulator_adapter: line " << line_number_ << ": unknown event " << kind
                  << " skipped\n";
}

// ---- Server lists and instances -------------------------------------------------------------------------

void Host::on_catalog(const Message& message) {
    const std::uint64_t number = message.integer("ref");
    if (number >= catalogs_.size()) message.throw_wire_error("ref", WireProblem::unknown_catalog);
    const std::uint64_t count = message.integer("items");
    std::vector<CatalogEntry> entries;
    for (std::uint64_t i = 0; i < count; ++i) entries.push_back(read_catalog_entry(message));
    catalogs_[number] = std::move(entries);
}

CatalogEntry Host::read_catalog_entry(const Message& catalog) {
    std::string line;
    if (!next_line(line)) throw WireError(context("CATALOG"), WireProblem::input_ends_in_catalog);
    const Message message(line, line_number_);
    if (message.kind() != "M") catalog.throw_wire_error("items", WireProblem::wrong_catalog_entry);
    CatalogEntry entry;
    entry.server = message.text("server");
    if (message.has("rack-zone")) entry.zone = message.text("rack-zone");
    if (message.has("kind")) entry.machine_type = message.text("kind");
    entry.cell = static_cast<std::uint32_t>(message.integer_or("pod", 0));
    entry.state = read_enum(message, "phase", kStateNames);
    entry.online_since = message.number_or("online-since-ms", 0);
    entry.weight = sanitize_weight(message.number_or("units", 1));
    return entry;
}

const std::vector<CatalogEntry>& Host::find_catalog(const Message& message) const {
    const std::uint64_t number = message.integer("ref");
    if (number >= catalogs_.size()) message.throw_wire_error("ref", WireProblem::unknown_catalog);
    return catalogs_[number];
}

void Host::on_start(const Message& message) {
    const std::string name(message.text("who"));
    const std::uint64_t seed = message.integer("entropy");
    instances_.erase(name);
    try {
        const auto [entry, is_new] =
            instances_.try_emplace(name, name, read_deployment_settings(message), seed);
        handle_event(entry->second, Started{});
    } catch (const std::invalid_argument& error) {
        write_fault(name, error.what());
    }
}

void Host::on_power_off(Instance& instance, const Message& /*message*/) {
    instances_.erase(instances_.find(instance.name()));
}

void Host::on_peers_known(Instance& instance, const Message& message) {
    const ListKind kind = read_enum(message, "mode", kListKindNames);
    if (kind == ListKind::failed) return handle_event(instance, ServerList{kind, {}});
    const ServerList list = apply_catalog(instance, kind, find_catalog(message));
    handle_event(instance, list);
    instance.remove_unused_servers();
}

ServerList Host::apply_catalog(Instance& instance, ListKind kind, const std::vector<CatalogEntry>& catalog) {
    ServerList list{kind, {}};
    if (kind != ListKind::incremental) instance.unlist_all_servers();
    DeploymentSettings& deployment = instance.deployment();
    for (const CatalogEntry& entry : catalog) {
        const ServerId id = instance.add_server(entry.server);
        instance.set_listed(id, entry.state != EndpointState::removed);
        const ZoneId zone = intern_name(deployment.zones, entry.zone);
        const std::uint32_t machine_type = intern_name(deployment.machine_types, entry.machine_type);
        list.servers.push_back(
            {id, zone, machine_type, entry.cell, entry.state, entry.online_since, entry.weight});
    }
    return list;
}

// ---- Requests and attempts ------------------------------------------------------------------------------

void Host::on_accept(Instance& instance, const Message& message) {
    const DeploymentSettings& deployment = instance.deployment();
    RequestArrived arrived;
    arrived.time_left = message.number("time-left-ms");
    arrived.expected_work = message.number_or("effort-ms", 0);
    arrived.is_client_retry = message.flag_or("repeat", false);
    arrived.class_index = index_of(deployment.classes, message.text("grade"));
    if (message.has("realm")) {
        const std::uint32_t tenant = index_of(deployment.tenants, message.text("realm"));
        if (tenant < deployment.tenants.size()) arrived.tenant = tenant;
    }
    const std::optional<RequestId> id = instance.add_request(std::string(message.text("rid")));
    if (!id) message.throw_wire_error("rid", WireProblem::repeated_request);
    arrived.id = *id;
    handle_event(instance, arrived);
}

void Host::on_head_received(Instance& instance, const Message& message) {
    const std::optional<RequestId> request = instance.find_request(std::string(message.text("rid")));
    const auto attempt = static_cast<std::uint32_t>(message.integer("hop"));
    if (!request) return;  // the request has ended earlier in this batch
    handle_event(instance, ResponseStarted{*request, attempt});
}

void Host::on_expired(Instance& instance, const Message& message) {
    const std::optional<RequestId> request = instance.find_request(std::string(message.text("rid")));
    if (!request) return;  // the request has ended earlier in this batch
    handle_event(instance, ClientDisconnected{*request});
    instance.end_request(*request);
}

void Host::on_verdict(Instance& instance, const Message& message) {
    AttemptEnded ended;
    ended.attempt = static_cast<std::uint32_t>(message.integer("hop"));
    ended.outcome = read_outcome(message);
    ended.duration = message.number_or("duration-ms", 0);
    ended.request_ended = message.flag_or("terminal", false);
    const std::optional<ServerId> server = instance.find_server(std::string(message.text("server")));
    const std::optional<RequestId> request = instance.find_request(std::string(message.text("rid")));
    if (!request) return;
    ended.id = *request;
    instance.attempt_ended(*request, ended.request_ended);
    handle_event(instance, ended);
    instance.remove_finished_request(*request);
    if (server) instance.end_attempt_at_server(*server);
}

void Host::on_tick_due(Instance& instance, const Message& message) {
    handle_event(instance, TimerFired{message.integer("nonce")});
}

void Host::ignore_event(Instance& /*instance*/, const Message& /*message*/) {}

// ---- Actions --------------------------------------------------------------------------------------------

void Host::handle_event(Instance& instance, const Event& event) {
    actions_.clear();
    try {
        instance.balancer().handle(now_, event, actions_);
    } catch (const std::exception& error) {
        write_fault(instance.name(), error.what());
        return;
    }
    ActionWriter writer(instance, reply_);
    for (const Action& action : actions_) {
        std::visit(writer, action);
        reply_ += '\n';
    }
}

void Host::write_fault(const std::string& instance_name, const std::string& what) {
    reply_ += "FAULT who=" + instance_name + " words=" + what + "\n";
}

}  // namespace elmbay::balancer::wire
