-- The key-value service comes back from an older copy: what it forgot stays in
-- force, is stored again, and can be changed.
local fleet = require("fleet")
local f = fleet.start{ instances = 2, runners = 1, services = 1 }

local function config_with_output_limit(limit)
  return fleet.config(function(c)
    c.defaults.limits = { max_output_tokens = limit }
  end)
end

local function in_force_everywhere(number)
  return fleet.wait(3000, function()
    for _, i in ipairs(f.instances) do
      if f:status(i).revision ~= number then return false end
    end
    return true
  end)
end

local function edit(base, limit)
  return f:put_config(config_with_output_limit(limit), base)
end

check(edit(1, 100).status == 200, "an edit is accepted")
f:platform_fault{ save = true }
check(edit(2, 101).status == 200, "a second edit is accepted")
check(edit(3, 102).status == 200, "a third edit is accepted")
check(in_force_everywhere(4), "it is in force everywhere")
f:platform_fault{ down = true }
sleep(1000)
f:platform_fault{ down = false, restore = true }
sleep(3000)
check(in_force_everywhere(4), "a forgotten revision stays in force")
check(edit(2, 103).status == 409, "an edit based on an older one is refused")
check(edit(4, 104).status == 200, "an edit based on it is accepted")
check(in_force_everywhere(5), "and in force everywhere")

-- All instances restart after the service forgot again.
f:platform_fault{ down = true }
sleep(500)
f:platform_fault{ down = false, restore = true }
sleep(3000)
for _, i in ipairs(f.instances) do signal(i.pid, "KILL") end
for _, i in ipairs(f.instances) do f:restart(i) end
check(f:wait_ready(), "the instances come back")
check(in_force_everywhere(5), "a forgotten revision survives a restart of all")
