-- Compares the routing policies on the same seeded arrivals with stand-in runners.
-- options: "mix=svaz load=0.7 seconds=20 policies=first_token,... zones=3"
package.path = package.path:gsub("benchmark", "tests/scenarios")
local fleet = require("fleet")

local option = { mix = "svaz", load = "0.7", seconds = "20", scale = "0.2",
  policies = "round_robin,least_requests,least_tokens,size_interval,first_token",
  alone = "yes", lost_zone = "no", long_share = "1.0", candidates = "4",
  priorities = "true" }
for name, value in options:gmatch("(%S+)=(%S+)") do option[name] = value end
local scale = tonumber(option.scale)
local runners = option.mix == "svaz" and 24 or 16
local model = option.mix == "svaz" and "poradna" or "draft-model"
local plain = option.mix == "svaz" and "objednavky" or "errata-desk"
local calls = option.mix == "svaz" and { "stock", "book" } or { "status", "issue" }
-- 512 prompt tokens take 8 + 25.6 modelled ms.
local rate_per_runner = 512 / 0.0336 / scale

local function scaled(ms) return math.floor(ms * scale) end

local function config(policy)
  return { defaults = {
      classes = {
        { name = "short", max_prompt_tokens = 4096,
          first_token_ms = scaled(960), time_limit_ms = scaled(30000) },
        { name = "medium", max_prompt_tokens = 65536,
          first_token_ms = scaled(6000), time_limit_ms = scaled(120000) },
        { name = "long", max_prompt_tokens = 1000000,
          first_token_ms = scaled(120000), time_limit_ms = scaled(600000),
          long = true } },
      organisation = { max_concurrent = 100000, max_queued = 100000,
                       tokens_per_second = 1000000000 },
      routing = { policy = policy, long_share = tonumber(option.long_share),
                  candidates = tonumber(option.candidates),
                  max_in_flight = 1000 } },
    organisations = { { name = "svaz", key_sha256 = sha256(fleet.key) } },
    services = {
      { name = model, model = model,
        prefill_tokens_per_second = math.floor(rate_per_runner) },
      { name = plain, kind = "plain", calls = {
          { name = calls[1] }, { name = calls[2], repeatable = false } } } },
    objectives = { { class = "short", target = 0.95 } } }
end

local function run(policy, only)
  local f = fleet.start{ instances = 0, runners = 0, services = 0, wait = false }
  local per_zone = runners / 3
  local zones = {}
  for z, zone in ipairs{ "brno", "olomouc", "zlin" } do
    local count = z == 3 and runners - 2 * math.floor(per_zone) or math.floor(per_zone)
    local first = fleet.address()
    for _ = 2, count do fleet.address() end
    zones[z] = start("runners-" .. zone, { "cactusward_standin", "--role=runner",
      "--port=" .. fleet.port_of(first), "--count=" .. count,
      "--time_scale=" .. scale, "--report_lag_ms=" .. scaled(500),
      "--priorities=" .. option.priorities })
    for n = 0, count - 1 do
      f.upstreams[#f.upstreams + 1] = { service = model, zone = zone,
        address = "127.0.0.1:" .. math.floor(tonumber(fleet.port_of(first)) + n) }
    end
  end
  local service = f:add_service{}
  service.service = plain
  local names = { "brno", "olomouc", "zlin" }
  for i = 1, 8 do f:add_instance{ zone = names[i % 3 + 1] } end
  f:publish_instances()
  fleet.wait(5000, function()
    return f:put_config(config(policy)).status == 200
  end)
  check(f:wait_ready(20000), "the fleet is ready for " .. policy)
  local targets = {}
  for _, i in ipairs(f.instances) do targets[#targets + 1] = i.address end
  local name = "load-" .. policy .. (only and "-alone" or "")
  local arguments = { "cactusward_load", "--targets=" .. table.concat(targets, ","),
    "--key=" .. fleet.key, "--mix=" .. option.mix, "--load=" .. option.load,
    "--capacity=" .. math.floor(rate_per_runner * runners),
    "--seconds=" .. option.seconds, "--seed=" .. seed, "--json" }
  if only then arguments[#arguments + 1] = "--only=" .. only end
  local log = work .. "/" .. name .. ".log"
  write_file(log, "")
  local started_at = now()
  local pid = start(name, arguments)
  local third_ms = tonumber(option.seconds) * 1000 / 3
  local killed = false
  fleet.wait(600000, function()
    if option.lost_zone == "yes" and not killed and now() - started_at > third_ms then
      signal(zones[3], "KILL")
      killed = true
    end
    return exited(pid)
  end)
  local text = read_file(log)
  local report = from_json(text:sub((text:find("{\n"))))
  local processed = 0
  for _, u in ipairs(f.upstreams) do
    if u.service == model then
      local record = call{ address = u.address, path = "/record",
                           timeout_ms = 500 }
      processed = processed + (record.json and record.json.processed_tokens or 0)
    end
  end
  for _, i in ipairs(f.instances) do signal(i.pid, "KILL") end
  for _, z in ipairs(zones) do signal(z, "KILL") end
  signal(service.pid, "KILL")
  report.processed = processed
  return report
end

local short = option.mix == "svaz" and "route_check" or "short_draft"
local medium = option.mix == "svaz" and "contract_read" or "chapter_draft"
local long = option.mix == "svaz" and "season_summary" or "volume_review"
local function print_report(name, r)
  local function k(kind) return r.kinds[kind] end
  local useful_tokens, not_ok = 0, 0
  for _, kind in pairs(r.kinds) do
    useful_tokens = useful_tokens + (kind.prompt_tokens or 0)
    for status, count in pairs(kind.statuses) do
      if status ~= "ok" then not_ok = not_ok + count end
    end
  end
  note(string.format(
    "%-15s short %6.0f %6.0f %6.0f  medium %7.0f %7.0f  long %7.0f %7.0f  "
    .. "gap95 %5.1f  ok %d/%d/%d  not ok %d  lost/wrong %d  wasted %4.1f%%", name,
    k(short).first_token_ms.p50 / scale, k(short).first_token_ms.p95 / scale,
    k(short).first_token_ms.p99 / scale, k(medium).first_token_ms.p50 / scale,
    k(medium).first_token_ms.p99 / scale, k(long).first_token_ms.p50 / scale,
    k(long).first_token_ms.p99 / scale, k(short).between_tokens_ms.p95 / scale,
    k(short).ok, k(medium).ok, k(long).ok, not_ok, r.lost_or_wrong,
    100 * math.max(0, 1 - useful_tokens / math.max(1, r.processed))))
  return k(short).first_token_ms.p99 / scale
end

note(string.format("mix %s, %d runners, load %s, %s s, seed %d, scale %s; "
  .. "first tokens in modelled ms: p50 p95 p99 (medium, long: p50 p99)",
  option.mix, runners, option.load, option.seconds, seed, option.scale))
local short_only
if option.alone == "yes" then
  short_only = print_report("shorts alone", run("first_token", short))
end
local p99_by_policy = {}
for policy in option.policies:gmatch("[^,]+") do
  p99_by_policy[policy] = print_report(policy, run(policy))
end
if short_only and p99_by_policy.first_token then
  note(string.format("first_token p99 of shorts over shorts alone: %.2f",
                     p99_by_policy.first_token / short_only))
  if p99_by_policy.round_robin then
    note(string.format("round_robin over first_token: %.1f",
                       p99_by_policy.round_robin / p99_by_policy.first_token))
  end
end
