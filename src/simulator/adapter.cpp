// The process that the simulator starts: the wire on standard input and output.
#include <iostream>

#include "simulator/wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return elmbay::balancer::wire::Host(std::cin, std::cout, std::cerr).run();
}
