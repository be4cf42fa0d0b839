// Bounds the connections between instances that have not authenticated yet.
#ifndef CACTUSWARD_SRC_EDGES_UNAUTHENTICATED_CONNECTIONS_H_
#define CACTUSWARD_SRC_EDGES_UNAUTHENTICATED_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string_view>

#include "cactusward/time.h"

namespace cactusward {

struct unauthenticated_limits {
  std::size_t max_connections = 64;
  // Time in which a connection must authenticate.
  milliseconds timeout{3'000};
  // A connection is not closed to make room for another one before this age.
  milliseconds min_age{250};
};

// The connections of one listening port that have not authenticated yet, oldest
// first. Without network or clock. Not thread-safe.
class unauthenticated_connections {
 public:
  using connection_id = std::uint64_t;
  // Closes the connection. `cause` is that of `caller_rejected`. Must not call
  // the list.
  using closer = std::function<void(std::string_view cause)>;

  explicit unauthenticated_connections(const unauthenticated_limits& limits)
      : limits_(limits) {}

  // Precondition: `now` does not decrease from call to call.
  connection_id Add(closer close, time_point now);
  // Takes out a connection that has authenticated or ended.
  // @return whether it was still in the list.
  bool Remove(connection_id id);
  // Closes and takes out connections that did not authenticate in time.
  void Expire(time_point now);
  // Closes the oldest connection if the limit is reached.
  // @return the time before which no further connection may be accepted, if the
  //     oldest one is too young to be closed.
  std::optional<time_point> MakeRoom(time_point now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    connection_id id = 0;
    closer close;
    time_point since;
  };

  void CloseOldest(std::string_view cause);

  unauthenticated_limits limits_;
  std::list<entry> entries_;
  connection_id next_id_ = 1;
};

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_UNAUTHENTICATED_CONNECTIONS_H_
