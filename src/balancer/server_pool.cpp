#include "balancer/server_pool.hpp"

namespace elmbay::balancer {

void ServerPool::draw_pool(Millis now) {
    aperture_->draw_pool(now, load());
    ejection_->compare_with_pool(aperture_->pool());
    admission_->set_warm_servers(aperture_->warm_count());
}

}  // namespace elmbay::balancer
