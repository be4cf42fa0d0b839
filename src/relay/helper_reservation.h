// Reserves KV memory for a prompt that several engines hold.
#ifndef CACTUSWARD_SRC_RELAY_HELPER_RESERVATION_H_
#define CACTUSWARD_SRC_RELAY_HELPER_RESERVATION_H_

#include <string>
#include <vector>

#include "src/relay/memory_reservation.h"
#include "src/relay/relay_assignment.h"
#include "src/relay/relay_protocol.h"

namespace cactusward {

// Reserves what `assignment` needs on its engines, and lists these as the
// upstream expects them. Not thread-safe.
// @param id_prefix unique for the attempt.
// @param memory holds the reservations; released when it is destroyed.
// @return as memory_reservation::Acquire on failure.
result<std::vector<helper_address>> ReserveHelpers(
    const relay_assignment& assignment,
    const std::string& id_prefix,
    time_point deadline,
    cancel_token* cancel,
    memory_reservation* memory,
    asio::yield_context yield);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_HELPER_RESERVATION_H_
