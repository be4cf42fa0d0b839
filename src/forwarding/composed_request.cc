#include "cactusward/composed_request.h"

#include <algorithm>

namespace cactusward {
namespace {

constexpr int kBadRequest = 400;

}  // namespace

bool composed_request_bound::RecordStatus(int status,
                                          std::size_t helper_entries) {
  if (status != kBadRequest || helper_entries == 0)
    return false;
  // The limit of the upstream is not known. Halving finds a list that it
  // accepts within few attempts.
  max_helper_entries_ =
      std::min(max_helper_entries_, static_cast<int>(helper_entries / 2));
  return true;
}

}  // namespace cactusward
