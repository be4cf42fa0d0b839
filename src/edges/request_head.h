// Parts of a request's head.
#ifndef CACTUSWARD_SRC_EDGES_REQUEST_HEAD_H_
#define CACTUSWARD_SRC_EDGES_REQUEST_HEAD_H_

#include <string_view>

#include "src/edges/net.h"

namespace cactusward {

// Path without the query. Valid as long as `head`. Thread-safe.
inline std::string_view PathOf(const http::request_header<>& head) {
  const auto target = head.target();
  const std::string_view text(target.data(), target.size());
  return text.substr(0, text.find('?'));
}

// The Host field without the port. Valid as long as `head`. Thread-safe.
inline std::string_view HostOf(const http::request_header<>& head) {
  const auto value = head[http::field::host];
  const std::string_view host(value.data(), value.size());
  return host.substr(0, host.find(':'));
}

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_REQUEST_HEAD_H_
