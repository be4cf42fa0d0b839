#include "src/relay/relay_stop.h"

#include "src/kernel/log.h"
#include "src/relay/catalog_service.h"

namespace cactusward {
namespace {

// A small fraction of the shutdown time.
constexpr milliseconds kPollPeriod{20};
// Responses that are already written leave the process before it exits.
constexpr milliseconds kResponseFlushDelay{60};
// Share of the shutdown time in which new requests are still served: the load
// balancer may continue to send them when too few other instances are left.
constexpr double kServingShare = 0.45;
// The process exits by itself this long before it would be killed.
constexpr milliseconds kKillMargin{350};

}  // namespace

void relay_shutdown::Start() {
  catalog_ = runtime_.registry.Find<catalog_service>(kCatalogServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
}

bool relay_shutdown::IsReady() const {
  return !stopping() && catalog_->Config() != nullptr;
}

bool relay_shutdown::IsRefusing() const {
  return refusing_ ||
         (started_at_ && clock::now() - *started_at_ >
                             runtime_.settings.drain_limit * kServingShare);
}

void relay_shutdown::Begin(std::function<void()> on_stopped) {
  if (stopping())
    return;
  started_at_ = clock::now();
  exit_at_ = *started_at_ + runtime_.settings.drain_limit - kKillMargin;
  on_stopped_ = std::move(on_stopped);
  Log(log_level::kInfo, "stop_began",
      {{"in_progress", server_->active()},
       {"exit_in_ms", ToMilliseconds(*exit_at_ - *started_at_)}});
  Spawn(runtime_.io, "stop",
        [this](asio::yield_context yield) { WaitUntilDrained(yield); });
}

void relay_shutdown::WaitUntilDrained(asio::yield_context yield) {
  Sleep(runtime_.io, runtime_.settings.drain_grace, yield);
  server_->CloseIdleConnections();
  while (HasPendingWork() && clock::now() < *exit_at_)
    Sleep(runtime_.io, kPollPeriod, yield);
  // From here on the process would exit before a new request could complete.
  refusing_ = true;
  server_->StopAccepting();
  membership_->Leave();
  Sleep(runtime_.io, kResponseFlushDelay, yield);
  while (HasPendingWork() && clock::now() < *exit_at_)
    Sleep(runtime_.io, kPollPeriod, yield);
  const time_point now = clock::now();
  pending_.LogEach("request_cut", now);
  Log(log_level::kInfo, "stopped",
      {{"in_progress", server_->active()},
       {"after_ms", ToMilliseconds(now - *started_at_)}});
  on_stopped_();
}

}  // namespace cactusward
