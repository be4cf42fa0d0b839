-- Claims batched at the owner of their bucket, compared with one store write per
-- claim.
-- options: "rate=2000 seconds=6 instances=8 buckets=1 writes=290"
package.path = package.path .. ";" ..
    package.path:gsub("benchmark", "tests/scenarios")
local fleet = require("fleet")
local measure = require("measure")
local function option(name, default)
  return tonumber(options:match(name .. "=(%d+)") or default)
end
local rate, seconds = option("rate", 2000), option("seconds", 6)
local instances = option("instances", 8)

local function run(name, buckets, writes)
  local f = fleet.start{ instances = instances, runners = 1, services = 2,
    service = { run_time_ms = 1 }, config = fleet.config(function(c)
      c.defaults.recovery.claim_buckets = buckets
      c.defaults.recovery.claim_writes_per_second = writes
      c.defaults.organisation = { max_concurrent = 100000, max_queued = 100000,
                                  tokens_per_second = 1000000000 }
    end) }
  local targets = {}
  for _, i in ipairs(f.instances) do targets[#targets + 1] = i.address end
  targets = table.concat(targets, ",")
  local function load(kind, share)
    return measure.load(name .. "-" .. kind, { "--targets=" .. targets,
      "--key=" .. fleet.key, "--mix=svaz", "--only=" .. kind,
      "--rate=" .. rate / share, "--seconds=" .. seconds,
      "--seed=" .. seed }).kinds[kind]
  end
  local plain = load("stock_read", 0.06)
  local before = f:platform_fault{}
  local started_at = now()
  local claimed = load("pallet_booking", 0.05)
  local after = f:platform_fault{}
  local elapsed_s = (now() - started_at) / 1000
  local statuses = to_json(claimed.statuses)
  note(string.format(
    "%-24s %5.0f claims/s  p50 %6.2f  p99 %6.2f ms, added p50 %6.2f  p99 %6.2f ms"
    .. "  store %5.0f writes/s %5.0f reads/s  %s", name,
    claimed.ok / seconds, claimed.end_ms.p50, claimed.end_ms.p99,
    claimed.end_ms.p50 - plain.end_ms.p50, claimed.end_ms.p99 - plain.end_ms.p99,
    (after.writes - before.writes) / elapsed_s, (after.reads - before.reads) / elapsed_s,
    statuses))
  for _, i in ipairs(f.instances) do signal(i.pid, "KILL") end
  for _, u in ipairs(f.upstreams) do signal(u.pid, "KILL") end
end

note(string.format("%d bookings/s for %d s at %d instances", rate, seconds,
                   instances))
run("a write for each claim", 0, 250)
run(option("buckets", 1) .. " bucket(s)", option("buckets", 1),
    option("writes", 290))
check(true, "measured")
