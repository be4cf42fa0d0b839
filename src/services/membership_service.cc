#include "src/services/membership_service.h"

#include <algorithm>

#include "src/kernel/boot_clock.h"
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
// The first format in which an instance passes messages on.
constexpr int kRebroadcastFormat = 8;
// A standstill that makes what was received meanwhile too old to pass on.
constexpr milliseconds kMaxRebroadcastDelay{250};
// More than the rounds that an update takes to reach 1,000 instances, to
// compensate for lost datagrams.
constexpr int kSendsPerSuspectReport = 12;
// Limits that keep a message within one datagram.
constexpr std::size_t kMaxSuspectsPerMessage = 8;
constexpr std::size_t kMaxInFlightPerMessage = 32;
// Older reports of a peer's requests in flight are dropped as outdated.
constexpr milliseconds kPeerLoadTtl{4'000};
// Interval of log lines about datagrams that cannot be read, or only in part.
constexpr milliseconds kUnreadableLogInterval{10'000};

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
          runtime.settings.availability_zone,
          {}};
}

}  // namespace

membership_service::membership_service(runtime& runtime)
    : runtime_(runtime),
      table_(Self(runtime), Settings(), runtime.random()),
      socket_(runtime.io,
              runtime.settings.peer_secret,
              [this](std::string_view bytes) { Receive(bytes); }),
      standstill_(kTickPeriod, kMaxRebroadcastDelay, clock::now()) {}

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
  standstill_.Tick(now, BootTime());
  Send(table_.Tick(now));
  UpdateLiveCount();
}

void membership_service::UpdateLiveCount() {
  const std::size_t count = table_.LiveCount();
  if (count == live_count_)
    return;
  Log(log_level::kInfo, "members_changed",
      {{"before", live_count_}, {"now", count}});
  live_count_ = count;
}

void membership_service::UpdatePeerFormats() {
  const auto live = table_.LivePeers();
  formats_.Retain(live);
  const std::size_t older = formats_.CountOlder(live);
  if (older == older_peers_)
    return;
  Log(log_level::kInfo, "peers_of_older_format",
      {{"before", older_peers_},
       {"now", older},
       {"members", live.size()},
       {"own_format", kGossipFormat}});
  older_peers_ = older;
}

void membership_service::ContactMissingPeers(time_point now) {
  UpdatePeerBacklog(now);
  UpdatePeerFormats();
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
  message->order = ++last_order_;
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
    // The probe of its target has failed.
    if (outbound.message.kind == gossip_kind::kPingRequest)
      formats_.Forget(outbound.message.target_address);
    socket_.Send(outbound.peer_address,
                 EncodeGossip(outbound.message,
                              formats_.FormatFor(outbound.peer_address)));
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
  gossip_message message = table_.BuildMessage(gossip_kind::kUpdate);
  FillMessage(&message);
  const auto can_rebroadcast = [this](const member& peer) {
    return formats_.FormatFor(peer.peer_address) >= kRebroadcastFormat;
  };
  const broadcast_plan plan =
      PlanBroadcast(table_.LivePeers(), runtime_.settings.availability_zone,
                    can_rebroadcast, kMaxBroadcast, runtime_.random);
  std::string encoded = EncodeGossip(message);
  SendToAll(plan.direct, message, encoded);
  if (plan.rebroadcasters.empty())
    return;
  gossip_message request;
  request.kind = gossip_kind::kUpdate;
  request.sender = message.sender;
  request.rebroadcast = std::move(encoded);
  SendToAll(plan.rebroadcasters, request, EncodeGossip(request));
}

void membership_service::SendToAll(const std::vector<const member*>& peers,
                                   const gossip_message& message,
                                   std::string_view encoded) {
  std::vector<const std::string*> newest;
  std::vector<const std::string*> base;
  for (const member* peer : peers) {
    const bool reads_newest =
        formats_.FormatFor(peer->peer_address) == kGossipFormat;
    (reads_newest ? newest : base).push_back(&peer->peer_address);
  }
  socket_.SendToAll(newest, encoded);
  if (!base.empty())
    socket_.SendToAll(base, EncodeGossip(message, kBaseGossipFormat));
}

void membership_service::Rebroadcast(const gossip_message& message,
                                     std::string_view encoded) {
  std::vector<const member*> peers;
  for (const member* peer : table_.LivePeers()) {
    if (peer->availability_zone == runtime_.settings.availability_zone &&
        peer->name != message.sender.name)
      peers.push_back(peer);
  }
  ++rebroadcast_messages_;
  SendToAll(peers, message, encoded);
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
  const time_point now = clock::now();
  if (!message || message->unreadable_fields > 0)
    RecordUnreadable(message ? message->unreadable_fields : -1, now);
  if (!message) {
    socket_.CountMalformed();
    return;
  }
  if (message->rebroadcast.empty())
    return Handle(*message, now);
  const auto rebroadcast = DecodeGossip(message->rebroadcast);
  if (!rebroadcast)
    return RecordUnreadable(-1, now);
  // After a standstill the message may be old, and its readers could not tell.
  if (!standstill_.Recently(now, BootTime()))
    Rebroadcast(*rebroadcast, message->rebroadcast);
  Handle(*rebroadcast, now);
}

void membership_service::Handle(const gossip_message& received,
                                time_point now) {
  const gossip_message* const message = &received;
  const member& sender = message->sender;
  const bool replaced = formats_.OnReceived(*message, table_);
  if (replaced && message->kind == gossip_kind::kPing)
    table_.Suspect(sender.name, now);
  Send(table_.Receive(*message, now));
  if (sender.name == runtime_.settings.instance)
    return;
  for (gossip_extension* extension : extensions_)
    extension->OnMessage(*message, now);
  if (config_)
    config_->OnPeerRevision(sender.peer_address, message->config_number,
                            message->confirmed_age_ms);
  if (directory_ && directory_->RecordLeaving(message->leaving))
    PushUpdates();
  const report_order order{sender.incarnation, message->order};
  peer_load& load = peer_loads_[sender.name];
  if (!order.IsBefore(load.order))
    load = {message->in_flight, now, order};
  if (!recovery_)
    return;
  std::vector<suspect_report> new_reports;
  for (const suspect_report& report : message->suspects) {
    if (recovery_->MergeReport(report))
      new_reports.push_back(report);
  }
  PushSuspects(new_reports);
}

void membership_service::RecordUnreadable(int fields, time_point now) {
  ++unreadable_datagrams_;
  if (unreadable_logged_at_ &&
      now - *unreadable_logged_at_ < kUnreadableLogInterval)
    return;
  unreadable_logged_at_ = now;
  Log(log_level::kWarning, "datagram_unreadable",
      {{"from", socket_.LastSender()},
       {"left_out_fields", fields},
       {"datagrams", unreadable_datagrams_}});
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
