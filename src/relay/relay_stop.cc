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

double relay_shutdown::ExpectedRunMs(const std::string& route,
                                     const run_prediction& predicted,
                                     time_point arrived_at) const {
  constexpr auto kLikely = run_time_confidence::kLikely;
  constexpr auto kCertain = run_time_confidence::kCertain;
  const double likely = runs_.UpperBound(route, predicted.TotalMs(), kLikely);
  if (!IsNoticed(arrived_at) && predicted.passes > 0)
    return likely;
  if (IsNoticed(arrived_at) && predicted.unknown_length)
    return std::numeric_limits<double>::infinity();
  // The prediction of a call is its objective, not a bound.
  if (predicted.passes == 0)
    return likely + kMaxSilenceMs;
  const double by_events =
      first_events_.UpperBound(route, predicted.first_event_ms, kCertain) +
      predicted.passes * passes_.UpperBound(route, predicted.pass_ms, kCertain);
  // An event need not be one pass, so whole runs are compared as well.
  return std::max(by_events,
                  runs_.UpperBound(route, predicted.TotalMs(), kCertain)) +
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

void relay_shutdown::RecordRun(const std::string& route,
                               const run_prediction& predicted,
                               duration measured) {
  if (predicted.TotalMs() > 0)
    runs_.Record(route, predicted.TotalMs(), ToMilliseconds(measured));
}

void relay_shutdown::RecordFirstEvent(const std::string& route,
                                      const run_prediction& predicted,
                                      duration measured) {
  if (predicted.first_event_ms > 0)
    first_events_.Record(route, predicted.first_event_ms,
                         ToMilliseconds(measured));
}

void relay_shutdown::RecordPass(const std::string& route,
                                const run_prediction& predicted,
                                double measured_ms) {
  if (predicted.pass_ms > 0)
    passes_.Record(route, predicted.pass_ms, measured_ms);
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
