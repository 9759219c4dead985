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

constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr std::int64_t kEndOfYear9999 = 253402300799;  // Unix seconds
constexpr std::uint32_t kMaxOutcomes = 20;             // of a server, as the module keeps them

std::string text_of(const Timestamp& time) {
    // What a file says may be any number; a date has four digits for its year.
    const std::int64_t seconds = time.wall_ms / 1000;
    if (seconds < 0 || seconds > kEndOfYear9999) return fmt::format("{} ms", time.wall_ms);
    return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(static_cast<std::time_t>(seconds)));
}

std::vector<GenerationFile> generations_in(const std::string& directory) {
    GenerationList list = list_generations(posix_file_system(), directory);
    if (list.error) throw std::runtime_error(directory + ": " + list.error.message());
    return std::move(list.files);
}

std::string verdict_of(const GenerationFile& file) {
    if (file.read_error) return file.read_error.message();
    const std::string error = describe_error(file.content);
    if (file.content.error == StateError::unsupported_version) return "newer: " + error;
    if (file.content.error) return "broken: " + error;
    return file.content.dropped_tail ? "whole, " + describe_dropped_tail(file.content) : "whole";
}

int verify(const std::string& directory) {
    bool any_whole = false;
    for (const GenerationFile& file : generations_in(directory)) {
        fmt::print("{}  {} bytes  {}", file.name, file.size, verdict_of(file));
        if (file.content.snapshot) {
            any_whole = true;
            fmt::print("; of '{}', {}, {} servers, {} changes", file.content.snapshot->instance,
                       text_of(file.content.snapshot->taken_at), file.content.snapshot->server_uids.size(),
                       file.content.batches - 1);
        }
        fmt::print("\n");
    }
    if (!any_whole) fmt::print(stderr, "elmbay: {}: no whole state in it\n", directory);
    return any_whole ? kOk : kFailed;
}

// A character each, the oldest first.
std::string outcomes_of(const balancer::LearnedServerState& server) {
    std::string outcomes;
    for (std::uint32_t bit = std::min(server.outcome_count, kMaxOutcomes); bit-- > 0;)
        outcomes += (server.outcome_bits >> bit & 1U) != 0 ? '+' : '-';
    return outcomes;
}

nlohmann::ordered_json json_of(const GenerationFile& file) {
    const Snapshot& snapshot = *file.content.snapshot;
    const balancer::LearnedState& learned_state = snapshot.learned_state;
    nlohmann::ordered_json out{{"file", file.name},
                               {"generation", file.content.generation},
                               {"instance", snapshot.instance},
                               {"taken", text_of(snapshot.taken_at)},
                               {"taken_ms", snapshot.taken_at.wall_ms},
                               {"room", learned_state.concurrency_limit},
                               {"ceiling", learned_state.learned_limit},
                               {"taught_by", learned_state.learned_limit_warm_servers},
                               {"crowd", learned_state.load_ratio.value},
                               {"carried_a_second", learned_state.completion_rate * 1000},
                               {"retries_left", learned_state.retries_left}};
    out["servers"] = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < snapshot.server_uids.size(); ++i) {
        const balancer::LearnedServerState& known = learned_state.servers[i];
        nlohmann::ordered_json server{{"uid", snapshot.server_uids[i]},
                                      {"online_since", known.online_since},
                                      {"outcomes", outcomes_of(known)}};
        if (known.ejection_remaining_ms) server["removed_for_ms"] = *known.ejection_remaining_ms;
        out["servers"].push_back(server);
    }
    return out;
}

void print_for_people(const GenerationFile& file) {
    const Snapshot& snapshot = *file.content.snapshot;
    const balancer::LearnedState& learned_state = snapshot.learned_state;
    fmt::print("{} (generation {}), of '{}', {}\n", file.name, file.content.generation, snapshot.instance,
               text_of(snapshot.taken_at));
    fmt::print(
        "room {:.1f}, ceiling {:.1f} taught by {:.1f} servers, crowd {:.2f}, carried {:.1f}/s, retries "
        "{:.1f}\n",
        learned_state.concurrency_limit, learned_state.learned_limit,
        learned_state.learned_limit_warm_servers, learned_state.load_ratio.value,
        learned_state.completion_rate * 1000, learned_state.retries_left);
    for (std::size_t i = 0; i < snapshot.server_uids.size(); ++i) {
        const balancer::LearnedServerState& server = learned_state.servers[i];
        const std::string removed =
            server.ejection_remaining_ms
                ? fmt::format("removed, {:.1f}s left", *server.ejection_remaining_ms / 1000)
                : "";
        fmt::print("  {:<24} {:<20} {}\n", snapshot.server_uids[i], outcomes_of(server), removed);
    }
}

int show(const std::string& directory, bool as_json) {
    for (const GenerationFile& file : generations_in(directory)) {
        if (!file.content.snapshot) continue;
        if (as_json)
            fmt::print("{}\n", json_of(file).dump(1, ' ', false, nlohmann::json::error_handler_t::replace));
        else
            print_for_people(file);
        return kOk;
    }
    fmt::print(stderr, "elmbay: {}: no whole state in it; `verify` says why\n", directory);
    return kFailed;
}

int prune(const std::string& directory) {
    generations_in(directory);  // says so if there is no such directory, instead of making one
    SnapshotStore store(posix_file_system(), directory, "");
    if (const std::error_code error = store.open()) {
        const bool in_use = error == StateError::directory_in_use;
        fmt::print(stderr, "elmbay: {}: {}\n", directory, in_use ? "a sidecar is using it" : error.message());
        return kFailed;
    }
    const PruneResult result = store.prune();
    for (const std::string& name : result.removed) fmt::print("removed {}\n", name);
    if (result.error) fmt::print(stderr, "elmbay: {}: {}\n", directory, result.error.message());
    return result.error ? kFailed : kOk;
}

using Action = std::function<int(const std::string& directory)>;

CLI::App* add_action(CLI::App& parent, const char* name, const char* about, Action action,
                     std::function<int()>& run) {
    const auto directory = std::make_shared<std::string>();
    CLI::App* command = parent.add_subcommand(name, about);
    command->add_option("folder", *directory, "the folder")->required();
    command->callback([directory, action = std::move(action), &run] {
        run = [directory, action] { return action(*directory); };
    });
    return command;
}

}  // namespace

void add_command(CLI::App& app, std::function<int()>& run) {
    CLI::App* state = app.add_subcommand("state", "looks at a folder of what was learned");
    state->require_subcommand(1);
    const auto as_json = std::make_shared<bool>(false);
    const Action show_action = [as_json](const std::string& directory) { return show(directory, *as_json); };
    add_action(*state, "show", "the state that a start would load", show_action, run)
        ->add_flag("--json", *as_json, "as JSON");
    add_action(*state, "verify", "every generation, and what is wrong with it", verify, run);
    add_action(*state, "prune", "removes what no start would choose", prune, run);
}

}  // namespace elmbay::state
