#include "src/daemon/gateway.h"

#include "src/daemon/caller_bounds.h"
#include "src/edges/request_head.h"
#include "src/kernel/log.h"
#include "src/request/call_run.h"
#include "src/request/completion_run.h"

namespace cactusward {
namespace {

constexpr std::string_view kAdminPrefix = "/v1/admin/";
constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr milliseconds kResponseWriteTimeout{5'000};

// The wall clock in microseconds: higher than the incarnation of any earlier
// process of the same name, unless the clock of this host is far behind.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

bool IsApiPath(std::string_view path) {
  return path == kCompletionsPath || path == kChatPath ||
         path.substr(0, kServicesPrefix.size()) == kServicesPrefix;
}

}  // namespace

gateway::gateway(asio::io_context& io, instance_settings* settings)
    : io_(io),
      settings_(settings),
      random_(std::random_device{}()),
      timers_(io),
      client_(io),
      store_(&client_, settings->key_value),
      runtime_{io,      *settings, NewIncarnation(), timers_,
               client_, &store_,   registry_,        random_},
      peers_(io, settings->peer_secret, this),
      config_(runtime_, &peers_),
      evacuations_(runtime_, &peers_),
      membership_(runtime_),
      paths_(
          runtime_,
          &peers_,
          [this](const std::string& address) {
            return directory_.MayCarryTo(address);
          },
          [this] { return lifecycle_.draining(); }),
      recovery_(runtime_),
      directory_(runtime_),
      dispatcher_(runtime_),
      claims_(runtime_, &peers_),
      report_(runtime_),
      lifecycle_(runtime_, &server_),
      callers_(std::make_shared<caller_guard>(
          MakeCallerBounds(settings->caller_limits))),
      server_(io, this, http_server_limits(), callers_) {
  for (service* part :
       {static_cast<service*>(&config_), static_cast<service*>(&evacuations_),
        static_cast<service*>(&membership_), static_cast<service*>(&paths_),
        static_cast<service*>(&recovery_), static_cast<service*>(&directory_),
        static_cast<service*>(&dispatcher_), static_cast<service*>(&claims_),
        static_cast<service*>(&report_), static_cast<service*>(&lifecycle_)})
    registry_.Add(part);
  membership_.AddExtension(static_cast<gossip_extension*>(&evacuations_));
  client_.SetUpstreamConnector(&paths_);
  handlers_ = handler_services::FindIn(registry_);
  operator_api_ = std::make_unique<operator_api>(runtime_, handlers_);
  lifecycle_.OnDrained([this] {
    server_.StopAccepting();
    io_.stop();
  });
}

bool gateway::Start() {
  if (!server_.Listen(settings_->listen) ||
      !peers_.Listen(settings_->peer_listen) || !membership_.Listen() ||
      !paths_.Listen())
    return false;
  registry_.StartAll();
  Log(log_level::kInfo, "started",
      {{"listen", settings_->listen},
       {"peer_listen", settings_->peer_listen},
       {"availability_zone", settings_->availability_zone},
       {"incarnation", runtime_.incarnation},
       {"caller_budget_bytes", callers_->bounds().budget.total_bytes},
       {"max_caller_connections", callers_->bounds().max_connections}});
  return true;
}

void gateway::Drain() {
  lifecycle_.Drain();
}

void gateway::Reload(const instance_settings& next) {
  const bool needs_restart = ApplyReloadable(next, settings_);
  Log(log_level::kInfo, "settings_reloaded",
      {{"needs_restart", needs_restart}});
}

void gateway::OnPeerCall(const nlohmann::json& request, reply reply) {
  if (const auto answer = paths_.OnPeerCall(request))
    return reply(*answer);
  const std::string op =
      request.is_object() && request.contains("op") && request["op"].is_string()
          ? request["op"].get<std::string>()
          : std::string();
  if (op == "config_get")
    return reply({{"config", config_.tracker().Encoded()}});
  if (op == "evacuations_get")
    return reply(evacuations_.Snapshot());
  if (op != "claim")
    return reply({{"error", ErrorResponseFor(error_kind::kBadRequest).name}});
  Spawn(io_, "peer_claim",
        [this, request, reply = std::move(reply)](asio::yield_context yield) {
          reply(claims_.OnPeerCall(request, yield));
        });
}

void gateway::Handle(http_exchange& exchange, asio::yield_context yield) {
  const std::string_view path = exchange.Path();
  const time_point deadline = clock::now() + kResponseWriteTimeout;
  if (path == "/healthz") {
    exchange.Respond(200, "text/plain", "ok\n", deadline, yield);
  } else if (path == "/readyz") {
    const bool ready = lifecycle_.IsReady(clock::now());
    exchange.Respond(ready ? 200 : 503, "text/plain",
                     ready ? "ready\n" : "not ready\n", deadline, yield);
  } else if (path == "/metrics") {
    exchange.Respond(200, "text/plain; version=0.0.4",
                     report_.MetricsText() + evacuations_.MetricsText() +
                         callers_->MetricsText(),
                     deadline, yield);
  } else if (path.substr(0, kAdminPrefix.size()) == kAdminPrefix) {
    operator_api_->Handle(exchange, yield);
  } else {
    HandleApiRequest(exchange, yield);
  }
}

std::uint64_t gateway::MaxBodyBytes(const http_request_head& head) const {
  const std::string_view path = PathOf(head);
  const bool takes_body =
      path.substr(0, kAdminPrefix.size()) == kAdminPrefix
          ? operator_api_->TakesBody(head)
          : head.method() == http::verb::post && IsApiPath(path);
  return takes_body ? http_handler::MaxBodyBytes(head) : kSmallBodyBytes;
}

void gateway::HandleApiRequest(http_exchange& exchange,
                               asio::yield_context yield) {
  const std::string path(exchange.Path());
  const bool is_post = exchange.request().method() == http::verb::post;
  const bool chat = path == kChatPath;
  const bool call =
      path.compare(0, kServicesPrefix.size(), kServicesPrefix) == 0;
  if (!is_post || !IsApiPath(path)) {
    exchange.RespondError(error_kind::kNotFound, path, yield);
    return;
  }
  request_context context(runtime_, handlers_, exchange);
  const auto caller = context.Authenticate();
  if (!caller)
    return context.Fail(caller.kind(), caller.detail(), yield);
  if (!call)
    return completion_request(runtime_, context, chat).Run(yield);
  const std::string rest = path.substr(kServicesPrefix.size());
  const auto slash = std::min(rest.find('/'), rest.size());
  call_request(runtime_, context, rest.substr(0, slash),
               rest.substr(std::min(slash + 1, rest.size())))
      .Run(yield);
}

}  // namespace cactusward
