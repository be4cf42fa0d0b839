// The upstreams of every service: list, reports, reachability.
#ifndef CACTUSWARD_SRC_SERVICES_UPSTREAM_DIRECTORY_H_
#define CACTUSWARD_SRC_SERVICES_UPSTREAM_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/upstreams.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"

namespace cactusward {

class config_service;
class membership_service;
class recovery_service;

// Reads the load metrics that an upstream sends with its answers.
// @return nothing when they are absent or malformed. Thread-safe.
std::optional<load_report> ParseLoadMetrics(std::string_view header);

// Reads the platform's list in the format of HTTP service discovery.
// @param own_peers receives the peer addresses of instances of this system.
// @return nothing when it is malformed. Thread-safe.
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

  // The pool of a service; null when the configuration names none such.
  upstream_pool* Pool(const std::string& service);
  // Names of all services, with their pools.
  std::vector<upstream_pool*> Pools();

  // Begins a dispatch. `cancel`, if not null, is cancelled when the upstream
  // cannot be reached any more; it must live until End.
  std::uint64_t Begin(upstream_pool* pool,
                      const dispatch& dispatch,
                      cancel_token* cancel);
  void End(upstream_pool* pool, std::uint64_t id);

  // Takes in the load metrics of an answer.
  void RecordResponse(upstream_pool* pool,
                      const std::string& address,
                      std::string_view load_metrics);
  // An exchange with the upstream broke: finds out whether it died, records
  // who was in flight, and keeps new work away until it answers again.
  void OnConnectionBroken(upstream_pool* pool,
                          const std::string& address,
                          asio::yield_context yield);

  std::vector<in_flight_report> InFlightReports() const;
  std::vector<leaving_report> LeavingReports() const;
  // @return whether any of it was news.
  bool LearnLeaving(const std::vector<leaving_report>& reports);
  void SetPeerBacklog(
      const std::unordered_map<std::uint32_t, std::int64_t>& tokens);
  // Calls `listener` whenever room may have appeared at some upstream.
  void OnCapacityFreed(std::function<void()> listener) {
    capacity_listener_ = std::move(listener);
  }

 private:
  void ApplyConfig();
  void PollInstanceList(asio::yield_context yield);
  void ApplyInstanceList(const std::string& body);
  void StartDueProbes(time_point now);
  bool IsOwnerOf(const std::string& address);
  void ProbeUpstream(const std::string& service,
                     const std::string& address,
                     asio::yield_context yield);
  // @param died whether its process is known to have ended.
  void MarkUnreachable(upstream_pool* pool,
                       const std::string& address,
                       bool crashed);
  void NotifyCapacityFreed();

  struct probe_state {
    bool running = false;
    int failures = 0;
    time_point next;
  };
  struct open_dispatch {
    std::string address;
    cancel_token* cancel = nullptr;
  };

  runtime& runtime_;
  config_service* config_ = nullptr;
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
