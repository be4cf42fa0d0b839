#include "tests/support/platform_fakes.h"

#include <algorithm>
#include <thread>

#include "src/edges/json.h"
#include "src/kernel/base64.h"

namespace cactusward::testing {
namespace {

using nlohmann::json;

constexpr milliseconds kResponseTimeout{2'000};
constexpr milliseconds kPollInterval{10};
constexpr milliseconds kRepeatDelay{60};
// Below the ports of the scenarios and of outgoing connections.
constexpr int kFirstPort = 5'000;
constexpr int kPortBlocks = 10;
constexpr int kPortsPerBlock = 500;
constexpr milliseconds kBlockPollPeriod{100};
constexpr std::string_view kPromptPrefix = "X-Prompt-Prefix";
constexpr std::int64_t kRunnerCapacityTokens = 315'000;

http_server_limits Limits() {
  return {};
}

http::response<http::string_body> MakeResponse(int status, std::string body) {
  http::response<http::string_body> response;
  response.result(static_cast<unsigned>(status));
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  return response;
}

// Returns as many bytes as the value of a query says.
std::string Padding(const std::string& bytes) {
  return std::string(bytes.empty() ? 0 : std::stoul(bytes), 'x');
}

// @return whether `path` is of a route of streams.
bool IsStream(std::string_view path) {
  constexpr std::string_view kStreams[] = {"/stream", "/fixed", "/long",
                                           "/split", "/timed"};
  return std::any_of(std::begin(kStreams), std::end(kStreams),
                     [path](std::string_view prefix) {
                       return path.substr(0, prefix.size()) == prefix;
                     });
}

bool TryBind(tcp::acceptor& acceptor,
             const std::string& address,
             bool reuse_address) {
  boost::system::error_code error;
  acceptor.open(tcp::v4(), error);
  acceptor.set_option(tcp::acceptor::reuse_address(reuse_address), error);
  acceptor.bind(*ParseTcpEndpoint(address), error);
  if (error)
    acceptor.close();
  return !error;
}

// @return whether gossip could use `address`.
bool CanBindUdp(const std::string& address) {
  const auto endpoint = ParseTcpEndpoint(address);
  asio::io_context io;
  udp::socket socket(io, udp::v4());
  boost::system::error_code error;
  socket.bind({endpoint->address(), endpoint->port()}, error);
  return !error;
}

// Reserves a block of ports for this process: the first one is bound, at
// another loopback address, for as long as the process runs. Waits for a block
// while other processes have all of them.
int ReservePortBlock() {
  static asio::io_context io;
  static tcp::acceptor reservation(io);
  while (true) {
    for (int block = 0; block < kPortBlocks; ++block) {
      const int first = kFirstPort + block * kPortsPerBlock;
      if (TryBind(reservation, "127.0.0.2:" + std::to_string(first), false))
        return first;
    }
    std::this_thread::sleep_for(kBlockPollPeriod);
  }
}

}  // namespace

std::string FreeAddress() {
  static const int first = ReservePortBlock();
  static int next = 0;
  asio::io_context io;
  for (int i = 0; i < kPortsPerBlock; ++i) {
    const std::string address =
        "127.0.0.1:" + std::to_string(first + next++ % kPortsPerBlock);
    tcp::acceptor acceptor(io);
    // Servers may listen where connections of an earlier one have ended.
    if (TryBind(acceptor, address, true) && CanBindUdp(address))
      return address;
  }
  return {};
}

std::optional<runner_fault> ParseRunnerFault(std::string_view name) {
  static const std::map<std::string_view, runner_fault> faults = {
      {"none", runner_fault::kNone},
      {"refuses", runner_fault::kRefuses},
      {"wrong_instance", runner_fault::kWrongInstance},
      {"breaks_at_start", runner_fault::kBreaksAtStart},
      {"breaks_midway", runner_fault::kBreaksMidway},
      {"unsigned", runner_fault::kUnsigned},
      {"crossed", runner_fault::kCrossed},
      {"fails", runner_fault::kFails},
      {"silent", runner_fault::kSilent},
      {"pauses", runner_fault::kPauses},
      {"repeats_refusal", runner_fault::kRepeatsRefusal},
      {"fails_continuation", runner_fault::kFailsContinuation},
      {"ends_in_event", runner_fault::kEndsInEvent},
      {"fails_as_refusal", runner_fault::kFailsAsRefusal}};
  const auto found = faults.find(name);
  if (found == faults.end())
    return std::nullopt;
  return found->second;
}

store_fake::store_fake(asio::io_context& io, std::string address)
    : io_(io), address_(std::move(address)), server_(io, this, Limits()) {
  if (!address_.empty() && !server_.Listen(address_))
    address_.clear();
}

void store_fake::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_, false};
}

void store_fake::Remove(const std::string& key) {
  items_[key] = {"", ++revision_, true};
}

void store_fake::Compact() {
  compacted_ = revision_;
}

void store_fake::Restore() {
  items_ = backup_.items;
  revision_ = backup_.revision;
  compacted_ = std::min(compacted_, revision_);
  ++era_;
}

json store_fake::EncodeItem(const std::string& key, const item& item) const {
  if (item.removed)
    return {{"key", key}, {"revision", item.revision}, {"compacted", true}};
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created_revision", item.revision},
          {"lease_id", 0}};
}

void store_fake::AddExtraItem(json* list) const {
  if (!extra_item_.empty() && !list->empty())
    list->push_back(json::parse(extra_item_));
}

void store_fake::Handle(http_exchange& exchange, asio::yield_context yield) {
  ++calls_;
  exchange.SetHeader("Store-Era", std::to_string(era_));
  const time_point deadline = clock::now() + kResponseTimeout;
  if (unresponsive_) {
    while (unresponsive_ && !exchange.disconnected())
      Sleep(io_, kPollInterval, yield);
    if (exchange.disconnected() && exchange.Path() != "/kv-watch")
      ++abandoned_reads_;
    return exchange.Abort();
  }
  if (down_) {
    exchange.RespondWith(MakeResponse(503, "{}"), deadline, yield);
    return;
  }
  if (!fixed_response_body_.empty()) {
    exchange.RespondWith(MakeResponse(200, fixed_response_body_), deadline,
                         yield);
    return;
  }
  if (exchange.Path() == "/kv-watch")
    return Watch(exchange, yield);
  if (exchange.Path() == "/kv-key") {
    while (value_reads_unresponsive_ && !exchange.disconnected())
      Sleep(io_, kPollInterval, yield);
    const auto found = items_.find(exchange.Query("key"));
    if (found == items_.end()) {
      exchange.RespondWith(MakeResponse(404, "{}"), deadline, yield);
      return;
    }
    json encoded = EncodeItem(found->first, found->second);
    encoded["at"] = revision_;
    exchange.RespondJson(encoded, yield);
    return;
  }
  json entries = json::array();
  const std::string prefix = exchange.Query("path_prefix");
  // Reads of the configuration.
  while (prefix == "op/" && value_reads_unresponsive_ &&
         !exchange.disconnected())
    Sleep(io_, kPollInterval, yield);
  const std::string after = exchange.Query("after");
  bool has_more = false;
  for (const auto& [key, item] : items_) {
    if (item.removed || key.compare(0, prefix.size(), prefix) != 0 ||
        (!after.empty() && key <= after))
      continue;
    has_more = page_size_ > 0 && entries.size() == page_size_;
    if (has_more)
      break;
    entries.push_back(EncodeItem(key, item));
  }
  AddExtraItem(&entries);
  exchange.RespondJson(
      {{"entries", entries}, {"has_more", has_more}, {"at", revision_}}, yield);
}

void store_fake::Watch(http_exchange& exchange, asio::yield_context yield) {
  const std::int64_t after = std::stoll(exchange.Query("after"));
  const time_point until =
      clock::now() + milliseconds(std::stoll(exchange.Query("wait_ms")));
  const std::int64_t era = era_;
  while (clock::now() < until && !exchange.disconnected() && era == era_) {
    if (after < compacted_ || after > revision_) {
      exchange.RespondWith(MakeResponse(410, "{}"),
                           clock::now() + kResponseTimeout, yield);
      return;
    }
    json events = json::array();
    for (const auto& [key, item] : items_) {
      if (item.revision > after)
        events.push_back(EncodeItem(key, item));
    }
    if (!events.empty() && !watch_events_suppressed_) {
      if (watch_delay_ > milliseconds(0))
        Sleep(io_, watch_delay_, yield);
      AddExtraItem(&events);
      exchange.RespondJson({{"events", events}, {"at", revision_}}, yield);
      return;
    }
    Sleep(io_, kPollInterval, yield);
  }
  exchange.Abort();
}

runner_fake::runner_fake(asio::io_context& io,
                         std::string id,
                         std::string address)
    : io_(io),
      id_(std::move(id)),
      address_(std::move(address)),
      server_(io, this, Limits()) {
  if (!address_.empty() && !server_.Listen(address_))
    address_.clear();
}

runner_fault runner_fake::NextFault() {
  if (faulty_requests_ <= 0)
    return runner_fault::kNone;
  --faulty_requests_;
  return fault_;
}

bool runner_fake::Run(const http_exchange& exchange,
                      asio::yield_context yield) {
  const int crashes_before = crashes_;
  ++runs_;
  if (on_run_)
    on_run_(exchange.request());
  if (run_time_ > milliseconds(0))
    Sleep(io_, run_time_, yield);
  if (crashes_ == crashes_before && HasCrashingPart(exchange))
    Crash();
  return crashes_ == crashes_before;
}

bool runner_fake::HasCrashingPart(const http_exchange& exchange) const {
  const std::string prefix = "," + std::string(exchange.Header(kPromptPrefix));
  return std::any_of(crashing_parts_.begin(), crashing_parts_.end(),
                     [&prefix](const std::string& part) {
                       return prefix.find("," + part + ":") !=
                              std::string::npos;
                     });
}

void runner_fake::Crash() {
  ++crashes_;
  if (on_crash_)
    on_crash_();
  server_.StopAccepting();
  Spawn(io_, "restart", [this](asio::yield_context yield) {
    Sleep(io_, downtime_, yield);
    server_.Listen(address_);
  });
}

std::int64_t runner_fake::ReservedTokens() const {
  std::int64_t reserved = 0;
  for (const auto& [id, reservation] : reservations_)
    reserved += reservation.until > clock::now() ? reservation.tokens : 0;
  return reserved;
}

void runner_fake::HandleReservation(http_exchange& exchange,
                                    asio::yield_context yield) {
  const auto request = ParseJson(exchange.request().body());
  const time_point deadline = clock::now() + kResponseTimeout;
  if (!request || !request->is_object()) {
    exchange.RespondWith(MakeResponse(400, "{}"), deadline, yield);
    return;
  }
  const std::string id = request->value("id", "");
  if (request->value("operation", "") == "release") {
    reservations_.erase(id);
  } else {
    ++reserve_requests_;
    reservations_.erase(id);
    const std::int64_t tokens = request->value("token_count", 0);
    if (ReservedTokens() + tokens > kRunnerCapacityTokens) {
      exchange.RespondWith(MakeResponse(503, "{}"), deadline, yield);
      return;
    }
    reservations_[id] = {
        tokens, clock::now() + milliseconds(request->value("hold_ms", 0))};
  }
  if (control_delay_ > milliseconds(0))
    Sleep(io_, control_delay_, yield);
  auto response = MakeResponse(200, "{}");
  SetLeavingField(&response);
  exchange.RespondWith(response, deadline, yield);
}

void runner_fake::SetLeavingField(http::fields* fields) const {
  if (leaving_)
    fields->set("Server-Leaving", "1");
}

std::string runner_fake::Entry(const std::string& service,
                               bool leaving,
                               int started_at_ms) const {
  return WriteJson({{"service", service},
                    {"address", address_},
                    {"zone", "z"},
                    {"slots", 16},
                    {"state", leaving ? "draining" : "ready"},
                    {"born", started_at_ms}});
}

void runner_fake::Handle(http_exchange& exchange, asio::yield_context yield) {
  if (exchange.Path() == "/order")
    return HandleReservation(exchange, yield);
  ++arrivals_;
  received_requests_.push_back(exchange.request());
  const runner_fault fault = NextFault();
  const time_point deadline = clock::now() + kResponseTimeout;
  auto response = MakeResponse(
      200, "answer of " + id_ + Padding(exchange.Query("padding")));
  response.set("X-Attempt-Id", std::string(exchange.Header("X-Attempt-Id")));
  response.set("X-Response-Seal", "seal-" + id_);
  if (!cold_remaining_.empty())
    response.set("X-Cold-Start-Ms", cold_remaining_);
  if (!request_limit_.empty())
    response.set("Server-Limit", request_limit_);
  SetLeavingField(&response);
  if (!retry_after_.empty()) {
    response = MakeResponse(503, "{}");
    SetLeavingField(&response);
    response.set("X-Attempt-Id",
                 fault == runner_fault::kCrossed
                     ? "another"
                     : std::string(exchange.Header("X-Attempt-Id")));
    response.set("X-Not-Executed", "1");
    response.set("Retry-After", retry_after_);
    exchange.RespondWith(response, deadline, yield);
    return;
  }
  const std::string_view listed = exchange.Header("X-Peer-Helpers");
  if (!listed.empty() &&
      std::count(listed.begin(), listed.end(), ',') >= max_helper_entries_) {
    response = MakeResponse(400, "{}");
    response.set("X-Attempt-Id", std::string(exchange.Header("X-Attempt-Id")));
    response.set("X-Not-Executed", "1");
    exchange.RespondWith(response, deadline, yield);
    return;
  }
  if (!refused_helper_.empty() &&
      exchange.Header("X-Peer-Helpers").find(refused_helper_) !=
          std::string_view::npos) {
    response = MakeResponse(503, "{}");
    response.set("X-Not-Executed", "1");
    response.set("At-Server", refused_helper_);
    if (!helper_retry_after_.empty())
      response.set("Retry-After", helper_retry_after_);
    exchange.RespondWith(response, deadline, yield);
    return;
  }
  switch (fault) {
    case runner_fault::kRefuses:
      response = MakeResponse(503, "{}");
      SetLeavingField(&response);
      response.set("X-Not-Executed", "1");
      exchange.RespondWith(response, deadline, yield);
      return;
    case runner_fault::kWrongInstance:
      response = MakeResponse(421, "{}");
      SetLeavingField(&response);
      exchange.RespondWith(response, deadline, yield);
      return;
    case runner_fault::kSilent:
      Run(exchange, yield);
      while (!exchange.disconnected() && clock::now() < deadline)
        Sleep(io_, kPollInterval, yield);
      return exchange.Abort();
    case runner_fault::kBreaksAtStart:
      Run(exchange, yield);
      return exchange.Abort();
    case runner_fault::kUnsigned:
      response.erase("X-Response-Seal");
      break;
    case runner_fault::kCrossed:
      response.set("X-Attempt-Id", "another");
      break;
    case runner_fault::kFails:
      response.result(500);
      break;
    case runner_fault::kFailsAsRefusal:
      response.result(503);
      break;
    case runner_fault::kRepeatsRefusal:
      response = MakeResponse(503, "{}");
      response.set("X-Attempt-Id",
                   std::string(exchange.Header("X-Attempt-Id")));
      response.set("X-Not-Executed", "1");
      exchange.RespondWith(response, deadline, yield);
      // Arrives when the connection may already carry the next request.
      Sleep(io_, kRepeatDelay, yield);
      exchange.RespondWith(response, deadline, yield);
      return;
    case runner_fault::kFailsContinuation:
      if (!exchange.Header("Last-Event-Id").empty())
        response.result(500);
      break;
    case runner_fault::kBreaksMidway:
    case runner_fault::kEndsInEvent:
    case runner_fault::kPauses:
    case runner_fault::kNone:
      break;
  }
  if (!Run(exchange, yield))
    return exchange.Abort();
  if (fault == runner_fault::kFailsContinuation &&
      response.result_int() == 500) {
    exchange.RespondWith(response, deadline, yield);
    return;
  }
  if (IsStream(exchange.Path()))
    return Stream(exchange, fault, yield);
  if (fault == runner_fault::kBreaksMidway) {
    http::response<http::empty_body> begin{
        http::response_header<>(response.base())};
    exchange.BeginStreamWith(begin, deadline, yield);
    exchange.WriteChunk("answ", deadline, yield);
    return exchange.Abort();
  }
  if (fault == runner_fault::kPauses)
    Sleep(io_, kPauseTime, yield);
  exchange.RespondWith(response, clock::now() + kResponseTimeout, yield);
}

void runner_fake::Stream(http_exchange& exchange,
                         runner_fault fault,
                         asio::yield_context yield) {
  const std::string requested_events = exchange.Query("events");
  const int events =
      requested_events.empty() ? kEvents : std::stoi(requested_events);
  const std::string padding = Padding(exchange.Query("padding"));
  const milliseconds event_pause = event_pause_;
  const time_point deadline =
      clock::now() + kResponseTimeout + kPauseTime + events * event_pause;
  http::response<http::empty_body> begin;
  begin.set(http::field::content_type, "text/event-stream");
  begin.set("X-Attempt-Id", fault == runner_fault::kCrossed
                                ? "another"
                                : std::string(exchange.Header("X-Attempt-Id")));
  if (fault != runner_fault::kUnsigned)
    begin.set("X-Response-Seal", "seal-" + id_);
  if (!request_limit_.empty())
    begin.set("Server-Limit", request_limit_);
  SetLeavingField(&begin);
  if (fault == runner_fault::kFails)
    begin.result(500);
  if (fault == runner_fault::kFailsAsRefusal)
    begin.result(503);
  exchange.BeginStreamWith(begin, deadline, yield);
  const int crashes_before = crashes_;
  const std::string_view last = exchange.Header("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
  for (int i = first; i <= events; ++i) {
    const std::string event = "id: " + std::to_string(i) +
                              "\ndata: " + std::to_string(i) + padding + "\n\n";
    if (crashes_ != crashes_before)
      return exchange.Abort();
    if (fault == runner_fault::kBreaksMidway && i == 3) {
      exchange.WriteChunk(event.substr(0, 4), deadline, yield);
      return exchange.Abort();
    }
    if (fault == runner_fault::kEndsInEvent && i == 3) {
      exchange.WriteChunk(event.substr(0, 4), deadline, yield);
      break;
    }
    if (fault == runner_fault::kPauses && i == 3)
      Sleep(io_, kPauseTime, yield);
    exchange.WriteChunk(event, deadline, yield);
    if (event_pause > milliseconds(0))
      Sleep(io_, event_pause, yield);
  }
  exchange.EndStream(deadline, yield);
}

std::string ConfigDocument(int version, const std::string& extra_route) {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service, bool resumable) {
    return json{{"name", name},
                {"host", "h"},
                {"path_prefix", "/" + name + "/"},
                {"kind", kind},
                {"timeout_ms", 3'000},
                {"target_latency_ms", 300},
                {"priority", 1},
                {"service", service},
                {"max_attempts", 2},
                {"resumable", resumable},
                {"target_itl_ms", 250}};
  };
  json routes = json::array({route("stream", "streaming", "engines", true),
                             route("fixed", "streaming", "engines", false),
                             route("once", "non_idempotent", "plain", false),
                             route("often", "idempotent", "plain", false)});
  if (!extra_route.empty())
    routes.push_back(route(extra_route, "idempotent", "plain", false));
  return WriteJson({{"version", version},
                    {"routes", routes},
                    {"services",
                     {{{"name", "engines"},
                       {"backend",
                        {{"slots", 16},
                         {"kv_capacity", 315'000},
                         {"stride", 51},
                         {"step_ms", 0.85},
                         {"read_per_s", 177'000.0},
                         {"pairs_per_m", 0.184}}}},
                      {{"name", "plain"}}}},
                    {"limits",
                     {{"max_header_bytes", 16'384},
                      {"max_body_bytes", 100'000},
                      {"header_timeout_ms", 3'000},
                      {"idle_timeout_ms", 15'000}}},
                    {"tenants", {{{"name", "org"}, {"api_keys", {"key"}}}}}});
}

}  // namespace cactusward::testing
