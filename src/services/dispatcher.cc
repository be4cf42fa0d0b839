#include "src/services/dispatcher.h"

#include "src/services/config_service.h"
#include "src/services/evacuation_service.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kDispatchPeriod{50};
// With a long queue, dispatch runs are batched over this delay, so that the
// queue is not scanned on every event.
constexpr milliseconds kDispatchBatchDelay{2};
constexpr std::size_t kLongQueueSize = 32;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

placed_request::placed_request(upstream_directory* directory,
                               upstream_pool* pool,
                               std::uint64_t id,
                               std::string address)
    : directory_(directory),
      pool_(pool),
      id_(id),
      address_(std::move(address)) {}

placed_request::~placed_request() {
  directory_->End(pool_, id_);
}

dispatcher::dispatcher(runtime& runtime)
    : runtime_(runtime), dispatch_delay_(runtime.io) {}

void dispatcher::Start() {
  config_ = runtime_.registry.Find<config_service>(kConfigServiceName);
  evacuations_ =
      runtime_.registry.Find<evacuation_service>(kEvacuationServiceName);
  directory_ =
      runtime_.registry.Find<upstream_directory>(kDirectoryServiceName);
  auto* membership =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  directory_->OnCapacityFreed([this] { ScheduleDispatch(); });
  config_->tracker().Subscribe([this](const active_config& active) {
    // Keeps the state of a stateful policy while its settings are unchanged.
    if (policy_ && policy_settings_ == active.config.routing)
      return;
    policy_settings_ = active.config.routing;
    policy_ = MakeRoutingPolicy(policy_settings_);
  });
  dispatch_timer_ =
      runtime_.timers.Every(kDispatchPeriod, [this, membership](time_point) {
        limiter_.SetInstanceCount(static_cast<int>(membership->LiveCount()));
        DispatchQueued();
      });
}

std::unique_ptr<placed_request> dispatcher::TryPlace(
    const placement_request& request,
    cancel_token* cancel,
    error_kind* failure) {
  upstream_pool* pool = directory_->Pool(request.service);
  if (!pool || !policy_) {
    *failure = error_kind::kNoUpstream;
    return nullptr;
  }
  const time_point now = clock::now();
  // Requests that were admitted before the instance was cut off wait: a zone
  // may have been evacuated meanwhile.
  if (evacuations_ && !evacuations_->IsUsable(now))
    return nullptr;
  const pool_view view(pool, now);
  const auto chosen =
      request.routing.isolated
          ? PlaceIsolated(request.routing, view, policy_settings_.max_in_flight)
          : policy_->Choose(request.routing, view, runtime_.random());
  if (!chosen) {
    // No upstream wants the request in time.
    const auto backoff_end = pool->BackoffEnd(now);
    if (pool->IsEvacuated(now) ||
        (backoff_end &&
         *backoff_end > request.deadline - request.min_decode_time))
      *failure = error_kind::kNoUpstream;
    return nullptr;
  }
  const time_point expected_end =
      now + chosen->expected_first_token + request.min_decode_time;
  if (pool->service().kind == service_kind::kModel &&
      expected_end > request.deadline) {
    *failure = error_kind::kDeadlineInfeasible;
    return nullptr;
  }
  dispatch sent;
  sent.address = pool->AddressAt(chosen->upstream);
  sent.prompt_tokens = request.routing.prompt_tokens;
  sent.kv_tokens = request.routing.kv_tokens;
  sent.fingerprint = request.fingerprint;
  sent.is_long = request.routing.is_long;
  sent.suspect = request.routing.isolated;
  sent.sent_at = now;
  const std::uint64_t id =
      directory_->Begin(pool, sent, cancel, request.may_move);
  return std::make_unique<placed_request>(directory_, pool, id, sent.address);
}

milliseconds dispatcher::QueueDelay(const placement_request& request,
                                    upstream_pool* pool) const {
  double tokens_ahead = 0;
  for (const auto& [id, waiting] : waiters_) {
    if (waiting->request->service == request.service &&
        waiting->request->length_class <= request.length_class)
      tokens_ahead +=
          static_cast<double>(waiting->request->routing.prompt_tokens);
  }
  const double rate =
      static_cast<double>(pool->service().prefill_tokens_per_second) *
      static_cast<double>(std::max<std::size_t>(
          pool->CountOutsideEvacuatedZones(clock::now()), 1));
  return milliseconds(
      static_cast<std::int64_t>(tokens_ahead / rate * kMillisecondsPerSecond));
}

result<std::unique_ptr<placed_request>> dispatcher::Place(
    const placement_request& request,
    cancel_token* cancel,
    asio::yield_context yield) {
  if (cancel->cancelled())
    return error_kind::kCallerGone;
  upstream_pool* pool = directory_->Pool(request.service);
  if (!pool || pool->size() == 0)
    return {error_kind::kNoUpstream, request.service};
  error_kind failure = error_kind::kOk;
  if (queue_.size() == 0) {
    if (auto placed = TryPlace(request, cancel, &failure))
      return placed;
    if (failure != error_kind::kOk)
      return {failure, {}};
  }
  if (pool->IsEvacuated(clock::now()))
    return {error_kind::kNoUpstream, request.service};
  const bool is_model = pool->service().kind == service_kind::kModel;
  if (is_model &&
      clock::now() + QueueDelay(request, pool) + request.min_decode_time >
          request.deadline)
    return {error_kind::kDeadlineInfeasible, "too much work is queued"};
  const auto active = config_->Current();
  const auto& classes = active->config.classes;
  queued_request queued;
  queued.id = next_id_++;
  queued.length_class = std::min(request.length_class, classes.size() - 1);
  queued.organisation = request.organisation;
  queued.service = request.service;
  queued.prompt_tokens = request.routing.prompt_tokens;
  queued.queued_at = clock::now();
  queued.deadline = request.deadline;
  int max_queued = 0;
  for (const organisation& known : active->config.organisations) {
    if (known.name == request.organisation)
      max_queued = known.limits.max_queued;
  }
  const auto pushed =
      queue_.Push(queued, classes[queued.length_class], max_queued);
  if (!pushed)
    return {pushed.kind(), pushed.detail()};
  waiter waiting(runtime_.io);
  waiting.request = &request;
  waiting.cancel = cancel;
  waiters_[queued.id] = &waiting;
  cancel->OnCancel([&waiting] { waiting.timer.cancel(); });
  DispatchQueued();
  // Stops waiting when too little time is left to decode before the deadline,
  // so that the refusal is still in time.
  const time_point wait_deadline = request.deadline - request.min_decode_time;
  while (!waiting.placed && waiting.failure == error_kind::kOk &&
         !cancel->cancelled() && clock::now() < wait_deadline)
    WaitOn(waiting.timer, wait_deadline, yield);
  cancel->OnCancel({});
  queue_.Remove(queued.id);
  waiters_.erase(queued.id);
  if (waiting.placed)
    return std::move(waiting.placed);
  if (cancel->cancelled())
    return error_kind::kCallerGone;
  if (waiting.failure != error_kind::kOk)
    return {waiting.failure, {}};
  return {error_kind::kDeadlineInfeasible, "no place in time"};
}

void dispatcher::ScheduleDispatch() {
  if (queue_.size() == 0 || dispatch_scheduled_)
    return;
  dispatch_scheduled_ = true;
  dispatch_delay_.expires_after(
      queue_.size() > kLongQueueSize ? kDispatchBatchDelay : milliseconds(0));
  dispatch_delay_.async_wait([this](const boost::system::error_code& error) {
    dispatch_scheduled_ = false;
    if (!error)
      DispatchQueued();
  });
}

void dispatcher::DispatchQueued() {
  if (queue_.size() == 0)
    return;
  // When a request that need not be isolated finds no capacity, later ones of
  // the same service and length (long or short) are skipped.
  std::map<std::pair<std::string, bool>, bool> full;
  for (std::uint64_t id : queue_.Order(clock::now())) {
    const auto it = waiters_.find(id);
    if (it == waiters_.end())
      continue;
    waiter& waiting = *it->second;
    bool& is_full =
        full[{waiting.request->service, waiting.request->routing.is_long}];
    if (is_full || waiting.placed || waiting.failure != error_kind::kOk)
      continue;
    waiting.placed =
        TryPlace(*waiting.request, waiting.cancel, &waiting.failure);
    if (!waiting.placed && waiting.failure == error_kind::kOk) {
      is_full = !waiting.request->routing.isolated;
      continue;
    }
    queue_.Remove(id);
    waiting.timer.cancel();
  }
}

std::vector<queue_row> dispatcher::QueueRows() const {
  const auto active = config_->Current();
  if (!active)
    return {};
  return queue_.Rows(active->config.classes, clock::now());
}

}  // namespace cactusward
