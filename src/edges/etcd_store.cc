#include "src/edges/etcd_store.h"

#include <charconv>

#include "src/edges/json.h"
#include "src/kernel/base64.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr milliseconds kWatchOpenTimeout{2'000};
// Maximum duration of one watch stream, so that a stream whose connection was
// lost without notice is reopened after at most this time.
constexpr std::chrono::minutes kMaxWatchDuration{10};
constexpr std::size_t kMaxWatchLineBytes = 4ULL * 1024 * 1024;

// The JSON gateway encodes 64-bit integers as strings.
std::int64_t ReadInteger(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end())
    return 0;
  if (it->is_number_integer())
    return it->get<std::int64_t>();
  if (!it->is_string())
    return 0;
  const auto& text = it->get_ref<const std::string&>();
  std::int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::optional<stored_value> ReadKeyValue(const json& object) {
  if (!object.is_object())
    return std::nullopt;
  const auto read_bytes = [&object](const char* name) {
    const auto it = object.find(name);
    if (it == object.end() || !it->is_string())
      return std::optional<std::string>(std::string());
    return DecodeBase64(it->get_ref<const std::string&>());
  };
  const auto key = read_bytes("key");
  const auto value = read_bytes("value");
  if (!key || !value || key->empty())
    return std::nullopt;
  return stored_value{*key, *value, ReadInteger(object, "mod_revision")};
}

std::vector<stored_value> ReadKeyValues(const json& response) {
  std::vector<stored_value> values;
  const auto kvs = response.find("kvs");
  if (kvs == response.end() || !kvs->is_array())
    return values;
  for (const json& item : *kvs) {
    if (auto value = ReadKeyValue(item))
      values.push_back(std::move(*value));
  }
  return values;
}

json KeyRange(const std::string& key) {
  return {{"key", EncodeBase64(key)}};
}

json PrefixRange(const std::string& prefix) {
  std::string end = prefix;
  ++end.back();
  json range = KeyRange(prefix);
  range["range_end"] = EncodeBase64(end);
  return range;
}

json EncodeWrite(const key_write& write) {
  if (!write.value)
    return {{"request_delete_range", KeyRange(write.key)}};
  json put = {{"key", EncodeBase64(write.key)},
              {"value", EncodeBase64(*write.value)}};
  if (write.lease != 0)
    put["lease"] = std::to_string(write.lease);
  return {{"request_put", std::move(put)}};
}

// Returns the value read by the failure branch of a transaction.
std::optional<stored_value> ReadFailureBranch(const json& response) {
  const auto responses = response.find("responses");
  if (responses == response.end() || !responses->is_array() ||
      responses->empty() || !responses->front().is_object())
    return std::nullopt;
  const auto range = responses->front().find("response_range");
  if (range == responses->front().end())
    return std::nullopt;
  auto values = ReadKeyValues(*range);
  if (values.empty())
    return std::nullopt;
  return std::move(values.front());
}

// Calls `handler` for each PUT event in one line of a watch stream.
void HandleWatchLine(std::string_view line,
                     const key_value_store::change_handler& handler) {
  const auto event = ParseJson(line);
  if (!event || !event->is_object() || !event->contains("result") ||
      !(*event)["result"].is_object())
    return;
  const json& result = (*event)["result"];
  const auto events = result.find("events");
  if (events == result.end() || !events->is_array())
    return;
  for (const json& change : *events) {
    if (!change.is_object() || !change.contains("kv"))
      continue;
    // Absent for PUT.
    const auto type = change.find("type");
    if (type != change.end() && *type != "PUT")
      continue;
    if (const auto value = ReadKeyValue(change["kv"]))
      handler(*value);
  }
}

}  // namespace

etcd_store::etcd_store(http_client* client, std::string address)
    : client_(client), address_(std::move(address)) {}

result<json> etcd_store::Post(const std::string& target,
                              const json& body,
                              time_point deadline,
                              asio::yield_context yield) {
  ++calls_;
  outgoing_request request;
  request.method = http::verb::post;
  request.target = target;
  request.body = WriteJson(body);
  request.headers = {{"Content-Type", "application/json"}};
  const auto response = client_->Call(address_, request, deadline, yield);
  if (!response)
    return {error_kind::kStoreUnavailable, response.detail()};
  auto parsed = ParseJson(response->body);
  if (response->status != 200 || !parsed || !parsed->is_object())
    return {error_kind::kStoreUnavailable,
            "status " + std::to_string(response->status)};
  return std::move(*parsed);
}

result<std::optional<stored_value>> etcd_store::Get(const std::string& key,
                                                    time_point deadline,
                                                    asio::yield_context yield) {
  const auto response = Post("/v3/kv/range", KeyRange(key), deadline, yield);
  if (!response)
    return {response.kind(), response.detail()};
  auto values = ReadKeyValues(*response);
  if (values.empty())
    return std::optional<stored_value>();
  return std::optional<stored_value>(std::move(values.front()));
}

result<std::vector<stored_value>> etcd_store::List(const std::string& prefix,
                                                   time_point deadline,
                                                   asio::yield_context yield) {
  const auto response =
      Post("/v3/kv/range", PrefixRange(prefix), deadline, yield);
  if (!response)
    return {response.kind(), response.detail()};
  return ReadKeyValues(*response);
}

result<swap_outcome> etcd_store::CompareAndSwap(
    const std::string& key,
    const std::optional<stored_value>& expected,
    const std::vector<key_write>& writes,
    time_point deadline,
    asio::yield_context yield) {
  json success = json::array();
  for (const key_write& write : writes)
    success.push_back(EncodeWrite(write));
  json compare =
      json::array({{{"key", EncodeBase64(key)},
                    {"target", "MOD"},
                    {"result", "EQUAL"},
                    {"mod_revision",
                     std::to_string(expected ? expected->mod_revision : 0)}}});
  if (expected)
    compare.push_back({{"key", EncodeBase64(key)},
                       {"target", "VALUE"},
                       {"result", "EQUAL"},
                       {"value", EncodeBase64(expected->value)}});
  const json body = {{"compare", std::move(compare)},
                     {"success", std::move(success)},
                     {"failure", {{{"request_range", KeyRange(key)}}}}};
  const auto response = Post("/v3/kv/txn", body, deadline, yield);
  if (!response)
    return {response.kind(), response.detail()};
  swap_outcome outcome;
  const auto succeeded = response->find("succeeded");
  outcome.applied = succeeded != response->end() && succeeded->is_boolean() &&
                    succeeded->get<bool>();
  if (!outcome.applied) {
    outcome.current = ReadFailureBranch(*response);
    return outcome;
  }
  const auto header = response->find("header");
  if (header != response->end() && header->is_object())
    outcome.mod_revision = ReadInteger(*header, "revision");
  return outcome;
}

result<std::int64_t> etcd_store::GrantLease(milliseconds time_to_live,
                                            time_point deadline,
                                            asio::yield_context yield) {
  const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(time_to_live).count();
  const auto response = Post(
      "/v3/lease/grant", {{"TTL", std::to_string(seconds)}}, deadline, yield);
  if (!response)
    return {response.kind(), response.detail()};
  const std::int64_t id = ReadInteger(*response, "ID");
  if (id == 0)
    return {error_kind::kStoreUnavailable, "no lease granted"};
  return id;
}

std::error_code etcd_store::Watch(const std::string& key,
                                  std::int64_t revision,
                                  const change_handler& handler,
                                  asio::yield_context yield) {
  return WatchRange(KeyRange(key), revision, handler, yield);
}

std::error_code etcd_store::WatchPrefix(const std::string& prefix,
                                        std::int64_t revision,
                                        const change_handler& handler,
                                        asio::yield_context yield) {
  return WatchRange(PrefixRange(prefix), revision, handler, yield);
}

std::error_code etcd_store::WatchRange(json range,
                                       std::int64_t revision,
                                       const change_handler& handler,
                                       asio::yield_context yield) {
  ++calls_;
  range["start_revision"] = std::to_string(revision + 1);
  outgoing_request request;
  request.method = http::verb::post;
  request.target = "/v3/watch";
  request.body = json({{"create_request", std::move(range)}}).dump();
  auto stream =
      client_->Open(address_, request, clock::now() + kWatchOpenTimeout, yield);
  if (!stream || (*stream)->status() != 200)
    return error_kind::kStoreUnavailable;
  const time_point end = clock::now() + kMaxWatchDuration;
  std::string pending;
  while (true) {
    const auto bytes = (*stream)->Read(end, yield);
    if (!bytes || bytes->empty())
      return error_kind::kStoreUnavailable;
    pending.append(*bytes);
    std::size_t newline;
    while ((newline = pending.find('\n')) != std::string::npos) {
      HandleWatchLine(std::string_view(pending).substr(0, newline), handler);
      pending.erase(0, newline + 1);
    }
    if (pending.size() > kMaxWatchLineBytes)
      return error_kind::kStoreUnavailable;
  }
}

}  // namespace cactusward
