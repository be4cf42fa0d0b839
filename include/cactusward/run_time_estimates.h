// Estimates how long requests run, from a prediction and from how recent
// requests of the same route compared with theirs.
#ifndef CACTUSWARD_RUN_TIME_ESTIMATES_H_
#define CACTUSWARD_RUN_TIME_ESTIMATES_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace cactusward {

// How sure a bound has to be.
enum class run_time_confidence {
  kLikely,   // exceeded by few requests
  kCertain,  // exceeded by no request of a sound upstream
};

// Not thread-safe.
class run_time_estimates {
 public:
  // @param unknown_factor of the prediction, the least that is assumed while
  //     fewer than kMinSamples requests of a route are known.
  explicit run_time_estimates(double unknown_factor)
      : unknown_factor_(unknown_factor) {}

  // Records that a request of `route` ran for `measured_ms`.
  // Precondition: `predicted_ms` > 0.
  void Record(const std::string& route,
              double predicted_ms,
              double measured_ms);
  // The time, in milliseconds, that no recent request of `route` with this
  // prediction would have exceeded; at least the prediction times the unknown
  // factor while few requests are known. For kCertain at least the prediction
  // itself, until kSamples requests are known: a few may all have been fast.
  double UpperBound(const std::string& route,
                    double predicted_ms,
                    run_time_confidence confidence) const;

  // Requests of a route that are taken into account.
  static constexpr std::size_t kSamples = 32;
  // Fewer say little about the longest run.
  static constexpr std::size_t kMinSamples = 4;

 private:
  struct samples {
    std::array<float, kSamples> factors{};  // measured over predicted
    std::size_t next = 0;
    std::size_t count = 0;  // at most kSamples
  };

  double unknown_factor_;
  std::map<std::string, samples> by_route_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_RUN_TIME_ESTIMATES_H_
