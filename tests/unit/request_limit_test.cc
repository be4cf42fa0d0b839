// Limits of requests a second that upstreams name in their responses, for all
// instances together.
#include <algorithm>
#include <catch2/catch.hpp>

#include "cactusward/upstream_limits.h"
#include "src/edges/json.h"
#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::kSettleTime;
using testing::runner_fake;
using testing::small_fleet;
using testing::store_fake;

// The users' bound: from the window after a limit was first named, the upstream
// gets at most this in any span of four seconds.
constexpr milliseconds kStableWindow{3'000};
constexpr milliseconds kSpan{4'000};
constexpr double kMaxLimitShare = 1.5;
constexpr double kExtraRequests = 5;

// Most requests that arrived in any span of four seconds after `from`.
int MostInSpan(const std::vector<time_point>& arrivals, time_point from) {
  int most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    if (*first < from)
      continue;
    most = std::max(most, static_cast<int>(std::count_if(
                              first, arrivals.end(), [first](time_point at) {
                                return at < *first + kSpan;
                              })));
  }
  return most;
}

// A fleet of several instances, one of whose upstreams names a limit.
class limited_fleet {
 public:
  limited_fleet(int instances, std::string path)
      : path_(std::move(path)),
        more_(fleet_, instances - 1, fleet_.make_adapter) {
    fleet_.store.Put("op/config", testing::ConfigDocument(1));
    fleet_.RegisterRunners();
    for (auto* group : {&fleet_.engines, &fleet_.plain}) {
      for (const auto& runner : *group)
        runner->SetEventPause(milliseconds(20));
    }
    limited().OnRun(
        [this](const http_request&) { arrivals_.push_back(clock::now()); });
  }

  runner_fake& limited() {
    return path_[1] == 's' ? *fleet_.engines[0] : *fleet_.plain[0];
  }
  small_fleet& fleet() { return fleet_; }
  const std::vector<time_point>& arrivals() const { return arrivals_; }
  int served() const { return served_; }
  int sent() const { return sent_; }

  void Run(const std::function<void(asio::yield_context)>& body) {
    REQUIRE(more_.Start());
    addresses_ = {fleet_.settings.listen};
    for (const auto& settings : more_.settings)
      addresses_.push_back(settings->listen);
    fleet_.Run([this, &body](asio::yield_context yield) {
      REQUIRE(fleet_.WaitForStatus("/often/x", 200, yield));
      Sleep(fleet_.io, kSettleTime, yield);
      body(yield);
    });
  }

  // Sends requests to all instances in turn for `time`.
  void Send(milliseconds interval,
            milliseconds time,
            asio::yield_context yield) {
    const time_point until = clock::now() + time;
    while (clock::now() < until) {
      const std::string& address = addresses_[sent_++ % addresses_.size()];
      Spawn(fleet_.io, "call", [this, address](asio::yield_context inner) {
        const auto request = small_fleet::MakeCall(
            path_, std::to_string(sent_), "key", path_[1] == 's' ? 1'000 : 0);
        served_ += fleet_.Send(address, request, testing::kCallTimeout, inner)
                               .status == 200
                       ? 1
                       : 0;
      });
      Sleep(fleet_.io, interval, yield);
    }
  }

 private:
  std::string path_;
  small_fleet fleet_;
  extra_instances more_;
  std::vector<std::string> addresses_;
  std::vector<time_point> arrivals_;
  int served_ = 0;
  int sent_ = 0;
};

struct limit_row {
  const char* name;
  const char* path;
  int instances;
  const char* limit;
  milliseconds interval;  // between requests, all instances together
};
const limit_row kRows[] = {
    {"calls", "/often/x", 3, "1.4", milliseconds(25)},
    {"calls that are not retryable", "/once/x", 3, "1.4", milliseconds(25)},
    {"streams", "/stream/x", 3, "2", milliseconds(25)},
    {"less than one a second", "/often/x", 3, "0.3", milliseconds(25)},
    {"more than one a second each", "/often/x", 3, "9", milliseconds(10)},
    {"many instances", "/often/x", 9, "1", milliseconds(15)},
    {"nothing", "/often/x", 3, "0", milliseconds(25)},
};

// Guards against an upstream in need that gets more than it takes, because each
// instance decides by itself how much it sends.
TEST_CASE("upstreams get no more requests than the limit that they name",
          "[long]") {
  const auto index = GENERATE(range(0, static_cast<int>(std::size(kRows))));
  const limit_row& r = kRows[index];
  CAPTURE(r.name);
  limited_fleet day(r.instances, r.path);
  time_point named_at;
  day.Run([&](asio::yield_context yield) {
    day.limited().SetRequestLimit(r.limit);
    named_at = clock::now();
    day.Send(r.interval, kStableWindow + kSpan + milliseconds(1'500), yield);
    Sleep(day.fleet().io, kSettleTime, yield);
  });
  const double allowed =
      kMaxLimitShare * std::stod(r.limit) * ToMilliseconds(kSpan) / 1'000 +
      kExtraRequests;
  CHECK(MostInSpan(day.arrivals(), named_at + kStableWindow) <= allowed);
  // The other upstream takes the rest.
  CHECK(day.served() >= 0.95 * day.sent());
}

// Guards against a limit that lasts although the upstream has recovered, or
// that the next process of the same id inherits.
TEST_CASE("a limit ends when it is no longer named, and with its process",
          "[long]") {
  constexpr milliseconds kInterval{25};
  constexpr milliseconds kEndTime{6'000};
  const bool restarts = GENERATE(false, true);
  CAPTURE(restarts);
  limited_fleet day(3, "/often/x");
  std::size_t before = 0;
  std::size_t while_limited = 0;
  day.Run([&](asio::yield_context yield) {
    const auto count = [&](milliseconds time) {
      const std::size_t start = day.arrivals().size();
      day.Send(kInterval, time, yield);
      return day.arrivals().size() - start;
    };
    before = count(milliseconds(1'000));
    day.limited().SetRequestLimit("0.5");
    day.Send(kInterval, kStableWindow, yield);
    while_limited = count(milliseconds(1'000));
    day.limited().SetRequestLimit("");
    if (restarts)
      day.fleet().store.Put("servers/" + day.limited().id(),
                            day.limited().Entry("plain", false, 2));
    else
      day.Send(kInterval, kEndTime, yield);
    day.Send(kInterval, milliseconds(500), yield);
    CHECK(count(milliseconds(1'000)) > before / 2);
  });
  CHECK(while_limited < before / 2);
}

// Guards against an instance that learns of a limit only from responses to its
// own requests.
TEST_CASE("an instance that starts later keeps limits that it never heard",
          "[long]") {
  small_fleet fleet;
  fleet.store.Put("op/config", testing::ConfigDocument(1));
  fleet.RegisterRunners();
  auto late_settings =
      testing::ExtraInstanceSettings(fleet, fleet.store.address(), "late");
  relay_gateway late(fleet.io, &late_settings, fleet.make_adapter);
  fleet.Run([&](asio::yield_context yield) {
    REQUIRE(fleet.WaitForStatus("/often/x", 200, yield));
    fleet.plain[0]->SetRequestLimit("0");
    const auto call = [&](const std::string& address) {
      return fleet
          .Send(address, small_fleet::MakeCall("/often/x", "a", "key", 0),
                testing::kCallTimeout, yield)
          .status;
    };
    while (fleet.plain[0]->runs() == 0)
      CHECK(call(fleet.settings.listen) == 200);
    REQUIRE(late.Start());
    Sleep(fleet.io, kStableWindow, yield);
    const int runs = fleet.plain[0]->runs();
    for (int i = 0; i < 100; ++i)
      CHECK(call(late_settings.listen) == 200);
    CHECK(fleet.plain[0]->runs() - runs <= kExtraRequests);
  });
}

struct cold_row {
  const char* name;
  bool by_response;  // not by its entry
  double cold_per_s;
  double least_while_cold;  // requests a second
};
const cold_row kColdRows[] = {{"by its entry", false, 17, 3},
                              {"by its responses", true, 17, 3},
                              {"no limit in the configuration", false, 0, 20}};

// Guards against instances that together send a cold upstream more than it
// bears in a second, and against a limit that outlasts the cold time.
TEST_CASE("a cold upstream gets no more than its rate allows", "[long]") {
  constexpr milliseconds kCold{3'000};
  constexpr milliseconds kSecond{1'000};
  const auto index = GENERATE(range(0, static_cast<int>(std::size(kColdRows))));
  const cold_row& r = kColdRows[index];
  CAPTURE(r.name);
  limited_fleet day(3, "/often/x");
  time_point cold_at;
  time_point warm_at;
  day.Run([&](asio::yield_context yield) {
    store_fake& store = day.fleet().store;
    auto config = nlohmann::json::parse(testing::ConfigDocument(2));
    for (auto& service : config["services"])
      service["cold_per_s"] = r.cold_per_s;
    store.Put("op/config", config.dump());
    // The instances know their peers by then.
    Sleep(day.fleet().io, milliseconds(2'500), yield);
    auto entry = nlohmann::json::parse(day.limited().Entry("plain"));
    entry["cold_remaining_ms"] = kCold.count();
    if (r.by_response)
      day.limited().SetColdRemaining(std::to_string(kCold.count()));
    else
      store.Put("servers/" + day.limited().id(), entry.dump());
    cold_at = clock::now() + testing::kSettleTime;
    if (r.by_response)
      day.Send(milliseconds(10), testing::kSettleTime, yield);
    else
      Sleep(day.fleet().io, testing::kSettleTime, yield);
    day.Send(milliseconds(10), kCold - milliseconds(800), yield);
    day.limited().SetColdRemaining("");
    warm_at = clock::now() + kCold;
    day.Send(milliseconds(10), kCold + milliseconds(1'500), yield);
    Sleep(day.fleet().io, testing::kSettleTime, yield);
  });
  int most = 0;
  int while_cold = 0;
  int while_warm = 0;
  for (const time_point first : day.arrivals()) {
    const time_point cold_end = cold_at + kCold - milliseconds(800);
    while_cold += first >= cold_at && first < cold_end ? 1 : 0;
    while_warm += first >= warm_at ? 1 : 0;
    if (first < cold_at || first >= cold_end)
      continue;
    most = std::max(
        most,
        static_cast<int>(std::count_if(
            day.arrivals().begin(), day.arrivals().end(), [&](time_point at) {
              return at >= first && at < first + kSecond && at < cold_end;
            })));
  }
  const cold_settings settings;
  if (r.cold_per_s > 0)
    CHECK(most <= r.cold_per_s * settings.overage + settings.tolerance);
  CHECK(while_cold >= r.least_while_cold * 2);
  // It carries its half again: 100 requests a second for a second and a half.
  CHECK(while_warm >= 40);
  // The other upstream takes the rest.
  CHECK(day.served() >= 0.95 * day.sent());
}

}  // namespace
}  // namespace cactusward
