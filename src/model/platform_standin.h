// Stand-in for the platform: the key-value service (a subset of the etcd v3
// JSON gateway) and the list of instances, which lags behind changes. Can
// simulate outages, slow responses, responses lost after a write took effect,
// and a service that comes back from an older copy.
#ifndef CACTUSWARD_SRC_MODEL_PLATFORM_STANDIN_H_
#define CACTUSWARD_SRC_MODEL_PLATFORM_STANDIN_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "src/edges/http_server.h"

namespace cactusward::model {

struct platform_faults {
  bool down = false;     // closes every connection, also of watches
  bool silent = false;   // never responds
  int slow_ms = 0;       // delay of each response
  int lose_answers = 0;  // next writes that are applied without a response
  int watch_lag_ms = 0;
  bool stale_reads = false;  // reads return the previous value
};

class platform_standin : public http_handler {
 public:
  platform_standin(asio::io_context& io, milliseconds list_lag);

  bool Listen(const std::string& address) { return server_.Listen(address); }
  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  struct stored_entry {
    std::string value;
    std::string previous_value;  // value before the last write
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
  };
  struct watcher {
    explicit watcher(asio::io_context& io) : timer(io) {}
    std::string key;
    std::string range_end;  // empty: only `key`
    std::int64_t sent_revision = 0;
    asio::steady_timer timer;
    bool disconnected = false;
  };

  void HandleKeyValue(http_exchange& exchange,
                      const std::string& path,
                      asio::yield_context yield);
  nlohmann::json Range(const nlohmann::json& request);
  nlohmann::json Txn(const nlohmann::json& request, bool* applied);
  void Put(const nlohmann::json& put);
  void Delete(const std::string& key);
  nlohmann::json EncodeKeyValue(const std::string& key,
                                const stored_entry& value) const;
  void HandleWatch(http_exchange& exchange,
                   const nlohmann::json& request,
                   asio::yield_context yield);
  void WakeWatchers();
  // The value with the lowest revision that `watcher` has not been sent yet;
  // the end of `values_` if there is none.
  std::map<std::string, stored_entry>::const_iterator NextChange(
      const watcher& watcher) const;
  void ExpireLeases();
  void HandleControl(http_exchange& exchange, asio::yield_context yield);
  void HandlePutInstances(http_exchange& exchange, asio::yield_context yield);

  asio::io_context& io_;
  milliseconds list_lag_;
  http_server server_;
  platform_faults faults_;
  std::map<std::string, stored_entry> values_;
  std::map<std::int64_t, time_point> leases_;
  std::set<watcher*> watchers_;
  std::string instance_list_ = "[]";
  std::int64_t revision_ = 0;
  // Written by the control call "save", returned to by "restore".
  struct {
    std::map<std::string, stored_entry> values;
    std::map<std::int64_t, time_point> leases;
    std::int64_t revision = 0;
  } saved_;
  std::int64_t next_lease_ = 1;
  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
};

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_PLATFORM_STANDIN_H_
