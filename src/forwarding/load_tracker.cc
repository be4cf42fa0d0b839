#include "cactusward/load_tracker.h"

#include <algorithm>

namespace cactusward {
namespace {

// Share of a request's prefill that counts as pending while its first event is
// overdue: the engine is slower than expected and not done yet.
constexpr double kOverduePrefillShare = 0.15;
// Helpers do not report the end of their part. After this multiple of the
// expected time a part counts as done, since the prompt then waits for another
// part. With lower and higher values more long prompts of surge_test.cc miss
// their objective.
constexpr double kHelperTimeoutFactor = 2;

}  // namespace

void AddLoad(const upstream_load& part, upstream_load* total) {
  total->running += part.running;
  total->interactive += part.interactive;
  if (part.max_event_gap_ms > 0)
    total->max_event_gap_ms =
        total->max_event_gap_ms > 0
            ? std::min(total->max_event_gap_ms, part.max_event_gap_ms)
            : part.max_event_gap_ms;
  total->prefill_ms += part.prefill_ms;
  total->kv_tokens += part.kv_tokens;
  total->overdue_prefill_ms += part.overdue_prefill_ms;
}

std::uint64_t load_tracker::Begin(const tracked_request& request) {
  loads_at_.reset();
  const std::uint64_t id = next_id_++;
  entries_[id] = {request, request.prefill_ms > 0};
  return id;
}

void load_tracker::EndPrefill(std::uint64_t id) {
  loads_at_.reset();
  const auto found = entries_.find(id);
  if (found != entries_.end())
    found->second.prefilling = false;
}

void load_tracker::End(std::uint64_t id) {
  loads_at_.reset();
  entries_.erase(id);
}

void load_tracker::SetPeerLoads(const std::string& peer,
                                report_order order,
                                std::vector<upstream_load> loads,
                                time_point now) {
  const auto known = peers_.find(peer);
  if (known != peers_.end() && order.IsBefore(known->second.order))
    return;
  loads_at_.reset();
  peers_[peer] = {std::move(loads), now, order};
}

void load_tracker::Expire(time_point now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.heard_at > kPeerReportTtl)
      it = peers_.erase(it);
    else
      ++it;
  }
  loads_at_.reset();
}

upstream_load load_tracker::LoadOfEntry(const own_entry& own, time_point now) {
  const tracked_request& request = own.request;
  upstream_load load;
  load.upstream = request.upstream;
  load.kv_tokens = request.kv_tokens;
  if (!request.prefill_only) {
    load.running = 1;
    load.interactive = request.interactive ? 1 : 0;
    load.max_event_gap_ms = request.max_event_gap_ms;
  }
  if (!own.prefilling)
    return load;
  const double age = ToMilliseconds(now - request.sent_at);
  const double left = request.expected_first_event_ms - age;
  const double overdue =
      request.prefill_only &&
              age > request.expected_first_event_ms * kHelperTimeoutFactor
          ? 0
          : request.prefill_ms * kOverduePrefillShare;
  load.overdue_prefill_ms = static_cast<std::int64_t>(overdue);
  load.prefill_ms =
      static_cast<std::int64_t>(std::clamp(left, overdue, request.prefill_ms));
  return load;
}

upstream_load load_tracker::LoadOf(std::uint32_t upstream,
                                   time_point now) const {
  const auto& loads = Loads(now);
  const auto found = loads.find(upstream);
  if (found != loads.end())
    return found->second;
  upstream_load none;
  none.upstream = upstream;
  return none;
}

const std::unordered_map<std::uint32_t, upstream_load>& load_tracker::Loads(
    time_point now) const {
  if (loads_at_ && now >= *loads_at_ && now - *loads_at_ < kMaxLoadsAge)
    return loads_;
  loads_.clear();
  for (const upstream_load& own : OwnLoads(now))
    loads_[own.upstream] = own;
  AddPeerLoads(now);
  loads_at_ = now;
  return loads_;
}

void load_tracker::AddPeerLoads(time_point now) const {
  for (const auto& [name, peer] : peers_) {
    const auto age =
        static_cast<std::int64_t>(ToMilliseconds(now - peer.heard_at));
    for (upstream_load load : peer.loads) {
      load.prefill_ms =
          std::max(load.prefill_ms - age, load.overdue_prefill_ms);
      upstream_load& total = loads_[load.upstream];
      total.upstream = load.upstream;
      AddLoad(load, &total);
    }
  }
}

std::vector<upstream_load> load_tracker::OwnLoads(time_point now) const {
  std::unordered_map<std::uint32_t, upstream_load> loads;
  for (const auto& [id, own] : entries_) {
    upstream_load& total = loads[own.request.upstream];
    total.upstream = own.request.upstream;
    AddLoad(LoadOfEntry(own, now), &total);
  }
  std::vector<upstream_load> list;
  list.reserve(loads.size());
  for (const auto& [upstream, load] : loads)
    list.push_back(load);
  return list;
}

}  // namespace cactusward
