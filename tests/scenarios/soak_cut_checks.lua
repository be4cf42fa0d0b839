-- Checks for soak.lua of instances that are cut off from all runners, made after
-- the run.

local kMinServedRatio = 2 / 3   -- the users' bounds
local kMaxFailed, kFailedOf = 10, 50
-- Time from the end of a runner until each instance has noticed it.
local kNoticeMs = 5000
local kOnlyCut = { cut = true }
-- Faults in which a runner keeps its process and its connections.
local kSoundRunner = { runner = true, leave = true, retry_after = true }

-- Precondition: `run` is what soak.lua has recorded; all calls are finished.
return function(run)
local faults = run.faults

-- Whether the processes of `instance` were up, and no other fault in force, from
-- the stable window before a request to its end.
local function is_sound(instance, entry)
  local from = entry.at - run.stable_ms
  for _, at in ipairs(instance.stopped_at or {}) do
    if at >= from and at <= entry.ended_at then return false end
  end
  return not faults.ended(instance, from, entry.ended_at) and
      not faults.in_fault_span(instance, from, entry.ended_at, kOnlyCut)
end

local function has_sound_peer(cut, entry)
  for _, i in ipairs(run.instances) do
    if not cut.instances[i] and is_sound(i, entry) then return true end
  end
  return false
end

for n, cut in ipairs(faults.cuts) do
  local tries = { [true] = 0, [false] = 0 }
  local served = { [true] = 0, [false] = 0 }
  local failures = {}
  for _, entry in ipairs(run.sent) do
    if entry.at >= cut.from + run.stable_ms and entry.at < cut.to and entry.ended_at and
        not entry.down and not entry.after_stop and not entry.short_timeout and
        not entry.crashing and is_sound(entry.instance, entry) and
        has_sound_peer(cut, entry) then
      local here = cut.instances[entry.instance] == true
      tries[here] = tries[here] + 1
      if entry.complete and entry.ended_at - entry.at <= entry.deadline_ms then
        served[here] = served[here] + 1
      elseif here then
        failures[#failures + 1] = entry.id .. " " .. tostring(entry.status)
      end
    end
  end
  local failed = tries[true] - served[true]
  local text = string.format("cut %d (%s): instances that are cut off served %d of %d, the others %d of %d",
                             n, cut.way, served[true], tries[true], served[false], tries[false])
  if tries[false] > 0 and
      served[true] / math.max(1, tries[true]) < kMinServedRatio * served[false] / tries[false] and
      failed > kMaxFailed + (tries[true] + tries[false]) / kFailedOf then
    run.fail(text .. ": " .. table.concat(failures, ", "))
  else
    note(text)
  end
end

-- A cut is no crash of the runners.
local utc_offset_s = os.time(os.date("!*t")) - os.time()
local started_s, started_at = os.time(), now()
local function time_of(line)
  local year, month, day, hour, min, sec, ms =
      line:match('"time":"(%d+)-(%d+)-(%d+)T(%d+):(%d+):(%d+)%.(%d+)Z"')
  local seconds = os.time{ year = year, month = month, day = day, hour = hour,
                           min = min, sec = sec } - utc_offset_s
  return started_at + 1000 * (seconds - started_s) + ms
end
local by_address = {}
for _, r in ipairs(run.runners) do by_address[r.id], by_address[r.advertised] = r, r end
for _, i in ipairs(run.instances) do
  for line in read_file(work .. "/" .. i.id .. ".log"):gmatch("[^\n]+") do
    local r = (line:find('"event":"upstream_died"', 1, true) or
        line:find('"event":"crash_attributed_to_parts"', 1, true)) and
        by_address[line:match('"upstream":"([^"]+)"')]
    local at = r and time_of(line)
    if r and faults.was_cut_off(i, at, at) and
        not faults.ended(r, at - kNoticeMs, at + kNoticeMs) and
        not faults.in_fault_span(r, at - kNoticeMs, at + kNoticeMs, kSoundRunner) then
      run.fail(i.id .. ", cut off, took " .. r.id .. " for crashed")
    end
  end
end
end
