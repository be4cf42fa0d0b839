#include "src/daemon/operator_api.h"

#include <charconv>
#include <set>

#include "cactusward/hash.h"
#include "src/edges/json.h"
#include "src/edges/request_head.h"
#include "src/services/claim_service.h"
#include "src/services/config_service.h"
#include "src/services/evacuation_service.h"
#include "src/services/lifecycle_service.h"
#include "src/services/membership_service.h"
#include "src/services/recovery_service.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/admin/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kZonePrefix = "zones/";
constexpr std::string_view kEvacuationSuffix = "/evacuation";
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
constexpr milliseconds kGatherTimeout{1'500};
constexpr milliseconds kApplyTimeout{8'000};

json CountJson(const burn_count& count) {
  return json::array({count.total, count.bad});
}

// The zone of a path zones/ZONE/evacuation; nullopt for another path.
std::optional<std::string> ZoneOfPath(std::string_view name) {
  if (name.size() <= kZonePrefix.size() + kEvacuationSuffix.size() ||
      name.substr(0, kZonePrefix.size()) != kZonePrefix ||
      name.substr(name.size() - kEvacuationSuffix.size()) != kEvacuationSuffix)
    return std::nullopt;
  name.remove_prefix(kZonePrefix.size());
  name.remove_suffix(kEvacuationSuffix.size());
  return std::string(name);
}

// Reads the response of one instance to "zones".
// @return nullopt if it does not know the state of all zones.
std::optional<std::vector<evacuation_report>> ReadZones(const json& report) {
  const auto zones = report.find("zones");
  if (!report.is_object() || zones == report.end() || !zones->is_array() ||
      report.value("known", json()) != true)
    return std::nullopt;
  std::vector<evacuation_report> states;
  for (const json& zone : *zones) {
    const bool is_readable = zone.is_object() &&
                             zone.value("zone", json()).is_string() &&
                             zone.value("number", json()).is_number_integer() &&
                             zone.value("evacuated", json()).is_boolean();
    if (is_readable)
      states.push_back({zone["zone"].get<std::string>(),
                        {0, zone["number"].get<std::int64_t>()},
                        zone["evacuated"].get<bool>()});
  }
  return states;
}

}  // namespace

operator_api::operator_api(runtime& runtime, const handler_services& services)
    : runtime_(runtime),
      services_(services),
      membership_(
          runtime.registry.Find<membership_service>(kMembershipServiceName)) {}

bool operator_api::IsOperator(const http_request_head& head) const {
  const auto field = head[http::field::authorization];
  const std::string_view value(field.data(), field.size());
  return value.substr(0, kBearerPrefix.size()) == kBearerPrefix &&
         EqualConstantTime(value.substr(kBearerPrefix.size()),
                           runtime_.settings.operator_key);
}

bool operator_api::TakesBody(const http_request_head& head) const {
  const std::string_view path = PathOf(head);
  const std::string_view name =
      path.substr(std::min(kPrefix.size(), path.size()));
  return (name == "config" || name == "config/check") && IsOperator(head);
}

void operator_api::Handle(http_exchange& exchange, asio::yield_context yield) {
  if (!IsOperator(exchange.request())) {
    exchange.RespondError(error_kind::kUnauthenticated, {}, yield);
    return;
  }
  const std::string name(exchange.Path().substr(kPrefix.size()));
  const auto method = exchange.request().method();
  if (name == "config" && method == http::verb::get)
    return GetConfig(exchange, yield);
  if (name == "config" && method == http::verb::put)
    return ApplyConfig(exchange, yield);
  if (name == "config/check" && method == http::verb::post)
    return CheckConfig(exchange, yield);
  if (name == "drain" && method == http::verb::post) {
    services_.lifecycle->Drain();
    exchange.RespondJson({{"draining", true}}, yield);
    return;
  }
  if (name == "members" && method == http::verb::get) {
    exchange.RespondJson(Members(), yield);
    return;
  }
  const bool is_change =
      method == http::verb::put || method == http::verb::delete_;
  if (is_change && ZoneOfPath(name))
    return ChangeEvacuation(exchange, name, yield);
  json local = LocalReport(name);
  if (local.is_null() || method != http::verb::get) {
    exchange.RespondError(error_kind::kNotFound, name, yield);
    return;
  }
  if (exchange.Query("scope") == "instance") {
    exchange.RespondJson(local, yield);
    return;
  }
  exchange.RespondJson(
      name == "zones" ? ZoneStatuses(yield) : GatherReports(name, yield),
      yield);
}

void operator_api::GetConfig(http_exchange& exchange,
                             asio::yield_context yield) {
  const auto active = services_.config->Current();
  if (!active) {
    exchange.RespondJson({{"revision", 0}, {"document", ""}}, yield);
    return;
  }
  exchange.RespondJson({{"revision", active->revision.number},
                        {"digest", active->revision.digest},
                        {"author", active->revision.author},
                        {"document", active->revision.document}},
                       yield);
}

void operator_api::CheckConfig(http_exchange& exchange,
                               asio::yield_context yield) {
  const auto parsed = ParseFleetConfig(exchange.request().body());
  if (!parsed) {
    exchange.RespondError(parsed.kind(), parsed.detail(), yield);
    return;
  }
  exchange.RespondJson({{"valid", true},
                        {"organisations", parsed->organisations.size()},
                        {"services", parsed->services.size()},
                        {"exceptions", parsed->exceptions.size()}},
                       yield);
}

void operator_api::ApplyConfig(http_exchange& exchange,
                               asio::yield_context yield) {
  const std::string base_text = exchange.Query("base");
  std::int64_t base = -1;
  std::from_chars(base_text.data(), base_text.data() + base_text.size(), base);
  if (base < 0) {
    exchange.RespondError(error_kind::kBadRequest,
                          "base: the revision edited is required", yield);
    return;
  }
  const auto accepted = services_.config->Apply(
      exchange.request().body(), base, exchange.Query("author"),
      clock::now() + kApplyTimeout, yield);
  if (!accepted) {
    exchange.RespondError(accepted.kind(), accepted.detail(), yield);
    return;
  }
  exchange.RespondJson(
      {{"revision", accepted->number}, {"digest", accepted->digest}}, yield);
}

void operator_api::ChangeEvacuation(http_exchange& exchange,
                                    const std::string& name,
                                    asio::yield_context yield) {
  const std::string zone = ZoneOfPath(name).value_or("");
  const bool evacuate = exchange.request().method() == http::verb::put;
  const auto accepted = services_.evacuations->Change(
      zone, evacuate, clock::now() + kApplyTimeout, yield);
  if (!accepted) {
    exchange.RespondError(accepted.kind(), accepted.detail(), yield);
    return;
  }
  const auto counts = services_.directory->CountByZone();
  const auto count = counts.find(zone);
  exchange.RespondJson(
      {{"zone", zone},
       {"evacuated", accepted->evacuated},
       {"number", accepted->position.revision},
       {"upstreams", count == counts.end() ? 0 : count->second}},
      yield);
}

json operator_api::ZoneStatuses(asio::yield_context yield) {
  const json responses = GatherReports("zones", yield);
  instance_evacuations reports;
  for (const auto& [instance, response] : responses.items())
    reports[instance] = ReadZones(response);
  // An instance that is taken for dead may be cut off, and still serve callers.
  for (const member& member : membership_->All()) {
    if (member.state == member_state::kDead)
      reports.emplace(member.name, std::nullopt);
  }
  const auto counts = services_.directory->CountByZone();
  std::set<std::string> zones;
  for (const auto& [zone, count] : counts)
    zones.insert(zone);
  json list = json::array();
  for (const zone_status& status : MergeZoneReports(reports, zones)) {
    const auto count = counts.find(status.zone);
    list.push_back(
        {{"zone", status.zone},
         {"evacuated", status.evacuated},
         {"number", status.number},
         {"since_unix_ms", status.number / kMicrosecondsPerMillisecond},
         {"upstreams", count == counts.end() ? 0 : count->second},
         {"complying", status.complying},
         {"behind", status.behind}});
  }
  return list;
}

json operator_api::LocalReport(std::string_view name) {
  if (name == "status")
    return Status();
  if (name == "upstreams")
    return Upstreams();
  if (name == "zones")
    return Zones();
  if (name == "queues")
    return Queues();
  if (name == "burn")
    return Burn();
  return nullptr;
}

json operator_api::Status() {
  const time_point now = clock::now();
  const auto active = services_.config->Current();
  return {{"instance", runtime_.settings.instance},
          {"availability_zone", runtime_.settings.availability_zone},
          {"incarnation", runtime_.incarnation},
          {"revision", services_.config->tracker().Number()},
          {"digest", active ? active->revision.digest : ""},
          {"confirmed_age_ms", services_.config->ConfirmedAgeMs(now)},
          {"ready", services_.lifecycle->IsReady(now)},
          {"draining", services_.lifecycle->draining()},
          {"in_flight", services_.lifecycle->in_flight()},
          {"queued", services_.dispatch->queued()},
          {"unsettled_claims", services_.claims->pending()},
          {"suspects", services_.recovery->suspects()},
          {"live_members", membership_->LiveCount()}};
}

json operator_api::Upstreams() {
  json list = json::array();
  for (const upstream_pool* pool : services_.directory->Pools()) {
    for (const upstream_pool::row& row : pool->Rows(clock::now()))
      list.push_back({{"service", pool->service().name},
                      {"address", row.address},
                      {"availability_zone", row.availability_zone},
                      {"accepting", row.accepting},
                      {"leaving", row.leaving},
                      {"evacuated", row.evacuated},
                      {"ejected", row.ejected},
                      {"reachable", row.reachable},
                      {"in_flight", row.in_flight},
                      {"backlog_tokens", row.backlog_tokens},
                      {"kv_reserved", row.kv_reserved}});
  }
  return list;
}

json operator_api::Zones() {
  json zones = json::array();
  for (const evacuation_report& state :
       services_.evacuations->evacuations().Reports())
    zones.push_back({{"zone", state.zone},
                     {"number", state.position.revision},
                     {"evacuated", state.evacuated}});
  return {{"known", services_.evacuations->IsKnown()},
          {"zones", std::move(zones)}};
}

json operator_api::Queues() {
  json list = json::array();
  for (const queue_row& row : services_.dispatch->QueueRows())
    list.push_back({{"class", row.length_class},
                    {"organisation", row.organisation},
                    {"depth", row.depth},
                    {"oldest_ms", row.oldest.count()}});
  return list;
}

json operator_api::Burn() {
  json list = json::array();
  for (const burn_row& row : services_.report->BurnRows()) {
    json windows = json::array();
    for (const burn_count& count : row.windows)
      windows.push_back(CountJson(count));
    list.push_back({{"class", row.length_class},
                    {"organisation", row.organisation},
                    {"windows", std::move(windows)}});
  }
  return list;
}

json operator_api::Members() {
  json list = json::array();
  for (const member& member : membership_->All())
    list.push_back({{"instance", member.name},
                    {"incarnation", member.incarnation},
                    {"state", NameOf(member.state)},
                    {"address", member.address},
                    {"availability_zone", member.availability_zone}});
  return list;
}

json operator_api::GatherReports(const std::string& name,
                                 asio::yield_context yield) {
  struct gather_state {
    explicit gather_state(asio::io_context& io) : done(io) {}
    json responses = json::object();
    std::size_t outstanding = 0;
    asio::steady_timer done;
  };
  const auto state = std::make_shared<gather_state>(runtime_.io);
  const time_point deadline = clock::now() + kGatherTimeout;
  for (const member& member : membership_->Live()) {
    if (member.name == runtime_.settings.instance)
      continue;
    ++state->outstanding;
    state->responses[member.name] = {{"error", "no answer"}};
    Spawn(runtime_.io, "gather",
          [this, state, member, name, deadline](asio::yield_context inner) {
            outgoing_request request;
            request.target = std::string(kPrefix) + name + "?scope=instance";
            request.headers = {
                {"Authorization",
                 std::string(kBearerPrefix) + runtime_.settings.operator_key}};
            const auto response =
                runtime_.client.Call(member.address, request, deadline, inner);
            if (response && response->status == 200) {
              if (auto parsed = ParseJson(response->body))
                state->responses[member.name] = std::move(*parsed);
            }
            if (--state->outstanding == 0)
              state->done.cancel();
          });
  }
  state->responses[runtime_.settings.instance] = LocalReport(name);
  if (state->outstanding > 0)
    WaitOn(state->done, deadline, yield);
  return state->responses;
}

}  // namespace cactusward
