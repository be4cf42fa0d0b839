#include "src/model/platform_standin.h"

#include "cactusward/hash.h"
#include "src/edges/etcd_store.h"
#include "src/edges/json.h"
#include "src/kernel/base64.h"

namespace cactusward::model {
namespace {

using nlohmann::json;

constexpr milliseconds kWriteTimeout{5'000};
constexpr std::chrono::hours kNoTimeout{24};
constexpr std::chrono::seconds kUnresponsiveTime{30};

std::string ReadBytes(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_string())
    return {};
  return DecodeBase64(it->get<std::string>()).value_or("");
}

std::int64_t ReadInteger(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end())
    return 0;
  if (it->is_string())
    return std::strtoll(it->get<std::string>().c_str(), nullptr, 10);
  return it->is_number_integer() ? it->get<std::int64_t>() : 0;
}

}  // namespace

platform_standin::platform_standin(asio::io_context& io, milliseconds list_lag)
    : io_(io), list_lag_(list_lag), server_(io, this, http_server_limits()) {}

void platform_standin::Handle(http_exchange& exchange,
                              asio::yield_context yield) {
  const std::string path(exchange.Path());
  if (path == "/control")
    return HandleControl(exchange, yield);
  if (path == "/v1/instances" && exchange.request().method() == http::verb::put)
    return HandlePutInstances(exchange, yield);
  if (faults_.silent)
    Sleep(io_, kUnresponsiveTime, yield);
  if (faults_.down || faults_.silent) {
    exchange.CloseAfterResponse();
    return;
  }
  if (faults_.slow_ms > 0)
    Sleep(io_, milliseconds(faults_.slow_ms), yield);
  if (path == "/v1/instances") {
    const std::string etag =
        "\"" + std::to_string(Hash64(instance_list_)) + "\"";
    const bool not_modified = exchange.Header("If-None-Match") == etag;
    exchange.SetHeader("ETag", etag);
    exchange.Respond(not_modified ? 304 : 200, "application/json",
                     not_modified ? "" : instance_list_,
                     clock::now() + kWriteTimeout, yield);
    return;
  }
  HandleKeyValue(exchange, path, yield);
}

void platform_standin::HandleKeyValue(http_exchange& exchange,
                                      const std::string& path,
                                      asio::yield_context yield) {
  const auto request = ParseJson(exchange.request().body());
  if (!request || !request->is_object()) {
    exchange.RespondError(error_kind::kBadRequest, {}, yield);
    return;
  }
  ExpireLeases();
  bool applied = false;
  json response;
  if (path == "/v3/kv/range") {
    ++reads_;
    response = Range(*request);
  } else if (path == "/v3/kv/txn") {
    ++writes_;
    response = Txn(*request, &applied);
  } else if (path == "/v3/lease/grant") {
    ++writes_;
    const std::int64_t id = next_lease_++;
    leases_[id] =
        clock::now() + std::chrono::seconds(ReadInteger(*request, "TTL"));
    response = {{"ID", std::to_string(id)}};
  } else if (path == "/v3/watch") {
    ++reads_;
    return HandleWatch(exchange, (*request)["create_request"], yield);
  } else {
    exchange.RespondError(error_kind::kNotFound, {}, yield);
    return;
  }
  if (applied && faults_.lose_answers > 0) {
    --faults_.lose_answers;
    exchange.CloseAfterResponse();
    return;
  }
  response["header"] = {{"revision", std::to_string(revision_)}};
  exchange.RespondJson(response, yield);
}

json platform_standin::EncodeKeyValue(const std::string& key,
                                      const stored_entry& value) const {
  return {{"key", EncodeBase64(key)},
          {"value", EncodeBase64(faults_.stale_reads ? value.previous_value
                                                     : value.value)},
          {"mod_revision", std::to_string(value.mod_revision)}};
}

json platform_standin::Range(const json& request) {
  const std::string key = ReadBytes(request, "key");
  const std::string end = ReadBytes(request, "range_end");
  json kvs = json::array();
  if (end.empty()) {
    const auto it = values_.find(key);
    if (it != values_.end())
      kvs.push_back(EncodeKeyValue(it->first, it->second));
  } else {
    for (auto it = values_.lower_bound(key);
         it != values_.end() && it->first < end; ++it)
      kvs.push_back(EncodeKeyValue(it->first, it->second));
  }
  return {{"kvs", std::move(kvs)}};
}

json platform_standin::Txn(const json& request, bool* applied) {
  bool compare_succeeded = true;
  for (const json& compare : request.value("compare", json::array())) {
    const auto it = values_.find(ReadBytes(compare, "key"));
    const bool exists = it != values_.end();
    if (compare.value("target", "") == "VALUE")
      compare_succeeded = compare_succeeded && exists &&
                          it->second.value == ReadBytes(compare, "value");
    else
      compare_succeeded =
          compare_succeeded && (exists ? it->second.mod_revision : 0) ==
                                   ReadInteger(compare, "mod_revision");
  }
  // All writes of a transaction share one revision.
  if (compare_succeeded)
    ++revision_;
  json responses = json::array();
  for (const json& op : request.value(compare_succeeded ? "success" : "failure",
                                      json::array())) {
    if (op.contains("request_range"))
      responses.push_back({{"response_range", Range(op["request_range"])}});
    if (op.contains("request_put"))
      Put(op["request_put"]);
    if (op.contains("request_delete_range"))
      Delete(ReadBytes(op["request_delete_range"], "key"));
  }
  *applied = compare_succeeded;
  if (compare_succeeded)
    WakeWatchers();
  return {{"succeeded", compare_succeeded},
          {"responses", std::move(responses)}};
}

void platform_standin::Put(const json& put) {
  stored_entry& value = values_[ReadBytes(put, "key")];
  value.previous_value =
      value.mod_revision == 0 ? ReadBytes(put, "value") : value.value;
  value.value = ReadBytes(put, "value");
  value.lease = ReadInteger(put, "lease");
  value.mod_revision = revision_;
}

void platform_standin::Delete(const std::string& key) {
  values_.erase(key);
}

void platform_standin::ExpireLeases() {
  const time_point now = clock::now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    for (auto value = values_.begin(); value != values_.end();) {
      if (value->second.lease == it->first)
        value = values_.erase(value);
      else
        ++value;
    }
    it = leases_.erase(it);
  }
}

void platform_standin::WakeWatchers() {
  for (watcher* watcher : watchers_)
    watcher->timer.cancel();
}

std::map<std::string, platform_standin::stored_entry>::const_iterator
platform_standin::NextChange(const watcher& watcher) const {
  auto next = values_.end();
  for (auto it = values_.lower_bound(watcher.key); it != values_.end(); ++it) {
    const bool in_range = watcher.range_end.empty()
                              ? it->first == watcher.key
                              : it->first < watcher.range_end;
    if (!in_range)
      break;
    if (it->second.mod_revision > watcher.sent_revision &&
        (next == values_.end() ||
         it->second.mod_revision < next->second.mod_revision))
      next = it;
  }
  return next;
}

void platform_standin::HandleWatch(http_exchange& exchange,
                                   const json& request,
                                   asio::yield_context yield) {
  watcher subscription(io_);
  subscription.key = ReadBytes(request, "key");
  subscription.range_end = ReadBytes(request, "range_end");
  subscription.sent_revision = ReadInteger(request, "start_revision") - 1;
  watchers_.insert(&subscription);
  exchange.OnDisconnect([&subscription] {
    subscription.disconnected = true;
    subscription.timer.cancel();
  });
  bool open = exchange.BeginStream(200, "application/json",
                                   clock::now() + kWriteTimeout, yield) &&
              exchange.WriteChunk("{\"result\":{\"created\":true}}\n",
                                  clock::now() + kWriteTimeout, yield);
  while (open && !subscription.disconnected && !faults_.down) {
    auto it = NextChange(subscription);
    if (it != values_.end()) {
      if (faults_.watch_lag_ms > 0) {
        Sleep(io_, milliseconds(faults_.watch_lag_ms), yield);
        it = NextChange(subscription);
        if (it == values_.end())
          continue;
      }
      subscription.sent_revision = it->second.mod_revision;
      const json event = {
          {"result",
           {{"events",
             {{{"type", "PUT"},
               {"kv", EncodeKeyValue(it->first, it->second)}}}}}}};
      open = exchange.WriteChunk(event.dump() + "\n",
                                 clock::now() + kWriteTimeout, yield);
      continue;
    }
    WaitOn(subscription.timer, clock::now() + kNoTimeout, yield);
  }
  exchange.OnDisconnect({});
  exchange.CloseAfterResponse();
  watchers_.erase(&subscription);
}

void platform_standin::HandleControl(http_exchange& exchange,
                                     asio::yield_context yield) {
  const auto body = ParseJson(exchange.request().body());
  if (body && body->is_object()) {
    faults_.down = body->value("down", faults_.down);
    faults_.silent = body->value("silent", faults_.silent);
    faults_.slow_ms = body->value("slow_ms", faults_.slow_ms);
    faults_.lose_answers = body->value("lose_answers", faults_.lose_answers);
    faults_.watch_lag_ms = body->value("watch_lag_ms", faults_.watch_lag_ms);
    faults_.stale_reads = body->value("stale_reads", faults_.stale_reads);
    if (body->value("save", false))
      saved_ = {values_, leases_, revision_};
    if (body->value("restore", false)) {
      values_ = saved_.values;
      leases_ = saved_.leases;
      revision_ = saved_.revision;
    }
    WakeWatchers();
  }
  exchange.RespondJson({{"reads", reads_},
                        {"writes", writes_},
                        {"keys", values_.size()},
                        {"watches", watchers_.size()}},
                       yield);
}

void platform_standin::HandlePutInstances(http_exchange& exchange,
                                          asio::yield_context yield) {
  std::string new_list = exchange.request().body();
  Spawn(io_, "list_lag", [this, new_list](asio::yield_context inner) {
    Sleep(io_, list_lag_, inner);
    instance_list_ = new_list;
  });
  exchange.RespondJson({{"ok", true}}, yield);
}

}  // namespace cactusward::model
