// Load generator: sends a workload mix to instances and verifies every
// response.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>

#include "src/edges/http_client.h"
#include "src/edges/json.h"
#include "src/formats/completion_format.h"
#include "src/kernel/log.h"
#include "src/model/token_stream.h"
#include "src/model/workload.h"

ABSL_FLAG(std::string,
          targets,
          "127.0.0.1:7101",
          "comma-separated HTTP addresses, used round-robin");
ABSL_FLAG(std::string, key, "", "the organisation's key");
ABSL_FLAG(std::string, mix, "svaz", "svaz or virtanen");
ABSL_FLAG(std::string, only, "", "send only requests of this kind");
ABSL_FLAG(double, rate, 10, "requests per second, before --only is applied");
ABSL_FLAG(double, load, 0, "instead of --rate: fraction of --capacity to use");
ABSL_FLAG(double,
          capacity,
          0,
          "prompt tokens per second of all upstreams together");
ABSL_FLAG(double, seconds, 10, "duration of the arrivals, in seconds");
ABSL_FLAG(double, warm_up, 0, "initial seconds excluded from the results");
ABSL_FLAG(uint64_t, seed, 1, "random seed of the workload");
ABSL_FLAG(int,
          timeout_ms,
          120'000,
          "time after which a request without a response counts as lost");
ABSL_FLAG(bool, json, false, "print JSON instead of a table");
ABSL_FLAG(std::string,
          put,
          "",
          "instead of generating load: PUT --body to this address and path");
ABSL_FLAG(std::string, body, "", "body of --put");
ABSL_FLAG(bool, list, false, "also print one line per request");

namespace {

using namespace cactusward;  // NOLINT
using nlohmann::json;

struct outcome {
  std::string status;  // ok, refused:<kind>, failed:<kind>, wrong, lost
  double first_token_ms = 0;
  double end_ms = 0;
  std::vector<double> gaps_ms;
  std::string instance;
};

struct sample {
  model::arrival arrival;
  outcome result;
};

std::string ErrorKindOf(const std::string& body) {
  const auto parsed = ParseJson(body);
  if (!parsed || !parsed->contains("error"))
    return "unreadable";
  return (*parsed)["error"].value("kind", "unreadable");
}

// Returns "refused:<kind>" when the error body states that the request was not
// executed, "failed:<kind>" otherwise.
std::string ErrorStatus(const std::string& body) {
  const auto parsed = ParseJson(body);
  const bool not_run = parsed && parsed->contains("error") &&
                       (*parsed)["error"].value("was_run", "") == "no";
  return (not_run ? "refused:" : "failed:") + ErrorKindOf(body);
}

class load_driver {
 public:
  load_driver()
      : client_(io_),
        mix_(model::FindWorkloadMix(absl::GetFlag(FLAGS_mix))),
        targets_(absl::StrSplit(absl::GetFlag(FLAGS_targets), ',')) {}

  int Run() {
    if (mix_.kinds.empty()) {
      std::cerr << "--mix: unknown workload mix\n";
      return 2;
    }
    double rate = absl::GetFlag(FLAGS_rate);
    if (absl::GetFlag(FLAGS_load) > 0)
      rate = absl::GetFlag(FLAGS_load) * absl::GetFlag(FLAGS_capacity) /
             model::MeanPromptTokens(mix_);
    const auto arrivals = model::MakeArrivals(
        mix_, rate, absl::GetFlag(FLAGS_seconds), absl::GetFlag(FLAGS_seed));
    started_at_ = clock::now();
    for (const model::arrival& arrival : arrivals) {
      const std::string& kind = mix_.kinds[arrival.kind].name;
      const std::string only = absl::GetFlag(FLAGS_only);
      if (!only.empty() && kind != only)
        continue;
      Schedule(arrival);
    }
    io_.run();
    return Report(rate);
  }

 private:
  void Schedule(const model::arrival& arrival) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_at(started_at_ +
                      std::chrono::duration_cast<duration>(
                          std::chrono::duration<double>(arrival.at_seconds)));
    timer->async_wait([this, timer, arrival](boost::system::error_code) {
      Spawn(io_, "request", [this, arrival](asio::yield_context yield) {
        const model::request_kind& kind = mix_.kinds[arrival.kind];
        samples_.push_back({arrival, kind.service.empty()
                                         ? SendCompletion(arrival, yield)
                                         : SendCall(arrival, yield)});
      });
    });
  }

  outgoing_request MakeRequest() {
    outgoing_request request;
    request.method = http::verb::post;
    request.headers = {{"Authorization", "Bearer " + absl::GetFlag(FLAGS_key)},
                       {"Content-Type", "application/json"}};
    return request;
  }

  const std::string& NextTarget() {
    return targets_[next_target_++ % targets_.size()];
  }

  time_point Deadline() const {
    return clock::now() + milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  }

  outcome SendCompletion(const model::arrival& arrival,
                         asio::yield_context yield) {
    const model::request_kind& kind = mix_.kinds[arrival.kind];
    const std::string prompt =
        model::MakePrompt(arrival, absl::GetFlag(FLAGS_seed));
    outgoing_request request = MakeRequest();
    request.target = "/v1/completions";
    request.body = WriteJson({{"model", mix_.model},
                              {"prompt", prompt},
                              {"max_tokens", kind.output_tokens},
                              {"stream", true}});
    const time_point sent = clock::now();
    outcome result;
    auto stream = client_.Open(NextTarget(), request, Deadline(), yield);
    request.body.clear();
    if (!stream) {
      result.status = "lost";
      return result;
    }
    result.instance = (*stream)->Header("X-Served-By");
    const bool streamed = (*stream)->status() == 200;
    event_splitter splitter;
    std::vector<std::string> events;
    std::string text;
    std::string body;
    std::string failure;
    bool done = false;
    time_point last = sent;
    while (true) {
      const auto bytes = (*stream)->Read(Deadline(), yield);
      if (!bytes)
        failure = failure.empty() ? "lost" : failure;
      if (!bytes || bytes->empty())
        break;
      if (!streamed) {
        body.append(*bytes);
        continue;
      }
      events.clear();
      splitter.Feed(*bytes, &events);
      const time_point now = clock::now();
      for (const std::string& data : events) {
        const completion_event event = ParseEvent(data, false);
        if (event.kind == event_kind::kError)
          failure = "failed:" + ErrorKindOf(data);
        done = done || event.kind == event_kind::kDone;
        if (event.kind != event_kind::kToken)
          continue;
        if (text.empty())
          result.first_token_ms = ToMilliseconds(now - sent);
        else
          result.gaps_ms.push_back(ToMilliseconds(now - last));
        last = now;
        text += event.text;
      }
    }
    result.end_ms = ToMilliseconds(clock::now() - sent);
    if (!streamed && failure.empty())
      result.status = ErrorStatus(body);
    else if (!failure.empty())
      result.status = failure;
    else if (!done)
      result.status = "lost";
    else
      result.status = text == model::ExpectedText(prompt, kind.output_tokens)
                          ? "ok"
                          : "wrong";
    return result;
  }

  outcome SendCall(const model::arrival& arrival, asio::yield_context yield) {
    const model::request_kind& kind = mix_.kinds[arrival.kind];
    const std::string name = "seed " +
                             std::to_string(absl::GetFlag(FLAGS_seed)) + " " +
                             std::to_string(arrival.number);
    outgoing_request request = MakeRequest();
    request.target = "/v1/services/" + kind.service + "/" + kind.call;
    request.body = name;
    if (!kind.repeatable)
      request.headers.emplace_back("Idempotency-Key", name);
    const time_point sent = clock::now();
    const auto response =
        client_.Call(NextTarget(), request, Deadline(), yield);
    outcome result;
    result.end_ms = ToMilliseconds(clock::now() - sent);
    result.first_token_ms = result.end_ms;
    if (!response) {
      result.status = "lost";
      return result;
    }
    const auto body = ParseJson(response->body);
    if (response->status != 200)
      result.status = ErrorStatus(response->body);
    else
      result.status = body && body->value("for", "") == name ? "ok" : "wrong";
    return result;
  }

  static double Percentile(std::vector<double> values, double fraction) {
    if (values.empty())
      return 0;
    std::sort(values.begin(), values.end());
    const auto index =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
  }

  json Summary(std::size_t kind) const {
    std::vector<double> first;
    std::vector<double> end;
    std::vector<double> gaps;
    std::map<std::string, int> statuses;
    double tokens = 0;
    for (const sample& sample : samples_) {
      if (sample.arrival.kind != kind ||
          sample.arrival.at_seconds < absl::GetFlag(FLAGS_warm_up))
        continue;
      ++statuses[sample.result.status];
      if (sample.result.status != "ok")
        continue;
      first.push_back(sample.result.first_token_ms);
      end.push_back(sample.result.end_ms);
      gaps.insert(gaps.end(), sample.result.gaps_ms.begin(),
                  sample.result.gaps_ms.end());
      tokens += static_cast<double>(sample.arrival.prompt_tokens);
    }
    return {{"statuses", statuses},
            {"ok", first.size()},
            {"prompt_tokens", tokens},
            {"first_token_ms",
             {{"p50", Percentile(first, 0.50)},
              {"p95", Percentile(first, 0.95)},
              {"p99", Percentile(first, 0.99)}}},
            {"between_tokens_ms", {{"p95", Percentile(gaps, 0.95)}}},
            {"end_ms",
             {{"p50", Percentile(end, 0.50)}, {"p99", Percentile(end, 0.99)}}}};
  }

  int Report(double rate) const {
    json kinds = json::object();
    int lost_or_wrong = 0;
    for (std::size_t i = 0; i < mix_.kinds.size(); ++i)
      kinds[mix_.kinds[i].name] = Summary(i);
    for (const sample& sample : samples_) {
      const bool is_lost_or_wrong =
          sample.result.status == "lost" || sample.result.status == "wrong";
      lost_or_wrong += is_lost_or_wrong ? 1 : 0;
      if (absl::GetFlag(FLAGS_list))
        std::printf("%-15s %-28s first %8.1f ms  end %8.1f ms  %s\n",
                    mix_.kinds[sample.arrival.kind].name.c_str(),
                    sample.result.status.c_str(), sample.result.first_token_ms,
                    sample.result.end_ms, sample.result.instance.c_str());
    }
    if (absl::GetFlag(FLAGS_json)) {
      std::cout << json({{"rate", rate},
                         {"lost_or_wrong", lost_or_wrong},
                         {"kinds", kinds}})
                       .dump(2)
                << '\n';
      return lost_or_wrong == 0 ? 0 : 1;
    }
    std::printf("%-16s %7s %10s %10s %10s %10s  %s\n", "kind", "ok",
                "first p50", "first p95", "first p99", "end p99", "not ok");
    for (const auto& [name, kind] : kinds.items()) {
      json other = kind["statuses"];
      other.erase("ok");
      std::printf("%-16s %7d %10.1f %10.1f %10.1f %10.1f  %s\n", name.c_str(),
                  kind["ok"].get<int>(),
                  kind["first_token_ms"]["p50"].get<double>(),
                  kind["first_token_ms"]["p95"].get<double>(),
                  kind["first_token_ms"]["p99"].get<double>(),
                  kind["end_ms"]["p99"].get<double>(),
                  other.empty() ? "-" : other.dump().c_str());
    }
    return lost_or_wrong == 0 ? 0 : 1;
  }

  asio::io_context io_;
  http_client client_;
  model::workload_mix mix_;
  std::vector<std::string> targets_;
  std::size_t next_target_ = 0;
  time_point started_at_;
  std::vector<sample> samples_;
};

// Sends --body in one PUT request; used by scripts that set up a deployment.
// @return the exit code.
int Put(const std::string& target) {
  const auto slash = std::min(target.find('/'), target.size());
  outgoing_request request;
  request.method = http::verb::put;
  request.target = target.substr(slash);
  request.body = absl::GetFlag(FLAGS_body);
  bool done = false;
  asio::io_context io;
  http_client client(io);
  Spawn(io, "put", [&](asio::yield_context yield) {
    const auto response =
        client.Call(target.substr(0, slash), request,
                    clock::now() + std::chrono::seconds(5), yield);
    done = response && response->status == 200;
  });
  io.run();
  return done ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Sends a workload mix and verifies every response.\n"
      "Exit codes: 0 no response was lost or wrong, 1 a response was lost or "
      "wrong, 2 usage.");
  absl::ParseCommandLine(argc, argv);
  InitLog("load", log_level::kWarning);
  if (!absl::GetFlag(FLAGS_put).empty())
    return Put(absl::GetFlag(FLAGS_put));
  return load_driver().Run();
}
