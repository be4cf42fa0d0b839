-- Failure detection: crashed, paused, partitioned, replaced and leaving instances.
local fleet = require("fleet")
local f = fleet.start{ instances = 5, runners = 1, services = 1 }
local a = f.instances[1]

local function state_of(observer, name)
  for _, m in ipairs(fleet.admin("GET", observer.address, "members").json or {}) do
    if m.instance == name then return m.state, m.incarnation end
  end
  return "unknown", 0
end

local function all_report(name, state, limit_ms)
  return fleet.wait(limit_ms, function()
    for _, i in ipairs(f.instances) do
      if i.name ~= name and state_of(i, name) ~= state then return false end
    end
    return true
  end)
end

-- A killed instance is marked dead by all others, and its successor joins with a
-- higher incarnation.
local killed = f.instances[5]
local _, before = state_of(a, killed.name)
signal(killed.pid, "KILL")
check(all_report(killed.name, "dead", 6000), "a killed instance is dead everywhere")
f:restart(killed)
check(all_report(killed.name, "alive", 6000), "its successor is alive everywhere")
local _, after = state_of(a, killed.name)
check(after > before, "its successor has a higher incarnation")

-- A paused process is marked dead; it refutes that when it resumes.
signal(killed.pid, "STOP")
check(all_report(killed.name, "dead", 6000), "a stopped instance is dead everywhere")
signal(killed.pid, "CONT")
check(all_report(killed.name, "alive", 8000), "it is alive again after waking")

-- An instance behind a relay is cut off from its peers, then reconnected.
local advertised = fleet.address()
local relayed = f:add_instance{ advertise = advertised }
local handle = relay(advertised, relayed.listen_peer)
f:publish_instances()
check(all_report(relayed.name, "alive", 6000), "an instance behind a relay joins")
cut(handle, true)
check(all_report(relayed.name, "dead", 8000), "an instance that is cut off is dead")
cut(handle, false)
check(all_report(relayed.name, "alive", 8000), "it is alive when the cut ends")

-- Datagrams and calls without the shared secret change nothing.
local stranger = f:add_instance{ name = "stranger",
                                 peer_secret = "another-secret-altogether" }
f.instances[#f.instances] = nil
sleep(2000)
for _, i in ipairs(f.instances) do
  check(state_of(i, "stranger") == "unknown",
        i.name .. " does not take in a stranger")
end

-- A graceful shutdown is announced immediately.
signal(relayed.pid, "TERM")
check(all_report(relayed.name, "left", 3000), "an instance that leaves has left")
