// A smallest list of things that still fails, by leaving some out: halves, quarters, down to single ones
// (delta debugging, Zeller and Hildebrandt 2002, without the complements).
#pragma once

#include <algorithm>
#include <vector>

namespace elmbay::process_testbed {

// fails is asked of each shorter list; what is returned failed. rounds: of a whole pass, at most.
template <class T, class Fails>
std::vector<T> shrink(std::vector<T> list, const Fails& fails, int rounds = 3) {
    for (int round = 0; round < rounds; ++round) {
        const std::size_t before = list.size();
        for (std::size_t part = std::max<std::size_t>(1, list.size() / 2); part > 0; part /= 2)
            for (std::size_t from = 0; from < list.size();) {
                std::vector<T> less = list;
                const std::size_t to = std::min(list.size(), from + part);
                less.erase(less.begin() + static_cast<std::ptrdiff_t>(from),
                           less.begin() + static_cast<std::ptrdiff_t>(to));
                if (!less.empty() && fails(less))
                    list = std::move(less);
                else
                    from += part;
            }
        if (list.size() == before) break;
    }
    return list;
}

}  // namespace elmbay::process_testbed
