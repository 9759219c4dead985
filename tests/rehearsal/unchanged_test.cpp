// While the decision module is taken apart no decision may change: the event logs of all incidents, summed
// up, as they were before. Goes when a change of the decisions is meant.
#include <gtest/gtest.h>

#include <algorithm>

#include "bundle.hpp"
#include "rehearsal/virtual_run.hpp"

namespace elmbay::rehearsal {
namespace {

struct Before {
    const char* incident;
    std::uint64_t seed;  // 0: the file's own
    std::uint64_t lines, hash;
};
const Before kBefore[] = {
    {"all-at-once", 0, 73463, 0x57888b7c094e8aa0ULL},
    {"all-at-once", 7, 74139, 0x489d65a77a1fc31bULL},
    {"all-at-once", 8, 64827, 0x60394a2b992a6fd0ULL},
    {"all-at-once", 9, 88309, 0x104abd20d3d035fbULL},
    {"calm", 0, 29544, 0x1633eb5ffe4225fdULL},
    {"calm", 7, 30266, 0xfe20b275d1fe48cbULL},
    {"calm", 8, 29849, 0xd864b8415008fe11ULL},
    {"calm", 9, 30082, 0xbea298bc4a4f06c3ULL},
    {"cold-but-willing", 0, 56719, 0xbbb38adecc9791f7ULL},
    {"cold-but-willing", 7, 57606, 0x43b3c5990e3d9592ULL},
    {"cold-but-willing", 8, 56544, 0xa8f48171ec0a07d4ULL},
    {"cold-but-willing", 9, 57951, 0xb0cb7b0ecbd33b15ULL},
    {"fast-errors", 0, 57394, 0x75bcbebc753c4f1fULL},
    {"fast-errors", 7, 57934, 0x77e150d6b7255180ULL},
    {"fast-errors", 8, 56942, 0xd34a4109d12f14acULL},
    {"fast-errors", 9, 58211, 0xe430ec0c3f8073feULL},
    {"freezes", 0, 57564, 0x8342ce036c847d53ULL},
    {"freezes", 7, 57907, 0x712a8f45cd532e8dULL},
    {"freezes", 8, 56851, 0x341acd10513004caULL},
    {"freezes", 9, 58177, 0x4ec4e1d2a5e2c92aULL},
    {"list-late", 0, 65054, 0x7893a9f6ee6539e1ULL},
    {"list-late", 7, 65471, 0xbff8d19e1d8b30e3ULL},
    {"list-late", 8, 64700, 0x1015e2847f5dd62fULL},
    {"list-late", 9, 65828, 0x7296e0226b40be77ULL},
    {"quarter-dies-returns-cold", 0, 74946, 0xd73b6fb38ab283efULL},
    {"quarter-dies-returns-cold", 7, 74581, 0x325851ca9f05f2daULL},
    {"quarter-dies-returns-cold", 8, 73707, 0x3365cd87eaa92bb6ULL},
    {"quarter-dies-returns-cold", 9, 74589, 0x503ceb65789a5668ULL},
    {"radio-feature", 0, 43059, 0x4fd5ffae0608c143ULL},
    {"radio-feature", 7, 43220, 0x30b50f3031e67f10ULL},
    {"radio-feature", 8, 35272, 0x4e8e0a6e3e10d948ULL},
    {"radio-feature", 9, 42999, 0xb1494699a263bf41ULL},
    {"rolling-drain", 0, 89344, 0x99c700b0109020e4ULL},
    {"rolling-drain", 7, 90289, 0xd95ff074aa6651d4ULL},
    {"rolling-drain", 8, 89038, 0xbb932180eb12f49eULL},
    {"rolling-drain", 9, 90234, 0xd9d93f3b05ac2e69ULL},
    {"rush-without-backoff", 0, 63627, 0xebf51aea9ed16ec3ULL},
    {"rush-without-backoff", 7, 64219, 0xbc7238050ebeedf3ULL},
    {"rush-without-backoff", 8, 62261, 0x2a67705bd5501a49ULL},
    {"rush-without-backoff", 9, 64154, 0xdb6a52ad0b30a426ULL},
    {"sidecars-restart", 0, 47767, 0x632ab1e72a6921e7ULL},
    {"sidecars-restart", 7, 47881, 0x6f87f749ddbe212bULL},
    {"sidecars-restart", 8, 46987, 0xc58885631112010aULL},
    {"sidecars-restart", 9, 47829, 0x61dd4fbf96f1326dULL},
};

TEST(Unchanged, EveryIncidentLogsTheSameBytes) {
    for (const Before& b : kBefore)
        for (const Bundled& bundle : bundled()) {
            if (bundle.name != b.incident) continue;
            const auto seed = b.seed > 0 ? std::optional(b.seed) : std::nullopt;
            const Report report = run_virtual(parse_incident(bundle.text, b.incident, seed), {});
            EXPECT_EQ(report.log_lines, b.lines) << b.incident << " seed " << b.seed;
            EXPECT_EQ(report.log_hash, b.hash) << b.incident << " seed " << b.seed;
        }
}

}  // namespace
}  // namespace elmbay::rehearsal
