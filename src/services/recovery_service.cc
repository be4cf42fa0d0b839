#include "src/services/recovery_service.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "cactusward/upstreams.h"
#include "src/kernel/log.h"
#include "src/services/config_service.h"
#include "src/services/membership_service.h"

namespace cactusward {
namespace {

// Crashes blamed on a request after which it is refused.
constexpr std::size_t kRefusalThreshold = 2;
constexpr milliseconds kDefaultSuspectPeriod{600'000};
constexpr double kDefaultRetryRatio = 0.1;
constexpr double kRetryReserve = 32;
constexpr milliseconds kExpiryPeriod{5'000};
// How long a retry of a suspected request waits for peers' crash reports. Equal
// to kBrokenProbeTimeout in upstream_directory.cc.
constexpr milliseconds kPeerReportWait{300};

constexpr std::size_t kMaxLoggedParts = 128;

std::string Hex(std::uint64_t value) {
  return absl::StrCat(absl::Hex(value));
}

nlohmann::json DescribeRequests(const std::vector<running_request>& requests) {
  auto described = nlohmann::json::array();
  for (const running_request& request : requests) {
    auto parts = nlohmann::json::array();
    const std::size_t count =
        std::min(request.shared_parts.size(), kMaxLoggedParts);
    for (std::size_t i = 0; i < count; ++i)
      parts.push_back(Hex(request.shared_parts[i]));
    described.push_back({{"fingerprint", Hex(request.fingerprint)},
                         {"first_token_seen", request.first_token_seen},
                         {"parts", request.shared_parts.size()},
                         {"shared_parts", std::move(parts)}});
  }
  return described;
}

}  // namespace

recovery_service::recovery_service(runtime& runtime)
    : runtime_(runtime),
      suspects_(kRefusalThreshold, kDefaultSuspectPeriod),
      budget_(kDefaultRetryRatio, kRetryReserve) {}

void recovery_service::Start() {
  membership_ =
      runtime_.registry.Find<membership_service>(kMembershipServiceName);
  auto* config = runtime_.registry.Find<config_service>(kConfigServiceName);
  if (config)
    config->tracker().Subscribe([this](const active_config& active) {
      suspects_.SetPeriod(active.config.recovery.suspect_period);
      budget_.SetRatio(active.config.recovery.retry_ratio);
    });
  expiry_timer_ = runtime_.timers.Every(
      kExpiryPeriod, [this](time_point now) { suspects_.Expire(now); });
}

suspect_verdict recovery_service::VerdictFor(std::uint64_t fingerprint) const {
  return suspects_.VerdictFor(fingerprint, clock::now());
}

suspect_verdict recovery_service::VerdictAfterPeerReports(
    std::uint64_t fingerprint,
    asio::yield_context yield) {
  if (VerdictFor(fingerprint) != suspect_verdict::kAllow)
    Sleep(runtime_.io, kPeerReportWait, yield);
  return VerdictFor(fingerprint);
}

void recovery_service::RecordCrash(
    const std::string& address,
    const std::vector<running_request>& in_flight) {
  const auto reports =
      suspects_.RecordCrash(UpstreamKey(address), in_flight, clock::now());
  Log(log_level::kWarning, "upstream_died",
      {{"upstream", address},
       {"in_flight", DescribeRequests(in_flight)},
       {"blamed", reports.size()}});
  if (membership_)
    membership_->PushSuspects(reports);
}

bool recovery_service::MergeReport(const suspect_report& report) {
  return suspects_.MergeReport(report, clock::now());
}

void recovery_service::RecordCompletion(std::uint64_t fingerprint) {
  suspects_.RecordCompletion(fingerprint);
}

}  // namespace cactusward
