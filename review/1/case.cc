// Sound runners fall silent once in a stream, just before its last event, and
// go on. Looks for streams that end as complete without that event.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/support/harness.h"

namespace {

constexpr int kInstances = 3;
constexpr int kRunners = 3;
constexpr int kEvents = 10;
constexpr int kEventPauseMs = 40;
// "A second or so", longer from stream to stream.
constexpr int kSilenceMs = 1'400;
constexpr int kSilenceStepMs = 20;
constexpr int kSilences = 11;
// Of a run that continues a stream: it reads the prompt again.
constexpr int kFirstEventMs = 600;
constexpr int kStreams = 12;  // one after the other
constexpr int kReadTimeoutMs = 9'000;
// Instances that have just started spend no retries for one window of 10 s.
constexpr int kSettleMs = 12'000;

void SleepMs(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Event(const std::string& id, int n) {
  return "id: " + std::to_string(n) + "\ndata: " + id + "/" +
         std::to_string(n) + "\n\n";
}

int SilenceOf(const std::string& id) {
  const int number = std::atoi(id.substr(id.find('-') + 1).c_str());
  return kSilenceMs + kSilenceStepMs * (number % kSilences);
}

// Without a length or chunks: the response ends with its connection.
bool Answer(const review::runner_request& request,
            const review::answer_writer& send) {
  const std::string last = review::FieldOf(request.head, "last-event-id");
  send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.id +
       "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
       "Connection: close\r\n\r\n");
  if (!last.empty())
    SleepMs(kFirstEventMs);
  const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  for (int n = first; n <= kEvents; ++n) {
    const bool silent = last.empty() && n == kEvents && review::HasTrouble();
    SleepMs(silent ? SilenceOf(request.id) : kEventPauseMs);
    if (!send(Event(request.id, n)))
      return false;
  }
  return false;
}

// The events of a response, without the frames of the chunks.
std::string EventsOf(const std::string& body) {
  std::string events;
  std::size_t at = 0;
  while (at < body.size()) {
    const auto size =
        static_cast<std::size_t>(std::strtoul(body.c_str() + at, nullptr, 16));
    const auto begin = body.find("\r\n", at);
    if (size == 0 || begin == std::string::npos)
      break;
    events += body.substr(begin + 2, size);
    at = begin + 2 + size + 2;
  }
  return events;
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
  SleepMs(kSettleMs);
  std::vector<review::http_reply> replies(kStreams);
  const auto id_of = [](int n) { return "stream-" + std::to_string(n); };
  for (int n = 0; n < kStreams; ++n) {
    replies[n] = review::Call(
        fleet.instances()[n % kInstances].port,
        "POST /draft/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id_of(n) +
            "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token key\r\n"
            "X-Model-Name: m\r\nX-Token-Counts: 4960,510\r\n"
            "X-Prompt-Prefix: aa:40,bb:4920\r\nContent-Length: 0\r\n\r\n",
        kReadTimeoutMs);
  }
  int whole = 0;
  int cut = 0;
  int wrong = 0;
  for (int n = 0; n < kStreams; ++n) {
    std::string expected;
    for (int event = 1; event <= kEvents; ++event)
      expected += Event(id_of(n), event);
    const std::string events = EventsOf(replies[n].body);
    if (replies[n].status != 200 || !replies[n].complete) {
      ++cut;
      log.Line(id_of(n) + ": status " + std::to_string(replies[n].status) +
               ", not complete");
    } else if (events == expected) {
      ++whole;
    } else {
      ++wrong;
      const auto last = events.rfind("id: ");
      log.Line(id_of(n) + ": ends as complete with the last chunk; its last " +
               "event has \"" +
               events.substr(last, events.find('\n', last) - last) +
               "\", the stream's " + std::to_string(kEvents));
    }
  }
  log.Line("streams: " + std::to_string(whole) + " whole, " +
           std::to_string(cut) + " cut, " + std::to_string(wrong) +
           " complete without an event");
  log.Line(wrong > 0 ? "ORDER broken" : "ORDER held");
  return wrong > 0 ? review::kBroken : review::kHeld;
}
