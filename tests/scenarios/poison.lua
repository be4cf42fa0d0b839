-- A prompt that ends every runner that runs it costs at most two of them, also
-- when its caller sends it again through other instances, and when the port of
-- a runner that ends still takes connections for a while.
local fleet = require("fleet")

local function costs_two(crash_linger_ms)
  local f = fleet.start{ instances = 3, runners = 6, services = 1,
                         runner = { crash_marker = "POISON",
                                    crash_linger_ms = crash_linger_ms } }

  local function runners_lost()
    local lost = 0
    for i = 1, 6 do
      if exited(f.upstreams[i].pid) then lost = lost + 1 end
    end
    return lost
  end

  local neighbours = {}
  for n = 1, 18 do
    local prompt = "innocent neighbour " .. n
    neighbours[n] = { begin(fleet.completion(f.instances[n % 3 + 1].address,
                                             prompt, 250)), prompt }
  end
  sleep(150)
  local poison = begin(fleet.completion(f.instances[1].address, "POISON pill", 8))
  poison = finish(poison)
  check(poison.status ~= 200, "the poisonous request fails")
  check(runners_lost() == 2, "it is tried twice, runners lost: " .. runners_lost())
  for n = 1, 6 do
    local again = call(fleet.completion(f.instances[n % 3 + 1].address,
                                        "POISON pill", 8))
    check(again.json and again.json.error and
          again.json.error.kind == "suspect_refused",
          "instance " .. (n % 3 + 1) .. " refuses the resent request")
  end
  check(runners_lost() == 2, "resending costs no further runner")
  local whole = 0
  for _, n in ipairs(neighbours) do
    local answer = finish(n[1])
    if answer.status == 200 and
       answer.json.choices[1].text == expected(n[2], 250) then
      whole = whole + 1
    else
      note(to_json(answer.json or answer))
    end
  end
  check(whole == 18, "every neighbour gets its whole answer, got " .. whole)
end

costs_two(0)
costs_two(60)
