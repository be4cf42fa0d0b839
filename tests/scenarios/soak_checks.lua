-- Checks for soak.lua of what runners announce in their responses, made from
-- their records after the run.

local kMaxAfterRefusal = 2     -- the users' bound
local kRefusalGraceMs = 500    -- the users' time until a refusal is taken notice of
-- Faults that do not delay a runner's refusals.
local kNoDelay = { runner = true, leave = true, retry_after = true, kill = true }

-- Precondition: `run` is what soak.lua has recorded; all calls are finished.
return function(run)
local faults = run.faults

-- A runner that announced in a response that it leaves gets no more requests
-- from the instance that passed this response on.
local reported = {}
for _, entry in ipairs(run.sent) do
  for _, r in ipairs(run.ran_at[entry.id] or {}) do
    for _, answer in ipairs(run.answers_of_leaving) do
      local ended_at = entry.ended_at or now()
      if answer.runner == r.id and answer.instance == entry.instance and
          answer.pid == entry.pid and entry.at > answer.at + run.max_leaving_ms and
          not reported[answer] and
          -- The process that announced it may have ended before its answer was
          -- passed on to its end.
          not faults.ended(r, answer.sent_at, ended_at) and
          not faults.in_pause(entry.instance, answer.at, ended_at) then
        reported[answer] = true
        run.fail(string.format(
            "%s %s ran at %s %.0f ms after %s had passed on that it leaves", entry.path,
            entry.id, r.id, entry.at - answer.at, entry.instance.id))
        break
      end
    end
  end
end

-- A runner that refused with Retry-After gets two requests at most from that
-- instance until then.
for _, r in ipairs(run.runners) do
  local arrivals = {}
  for _, list in ipairs{ r.arrivals, r.refusals } do
    for _, arrival in ipairs(list) do arrivals[#arrivals + 1] = arrival end
  end
  for _, refusal in ipairs(r.refusals) do
    local refused = run.by_id[refusal.id]
    local to, count = refusal.at + refusal.retry_after_ms, 0
    for _, arrival in ipairs(arrivals) do
      local sent = run.by_id[arrival.id]
      if refused and sent and sent.instance == refused.instance and
          sent.pid == refused.pid and arrival.at > refusal.at + kRefusalGraceMs and
          arrival.at <= to then
        count = count + 1
      end
    end
    if count > kMaxAfterRefusal and not faults.ended(r, refusal.at, to) and
        not faults.in_fault_span(refused.instance, refusal.at, to, kNoDelay) and
        not faults.in_fault_span(r, refusal.at, to, kNoDelay) and
        not faults.in_silent_span(r, refusal.at, to) then
      run.fail(string.format("%s refused a request of %s for %.0f ms and got %d in that time",
                             r.id, refused.instance.id, refusal.retry_after_ms, count))
      break
    end
  end
end
end
