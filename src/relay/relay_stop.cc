#include "src/relay/relay_stop.h"

#include <algorithm>
#include <limits>

#include "src/kernel/log.h"
#include "src/relay/catalog_service.h"
#include "src/services/path_service.h"

namespace cactusward {
namespace {

// A small fraction of the shutdown time.
constexpr milliseconds kPollPeriod{20};
// Responses that are already written leave the process before it exits.
constexpr milliseconds kResponseFlushDelay{60};
// Requests that are ended get at least this long to send their responses.
constexpr milliseconds kMinResponseTime{100};
// The longest silence, of about a second, after which a sound upstream goes on.
constexpr double kMaxSilenceMs = 1'250;
// Share of the longest run that many requests take.
constexpr double kLikelyShare = 0.5;

}  // namespace

void relay_shutdown::Start() {
  catalog_ = runtime_.registry.Find<catalog_service>(kCatalogServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  paths_ = runtime_.registry.Find<path_service>(kPathServiceName);
}

bool relay_shutdown::HasPendingWork() const {
  return server_->active() > 0 || server_->receiving() > 0 ||
         !pending_.empty() || paths_->carried_tunnels() > 0;
}

bool relay_shutdown::IsReady() const {
  return !stopping() && catalog_->Config() != nullptr;
}

double relay_shutdown::CertainBound(estimates kind,
                                    const std::string& route,
                                    double predicted_ms,
                                    const run_prediction& predicted) const {
  const double of_all =
      (measured_.*kind)
          .UpperBound(route, predicted_ms, run_time_confidence::kCertain);
  if (!predicted.upstream)
    return of_all;
  // Upstreams of one service differ in speed.
  return std::max(of_all, ((*predicted.upstream).*kind)
                              .UpperBound(route, predicted_ms,
                                          run_time_confidence::kLikely));
}

double relay_shutdown::ExpectedRunMs(const std::string& route,
                                     const run_prediction& predicted,
                                     time_point arrived_at) const {
  const double total_ms = predicted.TotalMs();
  const double likely =
      measured_.runs.UpperBound(route, total_ms, run_time_confidence::kLikely);
  if (!IsNoticed(arrived_at))
    return predicted.passes > 0 ? likely : likely + kMaxSilenceMs;
  if (predicted.unknown_length)
    return std::numeric_limits<double>::infinity();
  // The prediction of a call is its objective, not a bound.
  if (predicted.passes == 0) {
    const double of_upstream =
        predicted.upstream ? predicted.upstream->runs.UpperBound(
                                 route, total_ms, run_time_confidence::kLikely)
                           : 0;
    return std::max(likely, of_upstream) + kMaxSilenceMs;
  }
  const double by_events =
      CertainBound(&run_times::first_events, route, predicted.first_event_ms,
                   predicted) +
      predicted.passes *
          CertainBound(&run_times::passes, route, predicted.pass_ms, predicted);
  // An event need not be one pass, so whole runs are compared as well.
  return std::max(by_events,
                  CertainBound(&run_times::runs, route, total_ms, predicted)) +
         kMaxSilenceMs;
}

bool relay_shutdown::CanComplete(const std::string& route,
                                 const run_prediction& predicted,
                                 time_point arrived_at,
                                 time_point deadline,
                                 time_point now) const {
  if (!schedule_ || deadline <= schedule_->requests_end_at)
    return true;
  return ExpectedRunMs(route, predicted, arrived_at) <=
         ToMilliseconds(schedule_->requests_end_at - now);
}

bool relay_shutdown::MayBeginStream(const std::string& route,
                                    const run_prediction& rest,
                                    time_point arrived_at,
                                    time_point deadline,
                                    time_point now) const {
  if (!schedule_ || deadline <= schedule_->requests_end_at)
    return true;
  double needed_ms = ExpectedRunMs(route, rest, arrived_at);
  if (!IsNoticed(arrived_at))
    needed_ms *= kLikelyShare;
  return needed_ms <= ToMilliseconds(schedule_->requests_end_at - now);
}

void relay_shutdown::Record(estimates kind,
                            const std::string& route,
                            double predicted_ms,
                            double measured_ms,
                            const run_prediction& predicted) {
  if (predicted_ms <= 0)
    return;
  (measured_.*kind).Record(route, predicted_ms, measured_ms);
  if (predicted.upstream)
    ((*predicted.upstream).*kind).Record(route, predicted_ms, measured_ms);
}

void relay_shutdown::RecordRun(const std::string& route,
                               const run_prediction& predicted,
                               duration measured) {
  Record(&run_times::runs, route, predicted.TotalMs(), ToMilliseconds(measured),
         predicted);
}

void relay_shutdown::RecordFirstEvent(const std::string& route,
                                      const run_prediction& predicted,
                                      duration measured) {
  Record(&run_times::first_events, route, predicted.first_event_ms,
         ToMilliseconds(measured), predicted);
}

void relay_shutdown::RecordPass(const std::string& route,
                                const run_prediction& predicted,
                                double measured_ms) {
  Record(&run_times::passes, route, predicted.pass_ms, measured_ms, predicted);
}

void relay_shutdown::Begin(std::function<void()> on_stopped) {
  if (stopping())
    return;
  schedule_ = MakeStopSchedule(clock::now(), runtime_.settings);
  on_stopped_ = std::move(on_stopped);
  server_->AnnounceClose();
  Log(log_level::kInfo, "stop_began",
      {{"in_progress", server_->active()},
       {"receiving", server_->receiving()},
       {"requests_end_in_ms",
        ToMilliseconds(schedule_->requests_end_at - schedule_->began_at)}});
  Spawn(runtime_.io, "stop",
        [this](asio::yield_context yield) { WaitUntilDrained(yield); });
}

void relay_shutdown::WaitForPendingWork(time_point until,
                                        asio::yield_context yield) {
  while (HasPendingWork() && clock::now() < until)
    Sleep(runtime_.io, kPollPeriod, yield);
}

void relay_shutdown::WaitUntilDrained(asio::yield_context yield) {
  Sleep(runtime_.io, schedule_->grace_ends_at - schedule_->began_at, yield);
  server_->CloseIdleConnections();
  WaitForPendingWork(schedule_->requests_end_at, yield);
  refusing_ = true;
  server_->StopAccepting();
  membership_->Leave();
  pending_.EndAll();
  Sleep(runtime_.io, kResponseFlushDelay, yield);
  // Perhaps this process was stalled, and the exit is overdue.
  WaitForPendingWork(
      std::max(schedule_->exits_at, clock::now() + kMinResponseTime), yield);
  const time_point now = clock::now();
  pending_.LogEach("request_cut", now);
  Log(log_level::kInfo, "stopped",
      {{"in_progress", server_->active()},
       {"receiving", server_->receiving()},
       {"carried_tunnels", paths_->carried_tunnels()},
       {"after_ms", ToMilliseconds(now - schedule_->began_at)}});
  on_stopped_();
}

}  // namespace cactusward
