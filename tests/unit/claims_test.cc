// Claims with a key-value store whose requests and responses can be lost, and
// that may come back from an older copy.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "cactusward/claim_bucket.h"

namespace cactusward {
namespace {

namespace asio = boost::asio;

class fake_store : public key_value_store {
 public:
  int dropped_requests = 0;   // next writes that do not take effect
  int dropped_responses = 0;  // next writes that take effect without a response
  int writes = 0;

  result<std::optional<stored_value>> Get(const std::string& key,
                                          time_point,
                                          asio::yield_context) override {
    const auto it = values_.find(key);
    if (it == values_.end())
      return std::optional<stored_value>();
    return std::optional<stored_value>(it->second);
  }
  result<std::vector<stored_value>> List(const std::string& prefix,
                                         time_point,
                                         asio::yield_context) override {
    std::vector<stored_value> values;
    for (const auto& [key, value] : values_) {
      if (key.compare(0, prefix.size(), prefix) == 0)
        values.push_back(value);
    }
    return values;
  }
  result<swap_outcome> CompareAndSwap(
      const std::string& key,
      const std::optional<stored_value>& expected,
      const std::vector<key_write>& batch,
      time_point,
      asio::yield_context) override {
    if (dropped_requests > 0) {
      --dropped_requests;
      return {error_kind::kStoreUnavailable, ""};
    }
    for (const key_write& write : batch) {
      if (write.lease != 0 && leases_.count(write.lease) == 0)
        return {error_kind::kStoreUnavailable, "requested lease not found"};
    }
    swap_outcome outcome;
    const auto it = values_.find(key);
    outcome.applied =
        it == values_.end() ? !expected : expected && *expected == it->second;
    if (outcome.applied)
      outcome.mod_revision = ++revision_;
    if (outcome.applied) {
      ++writes;
      for (const key_write& write : batch) {
        if (write.value)
          values_[write.key] = {write.key, *write.value, revision_};
        else
          values_.erase(write.key);
      }
    } else if (it != values_.end()) {
      outcome.current = it->second;
    }
    if (dropped_responses > 0) {
      --dropped_responses;
      return {error_kind::kStoreUnavailable, ""};
    }
    return outcome;
  }
  result<std::int64_t> GrantLease(milliseconds,
                                  time_point,
                                  asio::yield_context) override {
    leases_.insert(++last_lease_);
    return last_lease_;
  }
  std::error_code Watch(const std::string&,
                        std::int64_t,
                        const change_handler&,
                        asio::yield_context) override {
    return error_kind::kStoreUnavailable;
  }
  std::error_code WatchPrefix(const std::string&,
                              std::int64_t,
                              const change_handler&,
                              asio::yield_context) override {
    return error_kind::kStoreUnavailable;
  }

  // Keeps a copy for Restore.
  void Save() { saved_ = {values_, leases_, revision_}; }
  // Forgets everything written since Save. Leases have new ids after it.
  void Restore() {
    values_ = saved_.values;
    leases_ = saved_.leases;
    revision_ = saved_.revision;
  }

 private:
  struct copy {
    std::map<std::string, stored_value> values;
    std::set<std::int64_t> leases;
    std::int64_t revision = 0;
  };
  std::map<std::string, stored_value> values_;
  std::set<std::int64_t> leases_;
  std::int64_t last_lease_ = 0;
  std::int64_t revision_ = 0;
  copy saved_;
};

void RunInCoroutine(const std::function<void(asio::yield_context)>& body) {
  asio::io_context io;
  bool ended = false;
  asio::spawn(io, [&](asio::yield_context yield) {
    body(yield);
    ended = true;
  });
  io.run();
  REQUIRE(ended);
}

claim_record MakeRecord(const std::string& nonce) {
  claim_record record;
  record.nonce = nonce;
  record.instance = "i/1";
  record.fingerprint = "f";
  return record;
}

TEST_CASE("exactly one claimant wins when requests or responses are lost") {
  const int before = GENERATE(0, 1, 2);
  const int after = GENERATE(0, 1, 2);
  fake_store store;
  direct_claim_store claims(&store, std::chrono::hours(1));
  RunInCoroutine([&](asio::yield_context yield) {
    store.dropped_requests = before;
    store.dropped_responses = after;
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    const auto first_claim =
        claims.Claim("k", MakeRecord("one"), deadline, yield);
    REQUIRE(first_claim);
    CHECK(first_claim->nonce == "one");
    const auto second_claim =
        claims.Claim("k", MakeRecord("two"), deadline, yield);
    REQUIRE(second_claim);
    CHECK(second_claim->nonce == "one");
    CHECK(store.writes == 1);
  });
}

TEST_CASE("only the claimant can complete or release its claim") {
  fake_store store;
  direct_claim_store claims(&store, std::chrono::hours(1));
  RunInCoroutine([&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    claims.Claim("k", MakeRecord("one"), deadline, yield);
    claim_record done = MakeRecord("two");
    done.state = claim_state::kDone;
    CHECK(*claims.Complete("k", done, deadline, yield) == false);
    CHECK(*claims.Release("k", "two", deadline, yield));
    done.nonce = "one";
    done.body = std::string("\x00\xff", 2);
    CHECK(*claims.Complete("k", done, deadline, yield));
    CHECK(*claims.Complete("k", done, deadline, yield));
    // A completed claim cannot be released.
    claims.Release("k", "one", deadline, yield);
    const auto found = claims.Claim("k", MakeRecord("three"), deadline, yield);
    REQUIRE(found);
    CHECK(*found == done);
  });
}

TEST_CASE("a released key can be claimed again") {
  fake_store store;
  direct_claim_store claims(&store, std::chrono::hours(1));
  RunInCoroutine([&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    claims.Claim("k", MakeRecord("one"), deadline, yield);
    CHECK(*claims.Release("k", "one", deadline, yield));
    CHECK(claims.Claim("k", MakeRecord("two"), deadline, yield)->nonce ==
          "two");
  });
}

claim_bucket_settings ShortIntervals() {
  claim_bucket_settings settings;
  settings.write_interval = milliseconds(1);
  settings.linger = milliseconds(1);
  return settings;
}

TEST_CASE("a bucket batches claims of many callers into few writes") {
  fake_store store;
  asio::io_context io;
  claim_bucket bucket(io, &store, "b", "w", ShortIntervals());
  int granted = 0;
  constexpr int kCallers = 200;
  for (int i = 0; i < kCallers; ++i) {
    asio::spawn(io, [&, i](asio::yield_context yield) {
      // Two callers claim each key.
      const std::string nonce = "n" + std::to_string(i);
      const auto held =
          bucket.Claim("k" + std::to_string(i / 2), MakeRecord(nonce),
                       clock::now() + std::chrono::seconds(30), yield);
      REQUIRE(held);
      granted += held->nonce == nonce ? 1 : 0;
    });
  }
  io.run();
  CHECK(granted == kCallers / 2);
  CHECK(bucket.writes() < kCallers / 10);
}

TEST_CASE("two owners of one bucket never both grant a key") {
  const int before = GENERATE(0, 1);
  const int after = GENERATE(0, 1);
  fake_store store;
  asio::io_context io;
  claim_bucket owner1(io, &store, "b", "w1", ShortIntervals());
  claim_bucket owner2(io, &store, "b", "w2", ShortIntervals());
  store.dropped_requests = before;
  store.dropped_responses = after;
  std::map<std::string, int> winners;
  for (int i = 0; i < 120; ++i) {
    asio::spawn(io, [&, i](asio::yield_context yield) {
      const std::string key = "k" + std::to_string(i / 3);
      const std::string nonce = "n" + std::to_string(i);
      claim_bucket& owner = i % 2 == 0 ? owner1 : owner2;
      const auto held =
          owner.Claim(key, MakeRecord(nonce),
                      clock::now() + std::chrono::seconds(30), yield);
      REQUIRE(held);
      winners[key] += held->nonce == nonce ? 1 : 0;
    });
  }
  io.run();
  CHECK(winners.size() == 40);
  for (const auto& [key, count] : winners) {
    INFO(key);
    CHECK(count == 1);
  }
}

TEST_CASE("a bucket stores outcomes and frees released keys") {
  fake_store store;
  asio::io_context io;
  claim_bucket first(io, &store, "b", "w1", ShortIntervals());
  claim_bucket successor(io, &store, "b", "w2", ShortIntervals());
  asio::spawn(io, [&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    first.Claim("done", MakeRecord("one"), deadline, yield);
    first.Claim("freed", MakeRecord("one"), deadline, yield);
    claim_record done = MakeRecord("one");
    done.state = claim_state::kDone;
    done.body = "answer";
    CHECK(*first.Complete("done", done, deadline, yield));
    claim_record other_claimant = done;
    other_claimant.nonce = "two";
    CHECK_FALSE(*first.Complete("done", other_claimant, deadline, yield));
    CHECK(*first.Release("freed", "two", deadline, yield));
    CHECK(first.Claim("freed", MakeRecord("two"), deadline, yield)->nonce ==
          "one");
    CHECK(*first.Release("freed", "one", deadline, yield));
    CHECK(*successor.Claim("done", MakeRecord("three"), deadline, yield) ==
          done);
    CHECK(
        successor.Claim("freed", MakeRecord("three"), deadline, yield)->nonce ==
        "three");
  });
  io.run();
}

// Guards against a key being granted twice because a restored store gave the
// revision of an owner's last write to another owner's write.
TEST_CASE("a revision that was given out again does not confirm a bucket") {
  fake_store store;
  asio::io_context io;
  claim_bucket owner1(io, &store, "b", "w1", ShortIntervals());
  claim_bucket owner2(io, &store, "b", "w2", ShortIntervals());
  asio::spawn(io, [&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    owner1.Claim("first", MakeRecord("one"), deadline, yield);
    store.Save();
    owner1.Claim("second", MakeRecord("one"), deadline, yield);
    store.Restore();
    CHECK(owner2.Claim("k", MakeRecord("two"), deadline, yield)->nonce ==
          "two");
    CHECK(owner1.Claim("k", MakeRecord("one"), deadline, yield)->nonce ==
          "two");
  });
  io.run();
}

// Guards against a key being granted twice after the store forgot its claim,
// although the owner that wrote it lives.
TEST_CASE("an owner keeps and restores the claims that the store forgot") {
  const bool another_owner_wrote = GENERATE(false, true);
  fake_store store;
  asio::io_context io;
  claim_bucket owner(io, &store, "b", "w1", ShortIntervals());
  claim_bucket other(io, &store, "b", "w2", ShortIntervals());
  claim_bucket successor(io, &store, "b", "w3", ShortIntervals());
  asio::spawn(io, [&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    owner.Claim("before", MakeRecord("one"), deadline, yield);
    store.Save();
    claim_record done = MakeRecord("one");
    done.state = claim_state::kDone;
    done.body = "answer";
    owner.Claim("running", MakeRecord("one"), deadline, yield);
    owner.Claim("done", MakeRecord("one"), deadline, yield);
    owner.Claim("released", MakeRecord("one"), deadline, yield);
    owner.Complete("done", done, deadline, yield);
    owner.Complete("before", done, deadline, yield);
    owner.Release("released", "one", deadline, yield);
    store.Restore();
    if (another_owner_wrote)
      other.Claim("unrelated", MakeRecord("two"), deadline, yield);
    owner.Claim("next", MakeRecord("one"), deadline, yield);
    for (claim_bucket* bucket : {&owner, &successor}) {
      for (const char* key : {"done", "before"})
        CHECK(*bucket->Claim(key, MakeRecord("three"), deadline, yield) ==
              done);
      CHECK(bucket->Claim("running", MakeRecord("three"), deadline, yield)
                ->nonce == "one");
    }
    CHECK(successor.Claim("released", MakeRecord("three"), deadline, yield)
              ->nonce == "three");
  });
  io.run();
}

// Guards against finished work being run again because the store forgot its
// claim before its outcome was stored.
TEST_CASE("the outcome of a claim that the store forgot is stored") {
  fake_store store;
  asio::io_context io;
  claim_bucket bucket(io, &store, "b", "w1", ShortIntervals());
  claim_bucket successor(io, &store, "b", "w2", ShortIntervals());
  direct_claim_store direct(&store, std::chrono::hours(1));
  asio::spawn(io, [&](asio::yield_context yield) {
    const time_point deadline = clock::now() + std::chrono::seconds(30);
    store.Save();
    bucket.Claim("k", MakeRecord("one"), deadline, yield);
    direct.Claim("k", MakeRecord("one"), deadline, yield);
    store.Restore();
    claim_record done = MakeRecord("one");
    done.state = claim_state::kDone;
    CHECK(*successor.Complete("k", done, deadline, yield));
    CHECK(*successor.Claim("k", MakeRecord("two"), deadline, yield) == done);
    // The first attempt finds that the lease is gone.
    auto stored = direct.Complete("k", done, deadline, yield);
    if (!stored)
      stored = direct.Complete("k", done, deadline, yield);
    REQUIRE(stored);
    CHECK(*stored);
    CHECK(*direct.Claim("k", MakeRecord("two"), deadline, yield) == done);
  });
  io.run();
}

// Guards against claims being refused for minutes because the store forgot the
// lease that they share.
TEST_CASE("claims go on when the store forgot their lease") {
  fake_store store;
  asio::io_context io;
  claim_bucket bucket(io, &store, "b", "w1", ShortIntervals());
  direct_claim_store direct(&store, std::chrono::hours(1));
  asio::spawn(io, [&](asio::yield_context yield) {
    store.Save();
    const auto deadline = [] { return clock::now() + milliseconds(1'500); };
    CHECK(bucket.Claim("before", MakeRecord("one"), deadline(), yield));
    CHECK(direct.Claim("before", MakeRecord("one"), deadline(), yield));
    store.Restore();
    CHECK(bucket.Claim("after", MakeRecord("one"), deadline(), yield));
    CHECK(direct.Claim("after", MakeRecord("one"), deadline(), yield));
  });
  io.run();
}

TEST_CASE("claims expire after the retention") {
  claim_index index(std::chrono::seconds(1));
  index.Apply({claim_change::kClaim, "k", MakeRecord("one"), 1'000});
  index.Apply({claim_change::kClaim, "k", MakeRecord("two"), 1'500});
  CHECK(index.Find("k", 1'600)->nonce == "one");
  CHECK_FALSE(index.Find("k", 2'100));
  index.Apply({claim_change::kClaim, "k", MakeRecord("two"), 2'100});
  CHECK(index.Find("k", 2'200)->nonce == "two");
  index.Expire(2'200);
  CHECK(index.size() == 1);
  index.Expire(9'000);
  CHECK(index.size() == 0);
}

TEST_CASE("malformed segments are rejected") {
  const std::string encoded =
      EncodeSegment({{claim_change::kComplete, "k", MakeRecord("n"), 5}});
  CHECK(DecodeSegment(encoded)->size() == 1);
  for (std::size_t length = 0; length < encoded.size(); ++length)
    CHECK_FALSE(DecodeSegment(std::string_view(encoded).substr(0, length)));
}

TEST_CASE("malformed claim records are rejected") {
  const std::string encoded = EncodeClaim(MakeRecord("n"));
  CHECK(*DecodeClaim(encoded) == MakeRecord("n"));
  for (std::size_t length = 0; length < encoded.size(); ++length)
    CHECK_FALSE(DecodeClaim(std::string_view(encoded).substr(0, length)));
}

}  // namespace
}  // namespace cactusward
