// Interface to the platform's key-value service.
#ifndef CACTUSWARD_KEY_VALUE_STORE_H_
#define CACTUSWARD_KEY_VALUE_STORE_H_

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/result.h"
#include "cactusward/time.h"

namespace cactusward {

struct stored_value {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;  // increases with each write of the key

  friend bool operator==(const stored_value& a, const stored_value& b) {
    return a.key == b.key && a.value == b.value &&
           a.mod_revision == b.mod_revision;
  }
};

// One write of a transaction. A write without a value deletes the key.
struct key_write {
  std::string key;
  std::optional<std::string> value;
  std::int64_t lease = 0;  // 0: none
};

// Outcome of a compare-and-swap.
struct swap_outcome {
  bool applied = false;
  std::int64_t mod_revision = 0;        // of the write, if applied
  std::optional<stored_value> current;  // stored value, if not applied
};

// A key-value service with compare-and-swap, leases and watches. It may come
// back from a copy that is some seconds old: writes that it acknowledged are
// then gone, leases too, and revisions are given out again. A revision alone
// therefore identifies neither a value nor a state of the service. Every call
// returns kStoreUnavailable if no response arrives by `deadline`; a write may
// then have taken effect. Not thread-safe; call from the coroutine that owns
// `yield`.
class key_value_store {
 public:
  using change_handler = std::function<void(const stored_value&)>;

  virtual ~key_value_store() = default;

  // Reads one key; no value if it is absent.
  virtual result<std::optional<stored_value>> Get(
      const std::string& key,
      time_point deadline,
      boost::asio::yield_context yield) = 0;

  // Reads all keys that begin with `prefix`, sorted by key.
  virtual result<std::vector<stored_value>> List(
      const std::string& prefix,
      time_point deadline,
      boost::asio::yield_context yield) = 0;

  // Applies `writes` atomically if `key` has the value and revision of
  // `expected` (no value: if it is absent).
  virtual result<swap_outcome> CompareAndSwap(
      const std::string& key,
      const std::optional<stored_value>& expected,
      const std::vector<key_write>& writes,
      time_point deadline,
      boost::asio::yield_context yield) = 0;

  // Grants a lease; keys written under it are deleted when it expires.
  virtual result<std::int64_t> GrantLease(milliseconds time_to_live,
                                          time_point deadline,
                                          boost::asio::yield_context yield) = 0;

  // Reports puts of `key` after `revision` to `handler` until the stream ends.
  // @return the reason why the stream ended; never success.
  virtual std::error_code Watch(const std::string& key,
                                std::int64_t revision,
                                const change_handler& handler,
                                boost::asio::yield_context yield) = 0;

  // As Watch, for all keys that begin with `prefix`.
  // Precondition: `prefix` is not empty.
  virtual std::error_code WatchPrefix(const std::string& prefix,
                                      std::int64_t revision,
                                      const change_handler& handler,
                                      boost::asio::yield_context yield) = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_KEY_VALUE_STORE_H_
