#include "src/model/engine_model.h"

#include <algorithm>

namespace cactusward::model {
namespace {

constexpr double kMillisecondsPerSecond = 1000;
// Priorities of this value and above count as low priority in load reports.
constexpr int kLowPriority = 2;

}  // namespace

std::int64_t engine_model::KvTokens(const sequence& sequence) const {
  return sequence.request.prompt_tokens + sequence.request.max_tokens;
}

void engine_model::Add(const engine_request& request) {
  sequence added;
  added.request = request;
  added.arrival = next_arrival_++;
  added.remaining_prefill_tokens = request.prompt_tokens;
  sequences_[request.id] = std::move(added);
}

bool engine_model::Cancel(std::uint64_t id) {
  const auto it = sequences_.find(id);
  if (it == sequences_.end())
    return false;
  if (it->second.admitted)
    kv_used_ -= KvTokens(it->second);
  sequences_.erase(it);
  return true;
}

std::vector<engine_model::sequence*> engine_model::InSchedulingOrder() {
  std::vector<sequence*> order;
  order.reserve(sequences_.size());
  for (auto& [id, sequence] : sequences_)
    order.push_back(&sequence);
  std::sort(order.begin(), order.end(),
            [this](const sequence* a, const sequence* b) {
              if (parameters_.honours_priorities &&
                  a->request.priority != b->request.priority)
                return a->request.priority < b->request.priority;
              return a->arrival < b->arrival;
            });
  return order;
}

// Admits in scheduling order: a request that does not fit blocks those after
// it.
void engine_model::AdmitWaiting(const std::vector<sequence*>& order) {
  std::size_t running = 0;
  for (const sequence* sequence : order)
    running += sequence->admitted ? 1 : 0;
  for (sequence* sequence : order) {
    if (sequence->admitted)
      continue;
    if (running >= parameters_.max_sequences ||
        kv_used_ + KvTokens(*sequence) > parameters_.kv_capacity_tokens)
      return;
    sequence->admitted = true;
    kv_used_ += KvTokens(*sequence);
    ++running;
    // A fully cached prompt still prefills one token, which yields the first
    // output token.
    sequence->remaining_prefill_tokens =
        std::max<std::int64_t>(1, sequence->remaining_prefill_tokens -
                                      CachedTokens(sequence->request));
  }
}

step_outcome engine_model::Step() {
  step_outcome outcome;
  if (sequences_.empty())
    return outcome;
  const auto order = InSchedulingOrder();
  AdmitWaiting(order);
  std::int64_t budget = parameters_.chunk_tokens;
  std::int64_t processed = 0;
  std::size_t decoding = 0;
  for (sequence* sequence : order) {
    if (!sequence->admitted)
      continue;
    if (sequence->remaining_prefill_tokens > 0) {
      const std::int64_t chunk =
          std::min(budget, sequence->remaining_prefill_tokens);
      sequence->remaining_prefill_tokens -= chunk;
      budget -= chunk;
      processed += chunk;
      if (chunk == 0 || sequence->remaining_prefill_tokens > 0)
        continue;
      CachePrefix(sequence->request);
    } else {
      ++decoding;
    }
    outcome.ids_with_token.push_back(sequence->request.id);
    if (++sequence->generated_tokens >= sequence->request.max_tokens)
      outcome.finished.push_back(sequence->request.id);
  }
  if (outcome.ids_with_token.empty() && processed == 0)
    return outcome;
  processed_tokens_ += processed;
  outcome.duration_ms =
      parameters_.step_base_ms +
      parameters_.step_per_sequence_ms * static_cast<double>(decoding) +
      static_cast<double>(processed) / parameters_.prefill_tokens_per_second *
          kMillisecondsPerSecond;
  for (std::uint64_t id : outcome.finished)
    Cancel(id);
  return outcome;
}

engine_load engine_model::Load() const {
  engine_load load;
  load.kv_used_tokens = kv_used_;
  for (const auto& [id, sequence] : sequences_) {
    load.waiting_tokens += sequence.remaining_prefill_tokens;
    if (sequence.request.priority >= kLowPriority)
      load.waiting_low_priority_tokens += sequence.remaining_prefill_tokens;
    load.running += sequence.admitted ? 1 : 0;
    load.waiting += sequence.admitted ? 0 : 1;
  }
  return load;
}

std::int64_t engine_model::CachedTokens(const engine_request& request) {
  std::int64_t tokens = 0;
  for (std::uint64_t block : request.prefix_blocks) {
    const auto it = cache_.find(block);
    if (it == cache_.end())
      break;
    cache_order_.splice(cache_order_.begin(), cache_order_, it->second);
    tokens += kBlockTokens;
  }
  return tokens;
}

void engine_model::CachePrefix(const engine_request& request) {
  for (std::uint64_t block : request.prefix_blocks) {
    if (cache_.count(block) > 0)
      continue;
    cache_order_.push_front(block);
    cache_[block] = cache_order_.begin();
    if (cache_order_.size() <= parameters_.cache_blocks)
      continue;
    cache_.erase(cache_order_.back());
    cache_order_.pop_back();
  }
}

}  // namespace cactusward::model
