// Keeps the configuration and the list of upstreams in force: reads and
// watches the registry, and takes from peers what the registry does not tell.
#ifndef CACTUSWARD_SRC_RELAY_CATALOG_SERVICE_H_
#define CACTUSWARD_SRC_RELAY_CATALOG_SERVICE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/upstream_catalog.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/edges/peer_link.h"
#include "src/relay/catalog_source.h"
#include "src/services/membership_service.h"

namespace cactusward {

class catalog_service : public service, public peer_news {
 public:
  using listener = std::function<void()>;

  // Precondition: all outlive the service.
  catalog_service(runtime& runtime, catalog_source* source, peer_link* peers);

  std::string_view service_name() const override { return kCatalogServiceName; }
  void Start() override;

  // The configuration in force; null before the first.
  std::shared_ptr<const forward_config> Config() const { return config_; }
  const upstream_catalog& upstreams() const { return upstreams_; }
  std::int64_t revision() const { return revision_; }
  // Calls `listener` after each change.
  void Subscribe(listener listener) {
    listeners_.push_back(std::move(listener));
  }
  // Everything known, for a peer that asks; the configuration only if it is
  // newer than `known_version`.
  nlohmann::json Snapshot(std::int64_t known_version);
  // Snapshots that peers asked for since the start.
  std::uint64_t snapshots_served() const { return snapshots_served_; }

  void Fill(gossip_message* message, time_point now) override;
  void Take(const gossip_message& message, time_point now) override;

 private:
  struct raw_upstream {
    std::string document;
    std::int64_t revision = 0;
  };

  struct recent_change {
    catalog_change change;  // without an id: of the configuration
    time_point at;
  };

  void Run(asio::yield_context yield);
  // A few instances watch the registry; the others hear from them.
  bool IsWatcher() const;
  void RecordChange(const catalog_item& item);
  // Records what `batch` changes, so that peers can follow; forgets earlier
  // changes when they cannot.
  void RecordDifference(const catalog_batch& batch);
  // Applies changes that a peer tells of. @return whether they follow on what
  // is known here.
  bool ApplyPeerChanges(const gossip_message& message, time_point now);
  // @return whether the watch may go on.
  bool WatchOnce(asio::yield_context yield);
  void BackOffAfterFailure(const result<catalog_batch>& failed,
                           const char* what,
                           asio::yield_context yield);
  void RecordSuccess();
  // A question to the registry, other than by the reading loop, failed.
  void RecordQueryFailure(const char* what, const std::string& detail);
  // Applies everything that the registry held.
  void ApplySnapshot(const catalog_batch& batch,
                     const char* origin,
                     asio::yield_context yield);
  void ApplyChanges(const catalog_batch& batch, asio::yield_context yield);
  // Other coroutines run meanwhile, and may bring a newer configuration.
  bool ApplyConfig(const catalog_item& item,
                   const char* origin,
                   asio::yield_context yield);
  bool ApplyUpstream(const catalog_item& item, time_point now);
  // Asks the registry for its revision when no instance did lately: a watch
  // may be silent for other reasons than that nothing changed.
  void ConfirmIfDue(time_point now);
  void Confirm(asio::yield_context yield);
  void RecordConfirmation(time_point at);
  // Takes a newer configuration from the registry, or else from `peer`.
  void FetchConfig(const std::string& peer, asio::yield_context yield);
  void PullFrom(const std::string& peer, asio::yield_context yield);
  void NotifyListeners();

  runtime& runtime_;
  catalog_source* source_;
  peer_link* peers_;
  std::shared_ptr<const forward_config> config_;
  std::string config_document_;
  std::int64_t config_revision_ = 0;
  // Of the newest configuration that is being decoded; 0: none is.
  std::int64_t decoding_revision_ = 0;
  upstream_catalog upstreams_;
  std::map<std::string, raw_upstream> raw_upstreams_;
  // The registry's revision up to which everything is known.
  std::int64_t revision_ = 0;
  // Where the watch stands; behind `revision_` after news from a peer.
  std::int64_t watched_revision_ = 0;
  bool needs_full_read_ = true;
  int failures_ = 0;
  int active_pulls_ = 0;  // in progress
  std::uint64_t snapshots_served_ = 0;
  bool confirming_ = false;
  // When an instance last heard from the registry that nothing newer exists.
  time_point confirmed_at_{};
  time_point confirm_due_{};
  time_point last_pull_{};
  // When a read from the registry last failed.
  time_point registry_failed_at_{};
  std::optional<time_point> behind_since_;
  std::deque<recent_change> recent_changes_;
  // Revision before the first of `recent_`.
  std::int64_t recent_changes_after_ = 0;
  std::vector<listener> listeners_;
  membership_service* membership_ = nullptr;
  std::unique_ptr<timer_subscription> tick_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_CATALOG_SERVICE_H_
