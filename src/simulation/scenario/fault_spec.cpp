#include "simulation/scenario/fault_spec.hpp"

namespace elmbay::simulation {

bool ends_server_process(FaultKind kind) {
    return kind == FaultKind::crash || kind == FaultKind::machine_cut_off || kind == FaultKind::drain;
}

bool affects_messages(FaultKind kind) {
    return kind == FaultKind::message_loss || kind == FaultKind::message_delay;
}

bool affects_links(FaultKind kind) {
    return kind == FaultKind::partition || kind == FaultKind::one_way_partition || affects_messages(kind);
}

bool has_no_targets(FaultKind kind) {
    return kind == FaultKind::list_delay || kind == FaultKind::load_surge || affects_links(kind);
}

}  // namespace elmbay::simulation
