#include "tests/support/platform_fakes.h"

#include <random>

#include "src/edges/json.h"
#include "src/kernel/base64.h"

namespace cactusward::testing {
namespace {

using nlohmann::json;

constexpr milliseconds kAnswerTimeout{2'000};
constexpr milliseconds kWatchPoll{10};
constexpr int kFirstPort = 20'000;
constexpr int kPorts = 20'000;
constexpr int kTries = 200;

std::string RandomAddress() {
  static std::mt19937 random{std::random_device{}()};
  return "127.0.0.1:" +
         std::to_string(kFirstPort + static_cast<int>(random() % kPorts));
}

http_server_limits Limits() {
  return {};
}

http::response<http::string_body> Answer(int status, std::string body) {
  http::response<http::string_body> answer;
  answer.result(static_cast<unsigned>(status));
  answer.set(http::field::content_type, "application/json");
  answer.body() = std::move(body);
  return answer;
}

}  // namespace

std::string ListenAnywhere(http_server* server) {
  for (int i = 0; i < kTries; ++i) {
    const std::string address = RandomAddress();
    if (server->Listen(address))
      return address;
  }
  return {};
}

std::string FreeAddress() {
  asio::io_context io;
  for (int i = 0; i < kTries; ++i) {
    const std::string address = RandomAddress();
    tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind(*ParseTcpEndpoint(address), error);
    if (!error)
      return address;
  }
  return {};
}

store_fake::store_fake(asio::io_context& io)
    : io_(io),
      server_(io, this, Limits()),
      address_(ListenAnywhere(&server_)) {}

void store_fake::Put(const std::string& key, const std::string& value) {
  items_[key] = {value, ++revision_, false};
}

void store_fake::Remove(const std::string& key) {
  items_[key] = {"", ++revision_, true};
}

void store_fake::Compact() {
  compacted_ = revision_;
}

json store_fake::Shown(const std::string& key, const item& item) const {
  if (item.removed)
    return {{"key", key}, {"revision", item.revision}, {"compacted", true}};
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"created_revision", item.revision},
          {"lease_id", 0}};
}

void store_fake::Handle(http_exchange& exchange, asio::yield_context yield) {
  ++calls_;
  const time_point deadline = clock::now() + kAnswerTimeout;
  if (down_) {
    exchange.AnswerWith(Answer(503, "{}"), deadline, yield);
    return;
  }
  if (exchange.Path() == "/kv-watch")
    return Watch(exchange, yield);
  if (exchange.Path() == "/kv-key") {
    const auto found = items_.find(exchange.Query("key"));
    if (found == items_.end()) {
      exchange.AnswerWith(Answer(404, "{}"), deadline, yield);
      return;
    }
    json shown = Shown(found->first, found->second);
    shown["at"] = revision_;
    exchange.AnswerJson(shown, yield);
    return;
  }
  json entries = json::array();
  const std::string prefix = exchange.Query("path_prefix");
  for (const auto& [key, item] : items_) {
    if (!item.removed && key.compare(0, prefix.size(), prefix) == 0)
      entries.push_back(Shown(key, item));
  }
  exchange.AnswerJson(
      {{"entries", entries}, {"has_more", false}, {"at", revision_}}, yield);
}

void store_fake::Watch(http_exchange& exchange, asio::yield_context yield) {
  const std::int64_t after = std::stoll(exchange.Query("after"));
  const time_point until =
      clock::now() + milliseconds(std::stoll(exchange.Query("wait_ms")));
  while (clock::now() < until && !exchange.hung_up()) {
    if (after < compacted_) {
      exchange.AnswerWith(Answer(410, "{}"), clock::now() + kAnswerTimeout,
                          yield);
      return;
    }
    json events = json::array();
    for (const auto& [key, item] : items_) {
      if (item.revision > after)
        events.push_back(Shown(key, item));
    }
    if (!events.empty() && !mute_) {
      exchange.AnswerJson({{"events", events}, {"at", revision_}}, yield);
      return;
    }
    Sleep(io_, kWatchPoll, yield);
  }
  exchange.Abort();
}

runner_fake::runner_fake(asio::io_context& io, std::string id)
    : io_(io),
      id_(std::move(id)),
      server_(io, this, Limits()),
      address_(ListenAnywhere(&server_)) {}

std::string runner_fake::Entry(const std::string& service, bool leaving) const {
  return WriteJson({{"service", service},
                    {"address", address_},
                    {"zone", "z"},
                    {"slots", 16},
                    {"state", leaving ? "draining" : "ready"},
                    {"born", 1}});
}

void runner_fake::Handle(http_exchange& exchange, asio::yield_context yield) {
  ++arrivals_;
  seen_.push_back(exchange.request());
  const time_point deadline = clock::now() + kAnswerTimeout;
  auto answer = Answer(200, "answer of " + id_);
  answer.set("X-Attempt-Id", std::string(exchange.Header("X-Attempt-Id")));
  answer.set("X-Response-Seal", "seal-" + id_);
  switch (fault_) {
    case runner_fault::kRefuses:
      answer = Answer(503, "{}");
      answer.set("X-Not-Executed", "1");
      exchange.AnswerWith(answer, deadline, yield);
      return;
    case runner_fault::kWrongInstance:
      exchange.AnswerWith(Answer(421, "{}"), deadline, yield);
      return;
    case runner_fault::kSilent:
      ++runs_;
      while (!exchange.hung_up() && clock::now() < deadline)
        Sleep(io_, kWatchPoll, yield);
      return exchange.Abort();
    case runner_fault::kBreaksAtStart:
      ++runs_;
      return exchange.Abort();
    case runner_fault::kUnsigned:
      answer.erase("X-Response-Seal");
      break;
    case runner_fault::kCrossed:
      answer.set("X-Attempt-Id", "another");
      break;
    case runner_fault::kFails:
      answer.result(500);
      break;
    case runner_fault::kBreaksMidway:
    case runner_fault::kNone:
      break;
  }
  ++runs_;
  if (exchange.Path().substr(0, 7) == "/stream" ||
      exchange.Path().substr(0, 6) == "/fixed")
    return Stream(exchange, yield);
  if (fault_ == runner_fault::kBreaksMidway) {
    http::response<http::empty_body> begin{
        http::response_header<>(answer.base())};
    exchange.BeginStreamWith(begin, deadline, yield);
    exchange.WriteChunk("answ", deadline, yield);
    return exchange.Abort();
  }
  exchange.AnswerWith(answer, deadline, yield);
}

void runner_fake::Stream(http_exchange& exchange, asio::yield_context yield) {
  const time_point deadline = clock::now() + kAnswerTimeout;
  http::response<http::empty_body> begin;
  begin.set(http::field::content_type, "text/event-stream");
  begin.set("X-Attempt-Id", fault_ == runner_fault::kCrossed
                                ? "another"
                                : std::string(exchange.Header("X-Attempt-Id")));
  if (fault_ != runner_fault::kUnsigned)
    begin.set("X-Response-Seal", "seal-" + id_);
  if (fault_ == runner_fault::kFails)
    begin.result(500);
  exchange.BeginStreamWith(begin, deadline, yield);
  const std::string_view last = exchange.Header("Last-Event-Id");
  const int first = last.empty() ? 1 : std::stoi(std::string(last)) + 1;
  for (int i = first; i <= kEvents; ++i) {
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + std::to_string(i) + "\n\n";
    if (fault_ == runner_fault::kBreaksMidway && i == 3) {
      exchange.WriteChunk(event.substr(0, 4), deadline, yield);
      return exchange.Abort();
    }
    exchange.WriteChunk(event, deadline, yield);
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
