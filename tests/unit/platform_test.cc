// Tests of parsing and building the platform's messages.
#include <catch2/catch.hpp>

#include "cactusward/hash.h"
#include "platform/platform_catalog.h"
#include "platform/platform_protocol.h"
#include "src/kernel/base64.h"
#include "src/kernel/cbor.h"

namespace cactusward::platform {
namespace {

http_request Request() {
  http_request request(http::verb::post, "/a/b?c=d", 11);
  request.set(http::field::host, "h.example");
  request.set("X-Attempt-Id", "9c41");
  request.set("X-Model-Name", "m");
  request.set("X-Token-Counts", "1460,80");
  request.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
  request.set("X-Deadline-Ms", "10000");
  request.set("Authorization", "Token secret");
  request.set("X-Other", "kept");
  request.body() = "body";
  request.prepare_payload();
  return request;
}

TEST_CASE("a caller's request is parsed") {
  const caller_request parsed = platform_protocol().ParseRequest(Request());
  CHECK(parsed.attempt_id == "9c41");
  CHECK(parsed.key == "secret");
  CHECK(parsed.deadline == milliseconds(10'000));
  CHECK(parsed.prompt_tokens == 1'460);
  CHECK(parsed.max_output_tokens == 80);
  CHECK_FALSE(parsed.last_event_id);
}

TEST_CASE("the parts of a prompt before its last one are shared parts") {
  struct row {
    std::string prefix;
    std::vector<std::string> ids;
  };
  // As many as a header of the usual limit holds.
  std::string many;
  std::vector<std::string> many_ids;
  for (int i = 0; many.size() < 16'000; ++i) {
    many_ids.push_back("p" + std::to_string(i));
    many += many_ids.back() + ":1,";
  }
  const row rows[] = {
      {many + "own:40", many_ids},
      {"", {}},
      {"5c1e:800", {}},
      {"5c1e:800,91bd:410", {"5c1e"}},
      {"5c1e:800,91bd:410,e440:250", {"5c1e", "91bd"}},
      {"5c1e,91bd", {"5c1e"}},
  };
  for (const row& r : rows) {
    CAPTURE(r.prefix);
    http_request request = Request();
    request.set("X-Prompt-Prefix", r.prefix);
    std::vector<std::uint64_t> expected;
    for (const std::string& id : r.ids)
      expected.push_back(Hash64(id));
    CHECK(platform_protocol().ParseRequest(request).shared_parts == expected);
  }
}

TEST_CASE("the request limit of a response is a decimal number") {
  struct row {
    const char* text;
    std::optional<double> limit;
  };
  const row rows[] = {
      {"1.4", 1.4},
      {"20", 20},
      {"0", 0},
      {"", {}},
      {"-1", {}},
      {"1.4/s", {}},
      {"many", {}},
      {"1e3", {}},
      {"nan", {}},
      {"inf", {}},
      {"99999999999", 99999999999.0},
  };
  for (const row& r : rows) {
    CAPTURE(r.text);
    http::response_header<> header;
    header.set("Server-Limit", r.text);
    CHECK(platform_protocol().ParseReply(200, header).request_limit == r.limit);
  }
  CHECK_FALSE(platform_protocol().ParseReply(200, {}).request_limit);
}

TEST_CASE("a response states the load and the remaining cold time") {
  struct row {
    const char* load_text;
    std::optional<stated_load> load;
    const char* cold_text;
    std::optional<milliseconds> cold_remaining;
  };
  const row rows[] = {
      {"3,0,12", stated_load{3, 0, 12}, "2900", milliseconds(2'900)},
      {"12,40,12", stated_load{12, 40, 12}, "0", milliseconds(0)},
      {"", {}, "", {}},
      {"3,0", {}, "-1", {}},
      {"3,0,12,1", {}, "1.5", {}},
      {"3,-1,12", {}, "soon", {}},
      {"3,0,4294967297", {}, "99999999999", {}},
      {"a,b,c", {}, "5 ms", {}},
  };
  for (const row& r : rows) {
    CAPTURE(r.load_text, r.cold_text);
    http::response_header<> header;
    header.set("X-Instance-Load", r.load_text);
    header.set("X-Cold-Start-Ms", r.cold_text);
    const upstream_reply reply = platform_protocol().ParseReply(200, header);
    CHECK(reply.load == r.load);
    CHECK(reply.cold_remaining == r.cold_remaining);
  }
}

TEST_CASE("an entry and a service say how an upstream starts cold") {
  struct row {
    const char* entry_field;
    milliseconds remaining;
    const char* service_fields;
    double per_second;
    milliseconds start;
  };
  const milliseconds none(0);
  const row rows[] = {
      {R"("cold_remaining_ms":2500)", milliseconds(2'500),
       R"("cold_start_s":3,"cold_per_s":17)", 17, milliseconds(3'000)},
      {R"("cold_remaining_ms":0)", none, R"("cold_start_s":0.5)", 0,
       milliseconds(500)},
      {R"("cold_remaining_ms":null)", none, R"("cold_per_s":null)", 0, none},
      {R"("cold_remaining_ms":-5)", none,
       R"("cold_start_s":-1,"cold_per_s":-17)", 0, none},
      {R"("cold_remaining_ms":2.5)", none, R"("cold_per_s":"17")", 0, none},
      {R"("cold_remaining_ms":"9")", none, R"("cold_start_s":[])", 0, none},
      {R"("cold_remaining_ms":9e99)", none, R"("cold_start_s":1e300)", 0, none},
  };
  const platform_catalog catalog(nullptr, "127.0.0.1:1");
  for (const row& r : rows) {
    CAPTURE(r.entry_field, r.service_fields);
    const auto entry = catalog.DecodeUpstream(
        "i-1",
        std::string(
            R"({"service":"s","address":"127.0.0.1:1","state":"ready",)") +
            r.entry_field + "}");
    REQUIRE(entry);
    CHECK(entry->cold_remaining == r.remaining);
    const auto config = catalog.DecodeConfig(
        std::string(R"({"version":1,"services":[{"name":"s",)") +
            r.service_fields + "}]}",
        [] {});
    REQUIRE(config);
    CHECK((*config)->FindService("s")->cold_per_second == r.per_second);
    CHECK((*config)->FindService("s")->cold_start == r.start);
  }
}

TEST_CASE("malformed header fields are treated as absent") {
  struct row {
    const char* name;
    const char* value;
  };
  const row rows[] = {{"X-Deadline-Ms", "soon"},
                      {"X-Token-Counts", "many"},
                      {"X-Token-Counts", ","},
                      {"Last-Event-Id", "12x"},
                      {"Authorization", "Basic abc"}};
  for (const row& r : rows) {
    CAPTURE(r.name, r.value);
    http_request request(http::verb::get, "/", 11);
    request.set(r.name, r.value);
    const caller_request parsed = platform_protocol().ParseRequest(request);
    CHECK(parsed == caller_request());
  }
}

TEST_CASE(
    "a forwarded request has the caller's content and the relay's fields") {
  http_request request = Request();
  request.set("X-Tenant-Name", "forged");
  request.set("X-Expected-Instance", "forged");
  request.set("X-Peer-Helpers", "forged");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "dropped");
  request.set("Keep-Alive", "timeout=5");
  forward_fields fields;
  fields.upstream_id = "i-1";
  fields.organisation = "org";
  fields.time_left = milliseconds(9'000);
  fields.last_event_id = 7;
  fields.helpers = {{"10.0.0.1:8080", "t1"}, {"10.0.0.2:8080", ""}};
  const http_request sent =
      platform_protocol().MakeUpstreamRequest(request, fields);
  CHECK(sent.method() == http::verb::post);
  CHECK(sent.target() == "/a/b?c=d");
  CHECK(sent.body() == "body");
  CHECK(sent[http::field::content_length] == "4");
  struct row {
    const char* name;
    const char* value;  // empty: absent
  };
  const row rows[] = {
      {"Host", "h.example"},
      {"X-Attempt-Id", "9c41"},
      {"X-Token-Counts", "1460,80"},
      {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
      {"X-Other", "kept"},
      {"X-Deadline-Ms", "9000"},
      {"X-Expected-Instance", "i-1"},
      {"X-Tenant-Name", "org"},
      {"Last-Event-Id", "7"},
      {"X-Peer-Helpers", "10.0.0.1:8080/t1,10.0.0.2:8080"},
      {"Authorization", ""},
      {"X-Hop", ""},
      {"Keep-Alive", ""},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    CHECK(sent[r.name] == r.value);
  }
}

// Guards against gaps in running streams while configurations with many routes
// are decoded in quick succession on a small share of a core.
TEST_CASE("a large configuration is decoded in many steps") {
  struct row {
    int routes;
    int least_pauses;
  };
  // For the largest configuration, at most a hundredth of the work per step.
  const row rows[] = {{0, 0}, {10, 0}, {200, 2}, {1'700, 17}, {10'000, 100}};
  for (const row& r : rows) {
    CAPTURE(r.routes);
    nlohmann::json routes = nlohmann::json::array();
    for (int i = 0; i < r.routes; ++i)
      routes.push_back({{"name", "r" + std::to_string(i)},
                        {"host", "h"},
                        {"path_prefix", "/" + std::to_string(i) + "/"},
                        {"kind", "idempotent"},
                        {"service", "s"},
                        {"timeout_ms", 800},
                        {"max_attempts", 2}});
    const std::string document =
        nlohmann::json({{"version", 1}, {"routes", routes}}).dump();
    http_client* none = nullptr;
    int pauses = 0;
    const auto decoded =
        platform_catalog(none, "127.0.0.1:1").DecodeConfig(document, [&] {
          ++pauses;
        });
    REQUIRE(decoded);
    CHECK((*decoded)->routes().size() == static_cast<std::size_t>(r.routes));
    CHECK(pauses >= r.least_pauses);
  }
}

TEST_CASE("an upstream's response states whether the request was executed") {
  struct row {
    int status;
    std::vector<std::pair<std::string, std::string>> fields;
    bool not_executed;
    bool wrong_upstream;
    bool is_signed;
  };
  const row rows[] = {
      {200, {{"X-Response-Seal", "x"}}, false, false, true},
      {200, {}, false, false, false},
      {503, {{"X-Not-Executed", "1"}}, true, false, false},
      {503, {}, false, false, false},
      {429, {}, false, false, false},
      {421, {{"X-Instance-Id", "i-2"}}, true, true, false},
      {500, {{"X-Response-Seal", "x"}}, false, false, true},
  };
  for (const row& r : rows) {
    CAPTURE(r.status);
    http::response_header<> header;
    for (const auto& [name, value] : r.fields)
      header.set(name, value);
    const upstream_reply reply =
        platform_protocol().ParseReply(r.status, header);
    CHECK(reply.not_executed == r.not_executed);
    CHECK(reply.wrong_upstream == r.wrong_upstream);
    CHECK(reply.signed_by_upstream == r.is_signed);
  }
}

// Several names in the platform's format are misleading, so that each decoded
// field is compared with its meaning here.
TEST_CASE("a configuration in the platform's format is decoded") {
  const std::string document = R"({"version": 7, "unknown": 1,
    "routes": [
      {"name": "r", "host": "h", "path_prefix": "/a/", "kind": "streaming",
       "timeout_ms": 10000, "target_latency_ms": 300, "priority": 1,
       "weighted_services": [{"service": "s", "weight": 90},
                             {"service": "t", "weight": 10}],
       "max_attempts": 2, "resumable": true, "target_itl_ms": 250},
      {"name": "q", "host": "h", "path_prefix": "/b/", "kind": "idempotent",
       "service": "t", "public": true}],
    "services": [
      {"name": "s", "health_path": "/healthz",
       "backend": {"slots": 16, "kv_capacity": 315000, "stride": 51,
                   "step_ms": 0.85, "read_per_s": 177000.0}},
      {"name": "t"}, {"name": "u", "backend": {"slots": 16}}],
    "limits": {"max_header_bytes": 1000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "o", "api_keys": ["k1", "k2"], "priority": 0}]})";
  http_client* none = nullptr;
  const platform_catalog catalog(none, "127.0.0.1:1");
  const auto decoded = catalog.DecodeConfig(document, [] {});
  REQUIRE(decoded);
  const forward_config& config = **decoded;
  CHECK(config.version() == 7);
  const forward_route* route = config.Match("h", "/a/x");
  REQUIRE(route);
  CHECK(route->kind == route_kind::kStreaming);
  CHECK(route->objective == milliseconds(300));
  CHECK(route->max_event_gap == milliseconds(250));
  CHECK(route->services == std::vector<weighted_service>{{"s", 90}, {"t", 10}});
  CHECK(config.Match("h", "/b/")->is_public);
  REQUIRE(config.FindService("s")->engine);
  CHECK(config.FindService("s")->engine->kv_capacity == 315'000);
  CHECK(config.FindService("s")->engine->prefill_tokens_per_second == 177'000);
  CHECK_FALSE(config.FindService("t")->engine);
  // A service whose engine parameters are incomplete has no engine.
  CHECK_FALSE(config.FindService("u")->engine);
  CHECK(config.FindKeyHolder("k2")->organisation == "o");
  CHECK(config.FindKeyHolder("k2")->priority == 0);
  CHECK_FALSE(config.FindKeyHolder("k3"));
  CHECK(config.limits().max_header_bytes == 1'000);
}

TEST_CASE("documents that are not a configuration are rejected") {
  http_client* none = nullptr;
  const platform_catalog catalog(none, "127.0.0.1:1");
  for (const char* document :
       {"", "[]", "{}", R"({"version": 0})", R"({"version": "7"})",
        R"({"version": 7, "routes": [{"host": "h"}]})",
        R"({"version": 7, "services": [1]})",
        R"({"version": 7, "tenants": ["o"]})",
        R"({"version": 7, "routes": [{"host": "h", "path_prefix": "/",
            "kind": "new"}]})"}) {
    CAPTURE(document);
    CHECK_FALSE(catalog.DecodeConfig(document, [] {}));
  }
}

TEST_CASE("invalid upstream entries are rejected") {
  http_client* none = nullptr;
  const platform_catalog catalog(none, "127.0.0.1:1");
  struct row {
    const char* document;
    bool usable;
  };
  const row rows[] = {
      {R"({"service": "s", "address": "10.0.0.1:80", "state": "ready",
           "slots": 16, "zone": "z", "born": 1700000000000})",
       true},
      {R"({"service": "s", "address": "10.0.0.1:80", "state": "draining"})",
       true},
      {R"({"service": "s", "address": "10.0.0.1:80", "state": "odd"})", false},
      {R"({"service": 3, "address": "10.0.0.1:80", "state": "ready"})", false},
      {R"({"service": "s", "address": "nowhere", "state": "ready"})", false},
      {R"({"service": "s", "state": "ready"})", false},
      {R"({"service": "s", "address": "10.0.0.1:80", "state": "ready",
           "slots": 0})",
       false},
      {"\xff\xfe", false},
      {"", false},
      {"null", false},
  };
  for (const row& r : rows) {
    CAPTURE(r.document);
    CHECK(catalog.DecodeUpstream("i-1", r.document).ok() == r.usable);
  }
  const auto entry = catalog.DecodeUpstream("i-1", rows[0].document);
  CHECK(entry->id == "i-1");
  CHECK(entry->started_at_ms == 1'700'000'000'000);
  CHECK(catalog.DecodeUpstream("i-1", rows[1].document)->leaving);
}

// Found by the fuzzer: an array header that claims more elements than can
// exist.
TEST_CASE("CBOR with an excessive length is rejected without an exception") {
  const auto bytes = DecodeBase64("AJsJIgf+J5vgAAk=");
  REQUIRE(bytes);
  CHECK(ParseCbor(bytes->substr(1)).is_discarded());
  CHECK(ParseCbor("").is_discarded());
  CHECK(ParseCbor("\x01") == 1);
}

}  // namespace
}  // namespace cactusward::platform
