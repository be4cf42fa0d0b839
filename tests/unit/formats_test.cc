// Parsers of external input: settings, completion requests, events, instance
// lists and load metrics.
#include <catch2/catch.hpp>
#include <map>

#include "src/daemon/settings.h"
#include "src/edges/etcd_store.h"
#include "src/edges/json.h"
#include "src/formats/completion_format.h"
#include "src/kernel/base64.h"
#include "src/model/engine_model.h"
#include "src/model/token_stream.h"
#include "src/services/upstream_directory.h"

namespace cactusward {
namespace {

using nlohmann::json;

json ValidSettings() {
  return {{"instance", "a"},
          {"availability_zone", "brno"},
          {"listen", "127.0.0.1:1"},
          {"peer_listen", "127.0.0.1:2"},
          {"platform",
           {{"key_value", "127.0.0.1:3"}, {"instance_list", "[::1]:4"}}},
          {"secrets",
           {{"peers", "0123456789abcdef"}, {"operators", "0123456789abcdef"}}}};
}

json ValidForwarding() {
  json settings = ValidSettings();
  settings.erase("platform");
  settings["secrets"].erase("operators");
  settings["seed_hosts"] = {"10.0.0.1:9", "nowhere"};
  settings["forwarding"] = {{"protocol", "platform"},
                            {"readiness_listen", "127.0.0.1:5"},
                            {"metrics_listen", "127.0.0.1:6"},
                            {"registry", "127.0.0.1:7"},
                            {"retry_ratio", 0.2},
                            {"retry_window_s", 5}};
  return settings;
}

TEST_CASE("settings of forwarding need neither claims nor operators") {
  const auto settings = ParseSettings(ValidForwarding().dump());
  REQUIRE(settings);
  REQUIRE(settings->forwarding);
  CHECK(settings->forwarding->registry == "127.0.0.1:7");
  CHECK(settings->forwarding->retries.window == milliseconds(5'000));
  // Peers are reached at the IP address of a seed and this instance's peer
  // port.
  CHECK(settings->seed_peers == std::vector<std::string>{"10.0.0.1:2"});
  CHECK(settings->unusable_seeds == std::vector<std::string>{"nowhere"});
  struct row {
    const char* field;
    json value;
  };
  const row rows[] = {{"registry", "nowhere"},       {"retry_ratio", 2},
                      {"retry_extra", -1},           {"protocol", ""},
                      {"source_address", "nowhere"}, {"unknown", 1}};
  for (const row& r : rows) {
    CAPTURE(r.field);
    json broken = ValidForwarding();
    broken["forwarding"][r.field] = r.value;
    CHECK_FALSE(ParseSettings(broken.dump()));
  }
}

TEST_CASE("bounds in settings may be fractions") {
  struct row {
    const char* pointer;
    const char* text;  // as the platform renders it
    double expected;
  };
  const row rows[] = {{"/forwarding/retry_extra", "38.333333333333336", 38.333},
                      {"/forwarding/retry_extra", "0", 0},
                      {"/forwarding/retry_ratio", "0.125", 0.125},
                      {"/forwarding/retry_window_s", "7.25", 7'250},
                      {"/forwarding/retry_window_s", "0.5", 500},
                      {"/forwarding/max_reservation_ms", "19999.5", 19'999},
                      {"/forwarding/registry_return_ms", "2200.25", 2'200},
                      {"/drain_limit_ms", "8e3", 8'000},
                      {"/drain_limit_ms", "8.5e3", 8'500},
                      {"/drain_grace_ms", "2200.5", 2'200}};
  for (const row& r : rows) {
    INFO(r.pointer << " " << r.text);
    json settings = ValidForwarding();
    settings[json::json_pointer(r.pointer)] = json::parse(r.text);
    const auto parsed = ParseSettings(settings.dump());
    REQUIRE(parsed);
    const forwarding_settings& forwarding = *parsed->forwarding;
    const std::map<std::string, double> values = {
        {"/forwarding/retry_extra", forwarding.retries.extra_retries},
        {"/forwarding/retry_ratio", forwarding.retries.ratio},
        {"/forwarding/retry_window_s", forwarding.retries.window.count()},
        {"/forwarding/max_reservation_ms", forwarding.max_reservation.count()},
        {"/forwarding/registry_return_ms",
         forwarding.reregistration_grace.count()},
        {"/drain_limit_ms", parsed->drain_limit.count()},
        {"/drain_grace_ms", parsed->drain_grace.count()}};
    CHECK(values.at(r.pointer) == Approx(r.expected).margin(0.001));
  }
}

TEST_CASE("settings are validated field by field") {
  REQUIRE(ParseSettings(ValidSettings().dump()));
  struct row {
    const char* pointer;
    json value;
    const char* expected;
  };
  const row rows[] = {
      {"/listen", "localhost:1", "listen: found \"localhost:1\""},
      {"/listen", "127.0.0.1:70000", "listen"},
      {"/listen", "127.0.0.1", "listen"},
      {"/platform/key_value", 5, "platform.key_value: found 5"},
      {"/platform/extra", 1, "platform.extra: found an unknown field"},
      {"/secrets/peers", "short", "secrets.peers"},
      {"/drain_grace_ms", -1, "drain_grace_ms: found -1"},
      {"/seed_peers", {"x"}, "seed_peers: found \"x\""},
      {"/log_level", "loud", "log_level"},
      {"/instance", "", "instance"},
  };
  for (const row& row : rows) {
    json settings = ValidSettings();
    settings[json::json_pointer(row.pointer)] = row.value;
    const auto parsed = ParseSettings(settings.dump());
    INFO(row.pointer);
    REQUIRE_FALSE(parsed);
    CHECK_THAT(parsed.detail(), Catch::Contains(row.expected));
  }
}

TEST_CASE("malformed completions are refused with the field") {
  struct row {
    std::string body;
    bool chat;
    const char* expected;
  };
  const row rows[] = {
      {"", false, "JSON"},
      {"[]", false, "JSON"},
      {R"({"model": "m", "prompt": ")"
       "\xff"
       R"("})",
       false, "JSON"},
      {std::string(100'000, '['), false, "JSON"},
      {R"({"prompt": "p"})", false, "model"},
      {R"({"model": "m"})", false, "prompt"},
      {R"({"model": "m", "prompt": 5})", false, "prompt"},
      {R"({"model": "m", "prompt": "p", "max_tokens": 0})", false,
       "max_tokens"},
      {R"({"model": "m", "prompt": "p", "max_tokens": 1e9})", false,
       "max_tokens"},
      {R"({"model": "m", "prompt": "p", "n": 2})", false, "n:"},
      {R"({"model": "m", "prompt": "p", "stream": "yes"})", false, "stream"},
      {R"({"model": "m", "messages": []})", true, "messages"},
      {R"({"model": "m", "messages": [5]})", true, "messages"},
  };
  for (const row& row : rows) {
    const auto parsed = ParseCompletion(row.body, row.chat);
    INFO(row.body.substr(0, 80));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.kind() == error_kind::kBadRequest);
    CHECK_THAT(parsed.detail(), Catch::Contains(row.expected));
  }
}

TEST_CASE("a continued request carries the text so far") {
  const auto plain = ParseCompletion(
      R"({"model": "m", "prompt": "p", "max_tokens": 9, "priority": 0})",
      false);
  const json body = json::parse(EngineBody(*plain, 2, true, " ab", 1));
  CHECK(body["prompt"] == "p ab");
  CHECK(body["max_tokens"] == 8);
  CHECK(body["priority"] == 2);
  CHECK_FALSE(
      json::parse(EngineBody(*plain, 2, false, "", 0)).contains("priority"));
  const auto chat = ParseCompletion(
      R"({"model": "m", "messages": [{"role": "user", "content": "p"}]})",
      true);
  const json messages =
      json::parse(EngineBody(*chat, 0, true, " ab", 1))["messages"];
  CHECK(messages.back()["content"] == " ab");
}

TEST_CASE("a continued text equals an unbroken one") {
  const std::string whole = model::ExpectedText("prompt", 20);
  const int split = GENERATE(1, 7, 19);
  const std::string head = model::ExpectedText("prompt", split);
  CHECK(head + model::ExpectedText("prompt" + head, 20 - split) == whole);
}

TEST_CASE("events are split whatever the pieces") {
  const std::string stream =
      "data: one\n\n: comment\n\ndata: two\r\n\r\ndata: [DONE]\n\nrest";
  const std::size_t piece = GENERATE(1u, 2u, 3u, 7u, 100u);
  event_splitter splitter;
  std::vector<std::string> events;
  for (std::size_t at = 0; at < stream.size(); at += piece)
    REQUIRE(splitter.Feed(std::string_view(stream).substr(at, piece), &events));
  CHECK(events == std::vector<std::string>{"one", "two", "[DONE]"});
  CHECK(splitter.HasPartialEvent());
  CHECK_FALSE(splitter.Feed(std::string(2'000'000, 'x'), &events));
}

TEST_CASE("events of an engine") {
  struct row {
    const char* data;
    event_kind expected;
  };
  const row row = GENERATE(values<struct row>({
      {"[DONE]", event_kind::kDone},
      {R"({"id": "i", "choices": [{"text": "t"}]})", event_kind::kToken},
      {R"({"id": "i", "choices": [], "usage": {"completion_tokens": 3}})",
       event_kind::kUsage},
      {R"({"error": {}})", event_kind::kError},
      {R"({"id": "i", "choices": []})", event_kind::kMalformed},
      {R"({"id": "i", "choices": [7]})", event_kind::kMalformed},
      {R"({"id": "i"})", event_kind::kMalformed},
      {"nonsense", event_kind::kMalformed},
  }));
  CHECK(ParseEvent(row.data, false).kind == row.expected);
}

TEST_CASE("load metrics and instance lists") {
  const auto report = ParseLoadMetrics(
      R"(JSON {"named_metrics": {"waiting_tokens": 5, "leaving": 1}})");
  REQUIRE(report);
  CHECK(report->waiting_tokens == 5);
  CHECK(report->leaving);
  const std::string bad_metrics =
      GENERATE("", "JSON", "JSON {", "JSON []", "TEXT a=1",
               R"(JSON {"named_metrics": 5})");
  CHECK_FALSE(ParseLoadMetrics(bad_metrics));
  std::vector<std::string> peers;
  const auto list = ParseInstanceList(
      R"([{"targets": ["127.0.0.1:5"], "labels": {"service": "s"}},
          {"targets": ["127.0.0.1:6"], "labels": {"service": "cactusward"}}])",
      &peers);
  REQUIRE(list);
  CHECK(list->size() == 1);
  CHECK(peers == std::vector<std::string>{"127.0.0.1:6"});
  const std::string bad_list =
      GENERATE("", "{}", "[5]", R"([{"targets": ["host"], "labels": {}}])",
               R"([{"targets": 5, "labels": {}}])");
  CHECK_FALSE(ParseInstanceList(bad_list, &peers));
}

TEST_CASE("base64 there and back") {
  const std::string bytes =
      GENERATE(std::string(), std::string("a"), std::string("ab\0", 3),
               std::string(100, '\xff'));
  CHECK(DecodeBase64(EncodeBase64(bytes)) == bytes);
  CHECK_FALSE(DecodeBase64("a"));
  CHECK_FALSE(DecodeBase64("a!=="));
}

TEST_CASE("the engine model against a hand calculation") {
  model::engine_parameters parameters;
  parameters.prefill_tokens_per_second = 10'000;
  parameters.step_base_ms = 10;
  parameters.step_per_sequence_ms = 1;
  parameters.chunk_tokens = 500;
  parameters.kv_capacity_tokens = 3'000;
  model::engine_model engine(parameters);
  engine.Add({1, 1'200, 2, 2, {}});
  // Step of 500 prompt tokens: 10 + 50 ms.
  CHECK(engine.Step().duration_ms == Approx(60));
  engine.Add({2, 100, 2, 0, {}});
  CHECK(engine.Load().waiting_tokens == 800);
  CHECK(engine.Load().waiting_low_priority_tokens == 700);
  // The request of higher priority is processed first and gets its token.
  auto step = engine.Step();
  CHECK(step.ids_with_token == std::vector<std::uint64_t>{2});
  CHECK(step.duration_ms == Approx(60));
  // 300 prompt tokens are left of the first; the second decodes its last token:
  // 10 + 1 + 30 ms.
  step = engine.Step();
  CHECK(step.duration_ms == Approx(41));
  CHECK(step.finished == std::vector<std::uint64_t>{2});
  CHECK(engine.Load().kv_used_tokens == 1'202);
  // A request that does not fit in KV memory waits and blocks those behind it.
  engine.Add({3, 2'000, 1, 0, {}});
  engine.Add({4, 10, 1, 0, {}});
  step = engine.Step();
  CHECK(step.finished == std::vector<std::uint64_t>{1});
  CHECK(engine.Load().running == 0);
  engine.Step();
  CHECK(engine.Load().running == 2);
  CHECK(engine.Cancel(3));
  CHECK_FALSE(engine.Cancel(3));
  engine.Step();
  CHECK(engine.idle());
  CHECK(engine.Load().kv_used_tokens == 0);
}

TEST_CASE("the engine model's prefix cache") {
  model::engine_parameters parameters;
  parameters.cache_blocks = 2;
  model::engine_model engine(parameters);
  const auto processed = [&engine](const model::engine_request& request) {
    const auto before = engine.processed_tokens();
    engine.Add(request);
    while (!engine.idle())
      engine.Step();
    return engine.processed_tokens() - before;
  };
  CHECK(processed({1, 600, 1, 0, {11, 12}}) == 600);
  CHECK(processed({2, 600, 1, 0, {11, 12}}) == 600 - 512);
  CHECK(processed({3, 600, 1, 0, {11, 13}}) == 600 - 256);
  CHECK(processed({4, 600, 1, 0, {14, 15}}) == 600);
  CHECK(processed({5, 600, 1, 0, {11, 12}}) == 600);
}

}  // namespace
}  // namespace cactusward
