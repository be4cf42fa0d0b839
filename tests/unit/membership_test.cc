// The membership protocol over a simulated network.
#include <catch2/catch.hpp>
#include <set>

#include "cactusward/membership.h"

namespace cactusward {
namespace {

// Members that exchange messages in lockstep. Links can be blocked in one
// direction.
class simulated_network {
 public:
  explicit simulated_network(int size) {
    for (int i = 0; i < size; ++i)
      Add(i, 1);
    for (auto& table : tables_)
      Deliver({table.JoinPing(Address(0))}, table.self().peer_address);
  }
  void Add(int i, std::uint64_t incarnation) {
    member self;
    self.name = "m" + std::to_string(i);
    self.incarnation = incarnation;
    self.peer_address = Address(i);
    const auto seed = static_cast<std::uint64_t>(i) + 7;
    if (i < static_cast<int>(tables_.size()))
      tables_[static_cast<std::size_t>(i)] = member_table(self, {}, seed);
    else
      tables_.emplace_back(self, membership_settings(), seed);
  }
  static std::string Address(int i) { return "a" + std::to_string(i); }
  member_table& at(int i) { return tables_[static_cast<std::size_t>(i)]; }
  void Suspend(int i) { suspended_.insert(Address(i)); }
  void Resume(int i) { suspended_.erase(Address(i)); }
  void BlockLink(int from, int to) {
    blocked_links_.insert({Address(from), Address(to)});
  }
  void UnblockLinks() { blocked_links_.clear(); }
  void Run(int ms) {
    for (int t = 0; t < ms; t += 50) {
      now_ += milliseconds(50);
      for (auto& table : tables_) {
        if (suspended_.count(table.self().peer_address) == 0)
          Deliver(table.Tick(now_), table.self().peer_address);
      }
    }
  }
  int CountMembersSeeing(const std::string& name, member_state state) {
    int count = 0;
    for (auto& table : tables_) {
      const auto known = table.Find(name);
      if (table.self().name != name && known && known->state == state)
        ++count;
    }
    return count;
  }
  void Deliver(const std::vector<outbound_message>& messages,
               const std::string& from) {
    for (const outbound_message& out : messages) {
      if (blocked_links_.count({from, out.peer_address}) > 0 ||
          suspended_.count(out.peer_address) > 0)
        continue;
      for (auto& table : tables_) {
        if (table.self().peer_address != out.peer_address)
          continue;
        // Messages are encoded and decoded, as between processes.
        const auto message = DecodeGossip(EncodeGossip(out.message));
        REQUIRE(message);
        REQUIRE(*message == out.message);
        Deliver(table.Receive(*message, now_), out.peer_address);
      }
    }
  }

 private:
  std::vector<member_table> tables_;
  std::set<std::string> suspended_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  time_point now_ = time_point() + std::chrono::hours(1);
};

TEST_CASE("every member discovers all others") {
  simulated_network network(9);
  network.Run(6000);
  for (int i = 0; i < 9; ++i)
    CHECK(network.at(i).Live().size() == 9);
}

TEST_CASE("a suspended member is dead, and alive after it resumes") {
  simulated_network network(9);
  network.Run(6000);
  network.Suspend(4);
  network.Run(8000);
  CHECK(network.CountMembersSeeing("m4", member_state::kDead) == 8);
  network.Resume(4);
  network.Run(1000);
  network.Deliver({network.at(4).JoinPing(simulated_network::Address(0))},
                  simulated_network::Address(4));
  network.Run(6000);
  CHECK(network.CountMembersSeeing("m4", member_state::kAlive) == 8);
  CHECK(network.at(4).self().incarnation > 1);
}

TEST_CASE("a blocked link between two members makes neither dead") {
  simulated_network network(7);
  network.Run(6000);
  const bool both_ways = GENERATE(true, false);
  network.BlockLink(1, 2);
  if (both_ways)
    network.BlockLink(2, 1);
  network.Run(20'000);
  CHECK(network.CountMembersSeeing("m1", member_state::kAlive) == 6);
  CHECK(network.CountMembersSeeing("m2", member_state::kAlive) == 6);
}

TEST_CASE("a new incarnation replaces the old one") {
  simulated_network network(5);
  network.Run(6000);
  network.Add(3, 50);
  network.Deliver({network.at(3).JoinPing(simulated_network::Address(0))},
                  simulated_network::Address(3));
  network.Run(6000);
  for (int i = 0; i < 5; ++i)
    CHECK(network.at(i).Find("m3")->incarnation >= 50);
}

TEST_CASE("all members learn that a member left") {
  simulated_network network(6);
  network.Run(6000);
  network.Deliver(network.at(2).Leave(time_point()),
                  simulated_network::Address(2));
  network.Suspend(2);
  network.Run(3000);
  CHECK(network.CountMembersSeeing("m2", member_state::kLeft) == 5);
}

TEST_CASE("precedence of membership updates") {
  struct row {
    std::uint64_t next_incarnation;
    member_state next;
    member_state known;
    bool expected;
  };
  const row row = GENERATE(values<struct row>({
      {1, member_state::kAlive, member_state::kAlive, false},
      {1, member_state::kSuspect, member_state::kAlive, true},
      {1, member_state::kAlive, member_state::kDead, false},
      {2, member_state::kAlive, member_state::kDead, true},
      {0, member_state::kDead, member_state::kAlive, false},
      {1, member_state::kLeft, member_state::kDead, true},
  }));
  member known;
  known.incarnation = 1;
  known.state = row.known;
  member next = known;
  next.incarnation = row.next_incarnation;
  next.state = row.next;
  CHECK(Supersedes(next, known) == row.expected);
}

TEST_CASE("malformed gossip messages are rejected") {
  gossip_message message;
  message.sender.name = "m";
  message.suspects = {{1, 2, 3, true}};
  message.in_flight = {{4, 5}};
  message.leaving = {{6, 7}};
  message.crashes = {{8, 9, {{10, {11, 12}}, {13, {}}}}};
  message.quarantines = {{{14, 15}, 3, 17, 16}};
  message.sound_parts = {{18, 19}};
  message.limits = {{20, 1'400, 21}, {22, -1, 23}};
  const std::string encoded = EncodeGossip(message);
  CHECK(*DecodeGossip(encoded) == message);
  for (std::size_t length = 0; length < encoded.size(); ++length)
    CHECK_FALSE(DecodeGossip(std::string_view(encoded).substr(0, length)));
  CHECK_FALSE(DecodeGossip(encoded + "x"));
  CHECK_FALSE(DecodeGossip(std::string(40, '\x9f')));
  CHECK_FALSE(DecodeGossip(std::string(1'000, '\x81')));
}

}  // namespace
}  // namespace cactusward
