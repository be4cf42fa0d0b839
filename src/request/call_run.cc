#include "src/request/call_run.h"

#include "src/formats/completion_format.h"
#include "src/services/config_service.h"

namespace cactusward {
namespace {

constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
constexpr std::size_t kMaxAnswerBytes = 4ULL * 1024 * 1024;

}  // namespace

call_request::call_request(runtime& runtime,
                           request_context& context,
                           std::string service,
                           std::string call)
    : runtime_(runtime),
      context_(context),
      services_(context.services()),
      attempts_(runtime, context),
      service_name_(std::move(service)),
      call_name_(std::move(call)) {}

result<bool> call_request::Prepare() {
  const fleet_config& config = context_.config();
  const upstream_service* service = config.FindService(service_name_);
  if (!service || service->kind != service_kind::kPlain)
    return {error_kind::kUnknownCall, service_name_};
  call_ = FindCall(*service, call_name_);
  if (!call_)
    return {error_kind::kUnknownCall, service_name_ + "/" + call_name_};
  context_.record().length_class = kPlainCallClass;
  if (context_.exchange().request().body().size() >
      static_cast<std::size_t>(config.limits.max_body_bytes))
    return error_kind::kBodyTooLarge;
  auto deadline = context_.SetDeadline(call_->time_limit);
  if (!deadline)
    return deadline;
  if (!call_->repeatable &&
      context_.exchange().Header(kIdempotencyHeader).empty())
    return error_kind::kIdempotencyKeyMissing;
  return attempts_.CheckSuspect();
}

void call_request::Run(asio::yield_context yield) {
  const auto prepared = Prepare();
  if (!prepared)
    return context_.Fail(prepared.kind(), prepared.detail(), yield);
  if (!attempts_.AdmitAndClaim(
          EstimateTokens(context_.exchange().request().body().size()), yield))
    return;
  placement_request placement;
  placement.service = service_name_;
  placement.routing.prompt_tokens = 1;
  while (true) {
    const attempt_outcome outcome = attempts_.Run(
        placement, call_->repeatable,
        [this, &yield](placed_request& placed) {
          return Exchange(placed, yield);
        },
        yield);
    if (outcome.kind == error_kind::kOk)
      return Finish(yield);
    if (!attempts_.PrepareRetry(outcome, call_->repeatable, yield))
      return context_.Fail(attempts_.SettleFailure(outcome), outcome.detail,
                           yield);
  }
}

attempt_outcome call_request::Exchange(const placed_request& placed,
                                       asio::yield_context yield) {
  http_exchange& exchange = context_.exchange();
  outgoing_request outgoing;
  outgoing.method = http::verb::post;
  outgoing.target = "/" + call_name_;
  outgoing.body = exchange.request().body();
  outgoing.headers = {
      {"Content-Type", std::string(exchange.Header("Content-Type"))},
      {"X-Request-Id", context_.request_id()}};
  if (attempts_.claimed())
    outgoing.headers.emplace_back(
        kIdempotencyHeader, std::string(exchange.Header(kIdempotencyHeader)));
  outgoing.fresh_connection = attempts_.claimed();
  outgoing.dead_peer_timeout = kLostMachineTimeout;
  outgoing.to_upstream = true;
  outgoing.may_send = request_attempts::SendCheckFor(placed);
  auto response =
      runtime_.client.Call(placed.address(), outgoing, context_.deadline(),
                           yield, kMaxAnswerBytes, attempts_.cancel());
  if (!response)
    return request_attempts::UnansweredOutcome(response.kind(),
                                               response.detail());
  services_.directory->RecordResponse(placed.pool(), placed.address(),
                                      response->load_metrics);
  if (StatesNotExecuted(response->status))
    return attempts_.RecordRefusal(placed, response->status,
                                   response->retry_after, response->body);
  response_ = std::move(*response);
  return {error_kind::kOk, {}, true};
}

void call_request::Finish(asio::yield_context yield) {
  context_.record().first_token = clock::now() - context_.started_at();
  attempts_.SettleSuccess(response_.status, response_.content_type,
                          response_.body);
  if (attempts_.caller_gone())
    return;
  context_.exchange().Respond(response_.status, response_.content_type,
                              response_.body, context_.WriteDeadline(), yield);
}

}  // namespace cactusward
