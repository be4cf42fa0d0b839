// Detection of peers whose TCP stack no longer responds.
#ifndef CACTUSWARD_SRC_EDGES_DEAD_PEER_H_
#define CACTUSWARD_SRC_EDGES_DEAD_PEER_H_

#include <cstddef>

#include "src/edges/net.h"

namespace cactusward {

// Makes the kernel close the connection when the peer no longer responds for
// `limit`; 0: it does not.
// @param unread_bytes the most bytes that are sent without the peer reading
//     them: beyond what every peer buffers, a peer that does not read for a
//     while would be taken for a dead one, and only the time in which nothing
//     is sent is covered. Thread-safe.
void SetDeadPeerTimeout(tcp::socket& socket,
                        milliseconds limit,
                        std::size_t unread_bytes);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_EDGES_DEAD_PEER_H_
