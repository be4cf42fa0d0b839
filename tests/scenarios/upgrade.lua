-- All instances are replaced by another release, one after the other, and back,
-- while callers go on. options: "other=PROGRAM", relative to --bin, is the daemon
-- of the other release (tools/other_release.sh builds it); without it, the
-- instances are replaced by the same release.
local fleet = require("platform_fleet")
local kInstances, kRunners, kPlain = 5, 4, 2
local kMaxApplyMs, kMaxLeavingMs, kRecoveryMs = 4000, 2000, 15000
-- The load balancer notices a stop within drain_grace_ms of the fleet's settings.
local kNoticeMs = 200
local current = "cactuswardd"
local other = options:match("other=(%S+)") or current
math.randomseed(seed)
local f = fleet.start{ instances = kInstances, engines = kRunners, plain = kPlain,
                       program = other }

local open, sent, version = {}, 0, 1
local lost = {}
local function send(instance, path)
  sent = sent + 1
  local events = path == "long" and 60 or 5
  local request = fleet.request(instance.address, "/" .. path .. "/x?events=" .. events,
                                "u" .. sent, 1000, path == "long" and events * 35 or nil)
  request.keep = path ~= "once" and instance.id .. "/" .. path .. "/" .. sent % 8 or nil
  request.body = "u" .. sent
  open[#open + 1] = { handle = begin(request), path = path, instance = instance,
                      id = "u" .. sent, events = events }
end
local function full_stream(events)
  local text = {}
  for i = 1, events do text[i] = "id: " .. i .. "\ndata: " .. i .. "\n\n" end
  return table.concat(text)
end
local answered = {}
local function verify(entry)
  local a = finish(entry.handle)
  local whole = a.status == 200 and not a.error and a.headers["X-Attempt-Id"] == entry.id and
      (entry.path == "once" or entry.path == "often" or a.body == full_stream(entry.events))
  if whole then answered[entry.id] = true return end
  -- A request that crosses the close of an idle connection is not read.
  if a.unread then return end
  -- A promise that the request did not run, with a time to come back.
  if entry.instance.stopping and (a.status == 503 or a.status == 429) and
      a.headers["Retry-After"] then return end
  lost[#lost + 1] = string.format("%s %s at %s: %s", entry.path, entry.id, entry.instance.id,
                                  tostring(a.status or a.error))
end
local kPaths = { "stream", "stream", "once", "often", "often", "long" }
-- Requests go to instances that are ready, or stopped being so a moment ago.
local function tick()
  local instance = f.instances[math.random(kInstances)]
  if not instance.down and
      (not instance.stopping or now() < instance.stopping + kNoticeMs) then
    send(instance, kPaths[math.random(#kPaths)])
  end
  sleep(20)
  for k = #open, 1, -1 do
    if done(open[k].handle) then
      verify(open[k])
      table.remove(open, k)
    end
  end
end
local function run_until(limit_ms, condition)
  local limit = now() + limit_ms
  while now() < limit do
    tick()
    if condition() then return true end
  end
  return condition()
end

local function knows(instance, v)
  return call(fleet.request(instance.address, "/r" .. v .. "/x",
                            "p" .. v .. instance.id .. math.floor(now()))).status == 200
end
-- A new configuration, while one instance hears of it only from its peers.
local function change_config(without_registry)
  cut(without_registry.store_relay, true)
  version = version + 1
  check(f:put_config(version).status == 200, "the store accepts version " .. version)
  for _, i in ipairs(f.instances) do
    check(run_until(kMaxApplyMs, function() return knows(i, version) end),
          string.format("%s has version %d%s", i.id, version,
                        i == without_registry and ", from its peers" or ""))
  end
  cut(without_registry.store_relay, false)
end
local function arrivals(runner)
  local count = 0
  for _ in read_file(runner.record):gmatch("\n") do count = count + 1 end
  return count
end
local function leave_and_return(runner)
  runner.leaving = "store"
  f:register_runner(runner)
  run_until(kMaxLeavingMs, function() return false end)
  local before = arrivals(runner)
  run_until(1000, function() return false end)
  check(arrivals(runner) == before, runner.id .. " gets nothing after it announced to leave")
  runner.leaving = nil
  runner.born = runner.born + 1
  f:register_runner(runner)
end

local function replace(instance, program)
  signal(instance.pid, "TERM")
  instance.stopping = now()
  check(run_until(12000, function() return exited(instance.pid) end),
        instance.id .. " ends its planned stop")
  check(exited(instance.pid) == 0, instance.id .. " ends without an error")
  instance.down = true
  instance.arguments[1] = program
  f:start(instance)
  check(run_until(kRecoveryMs, function() return f:ready(instance) end),
        instance.id .. " is ready again")
  instance.down, instance.stopping = false, nil
end

for _, program in ipairs{ current, other } do
  for n, instance in ipairs(f.instances) do
    replace(instance, program)
    if n == 2 then
      -- Once for an instance of each release.
      change_config(f.instances[1])
      change_config(f.instances[kInstances])
    elseif n == 3 then
      leave_and_return(f.runners[1])
    elseif n == 4 then
      -- One that was not replaced yet starts again.
      signal(f.instances[5].pid, "KILL")
      f.instances[5].down = true
      f:start(f.instances[5])
      check(run_until(kRecoveryMs, function() return f:ready(f.instances[5]) end),
            "a killed instance is ready again")
      f.instances[5].down = false
    end
  end
  change_config(f.instances[2])
end
run_until(3000, function() return #open == 0 end)
for _, entry in ipairs(open) do verify(entry) end
local killed = f.instances[5].id
for _, text in ipairs(lost) do
  -- Requests in progress at a killed instance have no answer.
  if not text:find(" at " .. killed .. ": ", 1, true) then check(false, "lost: " .. text) end
end
local runs = {}
for _, r in ipairs(f.runners) do
  for id in read_file(r.record):gmatch("(%S+) %d+\n") do runs[id] = (runs[id] or 0) + 1 end
end
for n = 1, sent do
  local id = "u" .. n
  if answered[id] then check((runs[id] or 0) > 0, id .. " was answered and ran") end
end
local whole = 0
for _ in pairs(answered) do whole = whole + 1 end
note(string.format("%d requests, %d whole, %d versions", sent, whole, version))
check(whole > sent * 0.9, "nearly all requests are served whole")
