-- A prompt that crashes every runner that executes it crashes at most two, also
-- when its caller resends it through other instances, and when the port of a
-- crashed runner still accepts connections for a while.
local fleet = require("fleet")

local function verify_crash_limit(crash_linger_ms)
  local f = fleet.start{ instances = 3, runners = 6, services = 1,
                         runner = { crash_marker = "POISON",
                                    crash_linger_ms = crash_linger_ms } }

  local function crashed_runners()
    local crashed = 0
    for i = 1, 6 do
      if exited(f.upstreams[i].pid) then crashed = crashed + 1 end
    end
    return crashed
  end

  local concurrent = {}
  for n = 1, 18 do
    local prompt = "innocent neighbour " .. n
    concurrent[n] = { begin(fleet.completion(f.instances[n % 3 + 1].address,
                                             prompt, 250)), prompt }
  end
  sleep(150)
  local poison = begin(fleet.completion(f.instances[1].address, "POISON pill", 8))
  poison = finish(poison)
  check(poison.status ~= 200, "the poisonous request fails")
  check(crashed_runners() == 2, "it is tried twice, runners lost: " .. crashed_runners())
  for n = 1, 6 do
    local again = call(fleet.completion(f.instances[n % 3 + 1].address,
                                        "POISON pill", 8))
    check(again.json and again.json.error and
          again.json.error.kind == "suspect_refused",
          "instance " .. (n % 3 + 1) .. " refuses the resent request")
  end
  check(crashed_runners() == 2, "resending costs no further runner")
  local complete = 0
  for _, n in ipairs(concurrent) do
    local response = finish(n[1])
    if response.status == 200 and
       response.json.choices[1].text == expected(n[2], 250) then
      complete = complete + 1
    else
      note(to_json(response.json or response))
    end
  end
  check(complete == 18, "every neighbour gets its whole answer, got " .. complete)
end

verify_crash_limit(0)
verify_crash_limit(60)
