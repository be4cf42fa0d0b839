-- Overhead of an instance: the same load through an instance and directly to
-- stand-in runners.
-- options: "rate=2000 seconds=6 streams=400"
package.path = package.path .. ";" ..
    package.path:gsub("benchmark", "tests/scenarios")
local fleet = require("fleet")
local measure = require("measure")
local rate = tonumber(options:match("rate=(%d+)") or 1000)
local seconds = tonumber(options:match("seconds=(%d+)") or 6)
local streams = tonumber(options:match("streams=(%d+)") or 400)

local f = fleet.start{ instances = 1, runners = 0, services = 0, wait = false }
local runner_addresses = {}
for n = 1, 4 do
  local r = f:add_runner{ time_scale = 0.001 }
  runner_addresses[n] = r.address
end
f:add_service{ run_time_ms = 0 }
f:publish_instances()
f:put_config(fleet.config(function(c)
  c.services[1].prefill_tokens_per_second = 100000000
  c.defaults.routing = { max_in_flight = 10000 }
  c.defaults.organisation = { max_concurrent = 100000, max_queued = 10000,
                              tokens_per_second = 1000000000 }
end), 1)
check(f:wait_ready(), "the instance is ready")
local instance = f.instances[1]

local function load(name, targets)
  return measure.load(name, { "--targets=" .. targets, "--key=" .. fleet.key,
    "--mix=svaz", "--only=route_check", "--rate=" .. rate / 0.72,
    "--seconds=" .. seconds, "--seed=" .. seed }).kinds.route_check
end
local direct = load("direct", table.concat(runner_addresses, ","))
local before = measure.cpu_ms(instance.pid)
local proxied = load("through", instance.address)
local cpu = measure.cpu_ms(instance.pid) - before
check(direct.ok > 0 and proxied.ok > 0, "both loads are answered")
note(string.format("%d completions of about 2,000 prompt tokens and 40 output tokens a second",
                   rate))
note(string.format("first token direct p50 %.2f p99 %.2f ms, through p50 %.2f p99 %.2f ms",
  direct.first_token_ms.p50, direct.first_token_ms.p99,
  proxied.first_token_ms.p50, proxied.first_token_ms.p99))
note(string.format("added p50 %.2f ms, p99 %.2f ms; not ok %d of %d",
  proxied.first_token_ms.p50 - direct.first_token_ms.p50,
  proxied.first_token_ms.p99 - direct.first_token_ms.p99,
  direct.ok - proxied.ok, direct.ok))
note(string.format("processor time %.0f us a completion: %.0f completions/s a core",
  cpu * 1000 / proxied.ok, proxied.ok / cpu * 1000))

-- Plain calls, the cheapest requests.
before = measure.cpu_ms(instance.pid)
local calls = measure.load("calls", { "--targets=" .. instance.address,
  "--key=" .. fleet.key, "--mix=svaz", "--only=stock_read",
  "--rate=" .. rate / 0.06, "--seconds=" .. seconds,
  "--seed=" .. seed }).kinds.stock_read
cpu = measure.cpu_ms(instance.pid) - before
note(string.format("plain calls: p50 %.2f p99 %.2f ms, %.0f us each: %.0f calls/s a core",
  calls.first_token_ms.p50, calls.first_token_ms.p99, cpu * 1000 / calls.ok,
  calls.ok / cpu * 1000))

-- Memory per open stream that waits for its next token.
local slow = f:add_runner{ time_scale = 200 }
for i = 1, 4 do f.upstreams[i].unlisted = true end
for i = 1, 4 do table.remove(f.upstreams, 1) end
f:publish_instances()
sleep(1500)
check(f:wait_ready(), "only the slow runner is listed")
local rss = measure.rss_kib(instance.pid)
local handles = {}
for n = 1, streams do
  handles[n] = begin(fleet.completion(instance.address, "open " .. n, 100,
                                      { stream = true }))
end
sleep(2500)
local open = f:status(instance).in_flight
local growth_kib = measure.rss_kib(instance.pid) - rss
note(string.format("%d open streams take %.1f KiB each", open, growth_kib / open))
