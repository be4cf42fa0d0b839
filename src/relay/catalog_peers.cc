// Exchange of catalog data with other instances: recent changes in gossip
// datagrams, complete snapshots on request.
#include <algorithm>
#include <limits>

#include "src/kernel/boot_clock.h"
#include "src/kernel/log.h"
#include "src/kernel/run_and_clean_up.h"
#include "src/relay/catalog_service.h"

namespace cactusward {
namespace {

// Changes are sent to peers for this long. A peer that misses them requests a
// snapshot.
constexpr milliseconds kChangeTtl{3'000};
// Most bytes of changes in one datagram, which must not be fragmented.
constexpr std::size_t kMaxChangeBytes = 900;
// Most evacuations in one datagram: about 400 bytes. Snapshots have all.
constexpr std::size_t kMaxEvacuationReports = 16;
// How long the registry's delivery may lag behind a peer's before the peer is
// asked. A watch delivers a change within a few round trips.
constexpr milliseconds kRegistryLagTolerance{250};
// A snapshot of 200 KB takes 0.1 s at 20 Mbit/s, and ten may be requested from
// one peer at the same time.
constexpr milliseconds kPullTimeout{1'500};

// Reads what is readable of the evacuations in a snapshot.
std::vector<evacuation_report> ReadEvacuationReports(
    const nlohmann::json& list) {
  constexpr std::size_t kFields = 4;
  std::vector<evacuation_report> reports;
  for (const nlohmann::json& item : list) {
    if (item.is_array() && item.size() >= kFields && item[0].is_string() &&
        item[1].is_number_integer() && item[2].is_number_integer() &&
        item[3].is_boolean())
      reports.push_back(
          {item[0].get<std::string>(),
           {item[1].get<std::int64_t>(), item[2].get<std::int64_t>()},
           item[3].get<bool>()});
  }
  return reports;
}

}  // namespace

nlohmann::json catalog_service::Snapshot(std::int64_t known_version) {
  ++snapshots_served_;
  const bool with_config = config_ && config_->version() > known_version;
  if (with_config) {
    config_bytes_served_ += config_document_.size();
    Log(log_level::kInfo, "config_served",
        {{"version", config_->version()},
         {"known_version", known_version},
         {"bytes", config_document_.size()}});
  }
  nlohmann::json upstreams = nlohmann::json::array();
  for (const auto& [id, raw] : raw_upstreams_)
    upstreams.push_back(
        nlohmann::json::array({id, raw.document, raw.revision}));
  nlohmann::json evacuations = nlohmann::json::array();
  for (const evacuation_report& report : evacuations_.Reports())
    evacuations.push_back(
        nlohmann::json::array({report.zone, report.position.era,
                               report.position.revision, report.evacuated}));
  return {{"era", position_.era},
          {"revision", position_.revision},
          {"config", with_config ? config_document_ : std::string()},
          {"config_era", config_position_.era},
          {"config_revision", config_position_.revision},
          {"upstreams", std::move(upstreams)},
          {"evacuations", std::move(evacuations)}};
}

void catalog_service::AddFields(gossip_message* message, time_point now) {
  message->catalog_position = position_;
  message->evacuations = evacuations_.NewestReports(kMaxEvacuationReports);
  message->config_number = config_ ? config_->version() : 0;
  // The newest changes that fit.
  std::size_t first = recent_changes_.size();
  std::size_t bytes = 0;
  while (first > 0 && now - recent_changes_[first - 1].at < kChangeTtl) {
    const catalog_change& change = recent_changes_[first - 1].change;
    bytes += change.id.size() + change.document.value_or("").size();
    if (bytes > kMaxChangeBytes)
      break;
    --first;
  }
  if (first < recent_changes_.size()) {
    message->changes_after = first > 0
                                 ? recent_changes_[first - 1].change.revision
                                 : recent_changes_after_;
    for (std::size_t i = first; i < recent_changes_.size(); ++i) {
      if (!recent_changes_[i].change.id.empty())
        message->changes.push_back(recent_changes_[i].change);
    }
  }
  const bool confirmed = own_confirmed_at_ != time_point() && IsConfigCurrent();
  message->confirmed_age_ms = confirmed
                                  ? std::chrono::duration_cast<milliseconds>(
                                        clock::now() - own_confirmed_at_)
                                        .count()
                                  : -1;
}

bool catalog_service::ApplyPeerChanges(const gossip_message& message,
                                       time_point now) {
  if (message.catalog_position.era != position_.era ||
      message.changes_after < 0 || message.changes_after > position_.revision)
    return false;
  bool changed = false;
  for (const catalog_change& change : message.changes) {
    if (change.revision <= position_.revision)
      continue;
    const catalog_item item{catalog_item_kind::kUpstream,
                            change.id,
                            {position_.era, change.revision},
                            change.document};
    changed = ApplyUpstream(item, now) || changed;
    RecordChange(item);
  }
  // All other changes up to that revision are changes of the configuration.
  RecordChange({catalog_item_kind::kConfig, {}, message.catalog_position, {}});
  position_ = message.catalog_position;
  upstreams_pacer_.RecordCaughtUp();
  if (changed || !upstreams_.cold_changes().empty())
    NotifyListeners();
  return true;
}

void catalog_service::OnMessage(const gossip_message& message, time_point now) {
  MergeEvacuations(message.evacuations, message.sender.name);
  config_lag_.Report(message.config_number, now);
  if (message.catalog_position > position_)
    ApplyPeerChanges(message, now);
  const bool upstreams_behind = message.catalog_position > position_;
  const bool config_behind = message.config_number > ConfigVersion();
  const std::string& peer = message.sender.peer_address;
  if (upstreams_behind)
    CatchUpUpstreams(peer, now);
  if (config_behind)
    CatchUpConfig(peer, now);
  if (message.config_number != ConfigVersion() ||
      message.confirmed_age_ms < 0 || standstill_.Recently(now, BootTime()))
    return;
  // A later position confirms the configuration as well.
  RecordConfigConfirmation(now - milliseconds(message.confirmed_age_ms));
  if (message.catalog_position != position_)
    return;
  // The changes up to that position may include evacuations, which messages of
  // earlier formats do not tell: this instance then asks the registry itself.
  if (!message.has_evacuations && config_known_position_ < position_)
    return;
  RecordConfirmation(now - milliseconds(message.confirmed_age_ms));
  RecordRegistryVersion(position_.era, ConfigVersion());
  RecordConfigKnown(position_);
}

bool catalog_service::MergeEvacuations(
    const std::vector<evacuation_report>& reports,
    std::string_view origin) {
  const auto before = evacuations_.entries();
  bool changed = false;
  for (const evacuation_report& report : reports)
    changed = evacuations_.Merge(report, clock::now()) || changed;
  if (changed)
    OnEvacuationsChanged(before, origin);
  return changed;
}

void catalog_service::CatchUpUpstreams(const std::string& peer,
                                       time_point now) {
  if (!upstreams_pacer_.TryBegin(now, kRegistryLagTolerance))
    return;
  Spawn(runtime_.io, "upstreams_pull", [this, peer](asio::yield_context yield) {
    // Without a configuration.
    constexpr auto kNoConfig = std::numeric_limits<std::int64_t>::max();
    RunAndCleanUp([&] { PullFrom(peer, kNoConfig, yield); },
                  [this] { upstreams_pacer_.End(); });
  });
}

void catalog_service::CatchUpConfig(const std::string& peer, time_point now) {
  // The peer most likely reports the configuration that is being decoded here.
  if (decoding_position_ != registry_position())
    return;
  // Instances that do not watch the registry learn of a new configuration only
  // from peers.
  const duration grace =
      IsWatcher() ? duration(kRegistryLagTolerance) : duration(0);
  const bool first = config_pacer_.active() == 0;
  if (!config_pacer_.TryBegin(now, grace))
    return;
  // The peer has read the configuration from the registry, so the registry
  // responds again after an outage. If it does not respond to this instance, a
  // peer is asked as well.
  const bool ask_registry = first && failures_ == 0;
  Spawn(runtime_.io, "config_pull",
        [this, ask_registry, peer](asio::yield_context yield) {
          RunAndCleanUp(
              [&] {
                if (ask_registry)
                  FetchConfig(peer, yield);
                else
                  PullFrom(peer, ConfigVersion(), yield);
              },
              [this] { config_pacer_.End(); });
        });
}

void catalog_service::FetchConfig(const std::string& peer,
                                  asio::yield_context yield) {
  // The registry has more bandwidth than a peer that all instances ask at once.
  const std::int64_t before = ConfigVersion();
  const auto read = ReadConfig(yield);
  if (!read)
    RecordQueryFailure("configuration", read.detail());
  // Another coroutine may have read it first and be decoding it now.
  if (decoding_position_ == registry_position() && ConfigVersion() <= before)
    PullFrom(peer, before, yield);
}

void catalog_service::PullFrom(const std::string& peer,
                               std::int64_t known_version,
                               asio::yield_context yield) {
  const time_point asked_at = clock::now();
  const auto response = peers_->Call(
      peer, {{"op", "catalog_get"}, {"config_version", known_version}},
      clock::now() + kPullTimeout, yield);
  if (!response || !response->is_object()) {
    Log(log_level::kWarning, "catalog_pull_failed",
        {{"peer", peer},
         {"detail", response.detail()},
         {"after_ms", ToMilliseconds(clock::now() - asked_at)},
         {"known_version", known_version},
         {"active", config_pacer_.active()}});
    return;
  }
  // Instances of a build without eras do not report one.
  const auto era_of = [&response](const char* name) {
    const auto found = response->find(name);
    return found != response->end() && found->is_number_integer()
               ? found->get<std::int64_t>()
               : 0;
  };
  const auto revision = response->find("revision");
  const auto config = response->find("config");
  const auto config_revision = response->find("config_revision");
  const auto upstreams = response->find("upstreams");
  if (revision == response->end() || !revision->is_number_integer() ||
      config == response->end() || !config->is_string() ||
      config_revision == response->end() ||
      !config_revision->is_number_integer() || upstreams == response->end() ||
      !upstreams->is_array()) {
    Log(log_level::kWarning, "catalog_pull_malformed", {{"peer", peer}});
    return;
  }
  catalog_batch batch;
  batch.position = {era_of("era"), revision->get<std::int64_t>()};
  if (!config->get_ref<const std::string&>().empty())
    batch.items.push_back(
        {catalog_item_kind::kConfig,
         "",
         {era_of("config_era"), config_revision->get<std::int64_t>()},
         config->get<std::string>()});
  for (const auto& item : *upstreams) {
    // Reject the whole list: applying only part of it would remove the other
    // upstreams.
    if (!item.is_array() || item.size() < 3 || !item[0].is_string() ||
        !item[1].is_string() || !item[2].is_number_integer()) {
      Log(log_level::kWarning, "catalog_pull_malformed", {{"peer", peer}});
      return;
    }
    batch.items.push_back({catalog_item_kind::kUpstream,
                           item[0].get<std::string>(),
                           {batch.position.era, item[2].get<std::int64_t>()},
                           item[1].get<std::string>()});
  }
  upstreams_pacer_.RecordCaughtUp();
  // Instances of a release without evacuations do not report any.
  if (const auto evacuations = response->find("evacuations");
      evacuations != response->end() && evacuations->is_array())
    MergeEvacuations(ReadEvacuationReports(*evacuations), peer);
  ApplySnapshot(batch, "peer", yield);
}

}  // namespace cactusward
