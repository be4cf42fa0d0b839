// cactuswardctl: the command-line tool of the operators.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

#include "src/edges/json.h"
#include "tools/ctl_client.h"
#include "tools/ctl_output.h"

ABSL_FLAG(std::string,
          instance,
          "127.0.0.1:7101",
          "HTTP address of any instance");
ABSL_FLAG(std::string,
          key,
          "",
          "operators' key; or the variable CACTUSWARD_OPERATOR_KEY");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");
ABSL_FLAG(int64_t, base, -1, "revision that the edit is based on (apply)");
ABSL_FLAG(std::string,
          author,
          "",
          "author to record with the revision (apply)");
ABSL_FLAG(std::string, out, "", "file to write the document to (config get)");
ABSL_FLAG(std::string, html, "", "file to write an HTML report to (burn)");
ABSL_FLAG(
    int,
    wait_ms,
    3000,
    "time to wait for every instance to have the revision or the state of a "
    "zone, in ms (apply, evacuate, readmit)");

namespace {

using cactusward::milliseconds;
using namespace cactusward::ctl;  // NOLINT
using nlohmann::json;

constexpr milliseconds kPollInterval{20};

constexpr char kUsage[] =
    "Operates a fleet of cactusward instances.\n\n"
    "  cactuswardctl config get [--out=FILE]   the configuration in force\n"
    "  cactuswardctl config check FILE         validate a document\n"
    "  cactuswardctl config diff FILE          what FILE would change\n"
    "  cactuswardctl config apply FILE --author=NAME [--base=N]\n"
    "  cactuswardctl config status             revision at each instance\n"
    "  cactuswardctl zone evacuate ZONE        send nothing more to its "
    "upstreams\n"
    "  cactuswardctl zone readmit ZONE         use its upstreams again\n"
    "  cactuswardctl zone status               evacuations, and which "
    "instances\n"
    "                                          do not know them yet\n"
    "  cactuswardctl fleet                     instances and upstreams\n"
    "  cactuswardctl queues                    queue depths and oldest waits\n"
    "  cactuswardctl burn [--html=FILE]        service-level burn\n"
    "  cactuswardctl drain                     graceful shutdown of "
    "--instance\n\n"
    "'config get --out=F' also writes F.base, which 'config apply F' uses to\n"
    "show both changes when another edit was accepted first.\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 invalid document, 4 conflict,\n"
    "5 instance unreachable, 6 accepted but not yet in force everywhere.";

std::string OperatorKey() {
  std::string key = absl::GetFlag(FLAGS_key);
  if (!key.empty())
    return key;
  const char* variable = std::getenv("CACTUSWARD_OPERATOR_KEY");
  return variable ? variable : "";
}

int ConfigGet(fleet_client& fleet) {
  const auto config = fleet.Get("/v1/admin/config");
  if (!config)
    return kExitUnreachable;
  const std::string out = absl::GetFlag(FLAGS_out);
  if (!out.empty()) {
    std::ofstream(out) << config->value("document", "");
    std::ofstream(out + ".base") << config->dump();
    std::cout << "revision " << config->value("revision", 0) << " written to "
              << out << '\n';
  } else if (absl::GetFlag(FLAGS_json)) {
    std::cout << config->dump(2) << '\n';
  } else {
    std::cout << config->value("document", "") << '\n';
  }
  return 0;
}

int ConfigCheck(fleet_client& fleet, const std::string& path) {
  const auto document = ReadFile(path);
  if (!document)
    return kExitUsage;
  const auto response = fleet.Call(cactusward::http::verb::post,
                                   "/v1/admin/config/check", *document);
  if (!response)
    return kExitUnreachable;
  if (response->status != 200)
    return PrintError(*response);
  std::cout << "valid\n";
  return 0;
}

int ConfigDiff(fleet_client& fleet, const std::string& path) {
  const auto document = ReadFile(path);
  const auto config = fleet.Get("/v1/admin/config");
  if (!document)
    return kExitUsage;
  if (!config)
    return kExitUnreachable;
  const auto before = cactusward::ParseJson(config->value("document", ""));
  const auto after = cactusward::ParseJson(*document);
  if (!after) {
    std::cerr << path << ": not JSON\n";
    return kExitInvalid;
  }
  std::cout << "against revision " << config->value("revision", 0) << ":\n"
            << cactusward::ctl::Difference(before.value_or(json::object()),
                                           *after);
  return 0;
}

// After an edit conflict, prints what the accepted edits changed and what the
// rejected document would have changed.
void ShowConflict(fleet_client& fleet,
                  const json& base,
                  const std::string& document) {
  const auto current = fleet.Get("/v1/admin/config");
  if (!current)
    return;
  const auto current_document =
      cactusward::ParseJson(current->value("document", ""));
  const auto new_document = cactusward::ParseJson(document);
  const auto before = cactusward::ParseJson(base.value("document", ""));
  std::cerr << "revision " << current->value("revision", 0) << " by "
            << current->value("author", "") << " is in force\n";
  if (before && current_document)
    std::cerr << "changes since the base revision:\n"
              << cactusward::ctl::Difference(*before, *current_document);
  if (before && new_document)
    std::cerr << "your change:\n"
              << cactusward::ctl::Difference(*before, *new_document);
  else if (new_document && current_document)
    std::cerr << "your document against the one in force:\n"
              << cactusward::ctl::Difference(*current_document, *new_document);
}

int WaitUntilInForce(fleet_client& fleet, std::int64_t revision) {
  const auto started_at = cactusward::clock::now();
  const milliseconds limit(absl::GetFlag(FLAGS_wait_ms));
  while (true) {
    const auto status = fleet.Get("/v1/admin/status");
    std::size_t behind = 0;
    if (status) {
      for (const auto& [instance, report] : status->items())
        behind += report.value("revision", 0) < revision ? 1 : 0;
    }
    const auto waited = cactusward::clock::now() - started_at;
    if (status && behind == 0) {
      std::cout << "in force at " << status->size() << " instances after "
                << static_cast<int>(cactusward::ToMilliseconds(waited))
                << " ms\n";
      return 0;
    }
    if (waited >= limit) {
      std::cerr << behind << " instances do not have the revision yet\n";
      return kExitNotInForce;
    }
    cactusward::asio::io_context io;
    cactusward::asio::steady_timer(io, kPollInterval).wait();
  }
}

int ConfigApply(fleet_client& fleet, const std::string& path) {
  const auto document = ReadFile(path);
  if (!document)
    return kExitUsage;
  json base = json::object();
  std::ifstream base_file(path + ".base");
  if (base_file)
    base = json::parse(base_file, nullptr, false);
  if (!base.is_object())
    base = json::object();
  std::int64_t base_revision = absl::GetFlag(FLAGS_base);
  if (base_revision < 0)
    base_revision = base.value("revision", std::int64_t{-1});
  if (base_revision < 0) {
    std::cerr << "--base is required: " << path << ".base was not found\n";
    return kExitUsage;
  }
  const auto response =
      fleet.Call(cactusward::http::verb::put,
                 "/v1/admin/config?base=" + std::to_string(base_revision) +
                     "&author=" + absl::GetFlag(FLAGS_author),
                 *document);
  if (!response)
    return kExitUnreachable;
  if (response->status != 200) {
    const int code = PrintError(*response);
    if (code == kExitConflict)
      ShowConflict(fleet, base, *document);
    return code;
  }
  const auto accepted = cactusward::ParseJson(response->body);
  const std::int64_t revision = accepted->value("revision", 0);
  std::cout << "accepted as revision " << revision << '\n';
  return WaitUntilInForce(fleet, revision);
}

int ConfigStatus(fleet_client& fleet) {
  const auto status = fleet.Get("/v1/admin/status");
  if (!status)
    return kExitUnreachable;
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << status->dump(2) << '\n';
    return 0;
  }
  text_table table({"instance", "zone", "revision", "confirmed", "ready",
                    "draining", "in flight", "queued", "members"});
  for (const auto& [instance, report] : status->items()) {
    if (report.contains("error")) {
      table.Add({instance, "-", report.value("error", "")});
      continue;
    }
    table.Add({instance, report.value("availability_zone", ""),
               report["revision"].dump(),
               report["confirmed_age_ms"].dump() + " ms ago",
               report["ready"].dump(), report["draining"].dump(),
               report["in_flight"].dump(), report["queued"].dump(),
               report["live_members"].dump()});
  }
  std::cout << table.ToString();
  return 0;
}

int Fleet(fleet_client& fleet) {
  const auto members = fleet.Get("/v1/admin/members");
  const auto upstreams = fleet.Get("/v1/admin/upstreams?scope=instance");
  if (!members || !upstreams)
    return kExitUnreachable;
  if (absl::GetFlag(FLAGS_json)) {
    std::cout
        << json({{"members", *members}, {"upstreams", *upstreams}}).dump(2)
        << '\n';
    return 0;
  }
  text_table instances({"instance", "state", "zone", "address"});
  for (const json& m : *members)
    instances.Add({m.value("instance", ""), m.value("state", ""),
                   m.value("availability_zone", ""), m.value("address", "")});
  text_table rows({"service", "upstream", "zone", "accepting", "leaving",
                   "reachable", "in flight", "backlog", "kv"});
  for (const json& u : *upstreams)
    rows.Add({u.value("service", ""), u.value("address", ""),
              u.value("availability_zone", ""), u["accepting"].dump(),
              u["leaving"].dump(), u["reachable"].dump(), u["in_flight"].dump(),
              u["backlog_tokens"].dump(), u["kv_reserved"].dump()});
  std::cout << instances.ToString() << '\n' << rows.ToString();
  return 0;
}

int Queues(fleet_client& fleet) {
  const auto queues = fleet.Get("/v1/admin/queues");
  if (!queues)
    return kExitUnreachable;
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << queues->dump(2) << '\n';
    return 0;
  }
  text_table table({"instance", "class", "organisation", "depth", "oldest"});
  for (const auto& [instance, rows] : queues->items()) {
    if (!rows.is_array())
      continue;
    for (const json& row : rows)
      table.Add({instance, row.value("class", ""),
                 row.value("organisation", ""), row["depth"].dump(),
                 row["oldest_ms"].dump() + " ms"});
  }
  std::cout << table.ToString();
  return 0;
}

std::string OldestQueued(const json& queues) {
  std::int64_t oldest = 0;
  std::string description = "none";
  for (const auto& [instance, rows] : queues.items()) {
    if (!rows.is_array())
      continue;
    for (const json& row : rows) {
      if (row.value("oldest_ms", std::int64_t{0}) < oldest)
        continue;
      oldest = row.value("oldest_ms", std::int64_t{0});
      description = row.value("class", "") + " of " +
                    row.value("organisation", "") + " at " + instance + ", " +
                    std::to_string(oldest) + " ms";
    }
  }
  return description;
}

int Burn(fleet_client& fleet) {
  const auto config = fleet.Get("/v1/admin/config");
  const auto burn = fleet.Get("/v1/admin/burn");
  const auto queues = fleet.Get("/v1/admin/queues");
  if (!config || !burn || !queues)
    return kExitUnreachable;
  const auto parsed =
      cactusward::ParseFleetConfig(config->value("document", ""));
  if (!parsed)
    return kExitInvalid;
  const auto burns = cactusward::EvaluateObjectives(
      parsed->objectives, cactusward::ctl::ReadBurnRows(*burn));
  const std::string oldest = OldestQueued(*queues);
  const std::string html = absl::GetFlag(FLAGS_html);
  if (!html.empty())
    std::ofstream(html) << cactusward::ctl::BurnPage(burns, oldest);
  if (absl::GetFlag(FLAGS_json))
    std::cout << json({{"objectives", cactusward::ctl::BurnJson(burns)},
                       {"oldest_queued", oldest}})
                     .dump(2)
              << '\n';
  else
    std::cout << cactusward::ctl::BurnTable(burns)
              << "oldest queued: " << oldest << '\n';
  return 0;
}

std::string Joined(const json& names) {
  std::string joined;
  for (const json& name : names)
    joined += (joined.empty() ? "" : ", ") + name.get<std::string>();
  return joined;
}

std::string UtcTime(std::int64_t unix_ms) {
  return absl::FormatTime("%Y-%m-%d %H:%M:%SZ", absl::FromUnixMillis(unix_ms),
                          absl::UTCTimeZone());
}

// Waits until all instances know the state `number` of `zone` or a later one.
int WaitUntilKnown(fleet_client& fleet,
                   const std::string& zone,
                   std::int64_t number) {
  const auto started_at = cactusward::clock::now();
  const milliseconds limit(absl::GetFlag(FLAGS_wait_ms));
  std::string behind = "every instance";
  while (true) {
    const auto zones = fleet.Get("/v1/admin/zones");
    for (const json& status : zones.value_or(json::array())) {
      if (status.value("zone", "") != zone ||
          status.value("number", std::int64_t{0}) < number)
        continue;
      behind = Joined(status["behind"]);
      if (!behind.empty())
        continue;
      const auto waited = cactusward::clock::now() - started_at;
      std::cout << "in force at " << status["complying"].dump()
                << " instances after "
                << static_cast<int>(cactusward::ToMilliseconds(waited))
                << " ms\n";
      return 0;
    }
    if (cactusward::clock::now() - started_at >= limit) {
      std::cerr << "not known to be in force at: " << behind << '\n';
      return kExitNotInForce;
    }
    cactusward::asio::io_context io;
    cactusward::asio::steady_timer(io, kPollInterval).wait();
  }
}

int ZoneChange(fleet_client& fleet, const std::string& zone, bool evacuate) {
  const auto response = fleet.Call(
      evacuate ? cactusward::http::verb::put : cactusward::http::verb::delete_,
      "/v1/admin/zones/" + zone + "/evacuation");
  if (!response)
    return kExitUnreachable;
  if (response->status != 200)
    return PrintError(*response);
  const auto accepted = cactusward::ParseJson(response->body);
  if (!accepted || !accepted->is_object()) {
    std::cerr << response->body << '\n';
    return kExitFailed;
  }
  std::cout << "accepted: " << zone
            << (evacuate ? " is evacuated\n" : " is in use\n");
  if (accepted->value("upstreams", 0) == 0)
    std::cerr << "warning: no upstream is listed in " << zone << '\n';
  return WaitUntilKnown(fleet, zone,
                        accepted->value("number", std::int64_t{0}));
}

int ZoneStatus(fleet_client& fleet) {
  const auto zones = fleet.Get("/v1/admin/zones");
  if (!zones)
    return kExitUnreachable;
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << zones->dump(2) << '\n';
    return 0;
  }
  text_table table({"zone", "evacuated", "since", "upstreams", "complying",
                    "not complying"});
  for (const json& zone : *zones) {
    const std::int64_t since = zone.value("since_unix_ms", std::int64_t{0});
    table.Add({zone.value("zone", ""), zone["evacuated"].dump(),
               since > 0 ? UtcTime(since) : "-", zone["upstreams"].dump(),
               zone["complying"].dump(), Joined(zone["behind"])});
  }
  std::cout << table.ToString();
  return 0;
}

int Drain(fleet_client& fleet) {
  const auto response =
      fleet.Call(cactusward::http::verb::post, "/v1/admin/drain");
  if (!response)
    return kExitUnreachable;
  if (response->status != 200)
    return PrintError(*response);
  std::cout << "draining\n";
  return 0;
}

int Run(const std::vector<std::string>& arguments) {
  fleet_client fleet(absl::GetFlag(FLAGS_instance), OperatorKey());
  const std::string command = arguments.empty() ? "" : arguments[0];
  const std::string subcommand = arguments.size() > 1 ? arguments[1] : "";
  if (command == "config" && subcommand == "get")
    return ConfigGet(fleet);
  if (command == "config" && subcommand == "status")
    return ConfigStatus(fleet);
  if (command == "config" && arguments.size() == 3) {
    if (subcommand == "check")
      return ConfigCheck(fleet, arguments[2]);
    if (subcommand == "diff")
      return ConfigDiff(fleet, arguments[2]);
    if (subcommand == "apply")
      return ConfigApply(fleet, arguments[2]);
  }
  if (command == "zone" && subcommand == "status")
    return ZoneStatus(fleet);
  if (command == "zone" && arguments.size() == 3 &&
      (subcommand == "evacuate" || subcommand == "readmit"))
    return ZoneChange(fleet, arguments[2], subcommand == "evacuate");
  if (command == "fleet")
    return Fleet(fleet);
  if (command == "queues")
    return Queues(fleet);
  if (command == "burn")
    return Burn(fleet);
  if (command == "drain")
    return Drain(fleet);
  std::cerr << kUsage << '\n';
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(kUsage);
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  return Run(
      std::vector<std::string>(positional.begin() + 1, positional.end()));
}
