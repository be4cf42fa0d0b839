// Interface of the registry that holds the configuration and the list of
// upstreams.
#ifndef CACTUSWARD_SRC_RELAY_CATALOG_SOURCE_H_
#define CACTUSWARD_SRC_RELAY_CATALOG_SOURCE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/forward_config.h"
#include "cactusward/registry_position.h"
#include "cactusward/result.h"
#include "cactusward/upstream_catalog.h"
#include "src/edges/net.h"

namespace cactusward {

enum class catalog_item_kind { kConfig, kUpstream, kEvacuation, kOther };

// One value stored in the registry.
struct catalog_item {
  catalog_item_kind kind = catalog_item_kind::kOther;
  // Of the upstream, or the name of the evacuated zone; empty for other kinds.
  std::string id;
  registry_position position;           // of its last change
  std::optional<std::string> document;  // empty if the value was removed

  friend bool operator==(const catalog_item& a, const catalog_item& b) {
    return a.kind == b.kind && a.id == b.id && a.position == b.position &&
           a.document == b.document;
  }
};

struct catalog_batch {
  std::vector<catalog_item> items;
  registry_position position;  // up to which the batch covers the registry

  friend bool operator==(const catalog_batch& a, const catalog_batch& b) {
    return a.items == b.items && a.position == b.position;
  }
};

// Not thread-safe, except where noted. Call from the coroutine that owns
// `yield`.
class catalog_source {
 public:
  virtual ~catalog_source() = default;

  // Reads all upstreams. Changes after the batch's revision may or may not be
  // included.
  // @return kStoreUnavailable when the registry did not respond or refused.
  virtual result<catalog_batch> ReadUpstreams(asio::yield_context yield) = 0;
  // Waits for changes after `after`; an empty batch when there were none.
  // @return kStoreUnavailable; kNotFound when the registry's history does not
  //     contain `after`, since it was discarded or the registry restored, so
  //     that a complete read is required.
  virtual result<catalog_batch> WaitForChanges(const registry_position& after,
                                               asio::yield_context yield) = 0;
  // Reads the configuration, if there is one, and all evacuations; the position
  // of a registry without a revision may have none.
  // @return kStoreUnavailable.
  virtual result<catalog_batch> ReadConfig(asio::yield_context yield) = 0;
  // Reads the registry's current position. @return kStoreUnavailable.
  virtual result<registry_position> ReadPosition(asio::yield_context yield) = 0;

  // Calls `pause` between steps of well under a millisecond, so that requests
  // are not delayed while a large configuration is decoded.
  // @return kConfigInvalid when `document` is not a configuration. Thread-safe.
  virtual result<std::shared_ptr<const forward_config>> DecodeConfig(
      const std::string& document,
      const std::function<void()>& pause) const = 0;
  // @return kBadRequest when `document` is not an upstream entry. Thread-safe.
  virtual result<upstream_entry> DecodeUpstream(
      const std::string& id,
      const std::string& document) const = 0;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_CATALOG_SOURCE_H_
