#include "src/model/runner_standin.h"

#include "cactusward/hash.h"
#include "src/edges/json.h"
#include "src/formats/completion_format.h"

namespace cactusward::model {
namespace {

using nlohmann::json;

constexpr std::chrono::hours kNoTimeout{24};
constexpr milliseconds kWriteTimeout{60'000};
constexpr int kTokensBeforeCut = 3;
constexpr int kCrashExitStatus = 70;
constexpr std::size_t kBlockBytes = 1024;

std::string PromptText(const json& body, bool chat) {
  if (!chat)
    return body.value("prompt", "");
  std::string text;
  for (const json& message : body["messages"])
    text += message.value("content", "");
  return text;
}

std::vector<std::uint64_t> PrefixBlocks(std::string_view text) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  for (std::size_t at = 0; at + kBlockBytes <= text.size(); at += kBlockBytes) {
    hash = Hash64(text.substr(at, kBlockBytes), hash);
    blocks.push_back(hash);
  }
  return blocks;
}

bool ConsumeFault(int* count) {
  if (*count <= 0)
    return false;
  --*count;
  return true;
}

}  // namespace

runner_standin::runner_standin(asio::io_context& io,
                               const runner_settings& settings)
    : io_(io),
      settings_(settings),
      engine_(settings.engine),
      server_(io, this, http_server_limits()),
      work_available_(io) {
  Spawn(io_, "engine", [this](asio::yield_context yield) { RunEngine(yield); });
}

void runner_standin::RunEngine(asio::yield_context yield) {
  time_point now = clock::now();
  while (true) {
    const step_outcome step = engine_.Step();
    if (step.duration_ms <= 0) {
      WaitOn(work_available_, clock::now() + kNoTimeout, yield);
      now = clock::now();
      continue;
    }
    // Each step ends a fixed time after the end of the previous one, not after
    // the wake-up, so that late wake-ups do not lower the average speed.
    now += std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(step.duration_ms *
                                                  settings_.time_scale));
    if (now > clock::now())
      WaitOn(work_available_, now, yield);
    while (clock::now() < now)
      WaitOn(work_available_, now, yield);
    for (std::uint64_t id : step.ids_with_token) {
      const auto it = generations_.find(id);
      if (it == generations_.end())
        continue;
      ++it->second->ready_tokens;
      it->second->timer.cancel();
    }
    for (std::uint64_t id : step.finished) {
      const auto it = generations_.find(id);
      if (it != generations_.end())
        it->second->finished = true;
    }
  }
}

std::string runner_standin::LoadMetrics() {
  const time_point now = clock::now();
  load_history_.push_back({now, engine_.Load()});
  while (load_history_.size() > 1 &&
         load_history_[1].at <= now - settings_.report_lag)
    load_history_.pop_front();
  const load_sample& reported = load_history_.front();
  const auto lag =
      std::chrono::duration_cast<milliseconds>(now - reported.at).count();
  // Token counts are not scaled by time_scale: the configured rates are in real
  // time.
  return "JSON " +
         WriteJson({{"named_metrics",
                     {{"waiting_tokens", reported.load.waiting_tokens},
                      {"waiting_low_priority_tokens",
                       reported.load.waiting_low_priority_tokens},
                      {"kv_used_tokens", reported.load.kv_used_tokens},
                      {"leaving", faults_.leaving ? 1 : 0},
                      {"lag_ms", lag}}}});
}

void runner_standin::Handle(http_exchange& exchange,
                            asio::yield_context yield) {
  if (crashing_)
    return exchange.Abort();
  const std::string path(exchange.Path());
  exchange.SetHeader("endpoint-load-metrics", LoadMetrics());
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    HandleCompletion(exchange, path == "/v1/chat/completions", yield);
  } else if (path == "/control") {
    HandleControl(exchange, yield);
  } else if (path == "/record") {
    const engine_load load = engine_.Load();
    exchange.RespondJson({{"runs", run_counts_},
                          {"kv_used_tokens", load.kv_used_tokens},
                          {"open", generations_.size()},
                          {"processed_tokens", engine_.processed_tokens()}},
                         yield);
  } else {
    exchange.RespondJson({{"ok", true}}, yield);
  }
}

void runner_standin::HandleControl(http_exchange& exchange,
                                   asio::yield_context yield) {
  const auto body = ParseJson(exchange.request().body());
  if (!body || !body->is_object()) {
    exchange.RespondError(error_kind::kBadRequest, {}, yield);
    return;
  }
  faults_.refuse = body->value("refuse", faults_.refuse);
  faults_.cut = body->value("cut", faults_.cut);
  faults_.garble = body->value("garble", faults_.garble);
  faults_.cross = body->value("cross", faults_.cross);
  faults_.duplicate = body->value("duplicate", faults_.duplicate);
  faults_.leaving = body->value("leaving", faults_.leaving);
  exchange.RespondJson({{"ok", true}}, yield);
}

void runner_standin::HandleCompletion(http_exchange& exchange,
                                      bool chat,
                                      asio::yield_context yield) {
  auto body = ParseJson(exchange.request().body());
  if (!body || !body->is_object()) {
    exchange.RespondError(error_kind::kBadRequest, {}, yield);
    return;
  }
  exchange.request().body() = std::string();
  if (ConsumeFault(&faults_.refuse)) {
    exchange.RespondError(error_kind::kQueueFull, {}, yield);
    return;
  }
  const std::string text = PromptText(*body, chat);
  if (!settings_.crash_marker.empty() &&
      text.find(settings_.crash_marker) != std::string::npos)
    return Crash(exchange);
  const std::string request_id(exchange.Header("X-Request-Id"));
  ++run_counts_[request_id];
  engine_request request;
  request.id = next_id_++;
  request.prompt_tokens = EstimateTokens(text.size());
  request.max_tokens = body->value("max_tokens", 16);
  request.priority = body->value("priority", 0);
  request.prefix_blocks = PrefixBlocks(text);
  body.reset();
  generation state(io_, text);
  generations_[request.id] = &state;
  engine_.Add(request);
  work_available_.cancel();
  exchange.OnDisconnect([&state] {
    state.disconnected = true;
    state.timer.cancel();
  });
  StreamTokens(exchange, state, chat,
               (chat ? "chatcmpl-" : "cmpl-") + request_id,
               request.prompt_tokens, yield);
  if (crashing_)
    exchange.Abort();
  exchange.OnDisconnect({});
  generations_.erase(request.id);
  engine_.Cancel(request.id);
}

void runner_standin::Crash(http_exchange& exchange) {
  if (settings_.crash_linger == milliseconds(0))
    std::_Exit(kCrashExitStatus);
  crashing_ = true;
  for (const auto& [id, open] : generations_) {
    open->disconnected = true;
    open->timer.cancel();
  }
  exchange.Abort();
  Spawn(io_, "crash", [this](asio::yield_context yield) {
    Sleep(io_, settings_.crash_linger, yield);
    std::_Exit(kCrashExitStatus);
  });
}

std::string runner_standin::FormatEvent(const std::string& id,
                                        bool chat,
                                        const std::string& text,
                                        bool last) const {
  json choice = {{"index", 0}};
  choice["finish_reason"] = last ? json("length") : json(nullptr);
  if (chat)
    choice["delta"] = {{"content", text}};
  else
    choice["text"] = text;
  return "data: " +
         WriteJson({{"id", id}, {"choices", json::array({choice})}}) + "\n\n";
}

void runner_standin::StreamTokens(http_exchange& exchange,
                                  generation& state,
                                  bool chat,
                                  const std::string& id,
                                  std::int64_t prompt_tokens,
                                  asio::yield_context yield) {
  const bool cut = ConsumeFault(&faults_.cut);
  const bool duplicate = ConsumeFault(&faults_.duplicate);
  // A crossed response has the id and text of another request.
  const bool crossed = ConsumeFault(&faults_.cross);
  const std::string response_id = crossed ? id + "-other" : id;
  token_stream other_stream(response_id);
  const auto write = [&](const std::string& bytes) {
    return exchange.WriteChunk(bytes, clock::now() + kWriteTimeout, yield);
  };
  int sent = 0;
  while (!state.disconnected) {
    while (state.ready_tokens == 0 && !state.finished && !state.disconnected)
      WaitOn(state.timer, clock::now() + kNoTimeout, yield);
    if (state.disconnected)
      return;
    if (sent == 0 && !exchange.BeginStream(200, "text/event-stream",
                                           clock::now() + kWriteTimeout, yield))
      return;
    std::string bytes;
    while (state.ready_tokens > 0) {
      --state.ready_tokens;
      ++sent;
      const bool last = state.finished && state.ready_tokens == 0;
      const std::string event = FormatEvent(
          response_id, chat,
          crossed ? other_stream.Next() : state.stream.Next(), last);
      bytes += event;
      if (duplicate && sent == 2)
        bytes += event;
    }
    if (ConsumeFault(&faults_.garble))
      bytes += "data: {\"id\": not json\n\n";
    if (cut && sent >= kTokensBeforeCut) {
      exchange.CloseAfterResponse();
      write(bytes);
      return;
    }
    if (state.finished && state.ready_tokens == 0) {
      bytes += "data: " +
               WriteJson({{"id", response_id},
                          {"choices", json::array()},
                          {"usage",
                           {{"prompt_tokens", prompt_tokens},
                            {"completion_tokens", sent}}}}) +
               "\n\ndata: [DONE]\n\n";
      if (write(bytes))
        exchange.EndStream(clock::now() + kWriteTimeout, yield);
      return;
    }
    if (!write(bytes))
      return;
  }
}

}  // namespace cactusward::model
