#include "src/model/workload.h"

#include <cmath>

namespace cactusward::model {
namespace {

constexpr std::size_t kBytesPerToken = 4;

workload_mix Svaz() {
  return {"svaz",
          "poradna",
          {{"route_check", 0.72, 1'000, 4'000, 40, "", "", true},
           {"stock_read", 0.06, 0, 0, 0, "objednavky", "stock", true},
           {"pallet_booking", 0.05, 0, 0, 0, "objednavky", "book", false},
           {"contract_read", 0.15, 8'000, 60'000, 80, "", "", true},
           {"season_summary", 0.02, 100'000, 400'000, 120, "", "", true}}};
}

workload_mix Virtanen() {
  return {"virtanen",
          "draft-model",
          {{"short_draft", 0.72, 1'000, 4'000, 60, "", "", true},
           {"status_lookup", 0.06, 0, 0, 0, "errata-desk", "status", true},
           {"issue_notice", 0.03, 0, 0, 0, "errata-desk", "issue", false},
           {"chapter_draft", 0.17, 10'000, 50'000, 120, "", "", true},
           {"volume_review", 0.02, 150'000, 420'000, 160, "", "", true}}};
}

}  // namespace

workload_mix FindWorkloadMix(const std::string& name) {
  if (name == "svaz")
    return Svaz();
  return name == "virtanen" ? Virtanen() : workload_mix();
}

double MeanPromptTokens(const workload_mix& mix) {
  double mean = 0;
  for (const request_kind& kind : mix.kinds) {
    if (kind.max_prompt_tokens == 0)
      continue;
    const auto low = static_cast<double>(kind.min_prompt_tokens);
    const auto high = static_cast<double>(kind.max_prompt_tokens);
    // The mean of a log-uniform distribution.
    mean += kind.share * (high - low) / std::log(high / low);
  }
  return mean;
}

std::vector<arrival> MakeArrivals(const workload_mix& mix,
                                  double rate,
                                  double seconds,
                                  std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::vector<arrival> arrivals;
  double at = 0;
  std::uint64_t number = 0;
  while (true) {
    at += -std::log(1 - uniform(random)) / rate;
    if (at >= seconds)
      return arrivals;
    arrival next;
    next.at_seconds = at;
    next.number = number++;
    double pick = uniform(random);
    while (next.kind + 1 < mix.kinds.size() &&
           pick >= mix.kinds[next.kind].share) {
      pick -= mix.kinds[next.kind].share;
      ++next.kind;
    }
    const request_kind& kind = mix.kinds[next.kind];
    const double position = uniform(random);
    if (kind.max_prompt_tokens > 0) {
      const double low = std::log(static_cast<double>(kind.min_prompt_tokens));
      const double high = std::log(static_cast<double>(kind.max_prompt_tokens));
      next.prompt_tokens =
          static_cast<std::int64_t>(std::exp(low + position * (high - low)));
    }
    arrivals.push_back(next);
  }
}

std::string MakePrompt(const arrival& arrival, std::uint64_t seed) {
  const std::string header = "request " + std::to_string(seed) + "/" +
                             std::to_string(arrival.number) + " ";
  const auto bytes =
      static_cast<std::size_t>(arrival.prompt_tokens) * kBytesPerToken;
  std::string prompt;
  prompt.reserve(bytes + header.size());
  while (prompt.size() < bytes)
    prompt += header;
  prompt.resize(bytes);
  return prompt;
}

}  // namespace cactusward::model
