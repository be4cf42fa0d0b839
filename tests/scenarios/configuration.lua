-- An accepted configuration is in force at every instance within 3 s and is never
-- rolled back; an edit that is invalid or cannot be stored is refused.
local fleet = require("fleet")
local f = fleet.start{ instances = 4, runners = 1, services = 1 }
local propagation_limit_ms = 3000

local function config_with_output_limit(limit)
  return fleet.config(function(c)
    c.defaults.limits = { max_output_tokens = limit }
  end)
end

local function revision(instance)
  return f:status(instance).revision or 0
end

local function in_force_everywhere(number, limit_ms)
  return fleet.wait(limit_ms or propagation_limit_ms, function()
    for _, i in ipairs(f.instances) do
      if i.excluded ~= true and revision(i) < number then return false end
    end
    return true
  end)
end

local function apply(base, limit, instance)
  return f:put_config(config_with_output_limit(limit), base, "op", instance)
end

check(revision(f.instances[1]) == 1, "the first document is revision 1")
local response = apply(1, 100)
check(response.status == 200 and response.json.revision == 2, "an edit is accepted")
check(in_force_everywhere(2), "it is in force everywhere within 3 s")

-- Two operators race from two instances.
local one = begin{ method = "PUT", address = f.instances[1].address,
  path = "/v1/admin/config?base=2&author=one", body = to_json(config_with_output_limit(101)),
  headers = { Authorization = "Bearer " .. fleet.operator_key } }
local two = begin{ method = "PUT", address = f.instances[2].address,
  path = "/v1/admin/config?base=2&author=two", body = to_json(config_with_output_limit(102)),
  headers = { Authorization = "Bearer " .. fleet.operator_key } }
one, two = finish(one), finish(two)
check((one.status == 200) ~= (two.status == 200), "one of two racers wins")
check(one.status == 409 or two.status == 409, "the other is told of a conflict")
check(in_force_everywhere(3), "the winner's document is in force everywhere")

-- The response to the write is lost after the write took effect.
f:platform_fault{ lose_answers = 1 }
response = apply(3, 103)
check(response.status == 200 and response.json.revision == 4,
      "a lost answer is settled by its nonce")
check(in_force_everywhere(4), "and the edit is in force everywhere")

-- An invalid document changes nothing.
response = f:put_config('{"defaults": {"classes": []}, "more": 1}', 4)
check(response.status == 422, "an invalid document is refused")
response = f:put_config(fleet.config(function(c)
  c.exceptions = { { match = { organisation = "svaz" },
                     set = { max_queued = 1 } } }
end), 4)
check(response.status == 422 and response.json.error.detail:find("reason"),
      "an exception without a reason is refused")
check(revision(f.instances[1]) == 4, "a refused document is not in force")

-- An instance that cannot reach the key-value service but can reach its peers.
local store_relay = fleet.address()
local handle = relay(store_relay, f.platform)
local cut_off = f:add_instance{ key_value = store_relay }
f:publish_instances()
check(f:wait_ready(), "the fifth instance joins")
cut(handle, true)
response = apply(4, 104)
check(response.status == 200, "an edit is accepted elsewhere")
check(in_force_everywhere(5), "peers bring it to the instance that is cut off")
check(fleet.ready(cut_off), "an instance that peers inform stays ready")
cut(handle, false)

-- The store returns a stale revision after a newer one.
f:platform_fault{ stale_reads = true }
sleep(3000)
for _, i in ipairs(f.instances) do
  check(revision(i) == 5, i.name .. " does not go back on a stale answer")
end
f:platform_fault{ stale_reads = false }

-- A new instance gets the configuration from peers during a store outage.
f:platform_fault{ down = true }
local fresh = f:add_instance{ seed_peers = { f.instances[1].peer } }
check(fleet.wait(5000, function() return revision(fresh) == 5 end),
      "a fresh instance learns the configuration from peers in an outage")
response = apply(5, 105)
check(response.status ~= 200, "no edit is accepted in an outage")
for _, i in ipairs(f.instances) do
  check(revision(i) == 5, i.name .. " keeps the revision in an outage")
end
f:platform_fault{ down = false }

-- All instances restart.
for _, i in ipairs(f.instances) do signal(i.pid, "KILL") end
for _, i in ipairs(f.instances) do f:restart(i) end
f:publish_instances()
check(in_force_everywhere(5, 8000), "after a restart of all the revision is kept")

-- An instance that can reach neither the store nor its peers.
local isolated_store, isolated_peer = fleet.address(), fleet.address()
local store_handle = relay(isolated_store, f.platform)
local isolated = f:add_instance{ key_value = isolated_store,
                                 advertise = isolated_peer }
local peer_handle = relay(isolated_peer, isolated.listen_peer)
f:publish_instances()
check(fleet.wait(8000, function() return fleet.ready(isolated) and
      f:status(isolated).live_members == #f.instances end),
      "the instance joins before it is isolated")
cut(store_handle, true)
cut(peer_handle, true)
check(fleet.wait(8000, function() return not fleet.ready(isolated) end),
      "an isolated instance is not ready")
local refused = call(fleet.completion(isolated.address, "hello"))
check(refused.status == 503 and refused.json.error.was_run == "no",
      "and refuses requests, not run")
cut(store_handle, false)
cut(peer_handle, false)
check(fleet.wait(8000, function() return fleet.ready(isolated) end),
      "it is ready again when the cut ends")
