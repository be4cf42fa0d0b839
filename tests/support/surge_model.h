// Simulation of a fleet in virtual time. Instances place prompts by the loads
// that they last reported to each other. Engines work in passes: a pass
// prefills what is waiting when it begins, up to a number of tokens per step,
// and decodes one event of each other request. Parts of split prompts are
// prefilled before whole prompts.
#ifndef CACTUSWARD_TESTS_SUPPORT_SURGE_MODEL_H_
#define CACTUSWARD_TESTS_SUPPORT_SURGE_MODEL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "cactusward/admission_queue.h"
#include "cactusward/engine_placement.h"
#include "cactusward/load_tracker.h"
#include "cactusward/report_pacer.h"
#include "cactusward/upstream_ramp.h"

namespace cactusward::testing {

// Requests of one kind.
struct surge_class {
  double requests_per_second = 0;
  std::int64_t prompt_tokens = 0;  // mean
  double log_stddev = 0.8;         // standard deviation of log(tokens)
  std::int64_t max_prompt_tokens = 700'000;
  double objective_ms = 300;
  double deadline_ms = 10'000;
  double max_event_gap_ms = 250;
  int events = 32;  // per response
  int priority = 0;
  // Factors of the rate in successive phases of surge_settings::phase_seconds;
  // empty: a constant rate.
  std::vector<double> phases;
};

// Engines that are missing at first and return together, cold.
struct returning_engines {
  int engines = 0;  // number of them, spread over all engines
  double at_ms = 0;
  double warm_up_ms = 0;     // time in which they become as quick as the others
  double cold_slowdown = 1;  // factor of the time of their first pass
  bool ramp_up = true;
};

struct surge_settings {
  engine_parameters engine;
  int instances = 76;
  int engines = 78;
  double seconds = 3;
  double phase_seconds = 10;
  // Requests that arrive before are not counted.
  double counted_from_seconds = 0;
  std::vector<surge_class> classes;
  double report_period_ms = 1'000;  // between reports without a change
  // Each report reaches about this many instances, random ones.
  std::size_t reached_peers = 1'000'000;
  // After two seconds this share of the engines starts no prefill for
  // `blocked_ms`, as when unused reservations take up their KV memory.
  double blocked_share = 0;
  double blocked_ms = 0;
  double peers_known_after_ms = 0;  // no load reports arrive before
  returning_engines returning;
  // Requests wait in the queue of their instance, and callers that are refused
  // return once. nullopt: each request is tried again on its own, and refused
  // callers do not return.
  std::optional<admission_settings> admission;
  // Shares of the organisations in the requests; empty: there are none.
  std::vector<double> organisations;
};

// Outcomes of the requests of one class.
struct surge_result {
  int requests = 0;
  int refused = 0;
  int late = 0;          // by the first event
  int late_by_gap = 0;   // the first event was in time, a later one was not
  int held_in_vain = 0;  // left a queue unplaced, also if the caller returned
  int returned = 0;      // refused, and sent again
  int in_room = 0;       // placed at once when they were sent again

  // By the first event.
  int served() const { return requests - refused; }
  int in_time() const { return requests - refused - late; }
  int in_time_throughout() const { return in_time() - late_by_gap; }
};

// Requests at the engines that have returned, in their first five seconds.
struct returning_result {
  int requests = 0;
  int late = 0;
  // Time until these engines get most of their share of the requests.
  double share_after_ms = 0;
};

// Not thread-safe.
class surge_model {
 public:
  surge_model(const surge_settings& settings, std::uint64_t seed);

  // @return results of each class, in the order of the settings.
  std::vector<surge_result> Run();
  // Results of each organisation. Precondition: Run.
  const std::vector<surge_result>& organisations() const {
    return by_organisation_;
  }
  // Results of the largest tenth of the prompts of each class. Precondition:
  // Run.
  const std::vector<surge_result>& largest() const { return largest_; }
  // Number of load reports that the instances have sent. Precondition: Run.
  int reports() const { return reports_; }
  // Precondition: Run, and engines return.
  const returning_result& returned() const { return returned_; }

 private:
  struct simulated_request {
    std::size_t kind = 0;            // index of its class
    bool counted = true;             // in the results
    std::size_t instance_index = 0;  // index of the instance that received it
    double arrived_ms = 0;
    std::int64_t tokens = 0;
    std::size_t organisation = 0;
    double deadline_ms = 0;  // from `arrived_ms`
    bool returned = false;   // it was refused before
  };
  // A placed request: prefilled in parts on its engines, decoded on one.
  struct job {
    simulated_request request;
    std::size_t engine = 0;  // index of the engine that decodes
    std::vector<std::uint64_t> tracking_ids;
    int parts_left = 0;
    int events_left = 0;
    double placed_ms = 0;
    double expected_first_event_ms = 0;
    double last_event_ms = 0;
    bool late = false;
  };
  struct part {
    std::shared_ptr<job> parent;
    double remaining_ms = 0;
    double ms_per_token = 0;
    bool split = false;
    bool decodes = false;
  };
  struct engine {
    std::deque<part> prefilling;
    std::vector<std::shared_ptr<job>> decoding;
    int waiting_for_helpers = 0;  // requests with unfinished parts elsewhere
    bool in_pass = false;
    double blocked_until_ms = 0;
  };
  struct instance {
    load_tracker tracker;
    upstream_ramp ramp;
    double report_at_ms = -1;  // -1: no report is scheduled
    report_pacer pacer;
    std::optional<admission_queue> queue;
    std::map<std::uint64_t, simulated_request> waiting;  // by id in the queue
    bool dispatch_scheduled = false;
  };

  void Schedule(double ms, std::function<void()> action);
  time_point Now() const;
  double PeersKnownAt() const { return settings_.peers_known_after_ms; }
  bool IsReached();
  bool IsReturning(std::size_t engine_index) const;
  bool IsMissing(std::size_t engine_index, std::size_t instance_index) const;
  // Factor of the time that a pass takes.
  double SlowdownOf(std::size_t engine_index) const;
  void BeginRamps();
  void CountPlacement(std::size_t engine_index);
  void RecordFirstEvent(const job& done);
  void Block();
  // Draws the arrivals of a class.
  void ScheduleArrivals(std::size_t kind);
  void Arrive(std::size_t kind);
  void Count(const simulated_request& request, int surge_result::*number);
  std::vector<engine_view> Views(const simulated_request& request);
  prompt_request Prompt(const simulated_request& request) const;
  placement_settings Placement() const;
  // @return whether the request was placed.
  bool TryPlace(const simulated_request& request);
  void PlaceOrRetry(const simulated_request& request);
  // The request is placed, waits in the queue of its instance or is refused.
  void Enter(const simulated_request& request);
  void Dispatch(std::size_t instance_index);
  void ScheduleDispatch(std::size_t instance_index);
  admission_view AdmissionView(const simulated_request& request,
                               std::uint64_t id);
  void Refuse(std::uint64_t id, const simulated_request& request);
  void Place(const simulated_request& request,
             const engine_placement& placement);
  static std::int64_t DrawTokens(const surge_class& kind,
                                 std::mt19937_64& random);
  void BeginPass(std::size_t index);
  void EndPass(std::size_t index, const std::vector<part>& finished);
  // A request that decodes gets its next event.
  void RecordEvent(job* decoding);
  void EndPrefill(const std::shared_ptr<job>& done);
  void ScheduleReport(std::size_t instance_index, report_urgency urgency);
  void ScheduleReportAt(std::size_t instance_index, double at_ms);
  void Report(std::size_t instance_index);

  surge_settings settings_;
  std::mt19937_64 random_;
  std::mt19937_64 arrival_random_;
  double now_ms_ = 0;
  double last_arrival_ms_ = 0;
  int reports_ = 0;
  std::multimap<double, std::function<void()>> actions_;
  std::vector<engine> engines_;
  std::vector<instance> instances_;
  std::vector<surge_result> results_;
  std::vector<surge_result> by_organisation_;
  std::vector<surge_result> largest_;
  returning_result returned_;
  // Since the engines returned: when requests were placed, and whether at one
  // of these engines.
  std::deque<std::pair<double, bool>> recent_placements_;
};

}  // namespace cactusward::testing

#endif  // CACTUSWARD_TESTS_SUPPORT_SURGE_MODEL_H_
