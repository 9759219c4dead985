#include "state/command.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state/snapshot_store.hpp"

namespace elmbay::state {

namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr std::int64_t kEndOfYear9999Seconds = 253402300799;  // Unix seconds
constexpr std::uint32_t kMaxOutcomesPerServer = 20;  // the outcomes that the decision module keeps per server

std::string format_timestamp(const Timestamp& time) {
    // The time comes from a file and may be any number. Times that do not fit a four-digit year are printed
    // in milliseconds.
    const std::int64_t seconds = time.wall_ms / 1000;
    if (seconds < 0 || seconds > kEndOfYear9999Seconds) return fmt::format("{} ms", time.wall_ms);
    return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(static_cast<std::time_t>(seconds)));
}

std::vector<GenerationFile> read_generations(const std::string& directory) {
    GenerationList list = list_generations(posix_file_system(), directory);
    if (list.error) throw std::runtime_error(directory + ": " + list.error.message());
    return std::move(list.files);
}

std::string describe_validity(const GenerationFile& file) {
    if (file.read_error) return file.read_error.message();
    const std::string error = describe_error(file.content);
    if (file.content.error == StateError::unsupported_version) return "newer version: " + error;
    if (file.content.error) return "invalid: " + error;
    return file.content.dropped_tail ? "valid, " + describe_dropped_tail(file.content) : "valid";
}

int verify(const std::string& directory) {
    bool any_valid = false;
    for (const GenerationFile& file : read_generations(directory)) {
        fmt::print("{}  {} bytes  {}", file.name, file.size, describe_validity(file));
        if (file.content.snapshot) {
            any_valid = true;
            fmt::print("; instance '{}', taken {}, {} servers, {} change batches",
                       file.content.snapshot->instance, format_timestamp(file.content.snapshot->taken_at),
                       file.content.snapshot->server_uids.size(), file.content.batches - 1);
        }
        fmt::print("\n");
    }
    if (!any_valid) fmt::print(stderr, "elmbay: {}: no valid snapshot in this directory\n", directory);
    return any_valid ? kExitSuccess : kExitFailure;
}

// Formats the outcomes of a server's latest requests, oldest first: '+' is a success, '-' a failure.
std::string format_outcomes(const balancer::LearnedServerState& server) {
    std::string outcomes;
    for (std::uint32_t bit = std::min(server.outcome_count, kMaxOutcomesPerServer); bit-- > 0;)
        outcomes += (server.outcome_bits >> bit & 1U) != 0 ? '+' : '-';
    return outcomes;
}

nlohmann::ordered_json snapshot_json(const GenerationFile& file) {
    const Snapshot& snapshot = *file.content.snapshot;
    const balancer::LearnedState& learned_state = snapshot.learned_state;
    nlohmann::ordered_json json{{"file", file.name},
                                {"generation", file.content.generation},
                                {"instance", snapshot.instance},
                                {"taken", format_timestamp(snapshot.taken_at)},
                                {"taken_ms", snapshot.taken_at.wall_ms},
                                {"room", learned_state.concurrency_limit},
                                {"ceiling", learned_state.learned_limit},
                                {"taught_by", learned_state.learned_limit_warm_servers},
                                {"crowd", learned_state.load_ratio.value},
                                {"carried_a_second", learned_state.completion_rate * 1000},
                                {"retries_left", learned_state.retries_left}};
    json["servers"] = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < snapshot.server_uids.size(); ++i) {
        const balancer::LearnedServerState& learned_server = learned_state.servers[i];
        nlohmann::ordered_json server{{"uid", snapshot.server_uids[i]},
                                      {"online_since", learned_server.online_since},
                                      {"outcomes", format_outcomes(learned_server)}};
        if (learned_server.ejection_remaining_ms)
            server["removed_for_ms"] = *learned_server.ejection_remaining_ms;
        json["servers"].push_back(server);
    }
    return json;
}

void print_text(const GenerationFile& file) {
    const Snapshot& snapshot = *file.content.snapshot;
    const balancer::LearnedState& learned_state = snapshot.learned_state;
    fmt::print("{} (generation {}), instance '{}', taken {}\n", file.name, file.content.generation,
               snapshot.instance, format_timestamp(snapshot.taken_at));
    fmt::print(
        "concurrency limit {:.1f}, learned limit {:.1f} from {:.1f} servers, load ratio {:.2f}, "
        "completed {:.1f}/s, retries left {:.1f}\n",
        learned_state.concurrency_limit, learned_state.learned_limit,
        learned_state.learned_limit_warm_servers, learned_state.load_ratio.value,
        learned_state.completion_rate * 1000, learned_state.retries_left);
    for (std::size_t i = 0; i < snapshot.server_uids.size(); ++i) {
        const balancer::LearnedServerState& server = learned_state.servers[i];
        const std::string removed =
            server.ejection_remaining_ms
                ? fmt::format("ejected for another {:.1f}s", *server.ejection_remaining_ms / 1000)
                : "";
        fmt::print("  {:<24} {:<20} {}\n", snapshot.server_uids[i], format_outcomes(server), removed);
    }
}

int show(const std::string& directory, bool as_json) {
    for (const GenerationFile& file : read_generations(directory)) {
        if (!file.content.snapshot) continue;
        if (as_json)
            fmt::print("{}\n",
                       snapshot_json(file).dump(1, ' ', false, nlohmann::json::error_handler_t::replace));
        else
            print_text(file);
        return kExitSuccess;
    }
    fmt::print(stderr,
               "elmbay: {}: no valid snapshot in this directory; `elmbay state verify` lists the reasons\n",
               directory);
    return kExitFailure;
}

int prune(const std::string& directory) {
    read_generations(directory);  // throws if the directory does not exist; open() would create it
    SnapshotStore store(posix_file_system(), directory, "");
    if (const std::error_code error = store.open()) {
        const bool in_use = error == StateError::directory_in_use;
        fmt::print(stderr, "elmbay: {}: {}\n", directory,
                   in_use ? "the directory is in use by a running sidecar" : error.message());
        return kExitFailure;
    }
    const PruneResult result = store.prune();
    for (const std::string& name : result.removed) fmt::print("removed {}\n", name);
    if (result.error) fmt::print(stderr, "elmbay: {}: {}\n", directory, result.error.message());
    return result.error ? kExitFailure : kExitSuccess;
}

using DirectoryCommand = std::function<int(const std::string& directory)>;

CLI::App* add_subcommand_for_directory(CLI::App& parent, const char* name, const char* description,
                                       DirectoryCommand command_function, std::function<int()>& run) {
    const auto directory = std::make_shared<std::string>();
    CLI::App* command = parent.add_subcommand(name, description);
    command->add_option("folder", *directory, "the snapshot directory")->required();
    command->callback([directory, command_function = std::move(command_function), &run] {
        run = [directory, command_function] { return command_function(*directory); };
    });
    return command;
}

}  // namespace

void add_command(CLI::App& app, std::function<int()>& run) {
    CLI::App* state = app.add_subcommand("state", "inspects or prunes a snapshot directory");
    state->require_subcommand(1);
    const auto as_json = std::make_shared<bool>(false);
    const DirectoryCommand show_function = [as_json](const std::string& directory) {
        return show(directory, *as_json);
    };
    add_subcommand_for_directory(*state, "show", "prints the newest valid snapshot", show_function, run)
        ->add_flag("--json", *as_json, "prints the snapshot as JSON");
    add_subcommand_for_directory(*state, "verify", "lists every generation and its errors", verify, run);
    add_subcommand_for_directory(*state, "prune", "removes files that no start would load", prune, run);
}

}  // namespace elmbay::state
