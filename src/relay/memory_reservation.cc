#include "src/relay/memory_reservation.h"

#include "src/kernel/log.h"

namespace cactusward {
namespace {

// Memory is lost for no longer than this when its holder dies.
constexpr milliseconds kHold{3'500};
// Two renewals may fail before a hold ends.
constexpr milliseconds kRenewPeriod{1'200};
// Upstreams answer orders within some round trips.
constexpr milliseconds kOrderTimeout{400};
// All tries together end before the hold does.
constexpr milliseconds kReleaseRetryPause{150};
constexpr int kReleaseTries = 4;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

}  // namespace

memory_reservation::memory_reservation(runtime& runtime,
                                       const relay_protocol& protocol)
    : runtime_(runtime),
      protocol_(protocol),
      state_(std::make_shared<state>(runtime.io)) {}

result<bool> memory_reservation::Order(runtime& runtime,
                                       const std::string& address,
                                       const outgoing_request& order,
                                       asio::yield_context yield) {
  const auto answer =
      runtime.client.Call(address, order, clock::now() + kOrderTimeout, yield);
  if (!answer)
    return {answer.kind(), answer.detail()};
  if (answer->status == kStatusOk || answer->status == kStatusAccepted)
    return true;
  return {error_kind::kUpstreamRefused,
          "status " + std::to_string(answer->status)};
}

result<bool> memory_reservation::Acquire(const std::string& name,
                                         std::vector<part> parts,
                                         time_point deadline,
                                         asio::yield_context yield) {
  const milliseconds hold =
      std::min(kHold, runtime_.settings.forwarding->max_reservation);
  for (std::size_t i = 0; i < parts.size(); ++i) {
    part& next = parts[i];
    next.id = name + "-" + std::to_string(i);
    // An order that got no answer may have been carried out, so its part is
    // given back as well.
    state_->parts.push_back(next);
    const result<bool> granted =
        clock::now() < deadline
            ? Order(runtime_, next.address,
                    protocol_.Reserve({next.id, next.tokens, hold}), yield)
            : result<bool>(error_kind::kTimedOut, "no time is left");
    if (!granted) {
      Log(log_level::kInfo, "reservation_refused",
          {{"reservation", next.id},
           {"upstream_address", next.address},
           {"tokens", next.tokens},
           {"detail", granted.detail()}});
      return {error_kind::kUpstreamRefused, "memory was not granted"};
    }
  }
  if (!state_->parts.empty())
    KeepRenewed();
  return true;
}

void memory_reservation::KeepRenewed() {
  Spawn(runtime_.io, "reservation",
        [&runtime = runtime_, &protocol = protocol_, state = state_,
         hold = std::min(kHold, runtime_.settings.forwarding->max_reservation)](
            asio::yield_context yield) {
          while (state->active) {
            WaitOn(state->timer, clock::now() + kRenewPeriod, yield);
            for (std::size_t i = 0; state->active && i < state->parts.size();
                 ++i) {
              const part& held = state->parts[i];
              const auto renewed =
                  Order(runtime, held.address,
                        protocol.Reserve({held.id, held.tokens, hold}), yield);
              if (!renewed)
                Log(log_level::kWarning, "reservation_not_renewed",
                    {{"reservation", held.id}, {"detail", renewed.detail()}});
            }
          }
        });
}

memory_reservation::~memory_reservation() {
  state_->active = false;
  state_->timer.cancel();
  for (const part& held : state_->parts) {
    Spawn(runtime_.io, "release",
          [&runtime = runtime_, &protocol = protocol_,
           held](asio::yield_context yield) {
            std::string detail;
            for (int i = 0; i < kReleaseTries; ++i) {
              const auto released = Order(runtime, held.address,
                                          protocol.Release(held.id), yield);
              if (released)
                return;
              detail = released.detail();
              Sleep(runtime.io, kReleaseRetryPause, yield);
            }
            // It expires at the end of its hold.
            Log(log_level::kWarning, "reservation_not_released",
                {{"reservation", held.id}, {"detail", detail}});
          });
  }
}

}  // namespace cactusward
