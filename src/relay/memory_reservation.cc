#include "src/relay/memory_reservation.h"

#include "src/kernel/log.h"

namespace cactusward {
namespace {

// Upper bound on how long memory stays reserved after its holder has crashed.
constexpr milliseconds kReservationTtl{3'500};
// Two consecutive renewals may fail before a reservation expires.
constexpr milliseconds kRenewPeriod{1'200};
// Upstreams respond to control requests within a few round trips.
constexpr milliseconds kControlTimeout{400};
// All release attempts together end before the reservation expires.
constexpr milliseconds kReleaseRetryDelay{150};
constexpr int kMaxReleaseAttempts = 4;
constexpr std::size_t kMaxControlResponseBytes = 64ULL * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;

// Waits until a control request may be sent to an upstream that is cold.
// @return false, without a wait, if that is not before `deadline`.
bool AwaitShare(runtime& runtime,
                const fleet_service& fleet,
                const fleet_upstream& upstream,
                time_point deadline,
                asio::yield_context yield) {
  while (true) {
    const time_point now = clock::now();
    const auto granted = fleet.NextControlGrant(upstream, now);
    if (!granted || *granted >= deadline)
      return false;
    if (*granted <= now)
      return true;
    Sleep(runtime.io, *granted - now + milliseconds(1), yield);
  }
}

}  // namespace

memory_reservation::memory_reservation(runtime& runtime,
                                       const relay_protocol& protocol)
    : runtime_(runtime),
      protocol_(protocol),
      state_(std::make_shared<state>(runtime.io)) {}

milliseconds memory_reservation::Ttl() const {
  return std::min(kReservationTtl,
                  runtime_.settings.forwarding->max_reservation);
}

result<bool> memory_reservation::SendControlRequest(
    runtime& runtime,
    const relay_protocol& protocol,
    const fleet_upstream& upstream,
    outgoing_request request,
    cancel_token* cancel,
    asio::yield_context yield) {
  const time_point deadline = clock::now() + kControlTimeout;
  request.to_upstream = true;
  auto* fleet = runtime.registry.Find<fleet_service>(kFleetServiceName);
  if (!AwaitShare(runtime, *fleet, upstream, deadline, yield))
    return {error_kind::kUpstreamRefused, "upstream is cold"};
  request.may_send = [fleet, &upstream] {
    return fleet->TrySpendControl(upstream, clock::now());
  };
  const auto response = runtime.client.Open(upstream.entry.address, request,
                                            deadline, yield, cancel);
  if (!response)
    return {response.kind(), response.detail()};
  const int status = (*response)->status();
  const upstream_reply reply =
      protocol.ParseReply(status, (*response)->header());
  if (reply.leaving && !reply.wrong_upstream)
    fleet->RecordLeaving(upstream);
  if (!reply.wrong_upstream)
    fleet->RecordState(upstream, reply);
  if (reply.retry_after)
    fleet->RecordBackoff(upstream, *reply.retry_after);
  // Read to its end, so that the connection can be reused.
  const auto body =
      (*response)->ReadBody(kMaxControlResponseBytes, deadline, yield);
  if (!body)
    return {body.kind(), body.detail()};
  if (status == kStatusOk || status == kStatusAccepted)
    return true;
  return {error_kind::kUpstreamRefused, "status " + std::to_string(status)};
}

result<bool> memory_reservation::Reserve(const allocation& next,
                                         time_point deadline,
                                         cancel_token* cancel,
                                         asio::yield_context yield) {
  const auto* fleet = runtime_.registry.Find<fleet_service>(kFleetServiceName);
  const time_point now = clock::now();
  if (now >= deadline)
    return {error_kind::kTimedOut, "no time is left"};
  if (!fleet->AcceptsRequests(*next.upstream, now))
    return {error_kind::kUpstreamRefused, "upstream accepts no requests"};
  // A control request without a response may have been executed, so its
  // allocation is recorded first and released as well.
  state_->allocations.push_back(next);
  return SendControlRequest(
      runtime_, protocol_, *next.upstream,
      protocol_.MakeReserveRequest({next.id, next.tokens, Ttl()}), cancel,
      yield);
}

result<bool> memory_reservation::Acquire(const std::string& id_prefix,
                                         std::vector<allocation> allocations,
                                         time_point deadline,
                                         cancel_token* cancel,
                                         asio::yield_context yield) {
  for (std::size_t i = 0; i < allocations.size(); ++i) {
    allocation& next = allocations[i];
    next.id = id_prefix + "-" + std::to_string(i);
    const result<bool> granted = Reserve(next, deadline, cancel, yield);
    if (!granted) {
      Log(log_level::kInfo, "reservation_refused",
          {{"reservation", next.id},
           {"upstream_address", next.upstream->entry.address},
           {"tokens", next.tokens},
           {"detail", granted.detail()}});
      return {error_kind::kUpstreamRefused, "memory was not granted"};
    }
  }
  if (!state_->allocations.empty())
    StartRenewal();
  return true;
}

void memory_reservation::StartRenewal() {
  Spawn(runtime_.io, "reservation",
        [&runtime = runtime_, &protocol = protocol_, state = state_,
         ttl = Ttl()](asio::yield_context yield) {
          while (state->active) {
            WaitOn(state->timer, clock::now() + kRenewPeriod, yield);
            for (std::size_t i = 0;
                 state->active && i < state->allocations.size(); ++i) {
              const allocation& held = state->allocations[i];
              const auto renewed = SendControlRequest(
                  runtime, protocol, *held.upstream,
                  protocol.MakeReserveRequest({held.id, held.tokens, ttl}),
                  nullptr, yield);
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
  for (const allocation& held : state_->allocations) {
    Spawn(runtime_.io, "release",
          [&runtime = runtime_, &protocol = protocol_,
           held](asio::yield_context yield) {
            std::string detail;
            for (int i = 0; i < kMaxReleaseAttempts; ++i) {
              const auto released = SendControlRequest(
                  runtime, protocol, *held.upstream,
                  protocol.MakeReleaseRequest(held.id), nullptr, yield);
              if (released)
                return;
              detail = released.detail();
              Sleep(runtime.io, kReleaseRetryDelay, yield);
            }
            // The upstream frees it when its TTL ends.
            Log(log_level::kWarning, "reservation_not_released",
                {{"reservation", held.id}, {"detail", detail}});
          });
  }
}

}  // namespace cactusward
