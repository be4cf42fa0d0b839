// Stand-ins for the external dependencies: platform, model runners, services.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <memory>
#include <vector>

#include "src/kernel/log.h"
#include "src/model/platform_standin.h"
#include "src/model/runner_standin.h"
#include "src/model/service_standin.h"

ABSL_FLAG(std::string, role, "runner", "platform, runner or service");
ABSL_FLAG(std::string, host, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 9000, "first port");
ABSL_FLAG(int, count, 1, "number of stand-ins, on consecutive ports");
ABSL_FLAG(double, time_scale, 1.0, "real seconds per modelled second (runner)");
ABSL_FLAG(double,
          prefill_rate,
          20'000,
          "prompt tokens per modelled second (runner)");
ABSL_FLAG(int64_t, kv_capacity, 450'000, "KV memory in tokens (runner)");
ABSL_FLAG(double,
          step_base_ms,
          8,
          "modelled duration of an empty step, in ms (runner)");
ABSL_FLAG(bool, priorities, true, "whether priorities are honoured (runner)");
ABSL_FLAG(std::string,
          crash_marker,
          "",
          "a prompt that contains this text ends the process (runner)");
ABSL_FLAG(
    int,
    crash_linger_ms,
    0,
    "time for which the port of a crashed runner resets connections, in ms");
ABSL_FLAG(int, report_lag_ms, 100, "delay of load reports, in ms (runner)");
ABSL_FLAG(int, run_time_ms, 10, "duration of a call, in ms (service)");
ABSL_FLAG(int,
          list_lag_ms,
          500,
          "delay of the instance list, in ms (platform)");

namespace {

using cactusward::milliseconds;

cactusward::model::runner_settings RunnerSettings() {
  cactusward::model::runner_settings settings;
  settings.engine.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_rate);
  settings.engine.kv_capacity_tokens = absl::GetFlag(FLAGS_kv_capacity);
  settings.engine.step_base_ms = absl::GetFlag(FLAGS_step_base_ms);
  settings.engine.honours_priorities = absl::GetFlag(FLAGS_priorities);
  settings.time_scale = absl::GetFlag(FLAGS_time_scale);
  settings.crash_marker = absl::GetFlag(FLAGS_crash_marker);
  settings.crash_linger = milliseconds(absl::GetFlag(FLAGS_crash_linger_ms));
  settings.report_lag = milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
  return settings;
}

template <typename Standin, typename... Arguments>
bool Start(std::vector<std::unique_ptr<cactusward::http_handler>>* handlers,
           const std::string& address,
           Arguments&&... arguments) {
  auto standin =
      std::make_unique<Standin>(std::forward<Arguments>(arguments)...);
  const bool listening = standin->Listen(address);
  handlers->push_back(std::move(standin));
  return listening;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Stand-ins for the platform, model runners and plain services.");
  absl::ParseCommandLine(argc, argv);
  const std::string role = absl::GetFlag(FLAGS_role);
  cactusward::InitLog("standin-" + role, cactusward::log_level::kWarning);
  boost::asio::io_context io(1);
  std::vector<std::unique_ptr<cactusward::http_handler>> standins;
  for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
    const std::string address = absl::GetFlag(FLAGS_host) + ":" +
                                std::to_string(absl::GetFlag(FLAGS_port) + i);
    bool listening = false;
    if (role == "platform")
      listening = Start<cactusward::model::platform_standin>(
          &standins, address, io,
          milliseconds(absl::GetFlag(FLAGS_list_lag_ms)));
    else if (role == "service")
      listening = Start<cactusward::model::service_standin>(
          &standins, address, io,
          milliseconds(absl::GetFlag(FLAGS_run_time_ms)));
    else if (role == "runner")
      listening = Start<cactusward::model::runner_standin>(
          &standins, address, io, RunnerSettings());
    if (!listening) {
      std::cerr << "cannot start " << role << " on " << address << '\n';
      return 4;
    }
  }
  io.run();
  std::_Exit(0);
}
