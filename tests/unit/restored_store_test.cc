// Tests of a registry that comes back from a copy: what it had acknowledged
// since then is lost, and its revisions are given out again.
#include <nlohmann/json.hpp>

#include "cactusward/membership.h"
#include "cactusward/upstream_catalog.h"
#include "tests/support/slow_catalog.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::ExtraInstanceSettings;
using testing::kPollPeriod;
using testing::kSettleTime;
using testing::runner_fake;
using testing::slow_catalog;
using testing::small_fleet;

// Time in which a change must take effect: the shortest `config_apply_ms` and
// `drain_ms` of the deployments.
constexpr milliseconds kApplyBound{2'000};
// Instances contact missing peers once a second.
constexpr milliseconds kJoinTime{2'500};
constexpr int kExtraInstances = 5;  // so that some do not watch the registry

// The entry of `runner` as of its heartbeat `sequence`.
std::string Heartbeat(const runner_fake& runner, bool leaving, int sequence) {
  auto entry = nlohmann::json::parse(runner.Entry("plain", leaving));
  entry["sequence"] = sequence;
  return entry.dump();
}

void PutFillers(small_fleet& fleet, int count) {
  for (int i = 0; i < count; ++i)
    fleet.store.Put("other", std::to_string(fleet.store.revision()));
}

// How the registry's history goes on after it was restored. The change is
// written between the fillers.
struct distance {
  const char* name;
  int lost;           // changes that are lost
  milliseconds wait;  // until the registry is written again
  int before;         // changes between the copy and the change
  int after;          // changes after it
};
constexpr milliseconds kAtOnce{0};
// Longer than the delay after a first failure of the registry.
constexpr milliseconds kReadBetween{500};
const distance kDistances[] = {
    {"nothing was lost", 0, kReadBetween, 0, 0},
    {"far below the watched revision", 8, kReadBetween, 0, 0},
    {"just below the watched revision", 8, kAtOnce, 6, 0},
    {"the watched revision", 8, kAtOnce, 7, 0},
    {"the watched revision, read before", 8, kReadBetween, 7, 0},
    {"just past the watched revision", 8, kAtOnce, 8, 0},
    {"below, and the history passes the watched revision", 8, kAtOnce, 0, 9},
    {"below, read before, and the history passes", 8, kReadBetween, 2, 12},
};

// Restores the registry to its copy and calls `change` at the distance `d`.
void RestoreAndChange(small_fleet& fleet,
                      const distance& d,
                      const std::function<void()>& change,
                      asio::yield_context yield) {
  fleet.store.Restore();
  Sleep(fleet.io, d.wait, yield);
  PutFillers(fleet, d.before);
  change();
  PutFillers(fleet, d.after);
}

// @return whether `path` is served within kApplyBound.
bool IsServedInTime(small_fleet& fleet,
                    const std::string& path,
                    asio::yield_context yield) {
  const time_point until = clock::now() + kApplyBound;
  while (clock::now() < until) {
    if (fleet.Call(path, "a", yield).status == 200)
      return true;
    Sleep(fleet.io, kPollPeriod, yield);
  }
  return false;
}

// @return whether `runner` gets requests to the plain service now.
bool IsUsed(small_fleet& fleet,
            const runner_fake& runner,
            asio::yield_context yield) {
  constexpr int kCalls = 20;
  const int before = runner.arrivals();
  for (int i = 0; i < kCalls; ++i)
    CHECK(fleet.Call("/often/x", "a", yield).status == 200);
  return runner.arrivals() > before;
}

// Guards against a configuration that is not applied because its revision had
// been given out before the registry was restored.
TEST_CASE("a configuration written after a restore comes into force",
          "[long]") {
  for (const distance& d : kDistances) {
    CAPTURE(d.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      fleet.store.Backup();
      PutFillers(fleet, d.lost);
      Sleep(fleet.io, kSettleTime, yield);
      RestoreAndChange(
          fleet, d,
          [&] {
            fleet.store.Put("op/config", testing::ConfigDocument(2, "new"));
          },
          yield);
      CHECK(IsServedInTime(fleet, "/new/x", yield));
    });
  }
}

// Guards against requests to an upstream whose announcement has a revision that
// had been given out before the registry was restored.
TEST_CASE("an upstream that leaves after a restore gets no more requests",
          "[long]") {
  for (const distance& d : kDistances) {
    CAPTURE(d.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      fleet.store.Backup();
      PutFillers(fleet, d.lost);
      Sleep(fleet.io, kSettleTime, yield);
      RestoreAndChange(
          fleet, d,
          [&] {
            fleet.store.Put("servers/p0", Heartbeat(*fleet.plain[0], true, 9));
          },
          yield);
      Sleep(fleet.io, kApplyBound, yield);
      CHECK_FALSE(IsUsed(fleet, *fleet.plain[0], yield));
    });
  }
}

// Guards against a configuration in force that is replaced by the older one of
// the copy, and against a newer one that is missed afterwards.
TEST_CASE("a restored registry does not revert the configuration", "[path]") {
  struct row {
    const char* name;
    bool written_again;  // the lost configuration
    int before;          // changes before the next configuration
  };
  const row rows[] = {
      {"the lost configuration stays lost", false, 0},
      {"it is written again", true, 0},
      {"it is written again past its revision", true, 5},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    constexpr milliseconds kObservedTime{1'200};
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      fleet.store.Backup();
      PutFillers(fleet, 2);
      fleet.store.Put("op/config", testing::ConfigDocument(2, "lost"));
      PutFillers(fleet, 3);
      REQUIRE(fleet.WaitForStatus("/lost/x", 200, yield));
      fleet.store.Restore();
      const time_point until = clock::now() + kObservedTime;
      while (clock::now() < until) {
        CHECK(fleet.Call("/lost/x", "a", yield).status == 200);
        Sleep(fleet.io, kPollPeriod, yield);
      }
      PutFillers(fleet, r.before);
      if (r.written_again)
        fleet.store.Put("op/config", testing::ConfigDocument(2, "lost"));
      Sleep(fleet.io, kSettleTime, yield);
      CHECK(fleet.Call("/lost/x", "a", yield).status == 200);
      fleet.store.Put("op/config", testing::ConfigDocument(3, "new"));
      CHECK(IsServedInTime(fleet, "/new/x", yield));
    });
  }
}

// Guards against a copy of the registry that revives upstreams which had left,
// or hides upstreams that go on.
TEST_CASE("a restored registry does not revive upstreams that left", "[long]") {
  enum class state { kReady, kLeaving, kRemoved };
  struct row {
    const char* name;
    state at_copy;
    state known;  // at the restore
    std::optional<state> written_again;
    bool used_at_once;  // just after the restore
    bool used;          // kApplyBound and the grace period later
  };
  const row rows[] = {
      {"goes on", state::kReady, state::kReady, {}, true, true},
      {"was leaving", state::kReady, state::kLeaving, {}, false, false},
      {"was leaving, says so again", state::kReady, state::kLeaving,
       state::kLeaving, false, false},
      {"was removed", state::kReady, state::kRemoved, {}, false, false},
      {"was removed after it had left", state::kLeaving, state::kRemoved,
       state::kRemoved, false, false},
      {"was removed, is back", state::kReady, state::kRemoved, state::kReady,
       false, true},
      {"is new, registers again", state::kRemoved, state::kReady, state::kReady,
       true, true},
      {"is new, does not register again",
       state::kRemoved,
       state::kReady,
       {},
       true,
       false},
      {"is new and leaving, does not register again",
       state::kRemoved,
       state::kLeaving,
       {},
       false,
       false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    constexpr milliseconds kReturnTime{1'000};
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    int sequence = 10;
    const auto write = [&](state next) {
      if (next == state::kRemoved)
        return fleet.store.Remove("servers/p0");
      fleet.store.Put(
          "servers/p0",
          Heartbeat(*fleet.plain[0], next == state::kLeaving, ++sequence));
    };
    write(r.at_copy);
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      fleet.store.Backup();
      PutFillers(fleet, 3);
      if (r.known != r.at_copy)
        write(r.known);
      Sleep(fleet.io, kSettleTime, yield);
      REQUIRE(IsUsed(fleet, *fleet.plain[0], yield) ==
              (r.known == state::kReady));
      fleet.store.Restore();
      Sleep(fleet.io, kSettleTime, yield);
      CHECK(IsUsed(fleet, *fleet.plain[0], yield) == r.used_at_once);
      Sleep(fleet.io, kReturnTime - kSettleTime, yield);
      if (r.written_again)
        write(*r.written_again);
      Sleep(fleet.io, kSettleTime, yield);
      if (!r.used)
        Sleep(fleet.io, kApplyBound, yield);
      CHECK(IsUsed(fleet, *fleet.plain[0], yield) == r.used);
    });
  }
}

// Guards against instances that keep what the registry lost because they hear
// of it only from peers, and against peers that tell the lost history.
TEST_CASE("all instances follow a restored registry", "[long]") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  const extra_instances extra(fleet, kExtraInstances, platform::MakeAdapter);
  // No process listens on this address.
  instance_settings cut_off_settings =
      ExtraInstanceSettings(fleet, testing::FreeAddress(), "cut_off");
  relay_gateway cut_off(fleet.io, &cut_off_settings, platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(extra.Start());
    REQUIRE(cut_off.Start());
    Sleep(fleet.io, kJoinTime, yield);
    std::vector<std::string> addresses{fleet.settings.listen,
                                       cut_off_settings.listen};
    for (const auto& settings : extra.settings)
      addresses.push_back(settings->listen);
    // The registry is restored twice, and loses fewer changes the second time.
    int version = 1;
    for (const int lost : {9, 4}) {
      CAPTURE(lost);
      fleet.store.Backup();
      const std::string path = "lost" + std::to_string(lost);
      fleet.store.Put("op/config", testing::ConfigDocument(++version, path));
      PutFillers(fleet, lost);
      for (const std::string& address : addresses) {
        fleet.settings.listen = address;
        REQUIRE(IsServedInTime(fleet, "/" + path + "/x", yield));
      }
      fleet.store.Restore();
      Sleep(fleet.io, kReadBetween, yield);
      fleet.store.Put("op/config", testing::ConfigDocument(++version, "new"));
      const bool leaving = lost == 4;
      fleet.store.Put("servers/p0",
                      Heartbeat(*fleet.plain[0], leaving, 20 + version));
      const time_point changed_at = clock::now();
      for (const std::string& address : addresses) {
        fleet.settings.listen = address;
        CHECK(IsServedInTime(fleet, "/new/x", yield));
      }
      Sleep(fleet.io, changed_at + kApplyBound - clock::now(), yield);
      for (const std::string& address : addresses) {
        fleet.settings.listen = address;
        CHECK(IsUsed(fleet, *fleet.plain[0], yield) == !leaving);
      }
    }
  });
}

// Guards against an instance that starts while the registry is a copy and
// believes it, though its peers hold a newer configuration.
TEST_CASE("an instance that reads a copy takes newer configurations of peers",
          "[path]") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  instance_settings settings =
      ExtraInstanceSettings(fleet, fleet.store.address());
  relay_gateway fresh(fleet.io, &settings, platform::MakeAdapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
    fleet.store.Backup();
    fleet.store.Put("op/config", testing::ConfigDocument(2, "lost"));
    PutFillers(fleet, 3);
    REQUIRE(fleet.WaitForStatus("/lost/x", 200, yield));
    fleet.store.Restore();
    REQUIRE(fresh.Start());
    Sleep(fleet.io, kJoinTime, yield);
    for (const char* path : {"/lost/x", "/new/x"}) {
      CAPTURE(path);
      for (int i = 0; i < 2; ++i) {
        CHECK(IsServedInTime(fleet, path, yield));
        std::swap(fleet.settings.listen, settings.listen);
      }
      fleet.store.Put("op/config", testing::ConfigDocument(3, "new"));
    }
  });
}

// Guards against a configuration of the lost history that hides the next one
// while it is being decoded.
TEST_CASE("a restore during the decoding of a configuration", "[long]") {
  constexpr milliseconds kDecodeTime{700};
  for (const distance& d : kDistances) {
    CAPTURE(d.name);
    small_fleet fleet;
    fleet.store.Put("op/config", testing::ConfigDocument(1));
    fleet.RegisterRunners();
    int decode_count = 0;
    slow_catalog* catalog = nullptr;
    fleet.make_adapter = [&](const forwarding_settings& settings,
                             http_client* client) {
      relay_adapter adapter = platform::MakeAdapter(settings, client);
      auto slow = std::make_unique<slow_catalog>(
          std::move(adapter.catalog), milliseconds(0), &decode_count);
      catalog = slow.get();
      adapter.catalog = std::move(slow);
      return adapter;
    };
    fleet.Run([&](asio::yield_context yield) {
      REQUIRE(fleet.WaitForStatus("/once/x", 200, yield));
      fleet.store.Backup();
      PutFillers(fleet, d.lost);
      catalog->SetDecodeTime(kDecodeTime);
      fleet.store.Put("op/config", testing::ConfigDocument(2, "lost"));
      Sleep(fleet.io, kDecodeTime / 4, yield);
      catalog->SetDecodeTime(milliseconds(0));
      RestoreAndChange(
          fleet, d,
          [&] {
            fleet.store.Put("op/config", testing::ConfigDocument(3, "new"));
          },
          yield);
      CHECK(IsServedInTime(fleet, "/new/x", yield));
      Sleep(fleet.io, kDecodeTime, yield);
      CHECK(fleet.Call("/new/x", "a", yield).status == 200);
    });
  }
}

// Guards against entries of a copy that replace newer ones, at the first and at
// each further complete read of the registry.
TEST_CASE("entries of a copy do not replace newer ones", "[path]") {
  struct version {
    std::int64_t revision;
    std::int64_t started_at_ms;
    std::int64_t sequence;
    bool leaving;
  };
  struct row {
    const char* name;
    version known;
    bool removed;  // after `known`
    version restored;
    bool listed;
    bool leaving;
  };
  const row rows[] = {
      {"the same entry",
       {5, 1, 9, false},
       false,
       {5, 1, 9, false},
       true,
       false},
      {"written again", {5, 1, 9, false}, false, {4, 1, 10, true}, true, true},
      {"announced its leaving",
       {5, 1, 9, true},
       false,
       {3, 1, 7, false},
       true,
       true},
      {"the same without a count",
       {5, 1, 0, true},
       false,
       {3, 1, 0, false},
       true,
       true},
      {"leaves, with the same count",
       {5, 1, 9, false},
       false,
       {4, 1, 9, true},
       true,
       true},
      {"leaves, without a count",
       {5, 1, 0, false},
       false,
       {3, 1, 0, true},
       true,
       true},
      {"restarted", {5, 2, 1, false}, false, {3, 1, 7, true}, true, false},
      {"restarted after the copy",
       {5, 1, 9, true},
       false,
       {4, 2, 1, false},
       true,
       false},
      {"was removed", {5, 1, 9, false}, true, {5, 1, 9, false}, false, false},
      {"was removed, an older entry",
       {5, 1, 9, false},
       true,
       {3, 1, 7, false},
       false,
       false},
      {"was removed, written again",
       {5, 1, 9, false},
       true,
       {4, 1, 10, false},
       true,
       false},
      {"was removed, written again as it was",
       {5, 1, 9, false},
       true,
       {8, 1, 9, false},
       true,
       false},
      {"was removed, an earlier start",
       {5, 2, 1, false},
       true,
       {3, 1, 7, true},
       false,
       false},
  };
  const auto at = [](const version& v, std::int64_t era) {
    upstream_entry entry;
    entry.id = "a";
    entry.started_at_ms = v.started_at_ms;
    entry.sequence = v.sequence;
    entry.leaving = v.leaving;
    return registered_upstream{entry, {era, v.revision}};
  };
  constexpr std::int64_t kLast = 20;  // revision of each complete read
  for (const row& r : rows) {
    CAPTURE(r.name);
    upstream_catalog catalog(kApplyBound);
    const time_point now = clock::now();
    catalog.Replace({at(r.known, 1)}, {1, kLast}, now);
    if (r.removed)
      catalog.Remove("a", {1, kLast + 1}, now);
    // The registry is restored twice, from the same copy.
    for (const std::int64_t era : {2, 2, 3, 3}) {
      CAPTURE(era);
      catalog.Replace({at(r.restored, era)}, {era, kLast}, now);
      REQUIRE((catalog.entries().count("a") == 1) == r.listed);
      if (r.listed)
        CHECK(catalog.entries().at("a").entry.leaving == r.leaving);
    }
  }
}

// Guards against a message that loses the era of its revisions.
TEST_CASE("gossip tells the position of the catalog", "[path]") {
  gossip_message message;
  message.sender.name = "a";
  message.catalog_position = {3, 40};
  const auto decoded = DecodeGossip(EncodeGossip(message));
  REQUIRE(decoded);
  CHECK(decoded->catalog_position == registry_position{3, 40});
}

TEST_CASE("positions are ordered by era, then by revision", "[path]") {
  const registry_position ordered[] = {{0, 0},  {0, 9}, {1, 2},
                                       {1, 50}, {2, 1}, {2, 50}};
  for (const registry_position& a : ordered) {
    for (const registry_position& b : ordered) {
      CHECK((a < b) == (&a < &b));
      CHECK((a > b) == (&a > &b));
      CHECK((a == b) == (&a == &b));
      CHECK((a <= b) == (&a <= &b));
      CHECK((a >= b) == (&a >= &b));
    }
  }
}

}  // namespace
}  // namespace cactusward
