#include "process_testbed/sidecar_config.hpp"

#include <fmt/format.h>

#include "fault_proxy/endpoint_text.hpp"

namespace elmbay::process_testbed {

using fault_proxy::text_of;

namespace {

constexpr std::size_t kZones = 3;  // zones a, b and c, assigned in turn
// Every run of every sidecar gets its own seed. The steps between the seeds of the options and of the
// sidecars leave room for 1,009 runs of a sidecar.
constexpr std::uint64_t kSeedStepOfOptions = 1000003;
constexpr std::uint64_t kSeedStepOfSidecar = 1009;

json request_class(const Options& options, const char* name, const char* effect) {
    return {{"name", name},
            {"effect", effect},
            {"dedup-scope", "all"},
            {"dedup-window-ms", 3000.0},
            {"on-time-ms", options.latency_objective},
            {"give-up-ms", options.request_deadline},
            {"credit", 3.0},
            {"late-value", 0.0}};
}

json settings_of(const Options& options, const SidecarIdentity& identity) {
    json settings = {
        {"azs", "a,b,c"},
        {"my-zone", std::string(1, static_cast<char>('a' + identity.number % kZones))},
        {"classes",
         {request_class(options, "listen", "repeatable"), request_class(options, "deposit", "once"),
          request_class(options, "annotate", "by_key")}},
        {"membership-mode", "pushed"},
        {"my-number", identity.number},
        {"siblings", identity.peers.size()},
        {"limits",
         {{"max-attempts", 4},
          {"may-cancel", true},
          {"parallel-tries", false},
          {"connect-timeout-ms", 150.0},
          {"idle-close-ms", 15000.0}}},
        {"rules", {{"cold-from", 0.16}, {"fall-multiple", 2.5}, {"warm-within-ms", 20000.0}}}};
    settings.merge_patch(options.settings);
    return settings;
}

}  // namespace

json sidecar_config(const Options& options, const SidecarIdentity& identity) {
    const std::uint64_t seed =
        options.seed * kSeedStepOfOptions + identity.number * kSeedStepOfSidecar + identity.run;
    json peers = json::array();
    for (const auto& peer : identity.peers) peers.push_back(text_of(peer));
    return {{"name", identity.name},
            {"listen", text_of(identity.listen)},
            {"discovery", text_of(identity.discovery)},
            {"seed", fmt::format("{:x}", seed)},
            {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", options.max_sockets}}},
            {"peer_listen", text_of(identity.cluster_listen)},
            {"peers", peers},
            {"peers_all", text_of(identity.broadcast)},
            {"known", identity.known_endpoints},
            {"settings", settings_of(options, identity)}};
}

std::string sidecar_operator_file(const Options& options, const std::string& extra,
                                  const std::string& status_socket) {
    std::string file = extra;
    if (options.cluster) file += "\n[cluster]\non = true\n";
    if (options.status) file += "\n[status]\nsocket = \"" + status_socket + "\"\n";
    return file;
}

}  // namespace elmbay::process_testbed
