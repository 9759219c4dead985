#include "balancer/server_pool.hpp"

namespace elmbay::balancer {

void ServerPool::draw_pool(Millis now) {
    aperture_->draw(now, load());
    ejection_->compare_with(aperture_->pool());
    admission_->pool_is(aperture_->warm());
}

}  // namespace elmbay::balancer
