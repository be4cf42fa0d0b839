-- A non-repeatable call runs at most once, and an error with was_run "no" is
-- never wrong. Both are verified against the service's own record of runs.
local fleet = require("fleet")
local f = fleet.start{ instances = 3, runners = 1, services = 1,
                       service = { run_time_ms = 300 } }
local a, b, c = f.instances[1], f.instances[2], f.instances[3]
local service = f.upstreams[2]

local function runs(key)
  return fleet.record(service).runs[key] or 0
end

local function error_kind(response)
  return response.json and response.json.error and response.json.error.kind
end

-- Compares an error with was_run "no" with the service's record.
local function verify_not_run_claim(response, key)
  local claims_not_run = response.json and response.json.error and
                         response.json.error.was_run == "no"
  check(not claims_not_run or runs(key) == 0, "was_run no is true for " .. key)
end

-- Two callers with one key at two instances.
local first = begin(fleet.booking(a.address, "twice"))
local second = begin(fleet.booking(b.address, "twice"))
first, second = finish(first), finish(second)
check(runs("twice") == 1, "two callers with one key cause one run")
check(first.status == 200 or second.status == 200, "one of them is answered")
check(fleet.wait(3000, function()
  return call(fleet.booking(c.address, "twice")).replayed == "true"
end), "a later call gets the first answer")
check(runs("twice") == 1, "a later call does not run")

-- The same key with another request.
local other = call(fleet.booking(b.address, "twice", "another body"))
check(other.status == 422 and error_kind(other) == "idempotency_key_reused",
      "the same key with another body is refused")
local keyless = call(fleet.post(a.address, "/v1/services/objednavky/book", "x"))
check(error_kind(keyless) == "idempotency_key_missing", "a key is required")

-- The responses to the claim's writes are lost after the writes took effect.
f:platform_fault{ lose_answers = 2 }
local lost = call(fleet.booking(a.address, "lost-write"))
check(lost.status == 200, "a lost write answer is settled by reading back")
check(runs("lost-write") == 1, "a lost write answer causes one run")

-- The key-value service is down.
f:platform_fault{ down = true }
local refused = call(fleet.booking(b.address, "outage"))
check(error_kind(refused) == "store_unavailable" and
      refused.json.error.was_run == "no", "an outage refuses bookings")
check(refused.took_ms < 5000, "the refusal comes within the time limit")
verify_not_run_claim(refused, "outage")
local stock = call(fleet.post(b.address, "/v1/services/objednavky/stock", "s"))
check(stock.status == 200, "repeatable work goes on in an outage")
f:platform_fault{ down = false }
check(fleet.wait(8000, function()
  return call(fleet.booking(c.address, "outage")).status == 200
end), "after the outage the same key can be used")
check(runs("outage") == 1, "it then runs once")

-- The instance is killed while the service runs the booking.
local killed = begin(fleet.booking(a.address, "killed"))
sleep(120)
signal(a.pid, "KILL")
killed = finish(killed)
check(killed.error ~= nil, "the caller sees the connection break")
local resend
check(fleet.wait(6000, function()
  resend = call(fleet.booking(b.address, "killed"))
  return error_kind(resend) == "outcome_unknown"
end), "a resend is told that the outcome is unknown")
check(runs("killed") == 1, "a resend after the kill does not run again")
f:restart(a)
check(f:wait_ready(), "the killed instance comes back")
resend = call(fleet.booking(a.address, "killed"))
check(error_kind(resend) == "outcome_unknown", "its successor does not claim the work")
check(runs("killed") == 1, "its successor does not run it")

-- The instance is paused between claim and dispatch until the time limit passes.
f:platform_fault{ slow_ms = 400 }
local frozen = begin(fleet.booking(a.address, "frozen"))
sleep(200)
signal(a.pid, "STOP")
sleep(5600)
f:platform_fault{ slow_ms = 0 }
signal(a.pid, "CONT")
frozen = finish(frozen)
sleep(500)
check(runs("frozen") == 0, "an overdue claim is not dispatched after waking")
verify_not_run_claim(frozen, "frozen")

-- The service runs the booking and its response is lost.
fleet.control(service, { lose_answers = 1 })
local unknown = call(fleet.booking(b.address, "unanswered"))
check(error_kind(unknown) == "outcome_unknown", "a lost answer is said to be unknown")
check(unknown.json.error.was_run == "unknown", "and never was_run no")
sleep(300)
call(fleet.booking(c.address, "unanswered"))
check(runs("unanswered") == 1, "a lost answer is not run again")

-- The service refuses the first attempts, then accepts.
fleet.control(service, { refuse = 2 })
local after = call(fleet.booking(b.address, "refused-first"))
check(after.status == 200 and runs("refused-first") == 1,
      "work that the service refused is tried again")
