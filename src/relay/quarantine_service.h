// Quarantines parts of prompts that crash upstreams, together with the other
// instances.
#ifndef CACTUSWARD_SRC_RELAY_QUARANTINE_SERVICE_H_
#define CACTUSWARD_SRC_RELAY_QUARANTINE_SERVICE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cactusward/part_quarantine.h"
#include "cactusward/suspects.h"
#include "src/daemon/names.h"
#include "src/daemon/runtime.h"
#include "src/services/membership_service.h"

namespace cactusward {

class recovery_service;

// Not thread-safe.
class quarantine_service : public service, public gossip_extension {
 public:
  explicit quarantine_service(runtime& runtime);

  std::string_view service_name() const override {
    return kQuarantineServiceName;
  }
  void Start() override;

  // Records that an upstream crashed with these requests in flight.
  // @return whether the crash is attributed to quarantined parts.
  bool RecordCrash(const std::string& upstream_id,
                   const std::vector<running_request>& in_flight);
  // Records that an upstream has survived the start of a response to a prompt
  // with these parts.
  void RecordSound(const std::vector<std::uint64_t>& parts);

  // Whether a request with these parts is refused now.
  // @param trial_start when BeginTrial allowed the request, if it did.
  std::optional<quarantine_refusal> Check(
      const std::vector<std::uint64_t>& parts,
      std::optional<time_point> trial_start) const;
  // Whether a request that Check refuses may be sent as a trial.
  bool BeginTrial(const std::vector<std::uint64_t>& parts);
  // Number of quarantines in force.
  std::size_t size() const { return logged_.size(); }

  void AddFields(gossip_message* message, time_point now) override;
  void OnMessage(const gossip_message& message, time_point now) override;

 private:
  struct own_crash {
    crash_report report;  // or a part of it; its age counts from `at`
    time_point at;
    int broadcasts_left = 0;
  };
  struct sound_part {
    std::uint64_t part = 0;
    int broadcasts_left = 0;
  };

  // Tells peers that a part is sound, unless one of them says so first.
  void ReportSound(std::uint64_t part);
  void DropSoundReport(std::uint64_t part);
  // Logs quarantines that have begun, changed or ended, and drops the crashes
  // attributed to them from the suspicions of single requests.
  void OnChange(std::string_view origin, time_point now);
  // Queues a report before those that were sent already.
  void QueueReport(own_crash report);
  // As many quarantines as fit in a message, in turn.
  std::vector<quarantine_report> NextQuarantines(time_point now);
  void ScheduleBroadcast(duration delay);
  void BroadcastReports();

  runtime& runtime_;
  membership_service* membership_ = nullptr;
  recovery_service* recovery_ = nullptr;
  part_quarantine quarantine_;
  // To be reported. The first ones are in the next message.
  std::deque<own_crash> own_crashes_;
  std::deque<sound_part> sound_parts_;
  std::size_t next_quarantine_ = 0;        // to be reported first
  std::vector<quarantine_report> logged_;  // as of the last OnChange
  std::unique_ptr<asio::steady_timer> broadcast_timer_;
  std::optional<time_point> broadcast_at_;
  bool is_broadcasting_ = false;
  std::unique_ptr<timer_subscription> update_timer_;
};

// The identifiers of parts, as in the log: the first ones of many. Thread-safe.
nlohmann::json DescribeParts(const std::vector<std::uint64_t>& parts);

}  // namespace cactusward

#endif  // CACTUSWARD_SRC_RELAY_QUARANTINE_SERVICE_H_
