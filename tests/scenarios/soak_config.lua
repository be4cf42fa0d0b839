-- Changes of the configuration for soak.lua, and what callers may expect of the
-- versions that can be in force.
local fleet = require("platform_fleet")
local function pick_random(list) return list[math.random(#list)] end

local kReusableShare = 4 / 5       -- of the idle limit, in the users' promise
local kIdleLimitsMs = { 2000, 4000, 15000 }
local kTimeoutsMs = { 1500, 3000, 6000 }
local kMaxRoutes = 800

-- `apply_ms`: time after its acknowledgement until a version is in force everywhere.
return function(apply_ms)
-- `acknowledged`: when the store took a version. `versions`: the state of each one,
-- and when it was made.
local config = { version = 1, acknowledged = {}, versions = {},
                 kIdleLimitsMs = kIdleLimitsMs }
local state = { idle_ms = pick_random(kIdleLimitsMs), timeout_ms = fleet.kDeadlineMs,
                cold_per_s = 3, cold_start_s = 3, moved_to = "plain", split = { engines = 1 }, second_key = true, more = 0 }

-- Another value of `list` than `current`.
local function pick_other(list, current)
  local value
  repeat value = pick_random(list) until value ~= current
  return value
end
local changes = {
  route = function() state.dropped = not state.dropped end,
  service = function() state.moved_to = pick_other({ "plain", "plain_2" }, state.moved_to) end,
  weights = function()
    local weight = math.random(0, 10)
    state.split = { engines = weight > 0 and weight or nil,
                    engines_2 = weight < 10 and 10 - weight or nil }
  end,
  timeout = function() state.timeout_ms = pick_other(kTimeoutsMs, state.timeout_ms) end,
  key = function() state.second_key = not state.second_key end,
  priority = function() state.priority = pick_random{ 0, 1, 2 } end,
  idle_limit = function() state.idle_ms = pick_other(kIdleLimitsMs, state.idle_ms) end,
  many_routes = function() state.more = state.more > 0 and 0 or math.random(200, kMaxRoutes) end,
  version = function() end,
}
config.kinds = {}
for name in pairs(changes) do config.kinds[#config.kinds + 1] = name end
table.sort(config.kinds)

local function record()
  local version = { at = now() }
  for name, value in pairs(state) do version[name] = value end
  config.versions[config.version] = version
end
record()
-- What the newest version has.
function config.current() return config.versions[config.version] end

-- Makes a new version. `kind`: one of `config.kinds`; nil: a random one.
function config.change(kind)
  config.version = config.version + 1
  changes[kind or pick_random(config.kinds)]()
  record()
end

-- One line a version, to trace failures.
function config.log()
  local lines = {}
  for n, version in ipairs(config.versions) do
    lines[n] = string.format("%.0f %d %s", version.at, n, to_json(version))
  end
  return table.concat(lines, "\n")
end

-- The version that `instance` has shown to be in force; 1: none.
local function shown_version(instance)
  local shown = instance.in_force
  return shown and shown.pid == instance.pid and shown.version or 1
end
-- The newest version that each instance in touch must have by now.
local function due_version()
  local due = 1
  for version, at in pairs(config.acknowledged) do
    if now() > at + apply_ms then due = math.max(due, version) end
  end
  return due
end
-- To be called when `entry` is sent, and when it has ended.
function config.mark_sent(entry)
  entry.oldest, entry.due = shown_version(entry.instance), due_version()
end
function config.mark_ended(entry) entry.newest = config.version end

-- Whether a version that may have been in force for `entry` fulfils `condition`.
-- `in_touch`: whether its instance was in touch.
function config.may(entry, in_touch, condition)
  local oldest = math.max(entry.oldest or 1, in_touch and entry.due or 1)
  for version = oldest, entry.newest or config.version do
    if condition(config.versions[version]) then return true end
  end
  return false
end

-- The smallest idle time after which a caller does not use a connection again.
function config.reusable_ms(instance)
  local limit_ms = math.huge
  for version = shown_version(instance), config.version do
    limit_ms = math.min(limit_ms, config.versions[version].idle_ms)
  end
  return limit_ms * kReusableShare
end

-- Whether the idle limit was lowered while `entry` was under way, so that its
-- request may have crossed the close of its connection.
function config.may_cross_close(entry)
  for version = 1, config.version do
    local v = config.versions[version]
    if v.at >= entry.at and v.at <= entry.ended_at and
        entry.rested_ms > v.idle_ms * kReusableShare then
      return true
    end
  end
  return false
end

-- The shortest and the longest timeout of the route of `entry`.
function config.timeouts(entry, in_touch)
  if entry.path ~= "timed" then return entry.deadline_ms, entry.deadline_ms end
  local shortest, longest = math.huge, 0
  config.may(entry, in_touch, function(v)
    shortest, longest = math.min(shortest, v.timeout_ms), math.max(longest, v.timeout_ms)
  end)
  return math.min(shortest, entry.deadline_ms), math.min(longest, entry.deadline_ms)
end

-- Whether a version allows `entry`, and whether one denies it with `status`.
local function allows(entry, v)
  return not (entry.path == "away" and v.dropped) and
      not (entry.second_key and not v.second_key)
end
function config.may_allow(entry, in_touch)
  return config.may(entry, in_touch, function(v) return allows(entry, v) end)
end
function config.may_deny(entry, in_touch, status)
  return config.may(entry, in_touch, function(v)
    return status == 404 and entry.path == "away" and v.dropped or
        status == 401 and entry.second_key and not v.second_key
  end)
end

-- Whether `service` may run `entry`.
local kServices = { once = "plain", often = "plain", away = "plain", stream = "engines",
                    fixed = "engines", long = "engines", timed = "engines" }
function config.may_run(entry, in_touch, service)
  local fixed = kServices[entry.path] or entry.path:find("^r%d") and "plain"
  if fixed then return fixed == service end
  return config.may(entry, in_touch, function(v)
    if entry.path == "moved" then return v.moved_to == service end
    return entry.path == "split" and v.split[service] ~= nil
  end)
end

return config
end
