// Workloads of the two deployments: seeded arrivals and what each asks for.
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
  double share = 0;  // of all requests
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

// The mix called `name`: "svaz" or "virtanen"; an empty mix for another name.
workload_mix FindWorkloadMix(const std::string& name);

// Mean prompt tokens of a request, plain calls counted as none.
double MeanPromptTokens(const workload_mix& mix);

// One arrival.
struct arrival {
  double at_seconds = 0;
  std::size_t kind = 0;
  std::int64_t prompt_tokens = 0;
  std::uint64_t number = 0;
};

// Poisson arrivals at `rate` a second during `seconds`. The same arguments
// give the same arrivals.
std::vector<arrival> MakeArrivals(const workload_mix& mix,
                                  double rate,
                                  double seconds,
                                  std::uint64_t seed);

// The prompt of an arrival: `prompt_tokens` tokens, unlike any other.
std::string MakePrompt(const arrival& arrival, std::uint64_t seed);

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_WORKLOAD_H_
