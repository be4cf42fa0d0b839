// A request that crashes each runner that begins to run it, over connections
// that instances keep open.
#include "review/support-2/rig.h"

namespace {

constexpr int kInstances = 3;
constexpr int kRunners = 4;
constexpr int kStableWindowMs = 3'000;
constexpr int kDowntimeMs = 3'000;
// An entry is removed after three heartbeats (1,200 ms) of silence.
constexpr int kEntryLapsesMs = 3'600;
constexpr int kPoisonPeriodMs = 5'000;
constexpr int kPoisonRequests = 8;
constexpr int kWorkMs = 15;
const char* const kPoisonPath = "/stock/71c";

struct runner {
  int number = 0;
  int starts = 0;
  std::string id;
  std::unique_ptr<rig::server> process;
  std::mutex mutex;
};

struct arrival {
  std::int64_t at = 0;
  std::string attempt;
};

std::mutex g_mutex;
std::vector<std::int64_t> g_crashes;
std::vector<arrival> g_poison;
std::atomic<int> g_runs{0};
std::atomic<int> g_served{0};
std::atomic<int> g_failed{0};
std::atomic<bool> g_ended{false};

void Register(rig::store& store, const runner& each) {
  store.Put("servers/" + each.id,
            rig::Entry("stock", each.process->at(), "zone-1", 6,
                       1'790'000'000'000 + each.starts)
                .dump());
}

void Crash(rig::store& store, runner* each) {
  {
    const std::lock_guard<std::mutex> lock(each->mutex);
    if (!each->process->running())
      return;
    each->process->Crash();
  }
  rig::Record("runner %s crashes", each->id.c_str());
  {
    const std::lock_guard<std::mutex> lock(g_mutex);
    g_crashes.push_back(rig::NowMs());
  }
  std::thread([&store, each] {
    rig::SleepMs(kDowntimeMs);
    std::string lapsed;
    {
      const std::lock_guard<std::mutex> lock(each->mutex);
      lapsed = each->id;
      ++each->starts;
      each->id = "stock-" + std::to_string(each->number) + "-" +
                 std::to_string(each->starts);
      each->process->Start();
      Register(store, *each);
      rig::Record("runner %s is back", each->id.c_str());
    }
    rig::SleepMs(kEntryLapsesMs - kDowntimeMs);
    store.Remove("servers/" + lapsed);
  }).detach();
}

bool Handle(rig::store& store,
            runner* each,
            int fd,
            const rig::message& request) {
  const std::string attempt = request.Field("X-Attempt-Id");
  const std::vector<std::pair<std::string, std::string>> echo = {
      {"X-Attempt-Id", attempt}, {"X-Instance-Id", each->id}};
  if (request.Field("X-Expected-Instance") != each->id)
    return rig::SendAll(fd,
                        rig::MakeResponse("421 Misdirected Request", echo, ""));
  const bool is_poison = request.Target() == kPoisonPath;
  if (is_poison) {
    rig::Record("run %s at %s", attempt.c_str(), each->id.c_str());
    const std::lock_guard<std::mutex> lock(g_mutex);
    g_poison.push_back({rig::NowMs(), attempt});
  }
  ++g_runs;
  if (is_poison && rig::WithTrouble()) {
    Crash(store, each);
    return false;
  }
  rig::SleepMs(kWorkMs);
  auto fields = echo;
  fields.emplace_back("X-Response-Seal", "seal-" + each->id + "-" + attempt);
  fields.emplace_back("Keep-Alive", "timeout=10");
  return rig::SendAll(
      fd, rig::MakeResponse("200 OK", fields, "stock of " + request.Target()));
}

// Ordinary lookups at one instance, on connections that stay open.
void SendLookups(const rig::instance& at, int client) {
  int fd = -1;
  for (int n = 0; !g_ended; ++n) {
    rig::SleepMs(100 + (n * 37 + client * 11) % 40);
    if (fd < 0)
      fd = rig::Connect(at.frontend);
    if (fd < 0)
      continue;
    rig::reader in(fd);
    rig::message response;
    const std::string id = "a" + at.name.substr(5) + std::to_string(client) +
                           "f" + std::to_string(n);
    const bool read =
        rig::SendAll(
            fd, rig::MakeRequest("GET", "/stock/" + std::to_string(n % 50), id,
                                 1'500)) &&
        in.ReadHead(&response) && in.ReadBody(&response, false);
    ++(read && response.Status() == 200 ? g_served : g_failed);
    if (!read || response.Field("Connection") == "close") {
      close(fd);
      fd = -1;
    }
  }
  if (fd >= 0)
    close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  rig::Begin(argc, argv);
  rig::fleet fleet(kInstances, argv[2]);
  rig::TheFleet() = &fleet;
  if (!fleet.StartStore())
    rig::Exit(2);
  std::vector<std::unique_ptr<runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    auto next = std::make_unique<runner>();
    next->number = i + 1;
    next->id = "stock-" + std::to_string(i + 1) + "-0";
    runner* const each = next.get();
    next->process = std::make_unique<rig::server>(
        rig::address{"127.0.0.1", rig::FreePort({"127.0.0.1"})},
        [&fleet, each](int fd, const rig::message& request) {
          return Handle(fleet.registry(), each, fd, request);
        });
    if (!next->process->Start())
      rig::Exit(2);
    Register(fleet.registry(), *next);
    runners.push_back(std::move(next));
  }
  fleet.registry().Put(
      "op/config",
      rig::Config(
          7,
          rig::json::array({rig::Route("stock", "idempotent", "stock", false, 2,
                                       800, 100, 0)}),
          rig::json::array({{{"name", "stock"}, {"health_path", "/healthz"}}}))
          .dump());
  if (!fleet.StartAll() || !fleet.AwaitReady(10'000))
    rig::Exit(2);
  std::vector<std::thread> clients;
  for (const rig::instance& each : fleet.instances()) {
    for (int client = 0; client < 3; ++client)
      clients.emplace_back([&each, client] { SendLookups(each, client); });
  }
  rig::SleepMs(6'000);
  for (int n = 0; n < kPoisonRequests; ++n) {
    const rig::instance& at = fleet.instances()[n % kInstances];
    const std::string id = "badc0de" + std::to_string(n);
    rig::Record("send %s to %s", id.c_str(), at.name.c_str());
    const rig::message response = rig::Call(
        at.frontend, rig::MakeRequest("GET", kPoisonPath, id, 1'500), 3'000);
    rig::Record("answer to %s: %s", id.c_str(), response.start.c_str());
    rig::SleepMs(kPoisonPeriodMs);
  }
  g_ended = true;
  for (std::thread& client : clients)
    client.join();
  const std::lock_guard<std::mutex> lock(g_mutex);
  std::set<std::string> late;
  if (g_crashes.size() >= 3) {
    for (const arrival& each : g_poison) {
      if (each.at > g_crashes[2] + kStableWindowMs)
        late.insert(each.attempt);
    }
  }
  rig::Record("lookups: %d served, %d failed", g_served.load(),
              g_failed.load());
  rig::Record(
      "%zu crashes; requests that reached runners later than %d ms after the "
      "third: %zu (3 allowed)",
      g_crashes.size(), kStableWindowMs, late.size());
  if (g_served < 100)
    rig::Exit(2);
  rig::Exit(late.size() > 3 ? 1 : 0);
}
