// libFuzzer target for the decoder of snapshot files. For any input it must neither throw nor return an
// inconsistent snapshot. `.ci/run` builds this file with clang and runs it briefly.
#include <cstdint>
#include <cstdlib>
#include <cstring>

#include "samples.hpp"

using namespace elmbay::state;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t max_size);

// Replaces empty inputs and one other input in 16 by a valid file before mutating it, because random
// mutations do not produce valid headers.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t max_size,
                                               unsigned seed) {
    if (seed % 16 == 0 || size == 0) {
        std::uint64_t next_record = 0;
        const Snapshot first = test::make_snapshot(1, 2), second = test::make_snapshot(2, 3);
        const std::string bytes = encode_header(first, 7) + encode_batch(nullptr, first, 7, next_record) +
                                  encode_batch(&first, second, 7, next_record);
        size = std::min(bytes.size(), max_size);
        std::memcpy(data, bytes.data(), size);
    }
    return LLVMFuzzerMutate(data, size, max_size);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const DecodeResult result = decode_snapshot_file({reinterpret_cast<const char*>(data), size});
    const bool is_valid = !result.error;
    if (is_valid != result.snapshot.has_value() || result.used_bytes > size) std::abort();
    if (!is_valid) return 0;
    const Snapshot& snapshot = *result.snapshot;
    if (snapshot.server_uids.size() != snapshot.learned_state.servers.size() ||
        snapshot.server_uids.size() > kMaxServers)
        std::abort();
    if (snapshot.instance.empty() || snapshot.instance.size() > kMaxNameBytes) std::abort();
    // Encoding the decoded snapshot and decoding it again must give the same snapshot.
    std::uint64_t next_record = 0, second_next_record = 0;
    const std::string bytes = encode_header(snapshot, 7) + encode_batch(nullptr, snapshot, 7, next_record);
    const DecodeResult decoded_again = decode_snapshot_file(bytes);
    if (!decoded_again.snapshot || encode_batch(nullptr, *decoded_again.snapshot, 7, second_next_record) !=
                                       bytes.substr(encode_header(snapshot, 7).size()))
        std::abort();
    return 0;
}
