#include "cactusward/peer_formats.h"

#include <algorithm>

namespace cactusward {

bool peer_formats::OnReceived(const gossip_message& message,
                              const member_table& table) {
  for (const member& update : message.members) {
    const auto known = table.Find(update.name);
    if (known && update.incarnation > known->incarnation)
      Forget(update.peer_address);
  }
  // Of a ping request in the base format, the sender's format is not known.
  const bool is_request = message.kind == gossip_kind::kPingRequest;
  if (is_request)
    Forget(message.target_address);
  if (is_request && message.sender_format == kBaseGossipFormat)
    return false;
  const auto known = newest_.find(message.sender.peer_address);
  const bool replaced =
      known != newest_.end() && known->second != message.sender_format;
  Record(message.sender.peer_address, message.sender_format);
  return replaced;
}

void peer_formats::Record(const std::string& address, int newest) {
  newest_[address] = newest;
}

void peer_formats::Forget(const std::string& address) {
  newest_.erase(address);
}

int peer_formats::FormatFor(const std::string& address) const {
  const auto found = newest_.find(address);
  return found == newest_.end() ? kBaseGossipFormat
                                : std::min(found->second, kGossipFormat);
}

std::size_t peer_formats::CountOlder(
    const std::vector<const member*>& peers) const {
  return static_cast<std::size_t>(
      std::count_if(peers.begin(), peers.end(), [this](const member* peer) {
        const auto found = newest_.find(peer->peer_address);
        return found != newest_.end() && found->second < kGossipFormat;
      }));
}

void peer_formats::Retain(const std::vector<const member*>& peers) {
  std::unordered_map<std::string, int> kept;
  for (const member* peer : peers) {
    const auto found = newest_.find(peer->peer_address);
    if (found != newest_.end())
      kept.insert(*found);
  }
  newest_ = std::move(kept);
}

}  // namespace cactusward
