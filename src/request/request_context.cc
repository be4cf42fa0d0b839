#include "src/request/request_context.h"

#include <charconv>

#include "cactusward/hash.h"
#include "src/services/claim_service.h"
#include "src/services/config_service.h"
#include "src/services/evacuation_service.h"
#include "src/services/lifecycle_service.h"
#include "src/services/recovery_service.h"

namespace cactusward {
namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kDeadlineHeader = "X-Deadline-Ms";
constexpr std::string_view kRequestIdHeader = "X-Request-Id";

std::string NextRequestId(const runtime& runtime) {
  static std::uint64_t counter = 0;
  return runtime.settings.instance + "-" + std::to_string(runtime.incarnation) +
         "-" + std::to_string(++counter);
}

}  // namespace

handler_services handler_services::FindIn(const service_registry& registry) {
  handler_services found;
  found.config = registry.Find<config_service>(kConfigServiceName);
  found.evacuations = registry.Find<evacuation_service>(kEvacuationServiceName);
  found.lifecycle = registry.Find<lifecycle_service>(kLifecycleServiceName);
  found.directory = registry.Find<upstream_directory>(kDirectoryServiceName);
  found.dispatch = registry.Find<dispatcher>(kDispatcherServiceName);
  found.recovery = registry.Find<recovery_service>(kRecoveryServiceName);
  found.claims = registry.Find<claim_service>(kClaimServiceName);
  found.report = registry.Find<report_service>(kReportServiceName);
  return found;
}

request_context::request_context(runtime& runtime,
                                 const handler_services& services,
                                 http_exchange& exchange)
    : services_(services),
      exchange_(exchange),
      active_(services.config->Current()),
      started_at_(clock::now()),
      deadline_(started_at_) {
  record_.request_id = NextRequestId(runtime);
  record_.target = std::string(exchange.Path());
  exchange_.SetHeader(std::string(kRequestIdHeader), record_.request_id);
  exchange_.SetHeader("X-Served-By", runtime.settings.instance);
  services_.lifecycle->pending().Add(this);
}

request_context::~request_context() {
  exchange_.OnDisconnect({});
  if (admitted_)
    services_.dispatch->limiter().Release(organisation_->name);
  record_.total = clock::now() - started_at_;
  record_.status = exchange_.status();
  record_.response_cut = exchange_.failed();
  services_.report->Record(record_);
  services_.lifecycle->pending().Remove(this);
}

nlohmann::json request_context::Describe(time_point now) const {
  return {{"request", record_.request_id},
          {"target", record_.target},
          {"age_ms", ToMilliseconds(now - started_at_)},
          {"deadline_left_ms", ToMilliseconds(deadline_ - now)},
          {"prompt_tokens", record_.prompt_tokens},
          {"attempts", record_.attempts},
          {"upstream", record_.upstream},
          {"responding", exchange_.responded()}};
}

void request_context::EndBeforeExit() {
  ended_before_exit_ = true;
  if (on_end_)
    on_end_();
}

result<bool> request_context::Authenticate() {
  const error_kind admission = services_.lifecycle->Admission(started_at_);
  if (admission != error_kind::kOk)
    return admission;
  const std::string_view header = exchange_.Header("Authorization");
  if (header.substr(0, kBearerPrefix.size()) != kBearerPrefix)
    return {error_kind::kUnauthenticated,
            "Authorization: a bearer key is required"};
  organisation_ = active_->config.FindOrganisationByKeyDigest(
      Sha256Hex(header.substr(kBearerPrefix.size())));
  if (!organisation_)
    return error_kind::kUnauthenticated;
  record_.organisation = organisation_->name;
  fingerprint_ =
      Hash64(exchange_.request().body(), Hash64(organisation_->name));
  return true;
}

result<bool> request_context::SetDeadline(milliseconds time_limit) {
  const request_limits& limits = active_->config.limits;
  const std::string_view header = exchange_.Header(kDeadlineHeader);
  milliseconds timeout = std::min(time_limit, limits.max_deadline);
  if (!header.empty()) {
    std::int64_t asked = 0;
    const auto [end, error] =
        std::from_chars(header.data(), header.data() + header.size(), asked);
    if (error != std::errc() || end != header.data() + header.size() ||
        milliseconds(asked) < limits.min_deadline ||
        milliseconds(asked) > limits.max_deadline)
      return {error_kind::kDeadlineOutOfRange,
              "X-Deadline-Ms: " + std::to_string(limits.min_deadline.count()) +
                  " to " + std::to_string(limits.max_deadline.count()) +
                  " is allowed"};
    timeout = std::min(timeout, milliseconds(asked));
  }
  deadline_ = started_at_ + timeout;
  return true;
}

result<bool> request_context::Admit(std::int64_t tokens) {
  auto admitted =
      services_.dispatch->limiter().Admit(*organisation_, tokens, clock::now());
  admitted_ = admitted.ok();
  return admitted;
}

void request_context::Fail(error_kind kind,
                           std::string_view detail,
                           asio::yield_context yield) {
  record_.kind = kind;
  // A caller that disconnects or sends an invalid request does not count
  // against the service objective; a full queue does.
  const int status = ErrorResponseFor(kind).http_status;
  record_.met_objective =
      kind == error_kind::kCallerGone ||
      (status >= 400 && status < 500 && kind != error_kind::kQueueFull);
  if (!exchange_.responded() && !exchange_.disconnected())
    exchange_.RespondError(kind, detail, yield);
}

}  // namespace cactusward
