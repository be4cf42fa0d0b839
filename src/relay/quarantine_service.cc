#include "src/relay/quarantine_service.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "cactusward/upstreams.h"
#include "src/kernel/log.h"
#include "src/services/recovery_service.h"

namespace cactusward {
namespace {

constexpr milliseconds kUpdatePeriod{250};
// Crashes that several requests notice are reported together.
constexpr milliseconds kCrashReportDelay{5};
// Reports are repeated in case datagrams are lost.
constexpr int kBroadcasts = 3;
constexpr milliseconds kRepeatDelay{400};
// Soundness is urgent only where a quarantine is wrong. The first instance to
// report it, after a random time, saves the others the report.
constexpr milliseconds kSoundReportDelay{50};
constexpr milliseconds kSoundReportDelayPerPeer{4};
// An upstream that crashes again was up for longer in between.
constexpr milliseconds kSameCrashPeriod{5'000};
// Limits that keep a message within one datagram.
constexpr std::size_t kMaxCrashesPerMessage = 8;
constexpr std::size_t kMaxPartsPerReport = kMaxGossipListItems;
constexpr std::size_t kMaxSoundPartsPerMessage = 256;
constexpr std::size_t kMaxQuarantinedPartsPerMessage = 1'024;
// Limits of what is reported of one crash.
constexpr std::size_t kMaxSuspectsPerCrash = 16;
constexpr std::size_t kMaxPartsPerCrash = 16'384;
// Reports that wait to be sent, or to be repeated.
constexpr std::size_t kMaxQueuedReports = 64;
constexpr std::size_t kMaxQueuedSoundParts = 4'096;
constexpr std::size_t kMaxLoggedParts = 128;

// Counts a broadcast of the first `count` reports, and moves those that are to
// be repeated behind the others.
template <typename report>
void CountBroadcast(std::size_t count, std::deque<report>* reports) {
  count = std::min(count, reports->size());
  for (std::size_t i = 0; i < count; ++i) {
    report sent = std::move(reports->front());
    reports->pop_front();
    if (--sent.broadcasts_left > 0)
      reports->push_back(std::move(sent));
  }
}

template <typename report>
bool HasUnsent(const std::deque<report>& reports) {
  return !reports.empty() && reports.front().broadcasts_left == kBroadcasts;
}

const quarantine_report* FindSame(const std::vector<quarantine_report>& all,
                                  const quarantine_report& wanted) {
  const auto found = std::find_if(all.begin(), all.end(),
                                  [&wanted](const quarantine_report& other) {
                                    return other.parts == wanted.parts;
                                  });
  return found == all.end() ? nullptr : &*found;
}

}  // namespace

nlohmann::json DescribeParts(const std::vector<std::uint64_t>& parts) {
  auto described = nlohmann::json::array();
  for (std::size_t i = 0; i < std::min(parts.size(), kMaxLoggedParts); ++i)
    described.push_back(absl::StrCat(absl::Hex(parts[i])));
  return described;
}

quarantine_service::quarantine_service(runtime& runtime)
    : runtime_(runtime), quarantine_(runtime.random()) {}

void quarantine_service::Start() {
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  recovery_ = runtime_.registry.Find<recovery_service>(kRecoveryServiceName);
  broadcast_timer_ = std::make_unique<asio::steady_timer>(runtime_.io);
  update_timer_ = runtime_.timers.Every(kUpdatePeriod, [this](time_point now) {
    quarantine_.SetInstanceCount(membership_->LiveCount());
    quarantine_.Update(now);
    OnChange("own", now);
  });
}

bool quarantine_service::RecordCrash(
    const std::string& upstream_id,
    const std::vector<running_request>& in_flight) {
  const time_point now = clock::now();
  crash_report report;
  report.upstream = UpstreamKey(upstream_id);
  std::size_t room = kMaxPartsPerCrash;
  for (const running_request& request : in_flight) {
    if (request.survived_start || request.shared_parts.empty() ||
        request.shared_parts.size() > room ||
        report.suspects.size() >= kMaxSuspectsPerCrash)
      continue;
    report.suspects.push_back({request.fingerprint, request.shared_parts});
    room -= request.shared_parts.size();
  }
  if (quarantine_.MergeCrash(report, now)) {
    for (crash_report& piece : SplitCrashReport(report, kMaxPartsPerReport))
      QueueReport({std::move(piece), now, kBroadcasts});
    OnChange("own", now);
    ScheduleBroadcast(kCrashReportDelay);
  }
  const auto attributed = quarantine_.AttributedCrashes();
  const bool is_attributed = std::any_of(
      attributed.begin(), attributed.end(), [&report, now](const auto& crash) {
        return crash.upstream == report.upstream &&
               now - crash.at < kSameCrashPeriod;
      });
  if (is_attributed)
    Log(log_level::kWarning, "crash_attributed_to_parts",
        {{"upstream", upstream_id},
         {"in_flight", in_flight.size()},
         {"suspects", report.suspects.size()}});
  return is_attributed;
}

void quarantine_service::QueueReport(own_crash report) {
  const auto sent = std::find_if(own_crashes_.begin(), own_crashes_.end(),
                                 [](const own_crash& other) {
                                   return other.broadcasts_left < kBroadcasts;
                                 });
  own_crashes_.insert(sent, std::move(report));
  if (own_crashes_.size() > kMaxQueuedReports)
    own_crashes_.pop_back();
}

void quarantine_service::RecordSound(const std::vector<std::uint64_t>& parts) {
  const time_point now = clock::now();
  const auto unknown_to_peers = quarantine_.RecordSound(parts, now);
  if (unknown_to_peers.empty())
    return;
  for (const std::uint64_t part : unknown_to_peers)
    ReportSound(part);
  OnChange("own", now);
}

void quarantine_service::ReportSound(std::uint64_t part) {
  DropSoundReport(part);
  sound_parts_.push_front({part, kBroadcasts});
  if (sound_parts_.size() > kMaxQueuedSoundParts)
    sound_parts_.pop_back();
  const auto most =
      kSoundReportDelay +
      kSoundReportDelayPerPeer * static_cast<int>(membership_->LiveCount());
  std::uniform_int_distribution<milliseconds::rep> delay(
      kSoundReportDelay.count(), most.count());
  ScheduleBroadcast(milliseconds(delay(runtime_.random)));
}

void quarantine_service::DropSoundReport(std::uint64_t part) {
  sound_parts_.erase(std::remove_if(sound_parts_.begin(), sound_parts_.end(),
                                    [part](const sound_part& known) {
                                      return known.part == part;
                                    }),
                     sound_parts_.end());
}

std::optional<quarantine_refusal> quarantine_service::Check(
    const std::vector<std::uint64_t>& parts,
    std::optional<time_point> trial_start) const {
  if (parts.empty())
    return std::nullopt;
  return quarantine_.Check(parts, trial_start, clock::now());
}

bool quarantine_service::BeginTrial(const std::vector<std::uint64_t>& parts) {
  if (!quarantine_.BeginTrial(parts, clock::now()))
    return false;
  Log(log_level::kWarning, "quarantine_trial",
      {{"parts", DescribeParts(parts)}});
  return true;
}

void quarantine_service::OnChange(std::string_view origin, time_point now) {
  auto current = quarantine_.Quarantines(now);
  for (std::size_t i = 0; i < current.size(); ++i) {
    const quarantine_report& report = current[i];
    const quarantine_report* known = FindSame(logged_, report);
    // A few lines for each quarantine, however many crashes it has.
    if (known && report.crashes < 2 * known->crashes) {
      current[i].crashes = known->crashes;
      continue;
    }
    Log(log_level::kWarning, "parts_quarantined",
        {{"parts", DescribeParts(report.parts)},
         {"crashes", report.crashes},
         {"first_crash_age_ms", report.first_crash_age_ms},
         {"last_crash_age_ms", report.last_crash_age_ms},
         {"origin", origin}});
  }
  for (const quarantine_report& report : logged_) {
    if (FindSame(current, report))
      continue;
    auto sound_ages = nlohmann::json::array();
    for (const std::uint64_t part : report.parts) {
      const auto sound_at = quarantine_.SoundAt(part);
      sound_ages.push_back(sound_at ? ToMilliseconds(now - *sound_at) : -1);
    }
    Log(log_level::kWarning, "quarantine_ended",
        {{"parts", DescribeParts(report.parts)},
         {"sound_ages_ms", std::move(sound_ages)},
         {"origin", origin}});
  }
  logged_ = std::move(current);
  for (const auto& crash : quarantine_.AttributedCrashes())
    recovery_->RemoveCrash(crash.upstream, crash.at);
}

void quarantine_service::ScheduleBroadcast(duration delay) {
  const time_point at = clock::now() + delay;
  if (broadcast_at_ && *broadcast_at_ <= at)
    return;
  broadcast_at_ = at;
  broadcast_timer_->expires_at(at);
  broadcast_timer_->async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    broadcast_at_.reset();
    BroadcastReports();
  });
}

void quarantine_service::BroadcastReports() {
  if (own_crashes_.empty() && sound_parts_.empty())
    return;
  is_broadcasting_ = true;
  membership_->Broadcast();
  is_broadcasting_ = false;
  CountBroadcast(kMaxCrashesPerMessage, &own_crashes_);
  CountBroadcast(kMaxSoundPartsPerMessage, &sound_parts_);
  if (HasUnsent(own_crashes_) || HasUnsent(sound_parts_))
    ScheduleBroadcast(kCrashReportDelay);
  else if (!own_crashes_.empty() || !sound_parts_.empty())
    ScheduleBroadcast(kRepeatDelay);
}

std::vector<quarantine_report> quarantine_service::NextQuarantines(
    time_point now) {
  const auto all = quarantine_.Quarantines(now);
  std::vector<quarantine_report> next;
  std::size_t room = kMaxQuarantinedPartsPerMessage;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const quarantine_report& report = all[(next_quarantine_ + i) % all.size()];
    // Peers leave out longer lists; they come to it by the reported crashes.
    if (report.parts.size() > kMaxGossipListItems)
      continue;
    if (report.parts.size() > room) {
      next_quarantine_ = (next_quarantine_ + i) % all.size();
      break;
    }
    room -= report.parts.size();
    next.push_back(report);
  }
  return next;
}

void quarantine_service::AddFields(gossip_message* message, time_point now) {
  message->quarantines = NextQuarantines(now);
  if (!is_broadcasting_)
    return;
  const std::size_t crashes =
      std::min(own_crashes_.size(), kMaxCrashesPerMessage);
  for (std::size_t i = 0; i < crashes; ++i) {
    const own_crash& crash = own_crashes_[i];
    message->crashes.push_back(crash.report);
    message->crashes.back().age_ms =
        std::chrono::duration_cast<milliseconds>(now - crash.at).count();
  }
  const std::size_t sound_parts =
      std::min(sound_parts_.size(), kMaxSoundPartsPerMessage);
  for (std::size_t i = 0; i < sound_parts; ++i) {
    const sound_part& reported = sound_parts_[i];
    const auto sound_at = quarantine_.SoundAt(reported.part);
    if (sound_at)
      message->sound_parts.push_back(
          {reported.part,
           std::chrono::duration_cast<milliseconds>(now - *sound_at).count()});
  }
}

void quarantine_service::OnMessage(const gossip_message& message,
                                   time_point now) {
  bool changed = false;
  for (const sound_part_report& report : message.sound_parts) {
    if (report.age_ms < 0)
      continue;
    quarantine_.RecordSound({report.part}, now - milliseconds(report.age_ms));
    DropSoundReport(report.part);
    changed = true;
  }
  for (const crash_report& report : message.crashes)
    changed = quarantine_.MergeCrash(report, now) || changed;
  for (const quarantine_report& report : message.quarantines) {
    changed = quarantine_.MergeQuarantine(report, now) || changed;
    // The sender has not learnt that one of the parts is sound.
    for (const std::uint64_t part : report.parts) {
      const auto sound_at = quarantine_.SoundAt(part);
      const bool reported = std::any_of(
          sound_parts_.begin(), sound_parts_.end(),
          [part](const sound_part& known) { return known.part == part; });
      if (sound_at && !reported &&
          *sound_at > now - milliseconds(report.first_crash_age_ms))
        ReportSound(part);
    }
  }
  if (changed)
    OnChange(message.sender.name, now);
}

}  // namespace cactusward
