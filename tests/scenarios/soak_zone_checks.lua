-- Checks for soak.lua of cold upstreams and of evacuated zones, made from the runners'
-- records after the run. Requests that an upstream refused with 421 are not in them.

local kColdOverage, kColdTolerance = 1.5, 5  -- the users' bound in any one second

-- Precondition: `run` is what soak.lua has recorded; all calls are finished.
return function(run)
local faults = run.faults
local cold_ms, most, judged = 0, 0, 0

-- Whether the process of the instance started less than the users' stable window
-- before `entry` was sent.
local function started_just_before(entry)
  return faults.ended(entry.instance, entry.at - run.stable_ms - faults.max_restart_ms, entry.at)
end

for _, r in ipairs(run.runners) do
  local arrivals = {}
  for _, list in ipairs{ r.arrivals, r.refusals } do
    for _, arrival in ipairs(list) do arrivals[#arrivals + 1] = arrival end
  end
  table.sort(arrivals, function(a, b) return a.at < b.at end)
  for _, span in ipairs(r.cold_spans or {}) do
    -- An older copy of the store does not say that the upstream is cold.
    local from = span.from + run.max_notice_ms
    local known = not faults.in_fault_span(run.store, span.from, span.to)
    local counted = {}
    if known then cold_ms = cold_ms + math.max(0, span.to - from) end
    for _, arrival in ipairs(known and arrivals or {}) do
      local entry = run.by_id[arrival.id]
      if entry and arrival.at > from and arrival.at < span.to and
          run.was_in_touch(entry) and not run.was_cut_off(entry) and
          not started_just_before(entry) then
        counted[#counted + 1] = arrival.at
        while counted[1] <= arrival.at - 1000 do table.remove(counted, 1) end
        most = math.max(most, #counted)
        if #counted > run.cold_per_s * kColdOverage + kColdTolerance then
          run.fail(string.format("%s is cold for %.0f ms and got %d requests in a second",
                                 r.id, span.to - span.from, #counted))
          break
        end
      end
    end
  end
  for _, evacuation in ipairs(faults.evacuations) do
    local from = evacuation.from + run.max_evacuation_ms
    -- A store that fails at once tells nobody what it has acknowledged.
    local known = evacuation.zone == r.zone and
        not faults.in_fault_span(run.store, evacuation.from, evacuation.from + run.stable_ms)
    for _, arrival in ipairs(known and arrivals or {}) do
      local entry = run.by_id[arrival.id]
      -- What a fault delays may have been sent before.
      local sent_at = entry and
          (faults.in_fault_span(r, entry.at, arrival.at) or
           faults.in_silent_span(r, entry.at, arrival.at) or
           faults.in_fault_span(entry.instance, entry.at, arrival.at)) and
          entry.at or arrival.at
      if entry and sent_at > from and arrival.at < (evacuation.to or math.huge) and
          run.was_in_touch(entry) and not started_just_before(entry) then
        run.fail(string.format("%s of %s got %s of %s %.0f ms after the zone was evacuated",
                               r.id, r.zone, arrival.id, entry.instance.id,
                               arrival.at - evacuation.from))
        break
      end
    end
  end
end
for _, evacuation in ipairs(faults.evacuations) do
  local judged_ms = (evacuation.to or now()) - evacuation.from - run.max_evacuation_ms
  judged = judged + math.max(0, judged_ms)
end
note(string.format("%d evacuations, judged for %.0f ms; upstreams cold for %.0f ms, at most " ..
                   "%d requests in a second", #faults.evacuations, judged, cold_ms, most))
end
