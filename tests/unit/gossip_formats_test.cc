// Gossip between instances of different releases: golden messages of released
// formats, messages of later formats, and fleets of both.
#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>

#include "cactusward/membership.h"
#include "cactusward/peer_formats.h"
#include "src/kernel/cbor.h"

namespace cactusward {
namespace {

using nlohmann::json;

constexpr std::size_t kTargetIndex = 4;
constexpr std::size_t kMembersIndex = 8;

std::string ReadGolden(int format) {
  std::ifstream file(std::string(CACTUSWARD_GOLDEN_FOLDER) + "/gossip-format-" +
                     std::to_string(format) + ".hex");
  std::string hex;
  file >> hex;
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

std::string ToHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    hex += kDigits[static_cast<unsigned char>(c) >> 4U];
    hex += kDigits[static_cast<unsigned char>(c) & 0xfU];
  }
  return hex;
}

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

// The message of the golden files.
gossip_message GoldenMessage() {
  gossip_message m;
  m.kind = gossip_kind::kUpdate;
  m.sequence = 5;
  m.sender = {"edge-1@10.0.0.1",
              3,
              member_state::kAlive,
              "10.0.0.1:8227",
              "10.0.0.1:7340",
              "brno",
              {}};
  m.config_number = 12;
  m.confirmed_age_ms = 40;
  m.members = {{"edge-2@10.0.0.2",
                2,
                member_state::kSuspect,
                "10.0.0.2:8227",
                "10.0.0.2:7340",
                "zlin",
                {}}};
  m.suspects = {{1, 2, 3, true}};
  m.in_flight = {{4, 5}};
  m.leaving = {{6, 7}};
  m.catalog_position = {2, 900};
  m.changes_after = 898;
  m.changes = {{"runner-1", 899, std::string("{\"slots\":16}")},
               {"runner-2", 900, std::nullopt}};
  m.loads = {{8, 3, 2, 250, 90, 51'000, 14}};
  m.crashes = {{9, 10, {{11, {12, 13}}, {14, {}}}}};
  m.quarantines = {{{15, 16}, 3, 18, 17}};
  m.sound_parts = {{19, 20}};
  m.limits = {{21, 1'400, 22}, {23, -1, 24}};
  m.evacuations = {{"zlin", {2, 880}, true}, {"brno", {1, 77}, false}};
  return m;
}

// What releases that know only the base format accept.
result<gossip_message> DecodeAsBaseRelease(std::string_view bytes) {
  const json value = ParseCbor(bytes);
  if (!value.is_array() || value.size() != 21 || value[0] != 7 ||
      !value[kTargetIndex].is_string() || value[3].size() != 6)
    return {error_kind::kBadRequest, "malformed gossip message"};
  return DecodeGossip(bytes);
}

TEST_CASE("messages of released gossip formats are read") {
  struct row {
    int format;
    int sender_format;
    bool has_evacuations;
  };
  const row r =
      GENERATE(values<row>({{7, 7, false}, {8, 8, false}, {9, 9, true}}));
  CAPTURE(r.format);
  const std::string golden = ReadGolden(r.format);
  REQUIRE_FALSE(golden.empty());
  const auto message = DecodeGossip(golden);
  REQUIRE(message);
  gossip_message expected = GoldenMessage();
  expected.sender_format = r.sender_format;
  expected.has_evacuations = r.has_evacuations;
  if (!r.has_evacuations)
    expected.evacuations.clear();
  CHECK(*message == expected);
}

TEST_CASE("written formats have not changed") {
  CHECK(ToHex(EncodeGossip(GoldenMessage())) ==
        ToHex(ReadGolden(kGossipFormat)));
  // The base format differs only in the announcement of newer ones.
  json written = ParseCbor(EncodeGossip(GoldenMessage(), kBaseGossipFormat));
  REQUIRE(written.size() > kTargetIndex);
  CHECK(written[kTargetIndex] == "reads-format-9");
  written[kTargetIndex] = "";
  CHECK(ToHex(ToCbor(written)) == ToHex(ReadGolden(kBaseGossipFormat)));
}

TEST_CASE("the base format announces the formats that its sender reads") {
  struct row {
    gossip_kind kind;
    std::string target;
    int expected;
  };
  const row rows[] = {{gossip_kind::kPing, "", kGossipFormat},
                      {gossip_kind::kAck, "", kGossipFormat},
                      {gossip_kind::kUpdate, "", kGossipFormat},
                      {gossip_kind::kPingRequest, "edge-3", kBaseGossipFormat}};
  for (const row& r : rows) {
    gossip_message message = GoldenMessage();
    message.kind = r.kind;
    message.target = r.target;
    const std::string bytes = EncodeGossip(message, kBaseGossipFormat);
    REQUIRE(DecodeAsBaseRelease(bytes));
    const auto decoded = DecodeGossip(bytes);
    REQUIRE(decoded);
    CHECK(decoded->sender_format == r.expected);
    CHECK(decoded->target == r.target);
  }
}

TEST_CASE("messages of later gossip formats are read for what is known") {
  struct row {
    const char* name;
    std::function<void(json&)> change;
    std::function<void(gossip_message&)> expect;
  };
  const row rows[] = {
      {"appended fields",
       [](json& m) {
         m[0] = 10;
         m[21] = 10;
         m.push_back(json::object({{"subset", 4}}));
         m.push_back("x");
       },
       [](gossip_message& m) { m.sender_format = 10; }},
      {"appended fields of list items",
       [](json& m) {
         m[9][0].push_back(1);
         m[10][0].push_back("x");
         m[13][0].push_back(json::array({1}));
         m[15][0].push_back(nullptr);
         m[16][0].push_back(2.5);
         m[17][0].push_back(3);
         m[18][0].push_back(4);
         m[19][0].push_back(5);
         m[24][0].push_back(6);
       },
       [](gossip_message&) {}},
      {"appended fields of members",
       [](json& m) {
         m[3].push_back(17);
         m[kMembersIndex][0].push_back("build 4");
       },
       [](gossip_message& m) {
         m.sender.extensions = ToCbor(json::array({17}));
         m.members[0].extensions = ToCbor(json::array({"build 4"}));
       }},
      {"another kind of message", [](json& m) { m[1] = 9; },
       [](gossip_message& m) { m.unreadable_fields = 1; }},
      {"a member in another state", [](json& m) { m[kMembersIndex][0][2] = 7; },
       [](gossip_message& m) {
         m.members.clear();
         m.unreadable_fields = 1;
       }},
      {"loads of another type", [](json& m) { m[13] = "none"; },
       [](gossip_message& m) {
         m.loads.clear();
         m.unreadable_fields = 1;
       }},
      {"one of two items unreadable",
       [](json& m) { m[19].push_back(json::array({"x"})); },
       [](gossip_message& m) { m.unreadable_fields = 1; }},
      {"an unreadable evacuation", [](json& m) { m[24][0][1] = "2"; },
       [](gossip_message& m) {
         m.evacuations.erase(m.evacuations.begin());
         m.has_evacuations = false;
         m.unreadable_fields = 1;
       }},
      // The other changes would not reach the sender's position either.
      {"an unreadable change of an upstream",
       [](json& m) {
         m[15].push_back(json::array({1, 2, 3}));
       },
       [](gossip_message& m) {
         m.changes.clear();
         m.changes_after = -1;
         m.unreadable_fields = 1;
       }},
      {"a position of another type", [](json& m) { m[12] = "900"; },
       [](gossip_message& m) {
         m.catalog_position = {};
         m.unreadable_fields = 1;
       }},
      {"a list beyond its limit",
       [](json& m) {
         for (int i = 0; i < 600; ++i)
           m[18].push_back(json::array({i, i}));
       },
       [](gossip_message& m) {
         m.sound_parts.clear();
         m.unreadable_fields = 1;
       }},
      {"numbers out of range", [](json& m) { m[13][0][1] = 1ULL << 63U; },
       [](gossip_message& m) {
         m.loads[0].running = std::numeric_limits<int>::max();
       }},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    json encoded = ParseCbor(ReadGolden(kGossipFormat));
    REQUIRE(encoded.is_array());
    r.change(encoded);
    const auto message = DecodeGossip(ToCbor(encoded));
    REQUIRE(message);
    gossip_message expected = GoldenMessage();
    r.expect(expected);
    CHECK(*message == expected);
  }
}

TEST_CASE("gossip without a readable sender is rejected") {
  const std::function<void(json&)> changes[] = {
      [](json& m) { m[3] = "edge-1"; },
      [](json& m) { m[3][0] = ""; },
      [](json& m) { m[3][1] = -1; },
      [](json& m) { m[0] = 6; },
      [](json& m) { m[0] = "8"; },
      [](json& m) {
        while (m.size() > 20)
          m.erase(20);
      },
      [](json& m) {
        m = json::object({{"0", 8}});
      }};
  for (const auto& change : changes) {
    json encoded = ParseCbor(ReadGolden(kGossipFormat));
    change(encoded);
    CHECK_FALSE(DecodeGossip(ToCbor(encoded)));
  }
}

TEST_CASE("fields of members that are not known are passed on") {
  member self;
  self.name = "self";
  member_table table(self, {}, 1);
  gossip_message message;
  message.sender = {"peer", 4, member_state::kAlive, "a:1", "a:2", "z", {}};
  member update = {"other", 2,   member_state::kAlive,          "b:1",
                   "b:2",   "z", ToCbor(json::array({"later"}))};
  message.members = {update};
  table.Receive(message, time_point());
  CHECK(table.Find("other") == update);
  // An instance of an earlier release reports a later state without them.
  message.members[0].state = member_state::kSuspect;
  message.members[0].extensions.clear();
  table.Receive(message, time_point());
  update.state = member_state::kSuspect;
  CHECK(table.Find("other") == update);
  const auto passed_on =
      DecodeGossip(EncodeGossip(table.BuildMessage(gossip_kind::kUpdate)));
  REQUIRE(passed_on);
  CHECK(std::count(passed_on->members.begin(), passed_on->members.end(),
                   update) == 1);
  const auto to_base_release = DecodeAsBaseRelease(EncodeGossip(
      table.BuildMessage(gossip_kind::kUpdate), kBaseGossipFormat));
  CHECK(to_base_release);
}

TEST_CASE("messages are written in the newest format that both sides read") {
  struct step {
    enum { kRecord, kForget, kRetainNone } what;
    int format;
    int expected;
  };
  const std::vector<step> rows[] = {
      {},
      {{step::kRecord, 7, 7}},
      {{step::kRecord, 8, 8}, {step::kRecord, 7, 7}, {step::kRecord, 8, 8}},
      {{step::kRecord, 8, 8}, {step::kRecord, 9, 9}},
      {{step::kRecord, 10, 9}},
      {{step::kRecord, 8, 8}, {step::kForget, 0, 7}},
      {{step::kRecord, 8, 8}, {step::kRetainNone, 0, 7}},
  };
  for (const auto& steps : rows) {
    peer_formats formats;
    CHECK(formats.FormatFor("a") == kBaseGossipFormat);
    for (const step& s : steps) {
      if (s.what == step::kRecord)
        formats.Record("a", s.format);
      else if (s.what == step::kForget)
        formats.Forget("a");
      else
        formats.Retain({});
      CHECK(formats.FormatFor("a") == s.expected);
    }
  }
  peer_formats formats;
  member oldest_peer, old_peer, new_peer, silent_peer;
  oldest_peer.peer_address = "oldest";
  old_peer.peer_address = "old";
  new_peer.peer_address = "new";
  silent_peer.peer_address = "silent";
  formats.Record("oldest", 7);
  formats.Record("old", 8);
  formats.Record("new", 9);
  CHECK(formats.CountOlder(
            {&oldest_peer, &old_peer, &new_peer, &silent_peer}) == 2);
}

// Instances of two releases that exchange messages in lockstep, each in the
// format that membership_service would select.
class mixed_fleet {
 public:
  explicit mixed_fleet(std::size_t size) : nodes_(size) {
    for (std::size_t i = 0; i < size; ++i)
      Start(i, false);
  }
  // Starts the process of an instance, or replaces it without notice.
  void Start(std::size_t i, bool upgraded) {
    member self;
    self.name = "m" + std::to_string(i);
    self.incarnation = 1;
    self.peer_address = "a" + std::to_string(i);
    nodes_[i] = {
        upgraded, std::make_unique<member_table>(self, kSettings, ++seed_), {}};
    for (std::size_t seed = 0; seed < 3; ++seed) {
      if (seed != i && nodes_[seed].table)
        Deliver(i, {nodes_[i].table->JoinPing("a" + std::to_string(seed))});
    }
  }
  void Run(int ms) {
    for (int t = 0; t < ms; t += 50) {
      now_ += milliseconds(50);
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        Deliver(i, nodes_[i].table->Tick(now_));
    }
  }
  // Pairs of instances of which one does not consider the other alive.
  int CountMissing() const {
    int missing = 0;
    for (const node& each : nodes_) {
      for (const node& other : nodes_) {
        const auto known = each.table->Find(other.table->self().name);
        missing += !known || known->state != member_state::kAlive ? 1 : 0;
      }
    }
    return missing;
  }
  int CountSent(int format) const {
    const auto found = sent_.find(format);
    return found == sent_.end() ? 0 : found->second;
  }
  void ResetCounts() { sent_.clear(); }

 private:
  struct node {
    bool upgraded = false;
    std::unique_ptr<member_table> table;
    peer_formats formats;
  };
  inline static const membership_settings kSettings{};

  void Deliver(std::size_t from,
               const std::vector<outbound_message>& messages) {
    for (const outbound_message& out : messages) {
      node& sender = nodes_[from];
      if (out.message.kind == gossip_kind::kPingRequest)
        sender.formats.Forget(out.message.target_address);
      const int format = sender.upgraded
                             ? sender.formats.FormatFor(out.peer_address)
                             : kBaseGossipFormat;
      std::string bytes = EncodeGossip(out.message, format);
      if (!sender.upgraded && out.message.kind != gossip_kind::kPingRequest) {
        json plain = ParseCbor(bytes);
        plain[kTargetIndex] = "";
        bytes = ToCbor(plain);
      }
      ++sent_[format];
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        node& receiver = nodes_[i];
        if (!receiver.table ||
            receiver.table->self().peer_address != out.peer_address)
          continue;
        const auto message = receiver.upgraded ? DecodeGossip(bytes)
                                               : DecodeAsBaseRelease(bytes);
        if (!message)
          continue;
        if (receiver.formats.OnReceived(*message, *receiver.table) &&
            receiver.upgraded && message->kind == gossip_kind::kPing)
          receiver.table->Suspect(message->sender.name, now_);
        Deliver(i, receiver.table->Receive(*message, now_));
      }
    }
  }

  std::vector<node> nodes_;
  std::map<int, int> sent_;
  std::uint64_t seed_ = 0;
  time_point now_ = time_point() + std::chrono::hours(1);
};

TEST_CASE("a fleet stays connected while it is upgraded and rolled back") {
  constexpr std::size_t kSize = 9;
  mixed_fleet fleet(kSize);
  fleet.Run(6'000);
  REQUIRE(fleet.CountMissing() == 0);
  for (const bool upgraded : {true, false}) {
    for (std::size_t i = 0; i < kSize; ++i) {
      fleet.Start(i, upgraded);
      fleet.Run(4'000);
      CAPTURE(upgraded, i);
      CHECK(fleet.CountMissing() == 0);
    }
    fleet.Run(6'000);
    CHECK(fleet.CountMissing() == 0);
    fleet.ResetCounts();
    fleet.Run(2'000);
    // Where all instances read the newest format, only it is used.
    CHECK(fleet.CountSent(upgraded ? kBaseGossipFormat : kGossipFormat) == 0);
  }
}

}  // namespace
}  // namespace cactusward
