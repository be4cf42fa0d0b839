#include "src/relay/catalog_service.h"

#include <algorithm>
#include <set>

#include "cactusward/hash.h"
#include "src/kernel/boot_clock.h"
#include "src/kernel/log.h"
#include "src/kernel/run_and_clean_up.h"

namespace cactusward {
namespace {

// A small fraction of the time in which a change must take effect.
constexpr milliseconds kTickPeriod{100};
// Share of the time in which a configuration must be in force that is left for
// what cannot be measured: the way of the report that tells of it, and of the
// request.
constexpr double kReportDelayShare = 0.25;
// A standstill of this length makes confirmations too old to be used.
constexpr milliseconds kMaxStandstill{250};
// Interval at which one instance reads the registry's revision on behalf of
// all. A change must take effect everywhere within two seconds.
constexpr milliseconds kConfirmPeriod{700};
// Confirmations are delayed by a random time of up to this much per live
// instance, so that one instance asks and the others receive its result.
constexpr milliseconds kConfirmSpreadPerInstance{25};
constexpr milliseconds kMaxConfirmSpread{1'000};
// Outages last for seconds, and each registry request has a cost.
constexpr milliseconds kConfirmRetryDelay{500};
// Failures that are closer together belong to one outage. Spans several
// registry requests.
constexpr milliseconds kSameOutageGap{5'000};
// A watch delivers a change within this time.
constexpr milliseconds kWatchDelay{120};
// Number of instances that watch the registry, chosen so that at least one of
// them is running and connected.
constexpr std::size_t kWatcherCount = 3;
constexpr milliseconds kWatcherPollPeriod{200};
// More changes at once require a complete read by the peers anyway.
constexpr std::size_t kMaxRecentChanges = 64;
// Delay after the first failure of the registry, doubled with each further one.
constexpr milliseconds kInitialRetryDelay{50};
// Well below the two seconds within which a change must take effect, so that
// the end of an outage is noticed in time.
constexpr milliseconds kMaxRetryDelay{800};
// A watch may be disconnected at any time. Only consecutive failures count as
// an outage.
constexpr int kOutageAfterFailures = 2;
// When at least this many entries, and more than this share of all, are removed
// at once, they have expired during a registry outage. No planned change
// removes so many.
constexpr std::size_t kMassRemovalCount = 3;
constexpr double kMassRemovalShare = 0.34;

// Pace of catching up with peers, for the list of upstreams and for the
// configuration.
constexpr catch_up_settings kCatchUp{
    // No shorter than the interval of changes in a burst.
    milliseconds(400),
    // Another peer is asked as well, so that an unresponsive registry or peer
    // does not use up the time in which a change must take effect.
    milliseconds(500),
    // As many as begin within the timeout of one when none gets a response.
    3, milliseconds(1'500)};

// Share of the link that configurations for peers may take: callers and
// upstreams need the rest.
constexpr double kTransferLinkShare = 0.5;
constexpr double kDefaultLinkMbps = 20;
constexpr double kBytesPerMegabit = 125'000;
// A peer that would have to wait longer asks another one.
constexpr milliseconds kMaxTransferQueue{150};

transfer_settings TransferSettings(const forwarding_settings& settings) {
  const double mbps =
      settings.link_mbps > 0 ? settings.link_mbps : kDefaultLinkMbps;
  return {mbps * kBytesPerMegabit * kTransferLinkShare, kMaxTransferQueue};
}

}  // namespace

catalog_service::catalog_service(runtime& runtime,
                                 catalog_source* source,
                                 peer_link* peers)
    : runtime_(runtime),
      source_(source),
      peers_(peers),
      upstreams_(runtime.settings.forwarding->reregistration_grace),
      evacuations_(runtime.settings.forwarding->reregistration_grace),
      standstill_(kTickPeriod, kMaxStandstill, clock::now()),
      upstreams_pacer_(kCatchUp),
      config_pacer_(kCatchUp),
      transfers_(TransferSettings(*runtime.settings.forwarding)) {}

void catalog_service::Start() {
  SpawnRestarting(runtime_.io, "catalog",
                  [this](asio::yield_context yield) { Run(yield); });
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  tick_timer_ = runtime_.timers.Every(kTickPeriod, [this](time_point now) {
    standstill_.Tick(now, BootTime());
    if (upstreams_.Expire(now))
      NotifyListeners();
    const auto evacuated = evacuations_.entries();
    if (evacuations_.Expire(now))
      OnEvacuationsChanged(evacuated, "expiry");
    ConfirmIfDue(now);
  });
}

void catalog_service::RecordConfirmation(time_point at) {
  if (at <= confirmed_at_)
    return;
  confirmed_at_ = at;
  PostponeConfirmation(at);
}

void catalog_service::PostponeConfirmation(time_point from) {
  const auto spread = std::min(
      kMaxConfirmSpread,
      kConfirmSpreadPerInstance * static_cast<int>(membership_->LiveCount()));
  confirm_due_ = from + kConfirmPeriod +
                 milliseconds(runtime_.random() % (spread.count() + 1));
}

void catalog_service::RecordOwnConfirmation(time_point at) {
  if (IsRegistryConfigOlder())
    return PostponeConfirmation(clock::now());
  own_confirmed_at_ = std::max(own_confirmed_at_, at);
  RecordConfirmation(at);
  if (decoding_position_ == registry_position())
    RecordConfigConfirmation(at);
}

std::optional<duration> catalog_service::Age(time_point now) const {
  if (confirmed_at_ == time_point())
    return std::nullopt;
  return now - confirmed_at_;
}

bool catalog_service::MayBeOutdated(time_point now) const {
  return config_lag_.Behind(now) || decoding_position_ != registry_position() ||
         now - config_confirmed_at_ > MaxConfigAge();
}

bool catalog_service::IsOutdated(time_point now) const {
  const auto behind = config_lag_.Behind(now);
  return behind && *behind > MaxConfigAge();
}

duration catalog_service::MaxConfigAge() const {
  return std::chrono::duration_cast<duration>(
      runtime_.settings.forwarding->config_apply * (1 - kReportDelayShare));
}

void catalog_service::ConfirmIfDue(time_point now) {
  if (confirming_ || needs_full_read_ || failures_ > 0 || now < confirm_due_)
    return;
  confirming_ = true;
  Spawn(runtime_.io, "catalog_confirm", [this](asio::yield_context yield) {
    RunAndCleanUp([&] { Confirm(yield); }, [this] { confirming_ = false; });
  });
}

void catalog_service::RecordQueryFailure(const char* what,
                                         const std::string& detail) {
  const time_point now = clock::now();
  // Log once per outage: requests are retried while it lasts.
  if (now - registry_failed_at_ > kSameOutageGap)
    Log(log_level::kWarning, "registry_unanswered",
        {{"during", what},
         {"detail", detail},
         {"known_revision", position_.revision}});
  registry_failed_at_ = now;
}

void catalog_service::Confirm(asio::yield_context yield) {
  const time_point asked_at = clock::now();
  const auto newest = source_->ReadPosition(yield);
  if (!newest) {
    RecordQueryFailure("revision", newest.detail());
    confirm_due_ = clock::now() + kConfirmRetryDelay;
    return;
  }
  if (newest->era < position_.era) {
    // Read before the registry was restored.
    confirm_due_ = clock::now() + kConfirmRetryDelay;
    return;
  }
  if (*newest > position_)
    Sleep(runtime_.io, kWatchDelay, yield);
  if (*newest > position_) {
    Log(log_level::kInfo, "watch_behind",
        {{"catalog_era", newest->era},
         {"known_revision", position_.revision},
         {"newest", newest->revision}});
    const auto read = ReadRegistry(yield);
    if (!read) {
      RecordQueryFailure("read", read.detail());
      confirm_due_ = clock::now() + kConfirmRetryDelay;
      return;
    }
  } else if (config_known_position_ < position_ || IsRegistryConfigOlder()) {
    const auto read = ReadConfig(yield);
    if (!read) {
      RecordQueryFailure("configuration", read.detail());
      confirm_due_ = clock::now() + kConfirmRetryDelay;
      return;
    }
  }
  RecordOwnConfirmation(asked_at);
  membership_->Broadcast();
}

void catalog_service::Run(asio::yield_context yield) {
  // An exception may have left a batch half applied.
  needs_full_read_ = true;
  while (true) {
    if (!needs_full_read_ && !IsWatcher()) {
      Sleep(runtime_.io, kWatcherPollPeriod, yield);
      watched_position_ = std::max(watched_position_,
                                   std::min(position_, config_known_position_));
      continue;
    }
    if (!needs_full_read_) {
      WatchOnce(yield);
      continue;
    }
    const time_point asked_at = clock::now();
    const auto position = ReadRegistry(yield);
    if (!position) {
      BackOffAfterFailure(position.detail(), "read", yield);
      continue;
    }
    RecordSuccess();
    needs_full_read_ = false;
    watched_position_ = *position;
    RecordOwnConfirmation(asked_at);
  }
}

result<registry_position> catalog_service::ReadRegistry(
    asio::yield_context yield) {
  const auto upstreams = source_->ReadUpstreams(yield);
  if (!upstreams)
    return {upstreams.kind(), upstreams.detail()};

  ApplySnapshot(*upstreams, "registry", yield);
  const auto config_era = ReadConfig(yield);
  if (!config_era)
    return {config_era.kind(), config_era.detail()};
  if (upstreams->position.era != position_.era || *config_era != position_.era)
    return {error_kind::kStoreUnavailable, "restored while it was read"};
  // Read later than the upstreams.
  RecordConfigKnown(upstreams->position);
  return upstreams->position;
}

result<std::int64_t> catalog_service::ReadConfig(asio::yield_context yield) {
  const auto config = source_->ReadConfig(yield);
  if (!config)
    return {config.kind(), config.detail()};
  // Before a configuration lets this instance forward requests.
  ReplaceEvacuations(*config, "registry");
  ApplyConfigs(*config, "registry", yield);
  RecordConfigKnown(config->position);
  return config->position.era;
}

bool catalog_service::IsWatcher() const {
  const std::uint64_t own = Hash64(runtime_.settings.instance);
  std::size_t before = 0;
  for (const member* peer : membership_->LivePeers()) {
    if (peer->state == member_state::kAlive && Hash64(peer->name) < own)
      ++before;
  }
  return before < kWatcherCount;
}

void catalog_service::RecordChange(const catalog_item& item) {
  recent_changes_.push_back(
      {{item.id, item.position.revision, item.document}, clock::now()});
  if (recent_changes_.size() > kMaxRecentChanges) {
    recent_changes_after_ = recent_changes_.front().change.revision;
    recent_changes_.pop_front();
  }
}

void catalog_service::RecordDifference(const catalog_batch& batch) {
  std::vector<catalog_item> changes;
  std::set<std::string> present;
  for (const catalog_item& item : batch.items) {
    if (item.kind != catalog_item_kind::kUpstream)
      continue;
    present.insert(item.id);
    if (item.position > position_)
      changes.push_back(item);
  }
  for (const auto& [id, raw] : raw_upstreams_) {
    if (present.count(id) == 0)
      changes.push_back(
          {catalog_item_kind::kUpstream, id, batch.position, std::nullopt});
  }
  if (batch.position.era != position_.era || position_.revision == 0 ||
      changes.size() > kMaxRecentChanges / 2) {
    recent_changes_.clear();
    recent_changes_after_ = batch.position.revision;
    return;
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const catalog_item& a, const catalog_item& b) {
                     return a.position < b.position;
                   });
  for (const catalog_item& item : changes)
    RecordChange(item);
  RecordChange({catalog_item_kind::kConfig, {}, batch.position, std::nullopt});
}

bool catalog_service::WatchOnce(asio::yield_context yield) {
  if (watched_position_.era != position_.era) {
    needs_full_read_ = true;
    return false;
  }
  const time_point asked_at = clock::now();
  const auto batch = source_->WaitForChanges(watched_position_, yield);
  if (!batch && batch.kind() == error_kind::kNotFound) {
    Log(log_level::kInfo, "registry_history_lost",
        {{"catalog_era", watched_position_.era},
         {"after", watched_position_.revision}});
    needs_full_read_ = true;
    return false;
  }
  if (!batch) {
    BackOffAfterFailure(batch.detail(), "watch", yield);
    return false;
  }
  RecordSuccess();
  if (batch->position.era != position_.era) {
    needs_full_read_ = true;
    return false;
  }
  const bool newer = batch->position > position_;
  ApplyChanges(*batch, yield);
  RecordConfigKnown(batch->position);
  // The response may have been on its way for long.
  RecordOwnConfirmation(asked_at);
  if (newer)
    membership_->Broadcast();
  watched_position_ = std::max(watched_position_, batch->position);
  return true;
}

void catalog_service::BackOffAfterFailure(const std::string& detail,
                                          const char* what,
                                          asio::yield_context yield) {
  ++failures_;
  if (failures_ >= kOutageAfterFailures)
    upstreams_.RecordOutage(clock::now());
  if (failures_ == kOutageAfterFailures)
    Log(log_level::kWarning, "registry_lost",
        {{"during", what},
         {"detail", detail},
         {"known_revision", position_.revision}});
  const auto delay = std::min(
      kMaxRetryDelay, kInitialRetryDelay * (1 << std::min(failures_ - 1, 4)));
  // Jitter prevents all instances from reconnecting at the same time.
  const auto jitter = milliseconds(runtime_.random() % (delay.count() + 1));
  Sleep(runtime_.io, (delay + jitter) / 2, yield);
}

void catalog_service::EnterEra(const registry_position& next,
                               const char* origin) {
  Log(log_level::kWarning, "registry_restored",
      {{"era_before", position_.era},
       {"revision_before", position_.revision},
       {"catalog_era", next.era},
       {"revision", next.revision},
       {"origin", origin}});
  upstreams_.RecordOutage(clock::now());
  registry_version_ = 0;
}

void catalog_service::RecordRegistryVersion(std::int64_t era,
                                            std::int64_t version) {
  if (era == position_.era)
    registry_version_ = std::max(registry_version_, version);
}

void catalog_service::RecordSuccess() {
  if (failures_ >= kOutageAfterFailures)
    Log(log_level::kInfo, "registry_regained",
        {{"failures", failures_}, {"known_revision", position_.revision}});
  failures_ = 0;
}

bool catalog_service::ApplyConfig(const catalog_item& item,
                                  const char* origin,
                                  asio::yield_context yield) {
  if (!item.document)
    return false;
  // A complete read returns the configuration in force again, and a registry
  // that was restored may get it back at another position.
  if (config_ && *item.document == config_document_) {
    config_position_ = std::max(config_position_, item.position);
    RecordRegistryVersion(item.position.era, config_->version());
    return false;
  }
  if (*item.document == older_document_) {
    RecordRegistryVersion(item.position.era, older_version_);
    return false;
  }
  // Positions of two eras do not order configurations: their versions do.
  const auto is_covered = [&item](const registry_position& known) {
    return item.position.era == known.era && item.position <= known;
  };
  if ((config_ && is_covered(config_position_)) ||
      is_covered(decoding_position_) || *item.document == decoding_document_)
    return false;
  decoding_position_ = item.position;
  decoding_document_ = *item.document;
  const time_point received_at = clock::now();
  const auto decoded = RunAndCleanUp(
      [&] {
        return source_->DecodeConfig(*item.document,
                                     [&] { asio::post(runtime_.io, yield); });
      },
      [&] {
        if (decoding_position_ != item.position)
          return;
        decoding_position_ = {};
        decoding_document_.clear();
      });
  if (!decoded) {
    Log(log_level::kError, "config_rejected",
        {{"catalog_era", item.position.era},
         {"revision", item.position.revision},
         {"detail", decoded.detail()}});
    return false;
  }
  RecordRegistryVersion(item.position.era, (*decoded)->version());
  const std::int64_t before = ConfigVersion();
  if ((*decoded)->version() <= before) {
    older_document_ = *item.document;
    older_version_ = (*decoded)->version();
    return false;
  }
  config_ = *decoded;
  const time_point now = clock::now();
  const duration behind = config_lag_.Behind(now).value_or(duration(0));
  config_lag_.RecordInForce(config_->version());
  config_pacer_.RecordCaughtUp();
  config_document_ = *item.document;
  config_position_ = item.position;
  Log(log_level::kInfo, "config_in_force",
      {{"version", config_->version()},
       {"before", before},
       {"catalog_era", item.position.era},
       {"revision", item.position.revision},
       {"origin", origin},
       {"routes", config_->routes().size()},
       {"bytes", config_document_.size()},
       {"decode_ms", ToMilliseconds(now - received_at)},
       {"behind_ms", ToMilliseconds(behind)}});
  return true;
}

bool catalog_service::ApplyUpstream(const catalog_item& item, time_point now) {
  if (item.document) {
    const auto entry = source_->DecodeUpstream(item.id, *item.document);
    if (entry) {
      const bool changed = upstreams_.Put(*entry, item.position);
      if (auto in_force = DocumentInForce(item, *entry))
        raw_upstreams_[item.id] = std::move(*in_force);
      else
        raw_upstreams_.erase(item.id);
      if (changed)
        Log(log_level::kInfo, "upstream_listed",
            {{"upstream", item.id},
             {"service", entry->service},
             {"leaving", entry->leaving},
             {"catalog_era", item.position.era},
             {"revision", item.position.revision}});
      return changed;
    }
    Log(log_level::kWarning, "upstream_entry_rejected",
        {{"upstream", item.id}, {"detail", entry.detail()}});
  }
  raw_upstreams_.erase(item.id);
  const bool changed = upstreams_.Remove(item.id, item.position, now);
  Log(log_level::kInfo, "upstream_unlisted",
      {{"upstream", item.id},
       {"in_force", changed},
       {"catalog_era", item.position.era},
       {"revision", item.position.revision}});
  return changed;
}

std::optional<catalog_service::raw_upstream> catalog_service::DocumentInForce(
    const catalog_item& item,
    const upstream_entry& entry) const {
  const auto held = upstreams_.entries().find(item.id);
  if (held == upstreams_.entries().end())
    return std::nullopt;
  if (held->second.entry == entry)
    return raw_upstream{*item.document, item.position.revision};
  const auto known = raw_upstreams_.find(item.id);
  if (known == raw_upstreams_.end())
    return std::nullopt;
  return raw_upstream{known->second.document, item.position.revision};
}

void catalog_service::ApplyConfigs(const catalog_batch& batch,
                                   const char* origin,
                                   asio::yield_context yield) {
  bool changed = false;
  for (const catalog_item& item : batch.items) {
    if (item.kind == catalog_item_kind::kConfig)
      changed = ApplyConfig(item, origin, yield) || changed;
  }
  if (changed)
    NotifyListeners();
}

void catalog_service::ApplySnapshot(const catalog_batch& batch,
                                    const char* origin,
                                    asio::yield_context yield) {
  struct listed_upstream {
    const catalog_item* item;
    upstream_entry entry;
  };
  std::vector<registered_upstream> all;
  std::vector<listed_upstream> listed;
  for (const catalog_item& item : batch.items) {
    if (item.kind != catalog_item_kind::kUpstream || !item.document)
      continue;
    const auto entry = source_->DecodeUpstream(item.id, *item.document);
    if (!entry) {
      Log(log_level::kWarning, "upstream_entry_rejected",
          {{"upstream", item.id}, {"detail", entry.detail()}});
      continue;
    }
    all.push_back({*entry, item.position});
    listed.push_back({&item, *entry});
  }
  if (batch.position >= position_) {
    if (batch.position.era != position_.era && position_.revision > 0)
      EnterEra(batch.position, origin);
    const bool changed = upstreams_.Replace(all, batch.position, clock::now());
    RecordDifference(batch);
    std::map<std::string, raw_upstream> raw;
    for (const listed_upstream& each : listed) {
      if (auto in_force = DocumentInForce(*each.item, each.entry))
        raw[each.item->id] = std::move(*in_force);
    }
    raw_upstreams_ = std::move(raw);
    position_ = batch.position;
    if (changed || !upstreams_.cold_changes().empty())
      NotifyListeners();
  }
  Log(log_level::kInfo, "catalog_read",
      {{"origin", origin},
       {"catalog_era", batch.position.era},
       {"revision", batch.position.revision},
       {"upstreams", upstreams_.entries().size()}});
  ApplyConfigs(batch, origin, yield);
}

void catalog_service::ApplyChanges(const catalog_batch& batch,
                                   asio::yield_context yield) {
  const time_point now = clock::now();
  std::size_t removals = 0;
  for (const catalog_item& item : batch.items) {
    const auto known = upstreams_.entries().find(item.id);
    if (item.kind == catalog_item_kind::kUpstream && !item.document &&
        known != upstreams_.entries().end() && !known->second.entry.leaving)
      ++removals;
  }
  if (removals >= kMassRemovalCount &&
      static_cast<double>(removals) >
          kMassRemovalShare *
              static_cast<double>(upstreams_.entries().size())) {
    Log(log_level::kWarning, "upstreams_lapsed_together",
        {{"removed", removals}, {"listed", upstreams_.entries().size()}});
    upstreams_.RecordOutage(now);
  }
  std::vector<evacuation_report> evacuations;
  for (const catalog_item& item : batch.items) {
    if (item.kind == catalog_item_kind::kEvacuation)
      evacuations.push_back(
          {item.id, item.position, item.document.has_value()});
  }
  const bool evacuations_changed = MergeEvacuations(evacuations, "registry");
  bool changed = false;
  for (const catalog_item& item : batch.items) {
    const bool is_upstream = item.kind == catalog_item_kind::kUpstream;
    // Already applied from a peer's message or snapshot.
    if (item.position <= position_ && is_upstream)
      continue;
    if (is_upstream)
      changed = ApplyUpstream(item, now) || changed;
    if (item.position > position_)
      RecordChange(
          is_upstream ? item : catalog_item{item.kind, {}, item.position, {}});
  }
  position_ = std::max(position_, batch.position);
  if (changed || !upstreams_.cold_changes().empty())
    NotifyListeners();
  const bool has_config = std::any_of(
      batch.items.begin(), batch.items.end(), [](const catalog_item& item) {
        return item.kind == catalog_item_kind::kConfig;
      });
  // Peers need not wait until the configuration has been decoded either.
  if ((changed || evacuations_changed) && has_config)
    membership_->Broadcast();
  ApplyConfigs(batch, "registry", yield);
}

void catalog_service::ReplaceEvacuations(const catalog_batch& batch,
                                         const char* origin) {
  std::vector<zone_evacuation> listed;
  for (const catalog_item& item : batch.items) {
    if (item.kind == catalog_item_kind::kEvacuation && item.document)
      listed.push_back({item.id, item.position});
  }
  const auto before = evacuations_.entries();
  if (!evacuations_.Replace(listed, batch.position, clock::now()))
    return;
  OnEvacuationsChanged(before, origin);
  membership_->Broadcast();
}

void catalog_service::OnEvacuationsChanged(
    const std::vector<zone_evacuation>& before,
    std::string_view origin) {
  const auto contains = [](const std::vector<zone_evacuation>& list,
                           const std::string& zone) {
    return std::any_of(
        list.begin(), list.end(),
        [&zone](const zone_evacuation& each) { return each.zone == zone; });
  };
  const auto log = [this, origin](const char* event,
                                  const zone_evacuation& changed) {
    const auto in_zone = std::count_if(
        upstreams_.entries().begin(), upstreams_.entries().end(),
        [&changed](const auto& listed) {
          return listed.second.entry.availability_zone == changed.zone;
        });
    Log(log_level::kWarning, event,
        {{"zone", changed.zone},
         {"origin", origin},
         {"catalog_era", changed.position.era},
         {"revision", changed.position.revision},
         {"upstreams", in_zone}});
  };
  const auto now_in_force = evacuations_.entries();
  for (const zone_evacuation& each : now_in_force) {
    if (!contains(before, each.zone))
      log("zone_evacuated", each);
  }
  for (const zone_evacuation& each : before) {
    if (!contains(now_in_force, each.zone))
      log("zone_readmitted", each);
  }
  NotifyListeners();
}

void catalog_service::NotifyListeners() {
  for (const listener& listener : listeners_)
    listener();
}

}  // namespace cactusward
