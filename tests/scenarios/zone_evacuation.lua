-- Nothing is sent to an evacuated zone, also by an instance that starts during an
-- outage of the key-value service, after it is restored from an older copy, and
-- after a restart of all instances; readmission ends that.
local fleet = require("fleet")
local kEvacuationMs = 5000  -- from the acknowledgement
local f = fleet.start{ instances = 1, runners = 2, services = 1, wait = false }
-- An instance prefers upstreams of its own zone. One of these gets the list of upstreams
-- from another process, which answers during the outage.
local zlin = f:add_runner{ zone = "zlin" }
local lists = fleet.address()
start("lists", { "cactusward_standin", "--role=platform", "--port=" .. fleet.port_of(lists) })
local asked = f.instances[1]
local stopped = f:add_instance{ zone = "zlin" }
local neighbour = f:add_instance{ zone = "zlin", instance_list = lists }
f:publish_instances()
check(fleet.wait(5000, function()
  local list = call{ address = f.platform, path = "/v1/instances" }.body
  return list:find(zlin.address, 1, true) and
         call{ method = "PUT", address = lists, path = "/v1/instances",
               body = list }.status == 200
end), "the list is published")
check(f:wait_ready(), "the fleet becomes ready")

local function change(method, zone)
  return fleet.admin(method, asked.address, "zones/" .. zone .. "/evacuation")
end
local function zone_status(zone)
  for _, z in ipairs(fleet.admin("GET", asked.address, "zones").json or {}) do
    if z.zone == zone then return z end
  end
  return { behind = {} }
end
local function in_force(zone, evacuated, instances)
  return fleet.wait(kEvacuationMs, function()
    local z = zone_status(zone)
    return z.evacuated == evacuated and z.complying == instances and #z.behind == 0
  end)
end

-- Sends requests to all instances. Returns how many were served, and how many of
-- them ran in zlin.
local sent = 0
local function runs_in_zlin()
  local ran = 0
  for _ in pairs(fleet.record(zlin).runs) do ran = ran + 1 end
  return ran
end
local function send_requests(count)
  local handles, before, served = {}, runs_in_zlin(), 0
  for n = 1, count do
    sent = sent + 1
    local i = f.instances[n % #f.instances + 1]
    handles[n] = begin(fleet.completion(i.address, "zone " .. sent, 4))
  end
  for _, h in ipairs(handles) do
    local response = finish(h)
    if response.status == 200 then
      served = served + 1
    else
      note(to_json(response))
    end
  end
  return served, runs_in_zlin() - before
end
local function check_avoided(when)
  local served, in_zlin = send_requests(60)
  check(served == 60, "all requests are served " .. when .. ", " .. served)
  check(in_zlin == 0, "none of them in the evacuated zone " .. when .. ", " .. in_zlin)
end

send_requests(60)
check(runs_in_zlin() > 0, "the zone is used before")
f:platform_fault{ save = true }

-- A request that runs in the zone finishes; one instance is stopped meanwhile.
local running = {}
for n = 1, 30 do
  running[n] = begin(fleet.completion(neighbour.address, "running " .. n, 400))
end
signal(stopped.pid, "STOP")
local accepted = change("PUT", "zlin")
check(accepted.status == 200 and accepted.json.upstreams == 1, "an evacuation is accepted")
check(not in_force("zlin", true, 3), "the status names an instance that does not comply")
local behind = zone_status("zlin").behind
check(#behind == 1 and behind[1] == stopped.name, "it is the stopped one")
local before, resumed = runs_in_zlin(), {}
signal(stopped.pid, "CONT")
for n = 1, 20 do
  resumed[n] = begin(fleet.completion(stopped.address, "resumed " .. n, 4))
end
for _, h in ipairs(resumed) do finish(h) end
check(runs_in_zlin() == before, "an instance that resumes does not use the zone")
check(in_force("zlin", true, 3), "all instances comply")
local finished = 0
for _, h in ipairs(running) do
  if finish(h).status == 200 then finished = finished + 1 end
end
check(finished == 30, "requests that were running finish, " .. finished)
check_avoided("afterwards")

f:platform_fault{ down = true }
sleep(500)
check(change("DELETE", "zlin").status == 503, "no readmission is accepted in an outage")
signal(neighbour.pid, "KILL")
f:restart(neighbour)
check(fleet.wait(10000, function()
  local upstreams = fleet.admin("GET", neighbour.address, "upstreams?scope=instance").json
  return fleet.ready(neighbour) and #(upstreams or {}) == #f.upstreams
end), "an instance starts in the outage")
check_avoided("in the outage")

f:platform_fault{ down = false, restore = true }
sleep(3000)
check_avoided("after the service came back from a copy")
for _, i in ipairs(f.instances) do signal(i.pid, "KILL") end
for _, i in ipairs(f.instances) do f:restart(i) end
check(fleet.wait(10000, function()
  for _, i in ipairs(f.instances) do
    if not fleet.ready(i) then return false end
  end
  return true
end), "all instances restart")
check_avoided("after a restart of all")

-- All upstreams of the services are in evacuated zones.
check(change("PUT", "brno").status == 200, "another zone is evacuated")
check(in_force("brno", true, 3), "it is in force")
local began = now()
local refused = call(fleet.completion(f.instances[2].address, "refused", 4))
check(refused.status == 503 and refused.json.error.kind == "no_upstream",
      "a request without an upstream is refused")
check(now() - began < 500, "at once")

check(change("DELETE", "zlin").status == 200, "a readmission is accepted")
check(in_force("zlin", false, 3), "it is in force")
local served, in_zlin = send_requests(30)
check(served == 30 and in_zlin == 30, "the zone is used again, " .. in_zlin)
check(change("DELETE", "brno").status == 200, "the other zone is readmitted")
check(change("PUT", "ostrava").json.upstreams == 0, "a zone without upstreams is accepted")
check(change("PUT", "a%2Fb").status == 400, "an invalid name is not")
