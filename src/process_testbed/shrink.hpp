// Shrinks a list that fails a test to a smaller list that still fails, by removing elements.
#pragma once

#include <algorithm>
#include <vector>

namespace elmbay::process_testbed {

/// Delta debugging (Zeller and Hildebrandt 2002) without complements: removes halves, then quarters, down to
/// single elements, as long as the rest still fails.
/// @param list       a list that fails.
/// @param fails      returns whether a shorter list still fails.
/// @param max_rounds maximum number of passes over the whole list; a pass that removes nothing is the last.
/// @return a list that fails; not empty unless `list` was empty.
template <class T, class Fails>
std::vector<T> shrink(std::vector<T> list, const Fails& fails, int max_rounds = 3) {
    for (int round = 0; round < max_rounds; ++round) {
        const std::size_t size_before = list.size();
        for (std::size_t chunk = std::max<std::size_t>(1, list.size() / 2); chunk > 0; chunk /= 2) {
            for (std::size_t begin = 0; begin < list.size();) {
                const std::size_t end = std::min(list.size(), begin + chunk);
                std::vector<T> shorter = list;
                shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(begin),
                              shorter.begin() + static_cast<std::ptrdiff_t>(end));
                if (!shorter.empty() && fails(shorter)) {
                    list = std::move(shorter);
                } else {
                    begin += chunk;
                }
            }
        }
        if (list.size() == size_before) break;
    }
    return list;
}

}  // namespace elmbay::process_testbed
