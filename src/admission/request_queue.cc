#include <algorithm>
#include <tuple>

#include "cactusward/admission.h"

namespace cactusward {
namespace {

// A request is urgent after this share of the time to its deadline.
constexpr double kUrgentLifetimeShare = 0.5;

bool IsUrgent(const queued_request& request, time_point now) {
  const auto lifetime = request.deadline - request.queued_at;
  return std::chrono::duration<double>(now - request.queued_at) >=
         kUrgentLifetimeShare * std::chrono::duration<double>(lifetime);
}

}  // namespace

result<bool> request_queue::Push(const queued_request& request,
                                 const length_class& limits,
                                 int max_queued_of_organisation) {
  if (depth_of_class_[request.length_class] >= limits.max_queued)
    return {error_kind::kQueueFull, "queue of class " + limits.name};
  if (depth_of_organisation_[request.organisation] >=
      max_queued_of_organisation)
    return {error_kind::kOrganisationLimit,
            "queued requests of " + request.organisation};
  if (!requests_.emplace(request.id, request).second)
    return {error_kind::kInternal, "request queued twice"};
  ++depth_of_class_[request.length_class];
  ++depth_of_organisation_[request.organisation];
  return true;
}

bool request_queue::Remove(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return false;
  --depth_of_class_[it->second.length_class];
  --depth_of_organisation_[it->second.organisation];
  requests_.erase(it);
  return true;
}

std::vector<std::uint64_t> request_queue::Order(time_point now) const {
  struct ranked {
    std::size_t effective_class;
    int turn;
    time_point queued_at;
    std::uint64_t id;
  };
  std::vector<const queued_request*> by_age;
  by_age.reserve(requests_.size());
  for (const auto& [id, request] : requests_)
    by_age.push_back(&request);
  std::sort(by_age.begin(), by_age.end(),
            [](const queued_request* a, const queued_request* b) {
              return std::tie(a->queued_at, a->id) <
                     std::tie(b->queued_at, b->id);
            });
  std::map<std::pair<std::size_t, std::string>, int> turns;
  std::vector<ranked> order;
  order.reserve(by_age.size());
  for (const queued_request* request : by_age) {
    const std::size_t effective =
        IsUrgent(*request, now) ? 0 : request->length_class;
    const int turn = turns[{effective, request->organisation}]++;
    order.push_back({effective, turn, request->queued_at, request->id});
  }
  std::sort(order.begin(), order.end(), [](const ranked& a, const ranked& b) {
    return std::tie(a.effective_class, a.turn, a.queued_at, a.id) <
           std::tie(b.effective_class, b.turn, b.queued_at, b.id);
  });
  std::vector<std::uint64_t> ids;
  ids.reserve(order.size());
  for (const ranked& next : order)
    ids.push_back(next.id);
  return ids;
}

std::vector<queue_row> request_queue::Rows(
    const std::vector<length_class>& classes,
    time_point now) const {
  std::map<std::pair<std::size_t, std::string>, queue_row> rows;
  for (const auto& [id, request] : requests_) {
    queue_row& row = rows[{request.length_class, request.organisation}];
    if (request.length_class < classes.size())
      row.length_class = classes[request.length_class].name;
    row.organisation = request.organisation;
    ++row.depth;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - request.queued_at);
    row.oldest = std::max(row.oldest, age);
  }
  std::vector<queue_row> list;
  list.reserve(rows.size());
  for (auto& [key, row] : rows)
    list.push_back(std::move(row));
  return list;
}

}  // namespace cactusward
