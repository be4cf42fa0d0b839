// Keeps the evacuated availability zones current by watching and reading the
// key-value service and by gossip; accepts operators' requests.
#ifndef CACTUSWARD_SRC_SERVICES_EVACUATION_SERVICE_H_
#define CACTUSWARD_SRC_SERVICES_EVACUATION_SERVICE_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cactusward/evacuation_record.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/edges/peer_link.h"
#include "src/services/membership_service.h"

namespace cactusward {

class upstream_directory;

class evacuation_service : public service, public gossip_extension {
 public:
  // Precondition: `peers` outlives the service.
  evacuation_service(runtime& runtime, peer_link* peers);

  std::string_view service_name() const override {
    return kEvacuationServiceName;
  }
  void Start() override;

  const evacuation_set& evacuations() const { return evacuations_; }
  // Whether the state of all zones has been obtained from the key-value service
  // or from a peer.
  bool IsKnown() const { return is_known_; }
  // Whether requests may be admitted: the state of all zones is known, and the
  // key-value service or a peer has recently been in contact and would have
  // reported a newer one. An instance that has no peers stays usable.
  bool IsUsable(time_point now) const;
  // Calls `listener` after each change of an evacuation.
  void Subscribe(std::function<void()> listener) {
    listeners_.push_back(std::move(listener));
  }

  // Writes an operator's request by compare-and-swap. Succeeds only when the
  // key-value service has accepted the write, also if the zone is already in
  // the requested state: the read may have been outdated.
  // @return the state in force; kBadRequest for an invalid name of a zone;
  //     kStoreUnavailable, whose detail tells whether the request may have been
  //     accepted; kInternal if the stored state cannot be read.
  result<evacuation_report> Change(const std::string& zone,
                                   bool evacuate,
                                   time_point deadline,
                                   asio::yield_context yield);

  // The response to a peer that requests the state of all zones.
  nlohmann::json Snapshot() const;
  // In the Prometheus text format.
  std::string MetricsText() const;

  void AddFields(gossip_message* message, time_point now) override;
  void OnMessage(const gossip_message& message, time_point now) override;

 private:
  // Applies changes that the key-value service reports on a watch.
  void Watch(asio::yield_context yield);
  // Reads all stored states periodically.
  void Read(asio::yield_context yield);
  // Applies the result of a read, and writes again what it lacks.
  void ApplyRead(const std::vector<stored_value>& stored,
                 asio::yield_context yield);
  // Asks peers for the state of all zones, while the key-value service does not
  // respond to an instance that has just started.
  void PullFromPeers(asio::yield_context yield);
  // Decodes a stored value. Logs values that cannot be read.
  std::optional<evacuation_report> Decode(const std::string& zone,
                                          const std::string& value) const;
  // Merges states. Notifies listeners and peers if any zone has changed.
  void Merge(const std::vector<evacuation_report>& states,
             std::string_view origin);
  void LogChange(const evacuation_report& state, std::string_view origin) const;
  // Time until the next read, with jitter.
  duration ReadPeriod();

  runtime& runtime_;
  peer_link* peers_;
  membership_service* membership_ = nullptr;
  const upstream_directory* directory_ = nullptr;
  evacuation_set evacuations_;
  bool is_known_ = false;
  std::optional<time_point> read_at_;   // the last successful read
  std::int64_t seen_mod_revision_ = 0;  // of the key-value service, last read
  std::vector<std::function<void()>> listeners_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_EVACUATION_SERVICE_H_
