// One visitor of a variant out of several lambdas.
#pragma once

namespace elmbay::balancer {

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

}  // namespace elmbay::balancer
