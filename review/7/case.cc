// A part of a prompt that crashes runners and stands far behind in a long list
// of parts.
#include "review/support-2/rig.h"

namespace {

constexpr int kInstances = 3;
constexpr int kRunners = 6;
constexpr int kStableWindowMs = 3'000;
constexpr int kDowntimeMs = 3'000;
// An entry is removed after three heartbeats (1,200 ms) of silence.
constexpr int kEntryLapsesMs = 3'600;
constexpr int kTaintedPeriodMs = 1'000;
constexpr int kTaintedRequests = 20;
constexpr int kParts = 80;
constexpr int kDeadlyPosition = 70;
constexpr int kTokensPerPart = 62;
constexpr int kPrefillMs = 60;
constexpr int kEvents = 4;
const char* const kDeadlyPart = "dead0f17";

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
std::vector<arrival> g_tainted;
std::vector<std::pair<std::int64_t, bool>> g_sound;  // sent at, served
std::atomic<int> g_served{0}, g_failed{0};
std::atomic<bool> g_ended{false};

// The parts of a conversation that all requests share, with one that is its
// own at the end. The part at kDeadlyPosition is `document`.
std::string Prefix(const std::string& document, const std::string& own) {
  std::string text;
  for (int i = 0; i < kParts; ++i) {
    char part[32];
    std::snprintf(part, sizeof(part), "5a%06x", i);
    text += (i == kDeadlyPosition ? document : std::string(part)) + ":" +
            std::to_string(kTokensPerPart) + ",";
  }
  return text + own + ":40";
}

void Register(rig::store& store, const runner& each) {
  store.Put("servers/" + each.id,
            rig::Entry("model", each.process->at(),
                       "zone-" + std::to_string(each.number % 3 + 1), 16,
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
      each->id = "model-" + std::to_string(each->number) + "-" +
                 std::to_string(each->starts);
      each->process->Start();
      Register(store, *each);
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
  const std::string prefix = "," + request.Field("X-Prompt-Prefix");
  const bool is_tainted =
      prefix.find("," + std::string(kDeadlyPart) + ":") != std::string::npos;
  if (is_tainted) {
    rig::Record("run %s at %s", attempt.c_str(), each->id.c_str());
    const std::lock_guard<std::mutex> lock(g_mutex);
    g_tainted.push_back({rig::NowMs(), attempt});
  }
  rig::SleepMs(kPrefillMs);
  if (is_tainted && rig::WithTrouble()) {
    Crash(store, each);
    return false;
  }
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  for (const auto& [name, value] : echo)
    head += name + ": " + value + "\r\n";
  head += "X-Response-Seal: seal-" + attempt +
          "\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (!rig::SendAll(fd, head))
    return false;
  const std::string last = request.Field("Last-Event-Id");
  for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= kEvents; ++i) {
    const std::string event =
        "id: " + std::to_string(i) + "\ndata: " + attempt + "\n\n";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    rig::SleepMs(15);
    if (!rig::SendAll(fd, size + event + "\r\n"))
      return false;
  }
  return rig::SendAll(fd, "0\r\n\r\n");
}

std::string Note(const std::string& id,
                 const std::string& document,
                 const std::string& own) {
  return rig::MakeRequest(
      "POST", "/note/" + own, id, 10'000,
      {{"X-Model-Name", "m"},
       {"X-Token-Counts", std::to_string(kParts * kTokensPerPart + 40) + ",80"},
       {"X-Prompt-Prefix", Prefix(document, own)}},
      "question " + own);
}

// Sound requests, which share all parts but one and their own.
void SendNotes(const rig::instance& at, int client) {
  for (int n = 0; !g_ended; ++n) {
    rig::SleepMs(150 + (n * 37 + client * 11) % 60);
    char own[32];
    std::snprintf(own, sizeof(own), "0%s%d%05x", at.name.c_str() + 5, client,
                  static_cast<unsigned>(n));
    char document[32];
    std::snprintf(document, sizeof(document), "50d%05x",
                  static_cast<unsigned>(n % 20));
    const std::int64_t sent_at = rig::NowMs();
    const rig::message response = rig::Call(
        at.frontend, Note("a" + std::string(own), document, own), 10'000);
    // The rule asks whether it begins.
    const bool served = response.Status() == 200 && !response.body.empty();
    ++(served ? g_served : g_failed);
    const std::lock_guard<std::mutex> lock(g_mutex);
    g_sound.emplace_back(sent_at, served);
  }
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
    next->id = "model-" + std::to_string(i + 1) + "-0";
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
      rig::Config(7,
                  rig::json::array({rig::Route("note", "streaming", "model",
                                               true, 2, 10'000, 300, 250)}),
                  rig::json::array({{{"name", "model"},
                                     {"health_path", "/healthz"},
                                     {"backend", rig::EngineBackend()}}}))
          .dump());
  if (!fleet.StartAll() || !fleet.AwaitReady(10'000))
    rig::Exit(2);
  std::vector<std::thread> clients;
  for (const rig::instance& each : fleet.instances()) {
    for (int client = 0; client < 3; ++client)
      clients.emplace_back([&each, client] { SendNotes(each, client); });
  }
  rig::SleepMs(5'000);
  for (int n = 0; n < kTaintedRequests; ++n) {
    const rig::instance& at = fleet.instances()[n % kInstances];
    char own[32];
    std::snprintf(own, sizeof(own), "bad%05x", static_cast<unsigned>(n));
    const std::string id = "badc0de" + std::to_string(n);
    const rig::message response =
        rig::Call(at.frontend, Note(id, kDeadlyPart, own), 10'000);
    rig::Record("answer to %s from %s: %s", id.c_str(), at.name.c_str(),
                response.start.c_str());
    rig::SleepMs(kTaintedPeriodMs);
  }
  g_ended = true;
  for (std::thread& client : clients)
    client.join();
  const std::lock_guard<std::mutex> lock(g_mutex);
  int late = 0;
  if (g_crashes.size() >= 5) {
    for (const arrival& each : g_tainted)
      late += each.at > g_crashes[4] + kStableWindowMs ? 1 : 0;
  }
  // LOST: sound requests with the same key and first part, before the first
  // crash and from two windows after the fifth.
  int before = 0, before_served = 0, after = 0, after_served = 0;
  for (const auto& [sent_at, served] : g_sound) {
    if (g_crashes.size() < 5 || sent_at < g_crashes[0]) {
      ++before;
      before_served += served ? 1 : 0;
    } else if (sent_at > g_crashes[4] + 2 * kStableWindowMs) {
      ++after;
      after_served += served ? 1 : 0;
    }
  }
  rig::Record(
      "sound requests begun at the first attempt: %d of %d before the "
      "crashes, %d of %d from %d ms after the fifth",
      before_served, before, after_served, after, 2 * kStableWindowMs);
  rig::Record("sound requests: %d begun, %d not", g_served.load(),
              g_failed.load());
  rig::Record(
      "%zu crashes; requests with the part that reached runners later than "
      "%d ms after the fifth: %d (3 allowed)",
      g_crashes.size(), kStableWindowMs, late);
  if (g_served < 100)
    rig::Exit(2);
  const bool is_lost = before >= 20 && after >= 20 &&
                       2 * after_served * before < before_served * after;
  rig::Exit(is_lost || late > 3 ? 1 : 0);
}
