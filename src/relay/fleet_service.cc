#include "src/relay/fleet_service.h"

#include <algorithm>

#include "cactusward/hash.h"
#include "cactusward/upstreams.h"
#include "src/kernel/log.h"
#include "src/relay/catalog_service.h"
#include "src/relay/relay_protocol.h"

namespace cactusward {
namespace {

// Interval at which a nonzero load is reported again: a third of the time after
// which peers discard a report.
constexpr milliseconds kRefreshPeriod{1'000};
// Instances that start together discover each other within one second, and
// report their loads again within the next refresh period.
constexpr milliseconds kPeerLoadsUnknownPeriod =
    kRefreshPeriod + milliseconds(1'000);
// Interval at which the holders of cold upstreams' limits are updated. They are
// cold for a few seconds.
constexpr milliseconds kColdPeriod{250};
// Most upstream loads in one datagram.
constexpr std::size_t kMaxLoadsPerMessage = 100;
// Most request limits in one datagram: an upstream in need is an exception.
constexpr std::size_t kMaxLimitsPerMessage = 64;
// Largest share of a service's upstreams that may be avoided. Beyond it, the
// fault is more likely local to this instance or common to all upstreams.
constexpr double kMaxAvoidedShare = 0.5;

}  // namespace

void fleet_service::Start() {
  catalog_ = runtime_.registry.Find<catalog_service>(kCatalogServiceName);
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  started_at_ = clock::now();
  limits_.SetPeersKnownAt(started_at_ + kPeerLoadsUnknownPeriod);
  broadcast_timer_ = std::make_unique<asio::steady_timer>(runtime_.io);
  catalog_->Subscribe([this] { Rebuild(); });
  Rebuild();
  refresh_timer_ =
      runtime_.timers.Every(kRefreshPeriod, [this](time_point now) {
        tracker_.Expire(now);
        UpdateLimitHolders(now);
        for (const std::uint32_t expired : limits_.Expire(now))
          LogLimit(expired, "expiry", now);
        ExpireAnnouncements(now);
        ExpireRamps(now);
        if (tracker_.own_requests() > 0)
          OnLoadChanged(report_urgency::kLater);
      });
  cold_timer_ = runtime_.timers.Every(
      kColdPeriod, [this](time_point now) { ExpireColdLimits(now); });
}

void fleet_service::Rebuild() {
  const time_point now = clock::now();
  std::map<std::string, std::shared_ptr<fleet_upstream>> by_id;
  by_service_.clear();
  for (const auto& [id, registered] : catalog_->upstreams().entries()) {
    const upstream_entry& entry = registered.entry;
    auto& upstream = by_id[id];
    const auto known = by_id_.find(id);
    // An upstream restarted under the same id starts with a new health state.
    if (known != by_id_.end() &&
        known->second->entry.started_at_ms == entry.started_at_ms)
      upstream = known->second;
    else
      upstream = std::make_shared<fleet_upstream>();
    upstream->entry = entry;
    upstream->key = UpstreamKey(id);
    upstream->process_key =
        UpstreamKey(id + "@" + std::to_string(entry.started_at_ms));
    upstream->rank = Hash64(id);
    upstream->region = regions_.RegionOf(entry.availability_zone);
    by_service_[entry.service].push_back(upstream);
    BeginRamp(*upstream, triggers_.RecordListed(upstream->process_key,
                                                entry.leaving, now));
  }
  if (catalog_->position().revision > 0)
    triggers_.SetListKnown();
  for (auto& [id, upstream] : by_id_) {
    const auto next = by_id.find(id);
    if (next == by_id.end() || next->second != upstream)
      upstream->listed = false;
  }
  by_id_ = std::move(by_id);
  for (auto& [service, upstreams] : by_service_)
    std::sort(upstreams.begin(), upstreams.end(),
              [](const auto& a, const auto& b) { return a->rank < b->rank; });
  ApplyColdEntries(now);
  NotifyCapacityFreed();
}

const std::vector<std::shared_ptr<fleet_upstream>>& fleet_service::Upstreams(
    const std::string& service) const {
  static const std::vector<std::shared_ptr<fleet_upstream>> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

bool fleet_service::MayCarryTo(const std::string& address) const {
  return std::any_of(by_id_.begin(), by_id_.end(),
                     [this, &address](const auto& known) {
                       return known.second->entry.address == address &&
                              !IsInEvacuatedZone(*known.second);
                     });
}

bool fleet_service::IsInEvacuatedZone(const fleet_upstream& upstream) const {
  return catalog_->evacuations().Contains(upstream.entry.availability_zone);
}

bool fleet_service::AcceptsRequests(const fleet_upstream& upstream,
                                    time_point now) const {
  return upstream.IsRegistered() && !IsInEvacuatedZone(upstream) &&
         announcements_.MaySend(upstream.process_key, now);
}

bool fleet_service::IsUsable(const fleet_upstream& upstream,
                             time_point now) const {
  if (!AcceptsRequests(upstream, now) ||
      !limits_.MayPlace(upstream.process_key, now))
    return false;
  if (!upstream.health.IsAvoided(now))
    return true;
  const auto& all = Upstreams(upstream.entry.service);
  const auto avoided = std::count_if(
      all.begin(), all.end(),
      [now](const auto& other) { return other->health.IsAvoided(now); });
  return static_cast<double>(avoided) >
         kMaxAvoidedShare * static_cast<double>(all.size());
}

std::string_view fleet_service::DescribeUse(const fleet_upstream& upstream,
                                            time_point now) const {
  if (IsUsable(upstream, now))
    return "usable";
  if (!upstream.IsRegistered())
    return "not_registered";
  if (IsInEvacuatedZone(upstream))
    return "evacuated";
  if (!announcements_.MaySend(upstream.process_key, now))
    return announcements_.IsLeaving(upstream.process_key) ? "leaving"
                                                          : "backs_off";
  if (!limits_.MayPlace(upstream.process_key, now))
    return limits_.NextGrant(upstream.process_key, now) ? "limit_spent"
                                                        : "no_limit_share";
  return "avoided";
}

void fleet_service::UpdateLimitHolders(time_point now) {
  std::vector<std::string> names;
  for (const member& peer : membership_->Live())
    names.push_back(peer.name);
  limits_.SetInstances(names, now);
}

std::string fleet_service::IdOf(std::uint32_t process_key) const {
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->process_key == process_key)
      return id;
  }
  return {};
}

void fleet_service::ApplyColdEntries(time_point now) {
  const auto changes = catalog_->TakeColdChanges();
  if (!changes.empty())
    UpdateLimitHolders(now);
  for (const auto& [id, upstream] : by_id_) {
    if (changes.count(id) > 0)
      SetCold(upstream.get(),
              ColdUntilByEntry(upstream->cold_until,
                               upstream->entry.cold_remaining, now),
              now);
    else if (now < upstream->cold_until)
      UpdateColdLimit(*upstream, now);  // the configuration may have changed
  }
}

void fleet_service::SetCold(fleet_upstream* upstream,
                            time_point until,
                            time_point now) {
  const auto start = ramp_triggers::AfterCold(
      upstream->cold_until, until,
      ramp_.Limit(upstream->process_key, now).has_value(), now);
  upstream->cold_until = until;
  UpdateColdLimit(*upstream, now);
  BeginRamp(*upstream, start);
}

double fleet_service::ColdPerSecond(const fleet_upstream& upstream) const {
  const auto config = catalog_->Config();
  const forward_service* const service =
      config ? config->FindService(upstream.entry.service) : nullptr;
  return service ? service->cold_per_second : 0;
}

void fleet_service::UpdateColdLimit(const fleet_upstream& upstream,
                                    time_point now) {
  const double per_second = ColdPerSecond(upstream);
  const time_point until = per_second > 0 ? upstream.cold_until : now;
  if (limits_.SetColdLimit(upstream.process_key, per_second, until, now))
    LogCold(upstream, per_second, now);
}

void fleet_service::ExpireColdLimits(time_point now) {
  if (limits_.cold_size() == 0)
    return;
  UpdateLimitHolders(now);
  for (const std::uint32_t process : limits_.ExpireCold(now)) {
    const auto found = by_id_.find(IdOf(process));
    if (found != by_id_.end())
      LogCold(*found->second, 0, now);
  }
}

void fleet_service::LogCold(const fleet_upstream& upstream,
                            double per_second,
                            time_point now) const {
  const bool is_cold = limits_.IsCold(upstream.process_key, now);
  Log(log_level::kInfo, is_cold ? "upstream_cold" : "upstream_warm",
      {{"upstream", upstream.entry.id},
       {"remaining_ms",
        std::max(0.0, ToMilliseconds(upstream.cold_until - now))},
       {"per_second", per_second},
       {"holds_share",
        limits_.NextGrant(upstream.process_key, now).has_value()}});
}

void fleet_service::BeginRamp(const fleet_upstream& upstream,
                              const std::optional<ramp_start>& start) {
  if (!start || upstream.entry.slots <= 1 ||
      (!runtime_.settings.forwarding->ramp_up && ColdPerSecond(upstream) <= 0))
    return;
  ramping_upstream ramping;
  ramping.slots = upstream.entry.slots;
  ramping.group = UpstreamKey(upstream.entry.service);
  const auto config = catalog_->Config();
  const forward_service* const service =
      config ? config->FindService(upstream.entry.service) : nullptr;
  if (service && service->cold_start.count() > 0)
    ramping.warm_up = service->cold_start;
  if (ramp_.Begin(upstream.process_key, ramping, start->at))
    Log(log_level::kInfo, "upstream_ramp_began",
        {{"upstream", upstream.entry.id},
         {"reason", RampReasonName(start->reason)}});
}

void fleet_service::ExpireRamps(time_point now) {
  for (const ended_ramp& ended : ramp_.Expire(now))
    Log(log_level::kInfo, "upstream_ramp_ended",
        {{"upstream", IdOf(ended.process)},
         {"reason", ended.reached_slots ? "reached_slots" : "time_limit"},
         {"after_ms", ToMilliseconds(ended.lasted)},
         {"decreases", ended.setbacks}});
}

int fleet_service::MaxRunning(const fleet_upstream& upstream,
                              time_point now) const {
  // An avoided upstream is used only if most others are avoided as well.
  if (upstream.health.IsAvoided(now))
    return 0;
  return ramp_.Limit(upstream.process_key, now).value_or(0);
}

void fleet_service::RecordState(const fleet_upstream& upstream,
                                const upstream_reply& reply) {
  const time_point now = clock::now();
  if (reply.load)
    ramp_.RecordLoad(upstream.process_key, reply.load->waiting, now);
  if (!reply.cold_remaining || reply.cold_remaining->count() == 0)
    return;
  const auto found = by_id_.find(upstream.entry.id);
  const time_point until = now + *reply.cold_remaining;
  if (found == by_id_.end() ||
      found->second->process_key != upstream.process_key ||
      until <= found->second->cold_until)
    return;
  if (now >= found->second->cold_until)
    UpdateLimitHolders(now);
  SetCold(found->second.get(), until, now);
}

void fleet_service::RecordPace(const fleet_upstream& upstream,
                               bool timely,
                               time_point sent_at) {
  const time_point now = clock::now();
  if (timely)
    ramp_.RecordTimely(upstream.process_key, now);
  else
    ramp_.RecordSetback(upstream.process_key, sent_at, now);
}

void fleet_service::RecordFirstEvent(const fleet_upstream& upstream,
                                     double expected_ms,
                                     double slowdown,
                                     double measured_ms) {
  if (expected_ms > 0)
    ramp_.RecordFirstEvent(upstream.process_key,
                           measured_ms / expected_ms * slowdown, clock::now());
}

double fleet_service::Slowdown(const fleet_upstream& upstream,
                               time_point now) const {
  return std::max(upstream.health.Slowdown(now),
                  ramp_.Slowdown(upstream.process_key, now));
}

void fleet_service::RecordSetback(const fleet_upstream& upstream,
                                  time_point sent_at,
                                  bool refused) {
  const time_point now = clock::now();
  ramp_.RecordSetback(upstream.process_key, sent_at, now);
  BeginRamp(upstream, ramp_triggers::AfterFailure(
                          refused, upstream.health.avoided_until(), now));
}

void fleet_service::RecordLimit(const fleet_upstream& upstream,
                                std::optional<double> per_second,
                                time_point sent_at) {
  const time_point now = clock::now();
  if (!limits_.RecordResponse(upstream.process_key, per_second, sent_at, now))
    return;
  UpdateLimitHolders(now);
  LogLimit(upstream.process_key, "own", now);
  OnLoadChanged(report_urgency::kAtOnce);
}

void fleet_service::RecordLeaving(const fleet_upstream& upstream) {
  if (!announcements_.RecordLeaving(upstream.process_key, clock::now()))
    return;
  Log(log_level::kInfo, "upstream_leaving_announced",
      {{"upstream", upstream.entry.id},
       {"started_at_ms", upstream.entry.started_at_ms},
       {"registered", upstream.IsRegistered()},
       {"in_flight", upstream.running.size()}});
}

void fleet_service::RecordBackoff(const fleet_upstream& upstream,
                                  milliseconds time) {
  if (!announcements_.RecordBackoff(upstream.process_key, time, clock::now()))
    return;
  Log(log_level::kInfo, "upstream_backed_off",
      {{"upstream", upstream.entry.id},
       {"started_at_ms", upstream.entry.started_at_ms},
       {"retry_after_ms", time.count()},
       {"in_flight", upstream.running.size()}});
}

void fleet_service::ExpireAnnouncements(time_point now) {
  for (const auto& [id, upstream] : by_id_)
    triggers_.Keep(upstream->process_key, now);
  triggers_.Expire(now);
  if (announcements_.size() == 0)
    return;
  std::set<std::uint32_t> listed;
  for (const auto& [id, upstream] : by_id_)
    listed.insert(upstream->process_key);
  announcements_.Expire(listed, now);
}

void fleet_service::LogLimit(std::uint32_t process_key,
                             std::string_view origin,
                             time_point now) const {
  for (const auto& [id, upstream] : by_id_) {
    if (upstream->process_key != process_key)
      continue;
    const auto per_second = limits_.LimitOf(process_key);
    if (!per_second) {
      Log(log_level::kInfo, "upstream_limit_ended",
          {{"upstream", id}, {"origin", origin}});
      continue;
    }
    const auto instances = membership_->LiveCount();
    const limit_share share = DivideLimit(*per_second, instances);
    Log(log_level::kInfo, "upstream_limited",
        {{"upstream", id},
         {"per_second", *per_second},
         {"age_ms", ToMilliseconds(limits_.AgeOf(process_key, now))},
         {"origin", origin},
         {"instances", instances},
         {"holders", share.holders},
         {"holds_share", limits_.NextGrant(process_key, now).has_value()},
         {"share_per_second", share.per_second}});
  }
}

std::vector<fleet_service::held_back> fleet_service::AllHeldBack(
    const std::string& service,
    const std::set<std::string>& except,
    time_point now) const {
  std::vector<held_back> all;
  for (const auto& upstream : Upstreams(service)) {
    const std::uint32_t process = upstream->process_key;
    if (!upstream->IsRegistered() || IsInEvacuatedZone(*upstream) ||
        announcements_.IsLeaving(process) ||
        except.count(upstream->entry.id) > 0)
      continue;
    const auto backoff_end = announcements_.BackoffEnd(process, now);
    held_back held;
    held.upstream = upstream->entry.id;
    held.backs_off = backoff_end.has_value();
    held.until = limits_.NextGrant(process, now);
    held.is_cold = limits_.IsCold(process, now);
    if (!held.backs_off && held.until && *held.until <= now)
      return {};
    if (held.until && backoff_end)
      held.until = std::max(*held.until, *backoff_end);
    held.per_second = limits_.LimitOf(process);
    if (held.per_second)
      held.age = limits_.AgeOf(process, now);
    all.push_back(std::move(held));
  }
  return all;
}

bool fleet_service::PeerLoadsUnknown(time_point now) const {
  return now - started_at_ < kPeerLoadsUnknownPeriod;
}

void fleet_service::OnLoadChanged(report_urgency urgency) {
  load_changed_ = true;
  pacer_.SetInstanceCount(membership_->LiveCount());
  ScheduleBroadcast(pacer_.DueAt(urgency, clock::now()));
}

void fleet_service::ScheduleBroadcast(time_point at) {
  if (broadcast_at_ && *broadcast_at_ <= at)
    return;
  broadcast_at_ = at;
  broadcast_timer_->expires_at(at);
  broadcast_timer_->async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    broadcast_at_.reset();
    if (!load_changed_)
      return;
    load_changed_ = false;
    pacer_.RecordReport(clock::now());
    membership_->Broadcast();
  });
}

void fleet_service::NotifyCapacityFreed() {
  if (capacity_listener_)
    capacity_listener_();
}

void fleet_service::AddFields(gossip_message* message, time_point now) {
  message->loads = tracker_.OwnLoads(now);
  // Drop the upstreams with the least pending prefill.
  if (message->loads.size() > kMaxLoadsPerMessage) {
    std::sort(message->loads.begin(), message->loads.end(),
              [](const upstream_load& a, const upstream_load& b) {
                return a.prefill_ms > b.prefill_ms;
              });
    message->loads.resize(kMaxLoadsPerMessage);
  }
  message->limits = limits_.Reports(now);
  if (message->limits.size() > kMaxLimitsPerMessage)
    message->limits.resize(kMaxLimitsPerMessage);
}

void fleet_service::OnMessage(const gossip_message& message, time_point now) {
  if (message.sender.state == member_state::kLeft) {
    tracker_.RemovePeer(message.sender.name);
  } else {
    tracker_.SetPeerLoads(message.sender.name,
                          {message.sender.incarnation, message.order},
                          message.loads, now);
  }
  for (const limit_report& report : message.limits) {
    if (!limits_.MergeReport(report, now))
      continue;
    UpdateLimitHolders(now);
    LogLimit(report.upstream, message.sender.name, now);
  }
  NotifyCapacityFreed();
}

}  // namespace cactusward
