// What one instance of the sidecar knew at one time, with the names that outlive a process, and its form in a
// file. No I/O and no clock in here.
//
// A file is a header and batches of records; the first batch is the whole state, each later one what had
// changed since. A batch counts once its closing record is there: a tail that was torn off, at whatever byte,
// leaves the state as of the batch before. docs/operate/state.md states every byte.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hollybeam/knowledge.hpp"

namespace elmbay::state {

// A moment on two clocks. The time since boot is never set back, but means nothing to another boot.
struct Moment {
    std::int64_t wall_ms = 0;        // Unix time
    std::int64_t since_boot_ms = 0;  // CLOCK_BOOTTIME
    std::array<std::uint8_t, 16> boot{};
    bool operator==(const Moment&) const = default;
};
// Milliseconds from then to now: by the time since boot where the boot is the same, else by the wall clock.
// Less than 0: not known, as the wall clock was set back in between: it tells less than nothing, or less than
// the machine has been up since another boot. A step that shows in neither counts in full: forward it makes
// the state older, which is believed less, back younger by no more than the time that the machine was off.
double age_of(const Moment& then, const Moment& now);

struct Snapshot {
    std::string instance;  // whose it is; 1 to 255 bytes
    Moment taken;
    hollybeam::Knowledge knowledge;  // servers[i].server == i
    std::vector<std::string> uids;   // uids[i] names servers[i]; each once, 1 to 255 bytes
};

constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kMaxNameBytes = 255;
constexpr std::size_t kMaxServers = 4096;  // as many as a sidecar lists
constexpr std::size_t kMaxFileBytes =
    8U << 20;  // far above what so many servers take: 4096 of 400 bytes, thrice
// Of a record; also what bounds how deep a hostile one can be nested.
constexpr std::size_t kMaxRecordBytes = 4U << 10;

// The parts of a file, to be written one after another.
std::string encode_header(const Snapshot& snapshot, std::uint64_t generation);
// A batch that makes `before` into `after`; none: the whole of it. Records are numbered through the file from
// 0; `next` is the first free number and is moved on.
std::string encode_batch(const Snapshot* before, const Snapshot& after, std::uint64_t generation,
                         std::uint64_t& next);

enum class Trouble {
    none,
    newer,   // a version that this program does not know: to be left alone
    broken,  // not a whole header, or no whole first batch
};
struct DecodeResult {
    Trouble trouble = Trouble::none;
    std::string why;  // in words, if there is any, or if a tail was dropped
    std::uint32_t version = 0;
    std::uint64_t generation = 0;
    std::uint64_t batches = 0;
    std::uint64_t records = 0;
    std::size_t used = 0;  // bytes that counted; the rest is a torn tail
    std::optional<Snapshot> snapshot{};
};
// Never throws for what the bytes say.
DecodeResult decode_snapshot_file(std::string_view bytes);

}  // namespace elmbay::state
