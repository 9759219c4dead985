/// @file
/// The adapter process that the simulator starts. Implements the wire protocol on standard input and output.
#include <iostream>

#include "simulator/host.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return elmbay::balancer::wire::Host(std::cin, std::cout, std::cerr).run();
}
