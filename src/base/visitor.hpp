/// @file
/// Combines several lambdas into one visitor for std::visit.
#pragma once

namespace elmbay::balancer {

/// A visitor that consists of one lambda for each alternative of a std::variant:
/// std::visit(Visitor{[](const A&) {...}, [](const B&) {...}}, variant). A missing alternative is a
/// compile-time error.
template <class... Handlers>
struct Visitor : Handlers... {
    using Handlers::operator()...;
};

/// Deduces the types of the lambdas. C++20 deduces them for aggregates without this guide, but some compilers
/// do not implement that yet.
template <class... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

}  // namespace elmbay::balancer
