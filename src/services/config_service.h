// Keeps the configuration in force: watch, confirmation, pull from peers, and
// acceptance of edits.
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

// What an operator's edit came to.
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

  // A peer has revision `number` in force and heard `confirmed_age_ms` ago
  // that it is the newest (-1: never).
  void OnPeerRevision(const std::string& peer_address,
                      std::int64_t number,
                      std::int64_t confirmed_age_ms);

  // Age of the newest confirmation by the key-value service, own or through
  // peers; -1 before the first.
  std::int64_t ConfirmedAgeMs(time_point now) const;

  // Whether requests may be admitted under this configuration: there is one,
  // and either the service or a peer could have told of a newer one lately.
  bool IsUsable(time_point now) const;

  // Accepts an edit based on revision `base`.
  // @return kConfigInvalid; kConfigConflict with the revision found as detail;
  //     kStoreUnavailable when it could not be settled whether the edit was
  //     accepted, with the nonce in the detail.
  result<edit_outcome> Apply(const std::string& document,
                             std::int64_t base,
                             const std::string& author,
                             time_point deadline,
                             asio::yield_context yield);

 private:
  void Watch(asio::yield_context yield);
  void Confirm(asio::yield_context yield);
  void Pull(const std::string& peer_address,
            std::int64_t number,
            asio::yield_context yield);
  void OfferRevision(const std::string& encoded);
  duration ConfirmPeriod();

  runtime& runtime_;
  peer_link* peers_;
  membership_service* membership_ = nullptr;
  config_tracker tracker_;
  std::int64_t seen_mod_revision_ = 0;
  std::optional<time_point> confirmed_at_;
  time_point started_at_;
  bool pulling_ = false;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_CONFIG_SERVICE_H_
