-- Truncated, malformed, misrouted and duplicated streams: the caller gets the
-- complete response to its own request, or an error.
local fleet = require("fleet")
local f = fleet.start{ instances = 2, runners = 2, services = 1 }
local prompt = "answer me "

local function set_faults(faults)
  for i = 1, 2 do fleet.control(f.upstreams[i], faults) end
end

local function text_of(body)
  local text = ""
  for token in (body or ""):gmatch('"text":"([^"]*)"') do text = text .. token end
  return text
end

local function verify_stream(tag, response, wanted)
  local done = response.body and response.body:find("data: %[DONE%]")
  local failed = (response.body or ""):find('"error"') or response.error
  if done then
    check(text_of(response.body) == wanted, tag .. ": a finished stream is whole")
  else
    check(failed, tag .. ": an unfinished stream carries an error")
  end
  return done
end

for _, fault in ipairs{ "cut", "garble", "cross", "duplicate" } do
  for _, count in ipairs{ 1, 8 } do
    set_faults{ [fault] = count }
    local finished = 0
    for n = 1, 6 do
      local own_prompt = prompt .. fault .. count .. n
      local response = call(fleet.completion(f.instances[n % 2 + 1].address,
                                             own_prompt, 12, { stream = true }))
      if verify_stream(fault .. " " .. count, response, expected(own_prompt, 12)) then
        finished = finished + 1
      end
      local unstreamed = call(fleet.completion(f.instances[n % 2 + 1].address,
                                              own_prompt .. "w", 12))
      if unstreamed.status == 200 then
        check(unstreamed.json.choices[1].text == expected(own_prompt .. "w", 12),
              fault .. ": an unstreamed answer is whole")
      end
    end
    if count == 1 and fault ~= "duplicate" then
      check(finished == 6, fault .. " once is mended by another attempt, " ..
            finished)
    end
    set_faults{ [fault] = 0 }
    sleep(600)
  end
end

-- A runner crashes during a stream: the stream resumes on another runner.
local long = begin(fleet.completion(f.instances[1].address, "resume me", 3000,
                                    { stream = true }))
sleep(400)
local busy
for i = 1, 2 do
  if fleet.record(f.upstreams[i]).open > 0 then busy = f.upstreams[i] end
end
check(busy ~= nil, "a runner is busy with the request")
signal(busy.pid, "KILL")
local resumed = finish(long)
check(text_of(resumed.body) == expected("resume me", 3000),
      "a stream resumes elsewhere at the right place")

-- A runner hangs during a stream: the stream resumes on another runner.
busy.pid = start(busy.name, busy.arguments)
check(f:wait_ready(), "the runner comes back")
long = begin(fleet.completion(f.instances[2].address, "wake me", 3000,
                              { stream = true }))
sleep(400)
for i = 1, 2 do
  if fleet.record(f.upstreams[i]).open > 0 then busy = f.upstreams[i] end
end
signal(busy.pid, "STOP")
resumed = finish(long)
signal(busy.pid, "CONT")
check(text_of(resumed.body) == expected("wake me", 3000),
      "a stream on a stopped runner resumes elsewhere")
check(resumed.took_ms < 15000, "and in time")
