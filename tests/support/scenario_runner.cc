// Runs Lua scenarios against real processes.
//
//   scenario_runner --bin=DIR --work=DIR [--seed=N] FILE...
//
// Functions available to a scenario in addition to Lua's own:
//   start(name, {program, arguments...}, {NAME=value}, descriptors) -> id
//       program is a file in --bin; with these environment variables and at
//       most so many open descriptors
//   process_use(id) -> {peak_bytes=, descriptors=} or nil when it has ended
//       the most resident memory so far, and the descriptors open now
//   signal(id, "KILL"|"TERM"|"STOP"|"CONT"|"HUP")  exited(id) -> code or nil
//   call{method=, address=, path=, body=, headers=, timeout_ms=}
//       -> {status=, body=, json=, headers=} or {error=}; with once=true the
//       request is not sent again when a reused connection closes before the
//       response, and reused=true reports that case; with keep=NAME it is sent
//       on the connection of this name, which no other call uses meanwhile, for
//       as long as the server keeps that open
//       -> also {unread=} without a status: whether the server did not read it
//   begin(same) -> handle      finish(handle) -> same    done(handle) -> bool
//   relay(listen, target) -> handle      cut(handle, bool)
//   reset_kept(name) -> bool             resets a caller's kept connection
//   fault(handle, {cut="to_target"|"to_caller", refuse=, delay_ms=,
//       forget_idle_ms=})
//   reset(handle)                        resets all connections of a proxy
//   fault_caller(handle, ip, {drop_new=, drop_open=, reset_open=})
//       faults of the connections from one address; reset_open: at once only
//   raw(address, bytes, ms) -> bytes received   datagram(address, bytes)
//   open_raw(address, {source=, receive_buffer=}) -> handle or nil
//       a connection that reads nothing; from this IP number
//   send_raw(handle, bytes)              sends in the background
//   unsent(handle) -> bytes, closed      receive_raw(handle) -> bytes so far
//   close_raw(handle)
//   sleep(ms)   now() -> ms   write_file(path, text)   read_file(path)
//   to_json(value)   from_json(text)   sha256(text)   expected(prompt, tokens)
//   check(condition, text)     note(text)     work, bin, seed
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <signal.h>

#include <boost/asio/write.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cactusward/hash.h"
#include "src/edges/http_client.h"
#include "src/edges/json.h"
#include "src/kernel/log.h"
#include "src/model/token_stream.h"
#include "tests/support/lua_json.h"
#include "tests/support/process_table.h"
#include "tests/support/raw_connection.h"
#include "tests/support/relay.h"
#include "tests/support/scenario_calls.h"

ABSL_FLAG(std::string, bin, "build", "directory of the programs");
ABSL_FLAG(std::string, work, "", "directory for files and logs of the run");
ABSL_FLAG(uint64_t, seed, 1, "seed passed to the scenarios");
ABSL_FLAG(std::string, options, "", "text passed to the scenarios");

namespace cactusward::test {
namespace {

using nlohmann::json;

constexpr milliseconds kPollInterval{20};
constexpr const char* kReservationAddress = "127.0.0.2";

struct scenario_state {
  asio::io_context io;
  http_client client{io};
  kept_connections kept;
  process_table processes;
  std::vector<std::shared_ptr<scenario_call>> calls;
  std::vector<std::shared_ptr<raw_connection>> connections;
  std::vector<std::unique_ptr<fault_proxy>> proxies;
  std::vector<std::unique_ptr<tcp::acceptor>> reserved_ports;
  std::string scenario;
  int checks = 0;
  int failures = 0;
};

scenario_state& GetState(lua_State* lua) {
  return **static_cast<scenario_state**>(lua_getextraspace(lua));
}

// Runs the fault proxies and the pending calls for `d`.
void RunFor(scenario_state& state, duration d) {
  const time_point end = clock::now() + d;
  while (clock::now() < end) {
    state.io.restart();
    asio::steady_timer timer(state.io);
    timer.expires_at(end);
    timer.async_wait([&state](boost::system::error_code) { state.io.stop(); });
    state.io.run();
  }
}

int LuaStart(lua_State* lua) {
  scenario_state& state = GetState(lua);
  const std::string name = luaL_checkstring(lua, 1);
  std::vector<std::string> arguments;
  for (const json& argument : ReadJson(lua, 2))
    arguments.push_back(argument.get<std::string>());
  arguments[0] = absl::GetFlag(FLAGS_bin) + "/" + arguments[0];
  std::vector<std::string> environment;
  if (!lua_isnoneornil(lua, 3)) {
    const json variables = ReadJson(lua, 3);
    for (const auto& [variable, value] : variables.items())
      environment.push_back(variable + "=" + value.get<std::string>());
  }
  const pid_t pid = state.processes.Start(
      arguments, absl::GetFlag(FLAGS_work) + "/" + name + ".log", environment,
      static_cast<int>(luaL_optinteger(lua, 4, 0)));
  lua_pushinteger(lua, pid);
  return 1;
}

int LuaSignal(lua_State* lua) {
  const std::string name = luaL_checkstring(lua, 2);
  const int signal = name == "KILL"   ? SIGKILL
                     : name == "TERM" ? SIGTERM
                     : name == "STOP" ? SIGSTOP
                     : name == "HUP"  ? SIGHUP
                                      : SIGCONT;
  const auto pid = static_cast<pid_t>(luaL_checkinteger(lua, 1));
  lua_pushboolean(lua, GetState(lua).processes.Signal(pid, signal) ? 1 : 0);
  return 1;
}

int LuaExited(lua_State* lua) {
  const auto code = GetState(lua).processes.Poll(
      static_cast<pid_t>(luaL_checkinteger(lua, 1)));
  if (!code)
    return 0;
  lua_pushinteger(lua, *code);
  return 1;
}

int LuaProcessUse(lua_State* lua) {
  const auto use = GetState(lua).processes.Use(
      static_cast<pid_t>(luaL_checkinteger(lua, 1)));
  if (!use)
    return 0;
  PushJson(lua, {{"peak_bytes", use->peak_resident_bytes},
                 {"descriptors", use->open_descriptors}});
  return 1;
}

int LuaBegin(lua_State* lua) {
  scenario_state& state = GetState(lua);
  state.calls.push_back(
      BeginCall(state.io, state.client, state.kept, ReadJson(lua, 1)));
  lua_pushinteger(lua, static_cast<lua_Integer>(state.calls.size() - 1));
  return 1;
}

int LuaDone(lua_State* lua) {
  const auto handle = static_cast<std::size_t>(luaL_checkinteger(lua, 1));
  lua_pushboolean(lua, GetState(lua).calls.at(handle)->done ? 1 : 0);
  return 1;
}

int LuaFinish(lua_State* lua) {
  scenario_state& state = GetState(lua);
  const auto call =
      state.calls.at(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
  while (!call->done)
    RunFor(state, kPollInterval);
  PushJson(lua, call->response);
  call->response.erase("body");
  return 1;
}

int LuaCall(lua_State* lua) {
  scenario_state& state = GetState(lua);
  const auto call =
      BeginCall(state.io, state.client, state.kept, ReadJson(lua, 1));
  while (!call->done) {
    state.io.restart();
    state.io.run();
  }
  PushJson(lua, call->response);
  return 1;
}

int LuaRelay(lua_State* lua) {
  scenario_state& state = GetState(lua);
  state.proxies.push_back(std::make_unique<fault_proxy>(
      state.io, luaL_checkstring(lua, 1), luaL_checkstring(lua, 2)));
  if (!state.proxies.back()->Start())
    return luaL_error(lua, "relay cannot listen");
  lua_pushinteger(lua, static_cast<lua_Integer>(state.proxies.size() - 1));
  return 1;
}

// Binds a port at another loopback address, for as long as the run lasts, to
// reserve the ports that it stands for.
int LuaReservePort(lua_State* lua) {
  scenario_state& state = GetState(lua);
  auto reservation = std::make_unique<tcp::acceptor>(state.io);
  boost::system::error_code error;
  reservation->open(tcp::v4(), error);
  if (!error) {
    reservation->bind({asio::ip::make_address(kReservationAddress),
                       static_cast<std::uint16_t>(luaL_checkinteger(lua, 1))},
                      error);
  }
  if (!error)
    state.reserved_ports.push_back(std::move(reservation));
  lua_pushboolean(lua, error ? 0 : 1);
  return 1;
}

int LuaCut(lua_State* lua) {
  GetState(lua)
      .proxies.at(static_cast<std::size_t>(luaL_checkinteger(lua, 1)))
      ->SetCut(lua_toboolean(lua, 2) != 0);
  return 0;
}

int LuaFault(lua_State* lua) {
  const json requested = ReadJson(lua, 2);
  const std::string cut = requested.value("cut", "");
  proxy_faults faults;
  faults.cut_to_target = cut == "to_target";
  faults.cut_to_caller = cut == "to_caller";
  faults.refuse = requested.value("refuse", false);
  faults.delay = milliseconds(requested.value("delay_ms", 0));
  faults.forget_idle = milliseconds(requested.value("forget_idle_ms", 0));
  GetState(lua)
      .proxies.at(static_cast<std::size_t>(luaL_checkinteger(lua, 1)))
      ->SetFaults(faults);
  return 0;
}

int LuaReset(lua_State* lua) {
  GetState(lua)
      .proxies.at(static_cast<std::size_t>(luaL_checkinteger(lua, 1)))
      ->Reset();
  return 0;
}

int LuaResetKept(lua_State* lua) {
  lua_pushboolean(
      lua, ResetKept(GetState(lua).kept, luaL_checkstring(lua, 1)) ? 1 : 0);
  return 1;
}

int LuaFaultCaller(lua_State* lua) {
  fault_proxy& proxy = *GetState(lua).proxies.at(
      static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
  const auto caller = asio::ip::make_address_v4(luaL_checkstring(lua, 2));
  const json requested = ReadJson(lua, 3);
  caller_faults faults;
  faults.drop_new = requested.value("drop_new", false);
  faults.drop_open = requested.value("drop_open", false);
  if (!proxy.SetCallerFaults(caller, faults))
    return luaL_error(lua, "packets cannot be filtered");
  if (requested.value("reset_open", false))
    proxy.ResetCaller(caller);
  return 0;
}

std::string StringArgument(lua_State* lua, int index) {
  std::size_t length = 0;
  const char* bytes = luaL_checklstring(lua, index, &length);
  return std::string(bytes, length);
}

// Sends bytes on a new connection and returns the bytes received until the
// deadline.
int LuaRaw(lua_State* lua) {
  scenario_state& state = GetState(lua);
  const auto endpoint = ParseTcpEndpoint(luaL_checkstring(lua, 1));
  const std::string bytes = StringArgument(lua, 2);
  const time_point deadline =
      clock::now() + milliseconds(luaL_checkinteger(lua, 3));
  std::string received;
  Spawn(state.io, "raw", [&](asio::yield_context yield) {
    tcp::socket socket(state.io);
    deadline_guard guard(&socket, deadline);
    boost::system::error_code error;
    socket.async_connect(*endpoint, yield[error]);
    if (!error)
      asio::async_write(socket, asio::buffer(bytes), yield[error]);
    std::string buffer(4096, '\0');
    while (!error) {
      const std::size_t got =
          socket.async_read_some(asio::buffer(buffer), yield[error]);
      received.append(buffer, 0, got);
    }
    state.io.stop();
  });
  state.io.restart();
  state.io.run();
  lua_pushlstring(lua, received.data(), received.size());
  return 1;
}

raw_connection& GetConnection(lua_State* lua) {
  return *GetState(lua).connections.at(
      static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
}

int LuaOpenRaw(lua_State* lua) {
  scenario_state& state = GetState(lua);
  const auto endpoint = ParseTcpEndpoint(luaL_checkstring(lua, 1));
  const json requested = ReadJson(lua, 2);
  auto connection = std::make_shared<raw_connection>(state.io);
  if (!connection->Open(*endpoint, requested.value("source", ""),
                        requested.value("receive_buffer", 0)))
    return 0;
  state.connections.push_back(std::move(connection));
  lua_pushinteger(lua, static_cast<lua_Integer>(state.connections.size() - 1));
  return 1;
}

int LuaSendRaw(lua_State* lua) {
  GetConnection(lua).Send(StringArgument(lua, 2));
  return 0;
}

int LuaUnsent(lua_State* lua) {
  const raw_connection& connection = GetConnection(lua);
  lua_pushinteger(lua, static_cast<lua_Integer>(connection.unsent_bytes()));
  lua_pushboolean(lua, connection.closed() ? 1 : 0);
  return 2;
}

int LuaReceiveRaw(lua_State* lua) {
  const std::string bytes = GetConnection(lua).Receive();
  lua_pushlstring(lua, bytes.data(), bytes.size());
  return 1;
}

int LuaCloseRaw(lua_State* lua) {
  GetConnection(lua).Close();
  return 0;
}

int LuaDatagram(lua_State* lua) {
  const auto target = ParseHostPort(luaL_checkstring(lua, 1));
  udp::socket socket(GetState(lua).io, udp::v4());
  boost::system::error_code ignored;
  socket.send_to(
      asio::buffer(StringArgument(lua, 2)),
      udp::endpoint(asio::ip::make_address(target->host), target->port), 0,
      ignored);
  return 0;
}

int LuaSleep(lua_State* lua) {
  RunFor(GetState(lua), milliseconds(luaL_checkinteger(lua, 1)));
  return 0;
}

int LuaNow(lua_State* lua) {
  lua_pushnumber(lua, ToMilliseconds(clock::now().time_since_epoch()));
  return 1;
}

int LuaWriteFile(lua_State* lua) {
  std::ofstream(luaL_checkstring(lua, 1), std::ios::binary)
      << luaL_checkstring(lua, 2);
  return 0;
}

int LuaReadFile(lua_State* lua) {
  std::ifstream file(luaL_checkstring(lua, 1), std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  const std::string bytes = text.str();
  lua_pushlstring(lua, bytes.data(), bytes.size());
  return 1;
}

int LuaToJson(lua_State* lua) {
  const std::string text = ReadJson(lua, 1).dump();
  lua_pushlstring(lua, text.data(), text.size());
  return 1;
}

int LuaFromJson(lua_State* lua) {
  PushJson(lua, json::parse(luaL_checkstring(lua, 1), nullptr, false));
  return 1;
}

int LuaSha256(lua_State* lua) {
  lua_pushstring(lua, Sha256Hex(luaL_checkstring(lua, 1)).c_str());
  return 1;
}

int LuaExpected(lua_State* lua) {
  lua_pushstring(
      lua, model::ExpectedText(luaL_checkstring(lua, 1),
                               static_cast<int>(luaL_checkinteger(lua, 2)))
               .c_str());
  return 1;
}

int LuaCheck(lua_State* lua) {
  scenario_state& state = GetState(lua);
  ++state.checks;
  if (lua_toboolean(lua, 1) != 0)
    return 0;
  ++state.failures;
  std::cout << "  FAILED " << state.scenario << ": " << luaL_checkstring(lua, 2)
            << '\n';
  return 0;
}

int LuaNote(lua_State* lua) {
  std::cout << "  " << luaL_checkstring(lua, 1) << '\n' << std::flush;
  return 0;
}

void Register(lua_State* lua) {
  const luaL_Reg functions[] = {{"start", LuaStart},
                                {"signal", LuaSignal},
                                {"exited", LuaExited},
                                {"begin", LuaBegin},
                                {"finish", LuaFinish},
                                {"done", LuaDone},
                                {"call", LuaCall},
                                {"relay", LuaRelay},
                                {"reserve_port", LuaReservePort},
                                {"cut", LuaCut},
                                {"fault", LuaFault},
                                {"reset", LuaReset},
                                {"reset_kept", LuaResetKept},
                                {"fault_caller", LuaFaultCaller},
                                {"raw", LuaRaw},
                                {"process_use", LuaProcessUse},
                                {"open_raw", LuaOpenRaw},
                                {"send_raw", LuaSendRaw},
                                {"unsent", LuaUnsent},
                                {"receive_raw", LuaReceiveRaw},
                                {"close_raw", LuaCloseRaw},
                                {"datagram", LuaDatagram},
                                {"sleep", LuaSleep},
                                {"now", LuaNow},
                                {"write_file", LuaWriteFile},
                                {"read_file", LuaReadFile},
                                {"to_json", LuaToJson},
                                {"from_json", LuaFromJson},
                                {"sha256", LuaSha256},
                                {"expected", LuaExpected},
                                {"check", LuaCheck},
                                {"note", LuaNote}};
  for (const luaL_Reg& function : functions)
    lua_register(lua, function.name, function.func);
  lua_pushstring(lua, absl::GetFlag(FLAGS_work).c_str());
  lua_setglobal(lua, "work");
  lua_pushstring(lua, absl::GetFlag(FLAGS_bin).c_str());
  lua_setglobal(lua, "bin");
  lua_pushinteger(lua, static_cast<lua_Integer>(absl::GetFlag(FLAGS_seed)));
  lua_setglobal(lua, "seed");
  lua_pushstring(lua, absl::GetFlag(FLAGS_options).c_str());
  lua_setglobal(lua, "options");
}

// @return whether the scenario made checks and all of them passed.
bool RunScenario(const std::string& path) {
  // Never destroyed, since that would unwind the coroutines of calls in
  // progress.
  scenario_state& state = *new test::scenario_state;
  state.scenario = std::filesystem::path(path).stem().string();
  lua_State* lua = luaL_newstate();
  *static_cast<test::scenario_state**>(lua_getextraspace(lua)) = &state;
  luaL_openlibs(lua);
  Register(lua);
  const std::string folder = std::filesystem::path(path).parent_path().string();
  luaL_dostring(lua, ("package.path = '" + folder + "/?.lua'").c_str());
  std::cout << "scenario " << state.scenario << '\n' << std::flush;
  if (luaL_dofile(lua, path.c_str()) != LUA_OK) {
    std::cout << "  FAILED " << state.scenario << ": " << lua_tostring(lua, -1)
              << '\n';
    ++state.failures;
  }
  state.processes.KillAll();
  lua_close(lua);
  std::cout << "  " << state.checks << " checks, " << state.failures
            << " failed\n"
            << std::flush;
  return state.failures == 0 && state.checks > 0;
}

}  // namespace
}  // namespace cactusward::test

int main(int argc, char** argv) {
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_work).empty())
    absl::SetFlag(&FLAGS_work, std::filesystem::temp_directory_path().string() +
                                   "/cactusward." + std::to_string(getpid()));
  std::filesystem::create_directories(absl::GetFlag(FLAGS_work));
  cactusward::InitLog("scenario", cactusward::log_level::kError);
  int passed = 0;
  std::vector<std::string> failed;
  for (std::size_t i = 1; i < rest.size(); ++i) {
    if (cactusward::test::RunScenario(rest[i]))
      ++passed;
    else
      failed.emplace_back(rest[i]);
  }
  for (const std::string& path : failed)
    std::cout << "failed: " << path << '\n';
  std::cout << passed << " passed, " << failed.size() << " failed\n";
  return failed.empty() ? 0 : 1;
}
