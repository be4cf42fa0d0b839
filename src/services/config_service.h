// Keeps the fleet configuration current by watching and polling the key-value
// service and pulling from peers; accepts operators' edits.
#ifndef CACTUSWARD_SRC_SERVICES_CONFIG_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_CONFIG_SERVICE_H_

#include <optional>
#include <string>

#include "cactusward/config_tracker.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/edges/peer_link.h"

namespace cactusward {

class membership_service;

// An accepted operator edit.
struct edit_outcome {
  std::int64_t number = 0;  // of the accepted revision
  std::string digest;
};

class config_service : public service {
 public:
  config_service(runtime& runtime, peer_link* peers);

  std::string_view service_name() const override { return kConfigServiceName; }
  void Start() override;

  config_tracker& tracker() { return tracker_; }
  // The configuration in force; null before the first.
  std::shared_ptr<const active_config> Current() const {
    return tracker_.Current();
  }

  // Handles a peer's announcement that revision `number` is in force there and
  // was confirmed as the newest `confirmed_age_ms` ago (-1: never). Pulls the
  // revision when it is newer than the one in force here.
  void OnPeerRevision(const std::string& peer_address,
                      std::int64_t number,
                      std::int64_t confirmed_age_ms);

  // Time since the key-value service last confirmed the revision, to this
  // instance or to a peer; -1 before the first confirmation.
  std::int64_t ConfirmedAgeMs(time_point now) const;

  // Whether requests may be admitted: a revision is in force, and the key-value
  // service or a peer has recently been in contact and would have announced a
  // newer one. An instance that has no peers stays usable.
  bool IsUsable(time_point now) const;

  // Writes `document` as revision `base` + 1 by compare-and-swap.
  // @return kConfigInvalid; kConfigConflict, with the revision found as detail,
  //     when `base` is not the newest; kStoreUnavailable, whose detail tells
  //     whether the edit may have been accepted.
  result<edit_outcome> Apply(const std::string& document,
                             std::int64_t base,
                             const std::string& author,
                             time_point deadline,
                             asio::yield_context yield);

 private:
  // Applies changes that the key-value service reports on a watch.
  void Watch(asio::yield_context yield);
  // Reads the stored revision periodically, to confirm that the one in force is
  // the newest.
  void Confirm(asio::yield_context yield);
  // Writes the revision in force if the key-value service has an older one: it
  // was restored from a copy. `stored` is the result of a read.
  void WriteBack(const std::optional<stored_value>& stored,
                 asio::yield_context yield);
  // Fetches the encoded revision from a peer.
  void Pull(const std::string& peer_address,
            std::int64_t number,
            asio::yield_context yield);
  // Adopts the revision if it is newer, and then announces it to peers.
  void OfferRevision(const std::string& encoded);
  // Time until the next read of Confirm, with jitter.
  duration ConfirmPeriod();

  runtime& runtime_;
  peer_link* peers_;
  membership_service* membership_ = nullptr;
  config_tracker tracker_;
  std::int64_t seen_mod_revision_ = 0;  // of the key-value service, last read
  std::optional<time_point> confirmed_at_;
  time_point started_at_;
  bool pulling_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_CONFIG_SERVICE_H_
