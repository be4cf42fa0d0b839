#include "src/relay/relay_run.h"

#include <algorithm>

#include "cactusward/hash.h"
#include "src/kernel/log.h"
#include "src/relay/memory_reservation.h"

namespace cactusward {
namespace {

// For callers that state none: above the longest deadline in use.
constexpr milliseconds kDefaultDeadline{30'000};
// First attempts carry deadlines between this share of a route's longest and
// all of it; less means that a first attempt has used some of it.
constexpr double kImpatientShare = 0.85;
// A caller that takes no byte for so long is gone.
constexpr milliseconds kAnswerTimeout{5'000};
// The answer leaves before the caller's deadline, not at it.
constexpr milliseconds kDeadlineMargin{20};
// Part of its time that a request waits for a place; the rest is for its run,
// or for its caller to come back elsewhere.
constexpr double kWaitShare = 0.4;
// Callers abandon a stream after the longest of these gaps.
constexpr milliseconds kLeastPatience{2'000};
constexpr int kPatientObjectives = 4;
constexpr int kPatientPauses = 8;
// A process that has just started has its configuration soon.
constexpr milliseconds kConfigWait{600};
constexpr milliseconds kConfigPoll{10};
// A live upstream accepts, and a dead one refuses, within some round trips.
constexpr milliseconds kCheckTimeout{300};
// The kept connections to one upstream tend to break together.
constexpr int kMaxStaleRetries = 2;
constexpr double kMillisecondsPerSecond = 1000;

std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// The host without a port.
std::string_view HostOf(const http_request& request) {
  const std::string_view host = ToView(request[http::field::host]);
  return host.substr(0, host.find(':'));
}

}  // namespace

relay_run::relay_run(const relay_services& services, http_exchange& exchange)
    : services_(services),
      exchange_(exchange),
      config_(services.catalog.Config()),
      caller_(services.protocol.ReadRequest(exchange.request())),
      began_(clock::now()) {
  deadline_ = began_ + caller_.deadline.value_or(kDefaultDeadline);
  end_ = deadline_ - kDeadlineMargin;
  record_.request_id = caller_.attempt_id;
  record_.prompt_tokens = caller_.prompt_tokens;
  record_.deadline = caller_.deadline.value_or(kDefaultDeadline);
  last_event_ = caller_.last_event_id;
}

error_kind relay_run::Admit() {
  if (services_.stop.IsRefusing())
    return error_kind::kDraining;
  if (!config_)
    return error_kind::kNotReady;
  route_ = config_->Match(HostOf(exchange_.request()), exchange_.Path());
  if (!route_)
    return error_kind::kNotFound;
  record_.target = route_->name;
  record_.length_class = route_->name;
  if (config_->NeedsKeys()) {
    holder_ = config_->FindKey(caller_.key);
    if (!holder_ && !route_->is_public)
      return error_kind::kUnauthenticated;
    if (holder_)
      record_.organisation = holder_->organisation;
  }
  if (route_->timeout.count() > 0)
    end_ = std::min(end_, began_ + route_->timeout);
  // A caller's second attempt carries what is left of its first deadline; its
  // objective counts from the first.
  milliseconds spent{0};
  if (caller_.deadline) {
    auto& longest = services_.longest_deadlines[route_->name];
    longest = std::max(longest, *caller_.deadline);
    spent = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(
                                          longest * kImpatientShare) -
                                          *caller_.deadline);
  }
  objective_at_ = began_ + route_->objective - spent;
  service_ = std::string(ChooseService(*route_, services_.daemon.random()));
  const std::string identity = std::string(exchange_.request().target()) +
                               "\n" + caller_.key + "\n" +
                               exchange_.request().body();
  fingerprint_ = Hash64(identity);
  if (services_.recovery.VerdictFor(fingerprint_) == suspect_verdict::kRefuse)
    return error_kind::kRepeatRefused;
  return service_.empty() ? error_kind::kNoUpstream : error_kind::kOk;
}

void relay_run::Run(asio::yield_context yield) {
  while (!config_ && clock::now() < began_ + kConfigWait) {
    Sleep(services_.daemon.io, kConfigPoll, yield);
    config_ = services_.catalog.Config();
  }
  const error_kind refusal = Admit();
  if (refusal != error_kind::kOk) {
    Refuse(refusal, milliseconds(AnswerFor(refusal).retry_after_ms), yield);
  } else {
    services_.retries.Of(service_).RecordRequest(began_);
    exchange_.OnHangUp([this] { cancel_.Cancel(); });
    RunAttempts(yield);
    exchange_.OnHangUp({});
  }
  record_.attempts = attempts_;
  record_.status = exchange_.status();
  record_.total = clock::now() - began_;
  services_.report.Record(record_);
}

relay_demand relay_run::Demand() const {
  relay_demand demand;
  demand.service = service_;
  demand.tried = tried_;
  demand.priority =
      holder_ && holder_->priority ? *holder_->priority : route_->priority;
  const time_point now = clock::now();
  demand.objective_at = objective_at_;
  const auto patience =
      std::max({duration(kLeastPatience),
                duration(route_->objective * kPatientObjectives),
                duration(route_->event_pause * kPatientPauses)});
  demand.gone_at = std::min(end_, now + patience);
  if (IsPrompt()) {
    prompt_request prompt;
    prompt.prompt_tokens = caller_.prompt_tokens;
    prompt.answer_tokens = caller_.answer_tokens;
    prompt.pause_ms = static_cast<double>(route_->event_pause.count());
    demand.prompt = prompt;
  }
  demand.give_up_at =
      std::min(end_, began_ + std::chrono::duration_cast<duration>(
                                  (deadline_ - began_) * kWaitShare));
  return demand;
}

void relay_run::RunAttempts(asio::yield_context yield) {
  attempt last;
  int stale_retries = 0;
  while (true) {
    no_place reason;
    const relay_demand demand = Demand();
    auto place = services_.dispatcher.Acquire(demand, &cancel_, &reason, yield);
    if (cancel_.cancelled()) {
      record_.kind = error_kind::kCallerGone;
      return exchange_.Abort();
    }
    if (!place && attempts_ == 0)
      return Refuse(reason.kind, reason.retry_after, yield);
    if (!place)
      return Fail(last, yield);
    last = RunAttempt(*place, yield);
    RecordOutcome(*place, last);
    const std::string upstream = Concerned(*place, last)->entry.id;
    place.reset();
    if (last.end == attempt_end::kDone)
      return;
    if (last.end == attempt_end::kCallerGone || cancel_.cancelled()) {
      record_.kind = error_kind::kCallerGone;
      return exchange_.Abort();
    }
    // A kept connection says nothing about its upstream.
    if (last.stale_connection && ++stale_retries <= kMaxStaleRetries)
      --sends_;
    else
      tried_.insert(upstream);
    if (!MayGoOn(last))
      return Fail(last, yield);
  }
}

bool relay_run::MayGoOn(const attempt& last) {
  if (!HasTime() || cancel_.cancelled())
    return false;
  if (may_have_run_ && !route_->IsRepeatable())
    return false;
  if (sends_ >= route_->max_attempts)
    return false;
  if (services_.recovery.VerdictFor(fingerprint_) == suspect_verdict::kRefuse)
    return false;
  // Only what reached an upstream counts against the budget.
  if (last.end == attempt_end::kNotSent && !may_have_run_)
    return true;
  const bool granted = services_.retries.Of(service_).TrySpend(clock::now());
  if (!granted)
    Log(log_level::kInfo, "retry_budget_empty",
        {{"request", caller_.attempt_id}});
  return granted;
}

result<std::vector<helper_address>> relay_run::Reserve(
    const relay_place& place,
    memory_reservation* memory,
    asio::yield_context yield) {
  // The first engine's own share is reserved as well: a prompt that waits
  // there for memory would hold that of the others.
  std::vector<const relay_place::part*> engines;
  if (place.main.held_tokens > 0)
    engines.push_back(&place.main);
  for (const relay_place::part& helper : place.helpers)
    engines.push_back(&helper);
  std::vector<memory_reservation::part> parts;
  for (const relay_place::part* engine : engines) {
    if (engine->held_tokens > 0)
      parts.push_back(
          {engine->upstream->entry.address, engine->held_tokens, {}});
  }
  if (!parts.empty()) {
    const std::string name =
        caller_.attempt_id + "-" + std::to_string(attempts_);
    const auto granted = memory->Acquire(name, parts, end_, yield);
    if (!granted)
      return {granted.kind(), granted.detail()};
  }
  std::vector<helper_address> addresses;
  std::size_t reserved = 0;
  for (const relay_place::part* engine : engines) {
    helper_address address{engine->upstream->entry.address, {}};
    if (engine->held_tokens > 0)
      address.reservation = memory->parts()[reserved++].id;
    addresses.push_back(std::move(address));
  }
  return addresses;
}

relay_run::attempt relay_run::RunAttempt(relay_place& place,
                                         asio::yield_context yield) {
  ++attempts_;
  record_.upstream = place.upstream()->entry.id;
  memory_reservation memory(services_.daemon, services_.protocol);
  const auto granted = Reserve(place, &memory, yield);
  if (!granted)
    return {attempt_end::kNotSent, granted.detail(), false, std::nullopt};
  const std::vector<helper_address>& helpers = *granted;
  Log(log_level::kInfo, "request_placed",
      {{"request", caller_.attempt_id},
       {"route", route_->name},
       {"config_version", config_->version()},
       {"catalog_revision", services_.catalog.revision()},
       {"upstream", place.upstream()->entry.id},
       {"helpers", place.helpers.size()},
       {"reservations", memory.parts().size()},
       {"prompt_tokens", caller_.prompt_tokens},
       {"expected_first_ms", place.expected_first_ms},
       {"waited_ms", ToMilliseconds(clock::now() - began_)},
       {"attempt", attempts_}});
  auto& running = place.upstream()->running;
  const std::uint64_t id = place.main.board_id;
  running[id] = {fingerprint_, false};
  const auto upstream = place.upstream();
  attempt done = Exchange(place, helpers, yield);
  if (done.end == attempt_end::kBroken && !done.stale_connection)
    CheckUpstream(upstream);
  upstream->running.erase(id);
  return done;
}

// A broken exchange means that the upstream died if it takes no connection.
void relay_run::CheckUpstream(const std::shared_ptr<fleet_upstream>& upstream) {
  if (upstream->being_checked)
    return;
  upstream->being_checked = true;
  std::vector<running_request> in_flight;
  for (const auto& [id, request] : upstream->running)
    in_flight.push_back(request);
  Spawn(
      services_.daemon.io, "check_upstream",
      [&services = services_, upstream, in_flight](asio::yield_context yield) {
        tcp::socket socket(services.daemon.io);
        boost::system::error_code error;
        const auto endpoint = ParseTcpEndpoint(upstream->entry.address);
        {
          deadline_guard guard(&socket, clock::now() + kCheckTimeout);
          socket.async_connect(*endpoint, yield[error]);
        }
        upstream->being_checked = false;
        if (error != asio::error::connection_refused)
          return;
        upstream->health.Record(exchange_outcome::kUnreachable, clock::now());
        services.recovery.RecordCrash(upstream->entry.id, in_flight);
      });
}

const std::shared_ptr<fleet_upstream>& relay_run::Concerned(
    const relay_place& place,
    const attempt& last) {
  for (const relay_place::part& helper : place.helpers) {
    if (helper.upstream->entry.address == last.at_fault)
      return helper.upstream;
  }
  return place.upstream();
}

void relay_run::RecordOutcome(const relay_place& place, const attempt& last) {
  const auto& upstream = Concerned(place, last);
  const time_point now = clock::now();
  switch (last.end) {
    case attempt_end::kDone:
      upstream->health.Record(exchange_outcome::kAnswered, now);
      break;
    case attempt_end::kNotExecuted:
      // A helper that is put down as at fault is mostly gone.
      upstream->health.Record(upstream == place.upstream()
                                  ? exchange_outcome::kRefused
                                  : exchange_outcome::kUnreachable,
                              now);
      break;
    case attempt_end::kFailed:
      upstream->health.Record(exchange_outcome::kFailed, now);
      break;
    case attempt_end::kBroken:
      if (!last.stale_connection)
        upstream->health.Record(exchange_outcome::kBroken, now);
      break;
    case attempt_end::kSilent:
      if (HasTime())
        upstream->health.Record(exchange_outcome::kSilent, now);
      break;
    case attempt_end::kNotSent:
      if (place.helpers.empty())
        upstream->health.Record(exchange_outcome::kUnreachable, now);
      break;
    case attempt_end::kCallerGone:
      break;
  }
  if (last.end == attempt_end::kDone)
    return;
  Log(log_level::kInfo, "attempt_failed",
      {{"request", caller_.attempt_id},
       {"upstream", place.upstream()->entry.id},
       {"at_fault", last.at_fault},
       {"attempt", attempts_},
       {"outcome", static_cast<int>(last.end)},
       {"detail", last.detail},
       {"stale_connection", last.stale_connection},
       {"after_ms", ToMilliseconds(now - began_)},
       {"avoided_ms",
        std::max(0.0, ToMilliseconds(upstream->health.avoided_until() - now))},
       {"last_event", last_event_.value_or(-1)}});
}

void relay_run::Refuse(error_kind kind,
                       milliseconds retry_after,
                       asio::yield_context yield) {
  record_.kind = kind;
  record_.met_objective = false;
  // A caller that was refused comes back within its time or not at all.
  if (retry_after.count() > 0) {
    char text[32];
    std::snprintf(
        text, sizeof(text), "%.3f",
        static_cast<double>(retry_after.count()) / kMillisecondsPerSecond);
    exchange_.SetHeader("Retry-After", text);
  }
  http::response<http::string_body> answer;
  answer.result(static_cast<unsigned>(AnswerFor(kind).http_status));
  answer.set(http::field::content_type, "application/json");
  answer.body() = ErrorBody(kind, {});
  exchange_.AnswerWith(std::move(answer), clock::now() + kAnswerTimeout, yield);
}

void relay_run::Fail(const attempt& last, asio::yield_context yield) {
  record_.met_objective = false;
  if (stream_began_) {
    record_.kind = error_kind::kUpstreamFailed;
    return exchange_.Abort();
  }
  if (last.end == attempt_end::kFailed && last.answer) {
    record_.kind = error_kind::kUpstreamFailed;
    exchange_.AnswerWith(*last.answer, clock::now() + kAnswerTimeout, yield);
    return;
  }
  // Nothing ran, and nothing will.
  if (!may_have_run_)
    return Refuse(HasTime() ? error_kind::kUpstreamRefused
                            : error_kind::kDeadlineInfeasible,
                  milliseconds(AnswerFor(error_kind::kDraining).retry_after_ms),
                  yield);
  Refuse(HasTime() ? error_kind::kUpstreamFailed : error_kind::kTimedOut,
         milliseconds(0), yield);
}

}  // namespace cactusward
