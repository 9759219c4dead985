#include "state/command.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>

#include "state/snapshot_store.hpp"

namespace elmbay::state {

namespace {

constexpr int kOk = 0, kFailed = 1;

std::string time_text(std::int64_t wall_ms) {
    // What a file says may be any number; a date has four digits for its year.
    constexpr std::int64_t kYear9999 = 253402300799;
    const std::int64_t seconds = wall_ms / 1000;
    if (seconds < 0 || seconds > kYear9999) return fmt::format("{} ms", wall_ms);
    return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(static_cast<std::time_t>(seconds)));
}

using Entries = std::vector<SnapshotStore::GenerationFile>;

Entries list_generations(const std::string& folder) {
    std::error_code error;
    Entries entries = SnapshotStore::list_generations(posix_file_system(), folder, error);
    if (error) throw std::runtime_error(folder + ": " + error.message());
    return entries;
}

std::string verdict(const SnapshotStore::GenerationFile& e) {
    if (e.error) return e.error.message();
    if (e.reading.trouble == Trouble::newer) return "newer: " + e.reading.why;
    if (e.reading.trouble == Trouble::broken) return "broken: " + e.reading.why;
    return e.reading.why.empty() ? "whole" : "whole, " + e.reading.why;
}

int verify(const std::string& folder) {
    const Entries entries = list_generations(folder);
    bool whole = false;
    for (const SnapshotStore::GenerationFile& e : entries) {
        whole = whole || e.reading.snapshot.has_value();
        fmt::print("{}  {} bytes  {}", e.name, e.size, verdict(e));
        if (e.reading.snapshot)
            fmt::print("; of '{}', {}, {} servers, {} changes", e.reading.snapshot->instance,
                       time_text(e.reading.snapshot->taken.wall_ms), e.reading.snapshot->uids.size(),
                       e.reading.batches - 1);
        fmt::print("\n");
    }
    if (!whole) fmt::print(stderr, "elmbay: {}: no whole state in it\n", folder);
    return whole ? kOk : kFailed;
}

nlohmann::ordered_json json_of(const SnapshotStore::GenerationFile& e) {
    const Snapshot& s = *e.reading.snapshot;
    nlohmann::ordered_json j{{"file", e.name},
                             {"generation", e.reading.generation},
                             {"instance", s.instance},
                             {"taken", time_text(s.taken.wall_ms)},
                             {"taken_ms", s.taken.wall_ms}};
    j["room"] = s.knowledge.room, j["ceiling"] = s.knowledge.learned, j["taught_by"] = s.knowledge.taught_by;
    j["crowd"] = s.knowledge.crowd.value, j["carried_a_second"] = s.knowledge.carried * 1000;
    j["retries_left"] = s.knowledge.retries_left;
    j["servers"] = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < s.uids.size(); ++i) {
        const hollybeam::ServerKnowledge& k = s.knowledge.servers[i];
        std::string outcomes;  // the oldest first
        for (std::uint32_t bit = std::min(k.seen, 20U); bit-- > 0;)
            outcomes += k.outcomes >> bit & 1U ? '+' : '-';
        nlohmann::ordered_json server{
            {"uid", s.uids[i]}, {"online_since", k.online_since}, {"outcomes", outcomes}};
        if (k.out_ms) server["removed_for_ms"] = *k.out_ms;
        j["servers"].push_back(server);
    }
    return j;
}

int show(const std::string& folder, bool as_json) {
    for (const SnapshotStore::GenerationFile& e : list_generations(folder)) {
        if (!e.reading.snapshot) continue;
        const nlohmann::ordered_json j = json_of(e);
        if (as_json) {
            fmt::print("{}\n", j.dump(1, ' ', false, nlohmann::json::error_handler_t::replace));
            return kOk;
        }
        const Snapshot& s = *e.reading.snapshot;
        fmt::print("{} (generation {}), of '{}', {}\n", e.name, e.reading.generation, s.instance,
                   time_text(s.taken.wall_ms));
        fmt::print(
            "room {:.1f}, ceiling {:.1f} taught by {:.1f} servers, crowd {:.2f}, carried {:.1f}/s, retries "
            "{:.1f}\n",
            s.knowledge.room, s.knowledge.learned, s.knowledge.taught_by, s.knowledge.crowd.value,
            s.knowledge.carried * 1000, s.knowledge.retries_left);
        for (const auto& server : j["servers"])
            fmt::print(
                "  {:<24} {:<20} {}\n", server["uid"].get<std::string>(),
                server["outcomes"].get<std::string>(),
                server.contains("removed_for_ms")
                    ? fmt::format("removed, {:.1f}s left", server["removed_for_ms"].get<double>() / 1000)
                    : "");
        return kOk;
    }
    fmt::print(stderr, "elmbay: {}: no whole state in it; `verify` says why\n", folder);
    return kFailed;
}

int prune(const std::string& folder) {
    list_generations(folder);  // says so if there is no such folder, instead of making one
    SnapshotStore store(posix_file_system(), folder, "");
    if (const std::error_code error = store.open()) {
        fmt::print(
            stderr, "elmbay: {}: {}\n", folder,
            error == std::errc::resource_unavailable_try_again ? "a sidecar is using it" : error.message());
        return kFailed;
    }
    std::error_code error;
    for (const std::string& name : store.prune(error)) fmt::print("removed {}\n", name);
    if (error) fmt::print(stderr, "elmbay: {}: {}\n", folder, error.message());
    return error ? kFailed : kOk;
}

}  // namespace

void add_command(CLI::App& app, std::function<int()>& run) {
    CLI::App* state = app.add_subcommand("state", "looks at a folder of what was learned");
    state->require_subcommand(1);
    const auto add = [&](const char* name, const char* about, std::function<int(const std::string&)> act) {
        auto folder = std::make_shared<std::string>();
        CLI::App* command = state->add_subcommand(name, about);
        command->add_option("folder", *folder, "the folder")->required();
        command->callback(
            [folder, act = std::move(act), &run] { run = [folder, act] { return act(*folder); }; });
        return command;
    };
    auto as_json = std::make_shared<bool>(false);
    add("show", "the state that a start would load", [as_json](const std::string& folder) {
        return show(folder, *as_json);
    })->add_flag("--json", *as_json, "as JSON");
    add("verify", "every generation, and what is wrong with it", verify);
    add("prune", "removes what no start would choose", prune);
}

}  // namespace elmbay::state
