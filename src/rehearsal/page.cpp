#include "rehearsal/report.hpp"
namespace elmbay::rehearsal {
std::string page_of(const Report&) { return ""; }
}  // namespace elmbay::rehearsal
