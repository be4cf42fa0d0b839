// What the directory of upstreams takes for evidence of a crash.
#include <sys/socket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

#include "cactusward/hash.h"
#include "src/edges/asio_timer_service.h"
#include "src/edges/http_server.h"
#include "src/services/config_service.h"
#include "src/services/membership_service.h"
#include "src/services/recovery_service.h"
#include "src/services/upstream_directory.h"
#include "tests/support/platform_fakes.h"

namespace cactusward {
namespace {

using nlohmann::json;
using testing::FreeAddress;

constexpr std::string_view kService = "poradna";

std::string EncodedConfig() {
  config_revision revision;
  revision.number = 1;
  revision.document =
      json({{"defaults",
             {{"classes",
               {{{"name", "short"}, {"max_prompt_tokens", 4096}},
                {{"name", "long"},
                 {"max_prompt_tokens", 1'000'000},
                 {"long", true}}}}}},
            {"organisations", json::array()},
            {"services", {{{"name", kService}, {"model", kService}}}},
            {"objectives", {{{"class", "short"}, {"target", 0.95}}}}})
          .dump();
  revision.digest = Sha256Hex(revision.document);
  return EncodeRevision(revision);
}

// Responds to the instance list and to health checks. Runs on a thread of its
// own, so that it goes on while the directory's thread is stalled.
class upstream_fake : public http_handler {
 public:
  upstream_fake()
      : address_(FreeAddress()), server_(io_, this, http_server_limits()) {
    REQUIRE(server_.Listen(address_));
    thread_ = std::thread([this] { io_.run(); });
  }
  ~upstream_fake() override {
    io_.stop();
    thread_.join();
  }
  upstream_fake(const upstream_fake&) = delete;
  upstream_fake& operator=(const upstream_fake&) = delete;

  const std::string& address() const { return address_; }
  void ListInstance(const std::string& upstream) { listed_ = upstream; }
  // Delay of responses to health checks.
  void SetDelay(milliseconds delay) { delay_ms_ = delay.count(); }
  int probes() const { return probes_; }

  void Handle(http_exchange& exchange, asio::yield_context yield) override {
    if (exchange.Path() == "/v1/instances") {
      exchange.RespondJson(json::array({{{"targets", {listed_}},
                                         {"labels",
                                          {{"service", kService},
                                           {"availability_zone", "brno"},
                                           {"state", "live"}}}}}),
                           yield);
      return;
    }
    ++probes_;
    Sleep(io_, milliseconds(delay_ms_), yield);
    exchange.RespondJson({{"ok", true}}, yield);
  }

 private:
  asio::io_context io_;
  std::string address_;
  std::string listed_;
  http_server server_;
  std::atomic<std::int64_t> delay_ms_{0};
  std::atomic<int> probes_{0};
  std::thread thread_;
};

// A directory with one upstream and one request in flight there.
class directory_fixture {
 public:
  explicit directory_fixture(const std::string& upstream)
      : upstream_(upstream),
        timers_(io_),
        client_(io_),
        runtime_{io_,     settings_, 1,         timers_,
                 client_, nullptr,   registry_, random_},
        config_(runtime_, nullptr),
        membership_(runtime_),
        recovery_(runtime_),
        directory_(runtime_) {
    settings_.instance = "one";
    settings_.availability_zone = "brno";
    settings_.instance_list = list_.address();
    settings_.peer_advertise = FreeAddress();
    list_.ListInstance(upstream);
    for (service* part :
         {static_cast<service*>(&config_), static_cast<service*>(&membership_),
          static_cast<service*>(&recovery_)})
      registry_.Add(part);
    directory_.Start();
    REQUIRE(config_.tracker().Offer(EncodedConfig()) ==
            offer_outcome::kAdopted);
    pool_ = directory_.Pool(std::string(kService));
    RunUntil([this] { return pool_->size() == 1; });
    dispatch sent;
    sent.address = upstream;
    sent.fingerprint = 7;
    id_ = directory_.Begin(pool_, sent, &cancel_);
  }
  ~directory_fixture() { directory_.End(pool_, id_); }
  directory_fixture(const directory_fixture&) = delete;
  directory_fixture& operator=(const directory_fixture&) = delete;

  void RunFor(milliseconds time) { io_.run_for(time); }
  bool RunUntil(const std::function<bool()>& condition) {
    const time_point limit = clock::now() + std::chrono::seconds(10);
    while (!condition() && clock::now() < limit)
      io_.run_for(milliseconds(5));
    return condition();
  }
  // As a request does whose connection to the upstream broke.
  void ReportBrokenConnection() {
    bool done = false;
    Spawn(io_, "broken", [&](asio::yield_context yield) {
      directory_.OnConnectionBroken(pool_, upstream_, yield);
      done = true;
    });
    REQUIRE(RunUntil([&done] { return done; }));
  }
  bool reachable() { return pool_->Rows(clock::now()).at(0).reachable; }
  bool cancelled() const { return cancel_.cancelled(); }
  std::size_t suspects() const { return recovery_.suspects(); }

 private:
  upstream_fake list_;
  std::string upstream_;
  asio::io_context io_;
  instance_settings settings_;
  service_registry registry_;
  std::mt19937_64 random_{1};
  asio_timer_service timers_;
  http_client client_;
  runtime runtime_;
  config_service config_;
  membership_service membership_;
  recovery_service recovery_;
  upstream_directory directory_;
  upstream_pool* pool_ = nullptr;
  cancel_token cancel_;
  std::uint64_t id_ = 0;
};

// A listening port whose queue of connections is full, as that of a process
// that does not run: connections to it get no response.
class full_listener {
 public:
  full_listener() : address_(FreeAddress()), acceptor_(io_) {
    const auto endpoint = *ParseTcpEndpoint(address_);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(0);
    constexpr int kMoreThanQueue = 4;
    for (int i = 0; i < kMoreThanQueue; ++i) {
      queued_.emplace_back(io_);
      queued_.back().open(endpoint.protocol());
      queued_.back().non_blocking(true);
      ::connect(queued_.back().native_handle(), endpoint.data(),
                static_cast<socklen_t>(endpoint.size()));
    }
  }
  const std::string& address() const { return address_; }

 private:
  std::string address_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> queued_;
};

// Guards against requests in progress being broken off, and blamed for a crash,
// because connections to their upstream are not accepted in time.
TEST_CASE("connections without a response are no evidence of a crash") {
  const bool broken = GENERATE(false, true);
  const full_listener upstream;
  directory_fixture fixture(upstream.address());
  if (broken)
    fixture.ReportBrokenConnection();
  else
    fixture.RunFor(milliseconds(1'600));
  CHECK_FALSE(fixture.cancelled());
  CHECK(fixture.suspects() == 0);
}

TEST_CASE("a refused connection is evidence of a crash") {
  const bool broken = GENERATE(false, true);
  directory_fixture fixture(FreeAddress());
  if (broken)
    fixture.ReportBrokenConnection();
  CHECK(fixture.RunUntil([&] { return fixture.cancelled(); }));
  CHECK(fixture.suspects() == 1);
  CHECK_FALSE(fixture.reachable());
}

// Guards against the time in which this process stood still being counted as
// the upstream's.
TEST_CASE("a stall of this process does not make upstreams unreachable") {
  upstream_fake upstream;
  directory_fixture fixture(upstream.address());
  REQUIRE(fixture.RunUntil([&] { return upstream.probes() > 0; }));
  upstream.SetDelay(milliseconds(300));
  bool was_reachable = true;
  for (int i = 0; i < 4; ++i) {
    const int before = upstream.probes();
    REQUIRE(fixture.RunUntil([&] { return upstream.probes() > before; }));
    std::this_thread::sleep_for(milliseconds(1'100));
    fixture.RunFor(milliseconds(20));
    was_reachable = was_reachable && fixture.reachable();
  }
  CHECK(was_reachable);
  CHECK_FALSE(fixture.cancelled());
}

}  // namespace
}  // namespace cactusward
