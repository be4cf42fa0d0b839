// Gossip formats of the peers, which may run other releases.
#ifndef CACTUSWARD_PEER_FORMATS_H_
#define CACTUSWARD_PEER_FORMATS_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "cactusward/membership.h"

namespace cactusward {

// Selects the format of messages to each peer address. Not thread-safe.
class peer_formats {
 public:
  // Takes note of what a message tells of its sender and of others.
  // @return whether the sender's process has been replaced by one of another
  //     release, which may not know the other instances yet.
  bool OnReceived(const gossip_message& message, const member_table& table);
  // Records that the process at `address` reads formats up to `newest`.
  void Record(const std::string& address, int newest);
  // The process at `address` did not answer: perhaps it was replaced by one of
  // an earlier release.
  void Forget(const std::string& address);
  // The newest format that this release writes and the process at `address` is
  // known to read.
  int FormatFor(const std::string& address) const;
  // Number of `peers` that are known to read only formats before kGossipFormat.
  std::size_t CountOlder(const std::vector<const member*>& peers) const;
  // Drops all addresses but those of `peers`.
  void Retain(const std::vector<const member*>& peers);

 private:
  std::unordered_map<std::string, int> newest_;
};

}  // namespace cactusward

#endif  // CACTUSWARD_PEER_FORMATS_H_
