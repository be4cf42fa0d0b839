#include "src/services/membership_service.h"

#include <algorithm>

#include "src/kernel/log.h"
#include "src/services/config_service.h"
#include "src/services/recovery_service.h"
#include "src/services/upstream_directory.h"

namespace cactusward {
namespace {

// A small fraction of the probe period.
constexpr milliseconds kTickPeriod{50};
// After a partition heals, separated groups merge within a few of these
// periods.
constexpr milliseconds kContactPeriod{1'000};
// Peers per push. An update reaches n instances in log n rounds, to this base.
constexpr std::size_t kGossipFanOut = 4;
// Datagrams that one instance can send in a burst without dropping any locally.
constexpr std::size_t kMaxBroadcast = 128;
// More than the rounds that an update takes to reach 1,000 instances, to
// compensate for lost datagrams.
constexpr int kSendsPerSuspectReport = 12;
// Limits that keep a message within one datagram.
constexpr std::size_t kMaxSuspectsPerMessage = 8;
constexpr std::size_t kMaxInFlightPerMessage = 32;
// Older reports of a peer's requests in flight are dropped as outdated.
constexpr milliseconds kPeerLoadTtl{4'000};

membership_settings Settings() {
  membership_settings settings;
  settings.probe_period = milliseconds(500);
  return settings;
}

member Self(const runtime& runtime) {
  return {runtime.settings.instance,
          runtime.incarnation,
          member_state::kAlive,
          runtime.settings.listen,
          runtime.settings.peer_advertise,
          runtime.settings.availability_zone};
}

}  // namespace

membership_service::membership_service(runtime& runtime)
    : runtime_(runtime),
      table_(Self(runtime), Settings(), runtime.random()),
      socket_(runtime.io,
              runtime.settings.peer_secret,
              [this](std::string_view bytes) { Receive(bytes); }) {}

bool membership_service::Listen() {
  return socket_.Listen(runtime_.settings.peer_listen);
}

void membership_service::Start() {
  config_ = runtime_.registry.Find<config_service>(kConfigServiceName);
  directory_ =
      runtime_.registry.Find<upstream_directory>(kDirectoryServiceName);
  recovery_ = runtime_.registry.Find<recovery_service>(kRecoveryServiceName);
  tick_timer_ =
      runtime_.timers.Every(kTickPeriod, [this](time_point now) { Tick(now); });
  contact_timer_ = runtime_.timers.Every(
      kContactPeriod, [this](time_point now) { ContactMissingPeers(now); });
  ContactMissingPeers(clock::now());
}

void membership_service::Tick(time_point now) {
  Send(table_.Tick(now));
  UpdateLiveCount();
}

void membership_service::UpdateLiveCount() {
  const std::size_t count = table_.Live().size();
  if (count == live_count_)
    return;
  Log(log_level::kInfo, "members_changed",
      {{"before", live_count_}, {"now", count}});
  live_count_ = count;
}

void membership_service::ContactMissingPeers(time_point now) {
  UpdatePeerBacklog(now);
  std::vector<std::string> candidates = runtime_.settings.seed_peers;
  candidates.insert(candidates.end(), listed_peers_.begin(),
                    listed_peers_.end());
  std::vector<std::string> missing;
  const auto live = table_.Live();
  for (const std::string& address : candidates) {
    const bool is_live =
        address == runtime_.settings.peer_advertise ||
        std::any_of(live.begin(), live.end(), [&address](const member& m) {
          return m.peer_address == address;
        });
    if (!is_live)
      missing.push_back(address);
  }
  constexpr std::size_t kMaxContacts = 2;
  for (std::size_t i = 0; i < kMaxContacts && !missing.empty(); ++i) {
    const std::size_t pick = runtime_.random() % missing.size();
    Send({table_.JoinPing(missing[pick])});
    missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void membership_service::FillMessage(gossip_message* message) {
  const time_point now = clock::now();
  if (config_) {
    message->config_number = config_->tracker().Number();
    message->confirmed_age_ms = config_->ConfirmedAgeMs(now);
  }
  if (directory_) {
    message->in_flight = directory_->InFlightReports();
    if (message->in_flight.size() > kMaxInFlightPerMessage)
      message->in_flight.resize(kMaxInFlightPerMessage);
    message->leaving = directory_->LeavingReports();
    if (message->leaving.size() > kMaxInFlightPerMessage)
      message->leaving.resize(kMaxInFlightPerMessage);
  }
  for (gossip_extension* extension : extensions_)
    extension->AddFields(message, now);
  std::size_t count = std::min(suspect_queue_.size(), kMaxSuspectsPerMessage);
  while (count-- > 0) {
    queued_suspect_report queued = suspect_queue_.front();
    suspect_queue_.pop_front();
    suspect_report report = queued.report;
    report.age_ms +=
        std::chrono::duration_cast<milliseconds>(now - queued.heard_at).count();
    message->suspects.push_back(report);
    if (--queued.sends_left > 0)
      suspect_queue_.push_back(queued);
  }
}

void membership_service::Send(std::vector<outbound_message> messages) {
  for (outbound_message& outbound : messages) {
    FillMessage(&outbound.message);
    socket_.Send(outbound.peer_address, EncodeGossip(outbound.message));
  }
}

void membership_service::PushUpdates() {
  std::vector<outbound_message> messages;
  for (const member& peer : table_.RandomPeers(kGossipFanOut))
    messages.push_back(
        {peer.peer_address, table_.BuildMessage(gossip_kind::kUpdate)});
  Send(std::move(messages));
}

void membership_service::Broadcast() {
  // Encoded once, as the message is the same for all peers.
  gossip_message message = table_.BuildMessage(gossip_kind::kUpdate);
  FillMessage(&message);
  const std::string bytes = EncodeGossip(message);
  for (const member& peer : table_.RandomPeers(kMaxBroadcast))
    socket_.Send(peer.peer_address, bytes);
}

void membership_service::PushSuspects(
    const std::vector<suspect_report>& reports) {
  if (reports.empty())
    return;
  const time_point now = clock::now();
  for (const suspect_report& report : reports)
    suspect_queue_.push_front({report, now, kSendsPerSuspectReport});
  PushUpdates();
}

void membership_service::Leave() {
  Send(table_.Leave(clock::now()));
}

void membership_service::Receive(std::string_view bytes) {
  const auto message = DecodeGossip(bytes);
  if (!message) {
    socket_.CountMalformed();
    return;
  }
  const time_point now = clock::now();
  Send(table_.Receive(*message, now));
  const member& sender = message->sender;
  if (sender.name == runtime_.settings.instance)
    return;
  for (gossip_extension* extension : extensions_)
    extension->OnMessage(*message, now);
  if (config_)
    config_->OnPeerRevision(sender.peer_address, message->config_number,
                            message->confirmed_age_ms);
  if (directory_ && directory_->RecordLeaving(message->leaving))
    PushUpdates();
  peer_loads_[sender.name] = {message->in_flight, now};
  if (!recovery_)
    return;
  std::vector<suspect_report> new_reports;
  for (const suspect_report& report : message->suspects) {
    if (recovery_->MergeReport(report))
      new_reports.push_back(report);
  }
  PushSuspects(new_reports);
}

void membership_service::UpdatePeerBacklog(time_point now) {
  std::unordered_map<std::uint32_t, std::int64_t> tokens;
  for (auto it = peer_loads_.begin(); it != peer_loads_.end();) {
    if (now - it->second.heard_at > kPeerLoadTtl) {
      it = peer_loads_.erase(it);
      continue;
    }
    for (const in_flight_report& report : it->second.reports)
      tokens[report.upstream] += report.prefill_tokens;
    ++it;
  }
  if (directory_)
    directory_->SetPeerBacklog(tokens);
}

bool membership_service::IsLive(const std::string& name,
                                std::uint64_t incarnation) const {
  const auto known = table_.Find(name);
  if (!known)
    return false;
  const bool live = known->state == member_state::kAlive ||
                    known->state == member_state::kSuspect;
  return live && known->incarnation >= incarnation;
}

}  // namespace cactusward
