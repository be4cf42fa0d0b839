-- Smoke test: requests are served end to end, and a graceful shutdown drains.
local fleet = require("fleet")
local f = fleet.start{ instances = 3, runners = 3, services = 1 }

local prompt = string.rep("route note ", 400)
for _, instance in ipairs(f.instances) do
  local response = call(fleet.completion(instance.address, prompt, 12))
  check(response.status == 200, "completion is answered")
  check(response.json and response.json.choices[1].text == expected(prompt, 12),
        "the answer is whole, byte for byte")
  local streamed = call(fleet.completion(instance.address, prompt, 12,
                                         { stream = true }))
  local text = ""
  for token in streamed.body:gmatch('"text":"([^"]*)"') do
    text = text .. token
  end
  check(text == expected(prompt, 12), "the stream is whole")
  check(streamed.body:find("data: %[DONE%]"), "the stream has its end marker")
  local stock = call(fleet.post(instance.address,
                                "/v1/services/objednavky/stock", "milk"))
  check(stock.status == 200 and stock.json["for"] == "milk",
        "a plain call is answered")
end

local booked = call(fleet.booking(f.instances[1].address, "pallet-1"))
check(booked.status == 200, "a booking is made")

-- A graceful shutdown lets a request in flight finish.
local slow = begin(fleet.completion(f.instances[2].address, prompt, 4000))
sleep(100)
signal(f.instances[2].pid, "TERM")
local response = finish(slow)
check(response.status == 200 and
      response.json.choices[1].text == expected(prompt, 4000),
      "a request in flight survives the planned stop")
check(fleet.wait(5000, function() return exited(f.instances[2].pid) == 0 end),
      "the instance leaves with exit code 0")
