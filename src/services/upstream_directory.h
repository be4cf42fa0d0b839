// The upstreams of every service: instance list, load reports, reachability.
#ifndef CACTUSWARD_SRC_SERVICES_UPSTREAM_DIRECTORY_H_
#define CACTUSWARD_SRC_SERVICES_UPSTREAM_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/stall_meter.h"
#include "cactusward/upstreams.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"

namespace cactusward {

class config_service;
class evacuation_service;
class membership_service;
class recovery_service;

// Parses the load metrics header of an upstream's response.
// @return nullopt when it is absent or malformed. Thread-safe.
std::optional<load_report> ParseLoadMetrics(std::string_view header);

// Parses the platform's instance list, in the JSON format of Prometheus HTTP
// service discovery. Entries that are malformed are logged and left out.
// @param own_peers receives the peer addresses of cactusward instances.
// @return nullopt when it is malformed, or when it has entries and none of them
//     can be read. Thread-safe.
std::optional<std::vector<upstream_listing>> ParseInstanceList(
    std::string_view body,
    std::vector<std::string>* own_peers);

class upstream_directory : public service {
 public:
  explicit upstream_directory(runtime& runtime);

  std::string_view service_name() const override {
    return kDirectoryServiceName;
  }
  void Start() override;

  // The pool of a service, or null for a service that was never configured.
  upstream_pool* Pool(const std::string& service);
  // Whether a listed upstream has `address`, and its zone is not evacuated.
  bool MayCarryTo(const std::string& address) const;
  // Number of listed upstreams by availability zone.
  std::map<std::string, std::size_t> CountByZone() const;
  // The pools of all services, by service name.
  std::vector<upstream_pool*> Pools();

  // Begins a dispatch. `cancel`, if not null, is cancelled when the upstream's
  // process has ended; it must live until End. An upstream that is only silent
  // gets no new requests, but keeps those in progress: their own connection or
  // deadline ends them.
  // @param may_move asked when the upstream has been silent for several
  //     seconds, and nothing was recorded with RecordBytes, while another one
  //     accepts requests. If it returns true, `cancel` is cancelled, and the
  //     request must be sent elsewhere. Empty: never moved.
  // @return the id to pass to End.
  std::uint64_t Begin(upstream_pool* pool,
                      const dispatch& dispatch,
                      cancel_token* cancel,
                      std::function<bool()> may_move = {});
  // Records that bytes of the response arrived.
  void RecordBytes(upstream_pool* pool, std::uint64_t id);
  void End(upstream_pool* pool, std::uint64_t id);

  // Records a response: applies its load metrics and marks the upstream
  // reachable.
  void RecordResponse(upstream_pool* pool,
                      const std::string& address,
                      std::string_view load_metrics);
  // Handles a broken connection: probes the upstream to find out whether its
  // process has ended. If it has, marks the upstream unreachable until a probe
  // succeeds and records the requests in flight there as suspects.
  void OnConnectionBroken(upstream_pool* pool,
                          const std::string& address,
                          asio::yield_context yield);

  std::vector<in_flight_report> InFlightReports() const;
  std::vector<leaving_report> LeavingReports() const;
  // Merges peers' reports of upstreams that are leaving.
  // @return whether anything changed.
  bool RecordLeaving(const std::vector<leaving_report>& reports);
  // Sets the prompt tokens that peers have in flight, by UpstreamKey.
  void SetPeerBacklog(
      const std::unordered_map<std::uint32_t, std::int64_t>& tokens);
  // Sets the listener that is called whenever an upstream may have gained
  // capacity.
  void OnCapacityFreed(std::function<void()> listener) {
    capacity_listener_ = std::move(listener);
  }

 private:
  void ApplyConfig();
  void PollInstanceList(asio::yield_context yield);
  void ApplyInstanceList(const std::string& body);
  void StartDueProbes(time_point now);
  // Whether this instance probes the upstream on behalf of all instances.
  bool IsOwnerOf(const std::string& address);
  void ProbeUpstream(const std::string& service,
                     const std::string& address,
                     asio::yield_context yield);
  // Stops placing requests at the upstream until it responds.
  void MarkUnreachable(upstream_pool* pool, const std::string& address);
  // Handles the end of the upstream's process.
  void RecordCrash(upstream_pool* pool, const std::string& address);
  void MoveSilentDispatches(upstream_pool* pool,
                            const std::string& address,
                            time_point silent_since);
  void NotifyCapacityFreed();

  struct probe_state {
    bool running = false;
    bool crashed = false;     // and has not responded since
    int failures = 0;         // consecutive
    time_point silent_since;  // start of the first of `failures`
    time_point next;
  };
  struct open_dispatch {
    std::string address;
    cancel_token* cancel = nullptr;
    std::function<bool()> may_move;
    time_point heard_at;
  };

  runtime& runtime_;
  stall_meter stalls_;
  config_service* config_ = nullptr;
  evacuation_service* evacuations_ = nullptr;
  membership_service* membership_ = nullptr;
  recovery_service* recovery_ = nullptr;
  std::map<std::string, std::unique_ptr<upstream_pool>> pools_;
  std::vector<upstream_listing> listings_;
  std::map<std::string, probe_state> probes_;
  std::map<std::pair<upstream_pool*, std::uint64_t>, open_dispatch>
      open_dispatches_;
  std::function<void()> capacity_listener_;
  std::vector<std::string> live_instances_;
  std::unique_ptr<timer_subscription> probe_timer_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_SERVICES_UPSTREAM_DIRECTORY_H_
