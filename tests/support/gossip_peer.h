// A member of a fleet that only exchanges gossip.
#ifndef CACTUSWARD_TESTS_SUPPORT_GOSSIP_PEER_H_
#define CACTUSWARD_TESTS_SUPPORT_GOSSIP_PEER_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "cactusward/membership.h"
#include "src/edges/gossip_socket.h"
#include "tests/support/small_fleet.h"

namespace cactusward::testing {

// Era of a registry that was never restored.
inline constexpr std::int64_t kFirstEra = 1;

// A member of the fleet that exchanges gossip and has no catalog.
class gossip_peer {
 public:
  using listener = std::function<void(const gossip_message&)>;

  gossip_peer(small_fleet& fleet, listener on_message)
      : table_({"observer", 1, member_state::kAlive, FreeAddress(),
                FreeAddress(), "z"},
               {},
               1),
        socket_(fleet.io,
                fleet.settings.peer_secret,
                [this](std::string_view bytes) { Receive(bytes); }),
        on_message_(std::move(on_message)) {}

  bool Listen() { return socket_.Listen(table_.self().peer_address); }
  // Pings `address`, reporting `revision` as confirmed just now; 0: without a
  // revision.
  void Ping(const std::string& address,
            std::int64_t revision,
            std::int64_t config_version = 0) {
    gossip_message ping = table_.JoinPing(address).message;
    ping.catalog_position = {kFirstEra, revision};
    ping.config_number = config_version;
    ping.confirmed_age_ms = revision > 0 ? 0 : -1;
    socket_.Send(address, EncodeGossip(ping));
  }
  // Reports all changes of upstreams after a revision, up to that of `change`.
  void SendChange(const std::string& address,
                  std::int64_t after,
                  const catalog_change& change,
                  std::int64_t era = kFirstEra) {
    gossip_message update = table_.BuildMessage(gossip_kind::kUpdate);
    update.catalog_position = {era, change.revision};
    update.changes_after = after;
    update.changes = {change};
    socket_.Send(address, EncodeGossip(update));
  }

 private:
  void Receive(std::string_view bytes) {
    const auto message = DecodeGossip(bytes);
    if (!message)
      return;
    for (const outbound_message& out : table_.Receive(*message, clock::now()))
      socket_.Send(out.peer_address, EncodeGossip(out.message));
    on_message_(*message);
  }

  member_table table_;
  gossip_socket socket_;
  listener on_message_;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_GOSSIP_PEER_H_
