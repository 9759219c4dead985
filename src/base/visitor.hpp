// One visitor of a variant out of several lambdas.
#pragma once

namespace elmbay::balancer {

template <class... Ts>
struct Visitor : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Visitor(Ts...) -> Visitor<Ts...>;

}  // namespace elmbay::balancer
