// Preloaded into a process: connections to the TCP ports listed in the file
// $REFUSED_PORTS_FILE are refused, as by a network that rejects them. All other
// processes still reach these ports. Ports are separated by spaces; without the
// file nothing is refused.
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <fstream>

namespace {

bool IsRefused(int port) {
  const char* path = std::getenv("REFUSED_PORTS_FILE");
  if (!path)
    return false;
  std::ifstream file(path);
  int refused = 0;
  while (file >> refused) {
    if (refused == port)
      return true;
  }
  return false;
}

}  // namespace

extern "C" int connect(int handle, const sockaddr* address, socklen_t size) {
  static const auto next =
      reinterpret_cast<decltype(&connect)>(dlsym(RTLD_NEXT, "connect"));
  if (address->sa_family == AF_INET &&
      IsRefused(
          ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port))) {
    errno = ECONNREFUSED;
    return -1;
  }
  return next(handle, address, size);
}
