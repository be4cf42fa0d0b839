// Tracks the highest configuration revision seen by this process.
#ifndef CACTUSWARD_CONFIG_TRACKER_H_
#define CACTUSWARD_CONFIG_TRACKER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/config.h"

namespace cactusward {

// The revision in force and its parsed form.
struct active_config {
  config_revision revision;
  fleet_config config;
};

// Outcome of offering a revision.
enum class offer_outcome { kAdopted, kAlreadyKnown, kStale, kInvalid };

// Adopts newer revisions from any source and never reverts to an older one. Not
// thread-safe: use from one thread or strand.
class config_tracker {
 public:
  using listener = std::function<void(const active_config&)>;

  // Offers an encoded revision from the key-value service or from a peer.
  // @return kInvalid if it cannot be decoded or fails validation.
  offer_outcome Offer(std::string_view encoded);

  // The revision in force; null until one is adopted. The value pointed to
  // never changes, so a request can use one configuration from start to end.
  std::shared_ptr<const active_config> Current() const { return current_; }
  // Number of the revision in force; 0 before the first.
  std::int64_t Number() const;
  // The encoded form of the revision in force; empty before the first.
  const std::string& Encoded() const { return encoded_; }

  // Calls `listener` after each adoption, in order of subscription.
  void Subscribe(listener listener);

 private:
  std::shared_ptr<const active_config> current_;
  std::string encoded_;
  std::vector<listener> listeners_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_CONFIG_TRACKER_H_
