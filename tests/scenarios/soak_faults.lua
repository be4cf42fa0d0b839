-- Faults of the soak, each with its end, drawn from the scenario's seed.
local function any(list) return list[math.random(#list)] end

-- Precondition: `f` is a fleet of platform_fleet.lua.
return function(f)
local faults = { any = any, version = 1, killed = {}, stopped = {} }

-- When something disturbed a target: {from, to}.
local spans = setmetatable({}, { __mode = "k" })
local function disturb(target, ms)
  spans[target] = spans[target] or {}
  table.insert(spans[target], { now(), now() + ms })
end
function faults.disturbed(target, from, to)
  for _, span in ipairs(spans[target] or {}) do
    if span[1] <= (to or now()) and span[2] >= from then return true end
  end
  return false
end

local undo = {}  -- faults in force: {at, action}
local function later(ms, action) undo[#undo + 1] = { now() + ms, action } end

local function pause(process)
  if process.paused or process.down then return end
  local ms = math.random(100, 2500)
  signal(process.pid, "STOP")
  process.paused = true
  disturb(process, ms + 500)
  local pid = process.pid
  later(ms, function()
    signal(pid, "CONT")
    if process.pid == pid then process.paused = false end
    disturb(process, 500)
  end)
end

function faults.restart_later(process, ms)
  process.down = true
  later(ms, function()
    f:start(process)
    process.down, process.stopping = false, nil
  end)
end

function faults.kill(process)
  if process.down then return end
  faults.killed[process.pid] = true
  disturb(process, 3000)
  signal(process.pid, "KILL")
  faults.restart_later(process, math.random(50, 1500))
end

local function damage(handle, owner)
  local ms = math.random(100, 2500)
  local cuts = { { cut = "to_target" }, { cut = "to_caller" },
                 { delay_ms = math.random(5, 200) }, { refuse = true } }
  local kind = any(cuts)
  fault(handle, kind)
  if math.random(3) == 1 then reset(handle) end
  disturb(owner, ms + 1000)
  later(ms, function() fault(handle, {}); disturb(owner, 1000) end)
  return to_json(kind)
end

-- What is to be told to the store, in order, once it is not paused.
local for_store = {}
local function with_store(action) for_store[#for_store + 1] = action end
local function tell_store()
  while #for_store > 0 and not f.store.paused do table.remove(for_store, 1)() end
end

local function change_config()
  with_store(function()
    faults.version = faults.version + 1
    f:put_config(faults.version)
  end)
end

local kRunnerFaults = { "refuses", "wrong_instance", "breaks_at_start",
  "breaks_midway", "unsigned", "crossed", "fails", "silent" }
faults.kinds = {
  kill_instance = function() faults.kill(any(f.instances)) end,
  stop_instance = function()
    local i = any(f.instances)
    -- A process that has not reached its handlers yet is just ended.
    if i.down or i.stopping or i.paused or i.answered_pid ~= i.pid then return end
    signal(i.pid, "TERM")
    i.stopping = now()
    faults.stopped[i.pid] = i.stopping
  end,
  pause_instance = function() pause(any(f.instances)) end,
  reload_instance = function()
    local i = any(f.instances)
    if i.answered_pid == i.pid then signal(i.pid, "HUP") end
  end,
  kill_runner = function() faults.kill(any(f.runners)) end,
  pause_runner = function() pause(any(f.runners)) end,
  fault_of_runner = function()
    local r, name = any(f.runners), any(kRunnerFaults)
    call{ method = "POST", address = r.address, path = "/control", timeout_ms = 300,
          body = to_json{ fault = name, requests = math.random(8) } }
    disturb(r, 3000)
    return name .. " at " .. r.id
  end,
  network_of_runner = function()
    local r = any(f.runners)
    return damage(r.relay, r) .. " at " .. r.id
  end,
  runner_leaves = function()
    local r = any(f.runners)
    local ms = math.random(500, 3000)
    disturb(r, ms + 3000)
    with_store(function() f:list(r, true) end)
    later(ms, function() with_store(function() f:list(r) end) end)
  end,
  store_trouble = function()
    local trouble = any{ { down = true }, { mute = true }, { compact = true },
                         { slow_ms = math.random(20, 600) } }
    with_store(function() f:store_control(trouble) end)
    disturb(f.store, 5000)
    later(math.random(200, 3000), function()
      with_store(function()
        f:store_control{ down = false, mute = false, slow_ms = 0 }
      end)
    end)
    return to_json(trouble)
  end,
  pause_store = function() pause(f.store) end,
  network_to_store = function()
    local i = any(f.instances)
    return damage(i.store_relay, i) .. " at " .. i.id
  end,
  network_to_peers = function()
    local i = any(f.instances)
    return damage(i.peer_relay, i) .. " at " .. i.id
  end,
  change_config = change_config,
}

faults.names = {}
for name in pairs(faults.kinds) do faults.names[#faults.names + 1] = name end
for _ = 1, 4 do faults.names[#faults.names + 1] = "fault_of_runner" end
table.sort(faults.names)

-- Ends what is due. @return whether nothing is left in force.
function faults.tick()
  tell_store()
  for k = #undo, 1, -1 do
    if now() >= undo[k][1] then
      local action = undo[k][2]
      table.remove(undo, k)
      action()
    end
  end
  return #undo == 0 and #for_store == 0
end

return faults
end
