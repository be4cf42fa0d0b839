// Tracks the registration, load and health of each upstream, and exchanges
// load reports with the other instances.
#ifndef CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_
#define CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cactusward/engine_placement.h"
#include "cactusward/home_regions.h"
#include "cactusward/load_tracker.h"
#include "cactusward/ramp_triggers.h"
#include "cactusward/report_pacer.h"
#include "cactusward/run_times.h"
#include "cactusward/suspects.h"
#include "cactusward/upstream_announcements.h"
#include "cactusward/upstream_catalog.h"
#include "cactusward/upstream_health.h"
#include "cactusward/upstream_limits.h"
#include "cactusward/upstream_ramp.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/services/membership_service.h"

namespace cactusward {

class catalog_service;
struct upstream_reply;

// An upstream of which few runs are known may be slower than the cost model by
// this factor.
constexpr double kUnknownUpstreamFactor = 2;

// The state of one upstream as known to this instance.
struct fleet_upstream {
  upstream_entry entry;
  std::uint32_t key = 0;  // UpstreamKey of its id
  // Of its id and its start: what an upstream says about the requests that it
  // takes ends with the process that said it.
  std::uint32_t process_key = 0;
  std::uint64_t rank = 0;  // sort key; the same on all instances
  std::string region;      // of its availability zone; empty: unknown
  bool listed = true;
  upstream_health health;
  time_point cold_until{};  // by its entry or by its responses
  // Whether the registry has it and does not say that it leaves.
  bool IsRegistered() const { return listed && !entry.leaving; }
  // Requests sent by this instance, by tracking id.
  std::map<std::uint64_t, running_request> running;
  // How long its requests of this instance ran.
  run_times measured{run_time_estimates(kUnknownRunFactor),
                     run_time_estimates(kUnknownUpstreamFactor),
                     run_time_estimates(kUnknownUpstreamFactor)};
  // A test connection is in progress after a failed exchange.
  bool liveness_check_pending = false;
};

class fleet_service : public service, public gossip_extension {
 public:
  explicit fleet_service(runtime& runtime)
      : runtime_(runtime),
        regions_(runtime.settings.availability_zone,
                 runtime.settings.region,
                 runtime.settings.zone_regions),
        limits_(runtime.settings.instance, runtime.settings.forwarding->cold) {}

  std::string_view service_name() const override { return kFleetServiceName; }
  void Start() override;

  // Listed upstreams of `service` in order of rank, including those that are
  // leaving.
  const std::vector<std::shared_ptr<fleet_upstream>>& Upstreams(
      const std::string& service) const;
  // Whether a tunnel to `address` may be opened for a peer: a listed upstream
  // has it that is not in an evacuated zone.
  bool MayCarryTo(const std::string& address) const;
  // Whether `upstream` is registered in a zone that is not evacuated, and has
  // not announced that it leaves, or that it wants no requests now.
  bool AcceptsRequests(const fleet_upstream& upstream, time_point now) const;
  // Whether new requests may be placed on `upstream`.
  bool IsUsable(const fleet_upstream& upstream, time_point now) const;
  // Why IsUsable is false, for the log; "usable" if it is true.
  std::string_view DescribeUse(const fleet_upstream& upstream,
                               time_point now) const;
  load_tracker& tracker() { return tracker_; }
  // Shares of the limits of `upstream`, as in upstream_limits. Each request, or
  // part of one, is reserved when it is placed and counted when it is sent.
  void ReserveLimit(const fleet_upstream& upstream) {
    limits_.Reserve(upstream.process_key);
  }
  void UnreserveLimit(const fleet_upstream& upstream) {
    limits_.Unreserve(upstream.process_key);
  }
  bool MaySendWithinLimit(const fleet_upstream& upstream,
                          time_point now) const {
    return limits_.MaySend(upstream.process_key, now);
  }
  void SpendLimit(const fleet_upstream& upstream, time_point now) {
    limits_.Spend(upstream.process_key, now);
  }
  // Control requests, which a cold upstream bears no better than others.
  std::optional<time_point> NextControlGrant(const fleet_upstream& upstream,
                                             time_point now) const {
    return limits_.NextControlGrant(upstream.process_key, now);
  }
  bool TrySpendControl(const fleet_upstream& upstream, time_point now) {
    return limits_.TrySpendControl(upstream.process_key, now);
  }
  // Whether requests to `upstream` are limited because it is cold.
  bool IsLimitedAsCold(const fleet_upstream& upstream, time_point now) const {
    return limits_.IsCold(upstream.process_key, now);
  }
  // Records the request limit that a response states, if any.
  // @param sent_at when its request was sent.
  void RecordLimit(const fleet_upstream& upstream,
                   std::optional<double> per_second,
                   time_point sent_at);
  // Records that a response of `upstream` announces that it leaves.
  void RecordLeaving(const fleet_upstream& upstream);
  // Records that `upstream`, by a response that was received now, wants no
  // requests for `time`.
  void RecordBackoff(const fleet_upstream& upstream, milliseconds time);
  // Whether the availability zone of `upstream` is evacuated.
  bool IsInEvacuatedZone(const fleet_upstream& upstream) const;
  // The region of an availability zone; empty: unknown.
  std::string RegionOf(const std::string& zone) const {
    return regions_.RegionOf(zone);
  }
  // Records the load that a response of `upstream` states, and whether the
  // upstream is cold.
  void RecordState(const fleet_upstream& upstream, const upstream_reply& reply);
  // Records whether a response, or the first event of a stream, was in time.
  // @param sent_at when its request was sent.
  void RecordPace(const fleet_upstream& upstream,
                  bool timely,
                  time_point sent_at);
  // Records the time to the first event of a prompt.
  // @param expected_ms what was expected with `slowdown`, which Slowdown has
  //     returned when the prompt was placed.
  void RecordFirstEvent(const fleet_upstream& upstream,
                        double expected_ms,
                        double slowdown,
                        double measured_ms);
  // Factor by which `upstream` is expected to be slower than the cost model.
  double Slowdown(const fleet_upstream& upstream, time_point now) const;
  // Records that an exchange failed, or that `upstream` refused a request. Call
  // after the health has been recorded.
  void RecordSetback(const fleet_upstream& upstream,
                     time_point sent_at,
                     bool refused);
  // Most requests of all instances that may run on `upstream` while its load
  // rises; 0: its slots.
  int MaxRunning(const fleet_upstream& upstream, time_point now) const;
  // An upstream to which this instance may send nothing now.
  struct held_back {
    std::string upstream;
    std::optional<time_point> until;  // nullopt: it holds no share of the limit
    bool backs_off = false;           // the upstream wants no requests
    bool is_cold = false;             // and limited therefore
    std::optional<double> per_second;  // its request limit
    duration age{0};                   // of the response that states the limit

    friend bool operator==(const held_back& a, const held_back& b) {
      return a.upstream == b.upstream && a.until == b.until &&
             a.backs_off == b.backs_off && a.is_cold == b.is_cold &&
             a.per_second == b.per_second && a.age == b.age;
    }
  };
  // The upstreams of `service`, other than those with the ids `except`, that
  // are held back. Empty unless all of them are that do not leave.
  std::vector<held_back> AllHeldBack(const std::string& service,
                                     const std::set<std::string>& except,
                                     time_point now) const;
  std::size_t limited_upstreams() const { return limits_.size(); }
  std::size_t cold_upstreams() const { return limits_.cold_size(); }
  std::size_t ramping_upstreams() const { return ramp_.size(); }
  // Whether this instance has started too recently to have received the load
  // reports of its peers.
  bool PeerLoadsUnknown(time_point now) const;

  // Schedules a report of this instance's load to its peers.
  void OnLoadChanged(report_urgency urgency);
  // Sets the listener that is called when upstream capacity may have become
  // available.
  void OnCapacityFreed(std::function<void()> listener) {
    capacity_listener_ = std::move(listener);
  }

  void AddFields(gossip_message* message, time_point now) override;
  void OnMessage(const gossip_message& message, time_point now) override;

 private:
  void Rebuild();
  void ScheduleBroadcast(time_point at);
  void NotifyCapacityFreed();
  void UpdateLimitHolders(time_point now);
  // Applies the entries that say whether upstreams are cold.
  void ApplyColdEntries(time_point now);
  void SetCold(fleet_upstream* upstream, time_point until, time_point now);
  // Requests per second that the upstream takes while it is cold; 0: no limit.
  double ColdPerSecond(const fleet_upstream& upstream) const;
  void UpdateColdLimit(const fleet_upstream& upstream, time_point now);
  void ExpireColdLimits(time_point now);
  void LogCold(const fleet_upstream& upstream,
               double per_second,
               time_point now) const;
  void BeginRamp(const fleet_upstream& upstream,
                 const std::optional<ramp_start>& start);
  void ExpireRamps(time_point now);
  // The id of a listed process; empty if it is not listed.
  std::string IdOf(std::uint32_t process_key) const;
  void ExpireAnnouncements(time_point now);
  void LogLimit(std::uint32_t process_key,
                std::string_view origin,
                time_point now) const;

  runtime& runtime_;
  catalog_service* catalog_ = nullptr;
  membership_service* membership_ = nullptr;
  region_map regions_;
  load_tracker tracker_;
  upstream_limits limits_;
  upstream_announcements announcements_;
  upstream_ramp ramp_;
  ramp_triggers triggers_;
  time_point started_at_;
  std::map<std::string, std::shared_ptr<fleet_upstream>> by_id_;
  std::map<std::string, std::vector<std::shared_ptr<fleet_upstream>>>
      by_service_;
  std::function<void()> capacity_listener_;
  std::unique_ptr<asio::steady_timer> broadcast_timer_;
  std::optional<time_point> broadcast_at_;
  bool load_changed_ = false;
  report_pacer pacer_;
  std::unique_ptr<timer_subscription> refresh_timer_;
  std::unique_ptr<timer_subscription> cold_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_FLEET_SERVICE_H_
