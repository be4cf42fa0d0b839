// Readiness and graceful shutdown of an instance that forwards requests.
#ifndef CACTUSWARD_SRC_RELAY_RELAY_STOP_H_
#define CACTUSWARD_SRC_RELAY_RELAY_STOP_H_

#include <functional>
#include <memory>
#include <optional>

#include "cactusward/run_times.h"
#include "src/daemon/names.h"
#include "src/daemon/pending_work.h"
#include "src/daemon/runtime.h"
#include "src/daemon/stop_schedule.h"
#include "src/edges/http_server.h"

namespace cactusward {

class catalog_service;
class membership_service;
class path_service;

// How long a request would run, by its properties and the cost model of its
// engine.
struct run_prediction {
  double first_event_ms = 0;  // or the whole response, if it is no stream
  double passes = 0;          // that the longest response takes
  double pass_ms = 0;
  // Nothing tells how long it is: `first_event_ms` is the time until its
  // deadline.
  bool unknown_length = false;
  // Of the upstream that runs it; null: none is chosen.
  std::shared_ptr<run_times> upstream;

  double TotalMs() const { return first_event_ms + passes * pass_ms; }
  friend bool operator==(const run_prediction& a, const run_prediction& b) {
    return a.first_event_ms == b.first_event_ms && a.passes == b.passes &&
           a.pass_ms == b.pass_ms && a.unknown_length == b.unknown_length &&
           a.upstream == b.upstream;
  }
};

class relay_shutdown : public service {
 public:
  // Precondition: both outlive the service.
  relay_shutdown(runtime& runtime, http_server* server)
      : runtime_(runtime), server_(server) {}

  std::string_view service_name() const override { return kRelayShutdownName; }
  void Start() override;

  // Whether the load balancer may send new connections.
  bool IsReady() const;
  bool stopping() const { return schedule_.has_value(); }
  // Whether no request is served any more.
  bool refusing() const { return refusing_; }
  // nullopt while no shutdown has begun.
  const std::optional<stop_schedule>& schedule() const { return schedule_; }
  // Whether a request of `route` that would be sent to an upstream at `now`
  // ends before the process exits: very probably if it arrived before the load
  // balancer could notice the shutdown, otherwise in any case.
  // @param arrived_at when the request was received.
  // @param deadline when it ends at the latest.
  bool CanComplete(const std::string& route,
                   const run_prediction& predicted,
                   time_point arrived_at,
                   time_point deadline,
                   time_point now) const;
  // Whether a stream whose first event has arrived may be passed on. It could
  // only be cut at the exit.
  // @param rest what remains of the run. Other parameters as for CanComplete.
  bool MayBeginStream(const std::string& route,
                      const run_prediction& rest,
                      time_point arrived_at,
                      time_point deadline,
                      time_point now) const;
  // The time in milliseconds for which CanComplete expects a request to run,
  // with a silence of its upstream unless the bound need only be likely;
  // infinite if nothing bounds it. A certain bound also takes into account how
  // long its upstream ran other requests.
  double ExpectedRunMs(const std::string& route,
                       const run_prediction& predicted,
                       time_point arrived_at) const;
  // Records how requests of `route` ran, as compared with their predictions:
  // the whole run, the time to the first event, and the time between events.
  // Records it of the upstream in `predicted` as well.
  void RecordRun(const std::string& route,
                 const run_prediction& predicted,
                 duration measured);
  void RecordFirstEvent(const std::string& route,
                        const run_prediction& predicted,
                        duration measured);
  void RecordPass(const std::string& route,
                  const run_prediction& predicted,
                  double measured_ms);
  // The requests in progress, and other work that the exit waits for.
  pending_work_list& pending() { return pending_; }
  // Begins the shutdown: readiness is withdrawn at once, while requests that
  // can be completed are still served until the load balancer has noticed and
  // all requests in progress have ended. Requests that have no response shortly
  // before the exit are ended with one. Then calls `on_stopped`. Further calls
  // have no effect.
  void Begin(std::function<void()> on_stopped);

 private:
  // Whether callers that arrive at `at` should have found another instance.
  bool IsNoticed(time_point at) const {
    return schedule_ && at >= schedule_->grace_ends_at;
  }
  using estimates = run_time_estimates run_times::*;
  // The time that no request exceeds that is taken late.
  double CertainBound(estimates kind,
                      const std::string& route,
                      double predicted_ms,
                      const run_prediction& predicted) const;
  void Record(estimates kind,
              const std::string& route,
              double predicted_ms,
              double measured_ms,
              const run_prediction& predicted);
  void WaitUntilDrained(asio::yield_context yield);
  // Own requests, and those of peers that this instance carries.
  bool HasPendingWork() const;
  void WaitForPendingWork(time_point until, asio::yield_context yield);

  runtime& runtime_;
  http_server* server_;
  catalog_service* catalog_ = nullptr;
  membership_service* membership_ = nullptr;
  const path_service* paths_ = nullptr;
  std::optional<stop_schedule> schedule_;
  // Of all upstreams. Few responses reach the longest length that the
  // prediction assumes.
  run_times measured_{run_time_estimates(0.5), run_time_estimates(1.5),
                      run_time_estimates(1)};
  pending_work_list pending_;
  bool refusing_ = false;  // the drain has ended; requests are refused
  std::function<void()> on_stopped_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_RELAY_STOP_H_
