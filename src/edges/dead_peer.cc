#include "src/edges/dead_peer.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

#include "src/kernel/log.h"

namespace cactusward {
namespace {

constexpr int kKeepAliveProbes = 2;
constexpr int kMillisecondsPerSecond = 1000;
// Every peer buffers a message of this size without reading it.
constexpr std::size_t kMaxBufferedMessageBytes = 8ULL * 1024;

}  // namespace

// TCP_USER_TIMEOUT covers unacknowledged data, keep-alive probes cover the time
// in which nothing is sent. TCP_USER_TIMEOUT also covers data that waits since
// the peer's buffers are full, so it is set only if all data fits into them.
void SetDeadPeerTimeout(tcp::socket& socket,
                        milliseconds limit,
                        std::size_t unread_bytes) {
  if (limit.count() <= 0)
    return;
  const int handle = socket.native_handle();
  const int limit_ms = static_cast<int>(limit.count());
  const int probe_s =
      std::max(1, limit_ms / kMillisecondsPerSecond / (kKeepAliveProbes + 1));
  const auto set = [handle](int level, int option, int value) {
    return ::setsockopt(handle, level, option, &value, sizeof(value)) == 0;
  };
  const int unacknowledged_ms =
      unread_bytes <= kMaxBufferedMessageBytes ? limit_ms : 0;
  if (!set(SOL_SOCKET, SO_KEEPALIVE, 1) ||
      !set(IPPROTO_TCP, TCP_KEEPIDLE, probe_s) ||
      !set(IPPROTO_TCP, TCP_KEEPINTVL, probe_s) ||
      !set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes) ||
      !set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms))
    Log(log_level::kWarning, "socket_option_refused",
        {{"limit_ms", limit_ms},
         {"outcome", "connection loss is detected only at the deadline"}});
}

}  // namespace cactusward
