// Tests of operators' evacuations: which state is in force at each instance
// while the key-value service, links and instances fail.
#include <array>
#include <catch2/catch.hpp>

#include "cactusward/evacuation_record.h"

namespace cactusward {
namespace {

constexpr const char* kZone = "brno";

enum class event {
  kEvacuate,  // by an operator, at the first instance that is not cut off
  kReadmit,
  kRestartAll,
  kRestartLast,
  kOutage,  // of the key-value service
  kBack,
  kCutOff,  // the last instance, from all others and the key-value service
  kReconnect,
  kSave,       // a copy of the key-value service
  kRestore,    // the copy replaces it
  kClockBack,  // the writers' wall clocks
};

// Three instances and a key-value service.
class model {
 public:
  // @return false if an operator's request is not accepted.
  bool Apply(event what) {
    const bool accepted = DoApply(what);
    ++wall_us_;
    // As many rounds as a state needs to reach all instances.
    for (int round = 0; round < 2; ++round)
      Exchange();
    return accepted;
  }
  bool IsEvacuated(std::size_t instance) const {
    return instances_[instance].Contains(kZone);
  }

 private:
  bool DoApply(event what) {
    switch (what) {
      case event::kEvacuate:
      case event::kReadmit:
        return Change(what == event::kEvacuate);
      case event::kRestartAll:
        instances_.fill(evacuation_set(duration(0)));
        return true;
      case event::kRestartLast:
        instances_.back() = evacuation_set(duration(0));
        return true;
      case event::kOutage:
      case event::kBack:
        is_down_ = what == event::kOutage;
        return true;
      case event::kCutOff:
      case event::kReconnect:
        is_cut_off_ = what == event::kCutOff;
        return true;
      case event::kSave:
        saved_ = stored_;
        return true;
      case event::kRestore:
        stored_ = saved_;
        return true;
      case event::kClockBack:
        wall_us_ -= 1'000;
        return true;
    }
    return false;
  }
  bool Change(bool evacuate) {
    if (is_down_)
      return false;
    const auto next =
        NextEvacuation(kZone, evacuate, Stored(),
                       instances_.front().ReportOf(kZone), wall_us_);
    stored_ = EncodeEvacuation(next);
    instances_.front().Merge(next, time_point());
    return true;
  }
  std::optional<evacuation_report> Stored() const {
    if (!stored_)
      return std::nullopt;
    const auto state = DecodeEvacuation(kZone, *stored_);
    REQUIRE(state);
    return *state;
  }
  // Each connected instance reads, writes back, and sends gossip.
  void Exchange() {
    const std::size_t connected = instances_.size() - (is_cut_off_ ? 1 : 0);
    for (std::size_t i = 0; i < connected; ++i) {
      evacuation_set& own = instances_[i];
      const auto stored = Stored();
      if (!is_down_ && stored)
        own.Merge(*stored, time_point());
      const auto known = own.ReportOf(kZone);
      if (!is_down_ && known && MustWriteBack(stored, *known))
        stored_ = EncodeEvacuation(*known);
      for (std::size_t j = 0; j < connected; ++j) {
        for (const evacuation_report& report : own.NewestReports(1))
          instances_[j].Merge(report, time_point());
      }
    }
  }

  std::array<evacuation_set, 3> instances_{evacuation_set(duration(0)),
                                           evacuation_set(duration(0)),
                                           evacuation_set(duration(0))};
  std::optional<std::string> stored_;
  std::optional<std::string> saved_;
  bool is_down_ = false;
  bool is_cut_off_ = false;
  std::int64_t wall_us_ = 1'000'000;
};

struct step {
  event what;
  bool first;  // whether the zone is evacuated then, at the first instance
  bool last;   // and at the last one, which may be cut off
  bool accepted = true;
};

// Guards against a state that reverts to an older one, an evacuation that a
// fault ends, and a request that is acknowledged and has no effect.
TEST_CASE("an operator's last request is in force after faults") {
  struct row {
    const char* name;
    std::vector<step> steps;
  };
  const row rows[] = {
      {"evacuate and readmit, each twice",
       {{event::kEvacuate, true, true},
        {event::kEvacuate, true, true},
        {event::kReadmit, false, false},
        {event::kReadmit, false, false},
        {event::kEvacuate, true, true}}},
      {"all instances restart",
       {{event::kEvacuate, true, true}, {event::kRestartAll, true, true}}},
      {"an instance starts during an outage",
       {{event::kEvacuate, true, true},
        {event::kOutage, true, true},
        {event::kRestartLast, true, true},
        {event::kReadmit, true, true, false},
        {event::kBack, true, true},
        {event::kReadmit, false, false}}},
      {"all instances restart during an outage",
       {{event::kEvacuate, true, true},
        {event::kOutage, true, true},
        {event::kRestartAll, false, false},
        {event::kBack, true, true}}},
      {"a partitioned instance has an older state",
       {{event::kEvacuate, true, true},
        {event::kCutOff, true, true},
        {event::kReadmit, false, true},
        {event::kReconnect, false, false}}},
      {"a partitioned instance does not know the evacuation",
       {{event::kCutOff, false, false},
        {event::kEvacuate, true, false},
        {event::kReconnect, true, true}}},
      {"the copy lacks the evacuation",
       {{event::kSave, false, false},
        {event::kEvacuate, true, true},
        {event::kRestore, true, true},
        {event::kRestartAll, true, true}}},
      {"the copy has an evacuation that was ended",
       {{event::kEvacuate, true, true},
        {event::kSave, true, true},
        {event::kReadmit, false, false},
        {event::kRestore, false, false},
        {event::kRestartAll, false, false}}},
      {"a request follows a restore that lost states which only a partitioned "
       "instance knows",
       {{event::kSave, false, false},
        {event::kEvacuate, true, true},
        {event::kReadmit, false, false},
        {event::kCutOff, false, false},
        {event::kOutage, false, false},
        {event::kRestore, false, false},
        {event::kRestartAll, false, false},
        {event::kBack, false, false},
        {event::kEvacuate, true, false},
        {event::kReconnect, true, true}}},
      {"the clock of a writer is behind",
       {{event::kEvacuate, true, true},
        {event::kClockBack, true, true},
        {event::kReadmit, false, false},
        {event::kClockBack, false, false},
        {event::kEvacuate, true, true}}},
  };
  for (const row& r : rows) {
    model fleet;
    for (std::size_t i = 0; i < r.steps.size(); ++i) {
      CAPTURE(r.name, i);
      const step& s = r.steps[i];
      CHECK(fleet.Apply(s.what) == s.accepted);
      CHECK(fleet.IsEvacuated(0) == s.first);
      CHECK(fleet.IsEvacuated(2) == s.last);
    }
  }
}

// Guards against a value of an operator or a later release that is taken for a
// state that it does not express.
TEST_CASE("only complete evacuations are read") {
  struct row {
    const char* value;
    std::optional<evacuation_report> state;
  };
  const row rows[] = {
      {R"({"number": 7, "evacuated": true})",
       evacuation_report{kZone, {0, 7}, true}},
      {R"({"number": 7, "evacuated": false, "author": "a"})",
       evacuation_report{kZone, {0, 7}, false}},
      {R"({"number": 0, "evacuated": true})", std::nullopt},
      {R"({"number": "7", "evacuated": true})", std::nullopt},
      {R"({"number": 7})", std::nullopt},
      {R"([7, true])", std::nullopt},
      {"{}", std::nullopt},
      {"", std::nullopt},
  };
  for (const row& r : rows) {
    CAPTURE(r.value);
    const auto state = DecodeEvacuation(kZone, r.value);
    REQUIRE(state.ok() == r.state.has_value());
    if (r.state)
      CHECK(*state == *r.state);
  }
  CHECK(ZoneOfKey(EvacuationKey(kZone)) == kZone);
  for (const char* zone : {"", "a/b", "a b", "a%2f"})
    CHECK_FALSE(IsZoneName(zone));
}

// Guards against an instance that counts as complying although it does not know
// the newest state, or has not responded.
TEST_CASE("instances comply with the newest state that any of them knows") {
  const evacuation_report older{kZone, {0, 7}, true};
  const evacuation_report newer{kZone, {0, 9}, false};
  using reports = std::vector<evacuation_report>;
  struct row {
    const char* name;
    instance_evacuations instances;
    zone_status status;
  };
  const row rows[] = {
      {"never evacuated",
       {{"a", reports{}}, {"b", reports{}}},
       {kZone, false, 0, 2, {}}},
      {"all know it",
       {{"a", reports{older}}, {"b", reports{older}}},
       {kZone, true, 7, 2, {}}},
      {"one has an older state, one has none",
       {{"a", reports{older}}, {"b", reports{newer}}, {"c", reports{}}},
       {kZone, false, 9, 1, {"a", "c"}}},
      {"one has not responded",
       {{"a", reports{older}}, {"b", std::nullopt}},
       {kZone, true, 7, 1, {"b"}}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    const auto statuses = MergeZoneReports(r.instances, {kZone});
    REQUIRE(statuses.size() == 1);
    CHECK(statuses.front() == r.status);
  }
}

}  // namespace
}  // namespace cactusward
