// Guards against one malformed entry, in the registry, in the list of instances
// or in the configuration, that ends the processes which read it, ends their
// watches, or takes other entries away.
#include <catch2/catch.hpp>
#include <climits>
#include <map>

#include "cactusward/config.h"
#include "platform/platform_catalog.h"
#include "src/edges/etcd_store.h"
#include "src/edges/http_server.h"
#include "src/kernel/base64.h"
#include "src/kernel/cbor.h"
#include "src/services/upstream_directory.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::kCallTimeout;
using testing::kPollPeriod;
using testing::kSettleTime;
using testing::small_fleet;
using testing::store_fake;

constexpr int kDeepNesting = 100'000;

std::string Repeat(std::string_view text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i)
    repeated += text;
  return repeated;
}

std::string DeepArray() {
  return std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
}

// An upstream entry whose field `name` has the JSON text `value`.
std::string EntryWith(const std::string& name, const std::string& value) {
  std::map<std::string, std::string> fields = {
      {"service", R"("plain")"}, {"address", R"("10.0.0.1:80")"},
      {"zone", R"("z")"},        {"slots", "16"},
      {"state", R"("ready")"},   {"born", "1700000000000"}};
  fields[name] = value;
  std::string text;
  for (const auto& [key, field] : fields)
    text += (text.empty() ? "{\"" : ",\"") + key + "\":" + field;
  return text + "}";
}

// Runs `body` in a coroutine, whose stack is as small as in the daemon.
void RunInCoroutine(const std::function<void(asio::yield_context)>& body) {
  asio::io_context io;
  Spawn(io, "test", body);
  io.run();
}

struct field_row {
  const char* name;
  std::string value;
  bool usable;
};

std::vector<field_row> FieldRows() {
  return {
      {"unknown", "1", true},
      {"unknown", DeepArray(), false},
      {"unknown", "1e400", false},
      {"unknown", "1e300", true},
      {"service", R"("")", false},
      {"service", "5", false},
      {"service", '"' + std::string(100'000, 's') + '"', false},
      {"service", R"("none")", true},
      {"zone", "3", false},
      {"zone", "null", true},
      {"state", R"("new")", false},
      {"state", "true", false},
      {"slots", "1", true},
      {"slots", "0", false},
      {"slots", "-1", false},
      {"slots", "1.5", false},
      {"slots", "16.0", false},
      {"slots", "4294967297", false},
      {"slots", "1180591620717411303424", false},
      {"slots", "1e10", false},
      {"slots", R"("16")", false},
      {"slots", "[]", false},
      {"born", "0", true},
      {"born", "-1", false},
      {"born", "1.5", false},
      {"born", "18446744073709551615", false},
      {"born", "1180591620717411303424", false},
      {"born", R"("1700000000000")", false},
      // An odd remaining cold time is treated as absent.
      {"cold_remaining_ms", "1500", true},
      {"cold_remaining_ms", "-1", true},
      {"cold_remaining_ms", "1.5", true},
      {"cold_remaining_ms", "18446744073709551615", true},
      {"cold_remaining_ms", R"("soon")", true},
      {"cold_remaining_ms", "{}", true},
      {"address", R"("[::1]:80")", true},
      {"address", R"("::1:80")", true},
      {"address", R"("10.0.0.1:0")", false},
      {"address", R"("10.0.0.1:65535")", true},
      {"address", R"("10.0.0.1:65536")", false},
      {"address", R"("10.0.0.1:4294967376")", false},
      {"address", R"("10.0.0.1:18446744073709551696")", false},
      {"address", R"("10.0.0.1:-80")", false},
      {"address", R"("10.0.0.1:08")", false},
      {"address", R"("10.0.0.1:")", false},
      {"address", R"("10.0.0.1")", false},
      {"address", R"(":80")", false},
      {"address", R"("localhost:80")", false},
      {"address", R"("10.0.0.1\u0000:80")", false},
      {"address", R"("10.0.0.1\u0000\r\nX-Forged: 1:80")", false},
      {"address", R"("fe80::1%\r\nX-Forged: 1:80")", false},
      {"address", R"("0.0.0.0:80")", false},
      {"address", R"("[::]:80")", false},
      {"address", R"("224.0.0.1:80")", false},
  };
}

TEST_CASE("a field out of its range makes an upstream entry unusable",
          "[entries]") {
  http_client* none = nullptr;
  const platform::platform_catalog catalog(none, "127.0.0.1:1");
  for (const field_row& r : FieldRows()) {
    CAPTURE(r.name, r.value.substr(0, 60));
    bool usable = !r.usable;
    RunInCoroutine([&](asio::yield_context) {
      usable = catalog.DecodeUpstream("i-1", EntryWith(r.name, r.value)).ok();
    });
    CHECK(usable == r.usable);
  }
}

// Guards against ids that inject header fields into requests to upstreams.
TEST_CASE("an id that no header can carry makes an upstream entry unusable",
          "[entries]") {
  http_client* none = nullptr;
  const platform::platform_catalog catalog(none, "127.0.0.1:1");
  struct row {
    std::string id;
    bool usable;
  };
  const row rows[] = {{"i-7f3a91c2", true},
                      {"a/b&c?d=e#f%20+", true},
                      {"\xc3\xa9", true},
                      {"", false},
                      {" i", false},
                      {"i ", false},
                      {"i\tj", false},
                      {"i\r\nX-Forged: 1", false},
                      {std::string("i\0", 2), false},
                      {"i\x7f", false},
                      {std::string(193, 'i'), false}};
  for (const row& r : rows) {
    CAPTURE(r.id);
    CHECK(catalog.DecodeUpstream(r.id, EntryWith("unknown", "1")).ok() ==
          r.usable);
  }
}

// Each way that entries take to an instance: the list is read at the start, a
// watch delivers the changes, peers report them to the other instances in
// datagrams, and an instance that joins gets snapshots.
TEST_CASE("instances follow the registry beside odd upstream entries",
          "[entries]") {
  constexpr int kExtraInstances = 5;  // so that some do not watch the registry
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  std::vector<std::string> documents = {"",
                                        "null",
                                        "[]",
                                        "{}",
                                        "\xff\xfe",
                                        "{\"service\"",
                                        "\"text\"",
                                        DeepArray(),
                                        "{\"a\":" + DeepArray(),
                                        Repeat("{\"a\":", kDeepNesting)};
  for (const field_row& r : FieldRows()) {
    if (!r.usable)
      documents.push_back(EntryWith(r.name, r.value));
  }
  const auto put_all = [&](const std::string& prefix) {
    for (std::size_t i = 0; i < documents.size(); ++i)
      fleet.store.Put("servers/" + prefix + std::to_string(i), documents[i]);
    for (const char* id : {"", " ", "a b", "\r\nX-Forged: 1", "\xc3\xa9"})
      fleet.store.Put("servers/" + std::string(id),
                      fleet.plain[0]->Entry("none"));
  };
  put_all("a");
  const testing::extra_instances extra(fleet, kExtraInstances,
                                       platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(extra.Start());
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    Sleep(fleet.io, milliseconds(2'500), yield);
    put_all("b");
    for (const std::string& document : documents) {
      fleet.store.Put("servers/one", document);
      Sleep(fleet.io, kPollPeriod * 2, yield);
    }
    fleet.store.Remove("servers/p0");
    fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
    Sleep(fleet.io, milliseconds(1'500), yield);
    const int before = fleet.plain[0]->arrivals();
    for (const auto& each : extra.settings) {
      std::swap(fleet.settings.listen, each->listen);
      for (const char* path : {"/once/x", "/new/x", "/stream/x"}) {
        for (int i = 0; i < 4; ++i)
          CHECK(fleet.Call(path, "a", yield).status == 200);
      }
      std::swap(fleet.settings.listen, each->listen);
    }
    CHECK(fleet.plain[0]->arrivals() == before);
  });
}

// Guards against pages that are not requested by the key that ended the last
// one: a page would be read again and again, or left out.
TEST_CASE("pages of the registry's list continue after keys of any bytes",
          "[entries]") {
  for (const char* id : {"a&b", "a b", "a#b", "a%41", "a+b", "a\r\nb",
                         "\xc3\xa9", "?", "=", ""}) {
    CAPTURE(id);
    small_fleet fleet;
    fleet.store.SetPageSize(1);
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.store.Put("servers/" + std::string(id), "{}");
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      CHECK(fleet.WaitForStatus("/once/x", 200, yield));
      CHECK(fleet.Call("/stream/x", "a", yield).status == 200);
    });
  }
}

TEST_CASE("items that cannot be read do not hide the others of a list",
          "[entries]") {
  const char* const rows[] = {"1",
                              "null",
                              "[]",
                              "{}",
                              R"({"key": 5, "revision": 2})",
                              R"({"key": "servers/x", "revision": "2"})",
                              R"({"key": "servers/x", "revision": 1e300})",
                              R"({"key": "servers/x", "value": "*"})",
                              R"({"key": "servers/x", "value": "====",
                                  "revision": 1})"};
  for (const char* item : rows) {
    CAPTURE(item);
    small_fleet fleet;
    fleet.store.SetExtraItem(item);
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      CHECK(fleet.WaitForStatus("/once/x", 200, yield));
      fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
      fleet.store.Remove("servers/p0");
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
      Sleep(fleet.io, kSettleTime, yield);
      const int before = fleet.plain[0]->arrivals();
      for (int i = 0; i < 4; ++i)
        CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      CHECK(fleet.plain[0]->arrivals() == before);
    });
  }
}

TEST_CASE("numbers of a configuration are read within their ranges",
          "[entries]") {
  http_client* none = nullptr;
  const platform::platform_catalog catalog(none, "127.0.0.1:1");
  const auto decode = [&](const std::string& field, const std::string& value) {
    return catalog.DecodeConfig(
        R"({"version": 3, "routes": [{"host": "h", "path_prefix": "/a/",
            "kind": "idempotent", "service": "s", "timeout_ms": 1000, ")" +
            field + "\": " + value + "}]}",
        [] {});
  };
  struct row {
    const char* value;
    std::int64_t timeout_ms;
    int max_attempts;
  };
  constexpr std::int64_t kMaxTimeoutMs = 24 * 3'600 * 1'000;
  const row rows[] = {
      {"2", 2, 2},
      {"2.0", 2, 2},
      {"2.75", 2, 2},
      {"-1", 0, 1},
      {"-1e300", 0, 1},
      {"4294967298", kMaxTimeoutMs, INT_MAX},
      {"9223372036854775807", kMaxTimeoutMs, INT_MAX},
      {"1180591620717411303424", kMaxTimeoutMs, INT_MAX},
      {"1e300", kMaxTimeoutMs, INT_MAX},
  };
  for (const row& r : rows) {
    CAPTURE(r.value);
    const auto by_timeout = decode("timeout_ms", r.value);
    REQUIRE(by_timeout);
    CHECK((*by_timeout)->routes()[0].timeout == milliseconds(r.timeout_ms));
    const auto by_attempts = decode("max_attempts", r.value);
    REQUIRE(by_attempts);
    CHECK((*by_attempts)->routes()[0].max_attempts == r.max_attempts);
  }
  for (const char* version :
       {"-1", "0", "0.5", "1.5", "1e300", "18446744073709551615", "1e400"}) {
    CAPTURE(version);
    CHECK_FALSE(catalog.DecodeConfig(
        "{\"version\": " + std::string(version) + "}", [] {}));
  }
}

// Guards against engines without a slot, with which the placement of prompts
// divides by zero.
TEST_CASE("engine parameters are positive", "[entries]") {
  http_client* none = nullptr;
  const platform::platform_catalog catalog(none, "127.0.0.1:1");
  for (const char* field : {"slots", "kv_capacity", "stride"}) {
    for (const char* value : {"0.5", "0", "-1", "1e300", "\"1\"", "[]"}) {
      CAPTURE(field, value);
      std::map<std::string, std::string> fields = {{"slots", "16"},
                                                   {"kv_capacity", "1000"},
                                                   {"stride", "1"},
                                                   {"read_per_s", "1000"},
                                                   {"step_ms", "1"}};
      fields[field] = value;
      std::string engine;
      for (const auto& [key, text] : fields)
        engine += (engine.empty() ? "\"" : ",\"") + key + "\":" + text;
      const auto decoded = catalog.DecodeConfig(
          R"({"version": 1, "services": [{"name": "s", "backend": {)" + engine +
              "}}]}",
          [] {});
      REQUIRE(decoded);
      const auto& parameters = (*decoded)->FindService("s")->engine;
      if (!parameters)
        continue;
      CHECK(parameters->slots > 0);
      CHECK(parameters->kv_capacity > 0);
      CHECK(parameters->steps_per_pass > 0);
    }
  }
}

// Guards against a stack overflow: a value in the key-value service or a
// datagram ends the process that decodes it.
TEST_CASE("deeply nested CBOR is rejected", "[entries]") {
  struct row {
    const char* name;
    std::string prefix;
  };
  const row rows[] = {{"arrays", "\x81"},
                      {"arrays without a length", "\x9f"},
                      {"maps", std::string("\xa1\x61\x61", 3)},
                      {"maps without a length", std::string("\xbf\x61\x61", 3)},
                      {"texts without a length", "\x7f"},
                      {"bytes without a length", "\x5f"},
                      {"tags", "\xc1"}};
  for (const row& r : rows) {
    CAPTURE(r.name);
    RunInCoroutine([&](asio::yield_context) {
      CHECK(ParseCbor(Repeat(r.prefix, kDeepNesting)).is_discarded());
      CHECK(ParseCbor(Repeat(r.prefix, kDeepNesting) + '\x01').is_discarded());
    });
  }
}

TEST_CASE("CBOR of usual depth is accepted", "[entries]") {
  const nlohmann::json rows[] = {
      nullptr,
      true,
      -5,
      1.5,
      "text",
      nlohmann::json::array(),
      {{"a", {1, 2, {{"b", {3, "x", false}}}}},
       {"c", std::string(70'000, 'c')}},
      nlohmann::json::parse(std::string(60, '[') + std::string(60, ']'))};
  for (const nlohmann::json& value : rows) {
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    CHECK(ParseCbor(bytes) == value);
  }
  // An array and a text without a length.
  CHECK(ParseCbor("\x9f\x01\x7f\x61\x61\xff\xff") ==
        nlohmann::json::array({1, "a"}));
}

TEST_CASE("deeply nested JSON in the own configuration is rejected",
          "[entries]") {
  RunInCoroutine([](asio::yield_context) {
    for (const char* field : {"organisations", "defaults", "unknown"}) {
      CAPTURE(field);
      CHECK_FALSE(ParseFleetConfig("{\"" + std::string(field) +
                                   "\":" + DeepArray() + "}"));
    }
    CHECK_FALSE(ParseFleetConfig(DeepArray()));
    CHECK_FALSE(DecodeRevision("{\"revision\": 1, \"a\":" + DeepArray() + "}"));
  });
}

TEST_CASE("an odd target does not take the others from the instance list",
          "[entries]") {
  const std::string sound =
      R"({"targets": ["127.0.0.1:5"], "labels": {"service": "s"}})";
  const std::string rows[] = {
      "5",
      "{}",
      R"({"targets": 5, "labels": {}})",
      R"({"targets": ["127.0.0.1:6"], "labels": 5})",
      R"({"targets": ["127.0.0.1:65536"], "labels": {"service": "s"}})",
      R"({"targets": ["host", 5, null], "labels": {"service": "s"}})",
      R"({"targets": ["127.0.0.1:6\r\nX-Forged: 1"], "labels": {}})",
      R"({"targets": [], "labels": {}, "a": )" + std::string(60, '[') +
          std::string(60, ']') + "}",
  };
  for (const std::string& row : rows) {
    CAPTURE(row);
    std::vector<std::string> peers;
    const auto list = ParseInstanceList("[" + row + "," + sound + "]", &peers);
    REQUIRE(list);
    REQUIRE(list->size() == 1);
    CHECK(list->front().address == "127.0.0.1:5");
  }
}

TEST_CASE("metrics and lists that are deeply nested are rejected",
          "[entries]") {
  RunInCoroutine([](asio::yield_context) {
    std::vector<std::string> peers;
    CHECK_FALSE(ParseInstanceList(DeepArray(), &peers));
    CHECK_FALSE(ParseLoadMetrics(
        "JSON {\"named_metrics\":{\"a\":" + DeepArray() + "}}"));
  });
}

// A registry client that throws a few times at each of its operations.
class throwing_catalog : public catalog_source {
 public:
  struct faults {
    int watch = 0;
    int decode_config = 0;
    int decode_upstream = 0;
    int read_position = 0;
  };
  // Precondition: `faults` outlives the catalog.
  throwing_catalog(std::unique_ptr<catalog_source> catalog, faults* faults)
      : catalog_(std::move(catalog)), faults_(faults) {}
  result<catalog_batch> ReadUpstreams(asio::yield_context yield) override {
    return catalog_->ReadUpstreams(yield);
  }
  result<catalog_batch> WaitForChanges(const registry_position& after,
                                       asio::yield_context yield) override {
    auto batch = catalog_->WaitForChanges(after, yield);
    MayThrow(&faults_->watch);
    return batch;
  }
  result<catalog_batch> ReadConfig(asio::yield_context yield) override {
    return catalog_->ReadConfig(yield);
  }
  result<registry_position> ReadPosition(asio::yield_context yield) override {
    MayThrow(&faults_->read_position);
    return catalog_->ReadPosition(yield);
  }
  result<std::shared_ptr<const forward_config>> DecodeConfig(
      const std::string& document,
      const std::function<void()>& pause) const override {
    MayThrow(&faults_->decode_config);
    return catalog_->DecodeConfig(document, pause);
  }
  result<upstream_entry> DecodeUpstream(
      const std::string& id,
      const std::string& document) const override {
    MayThrow(&faults_->decode_upstream);
    return catalog_->DecodeUpstream(id, document);
  }

 private:
  static void MayThrow(int* left) {
    if (*left > 0) {
      --*left;
      throw std::out_of_range("a fault of the test");
    }
  }
  std::unique_ptr<catalog_source> catalog_;
  faults* faults_;
};

// Guards against an instance that stops following the registry or its peers
// when one entry makes the code that reads it throw.
TEST_CASE("an exception does not end the following of the registry",
          "[entries]") {
  struct row {
    const char* name;
    int throwing_catalog::faults::*fault;
    bool at_start;
    bool watches_deliver;
  };
  using faults = throwing_catalog::faults;
  const row rows[] = {
      {"configuration at the start", &faults::decode_config, true, true},
      {"entry at the start", &faults::decode_upstream, true, true},
      {"watch", &faults::watch, false, true},
      {"configuration from a watch", &faults::decode_config, false, true},
      {"entry from a watch", &faults::decode_upstream, false, true},
      {"revision", &faults::read_position, false, false},
      {"entry from a complete read", &faults::decode_upstream, false, false},
  };
  constexpr int kExtraInstances = 4;  // so that some do not watch the registry
  for (const row& r : rows) {
    CAPTURE(r.name);
    small_fleet fleet;
    throwing_catalog::faults left;
    const auto make_adapter = [&](const forwarding_settings& settings,
                                  http_client* client) {
      relay_adapter adapter = platform::MakeAdapter(settings, client);
      adapter.catalog =
          std::make_unique<throwing_catalog>(std::move(adapter.catalog), &left);
      return adapter;
    };
    fleet.make_adapter = make_adapter;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.store.SetWatchEventsSuppressed(!r.watches_deliver);
    if (r.at_start)
      left.*r.fault = kExtraInstances;
    const testing::extra_instances extra(fleet, kExtraInstances, make_adapter);
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(extra.Start());
      CHECK(fleet.WaitForStatus("/once/x", 200, yield));
      Sleep(fleet.io, milliseconds(1'200), yield);
      // Once for each change and instance at most.
      left.*r.fault = 2 * kExtraInstances;
      fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
      fleet.store.Put("servers/p0", fleet.plain[0]->Entry("plain", true));
      Sleep(fleet.io, milliseconds(1'500), yield);
      fleet.store.Remove("servers/p0");
      for (const auto& each : extra.settings) {
        std::swap(fleet.settings.listen, each->listen);
        CHECK(fleet.WaitForStatus("/new/x", 200, yield));
        std::swap(fleet.settings.listen, each->listen);
      }
      CHECK(fleet.WaitForStatus("/new/x", 200, yield));
      Sleep(fleet.io, milliseconds(1'500), yield);
      left = {};
      const int before = fleet.plain[0]->arrivals();
      for (int i = 0; i < 4; ++i)
        CHECK(fleet.Call("/once/x", "a", yield).status == 200);
      CHECK(fleet.plain[0]->arrivals() == before);
      // Nothing is left that could hold back a later change.
      fleet.store.Put("op/config", testing::ConfigDocument(3, "newer"));
      for (const auto& each : extra.settings) {
        std::swap(fleet.settings.listen, each->listen);
        CHECK(fleet.WaitForStatus("/newer/x", 200, yield));
        std::swap(fleet.settings.listen, each->listen);
      }
      CHECK(fleet.WaitForStatus("/newer/x", 200, yield));
    });
  }
}

// Responds to each request with one line, and keeps the response open.
class line_server : public http_handler {
 public:
  line_server(asio::io_context& io, std::string line)
      : line_(std::move(line)), server_(io, this, {}) {
    REQUIRE(server_.Listen(address_));
  }
  const std::string& address() const { return address_; }
  void Handle(http_exchange& exchange, asio::yield_context yield) override {
    exchange.Respond(200, "application/json", line_,
                     clock::now() + kCallTimeout, yield);
  }

 private:
  std::string line_;
  std::string address_ = testing::FreeAddress();
  http_server server_;
};

// Guards against a watch that ends by an exception: the configuration would
// not be followed any more.
TEST_CASE("odd events do not end a watch of the key-value service",
          "[entries]") {
  const std::string sound = R"({"result": {"events": [{"kv": {"key": ")" +
                            EncodeBase64("k") +
                            R"(", "mod_revision": "7"}}]}})";
  const std::string rows[] = {
      "5",
      R"({"result": {"events": [{"type": 5, "kv": {}}]}})",
      R"({"result": {"events": [{"type": null, "kv": {}}]}})",
      R"({"result": {"events": [{"kv": 5}]}})",
      R"({"result": {"events": [5, {"kv": {"key": 5, "value": 6}}]}})",
      R"({"result": {"events": [{"kv": {"key": "azE=",
          "mod_revision": 1e300, "value": "*"}}]}})",
      DeepArray(),
      R"({"result": )" + DeepArray() + "}",
  };
  for (const std::string& row : rows) {
    CAPTURE(row.substr(0, 80));
    asio::io_context io;
    line_server server(io, row + "\n" + sound + "\n");
    http_client client(io);
    etcd_store store(&client, server.address());
    std::vector<std::int64_t> revisions;
    bool ended = false;
    Spawn(io, "watch", [&](asio::yield_context yield) {
      store.Watch(
          "k", 0,
          [&](const stored_value& value) {
            if (value.key == "k")
              revisions.push_back(value.mod_revision);
          },
          yield);
      ended = true;
      io.stop();
    });
    io.run_for(std::chrono::seconds(2));
    CHECK(ended);
    CHECK(revisions == std::vector<std::int64_t>{7});
  }
}

}  // namespace
}  // namespace cactusward
