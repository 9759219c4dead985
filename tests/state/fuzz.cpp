// libFuzzer on the reader of state files: whatever the bytes say, it neither throws nor gives a state without
// sense. `.ci/run` builds it with clang and gives it a short run.
#include <cstdint>
#include <cstdlib>
#include <cstring>

#include "samples.hpp"

using namespace elmbay::state;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

// Now and then a sound file takes the place of the input, to be mutated from there: heads are not to be
// guessed.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned seed) {
    if (seed % 16 == 0 || size == 0) {
        std::uint64_t next = 0;
        const Snapshot one = test::sample(1, 2), two = test::sample(2, 3);
        const std::string bytes =
            encode_header(one, 7) + encode_batch(nullptr, one, 7, next) + encode_batch(&one, two, 7, next);
        size = std::min(bytes.size(), most);
        std::memcpy(data, bytes.data(), size);
    }
    return LLVMFuzzerMutate(data, size, most);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const DecodeResult result = decode_snapshot_file({reinterpret_cast<const char*>(data), size});
    const bool whole = !result.error;
    if (whole != result.snapshot.has_value() || result.used_bytes > size) std::abort();
    if (!whole) return 0;
    const Snapshot& snapshot = *result.snapshot;
    if (snapshot.server_uids.size() != snapshot.learned_state.servers.size() ||
        snapshot.server_uids.size() > kMaxServers)
        std::abort();
    if (snapshot.instance.empty() || snapshot.instance.size() > kMaxNameBytes) std::abort();
    // What was read can be written, and says the same then.
    std::uint64_t next = 0, again = 0;
    const std::string bytes = encode_header(snapshot, 7) + encode_batch(nullptr, snapshot, 7, next);
    const DecodeResult back = decode_snapshot_file(bytes);
    if (!back.snapshot ||
        encode_batch(nullptr, *back.snapshot, 7, again) != bytes.substr(encode_header(snapshot, 7).size()))
        std::abort();
    return 0;
}
