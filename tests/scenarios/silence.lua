-- An upstream that falls silent and goes on completes the answers it has begun;
-- only new requests go elsewhere.
local fleet = require("fleet")
local f = fleet.start{ instances = 1, runners = 1, services = 1,
  service = { run_time_ms = 500 },
  config = fleet.config(function(c)
    c.services[2].calls[2].time_limit_ms = 20000
  end) }
local instance, runner, service = f.instances[1], f.upstreams[1], f.upstreams[2]
-- Longer than the probes take that find an upstream unreachable.
local silence_ms = 4500

local function runs(upstream)
  local count = 0
  for _, n in pairs(fleet.record(upstream).runs) do count = count + n end
  return count
end

local function accepts(upstream)
  for _, u in ipairs(fleet.admin("GET", instance.address,
                                 "upstreams?scope=instance").json or {}) do
    if u.address == upstream.address then return u.accepting end
  end
end

local function text_of(body)
  local text = ""
  for token in (body or ""):gmatch('"text":"([^"]*)"') do text = text .. token end
  return text
end

local stream = begin(fleet.completion(instance.address, "go on", 3000,
                                      { stream = true }))
local booking = begin(fleet.booking(instance.address, "go on"))
check(fleet.wait(2000, function()
  return runs(runner) == 1 and runs(service) == 1
end), "both upstreams run a request")
signal(runner.pid, "STOP")
signal(service.pid, "STOP")
sleep(silence_ms)
check(accepts(runner) == false, "a silent runner gets no new requests")
check(accepts(service) == false, "a silent service gets no new requests")
signal(runner.pid, "CONT")
signal(service.pid, "CONT")
stream, booking = finish(stream), finish(booking)
check(stream.status == 200 and text_of(stream.body) == expected("go on", 3000),
      "a stream goes on after its runner's silence")
check(stream.body and stream.body:find("data: %[DONE%]"), "and is complete")
check(runs(runner) == 1, "it was run once")
check(booking.status == 200, "a booking is answered after its service's silence")
check(runs(service) == 1, "it was run once")
check(fleet.wait(2000, function() return accepts(runner) and accepts(service) end),
      "upstreams that go on get new requests")
