// Stand-in for a model runner: engine_model behind the completion API.
#ifndef CACTUSWARD_SRC_MODEL_RUNNER_STANDIN_H_
#define CACTUSWARD_SRC_MODEL_RUNNER_STANDIN_H_

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "src/edges/http_server.h"
#include "src/model/engine_model.h"
#include "src/model/token_stream.h"

namespace cactusward::model {

struct runner_settings {
  engine_parameters engine;
  double time_scale = 1;  // duration of a modelled second, in seconds
  milliseconds report_lag{100};
  // A prompt that contains this text crashes the process; empty: none does.
  std::string crash_marker;
  // Time for which a crashing process still accepts connections, and closes
  // them without a response, before it exits.
  milliseconds crash_linger{0};
};

// Injected faults, each for the given number of next requests.
struct runner_faults {
  int refuse = 0;     // respond 503
  int cut = 0;        // close the connection after a few tokens
  int garble = 0;     // send an event that is not JSON
  int cross = 0;      // send another request's id and text
  int duplicate = 0;  // send a token twice
  bool leaving = false;
};

class runner_standin : public http_handler {
 public:
  // Precondition: `io` outlives the runner.
  runner_standin(asio::io_context& io, const runner_settings& settings);

  bool Listen(const std::string& address) { return server_.Listen(address); }
  void Handle(http_exchange& exchange, asio::yield_context yield) override;

 private:
  struct generation {
    explicit generation(asio::io_context& io, std::string_view text)
        : timer(io), stream(text) {}
    asio::steady_timer timer;
    token_stream stream;
    int ready_tokens = 0;
    bool finished = false;
    bool disconnected = false;
  };
  struct load_sample {
    time_point at;
    engine_load load;
  };

  void HandleCompletion(http_exchange& exchange,
                        bool chat,
                        asio::yield_context yield);
  void StreamTokens(http_exchange& exchange,
                    generation& state,
                    bool chat,
                    const std::string& id,
                    std::int64_t prompt_tokens,
                    asio::yield_context yield);
  // Ends the process, after settings_.crash_linger.
  void Crash(http_exchange& exchange);
  void HandleControl(http_exchange& exchange, asio::yield_context yield);
  void RunEngine(asio::yield_context yield);
  std::string LoadMetrics();
  std::string FormatEvent(const std::string& id,
                          bool chat,
                          const std::string& text,
                          bool last) const;

  asio::io_context& io_;
  runner_settings settings_;
  engine_model engine_;
  runner_faults faults_;
  http_server server_;
  std::map<std::uint64_t, generation*> generations_;
  std::map<std::string, int> run_counts_;  // by request id
  std::deque<load_sample> load_history_;
  asio::steady_timer work_available_;
  std::uint64_t next_id_ = 1;
  bool crashing_ = false;
};

}  // namespace cactusward::model

#endif  // CACTUSWARD_SRC_MODEL_RUNNER_STANDIN_H_
