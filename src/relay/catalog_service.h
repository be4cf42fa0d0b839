// Keeps the configuration and the list of upstreams up to date: reads and
// watches the registry, and obtains from peers what the registry has not
// delivered.
#ifndef CACTUSWARD_SRC_RELAY_CATALOG_SERVICE_H_
#define CACTUSWARD_SRC_RELAY_CATALOG_SERVICE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cactusward/catch_up_pacer.h"
#include "cactusward/evacuation_set.h"
#include "cactusward/standstill.h"
#include "cactusward/transfer_limit.h"
#include "cactusward/upstream_catalog.h"
#include "cactusward/version_holders.h"
#include "cactusward/version_lag.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/edges/peer_link.h"
#include "src/relay/catalog_source.h"
#include "src/services/membership_service.h"

namespace cactusward {

class catalog_service : public service, public gossip_extension {
 public:
  using listener = std::function<void()>;

  // Precondition: all arguments outlive the service.
  catalog_service(runtime& runtime, catalog_source* source, peer_link* peers);

  std::string_view service_name() const override { return kCatalogServiceName; }
  void Start() override;

  // The configuration in force; null until one has been received.
  std::shared_ptr<const forward_config> Config() const { return config_; }
  const upstream_catalog& upstreams() const { return upstreams_; }
  // See upstream_catalog.
  std::set<std::string> TakeColdChanges() {
    return upstreams_.TakeColdChanges();
  }
  // The availability zones whose upstreams must not get any request.
  const evacuation_set& evacuations() const { return evacuations_; }
  // Up to where all changes of upstreams are known.
  const registry_position& position() const { return position_; }
  // Time since the registry confirmed, to this instance or to a peer, that the
  // catalog is complete; empty if it never has.
  std::optional<duration> Age(time_point now) const;
  // Which configurations peers have that this instance does not.
  const version_lag& config_lag() const { return config_lag_; }
  // Whether a newer configuration than the one in force may have had to take
  // effect here: one is known, or the registry has not confirmed this one for
  // too long.
  bool MayBeOutdated(time_point now) const;
  // Whether a newer configuration has been known for so long that it must be in
  // force everywhere.
  bool IsOutdated(time_point now) const;
  // Calls `listener` after each change.
  void Subscribe(listener listener) {
    listeners_.push_back(std::move(listener));
  }
  // Replies to a peer that requests the catalog: with the list of upstreams,
  // and with the configuration if it is newer than the one that the peer has
  // and this instance's link has room for it.
  void ServeSnapshot(const nlohmann::json& request, peer_handler::reply reply);
  // Number of snapshots served to peers since the start.
  std::uint64_t snapshots_served() const { return snapshots_served_; }
  // Bytes of configurations in these snapshots.
  std::uint64_t config_bytes_served() const { return config_bytes_served_; }
  // Configurations that were not sent since the link had no room.
  std::uint64_t configs_not_served() const { return configs_not_served_; }

  void AddFields(gossip_message* message, time_point now) override;
  void OnMessage(const gossip_message& message, time_point now) override;

 private:
  struct raw_upstream {
    std::string document;
    std::int64_t revision = 0;  // in the era of `position_`
  };

  // A configuration as it is sent to peers.
  struct packed_config {
    std::int64_t version = 0;  // 0: none
    std::string bytes;         // compressed
  };

  // How a request to a peer ended.
  enum class pull_result { kReceived, kBusy, kFailed };

  struct recent_change {
    catalog_change change;  // an empty id means the configuration
    time_point at;
  };

  void Run(asio::yield_context yield);
  // Whether this instance watches the registry. Only a few instances do; the
  // others receive changes from them.
  bool IsWatcher() const;
  void RecordChange(const catalog_item& item);
  // Records the differences between the catalog and `batch` for peers. Drops
  // all recorded changes when the differences are too many to be sent.
  void RecordDifference(const catalog_batch& batch);
  // Applies changes reported by a peer. @return false when changes between the
  // known position and the reported ones are missing.
  bool ApplyPeerChanges(const gossip_message& message, time_point now);
  // @return whether the watch may continue.
  bool WatchOnce(asio::yield_context yield);
  void BackOffAfterFailure(const std::string& detail,
                           const char* what,
                           asio::yield_context yield);
  // Reads and applies the whole registry, upstreams first.
  // @return the position that is complete then; kStoreUnavailable when a part
  //     could not be read, or the parts are of different eras.
  result<registry_position> ReadRegistry(asio::yield_context yield);
  // Prepares for a complete list of upstreams at `next`, of a later era:
  // nothing that the registry said of its configuration holds any more, and
  // upstreams that the copy lacks may register again.
  void EnterEra(const registry_position& next, const char* origin);
  void RecordSuccess();
  // Records a failed registry request that was not made by the read loop.
  void RecordQueryFailure(const char* what, const std::string& detail);
  // Replaces the list of upstreams by the one in `batch`, then the
  // configuration if `batch` has a newer one. Upstreams come first since a
  // configuration takes long to decode.
  void ApplySnapshot(const catalog_batch& batch,
                     const char* origin,
                     asio::yield_context yield);
  void ApplyChanges(const catalog_batch& batch, asio::yield_context yield);
  // Applies the configurations in `batch` and notifies the listeners.
  void ApplyConfigs(const catalog_batch& batch,
                    const char* origin,
                    asio::yield_context yield);
  // Replaces the evacuations by those of `batch`, a complete read of them.
  void ReplaceEvacuations(const catalog_batch& batch, const char* origin);
  // Merges changes of evacuations. @return whether any zone's state changed.
  bool MergeEvacuations(const std::vector<evacuation_report>& reports,
                        std::string_view origin);
  // Logs which zones were evacuated or readmitted since `before`, and notifies
  // the listeners.
  void OnEvacuationsChanged(const std::vector<zone_evacuation>& before,
                            std::string_view origin);
  // Yields while decoding: other coroutines may install a newer configuration
  // in the meantime. @return whether the configuration was replaced.
  bool ApplyConfig(const catalog_item& item,
                   const char* origin,
                   asio::yield_context yield);
  // Precondition: `item` is of the era of `position_`.
  bool ApplyUpstream(const catalog_item& item, time_point now);
  // The document to pass on for an upstream that the registry lists as `item`.
  // The list may hold a newer entry than a copy of the registry, or none.
  std::optional<raw_upstream> DocumentInForce(
      const catalog_item& item,
      const upstream_entry& entry) const;
  // Reads the registry's revision when no instance has done so recently: a
  // watch without events does not prove that nothing has changed.
  void ConfirmIfDue(time_point now);
  void Confirm(asio::yield_context yield);
  // The registry's position was not higher than `position_` at `at`.
  void RecordConfirmation(time_point at);
  // For how long a configuration may be missing, or unconfirmed, at most.
  duration MaxConfigAge() const;
  // The configuration in force was the registry's newest at `at`.
  void RecordConfigConfirmation(time_point at) {
    config_confirmed_at_ = std::max(config_confirmed_at_, at);
  }
  // The same, established by this instance's own request to the registry. Has
  // no effect while the registry's configuration is older than the one in
  // force.
  void RecordOwnConfirmation(time_point at);
  // Delays the next confirmation, by a different time at each instance.
  void PostponeConfirmation(time_point from);
  void RecordConfigKnown(const registry_position& position) {
    config_known_position_ = std::max(config_known_position_, position);
  }
  // The registry held the configuration `version` at a position of `era`.
  void RecordRegistryVersion(std::int64_t era, std::int64_t version);
  // Whether the registry lost the configuration in force and has not got it
  // back.
  bool IsRegistryConfigOlder() const {
    return registry_version_ < ConfigVersion();
  }
  // Whether the configuration in force was the newest at `position_`.
  bool IsConfigCurrent() const {
    return decoding_position_ == registry_position() &&
           config_known_position_.era == position_.era &&
           config_known_position_ >= position_ && !IsRegistryConfigOlder();
  }
  std::int64_t ConfigVersion() const {
    return config_ ? config_->version() : 0;
  }
  // Catch up with the sender of a message that has newer changes to upstreams
  // or a newer configuration. Each is paced by itself: a series of changes to
  // one does not hold back the other.
  void CatchUpUpstreams(const std::string& peer, time_point now);
  void CatchUpConfig(time_point now);
  // Reads and applies the registry's configuration.
  // @return the era that it is of; kStoreUnavailable.
  result<std::int64_t> ReadConfig(asio::yield_context yield);
  // Fetches a newer configuration from the registry, or from a peer if the
  // registry does not provide one.
  void FetchConfig(asio::yield_context yield);
  // Fetches a newer configuration from one of the peers that have it.
  void PullConfig(asio::yield_context yield);
  // Whether the configuration `version` or an older one is in force and none is
  // being decoded.
  bool LacksNewerThan(std::int64_t version) const {
    return decoding_position_ == registry_position() &&
           ConfigVersion() <= version;
  }
  // Gets the list of upstreams from `peer`, and its configuration if that is
  // newer than `known_version`.
  pull_result PullFrom(const std::string& peer,
                       std::int64_t known_version,
                       asio::yield_context yield);
  // Apply a peer's response, which has the list of upstreams or a compressed
  // configuration. @return false if it cannot be read.
  bool ApplyPulled(const nlohmann::json& response,
                   const std::string& peer,
                   asio::yield_context yield);
  bool ApplyPackedConfig(const nlohmann::json& response,
                         const std::vector<std::uint8_t>& deflated,
                         const std::string& peer,
                         asio::yield_context yield);
  void MergeReportedEvacuations(const nlohmann::json& response,
                                const std::string& peer);
  nlohmann::json MakeSnapshot() const;
  // Compresses the configuration in force, unless it is already.
  void PackConfig(asio::yield_context yield);
  // @return whether a configuration of `bytes` may be sent to a peer now.
  bool BeginTransfer(std::size_t bytes, std::int64_t known_version);
  void NotifyListeners();

  runtime& runtime_;
  catalog_source* source_;
  peer_link* peers_;
  std::shared_ptr<const forward_config> config_;
  std::string config_document_;
  registry_position config_position_;
  version_lag config_lag_;
  // The newest configuration being decoded; empty if there is none.
  registry_position decoding_position_;
  std::string decoding_document_;
  // The last configuration that was older than the one in force.
  std::string older_document_;
  std::int64_t older_version_ = 0;
  // Version of the newest configuration that the registry held in the era of
  // `position_`.
  std::int64_t registry_version_ = 0;
  upstream_catalog upstreams_;
  evacuation_set evacuations_;
  std::map<std::string, raw_upstream> raw_upstreams_;
  // All changes of upstreams up to this position of the registry are known.
  registry_position position_;
  // The configuration in force, or the one being decoded, was the registry's
  // newest at this position. Peers report changes of upstreams before they have
  // decoded a configuration that preceded them.
  registry_position config_known_position_;
  // Position that the watch has reached. Lower than `position_` after changes
  // were received from a peer.
  registry_position watched_position_;
  bool needs_full_read_ = true;
  int failures_ = 0;
  std::uint64_t snapshots_served_ = 0;
  std::uint64_t config_bytes_served_ = 0;
  std::uint64_t configs_not_served_ = 0;
  bool confirming_ = false;
  // When this instance or a peer last confirmed with the registry that the
  // catalog is current.
  time_point confirmed_at_{};
  // When this instance did. Only this is reported to peers: the time that a
  // report spends on its way is not known, and would add up from peer to peer.
  time_point own_confirmed_at_{};
  // When the configuration in force was last known to be the newest. Later than
  // `confirmed_at_` while the list of upstreams is behind.
  time_point config_confirmed_at_{};
  time_point confirm_due_{};
  // What has waited to be read while this process stood still is older than it
  // says.
  standstill standstill_;
  // When a registry request outside the read loop last failed.
  time_point registry_failed_at_{};
  catch_up_pacer upstreams_pacer_;
  catch_up_pacer config_pacer_;
  version_holders config_holders_;
  // By revision, in the era of `position_`.
  version_holders list_holders_;
  transfer_limit transfers_;
  packed_config packed_;
  bool packing_ = false;
  std::deque<recent_change> recent_changes_;
  // The last revision before the first of `recent_changes_`, which are all of
  // the era of `position_`.
  std::int64_t recent_changes_after_ = 0;
  std::vector<listener> listeners_;
  membership_service* membership_ = nullptr;
  std::unique_ptr<timer_subscription> tick_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_CATALOG_SERVICE_H_
