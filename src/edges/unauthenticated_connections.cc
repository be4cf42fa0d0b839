#include "src/edges/unauthenticated_connections.h"

#include <algorithm>

namespace cactusward {

unauthenticated_connections::connection_id unauthenticated_connections::Add(
    closer close,
    time_point now) {
  const connection_id id = next_id_++;
  entries_.push_back({id, std::move(close), now});
  return id;
}

bool unauthenticated_connections::Remove(connection_id id) {
  const auto it =
      std::find_if(entries_.begin(), entries_.end(),
                   [id](const entry& other) { return other.id == id; });
  if (it == entries_.end())
    return false;
  entries_.erase(it);
  return true;
}

void unauthenticated_connections::Expire(time_point now) {
  while (!entries_.empty() && now - entries_.front().since >= limits_.timeout)
    CloseOldest("authentication_timeout");
}

std::optional<time_point> unauthenticated_connections::MakeRoom(
    time_point now) {
  if (entries_.size() < limits_.max_connections)
    return std::nullopt;
  const time_point closable_at = entries_.front().since + limits_.min_age;
  if (now < closable_at)
    return closable_at;
  CloseOldest("unauthenticated_connections");
  return std::nullopt;
}

void unauthenticated_connections::CloseOldest(std::string_view cause) {
  const closer close = std::move(entries_.front().close);
  entries_.pop_front();
  close(cause);
}

}  // namespace cactusward
