#include "cactusward/run_time_estimates.h"

#include <algorithm>

namespace cactusward {

void run_time_estimates::Record(const std::string& route,
                                double predicted_ms,
                                double measured_ms) {
  samples& known = by_route_[route];
  known.factors[known.next] = static_cast<float>(measured_ms / predicted_ms);
  known.next = (known.next + 1) % kSamples;
  known.count = std::min(known.count + 1, kSamples);
}

double run_time_estimates::UpperBound(const std::string& route,
                                      double predicted_ms,
                                      run_time_confidence confidence) const {
  const bool certain = confidence == run_time_confidence::kCertain;
  const std::size_t enough = certain ? kSamples : kMinSamples;
  const double unknown =
      certain ? std::max(unknown_factor_, 1.0) : unknown_factor_;
  const auto found = by_route_.find(route);
  if (found == by_route_.end())
    return predicted_ms * unknown;
  const samples& known = found->second;
  const double longest =
      *std::max_element(known.factors.begin(), known.factors.end());
  return predicted_ms *
         (known.count < enough ? std::max(longest, unknown) : longest);
}

}  // namespace cactusward
