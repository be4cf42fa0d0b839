-- Faults for soak.lua, each with a scheduled end, drawn from the scenario's seed.
local function pick_random(list) return list[math.random(#list)] end

-- Precondition: `f` is a fleet of platform_fleet.lua with the configuration
-- `config`, of soak_config.lua. `evacuation_ms`: the users' time until nothing more
-- reaches an evacuated zone.
return function(f, config, evacuation_ms)
config.acknowledged[1] = now()
local faults = { pick_random = pick_random, killed = {}, stopped = {}, crashes = {},
                 max_restart_ms = 1500,  -- from the end of a process to its next start
                 restores = {},        -- times
                 resets = {},          -- {instance, runner, at}
                 caller_resets = {},   -- times, by the callers' connections
                 evacuations = {},     -- {zone, from, to}, as the store acknowledged
                 cuts = {} }           -- {from, to, way, instances: set}

-- Times at which failures of a target are expected: {from, to, kind}.
local fault_spans = setmetatable({}, { __mode = "k" })
-- `from`: its begin; nil: now.
local function mark_fault_span(target, ms, kind, from)
  fault_spans[target] = fault_spans[target] or {}
  table.insert(fault_spans[target], { from or now(), now() + ms, kind or "any" })
end
-- `ignored`: set of the kinds that do not count; nil: all count.
function faults.in_fault_span(target, from, to, ignored)
  for _, span in ipairs(fault_spans[target] or {}) do
    if span[1] <= (to or now()) and span[2] >= from and
        not (ignored and ignored[span[3]]) then
      return true
    end
  end
  return false
end

-- Whether a process of `target` ended between `from` and `to`.
function faults.ended(target, from, to)
  for _, at in ipairs(target.ended_at or {}) do
    if at >= from and at <= to then return true end
  end
  return false
end

-- Whether the connections of `instance` to the runners failed between `from` and
-- `to`.
function faults.was_cut_off(instance, from, to)
  for _, cut in ipairs(faults.cuts) do
    if cut.instances[instance] and cut.from <= to and cut.to >= from then return true end
  end
  return false
end

-- Whether connections of `instance` to `runner` were reset between `from` and `to`.
function faults.was_reset(instance, runner, from, to)
  for _, r in ipairs(faults.resets) do
    if r.instance == instance and r.runner == runner and r.at >= from and r.at <= to then
      return true
    end
  end
  return false
end
-- Whether the connection `name` of a caller was reset between `from` and `to`.
function faults.was_caller_reset(name, from, to)
  for _, at in ipairs(faults.caller_resets[name] or {}) do
    if at >= from and at <= to then return true end
  end
  return false
end

-- Whether `target` was paused between `from` and `to`.
function faults.in_pause(target, from, to)
  for _, span in ipairs(fault_spans[target] or {}) do
    if span[3] == "pause" and span[1] <= (to or now()) and span[2] >= from then return true end
  end
  return false
end

-- Times at which a target stood still although it is sound: {from, to}.
local silent_spans = setmetatable({}, { __mode = "k" })
local function mark_silent_span(target, ms)
  silent_spans[target] = silent_spans[target] or {}
  table.insert(silent_spans[target], { now(), now() + ms })
end
function faults.in_silent_span(target, from, to)
  for _, span in ipairs(silent_spans[target] or {}) do
    if span[1] <= to and span[2] >= from then return true end
  end
  return false
end

local scheduled = {}  -- faults in force: {at, action}
local function schedule(ms, action) scheduled[#scheduled + 1] = { now() + ms, action } end

local function pause(process)
  if process.paused or process.down then return end
  local ms = math.random(100, 2500)
  signal(process.pid, "STOP")
  process.paused = true
  mark_fault_span(process, ms + 500, "pause")
  local pid = process.pid
  schedule(ms, function()
    signal(pid, "CONT")
    if process.pid == pid then process.paused = false end
    mark_fault_span(process, 500, "pause")
  end)
end

-- A sound runner stands still for a moment.
local function silence(runner)
  if runner.paused or runner.down then return end
  local ms = math.random(800, 1800)
  signal(runner.pid, "STOP")
  runner.paused = true
  mark_silent_span(runner, ms + 500)
  local pid = runner.pid
  schedule(ms, function()
    signal(pid, "CONT")
    if runner.pid == pid then runner.paused = false end
    mark_silent_span(runner, 500)
  end)
end

function faults.restart_later(process, ms)
  process.down = true
  process.ended_at = process.ended_at or {}
  table.insert(process.ended_at, now())
  schedule(ms, function()
    -- Releases run side by side while a fleet is upgraded.
    if faults.programs and process.settings then
      process.arguments[1] = pick_random(faults.programs)
    end
    f:start(process)
    process.down, process.stopping = false, nil
  end)
end

-- A runner has ended because of a part of a prompt, after `alive_at`.
function faults.record_crash(runner, alive_at)
  mark_fault_span(runner, 3000, "kill", alive_at)
  faults.crashes[#faults.crashes + 1] = now()
  faults.restart_later(runner, math.random(300, faults.max_restart_ms))
end

function faults.kill(process)
  if process.down then return end
  faults.killed[process.pid] = true
  mark_fault_span(process, 3000, "kill")
  signal(process.pid, "KILL")
  faults.restart_later(process, math.random(50, faults.max_restart_ms))
end

local function responds(instance)
  return not instance.down and instance.responded_pid == instance.pid
end

function faults.stop(instance)
  -- SIGTERM before the signal handlers are installed ends a process at once.
  if instance.stopping or instance.paused or not responds(instance) then return end
  signal(instance.pid, "TERM")
  instance.stopping = now()
  faults.stopped[instance.pid] = instance.stopping
  instance.stopped_at = instance.stopped_at or {}
  table.insert(instance.stopped_at, instance.stopping)
end

-- Runs `action` `count` times, up to `max_gap_ms` apart.
local function in_series(count, max_gap_ms, action)
  local at = 0
  for n = 1, count do
    schedule(at, function() action(n) end)
    at = at + math.random(max_gap_ms)
  end
end

-- `kind`: of the fault span; nil: any.
local function inject_network_fault(handle, owner, kind_of_span)
  local ms = math.random(100, 2500)
  local network_faults = { { cut = "to_target" }, { cut = "to_caller" },
                 { delay_ms = math.random(5, 200) }, { refuse = true } }
  local kind = pick_random(network_faults)
  fault(handle, kind)
  if math.random(3) == 1 then reset(handle) end
  mark_fault_span(owner, ms + 1000, kind_of_span)
  schedule(ms, function()
    fault(handle, {})
    mark_fault_span(owner, 1000, kind_of_span)
  end)
  return to_json(kind)
end

-- How the connections of an instance to all runners fail. "hang" and "refuse"
-- are faults of new connections: open ones live on.
local kCutFaults = {
  silent = { drop_new = true, drop_open = true },
  reset = { refuse_new = true, reset_open = true },
  refuse = { refuse_new = true },
  hang = { drop_new = true },
}
-- Instances lose all runners; their callers, the store and the other instances
-- still reach them.
local function cut_off_instances()
  if faults.cutting then return end
  faults.cutting = true
  local total, ms = #f.instances, math.random(2000, 9000)
  local count = math.max(1, pick_random{ 1, 2 * total // 3, total - 1 })
  local way, first = pick_random{ "silent", "silent", "reset", "refuse", "hang" },
                     math.random(total)
  local cut = { from = now(), to = now() + ms, way = way, instances = {} }
  table.insert(faults.cuts, cut)
  for n = 1, count do
    local i = f.instances[(first + n) % total + 1]
    cut.instances[i] = true
    mark_fault_span(i, ms, "cut")
    f:fault_connections_to_runners(i, kCutFaults[way])
  end
  schedule(ms, function()
    cut.to = now()
    faults.cutting = false
    for i in pairs(cut.instances) do
      f:fault_connections_to_runners(i, {})
      -- Lost packets are sent again some time later.
      mark_fault_span(i, 1000, "cut")
    end
  end)
  return string.format("%s, %d instances for %d ms", way, count, ms)
end

-- Resets a share of the connections of `instance` to callers and runners, and at
-- times those to the store.
local function reset_connections(instance)
  local share = pick_random{ 0.3, 0.5, 1 }
  mark_fault_span(instance, 0, "reset")
  for name in pairs(instance.connections or {}) do
    if math.random() < share then
      faults.caller_resets[name] = faults.caller_resets[name] or {}
      table.insert(faults.caller_resets[name], now())
      reset_kept(name)
    end
  end
  for _, r in ipairs(f.runners) do
    -- A cut sets the faults of the same connections.
    if not faults.cutting and math.random() < share then
      table.insert(faults.resets, { instance = instance, runner = r, at = now() })
      fault_caller(r.relay, instance.source_address, { reset_open = true })
    end
  end
  if math.random(2) == 1 then reset(instance.store_relay) end
  return string.format("%.1f of %s", share, instance.id)
end

-- Actions for the store, run in order while it is not paused.
local store_queue = {}
local function enqueue_for_store(action) store_queue[#store_queue + 1] = action end
local function flush_store_queue()
  while #store_queue > 0 and not f.store.paused do table.remove(store_queue, 1)() end
end

local function control(runner, settings)
  call{ method = "POST", address = runner.address, path = "/control",
        timeout_ms = 300, body = to_json(settings) }
end

-- Registers `runner` as cold for `ms`. Records the time in which it is, which begins
-- with the store's acknowledgement.
local function register_cold(runner, ms)
  runner.cold_until = now() + ms
  if f:register_runner(runner).status ~= 200 then return end
  runner.cold_spans = runner.cold_spans or {}
  table.insert(runner.cold_spans, { from = now(), to = runner.cold_until })
end

-- Empties a zone for longer than instances have to take notice of it.
local evacuation  -- the one in force
local function evacuation_key(zone) return "op/evacuate/" .. zone end
local function put_evacuation()
  if not evacuation or
      f:store_control{ put = { [evacuation_key(evacuation.zone)] = "{}" } }.status ~= 200 then
    return
  end
  evacuation.from = now()
  table.insert(faults.evacuations, evacuation)
end
local function end_evacuation(at)
  if evacuation then evacuation.to = at end
end
local function remove_evacuations()
  local keys = { __array = true }
  for _, zone in ipairs(f.zones) do
    if not evacuation or evacuation.zone ~= zone then keys[#keys + 1] = evacuation_key(zone) end
  end
  f:store_control{ remove = keys }
end
local function evacuate_zone()
  if evacuation then return end
  local zone, ms = pick_random(f.zones), evacuation_ms + math.random(1000, 5000)
  evacuation = { zone = zone }
  enqueue_for_store(put_evacuation)
  schedule(ms, function()
    enqueue_for_store(function()
      end_evacuation(now())
      evacuation = nil
      remove_evacuations()
    end)
  end)
  return string.format("%s for %d ms", zone, ms)
end

-- Lets `runner` leave: it announces this in the store, in its responses or in
-- both, goes on for a while, ends, and is replaced by a successor. Records the
-- times between which the store has acknowledged the announcement, and when the
-- runner ended.
local function leave(runner)
  if runner.leaving then return end
  local ms, how = math.random(500, 6000), pick_random{ "store", "responses", "both" }
  runner.leaving = how
  runner.leave_spans = runner.leave_spans or {}
  mark_fault_span(runner, ms + 3000, "leave")
  local span = {}
  runner.leave_span = span
  if how ~= "store" then control(runner, { leaving = true }) end
  if how ~= "responses" then
    enqueue_for_store(function()
      if f:register_runner(runner).status ~= 200 then return end
      span.from = now()
      table.insert(runner.leave_spans, span)
    end)
  end
  schedule(ms, function()
    enqueue_for_store(function()
      span.to = now()
      runner.leaving, runner.leave_span = nil, nil
      runner.born = runner.born + 1
      register_cold(runner, math.random(3000, 6000))
      faults.kill(runner)
    end)
  end)
end

local function put_config()
  local version = config.version
  if f:put_config(version, config.current()).status == 200 then config.acknowledged[version] = now() end
end

-- `kind`: as in soak_config.lua; nil: a random one.
local function change_config(kind)
  enqueue_for_store(function()
    config.change(kind)
    put_config()
  end)
end
local kMinStormGapMs, kMaxStormGapMs = 60, 400
local function storm_of_changes()
  local count, at = math.random(5, 20), 0
  for _ = 1, count do
    schedule(at, function() change_config() end)
    at = at + math.random(kMinStormGapMs, kMaxStormGapMs)
  end
  return count .. " changes"
end

-- Entries of another writer, by key.
local odd_entries = {}
local function odd_entry(change)
  local entry = { service = "plain", address = "127.0.0.1:1", zone = "z", slots = 16,
                  state = "ready", born = 1 }
  for name, value in pairs(change) do entry[name] = value end
  return to_json(entry)
end
local kNestedLevels = 20000
local kOddValues = {
  string.rep("[", kNestedLevels) .. string.rep("]", kNestedLevels),
  string.rep('{"service":', kNestedLevels) .. "1" .. string.rep("}", kNestedLevels),
  (odd_entry{}:gsub("16", "1e400")),
  (odd_entry{}:gsub("16", "99999999999999999999999999")),
  (odd_entry{}:gsub('"born":1', '"born":-9223372036854775809')),
  odd_entry{ slots = -1 }, odd_entry{ address = "127.0.0.1:70000" },
  odd_entry{ address = "127.0.0.1:99999999999999999999" },
  odd_entry{ address = "127.0.0.1:-1" }, odd_entry{ address = "[::1" },
  odd_entry{ address = 7 }, odd_entry{ service = { "plain" } },
  odd_entry{ state = "unknown" }, "not JSON {", "", "null", "7", "[]", '"\\ud800"',
}

-- The store comes back from a copy some seconds old. Operator and runners then
-- write again what was lost.
local function write_again()
  schedule(math.random(100, 1500), function() enqueue_for_store(put_config) end)
  schedule(math.random(100, 1500), function()
    enqueue_for_store(function()
      if evacuation then evacuation = { zone = evacuation.zone } end
      put_evacuation()
      remove_evacuations()
    end)
  end)
  for _, r in ipairs(f.runners) do
    schedule(math.random(100, 2000), function()
      enqueue_for_store(function()
        if f:register_runner(r).status == 200 and r.leave_span then
          r.leave_span.again = now()
        end
      end)
    end)
  end
  for key in pairs(odd_entries) do
    schedule(math.random(100, 2000), function()
      enqueue_for_store(function()
        if not odd_entries[key] then f:store_control{ remove = { key, __array = true } } end
      end)
    end)
  end
end
local function restore_store()
  if faults.restoring then return end
  faults.restoring = true
  local age_ms, down_ms = math.random(1000, 9000), pick_random{ 0, math.random(200, 2000) }
  enqueue_for_store(function() f:store_control{ backup = true } end)
  schedule(age_ms, function()
    mark_fault_span(f.store, down_ms + 500, "restore")
    if down_ms > 0 then
      enqueue_for_store(function() f:store_control{ down = true } end)
    end
    schedule(down_ms, function()
      enqueue_for_store(function()
        mark_fault_span(f.store, 500, "restore")
        f:store_control{ restore = true, down = false }
        table.insert(faults.restores, now())
        end_evacuation(now())
        config.acknowledged = {}
        faults.restoring = false
        write_again()
      end)
    end)
  end)
  return string.format("copy of %d ms, down for %d ms", age_ms, down_ms)
end

local kRunnerFaults = options:match("runner_fault=([%w_]+)") and
    { options:match("runner_fault=([%w_]+)") } or { "refuses", "wrong_instance", "breaks_at_start",
  "breaks_midway", "unsigned", "crossed", "fails", "silent", "repeats_refusal",
  "fails_continuation", "ends_in_event", "fails_as_refusal" }
local function inject_runner_fault(runner, name)
  control(runner, { fault = name, requests = math.random(8) })
  -- In force until that many requests have come, or it is cleared.
  mark_fault_span(runner, math.huge, "runner")
end
faults.kinds = {
  kill_instance = function() faults.kill(pick_random(f.instances)) end,
  stop_instance = function() faults.stop(pick_random(f.instances)) end,
  stop_instances_in_turn = function()
    local first, count = math.random(#f.instances), math.random(2, math.max(2, #f.instances // 2))
    in_series(count, 800, function(n)
      faults.stop(f.instances[(first + n) % #f.instances + 1])
    end)
  end,
  -- Half of the instances or more, some of them told twice, some beside changes
  -- of the configuration.
  stop_wave = function()
    if faults.in_wave then return end
    faults.in_wave = true
    local count = math.random((#f.instances + 1) // 2, #f.instances)
    local first, gap_ms = math.random(#f.instances), math.random(100, 1500)
    for n = 1, count do
      local i = f.instances[(first + n) % #f.instances + 1]
      schedule((n - 1) * gap_ms, function()
        faults.stop(i)
        local pid = i.pid
        if i.stopping and math.random(3) == 1 then
          schedule(math.random(100, 3000), function()
            if i.pid == pid and i.stopping and not i.paused then signal(pid, "TERM") end
          end)
        end
      end)
    end
    if math.random(2) == 1 then storm_of_changes() end
    schedule(count * gap_ms, function() faults.in_wave = false end)
    return count .. " instances, " .. gap_ms .. " ms apart"
  end,
  -- Signals of all kinds to one instance, also while it stops.
  signals_in_series = function()
    local i = pick_random(f.instances)
    in_series(math.random(3, 8), 300, function()
      local kind = pick_random{ "HUP", "HUP", "TERM", "pause" }
      if kind == "pause" then return pause(i) end
      if not responds(i) then return end
      if kind == "HUP" or i.stopping then return signal(i.pid, kind) end
      faults.stop(i)
    end)
  end,
  pause_instance = function() pause(pick_random(f.instances)) end,
  reload_instance = function()
    local i = pick_random(f.instances)
    if responds(i) then signal(i.pid, "HUP") end
  end,
  kill_runner = function() faults.kill(pick_random(f.runners)) end,
  pause_runner = function() pause(pick_random(f.runners)) end,
  fault_of_runner = function()
    local r, name = pick_random(f.runners), pick_random(kRunnerFaults)
    inject_runner_fault(r, name)
    return name .. " at " .. r.id
  end,
  -- Streams that break off, and no engine that continues them.
  continuations_fail = function()
    local breaking = pick_random(f.runners)
    for _, r in ipairs(f.runners) do
      inject_runner_fault(r, r == breaking and "breaks_midway" or "fails_continuation")
    end
  end,
  -- Single refusals that are repeated when their connection is in use again.
  refusals_repeat = function()
    in_series(math.random(2, 6), 200, function()
      for _, r in ipairs(f.runners) do
        if not r.paused and not r.down then
          control(r, { fault = "repeats_refusal", requests = 1 })
          mark_fault_span(r, math.huge, "runner")
        end
      end
    end)
  end,
  silent_runner = function()
    local r = pick_random(f.runners)
    silence(r)
    return r.id
  end,
  -- Requests at which a sound runner is silent in the middle.
  runner_pauses = function()
    local r = pick_random(f.runners)
    control(r, { fault = "pauses", requests = math.random(8) })
    mark_silent_span(r, math.huge)
    return r.id
  end,
  -- A runner that refuses all requests, and says for how long.
  retry_after = function()
    local r, seconds = pick_random(f.runners), pick_random{ "0.8", "1.5", "3" }
    if r.refusing or r.down or r.paused then return end
    r.refusing = true
    control(r, { retry_after = seconds })
    mark_fault_span(r, 5000, "retry_after")
    schedule(math.random(200, 2000), function()
      control(r, { retry_after = "" })
      -- Nothing has to reach it until then.
      mark_fault_span(r, 1000 * tonumber(seconds) + 500, "retry_after")
      schedule(1000 * tonumber(seconds), function() r.refusing = false end)
    end)
    return seconds .. " at " .. r.id
  end,
  odd_entry = function()
    local key, value = "servers/odd-" .. math.random(4), pick_random(kOddValues)
    odd_entries[key] = true
    enqueue_for_store(function() f:store_control{ put = { [key] = value } } end)
    schedule(math.random(500, 4000), function()
      enqueue_for_store(function()
        odd_entries[key] = false
        f:store_control{ remove = { key, __array = true } }
      end)
    end)
    return key .. " " .. value:sub(1, 100)
  end,
  restore_store = restore_store,
  network_of_runner = function()
    local r = pick_random(f.runners)
    return inject_network_fault(r.relay, r) .. " at " .. r.id
  end,
  runner_leaves = function() leave(pick_random(f.runners)) end,
  runners_leave_together = function()
    for _ = 1, math.random(2, math.max(2, #f.runners // 2)) do leave(pick_random(f.runners)) end
  end,
  store_trouble = function()
    local store_fault = pick_random{ { down = true }, { mute = true }, { compact = true },
                         { slow_ms = math.random(20, 600) } }
    enqueue_for_store(function() f:store_control(store_fault) end)
    mark_fault_span(f.store, 5000)
    schedule(math.random(200, 3000), function()
      enqueue_for_store(function()
        f:store_control{ down = false, mute = false, slow_ms = 0 }
      end)
    end)
    return to_json(store_fault)
  end,
  pause_store = function() pause(f.store) end,
  network_to_store = function()
    local i = pick_random(f.instances)
    return inject_network_fault(i.store_relay, i, "store") .. " at " .. i.id
  end,
  network_to_peers = function()
    local i = pick_random(f.instances)
    return inject_network_fault(i.peer_relay, i, "peers") .. " at " .. i.id
  end,
  cut_off_instances = cut_off_instances,
  -- Some streams have a part that crashes upstreams.
  crashing_part = function()
    faults.sends_crashing_part = true
    schedule(math.random(2000, 9000), function() faults.sends_crashing_part = false end)
  end,
  request_limit = function()
    local r, limit = pick_random(f.runners), pick_random{ "0.4", "1.4", "3" }
    local function set(text) control(r, { limit = text }) end
    set(limit)
    schedule(math.random(4000, 9000), function() set("") end)
    return limit .. " at " .. r.id
  end,
  cold_runner = function()
    local r, ms = pick_random(f.runners), math.random(4000, 8000)
    enqueue_for_store(function() register_cold(r, ms) end)
    schedule(ms, function() end)
    return string.format("%s for %d ms", r.id, ms)
  end,
  evacuate_zone = evacuate_zone,
  change_config = function() change_config() end,
  configs_in_series = function()
    in_series(math.random(5, 15), 500, function() change_config() end)
  end,
  storm_of_changes = storm_of_changes,
  -- Planned work of all kinds at once, and sound runners that fall silent.
  planned_work = function()
    local first, count = math.random(#f.instances), math.random(2, 6)
    storm_of_changes()
    in_series(count, 700, function(n)
      local i = f.instances[(first + n) % #f.instances + 1]
      if not responds(i) then return end
      if math.random(2) == 1 then signal(i.pid, "HUP") else faults.stop(i) end
    end)
    in_series(math.random(3), 1500, function() silence(pick_random(f.runners)) end)
    return count .. " instances"
  end,
  resets = function() return reset_connections(pick_random(f.instances)) end,
  resets_at_several = function()
    in_series(math.random(2, #f.instances), 300, function()
      reset_connections(pick_random(f.instances))
    end)
  end,
  -- A runner whose answers are lost by resets.
  answers_lost = function()
    local r = pick_random(f.runners)
    inject_runner_fault(r, "silent")
    in_series(math.random(4), 500, function()
      -- Requests that have run meanwhile, and those of other kinds.
      mark_fault_span(r, 500, "runner")
      reset(r.relay)
    end)
    return r.id
  end,
  runner_forgets = function()
    local r, idle_ms = pick_random(f.runners), math.random(100, 1000)
    fault(r.relay, { forget_idle_ms = idle_ms })
    schedule(math.random(1000, 6000), function() fault(r.relay, {}) end)
    return string.format("%s after %d ms", r.id, idle_ms)
  end,
  slow_runner = function()
    local r, factor = pick_random(f.runners), math.random(2, 4)
    control(r, { slow = factor })
    -- In force until it is cleared; a slow runner is sound.
    mark_silent_span(r, math.huge)
    return string.format("%s by %d", r.id, factor)
  end,
}
for _, kind in ipairs(config.kinds) do
  faults.kinds["change_of_" .. kind] = function() change_config(kind) end
end

-- Ends the faults of `fault_of_runner`.
function faults.clear_runner_faults()
  for _, r in ipairs(f.runners) do
    call{ method = "POST", address = r.address, path = "/control",
          timeout_ms = 5000, body = to_json{ fault = "none", requests = 0,
                                             retry_after = "", slow = 1 } }
    for _, spans in ipairs{ fault_spans[r] or {}, silent_spans[r] or {} } do
      for _, span in ipairs(spans) do
        -- Requests that met the fault may still be running.
        span[2] = math.min(span[2], now() + 3000)
      end
    end
  end
end

faults.names = {}
for name in pairs(faults.kinds) do faults.names[#faults.names + 1] = name end
for _ = 1, 4 do faults.names[#faults.names + 1] = "fault_of_runner" end
for _ = 1, 3 do
  faults.names[#faults.names + 1] = "crashing_part"
  faults.names[#faults.names + 1] = "request_limit"
end
for _, name in ipairs{ "restore_store", "retry_after", "retry_after", "runner_pauses", "silent_runner",
                       "storm_of_changes", "planned_work", "planned_work" } do
  faults.names[#faults.names + 1] = name
end
-- To trace a failure, only some faults.
local only = options:match("only=([%w_,]+)")
if only then
  faults.names = {}
  for name in only:gmatch("[%w_]+") do faults.names[#faults.names + 1] = name end
end
table.sort(faults.names)

-- Runs the actions that are due. @return whether no fault is in force.
function faults.tick()
  flush_store_queue()
  for k = #scheduled, 1, -1 do
    if now() >= scheduled[k][1] then
      local action = scheduled[k][2]
      table.remove(scheduled, k)
      action()
    end
  end
  return #scheduled == 0 and #store_queue == 0
end

return faults
end
