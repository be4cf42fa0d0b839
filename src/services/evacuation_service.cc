#include "src/services/evacuation_service.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <sstream>

#include "src/kernel/log.h"
#include "src/services/upstream_directory.h"

namespace cactusward {
namespace {

constexpr milliseconds kStoreTimeout{800};
constexpr milliseconds kPullTimeout{800};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{1'500};
// Time between reads of one instance: a fraction of the 5 s within which an
// evacuation must take effect. Longer in a large fleet, so that all instances
// together make at most kMaxFleetReadsPerSecond; gossip spreads what any of
// them has read.
constexpr milliseconds kReadPeriod{1'200};
constexpr double kMaxFleetReadsPerSecond = 50;
constexpr double kJitter = 0.2;
// An instance without contact to the key-value service or a peer for longer
// stops admitting requests. As for the configuration; the rest of the 5 s is
// left for requests that were admitted before and are not placed yet.
constexpr milliseconds kIsolationLimit{3'000};
// Bounds the time of one round: peers that do not respond take kPullTimeout.
constexpr std::size_t kMaxPeersAsked = 4;
// About 700 bytes with the longest names; a datagram must not be fragmented.
constexpr std::size_t kMaxReportsPerMessage = 8;

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// Without a grace period: the absence of a key ends no evacuation here, since
// each instance writes back what a restored key-value service lacks.
evacuation_service::evacuation_service(runtime& runtime, peer_link* peers)
    : runtime_(runtime), peers_(peers), evacuations_(duration(0)) {}

void evacuation_service::Start() {
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  directory_ =
      runtime_.registry.Find<upstream_directory>(kDirectoryServiceName);
  SpawnRestarting(runtime_.io, "evacuation_watch",
                  [this](asio::yield_context yield) { Watch(yield); });
  SpawnRestarting(runtime_.io, "evacuation_read",
                  [this](asio::yield_context yield) { Read(yield); });
}

void evacuation_service::Watch(asio::yield_context yield) {
  milliseconds delay = kMinRetryDelay;
  while (true) {
    const time_point started_at = clock::now();
    runtime_.store->WatchPrefix(
        std::string(kEvacuationPrefix), seen_mod_revision_,
        [this](const stored_value& change) {
          seen_mod_revision_ = change.mod_revision;
          const auto zone = ZoneOfKey(change.key);
          const auto state = zone ? Decode(*zone, change.value) : std::nullopt;
          if (state)
            Merge({*state}, "store");
        },
        yield);
    if (clock::now() - started_at > kMaxRetryDelay)
      delay = kMinRetryDelay;
    Sleep(runtime_.io, delay, yield);
    delay = std::min(delay * 2, kMaxRetryDelay);
  }
}

duration evacuation_service::ReadPeriod() {
  const double seconds = std::max(
      std::chrono::duration<double>(kReadPeriod).count(),
      static_cast<double>(membership_->LiveCount()) / kMaxFleetReadsPerSecond);
  std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds * jitter(runtime_.random)));
}

void evacuation_service::Read(asio::yield_context yield) {
  while (true) {
    // The response may be as old as the request.
    const time_point asked_at = clock::now();
    const auto stored = runtime_.store->List(std::string(kEvacuationPrefix),
                                             asked_at + kStoreTimeout, yield);
    if (stored) {
      read_at_ = asked_at;
      ApplyRead(*stored, yield);
    } else if (!is_known_) {
      PullFromPeers(yield);
    }
    Sleep(runtime_.io, is_known_ ? ReadPeriod() : duration(kMinRetryDelay),
          yield);
  }
}

bool evacuation_service::IsUsable(time_point now) const {
  if (!is_known_)
    return false;
  if (read_at_ && now - *read_at_ <= kIsolationLimit)
    return true;
  if (!membership_->HasPeers())
    return true;
  const auto last_message_at = membership_->LastMessageTime();
  return last_message_at && now - *last_message_at <= kIsolationLimit;
}

void evacuation_service::ApplyRead(const std::vector<stored_value>& stored,
                                   asio::yield_context yield) {
  // Not the highest one seen: revisions go back when the service is restored,
  // and a watch from a later one would report nothing.
  seen_mod_revision_ = 0;
  std::map<std::string, const stored_value*> by_zone;
  std::vector<evacuation_report> states;
  for (const stored_value& value : stored) {
    seen_mod_revision_ = std::max(seen_mod_revision_, value.mod_revision);
    const auto zone = ZoneOfKey(value.key);
    if (!zone)
      continue;
    by_zone[*zone] = &value;
    if (auto state = Decode(*zone, value.value))
      states.push_back(std::move(*state));
  }
  is_known_ = true;
  Merge(states, "store");
  for (const evacuation_report& known : evacuations_.Reports()) {
    const auto found = by_zone.find(known.zone);
    std::optional<stored_value> expected;
    std::optional<evacuation_report> state;
    if (found != by_zone.end()) {
      expected = *found->second;
      const auto decoded = DecodeEvacuation(known.zone, expected->value);
      // A later release may have written it.
      if (!decoded)
        continue;
      state = *decoded;
    }
    if (!MustWriteBack(state, known))
      continue;
    // Only one of all instances succeeds; a request made meanwhile stays.
    const std::string key = EvacuationKey(known.zone);
    const auto swap = runtime_.store->CompareAndSwap(
        key, expected, {{key, EncodeEvacuation(known)}},
        clock::now() + kStoreTimeout, yield);
    if (swap && swap->applied)
      Log(log_level::kWarning, "evacuation_written_back",
          {{"zone", known.zone},
           {"evacuated", known.evacuated},
           {"number", known.position.revision}});
  }
}

void evacuation_service::PullFromPeers(asio::yield_context yield) {
  std::vector<member> peers = membership_->Live();
  std::shuffle(peers.begin(), peers.end(), runtime_.random);
  std::size_t asked = 0;
  std::size_t of_earlier_release = 0;
  for (const member& peer : peers) {
    if (peer.name == runtime_.settings.instance)
      continue;
    if (asked == kMaxPeersAsked)
      break;
    ++asked;
    const auto response =
        peers_->Call(peer.peer_address, {{"op", "evacuations_get"}},
                     clock::now() + kPullTimeout, yield);
    if (!response || !response->is_object())
      continue;
    const auto zones = response->find("evacuations");
    if (zones == response->end() || !zones->is_object()) {
      of_earlier_release += response->contains("error") ? 1 : 0;
      continue;
    }
    std::vector<evacuation_report> states;
    for (const auto& [zone, value] : zones->items()) {
      if (!IsZoneName(zone) || !value.is_string())
        continue;
      if (auto state = Decode(zone, value.get<std::string>()))
        states.push_back(std::move(*state));
    }
    Merge(states, peer.name);
    const auto known = response->find("known");
    if (known == response->end() || *known != true)
      continue;
    is_known_ = true;
    return;
  }
  // Peers of earlier releases do not know evacuations and use all zones.
  if (asked > 0 && of_earlier_release == asked) {
    is_known_ = true;
    Log(log_level::kWarning, "evacuations_not_known_to_peers",
        {{"peers", asked}});
  }
}

std::optional<evacuation_report> evacuation_service::Decode(
    const std::string& zone,
    const std::string& value) const {
  auto state = DecodeEvacuation(zone, value);
  if (!state) {
    Log(log_level::kError, "evacuation_not_understood",
        {{"zone", zone}, {"detail", state.detail()}});
    return std::nullopt;
  }
  return std::move(*state);
}

void evacuation_service::Merge(const std::vector<evacuation_report>& states,
                               std::string_view origin) {
  const time_point now = clock::now();
  bool changed = false;
  for (const evacuation_report& state : states) {
    if (!evacuations_.Merge(state, now))
      continue;
    changed = true;
    LogChange(state, origin);
  }
  if (!changed)
    return;
  for (const auto& listener : listeners_)
    listener();
  if (membership_)
    membership_->PushUpdates();
}

void evacuation_service::LogChange(const evacuation_report& state,
                                   std::string_view origin) const {
  std::size_t upstreams = 0;
  if (directory_) {
    const auto counts = directory_->CountByZone();
    const auto found = counts.find(state.zone);
    upstreams = found == counts.end() ? 0 : found->second;
  }
  Log(log_level::kWarning,
      state.evacuated ? "zone_evacuated" : "zone_readmitted",
      {{"zone", state.zone},
       {"origin", origin},
       {"number", state.position.revision},
       {"upstreams", upstreams}});
}

result<evacuation_report> evacuation_service::Change(
    const std::string& zone,
    bool evacuate,
    time_point deadline,
    asio::yield_context yield) {
  if (!IsZoneName(zone))
    return {error_kind::kBadRequest,
            "zone: 1 to 64 letters, digits, dots, hyphens and underscores"};
  const std::string key = EvacuationKey(zone);
  bool write_unanswered = false;
  while (clock::now() < deadline) {
    const time_point until = std::min(deadline, clock::now() + kStoreTimeout);
    const auto current = runtime_.store->Get(key, until, yield);
    if (!current) {
      Sleep(runtime_.io, kMinRetryDelay, yield);
      continue;
    }
    std::optional<evacuation_report> stored;
    if (current->has_value()) {
      stored = Decode(zone, (*current)->value);
      if (!stored)
        return {error_kind::kInternal, "stored state is not understood"};
      Merge({*stored}, "store");
    }
    const evacuation_report next =
        NextEvacuation(zone, evacuate, stored, evacuations_.ReportOf(zone),
                       WallMicroseconds());
    const auto swap = runtime_.store->CompareAndSwap(
        key, *current, {{key, EncodeEvacuation(next)}}, until, yield);
    if (swap && swap->applied) {
      Merge({next}, "operator");
      return next;
    }
    write_unanswered = write_unanswered || !swap;
    if (!swap)
      Sleep(runtime_.io, kMinRetryDelay, yield);
  }
  return {error_kind::kStoreUnavailable,
          write_unanswered ? "not settled whether the request was accepted"
                           : "the request was not accepted"};
}

nlohmann::json evacuation_service::Snapshot() const {
  nlohmann::json zones = nlohmann::json::object();
  for (const evacuation_report& state : evacuations_.Reports())
    zones[state.zone] = EncodeEvacuation(state);
  return {{"known", is_known_}, {"evacuations", std::move(zones)}};
}

std::string evacuation_service::MetricsText() const {
  const auto oldest = evacuations_.oldest();
  std::ostringstream out;
  out << "# TYPE cactusward_evacuated_zones gauge\n"
      << "cactusward_evacuated_zones " << evacuations_.entries().size() << '\n'
      << "# TYPE cactusward_evacuation_age_milliseconds gauge\n"
      << "cactusward_evacuation_age_milliseconds "
      << ToMilliseconds(oldest ? clock::now() - *oldest : duration(0)) << '\n';
  return out.str();
}

void evacuation_service::AddFields(gossip_message* message,
                                   time_point /*now*/) {
  message->evacuations = evacuations_.NewestReports(kMaxReportsPerMessage);
}

void evacuation_service::OnMessage(const gossip_message& message,
                                   time_point /*now*/) {
  Merge(message.evacuations, message.sender.name);
}

}  // namespace cactusward
