#include "simulation/baselines/baseline_policies.hpp"

#include <stdexcept>

#include "simulation/baselines/elmbay_policy.hpp"
#include "simulation/baselines/least_outstanding_policy.hpp"
#include "simulation/baselines/oracle_policy.hpp"

namespace elmbay::simulation {

namespace {

constexpr const char* kElmbay = "elmbay";

/// A LeastOutstandingPolicy with at most one flaw, and its description in help texts.
struct LeastOutstandingVariant {
    PolicyDescription description;
    PolicyFlaws flaws;
};

const std::vector<LeastOutstandingVariant>& least_outstanding_variants() {
    static const std::vector<LeastOutstandingVariant> kVariants{
        {{"plain",
          "simple and correct: least outstanding of two random servers, at most one retry where allowed", ""},
         {}},
        {{"random-storm",
          "random servers without ejection, a short timeout, and immediate retries up to the limit",
          "attempts, goodput"},
         {.retries_without_limit = true, .never_ejects = true}},
        {{"twice-at-once", "starts a second attempt concurrently with the first",
          "nothing takes effect twice"},
         {.duplicates_attempts = true}},
        {{"resend-unsafe", "retries unsafe requests after an error", "nothing takes effect twice"},
         {.retries_non_idempotent = true}},
        {{"deaf-to-drains", "keeps sending to servers that drain or are removed", "drains kept"},
         {.ignores_drains = true}},
        {{"flood-cold", "prefers the server that started last", "no cold server pushed over"},
         {.prefers_newest_server = true}},
        {{"hold-answers", "delays failure responses until shortly before the deadline", "held_back"},
         {.delays_failures = true}},
        {{"never-remove", "never ejects a failing server", "goodput"}, {.never_ejects = true}}};
    return kVariants;
}

std::vector<PolicyDescription> describe_policies() {
    std::vector<PolicyDescription> descriptions{{kElmbay, "elmbay's own decision module", ""}};
    for (const LeastOutstandingVariant& variant : least_outstanding_variants()) {
        descriptions.push_back(variant.description);
    }
    return descriptions;
}

std::vector<std::string> list_oracle_names() {
    std::vector<std::string> names;
    for (const OracleOptions& options : oracle_variants()) names.push_back(options.name);
    return names;
}

}  // namespace

const std::vector<PolicyDescription>& named_policies() {
    static const std::vector<PolicyDescription> kDescriptions = describe_policies();
    return kDescriptions;
}

const std::vector<std::string>& oracle_policy_names() {
    static const std::vector<std::string> kNames = list_oracle_names();
    return kNames;
}

std::unique_ptr<BalancingPolicy> make_policy(const std::string& name, const balancer::Settings& settings,
                                             std::uint64_t seed) {
    if (name == kElmbay) return std::make_unique<ElmbayPolicy>(settings, seed);
    for (const OracleOptions& options : oracle_variants()) {
        if (options.name == name) return std::make_unique<OraclePolicy>(settings, options);
    }
    for (const LeastOutstandingVariant& variant : least_outstanding_variants()) {
        if (variant.description.name == name) {
            return std::make_unique<LeastOutstandingPolicy>(settings, seed, variant.flaws);
        }
    }
    throw std::invalid_argument("'" + name + "' is not a known balancer; `run --help` lists them");
}

}  // namespace elmbay::simulation
