// Exchange of catalog data with other instances: recent changes in gossip
// datagrams, complete snapshots on request.
#include <algorithm>
#include <limits>

#include "src/kernel/boot_clock.h"
#include "src/kernel/deflate.h"
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
// Longer than a peer takes to send what it accepts to send.
constexpr milliseconds kPullTimeout{1'500};
constexpr std::string_view kDeflate = "deflate";
constexpr std::size_t kMaxConfigBytes = 16ULL * 1024 * 1024;
constexpr milliseconds kPackPollPeriod{10};
// Peers asked in a row for a configuration, while each is busy or fails.
constexpr int kMaxHoldersAsked = 4;
// A busy peer has sent what it has queued by then.
constexpr milliseconds kAvoidWhileBusy{200};
// A peer that did not respond may be stopped or cut off.
constexpr milliseconds kAvoidAfterFailure{2'000};

// @return 0 if the snapshot has no such field; instances of a build without
//     eras do not report one.
std::int64_t ReadCount(const nlohmann::json& snapshot, const char* name) {
  const auto found = snapshot.find(name);
  return found != snapshot.end() && found->is_number_integer()
             ? found->get<std::int64_t>()
             : 0;
}

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

nlohmann::json catalog_service::MakeSnapshot() const {
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
          {"config", std::string()},
          {"config_era", config_position_.era},
          {"config_revision", config_position_.revision},
          {"upstreams", std::move(upstreams)},
          {"evacuations", std::move(evacuations)}};
}

bool catalog_service::BeginTransfer(std::size_t bytes,
                                    std::int64_t known_version) {
  const bool begun = transfers_.TryBegin(bytes, clock::now());
  if (!begun) {
    ++configs_not_served_;
    return false;
  }
  config_bytes_served_ += bytes;
  Log(log_level::kInfo, "config_served",
      {{"version", config_->version()},
       {"known_version", known_version},
       {"bytes", bytes}});
  return true;
}

void catalog_service::ServeSnapshot(const nlohmann::json& request,
                                    peer_handler::reply reply) {
  ++snapshots_served_;
  const auto version = request.find("config_version");
  const std::int64_t known =
      version != request.end() && version->is_number_integer()
          ? version->get<std::int64_t>()
          : 0;
  if (ConfigVersion() <= known)
    return reply(MakeSnapshot());
  const auto encoding = request.find("config_encoding");
  if (encoding == request.end() || *encoding != kDeflate) {
    // An instance of an earlier release, which asks again if it gets nothing.
    nlohmann::json snapshot = MakeSnapshot();
    if (BeginTransfer(config_document_.size(), known))
      snapshot["config"] = config_document_;
    return reply(snapshot);
  }
  Spawn(runtime_.io, "config_reply",
        [this, known, reply = std::move(reply)](asio::yield_context yield) {
          PackConfig(yield);
          if (!BeginTransfer(packed_.bytes.size(), known))
            return reply({{"busy", true}});
          nlohmann::json snapshot = MakeSnapshot();
          // The list of upstreams is requested by itself.
          snapshot.erase("upstreams");
          snapshot["config_deflated"] = nlohmann::json::binary(
              {packed_.bytes.begin(), packed_.bytes.end()});
          reply(snapshot);
        });
}

void catalog_service::PackConfig(asio::yield_context yield) {
  while (packing_)
    Sleep(runtime_.io, kPackPollPeriod, yield);
  while (packed_.version != ConfigVersion()) {
    packing_ = true;
    RunAndCleanUp(
        [&] {
          const std::int64_t version = ConfigVersion();
          const std::string document = config_document_;
          std::string bytes =
              Deflate(document, [&] { asio::post(runtime_.io, yield); });
          packed_ = {version, std::move(bytes)};
        },
        [this] { packing_ = false; });
  }
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
  const member& sender = message.sender;
  config_holders_.Report(sender.peer_address, sender.availability_zone,
                         message.config_number, now);
  if (message.catalog_position.era == position_.era)
    list_holders_.Report(sender.peer_address, sender.availability_zone,
                         message.catalog_position.revision, now);
  if (upstreams_behind)
    CatchUpUpstreams(sender.peer_address, now);
  if (config_behind)
    CatchUpConfig(now);
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
    const time_point began_at = clock::now();
    const auto holder = list_holders_.Pick(position_.revision,
                                           runtime_.settings.availability_zone,
                                           runtime_.random, began_at);
    RunAndCleanUp(
        [&] {
          const std::string& source = holder ? *holder : peer;
          if (PullFrom(source, kNoConfig, yield) == pull_result::kFailed)
            list_holders_.Avoid(source, clock::now() + kAvoidAfterFailure);
        },
        [this] { upstreams_pacer_.End(); });
  });
}

void catalog_service::CatchUpConfig(time_point now) {
  // Peers most likely report the configuration that is being decoded here.
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
        [this, ask_registry](asio::yield_context yield) {
          RunAndCleanUp(
              [&] {
                if (ask_registry)
                  FetchConfig(yield);
                else
                  PullConfig(yield);
              },
              [this] { config_pacer_.End(); });
        });
}

void catalog_service::FetchConfig(asio::yield_context yield) {
  // The registry has more bandwidth than a peer.
  const std::int64_t before = ConfigVersion();
  const auto read = ReadConfig(yield);
  if (!read)
    RecordQueryFailure("configuration", read.detail());
  // Another coroutine may have read it first and be decoding it now.
  if (LacksNewerThan(before))
    PullConfig(yield);
}

void catalog_service::PullConfig(asio::yield_context yield) {
  const std::int64_t before = ConfigVersion();
  for (int i = 0; i < kMaxHoldersAsked && LacksNewerThan(before); ++i) {
    const auto peer =
        config_holders_.Pick(before, runtime_.settings.availability_zone,
                             runtime_.random, clock::now());
    if (!peer)
      return;
    const pull_result result = PullFrom(*peer, before, yield);
    if (result == pull_result::kReceived)
      return;
    config_holders_.Avoid(*peer, clock::now() + (result == pull_result::kBusy
                                                     ? kAvoidWhileBusy
                                                     : kAvoidAfterFailure));
  }
}

catalog_service::pull_result catalog_service::PullFrom(
    const std::string& peer,
    std::int64_t known_version,
    asio::yield_context yield) {
  const time_point asked_at = clock::now();
  const auto response = peers_->Call(peer,
                                     {{"op", "catalog_get"},
                                      {"config_version", known_version},
                                      {"config_encoding", kDeflate}},
                                     clock::now() + kPullTimeout, yield);
  if (!response || !response->is_object()) {
    Log(log_level::kWarning, "catalog_pull_failed",
        {{"peer", peer},
         {"detail", response.detail()},
         {"after_ms", ToMilliseconds(clock::now() - asked_at)},
         {"known_version", known_version},
         {"active", config_pacer_.active()}});
    return pull_result::kFailed;
  }
  if (response->contains("busy"))
    return pull_result::kBusy;
  const auto deflated = response->find("config_deflated");
  const bool is_readable =
      deflated != response->end()
          ? deflated->is_binary() &&
                ApplyPackedConfig(*response, deflated->get_binary(), peer,
                                  yield)
          : ApplyPulled(*response, peer, yield);
  if (is_readable)
    return pull_result::kReceived;
  Log(log_level::kWarning, "catalog_pull_malformed", {{"peer", peer}});
  return pull_result::kFailed;
}

bool catalog_service::ApplyPackedConfig(
    const nlohmann::json& response,
    const std::vector<std::uint8_t>& deflated,
    const std::string& peer,
    asio::yield_context yield) {
  std::string packed(deflated.begin(), deflated.end());
  auto document =
      Inflate(packed, kMaxConfigBytes, [&] { asio::post(runtime_.io, yield); });
  if (!document)
    return false;
  const catalog_item item{catalog_item_kind::kConfig,
                          "",
                          {ReadCount(response, "config_era"),
                           ReadCount(response, "config_revision")},
                          std::move(document)};
  MergeReportedEvacuations(response, peer);
  ApplyConfigs({{item}, item.position}, "peer", yield);
  // What is passed on to further peers needs no second compression.
  if (config_ && config_document_ == *item.document)
    packed_ = {config_->version(), std::move(packed)};
  return true;
}

bool catalog_service::ApplyPulled(const nlohmann::json& response,
                                  const std::string& peer,
                                  asio::yield_context yield) {
  const auto revision = response.find("revision");
  const auto config = response.find("config");
  const auto config_revision = response.find("config_revision");
  const auto upstreams = response.find("upstreams");
  if (revision == response.end() || !revision->is_number_integer() ||
      config == response.end() || !config->is_string() ||
      config_revision == response.end() ||
      !config_revision->is_number_integer() || upstreams == response.end() ||
      !upstreams->is_array())
    return false;
  catalog_batch batch;
  batch.position = {ReadCount(response, "era"), revision->get<std::int64_t>()};
  if (!config->get_ref<const std::string&>().empty())
    batch.items.push_back({catalog_item_kind::kConfig,
                           "",
                           {ReadCount(response, "config_era"),
                            config_revision->get<std::int64_t>()},
                           config->get<std::string>()});
  for (const auto& item : *upstreams) {
    // Reject the whole list: applying only part of it would remove the other
    // upstreams.
    if (!item.is_array() || item.size() < 3 || !item[0].is_string() ||
        !item[1].is_string() || !item[2].is_number_integer())
      return false;
    batch.items.push_back({catalog_item_kind::kUpstream,
                           item[0].get<std::string>(),
                           {batch.position.era, item[2].get<std::int64_t>()},
                           item[1].get<std::string>()});
  }
  upstreams_pacer_.RecordCaughtUp();
  MergeReportedEvacuations(response, peer);
  ApplySnapshot(batch, "peer", yield);
  return true;
}

void catalog_service::MergeReportedEvacuations(const nlohmann::json& response,
                                               const std::string& peer) {
  // Instances of a release without evacuations do not report any.
  const auto evacuations = response.find("evacuations");
  if (evacuations != response.end() && evacuations->is_array())
    MergeEvacuations(ReadEvacuationReports(*evacuations), peer);
}

}  // namespace cactusward
