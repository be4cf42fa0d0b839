// Parsing and validation of configuration documents, and the adoption of
// revisions.
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cactusward/config_tracker.h"
#include "cactusward/hash.h"

namespace cactusward {
namespace {

using nlohmann::json;

json ValidDocument() {
  return json::parse(R"({
    "defaults": {"classes": [
      {"name": "short", "max_prompt_tokens": 4096},
      {"name": "long", "max_prompt_tokens": 1000000, "long": true}]},
    "organisations": [{"name": "svaz", "key_sha256": ")" +
                     Sha256Hex("k") + R"("}],
    "services": [
      {"name": "poradna", "model": "poradna"},
      {"name": "objednavky", "kind": "plain",
       "calls": [{"name": "book", "repeatable": false}]}],
    "objectives": [{"class": "short", "target": 0.95}],
    "exceptions": [{"reason": "larger contract since May",
                    "match": {"organisation": "svaz"},
                    "set": {"max_concurrent": 7}}]})");
}

config_revision RevisionOf(std::int64_t number, const json& document) {
  config_revision revision;
  revision.number = number;
  revision.document = document.dump();
  revision.digest = Sha256Hex(revision.document);
  return revision;
}

TEST_CASE("a valid document is parsed with its exceptions applied") {
  const auto config = ParseFleetConfig(ValidDocument().dump());
  REQUIRE(config);
  CHECK(config->organisations[0].limits.max_concurrent == 7);
  CHECK(config->exceptions[0].reason == "larger contract since May");
  CHECK(config->ClassOf(4096) == 0);
  CHECK(config->ClassOf(4097) == 1);
  CHECK(config->ClassOf(5'000'000) == 1);
  CHECK_FALSE(FindCall(config->services[1], "book")->repeatable);
  CHECK(*config == *ParseFleetConfig(ValidDocument().dump()));
}

TEST_CASE("an invalid document is rejected with the path of the field") {
  struct row {
    const char* pointer;
    json value;
    const char* expected;
  };
  const row rows[] = {
      {"/surprise", 1, "surprise: found an unknown field"},
      {"/defaults/classes", json::array(), "defaults.classes: found no class"},
      {"/defaults/classes/0/max_prompt_tokens", -1,
       "defaults.classes[0].max_prompt_tokens: found -1"},
      {"/defaults/classes/1/max_prompt_tokens", 10,
       "defaults.classes[1].max_prompt_tokens"},
      {"/defaults/routing", {{"policy", "best"}}, "defaults.routing.policy"},
      {"/defaults/routing", {{"long_share", 2}}, "defaults.routing.long_share"},
      {"/defaults/recovery",
       {{"claim_retention_ms", 1000}},
       "recovery.claim_retention_ms"},
      {"/defaults/limits",
       {{"max_body_bytes", "big"}},
       "defaults.limits.max_body_bytes: found \"big\""},
      {"/organisations/0/key_sha256", "abc", "organisations[0].key_sha256"},
      {"/services/1/calls/0/repeatable", "no",
       "services[1].calls[0].repeatable"},
      {"/services/1/name", "poradna", "services: found \"poradna\" twice"},
      {"/objectives/0/class", "tiny", "objectives: found class \"tiny\""},
      {"/exceptions/0/reason", "", "exceptions[0].reason"},
      {"/exceptions/0/reason", "short", "exceptions[0].reason"},
      {"/exceptions/0/match",
       {{"organisation", "nobody"}},
       "exceptions[0].match.organisation: found nobody"},
      {"/exceptions/0/match", json::object(), "exceptions[0].match"},
      {"/exceptions/0/set", {{"colour", 1}}, "exceptions[0].set.colour"},
  };
  for (const row& row : rows) {
    json document = ValidDocument();
    document[json::json_pointer(row.pointer)] = row.value;
    const auto config = ParseFleetConfig(document.dump());
    INFO(row.pointer);
    REQUIRE_FALSE(config);
    CHECK(config.kind() == error_kind::kConfigInvalid);
    CHECK_THAT(config.detail(), Catch::Contains(row.expected));
  }
}

TEST_CASE("documents that are not JSON objects are rejected") {
  const std::string text =
      GENERATE("", "{", "[]", "null", "\"\\xff\"", "1e999");
  CHECK_FALSE(ParseFleetConfig(text));
}

TEST_CASE("the tracker adopts newer revisions and never reverts") {
  config_tracker tracker;
  int adopted = 0;
  tracker.Subscribe([&adopted](const active_config&) { ++adopted; });
  json changed = ValidDocument();
  changed["defaults"]["limits"] = {{"max_output_tokens", 5}};
  const std::string first = EncodeRevision(RevisionOf(1, ValidDocument()));
  const std::string third = EncodeRevision(RevisionOf(3, changed));
  CHECK(tracker.Offer(first) == offer_outcome::kAdopted);
  const auto in_use = tracker.Current();
  CHECK(tracker.Offer(third) == offer_outcome::kAdopted);
  CHECK(tracker.Offer(third) == offer_outcome::kAlreadyKnown);
  CHECK(tracker.Offer(first) == offer_outcome::kStale);
  CHECK(tracker.Number() == 3);
  CHECK(adopted == 2);
  CHECK(in_use->revision.number == 1);
}

TEST_CASE("the tracker rejects invalid revisions") {
  config_tracker tracker;
  config_revision tampered = RevisionOf(2, ValidDocument());
  tampered.document += " ";
  json invalid = ValidDocument();
  invalid.erase("defaults");
  const std::string offered = GENERATE_COPY(
      std::string("{}"), std::string("not json"), EncodeRevision(tampered),
      EncodeRevision(RevisionOf(0, ValidDocument())),
      EncodeRevision(RevisionOf(4, invalid)));
  CHECK(tracker.Offer(offered) == offer_outcome::kInvalid);
  CHECK(tracker.Number() == 0);
}

}  // namespace
}  // namespace cactusward
