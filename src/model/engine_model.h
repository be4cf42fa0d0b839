// Simulates an inference engine: continuous batching with chunked prefill, KV
// memory counted in tokens, priorities, a bounded prefix cache. Performs no I/O
// and reads no clock. docs/MODEL.md specifies the model.
#ifndef CACTUSWARD_SRC_MODEL_ENGINE_MODEL_H_
#define CACTUSWARD_SRC_MODEL_ENGINE_MODEL_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactusward::model {

struct engine_parameters {
  double prefill_tokens_per_second = 20'000;
  double step_base_ms = 8;
  double step_per_sequence_ms = 0.05;
  std::int64_t chunk_tokens = 512;  // prompt tokens prefilled in one step
  std::int64_t kv_capacity_tokens = 450'000;
  std::size_t max_sequences = 128;
  std::size_t cache_blocks = 1'000;
  bool honours_priorities = true;
};

struct engine_request {
  std::uint64_t id = 0;
  std::int64_t prompt_tokens = 0;
  int max_tokens = 0;
  int priority = 0;                          // lower is scheduled first
  std::vector<std::uint64_t> prefix_blocks;  // chained hashes, first to last
};

// Result of one step; requests are given by id.
struct step_outcome {
  double duration_ms = 0;
  std::vector<std::uint64_t> ids_with_token;  // generated a token
  std::vector<std::uint64_t> finished;        // generated their last token
};

struct engine_load {
  std::int64_t waiting_tokens = 0;
  std::int64_t waiting_low_priority_tokens = 0;
  std::int64_t kv_used_tokens = 0;
  std::size_t waiting = 0;
  std::size_t running = 0;
};

// Not thread-safe.
class engine_model {
 public:
  static constexpr std::int64_t kBlockTokens = 256;

  explicit engine_model(const engine_parameters& parameters)
      : parameters_(parameters) {}

  void Add(const engine_request& request);
  // Removes a request and frees its KV memory. @return whether it was known.
  bool Cancel(std::uint64_t id);
  // Runs one step. The duration is zero when there was nothing to do.
  step_outcome Step();
  bool idle() const { return sequences_.empty(); }
  engine_load Load() const;
  // Prompt tokens prefilled so far, without those found in the prefix cache.
  std::int64_t processed_tokens() const { return processed_tokens_; }

 private:
  struct sequence {
    engine_request request;
    std::uint64_t arrival = 0;
    bool admitted = false;
    std::int64_t remaining_prefill_tokens = 0;
    int generated_tokens = 0;
  };

  std::int64_t KvTokens(const sequence& sequence) const;
  std::vector<sequence*> InSchedulingOrder();
  void AdmitWaiting(const std::vector<sequence*>& order);
  std::int64_t CachedTokens(const engine_request& request);
  void CachePrefix(const engine_request& request);

  engine_parameters parameters_;
  std::map<std::uint64_t, sequence> sequences_;
  std::list<std::uint64_t> cache_order_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache_;
  std::uint64_t next_arrival_ = 0;
  std::int64_t kv_used_ = 0;
  std::int64_t processed_tokens_ = 0;
};

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_ENGINE_MODEL_H_
