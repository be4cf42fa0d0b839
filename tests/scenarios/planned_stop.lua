-- Guards against requests that get no response, or only a part of one, because the
-- instance that handles them exits at the end of a graceful shutdown.
local fleet = require("fleet")
local f = fleet.start{ instances = 1, runners = 1, services = 1,
                       runner = { time_scale = 1 },
                       service = { run_time_ms = 8000 },
                       instance = { drain_grace_ms = 500, drain_limit_ms = 3000 } }
local instance = f.instances[1]
local prompt = string.rep("route note ", 400)
-- More tokens than the engine generates until the exit.
local kTokens = 3000

local sent = {
  { "a completion", begin(fleet.completion(instance.address, prompt, kTokens)), 502 },
  { "a call", begin(fleet.post(instance.address,
                               "/v1/services/objednavky/stock", "milk")), 502 },
  { "a booking", begin(fleet.booking(instance.address, "pallet-1")), 502 },
}
local streamed = begin(fleet.completion(instance.address, prompt, kTokens,
                                        { stream = true }))
sleep(400)
signal(instance.pid, "TERM")
sleep(100)
signal(instance.pid, "TERM")
sent[#sent + 1] = { "a completion after the signal",
                    begin(fleet.completion(instance.address, prompt, kTokens)), 502 }
sleep(600)
sent[#sent + 1] = { "a call after the grace",
                    begin(fleet.post(instance.address,
                                     "/v1/services/objednavky/stock", "salt")), 503 }
for _, s in ipairs(sent) do
  local response = finish(s[2])
  check(response.status == s[3],
        s[1] .. " has a response, " .. to_json(response))
  check(response.json and response.json.error, s[1] .. " says what became of it")
end
local response = finish(streamed)
check(response.status == 200, "the stream began")
check(response.body:find('"error"'), "a stream ends with an error event")
check(not response.body:find("data: %[DONE%]"), "it does not look complete")
check(fleet.wait(3000, function() return exited(instance.pid) == 0 end),
      "the instance exits in time")
