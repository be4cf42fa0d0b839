#include "src/relay/relay_stop.h"

#include "src/kernel/log.h"
#include "src/relay/catalog_service.h"

namespace cactusward {
namespace {

// A small part of the time to stop.
constexpr milliseconds kPoll{20};
// Answers already written leave the process before it ends.
constexpr milliseconds kLastWords{60};
// Part of the time to stop in which requests are still served: the balancer
// may go on sending them when too few instances are left.
constexpr double kAdmissionShare = 0.45;
// The process ends by itself before it is ended.
constexpr milliseconds kKillMargin{350};

}  // namespace

void relay_stop::Start() {
  catalog_ = runtime_.registry.Find<catalog_service>(kCatalogServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
}

bool relay_stop::IsReady() const {
  return !stopping() && catalog_->Config() != nullptr;
}

bool relay_stop::IsRefusing() const {
  return ending_ ||
         (began_ && clock::now() - *began_ >
                        runtime_.settings.drain_limit * kAdmissionShare);
}

void relay_stop::Begin(std::function<void()> on_end) {
  if (stopping())
    return;
  began_ = clock::now();
  on_end_ = std::move(on_end);
  Log(log_level::kInfo, "stop_began", {{"in_progress", server_->active()}});
  Spawn(runtime_.io, "stop",
        [this](asio::yield_context yield) { WaitForEnd(yield); });
}

void relay_stop::WaitForEnd(asio::yield_context yield) {
  const time_point limit =
      *began_ + runtime_.settings.drain_limit - kKillMargin;
  Sleep(runtime_.io, runtime_.settings.drain_grace, yield);
  server_->CloseIdleConnections();
  while (server_->active() > 0 && clock::now() < limit)
    Sleep(runtime_.io, kPoll, yield);
  // Nothing begins any more that the process would not live to answer.
  ending_ = true;
  server_->StopAccepting();
  membership_->Leave();
  Sleep(runtime_.io, kLastWords, yield);
  while (server_->active() > 0 && clock::now() < limit)
    Sleep(runtime_.io, kPoll, yield);
  Log(log_level::kInfo, "stopped", {{"in_progress", server_->active()}});
  on_end_();
}

}  // namespace cactusward
