// Ways of a message to all instances.
#ifndef CACTUSWARD_BROADCAST_PLAN_H_
#define CACTUSWARD_BROADCAST_PLAN_H_

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "cactusward/membership.h"

namespace cactusward {

struct broadcast_plan {
  std::vector<const member*> direct;  // recipients
  // Recipients that pass the message on to all others of their availability
  // zone.
  std::vector<const member*> rebroadcasters;
};

// Plans a message to all of `live`, the other live instances: bytes between
// availability zones are few, and a message makes two hops at most. The
// instances of the own zone get it directly, and so do those of a zone that is
// small or in which no instance is known to pass messages on. Of the direct
// recipients, `max_direct` random ones are chosen. Rebroadcasters are random,
// so that a lost one costs single messages and the work is spread.
// @param can_rebroadcast whether an instance passes messages on.
// Precondition: no pointer in `live` is null. Thread-safe.
broadcast_plan PlanBroadcast(
    const std::vector<const member*>& live,
    const std::string& own_zone,
    const std::function<bool(const member&)>& can_rebroadcast,
    std::size_t max_direct,
    std::mt19937_64& random);

}  // namespace cactusward

#endif  // CACTUSWARD_BROADCAST_PLAN_H_
