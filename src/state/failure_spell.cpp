#include "state/failure_spell.hpp"

namespace elmbay::state {

namespace {

bool fails(const Keeper::Status& status) { return status.hangs || !status.last_error.empty(); }

}  // namespace

std::optional<std::string> FailureSpell::observe(const Keeper::Status& status) {
    if (fails(status) == failing_) return {};
    failing_ = !failing_;
    if (!failing_) return "written again";
    return "can't be written: " + (status.hangs ? "the disk hangs" : status.last_error);
}

void FailureSpell::begun(const Keeper::Status& status) { failing_ = fails(status); }

}  // namespace elmbay::state
