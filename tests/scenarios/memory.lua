-- Runners free KV memory after callers disconnect and instances are killed.
local fleet = require("fleet")
local f = fleet.start{ instances = 3, runners = 2, services = 1 }
local prompt = string.rep("a long contract ", 2000)

local function used_kv_tokens()
  local used = 0
  for i = 1, 2 do used = used + fleet.record(f.upstreams[i]).kv_used_tokens end
  return used
end

-- Callers disconnect before any part of the response is written.
local short_calls = {}
for n = 1, 6 do
  local request = fleet.completion(f.instances[n % 3 + 1].address,
                                   prompt .. "hang up " .. n, 8000)
  request.timeout_ms = 500
  short_calls[n] = begin(request)
end
sleep(300)
check(used_kv_tokens() > 0, "the runners hold memory for impatient callers")
for _, h in ipairs(short_calls) do
  check(finish(h).error ~= nil, "the caller gave up")
end
check(fleet.wait(3000, function() return used_kv_tokens() == 0 end),
      "no runner keeps memory after hang-ups")

local handles = {}
for n = 1, 12 do
  local request = fleet.completion(f.instances[n % 3 + 1].address,
                                   prompt .. n, 3000, { stream = true })
  request.timeout_ms = n % 2 == 0 and 400 or 20000
  handles[n] = begin(request)
end
sleep(300)
check(used_kv_tokens() > 0, "the runners hold memory for the requests")
signal(f.instances[1].pid, "KILL")
signal(f.instances[2].pid, "STOP")
sleep(1000)
signal(f.instances[2].pid, "KILL")
signal(f.instances[3].pid, "KILL")
for _, h in ipairs(handles) do finish(h) end
check(fleet.wait(3000, function() return used_kv_tokens() == 0 end),
      "no runner keeps memory after hang-ups and kills")
