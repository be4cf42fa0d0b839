#include "src/relay/relay_gateway.h"

#include <algorithm>
#include <sstream>

#include "src/daemon/caller_bounds.h"
#include "src/edges/request_head.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

// Load balancers and metrics scrapers poll at intervals of a second or more.
constexpr milliseconds kResponseWriteTimeout{2'000};
// Retry budgets are counted over windows of several seconds.
constexpr milliseconds kRetryBudgetPeriod{1'000};
// Short against the silences of upstreams that it is deducted from.
constexpr milliseconds kStallTickPeriod{100};
// Responses of upstreams that are read completely before they are passed on,
// all together; one may take half of it. The memory of the process grows by up
// to 2.5 times as much, as buffers are copied when they grow.
constexpr std::size_t kMaxResponseBufferBytes = 24ULL * 1024 * 1024;
// Share of the callers' budget that they take at most: an eighth of the memory
// of the process.
constexpr std::size_t kResponseBufferDivisor = 3;
// Well below the time for which connections stay idle.
constexpr milliseconds kIdleConnectionPeriod{2'000};
// Initial incarnation number in the membership. A restarted process learns from
// its peers which number the previous process of its name had reached.
constexpr std::uint64_t kFirstIncarnation = 1;

}  // namespace

relay_gateway::relay_gateway(asio::io_context& io,
                             instance_settings* settings,
                             const adapter_factory& make_adapter)
    : io_(io),
      settings_(settings),
      random_(std::random_device{}()),
      timers_(io),
      client_(io),
      runtime_{io,      *settings, kFirstIncarnation, timers_,
               client_, nullptr,   registry_,         random_},
      adapter_(make_adapter(*settings->forwarding, &client_)),
      callers_(std::make_shared<caller_guard>(
          MakeCallerBounds(settings->caller_limits))),
      peers_(io, settings->peer_secret, this, callers_),
      catalog_(runtime_, adapter_.catalog.get(), &peers_),
      membership_(runtime_),
      paths_(
          runtime_,
          &peers_,
          [this](const std::string& address) {
            return fleet_.MayCarryTo(address);
          },
          [this] { return shutdown_.stopping(); },
          callers_),
      recovery_(runtime_),
      quarantine_(runtime_),
      fleet_(runtime_),
      dispatcher_(runtime_),
      report_(runtime_),
      monitor_(this),
      server_(io, this, http_server_limits(), callers_),
      readiness_server_(io, &monitor_, http_server_limits(), callers_),
      metrics_server_(io, &monitor_, http_server_limits(), callers_),
      shutdown_(runtime_, &server_),
      retries_(settings->forwarding->retries),
      response_buffers_(std::min(
          kMaxResponseBufferBytes,
          callers_->bounds().budget.total_bytes / kResponseBufferDivisor)),
      stalls_(kStallTickPeriod, clock::now()),
      request_services_{runtime_,  *adapter_.protocol, catalog_,
                        fleet_,    dispatcher_,        paths_,
                        recovery_, quarantine_,        report_,
                        retries_,  shutdown_,          response_buffers_,
                        stalls_,   longest_deadlines_} {
  for (service* part :
       {static_cast<service*>(&catalog_), static_cast<service*>(&membership_),
        static_cast<service*>(&paths_), static_cast<service*>(&recovery_),
        static_cast<service*>(&quarantine_), static_cast<service*>(&fleet_),
        static_cast<service*>(&dispatcher_), static_cast<service*>(&report_),
        static_cast<service*>(&shutdown_)})
    registry_.Add(part);
  membership_.AddExtension(static_cast<gossip_extension*>(&catalog_));
  membership_.AddExtension(static_cast<gossip_extension*>(&fleet_));
  membership_.AddExtension(static_cast<gossip_extension*>(&quarantine_));
  catalog_.Subscribe([this] { ApplyLimits(); });
  client_.direct().SetSourceAddress(settings->forwarding->source_address);
  client_.SetUpstreamConnector(&paths_);
}

bool relay_gateway::Start() {
  const forwarding_settings& forwarding = *settings_->forwarding;
  if (!server_.Listen(settings_->listen) ||
      !readiness_server_.Listen(forwarding.readiness_listen) ||
      !metrics_server_.Listen(forwarding.metrics_listen) ||
      !peers_.Listen(settings_->peer_listen) || !membership_.Listen() ||
      !paths_.Listen())
    return false;
  registry_.StartAll();
  stalls_.Tick(clock::now());
  stall_timer_ = timers_.Every(kStallTickPeriod,
                               [this](time_point now) { stalls_.Tick(now); });
  retry_budget_timer_ =
      timers_.Every(kRetryBudgetPeriod, [this](time_point now) {
        retries_.SetInstanceCount(membership_.LiveCount(), now);
      });
  idle_connection_timer_ = timers_.Every(
      kIdleConnectionPeriod,
      [this](time_point now) { client_.CloseUnusableConnections(now); });
  Log(log_level::kInfo, "started",
      {{"listen", settings_->listen},
       {"peer_listen", settings_->peer_listen},
       {"registry", forwarding.registry},
       {"availability_zone", settings_->availability_zone},
       {"seeds", settings_->seed_peers},
       {"unusable_seeds", settings_->unusable_seeds},
       {"caller_budget_bytes", callers_->bounds().budget.total_bytes},
       {"max_caller_connections", callers_->bounds().max_connections}});
  return true;
}

void relay_gateway::Stop() {
  shutdown_.Begin([this] { io_.stop(); });
}

void relay_gateway::Reload(const instance_settings& next) {
  const bool needs_restart = ApplyReloadable(next, settings_);
  Log(log_level::kInfo, "settings_reloaded",
      {{"needs_restart", needs_restart}});
}

void relay_gateway::ApplyLimits() {
  const auto config = catalog_.Config();
  if (!config)
    return;
  const caller_limits& limits = config->limits();
  http_server_limits applied;
  applied.max_header_bytes = limits.max_header_bytes;
  applied.max_body_bytes = limits.max_body_bytes;
  applied.header_timeout = limits.header_timeout;
  applied.idle_timeout = limits.idle_timeout;
  server_.SetLimits(applied);
}

void relay_gateway::Handle(http_exchange& exchange, asio::yield_context yield) {
  relay_request(request_services_, exchange).Run(yield);
}

std::uint64_t relay_gateway::MaxBodyBytes(const http_request_head& head) const {
  const auto config = catalog_.Config();
  // A refusal of the body would be final.
  if (config && !config->Match(HostOf(head), PathOf(head)) &&
      !catalog_.MayBeOutdated(clock::now()))
    return kSmallBodyBytes;
  return http_handler::MaxBodyBytes(head);
}

std::uint64_t relay_gateway::monitor::MaxBodyBytes(
    const http_request_head& /*head*/) const {
  return kSmallBodyBytes;
}

void relay_gateway::monitor::Handle(http_exchange& exchange,
                                    asio::yield_context yield) {
  const time_point deadline = clock::now() + kResponseWriteTimeout;
  if (exchange.Path() == "/metrics") {
    exchange.Respond(200, "text/plain; version=0.0.4", gateway_->MetricsText(),
                     deadline, yield);
    return;
  }
  const bool ready = gateway_->shutdown_.IsReady();
  exchange.Respond(ready ? 200 : 503, "text/plain",
                   ready ? "ready\n" : "not ready\n", deadline, yield);
}

std::string relay_gateway::MetricsText() const {
  std::ostringstream out;
  const auto config = catalog_.Config();
  const auto evacuated_since = catalog_.evacuations().oldest();
  out << report_.MetricsText() << "cactusward_config_version "
      << (config ? config->version() : 0) << '\n'
      << "cactusward_catalog_era " << catalog_.position().era << '\n'
      << "cactusward_catalog_revision " << catalog_.position().revision << '\n'
      << "cactusward_catalog_age_milliseconds "
      << ToMilliseconds(catalog_.Age(clock::now()).value_or(duration(0)))
      << '\n'
      << "cactusward_config_newest_version " << catalog_.config_lag().newest()
      << '\n'
      << "cactusward_config_behind_milliseconds "
      << ToMilliseconds(
             catalog_.config_lag().Behind(clock::now()).value_or(duration(0)))
      << '\n'
      << "cactusward_config_bytes_served " << catalog_.config_bytes_served()
      << '\n'
      << "cactusward_configs_not_served " << catalog_.configs_not_served()
      << '\n'
      << "cactusward_catalog_snapshots_served " << catalog_.snapshots_served()
      << '\n'
      << "cactusward_upstreams " << catalog_.upstreams().entries().size()
      << '\n'
      << "cactusward_stalled_milliseconds "
      << ToMilliseconds(stalls_.Total(clock::now())) << '\n'
      << "cactusward_in_progress " << server_.active() << '\n'
      << "cactusward_waiting_for_upstream " << dispatcher_.waiting() << '\n'
      << "cactusward_refused_on_arrival " << dispatcher_.refused_on_arrival()
      << '\n'
      << "cactusward_composed_requests_rejected "
      << dispatcher_.composed_requests_rejected() << '\n'
      << "cactusward_quarantines " << quarantine_.size() << '\n'
      << "cactusward_limited_upstreams " << fleet_.limited_upstreams() << '\n'
      << "cactusward_cold_upstreams " << fleet_.cold_upstreams() << '\n'
      << "cactusward_ramping_upstreams " << fleet_.ramping_upstreams() << '\n'
      << "cactusward_evacuated_zones "
      << catalog_.evacuations().entries().size() << '\n'
      << "cactusward_evacuation_age_milliseconds "
      << ToMilliseconds(evacuated_since ? clock::now() - *evacuated_since
                                        : duration(0))
      << '\n'
      << "cactusward_cut_off_from_upstreams " << paths_.paths().IsCutOff()
      << '\n'
      << "cactusward_broken_paths " << paths_.paths().size() << '\n'
      << "cactusward_tunnelled_connections " << paths_.tunnelled_connections()
      << '\n'
      << "cactusward_carried_tunnels " << paths_.carried_tunnels() << '\n'
      << "cactusward_peers_of_older_format " << membership_.older_peers()
      << '\n'
      << "cactusward_rebroadcast_messages "
      << membership_.rebroadcast_messages() << '\n'
      << "cactusward_unreadable_datagrams "
      << membership_.unreadable_datagrams() << '\n'
      << "cactusward_idle_connections " << client_.idle_connections() << '\n'
      << "cactusward_connections_opened " << client_.connections_opened()
      << '\n'
      << callers_->MetricsText();
  for (const auto& [priority, count] : dispatcher_.WaitingByPriority())
    out << "cactusward_queued{priority=\"" << priority << "\"} " << count
        << '\n';
  return out.str();
}

void relay_gateway::OnPeerCall(const nlohmann::json& request, reply reply) {
  if (const auto answer = paths_.OnPeerCall(request))
    return reply(*answer);
  const auto op = request.is_object() ? request.find("op") : request.end();
  if (op != request.end() && *op == "catalog_get")
    return catalog_.ServeSnapshot(request, std::move(reply));
  reply({{"error", ErrorResponseFor(error_kind::kBadRequest).name}});
}

}  // namespace cactusward
