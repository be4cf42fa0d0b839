// A machine gets SIGTERM. Streams that it takes later than 3 s after it run on
// sound runners that fall silent once. Looks for streams that are cut.
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/support/harness.h"

namespace {

constexpr int kInstances = 3;
constexpr int kRunners = 4;
constexpr int kTokensPerEvent = 51;
// Between the passes of an empty engine (43 ms) and a full one (93 ms).
constexpr int kEventMs = 50;
constexpr int kEvents = 70;
constexpr int kShortEvents = 20;
constexpr int kSilenceMs = 1'200;  // "a second or so"
constexpr int kLongEvents = 90;    // ends before the silence
constexpr int kEarlierStreams = 6;
constexpr int kLateStreams = 3;
constexpr int kSentAfterMs = 3'100;  // of the SIGTERM
constexpr int kConnectedAfterMs = 1'800;
constexpr int kReadTimeoutMs = 10'000;

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Answer(const review::runner_request& request,
            const review::answer_writer& send) {
  send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id +
       "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
       "Transfer-Encoding: chunked\r\n\r\n");
  const std::string last = review::FieldOf(request.head, "last-event-id");
  const std::string counts = review::FieldOf(request.head, "x-token-counts");
  const int events =
      std::atoi(counts.substr(counts.find(',') + 1).c_str()) / kTokensPerEvent;
  for (int n = std::atoi(last.c_str()) + 1; n <= events; ++n) {
    const bool silent =
        review::HasTrouble() && events == kEvents && n == events / 2;
    SleepMs(silent ? kSilenceMs : kEventMs);
    const std::string event = "id: " + std::to_string(n) + "\ndata: x\n\n";
    char size[20];
    snprintf(size, sizeof(size), "%zx", event.size());
    if (!send(std::string(size) + "\r\n" + event + "\r\n"))
      return false;
  }
  return send("0\r\n\r\n");
}

std::string Request(const std::string& id, int events) {
  return "POST /draft/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token key\r\n"
         "X-Model-Name: m\r\nX-Token-Counts: 1000," +
         std::to_string(events * kTokensPerEvent) +
         "\r\nX-Prompt-Prefix: aa:40,bb:960\r\nContent-Length: 0\r\n\r\n";
}

}  // namespace

int main(int, char** arguments) {
  review::record log(arguments[2]);
  std::vector<std::unique_ptr<review::scripted_runner>> runners;
  review::deployment fleet(arguments[1], &log);
  fleet.UseEngines();
  for (int n = 1; n <= kRunners; ++n) {
    const std::string id = "plain-" + std::to_string(n);
    const int port = fleet.FreePorts(1);
    runners.push_back(
        std::make_unique<review::scripted_runner>(id, port, Answer));
    fleet.AddRunner(id, port);
  }
  if (!fleet.Start(kInstances, 0, 0,
                   R"({"name":"draft","host":"h","path_prefix":"/draft/",)"
                   R"("kind":"streaming","service":"plain","resumable":true,)"
                   R"("timeout_ms":10000,"target_latency_ms":300,)"
                   R"("target_itl_ms":250,"priority":1,"max_attempts":2})")) {
    log.Line("the deployment does not become ready");
    return review::kCannotRun;
  }
  const review::instance& target = fleet.instances().front();
  for (int n = 1; n <= kEarlierStreams; ++n) {
    const auto reply = review::Call(
        target.port, Request("early-" + std::to_string(n), kShortEvents),
        kReadTimeoutMs);
    if (reply.status != 200 || !reply.complete)
      return review::kCannotRun;
  }
  // Keeps the process in its shutdown; without work it ends at once.
  std::thread long_stream([&log, &target] {
    const auto reply =
        review::Call(target.port, Request("long", kLongEvents), kReadTimeoutMs);
    log.Line(std::string("the stream sent before: ") +
             (reply.complete ? "complete" : "not complete"));
  });
  SleepMs(kEventMs);
  log.Line("SIGTERM to " + target.name);
  kill(target.pid, SIGTERM);
  SleepMs(kConnectedAfterMs);
  std::vector<std::unique_ptr<review::client_connection>> connections;
  for (int n = 0; n < kLateStreams; ++n)
    connections.push_back(
        std::make_unique<review::client_connection>(target.port));
  SleepMs(kSentAfterMs - kConnectedAfterMs);
  std::vector<review::http_reply> replies(kLateStreams);
  std::vector<std::thread> clients;
  for (int n = 0; n < kLateStreams; ++n) {
    log.Line("sent late-" + std::to_string(n));
    connections[n]->Send(Request("late-" + std::to_string(n), kEvents));
    clients.emplace_back([&replies, &connections, n] {
      replies[n] = connections[n]->Read(kReadTimeoutMs);
    });
  }
  for (std::thread& client : clients)
    client.join();
  long_stream.join();
  int cut = 0;
  for (int n = 0; n < kLateStreams; ++n) {
    const bool lost = replies[n].status != 0 && !replies[n].complete;
    cut += lost ? 1 : 0;
    log.Line("late-" + std::to_string(n) + ": status " +
             std::to_string(replies[n].status) +
             (lost                  ? ", cut"
              : replies[n].complete ? ", complete"
                                    : ", no answer"));
  }
  log.Line(cut > 0 ? "LOST broken" : "LOST held");
  return cut > 0 ? review::kBroken : review::kHeld;
}
