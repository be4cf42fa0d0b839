// Limits of requests a second that upstreams name in their responses, for all
// instances together.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/support/small_fleet.h"

namespace cactusward {
namespace {

using testing::extra_instances;
using testing::kSettleTime;
using testing::runner_fake;
using testing::small_fleet;

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

}  // namespace
}  // namespace cactusward
