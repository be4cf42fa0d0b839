// Keeps the highest configuration revision ever seen by this process.
#ifndef CACTUSWARD_CONFIG_TRACKER_H_
#define CACTUSWARD_CONFIG_TRACKER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/config.h"

namespace cactusward {

// The revision in force, with its parsed form.
struct active_config {
  config_revision revision;
  fleet_config config;
};

// Outcome of offering a revision.
enum class offer_outcome { kAdopted, kAlreadyKnown, kStale, kInvalid };

// Adopts newer revisions and never goes back, whichever source they are from.
// Not thread-safe: use from one thread or strand.
class config_tracker {
 public:
  using listener = std::function<void(const active_config&)>;

  // Offers an encoded revision from the service or from a peer.
  // @return kInvalid when it cannot be decoded or does not validate here.
  offer_outcome Offer(std::string_view encoded);

  // The revision in force; null until one was adopted. The pointed-to value
  // never changes, so a request keeps the configuration it began with.
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
