/// @file
/// Makes one visitor of a std::variant out of several lambdas.
#pragma once

namespace elmbay::balancer {

/// std::visit(Visitor{[](const A&) {...}, [](const B&) {...}}, variant): a lambda for each alternative, and a
/// missing one does not compile.
template <class... Handlers>
struct Visitor : Handlers... {
    using Handlers::operator()...;
};

/// Deduces the lambdas' types. (C++20 does it for aggregates on its own, but not every compiler yet.)
template <class... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

}  // namespace elmbay::balancer
