-- CPU time, memory and control traffic of an idle instance in fleets of 3 to 60.
-- options: "sizes=3,9,20,40,60 seconds=10 settle=25"
package.path = package.path .. ";" ..
    package.path:gsub("benchmark", "tests/scenarios")
local fleet = require("fleet")
local measure = require("measure")
local sizes = options:match("sizes=(%S+)") or "3,9,20,40,60"
local settle_s = tonumber(options:match("settle=(%d+)") or 25)
local seconds = tonumber(options:match("seconds=(%d+)") or 10)

note("instances  cpu %  RSS MiB  gossip sent B/s  received B/s  store calls/s"
     .. "  (a mean over instances; 24 runners, 3 services)")
for size in sizes:gmatch("%d+") do
  size = tonumber(size)
  local f = fleet.start{ instances = 0, runners = 0, services = 0 }
  local first = fleet.address()
  for _ = 2, 24 do fleet.address() end
  local runners = start("runners", { "cactusward_standin", "--role=runner",
    "--port=" .. fleet.port_of(first), "--count=24" })
  for n = 0, 23 do
    f.upstreams[#f.upstreams + 1] = { service = "poradna", zone = "brno",
      address = "127.0.0.1:" .. math.floor(fleet.port_of(first) + n) }
  end
  for _ = 1, 3 do f:add_service{} end
  for _ = 1, size do f:add_instance{} end
  f:publish_instances()
  fleet.wait(5000, function() return f:put_config(fleet.config()).status == 200 end)
  check(f:wait_ready(60000), size .. " instances are ready")
  -- Gossip about many simultaneous joins takes a while to spread.
  sleep(settle_s * 1000)
  local function totals()
    local t = { cpu = 0, rss = 0, sent = 0, received = 0, calls = 0, at = now() }
    for _, i in ipairs(f.instances) do
      t.cpu = t.cpu + measure.cpu_ms(i.pid)
      t.rss = t.rss + measure.rss_kib(i.pid)
      t.sent = t.sent + measure.metric(i, "cactusward_gossip_sent_bytes")
      t.received = t.received + measure.metric(i, "cactusward_gossip_received_bytes")
      t.calls = t.calls + measure.metric(i, "cactusward_store_calls")
    end
    return t
  end
  local before = totals()
  sleep(seconds * 1000)
  local after = totals()
  local elapsed_s = (after.at - before.at) / 1000
  local function rate(field)
    return (after[field] - before[field]) / elapsed_s / size
  end
  note(string.format("%9d  %5.2f  %7.1f  %15.0f  %12.0f  %13.2f", size,
    rate("cpu") / 10, after.rss / size / 1024, rate("sent"), rate("received"),
    rate("calls")))
  for _, i in ipairs(f.instances) do signal(i.pid, "KILL") end
  for _, u in ipairs(f.upstreams) do if u.pid then signal(u.pid, "KILL") end end
  signal(runners, "KILL")
end
