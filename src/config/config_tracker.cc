#include "cactusward/config_tracker.h"

namespace cactusward {

offer_outcome config_tracker::Offer(std::string_view encoded) {
  if (encoded == encoded_ && !encoded_.empty())
    return offer_outcome::kAlreadyKnown;
  auto revision = DecodeRevision(encoded);
  if (!revision)
    return offer_outcome::kInvalid;
  if (revision->number == Number())
    return offer_outcome::kAlreadyKnown;
  if (revision->number < Number())
    return offer_outcome::kStale;
  auto config = ParseFleetConfig(revision->document);
  if (!config)
    return offer_outcome::kInvalid;
  auto next = std::make_shared<active_config>();
  next->revision = std::move(*revision);
  next->config = std::move(*config);
  current_ = std::move(next);
  encoded_ = std::string(encoded);
  for (const listener& listener : listeners_)
    listener(*current_);
  return offer_outcome::kAdopted;
}

std::int64_t config_tracker::Number() const {
  return current_ ? current_->revision.number : 0;
}

void config_tracker::Subscribe(listener listener) {
  listeners_.push_back(std::move(listener));
}

}  // namespace cactusward
