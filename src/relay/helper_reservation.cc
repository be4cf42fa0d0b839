#include "src/relay/helper_reservation.h"

#include <utility>

namespace cactusward {

result<std::vector<helper_address>> ReserveHelpers(
    const relay_assignment& assignment,
    const std::string& id_prefix,
    time_point deadline,
    cancel_token* cancel,
    memory_reservation* memory,
    asio::yield_context yield) {
  // The share of the primary engine is reserved as well: if the prompt had to
  // wait for memory there, it would keep the memory of the others occupied.
  std::vector<const relay_assignment::target*> engines;
  if (assignment.primary.reserved_kv_tokens > 0)
    engines.push_back(&assignment.primary);
  for (const relay_assignment::target& helper : assignment.helpers)
    engines.push_back(&helper);
  std::vector<memory_reservation::allocation> allocations;
  for (const relay_assignment::target* engine : engines) {
    if (engine->reserved_kv_tokens > 0)
      allocations.push_back({engine->upstream, engine->reserved_kv_tokens, {}});
  }
  if (!allocations.empty()) {
    const auto granted =
        memory->Acquire(id_prefix, allocations, deadline, cancel, yield);
    if (!granted)
      return {granted.kind(), granted.detail()};
  }
  std::vector<helper_address> addresses;
  std::size_t reserved = 0;
  for (const relay_assignment::target* engine : engines) {
    helper_address address{engine->upstream->entry.address, {}};
    if (engine->reserved_kv_tokens > 0)
      address.reservation = memory->allocations()[reserved++].id;
    addresses.push_back(std::move(address));
  }
  return addresses;
}

}  // namespace cactusward
