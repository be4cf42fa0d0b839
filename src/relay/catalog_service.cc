#include "src/relay/catalog_service.h"

#include <algorithm>
#include <set>

#include "cactusward/hash.h"
#include "src/kernel/log.h"

namespace cactusward {
namespace {

// A small part of the time in which a change must be in force.
constexpr milliseconds kTickPeriod{100};
// Some instance asks the registry for its revision this often, for all; a
// change must be in force everywhere within two seconds.
constexpr milliseconds kConfirmPeriod{700};
// Instances spread their turns over this time for each of them, so that one
// asks and the others hear of it.
constexpr milliseconds kConfirmSpreadPerInstance{25};
constexpr milliseconds kLongestConfirmSpread{1'000};
// An outage lasts seconds; each question is a priced call.
constexpr milliseconds kConfirmRetryPause{500};
// A watch delivers a change within this time after it was made.
constexpr milliseconds kWatchDelay{120};
// Instances that watch the registry: enough that one of them is neither cut
// off nor stopped.
constexpr std::size_t kWatchers = 3;
constexpr milliseconds kWatcherPoll{200};
// Changes are told to peers for this long; later ones ask for everything.
constexpr milliseconds kChangeLife{3'000};
// A mass change needs a whole read anyway.
constexpr std::size_t kMaxRecent = 64;
// Bytes of changes in one datagram, so that it is not fragmented.
constexpr std::size_t kMaxChangeBytes = 900;
// First pause after a failure of the registry; doubled with each more.
constexpr milliseconds kFirstPause{50};
// Well under the two seconds for a change, so that a return is noticed.
constexpr milliseconds kLongestPause{800};
// A watch may be cut at any time; only failures in a row are an outage.
constexpr int kOutageAfterFailures = 2;
// How long the registry's own news may be behind a peer's before the peer is
// asked: a watch delivers within some round trips.
constexpr milliseconds kPeerLead{250};
// A peer is asked no more often than a configuration storm changes.
constexpr milliseconds kPullPeriod{400};
// A snapshot of 200 KB takes 0.1 s at 20 Mbit/s; ten may be asked at once.
constexpr milliseconds kPullTimeout{1'500};
// After this time without an answer another peer is asked as well, so that
// neither a silent registry nor a silent peer uses up the time for a change.
constexpr milliseconds kPullPatience{500};
constexpr int kMaxPulls = 3;
// A registry that failed is not asked for a configuration for as long as an
// outage is likely to go on; peers are.
constexpr milliseconds kRegistryDoubt{2'000};
// Entries removed at once, and their share of all, that no planned change
// explains: they lapsed while the registry was away.
constexpr std::size_t kMassRemoval = 3;
constexpr double kMassRemovalShare = 0.34;

}  // namespace

catalog_service::catalog_service(runtime& runtime,
                                 catalog_source* source,
                                 peer_link* peers)
    : runtime_(runtime),
      source_(source),
      peers_(peers),
      upstreams_(runtime.settings.forwarding->registry_return_time) {}

void catalog_service::Start() {
  Spawn(runtime_.io, "catalog",
        [this](asio::yield_context yield) { Run(yield); });
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  tick_ = runtime_.timers.Every(kTickPeriod, [this](time_point now) {
    if (upstreams_.Expire(now))
      Notify();
    ConfirmIfDue(now);
  });
}

void catalog_service::RecordConfirmation(time_point at) {
  if (at <= confirmed_at_)
    return;
  confirmed_at_ = at;
  const auto spread = std::min(
      kLongestConfirmSpread,
      kConfirmSpreadPerInstance * static_cast<int>(membership_->LiveCount()));
  confirm_due_ = at + kConfirmPeriod +
                 milliseconds(runtime_.random() % (spread.count() + 1));
}

void catalog_service::ConfirmIfDue(time_point now) {
  if (confirming_ || needs_read_ || failures_ > 0 || now < confirm_due_)
    return;
  confirming_ = true;
  Spawn(runtime_.io, "catalog_confirm", [this](asio::yield_context yield) {
    Confirm(yield);
    confirming_ = false;
  });
}

void catalog_service::Confirm(asio::yield_context yield) {
  const time_point asked_at = clock::now();
  const auto newest = source_->ReadRevision(yield);
  if (!newest) {
    registry_failed_at_ = clock::now();
    confirm_due_ = clock::now() + kConfirmRetryPause;
    return;
  }
  if (*newest > revision_)
    Sleep(runtime_.io, kWatchDelay, yield);
  if (*newest > revision_) {
    Log(log_level::kInfo, "watch_behind",
        {{"known_revision", revision_}, {"newest", *newest}});
    const auto batch = source_->ReadAll(yield);
    if (!batch) {
      confirm_due_ = clock::now() + kConfirmRetryPause;
      return;
    }
    ApplyAll(*batch, "registry");
  }
  RecordConfirmation(asked_at);
  membership_->Broadcast();
}

void catalog_service::Run(asio::yield_context yield) {
  while (true) {
    if (!needs_read_ && !IsWatcher()) {
      Sleep(runtime_.io, kWatcherPoll, yield);
      watched_ = std::max(watched_, revision_);
      continue;
    }
    if (!needs_read_) {
      WatchOnce(yield);
      continue;
    }
    const auto batch = source_->ReadAll(yield);
    if (!batch) {
      RecordFailure(batch, "read", yield);
      continue;
    }
    RecordContact();
    RecordConfirmation(clock::now());
    needs_read_ = false;
    watched_ = batch->revision;
    ApplyAll(*batch, "registry");
  }
}

bool catalog_service::IsWatcher() const {
  const std::uint64_t own = Hash64(runtime_.settings.instance);
  std::size_t before = 0;
  for (const member& peer : membership_->Live()) {
    if (peer.state == member_state::kAlive && Hash64(peer.name) < own)
      ++before;
  }
  return before < kWatchers;
}

void catalog_service::RecordChange(const catalog_item& item) {
  recent_.push_back({{item.id, item.revision, item.document}, clock::now()});
  if (recent_.size() > kMaxRecent) {
    recent_after_ = recent_.front().change.revision;
    recent_.pop_front();
  }
}

void catalog_service::RecordDifference(const catalog_batch& batch) {
  std::vector<catalog_item> changes;
  std::set<std::string> present;
  for (const catalog_item& item : batch.items) {
    if (item.kind != catalog_item_kind::kUpstream)
      continue;
    present.insert(item.id);
    if (item.revision > revision_)
      changes.push_back(item);
  }
  for (const auto& [id, raw] : raw_upstreams_) {
    if (present.count(id) == 0)
      changes.push_back(
          {catalog_item_kind::kUpstream, id, batch.revision, std::nullopt});
  }
  if (revision_ == 0 || changes.size() > kMaxRecent / 2) {
    recent_.clear();
    recent_after_ = batch.revision;
    return;
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const catalog_item& a, const catalog_item& b) {
                     return a.revision < b.revision;
                   });
  for (const catalog_item& item : changes)
    RecordChange(item);
  RecordChange({catalog_item_kind::kConfig, {}, batch.revision, std::nullopt});
}

bool catalog_service::WatchOnce(asio::yield_context yield) {
  const auto batch = source_->WaitForChanges(watched_, yield);
  if (!batch && batch.kind() == error_kind::kNotFound) {
    Log(log_level::kInfo, "registry_history_lost", {{"after", watched_}});
    needs_read_ = true;
    return false;
  }
  if (!batch) {
    RecordFailure(batch, "watch", yield);
    return false;
  }
  RecordContact();
  RecordConfirmation(clock::now());
  ApplyChanges(*batch);
  watched_ = std::max(watched_, batch->revision);
  return true;
}

void catalog_service::RecordFailure(const result<catalog_batch>& failed,
                                    const char* what,
                                    asio::yield_context yield) {
  ++failures_;
  if (failures_ >= kOutageAfterFailures)
    upstreams_.RecordOutage(clock::now());
  if (failures_ == kOutageAfterFailures)
    Log(log_level::kWarning, "registry_lost",
        {{"during", what},
         {"detail", failed.detail()},
         {"known_revision", revision_}});
  const auto pause =
      std::min(kLongestPause, kFirstPause * (1 << std::min(failures_ - 1, 4)));
  // Spread, so that instances do not return all at once.
  const auto jitter = milliseconds(runtime_.random() % (pause.count() + 1));
  Sleep(runtime_.io, (pause + jitter) / 2, yield);
}

void catalog_service::RecordContact() {
  if (failures_ >= kOutageAfterFailures)
    Log(log_level::kInfo, "registry_regained",
        {{"failures", failures_}, {"known_revision", revision_}});
  failures_ = 0;
}

bool catalog_service::ApplyConfig(const catalog_item& item,
                                  const char* origin) {
  if (!item.document)
    return false;
  const auto decoded = source_->DecodeConfig(*item.document);
  if (!decoded) {
    Log(log_level::kError, "config_rejected",
        {{"revision", item.revision}, {"detail", decoded.detail()}});
    return false;
  }
  const std::int64_t before = config_ ? config_->version() : 0;
  if ((*decoded)->version() <= before)
    return false;
  config_ = *decoded;
  config_document_ = *item.document;
  config_revision_ = item.revision;
  Log(log_level::kInfo, "config_in_force",
      {{"version", config_->version()},
       {"before", before},
       {"revision", item.revision},
       {"origin", origin},
       {"routes", config_->routes().size()}});
  return true;
}

bool catalog_service::ApplyUpstream(const catalog_item& item, time_point now) {
  if (item.document) {
    const auto entry = source_->DecodeUpstream(item.id, *item.document);
    if (entry) {
      raw_upstreams_[item.id] = {*item.document, item.revision};
      const bool changed = upstreams_.Put(*entry, item.revision);
      if (changed)
        Log(log_level::kInfo, "upstream_listed",
            {{"upstream", item.id},
             {"service", entry->service},
             {"leaving", entry->leaving},
             {"revision", item.revision}});
      return changed;
    }
    Log(log_level::kWarning, "upstream_entry_rejected",
        {{"upstream", item.id}, {"detail", entry.detail()}});
  }
  raw_upstreams_.erase(item.id);
  const bool changed = upstreams_.Remove(item.id, item.revision, now);
  Log(log_level::kInfo, "upstream_unlisted",
      {{"upstream", item.id},
       {"in_force", changed},
       {"revision", item.revision}});
  return changed;
}

void catalog_service::ApplyAll(const catalog_batch& batch, const char* origin) {
  const time_point now = clock::now();
  bool changed = false;
  std::vector<registered_upstream> all;
  std::map<std::string, raw_upstream> raw;
  for (const catalog_item& item : batch.items) {
    if (item.kind == catalog_item_kind::kConfig) {
      changed = ApplyConfig(item, origin) || changed;
    } else if (item.kind == catalog_item_kind::kUpstream && item.document) {
      const auto entry = source_->DecodeUpstream(item.id, *item.document);
      if (!entry) {
        Log(log_level::kWarning, "upstream_entry_rejected",
            {{"upstream", item.id}, {"detail", entry.detail()}});
        continue;
      }
      all.push_back({*entry, item.revision});
      raw[item.id] = {*item.document, item.revision};
    }
  }
  if (batch.revision >= revision_) {
    changed = upstreams_.Replace(all, batch.revision, now) || changed;
    RecordDifference(batch);
    raw_upstreams_ = std::move(raw);
    revision_ = batch.revision;
  }
  Log(log_level::kInfo, "catalog_read",
      {{"origin", origin},
       {"revision", batch.revision},
       {"upstreams", upstreams_.entries().size()}});
  if (changed)
    Notify();
}

void catalog_service::ApplyChanges(const catalog_batch& batch) {
  const time_point now = clock::now();
  std::size_t removals = 0;
  for (const catalog_item& item : batch.items) {
    const auto known = upstreams_.entries().find(item.id);
    if (item.kind == catalog_item_kind::kUpstream && !item.document &&
        known != upstreams_.entries().end() && !known->second.entry.leaving)
      ++removals;
  }
  if (removals >= kMassRemoval &&
      static_cast<double>(removals) >
          kMassRemovalShare *
              static_cast<double>(upstreams_.entries().size())) {
    Log(log_level::kWarning, "upstreams_lapsed_together",
        {{"removed", removals}, {"listed", upstreams_.entries().size()}});
    upstreams_.RecordOutage(now);
  }
  bool changed = false;
  for (const catalog_item& item : batch.items) {
    // A peer's snapshot may have told of it already.
    if (item.revision <= revision_ && item.kind == catalog_item_kind::kUpstream)
      continue;
    if (item.kind == catalog_item_kind::kConfig)
      changed = ApplyConfig(item, "registry") || changed;
    else if (item.kind == catalog_item_kind::kUpstream)
      changed = ApplyUpstream(item, now) || changed;
    if (item.revision > revision_)
      RecordChange(item.kind == catalog_item_kind::kUpstream
                       ? item
                       : catalog_item{item.kind, {}, item.revision, {}});
  }
  const bool news = batch.revision > revision_;
  revision_ = std::max(revision_, batch.revision);
  if (changed)
    Notify();
  if (news)
    membership_->Broadcast();
}

nlohmann::json catalog_service::Snapshot(std::int64_t known_version) const {
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [id, raw] : raw_upstreams_)
    upstreams.push_back(
        nlohmann::json::array({id, raw.document, raw.revision}));
  return {{"revision", revision_},
          {"config", config_ && config_->version() > known_version
                         ? config_document_
                         : std::string()},
          {"config_revision", config_revision_},
          {"upstreams", std::move(upstreams)}};
}

void catalog_service::Fill(gossip_message* message, time_point now) {
  message->catalog_revision = revision_;
  message->config_number = config_ ? config_->version() : 0;
  // The newest changes that fit.
  std::size_t first = recent_.size();
  std::size_t bytes = 0;
  while (first > 0 && now - recent_[first - 1].at < kChangeLife) {
    const catalog_change& change = recent_[first - 1].change;
    bytes += change.id.size() + change.document.value_or("").size();
    if (bytes > kMaxChangeBytes)
      break;
    --first;
  }
  if (first < recent_.size()) {
    message->changes_after =
        first > 0 ? recent_[first - 1].change.revision : recent_after_;
    for (std::size_t i = first; i < recent_.size(); ++i) {
      if (!recent_[i].change.id.empty())
        message->changes.push_back(recent_[i].change);
    }
  }
  message->confirmed_age_ms = confirmed_at_ == time_point()
                                  ? -1
                                  : std::chrono::duration_cast<milliseconds>(
                                        clock::now() - confirmed_at_)
                                        .count();
}

bool catalog_service::TakeChanges(const gossip_message& message,
                                  time_point now) {
  if (message.changes_after < 0 || message.changes_after > revision_)
    return false;
  bool changed = false;
  for (const catalog_change& change : message.changes) {
    if (change.revision <= revision_)
      continue;
    const catalog_item item{catalog_item_kind::kUpstream, change.id,
                            change.revision, change.document};
    changed = ApplyUpstream(item, now) || changed;
    RecordChange(item);
  }
  // What else changed up to there is the configuration's.
  RecordChange({catalog_item_kind::kConfig, {}, message.catalog_revision, {}});
  revision_ = message.catalog_revision;
  if (changed)
    Notify();
  return true;
}

void catalog_service::Take(const gossip_message& message, time_point now) {
  if (message.catalog_revision > revision_)
    TakeChanges(message, now);
  const bool behind =
      message.catalog_revision > revision_ ||
      message.config_number > (config_ ? config_->version() : 0);
  if (!behind) {
    if (message.catalog_revision == revision_ && message.confirmed_age_ms >= 0)
      RecordConfirmation(now - milliseconds(message.confirmed_age_ms));
    return;
  }
  // The registry's own answer is usually under way.
  if (!behind_since_ || now - *behind_since_ > kPullTimeout)
    behind_since_ = now;
  const bool new_config =
      message.config_number > (config_ ? config_->version() : 0);
  // Whoever does not watch hears of a new configuration only so.
  const bool waits = !new_config || IsWatcher();
  if (waits && now - *behind_since_ < kPeerLead)
    return;
  const milliseconds pause = pulls_ == 0 ? kPullPeriod : kPullPatience;
  if (pulls_ >= kMaxPulls || now - last_pull_ < pause)
    return;
  const bool ask_registry = new_config && pulls_ == 0 && failures_ == 0 &&
                            now - registry_failed_at_ > kRegistryDoubt;
  ++pulls_;
  last_pull_ = now;
  Spawn(runtime_.io, "catalog_pull",
        [this, ask_registry,
         peer = message.sender.peer_address](asio::yield_context yield) {
          if (ask_registry)
            FetchConfig(peer, yield);
          else
            PullFrom(peer, yield);
          --pulls_;
        });
}

void catalog_service::FetchConfig(const std::string& peer,
                                  asio::yield_context yield) {
  // The registry has the widest link; a peer that all ask at once does not.
  const std::int64_t before = config_ ? config_->version() : 0;
  const auto batch = source_->ReadConfig(yield);
  bool changed = false;
  if (!batch)
    registry_failed_at_ = clock::now();
  if (batch) {
    for (const catalog_item& item : batch->items)
      changed = ApplyConfig(item, "registry") || changed;
  }
  if (changed)
    Notify();
  if (!config_ || config_->version() <= before)
    PullFrom(peer, yield);
}

void catalog_service::PullFrom(const std::string& peer,
                               asio::yield_context yield) {
  const auto answer =
      peers_->Call(peer,
                   {{"op", "catalog_get"},
                    {"config_version", config_ ? config_->version() : 0}},
                   clock::now() + kPullTimeout, yield);
  if (!answer || !answer->is_object()) {
    Log(log_level::kWarning, "catalog_pull_failed",
        {{"peer", peer}, {"detail", answer.detail()}});
    return;
  }
  const auto revision = answer->find("revision");
  const auto config = answer->find("config");
  const auto config_revision = answer->find("config_revision");
  const auto upstreams = answer->find("upstreams");
  if (revision == answer->end() || !revision->is_number_integer() ||
      config == answer->end() || !config->is_string() ||
      config_revision == answer->end() ||
      !config_revision->is_number_integer() || upstreams == answer->end() ||
      !upstreams->is_array()) {
    Log(log_level::kWarning, "catalog_pull_malformed", {{"peer", peer}});
    return;
  }
  catalog_batch batch;
  batch.revision = revision->get<std::int64_t>();
  if (!config->get_ref<const std::string&>().empty())
    batch.items.push_back({catalog_item_kind::kConfig, "",
                           config_revision->get<std::int64_t>(),
                           config->get<std::string>()});
  for (const auto& item : *upstreams) {
    if (!item.is_array() || item.size() != 3 || !item[0].is_string() ||
        !item[1].is_string() || !item[2].is_number_integer())
      continue;
    batch.items.push_back(
        {catalog_item_kind::kUpstream, item[0].get<std::string>(),
         item[2].get<std::int64_t>(), item[1].get<std::string>()});
  }
  behind_since_.reset();
  ApplyAll(batch, "peer");
}

void catalog_service::Notify() {
  for (const listener& listener : listeners_)
    listener();
}

}  // namespace cactusward
