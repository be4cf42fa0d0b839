// Synthetic workloads of the two deployments: seeded arrivals of requests.
#ifndef CACTUSWARD_SRC_MODEL_WORKLOAD_H_
#define CACTUSWARD_SRC_MODEL_WORKLOAD_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cactusward::model {

// One kind of request in a mix.
struct request_kind {
  std::string name;
  double share = 0;  // fraction of all requests
  std::int64_t min_prompt_tokens = 0;
  std::int64_t max_prompt_tokens = 0;
  int output_tokens = 0;
  std::string service;  // plain services only
  std::string call;
  bool repeatable = true;
};

struct workload_mix {
  std::string name;
  std::string model;
  std::vector<request_kind> kinds;
};

// Returns the mix with the given name, "svaz" or "virtanen"; an empty mix for
// any other name.
workload_mix FindWorkloadMix(const std::string& name);

// Returns the mean prompt tokens of a request; plain calls count as 0.
double MeanPromptTokens(const workload_mix& mix);

struct arrival {
  double at_seconds = 0;
  std::size_t kind = 0;
  std::int64_t prompt_tokens = 0;
  std::uint64_t number = 0;
};

// Generates Poisson arrivals at `rate` per second for `seconds`. The result is
// determined by the arguments.
std::vector<arrival> MakeArrivals(const workload_mix& mix,
                                  double rate,
                                  double seconds,
                                  std::uint64_t seed);

// Generates the prompt of an arrival: `prompt_tokens` tokens, different for
// each seed and arrival.
std::string MakePrompt(const arrival& arrival, std::uint64_t seed);

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_WORKLOAD_H_
