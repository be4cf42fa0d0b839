-- A leaving upstream gets no new requests after 2 s, and a rolling replacement of
-- all instances under load loses no request and truncates no response.
local fleet = require("fleet")
local f = fleet.start{ instances = 3, runners = 3, services = 1 }

local function total_runs(upstream)
  local count = 0
  for _ in pairs(fleet.record(upstream).runs) do count = count + 1 end
  return count
end

local function send_requests(count)
  local handles = {}
  for n = 1, count do
    local i = f.instances[n % #f.instances + 1]
    handles[n] = begin(fleet.completion(i.address, "leaving " .. n, 4))
  end
  local succeeded = 0
  for _, h in ipairs(handles) do
    if finish(h).status == 200 then succeeded = succeeded + 1 end
  end
  return succeeded
end

local listed, reported = f.upstreams[1], f.upstreams[2]
check(send_requests(60) == 60, "all requests are answered")
check(total_runs(listed) > 0, "the upstream got requests before")

-- The platform lists the upstream as leaving.
listed.leaving = true
f:publish_instances()
sleep(2000)
local before = total_runs(listed)
check(send_requests(60) == 60, "all requests are answered meanwhile")
check(total_runs(listed) == before, "a leaving upstream gets no new work")

-- The upstream itself reports that it is leaving.
fleet.control(reported, { leaving = true })
sleep(2000)
before = total_runs(reported)
check(send_requests(60) == 60, "all requests are answered by the last")
check(total_runs(reported) == before, "an upstream that reports that it is leaving gets no new work")
fleet.control(reported, { leaving = false })
listed.leaving = false
f:publish_instances()

-- Every instance is replaced in turn under load. The load balancer is simulated
-- by a list of ready instances that is polled every 250 ms.
local end_at = now() + 9000
local ready, next_poll, sent, request_count = {}, 0, {}, 0
local replaced, replacing = 0, nil
while now() < end_at do
  if now() >= next_poll then
    ready = {}
    for _, i in ipairs(f.instances) do
      if fleet.ready(i) then ready[#ready + 1] = i.address end
    end
    next_poll = now() + 250
  end
  if not replacing and replaced < 3 then
    replacing = f.instances[replaced + 1]
    signal(replacing.pid, "TERM")
  elseif replacing and exited(replacing.pid) then
    check(exited(replacing.pid) == 0, replacing.name .. " stops as planned")
    f:restart(replacing)
    replaced = replaced + 1
    replacing = nil
    fleet.wait(3000, function() return fleet.ready(f.instances[replaced]) end)
  end
  request_count = request_count + 1
  local address = ready[request_count % #ready + 1]
  -- Every tenth request outlasts the drain's grace period for the load balancer.
  local tokens = request_count % 10 == 0 and 1500 or 30
  sent[#sent + 1] = { begin(fleet.completion(
                        address, "rolling " .. request_count, tokens)),
                      "rolling " .. request_count, tokens }
  sleep(15)
end
local lost = 0
for _, s in ipairs(sent) do
  local response = finish(s[1])
  local whole = response.status == 200 and
                response.json.choices[1].text == expected(s[2], s[3])
  if not whole then
    lost = lost + 1
    if lost < 4 then note(to_json(response)) end
  end
end
note(#sent .. " requests, " .. replaced .. " instances replaced")
check(replaced == 3, "every instance was replaced")
check(lost == 0, "a rolling replacement loses nothing, lost " .. lost)
