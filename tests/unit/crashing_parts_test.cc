// Requests that share a part of their prompt and crash every upstream that
// begins to respond to them, among sound requests that share their other parts.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::runner_fake;
using testing::small_fleet;

// The users' bounds: how many requests may reach upstreams, sent later than the
// window after the fifth crash.
constexpr milliseconds kStableWindow{3'000};
constexpr int kCrashes = 5;
constexpr int kMaxLateArrivals = 3;
// And the share of sound requests that must be served from twice that window
// on, when all are served otherwise.
constexpr double kMinServedShare = 0.5;
constexpr int kMinSoundRequests = 20;

constexpr milliseconds kDowntime{700};
constexpr milliseconds kSoundInterval{60};
constexpr int kExtraInstances = 2;
constexpr int kEngines = 8;

struct crash_row {
  const char* name;
  // Parts of the n-th crashing request before its last one; %d is replaced by n
  // modulo 3.
  std::vector<std::string> crashing;
  std::vector<std::string> crashing_ids;
  std::string sound;  // parts of the sound requests before their last one
  milliseconds interval;
  milliseconds length;
};

// The parts of a long conversation, which all requests share.
std::string Conversation(int parts) {
  std::string text;
  for (int i = 0; i < parts; ++i)
    text += "m" + std::to_string(i) + ":1,";
  return text;
}

const crash_row kRows[] = {
    {"a part in the middle",
     {"a%d:40,dead:100,"},
     {"dead"},
     "a%d:40,",
     milliseconds(120),
     milliseconds(9'000)},
    {"the first part",
     {"dead:40,a%d:100,"},
     {"dead"},
     "b%d:40,a%d:100,",
     milliseconds(120),
     milliseconds(9'000)},
    {"a part that always follows the same sound part",
     {"a0:40,dead:100,"},
     {"dead"},
     "a0:40,",
     milliseconds(120),
     milliseconds(9'000)},
    {"rare requests",
     {"a%d:40,dead:100,"},
     {"dead"},
     "a%d:40,",
     milliseconds(600),
     milliseconds(12'000)},
    {"two crashing parts at once",
     {"a%d:40,dead:100,", "a%d:40,evil:100,"},
     {"dead", "evil"},
     "a%d:40,",
     milliseconds(120),
     milliseconds(10'000)},
    // Guards against sound parts being blamed for one that is not looked at.
    {"a part behind many others",
     {Conversation(70) + "dead:100," + Conversation(10)},
     {"dead"},
     Conversation(70) + "a%d:40," + Conversation(10),
     milliseconds(120),
     milliseconds(9'000)},
    {"a part behind more than a message takes",
     {Conversation(1'200) + "dead:100,"},
     {"dead"},
     Conversation(1'200) + "a%d:40,",
     milliseconds(120),
     milliseconds(9'000)},
};

std::string Expand(std::string text, int n) {
  for (auto at = text.find("%d"); at != std::string::npos; at = text.find("%d"))
    text.replace(at, 2, std::to_string(n % 3));
  return text;
}

// What callers and upstreams have seen.
struct crash_record {
  struct sound_request {
    time_point sent_at;
    bool served = false;
  };
  std::vector<time_point> crashes;
  std::map<std::string, std::vector<time_point>> crashing_runs;  // by part
  std::vector<sound_request> sound;
};

class crash_day {
 public:
  explicit crash_day(const crash_row& row) : row_(row) {
    while (fleet_.engines.size() < kEngines)
      fleet_.engines.push_back(std::make_unique<runner_fake>(
          fleet_.io, "e" + std::to_string(fleet_.engines.size())));
    fleet_.store.Put("op/config", testing::ConfigDocument(1));
    fleet_.RegisterRunners();
    for (const auto& engine : fleet_.engines) {
      engine->CrashOnParts(row.crashing_ids, kDowntime);
      engine->SetRunTime(milliseconds(20));
      engine->SetEventPause(milliseconds(20));
      engine->OnRun([this](const http_request& request) { OnRun(request); });
    }
  }

  const crash_record& Play() {
    extra_instances more(fleet_, kExtraInstances, fleet_.make_adapter);
    REQUIRE(more.Start());
    addresses_ = {fleet_.settings.listen};
    for (const auto& settings : more.settings)
      addresses_.push_back(settings->listen);
    fleet_.Run([this](asio::yield_context yield) {
      REQUIRE(fleet_.WaitForStatus("/often/x", 200, yield));
      Sleep(fleet_.io, testing::kSettleTime, yield);
      until_ = clock::now() + row_.length;
      Spawn(fleet_.io, "watch",
            [this](asio::yield_context inner) { WatchCrashes(inner); });
      Spawn(fleet_.io, "sound",
            [this](asio::yield_context inner) { SendSound(inner); });
      SendCrashing(yield);
      Sleep(fleet_.io, testing::kSettleTime, yield);
    });
    return record_;
  }

 private:
  void OnRun(const http_request& request) {
    const std::string prefix(request["X-Prompt-Prefix"]);
    for (const std::string& part : row_.crashing_ids) {
      if (prefix.find(part + ":") != std::string::npos)
        record_.crashing_runs[part].push_back(clock::now());
    }
  }

  void WatchCrashes(asio::yield_context yield) {
    while (clock::now() < until_) {
      std::size_t crashes = 0;
      for (const auto& engine : fleet_.engines)
        crashes += static_cast<std::size_t>(engine->crashes());
      record_.crashes.resize(crashes, clock::now());
      Sleep(fleet_.io, testing::kPollPeriod, yield);
    }
  }

  // Sends in the background, since one request may outlast many intervals.
  template <typename Done>
  void Begin(const std::string& parts, int n, Done done) {
    const std::string id = std::to_string(next_id_++);
    const std::string address = addresses_[n % addresses_.size()];
    Spawn(fleet_.io, "call",
          [this, parts, id, address, done](asio::yield_context yield) {
            done(fleet_.CallWithParts(address, "/stream/" + id, id,
                                      parts + id + ":200", yield));
          });
  }

  void SendSound(asio::yield_context yield) {
    for (int n = 0; clock::now() < until_; ++n) {
      const time_point sent_at = clock::now();
      Begin(Expand(row_.sound, n), n,
            [this, sent_at](const http_response& response) {
              record_.sound.push_back({sent_at, response.status == 200});
            });
      Sleep(fleet_.io, kSoundInterval, yield);
    }
  }

  void SendCrashing(asio::yield_context yield) {
    for (int n = 0; clock::now() < until_; ++n) {
      const auto count = static_cast<int>(row_.crashing.size());
      Begin(Expand(row_.crashing[n % count], n / count), n,
            [](const http_response&) {});
      Sleep(fleet_.io, row_.interval, yield);
    }
  }

  const crash_row& row_;
  small_fleet fleet_;
  crash_record record_;
  std::vector<std::string> addresses_;
  time_point until_;
  int next_id_ = 1'000;
};

// Guards against requests of one kind that crash upstream after upstream, since
// no two of them are alike.
TEST_CASE("requests with a part that crashes upstreams are refused",
          "[crashes]") {
  const auto index = GENERATE(range(0, static_cast<int>(std::size(kRows))));
  const crash_row& row = kRows[index];
  CAPTURE(row.name);
  crash_day day(row);
  const crash_record& record = day.Play();
  REQUIRE(!record.crashes.empty());
  const std::size_t crashes = kCrashes * row.crashing_ids.size();
  if (record.crashes.size() >= crashes) {
    const time_point bound = record.crashes[crashes - 1] + kStableWindow;
    for (const auto& [part, runs] : record.crashing_runs) {
      CAPTURE(part);
      CHECK(std::count_if(runs.begin(), runs.end(), [bound](time_point at) {
              return at > bound;
            }) <= kMaxLateArrivals);
    }
  }
  const time_point settled =
      record.crashes[std::min(crashes, record.crashes.size()) - 1] +
      2 * kStableWindow;
  int sent = 0;
  int served = 0;
  for (const auto& request : record.sound) {
    if (request.sent_at < settled)
      continue;
    ++sent;
    served += request.served ? 1 : 0;
  }
  CHECK(sent >= kMinSoundRequests);
  CHECK(served >= kMinServedShare * sent);
}

// Guards against an instance that learns of a quarantine only from the crashes
// that it sees itself.
TEST_CASE("an instance that starts later refuses quarantined parts",
          "[crashes]") {
  const bool store_is_down = GENERATE(false, true);
  CAPTURE(store_is_down);
  small_fleet fleet;
  while (fleet.engines.size() < kEngines)
    fleet.engines.push_back(std::make_unique<runner_fake>(
        fleet.io, "e" + std::to_string(fleet.engines.size())));
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  for (const auto& engine : fleet.engines)
    engine->CrashOnParts({"dead"}, kDowntime);
  auto late_settings =
      testing::ExtraInstanceSettings(fleet, fleet.store.address(), "late");
  relay_gateway late(fleet.io, &late_settings, fleet.make_adapter);
  fleet.Run([&](asio::yield_context yield) {
    int sent = 0;
    const auto call = [&](const std::string& address, const std::string& part) {
      const std::string id = std::to_string(++sent);
      return fleet.CallWithParts(address, "/stream/" + id, id,
                                 "shared:40," + part + ":100," + id + ":200",
                                 yield);
    };
    const time_point until = clock::now() + testing::kCallTimeout;
    while (call(fleet.settings.listen, "dead").status != 503 &&
           clock::now() < until)
      Sleep(fleet.io, kSoundInterval * 3, yield);
    REQUIRE(clock::now() < until);
    fleet.store.SetDown(store_is_down);
    REQUIRE(late.Start());
    Sleep(fleet.io, kStableWindow, yield);
    const int runs = fleet.RunCount();
    const http_response refused = call(late_settings.listen, "dead");
    CHECK(refused.status == 503);
    CHECK(fleet.RunCount() == runs);
    CHECK(call(late_settings.listen, "sound").status == 200);
  });
}

}  // namespace
}  // namespace cactusward
