// Client of the key-value service through the JSON gateway of the etcd v3 API.
#ifndef CACTUSWARD_SRC_EDGES_ETCD_STORE_H_
#define CACTUSWARD_SRC_EDGES_ETCD_STORE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "cactusward/key_value_store.h"
#include "src/edges/http_client.h"

namespace cactusward {

// Not thread-safe.
class etcd_store : public key_value_store {
 public:
  // Precondition: `client` outlives the store.
  etcd_store(http_client* client, std::string address);

  result<std::optional<stored_value>> Get(const std::string& key,
                                          time_point deadline,
                                          asio::yield_context yield) override;
  result<std::vector<stored_value>> List(const std::string& prefix,
                                         time_point deadline,
                                         asio::yield_context yield) override;
  result<swap_outcome> CompareAndSwap(
      const std::string& key,
      const std::optional<stored_value>& expected,
      const std::vector<key_write>& writes,
      time_point deadline,
      asio::yield_context yield) override;
  result<std::int64_t> GrantLease(milliseconds time_to_live,
                                  time_point deadline,
                                  asio::yield_context yield) override;
  std::error_code Watch(const std::string& key,
                        std::int64_t revision,
                        const change_handler& handler,
                        asio::yield_context yield) override;
  std::error_code WatchPrefix(const std::string& prefix,
                              std::int64_t revision,
                              const change_handler& handler,
                              asio::yield_context yield) override;

  // Requests sent so far; reported as load on the key-value service.
  std::int64_t calls() const { return calls_; }

 private:
  result<nlohmann::json> Post(const std::string& target,
                              const nlohmann::json& body,
                              time_point deadline,
                              asio::yield_context yield);

  // Watches a range of keys, given as in a create_request.
  std::error_code WatchRange(nlohmann::json range,
                             std::int64_t revision,
                             const change_handler& handler,
                             asio::yield_context yield);

  http_client* client_;
  std::string address_;
  std::int64_t calls_ = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_ETCD_STORE_H_
