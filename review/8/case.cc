// A machine that is stopped while a runner of its zone is replaced by a slower
// one: the streams that it takes late.
#include "review/support-2/rig.h"

namespace {

constexpr int kInstances = 3;
// One runner in each zone, and the one that replaces the first.
constexpr int kRunners = 4;
constexpr int kReplaced = 0, kNew = 3;
constexpr int kTokensPerEvent = 51;
// Events of the streams before the stop, of the one that runs as it begins, and
// of the late ones.
constexpr int kShort = 10;
constexpr int kRunning = 100;
constexpr int kLate = 44;
constexpr int kEventMs[kRunners] = {45, 45, 45, 115};
constexpr int kPrefillMs = 30;
constexpr int kRunsBefore = 40;
constexpr int kLeavesAfterMs = 500;
constexpr int kConnectAfterMs = 1'800;
constexpr int kSendAfterMs = 3'100;
constexpr int kLateStreams = 6;

std::string IdOf(int runner) {
  return "model-" + std::to_string(runner + 1);
}

std::mutex g_mutex;
std::map<std::string, int> g_ran_at;

bool Handle(int runner, int fd, const rig::message& request) {
  const std::string attempt = request.Field("X-Attempt-Id");
  std::string head = "X-Attempt-Id: " + attempt +
                     "\r\nX-Instance-Id: " + IdOf(runner) + "\r\n";
  if (request.Field("X-Expected-Instance") != IdOf(runner))
    return rig::SendAll(fd, "HTTP/1.1 421 Misdirected Request\r\n" + head +
                                "Content-Length: 0\r\n\r\n");
  {
    const std::lock_guard<std::mutex> lock(g_mutex);
    g_ran_at[attempt] = runner;
  }
  const std::string last = request.Field("Last-Event-Id");
  rig::SleepMs(kPrefillMs);
  if (!rig::SendAll(fd, "HTTP/1.1 200 OK\r\n" + head +
                            "X-Response-Seal: seal-" + attempt +
                            "\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  const std::string counts = request.Field("X-Token-Counts");
  const int events =
      std::stoi(counts.substr(counts.find(',') + 1)) / kTokensPerEvent;
  for (int n = last.empty() ? 1 : std::stoi(last) + 1; n <= events; ++n) {
    const std::string event =
        "id: " + std::to_string(n) + "\ndata: " + attempt + "\n\n";
    char size[32];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    rig::SleepMs(kEventMs[runner]);
    if (!rig::SendAll(fd, size + event + "\r\n"))
      return false;
  }
  return rig::SendAll(fd, "0\r\n\r\n");
}

std::string Note(const std::string& id, int events) {
  return rig::MakeRequest(
      "POST", "/note/" + id, id, 10'000,
      {{"X-Model-Name", "m"},
       {"X-Token-Counts", "4960," + std::to_string(events * kTokensPerEvent)},
       {"X-Prompt-Prefix", "5a01:40," + id + ":4920"}},
      "question " + id);
}

void Register(rig::store& store,
              int runner,
              const rig::address& at,
              int sequence,
              const std::string& state) {
  store.Put("servers/" + IdOf(runner),
            rig::Entry("model", at, "zone-" + std::to_string(runner % 3 + 1),
                       16, 1'790'000'000'000, sequence, state)
                .dump());
}

}  // namespace

int main(int argc, char** argv) {
  rig::Begin(argc, argv);
  rig::fleet fleet(kInstances, argv[2]);
  rig::TheFleet() = &fleet;
  if (!fleet.StartStore())
    rig::Exit(2);
  std::vector<std::unique_ptr<rig::server>> runners;
  for (int i = 0; i < kRunners; ++i) {
    runners.push_back(std::make_unique<rig::server>(
        rig::address{"127.0.0.1", rig::FreePort({"127.0.0.1"})},
        [i](int fd, const rig::message& request) {
          return Handle(i, fd, request);
        }));
    if (!runners.back()->Start())
      rig::Exit(2);
    if (i != kNew)
      Register(fleet.registry(), i, runners.back()->at(), 1, "ready");
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
  rig::SleepMs(2'000);
  const rig::instance& stopped = fleet.instances()[0];  // in zone-1
  int whole = 0;
  for (int n = 0; n < kRunsBefore; ++n) {
    const std::string id = "a" + std::to_string(1'000 + n);
    whole +=
        rig::Call(stopped.frontend, Note(id, kShort), 10'000).complete ? 1 : 0;
  }
  rig::Record("before: %d of %d streams whole", whole, kRunsBefore);
  if (whole < kRunsBefore)
    rig::Exit(2);
  rig::SleepMs(4'000);  // no disruption for the stable window
  std::thread running([&stopped] {
    const rig::message answer =
        rig::Call(stopped.frontend, Note("c1000", kRunning), 10'000);
    rig::Record("the stream that ran: %s",
                answer.complete ? "complete" : "cut");
  });
  rig::SleepMs(500);
  kill(stopped.pid, SIGTERM);
  const std::int64_t stop_at = rig::NowMs();
  rig::Record("SIGTERM to %s", stopped.name.c_str());
  if (rig::WithTrouble()) {
    Register(fleet.registry(), kNew, runners[kNew]->at(), 1, "ready");
    rig::Record("%s starts", IdOf(kNew).c_str());
    rig::SleepMs(kLeavesAfterMs);
    Register(fleet.registry(), kReplaced, runners[kReplaced]->at(), 2,
             "draining");
    rig::Record("%s reports draining", IdOf(kReplaced).c_str());
  }
  std::vector<int> fds;
  rig::SleepMs(stop_at + kConnectAfterMs - rig::NowMs());
  for (int n = 0; n < kLateStreams; ++n)
    fds.push_back(rig::Connect(stopped.frontend, 12'000));
  rig::SleepMs(stop_at + kSendAfterMs - rig::NowMs());
  std::atomic<int> cut{0}, refused{0}, served{0};
  std::vector<std::thread> late;
  for (int n = 0; n < kLateStreams; ++n) {
    late.emplace_back([&, n, fd = fds[static_cast<std::size_t>(n)]] {
      const std::string id = "b" + std::to_string(1'000 + n);
      rig::Record("send %s, %d ms after the SIGTERM", id.c_str(),
                  static_cast<int>(rig::NowMs() - stop_at));
      rig::reader in(fd);
      rig::message answer;
      if (rig::SendAll(fd, Note(id, kLate)) && in.ReadHead(&answer))
        in.ReadBody(&answer, false);
      const auto events =
          std::count(answer.body.begin(), answer.body.end(), '\n') / 3;
      int runner = -1;
      {
        const std::lock_guard<std::mutex> lock(g_mutex);
        const auto ran = g_ran_at.find(id);
        runner = ran == g_ran_at.end() ? -1 : ran->second;
      }
      rig::Record("%s: \"%s\", %d events, %s, runner %d, %d ms after",
                  id.c_str(), answer.start.c_str(), static_cast<int>(events),
                  answer.complete ? "complete" : "cut", runner + 1,
                  static_cast<int>(rig::NowMs() - stop_at));
      if (answer.complete)
        ++(answer.Status() == 200 ? served : refused);
      else if (runner >= 0)
        ++cut;
      close(fd);
    });
  }
  for (std::thread& client : late)
    client.join();
  running.join();
  rig::Record(
      "late streams: %d whole, %d answered otherwise, %d cut (0 allowed)",
      served.load(), refused.load(), cut.load());
  rig::Exit(cut > 0 ? 1 : 0);
}
