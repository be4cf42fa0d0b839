-- Runs crowds of callers that do not keep to the limits against one instance, which
-- is started again for each target.
local own, platform = require("fleet"), require("platform_fleet")
local forms = require("abuse_config")

local kCrowdAddress = "127.0.0.99"  -- not that of the ordinary caller
local kMaxBodyBytes = 4 * 1024 * 1024
local kSettleMs, kMaxSendMs, kPollMs = 1000, 20000, 100
local kReadyMs, kAnswerMs = 20000, 60000

local stacks = {}

local kOwnFields = "Authorization: Bearer " .. own.key .. "\r\n"
function stacks.own(form, caller_limits)
  local tunnel_address = own.address()
  local fleet = own.start{ instances = 1, runners = 1, services = 1, instance = {
      caller_limits = caller_limits, max_descriptors = form.descriptors,
      tunnel_listen = tunnel_address } }
  local i = fleet.instances[1]
  local function target(name, path, address)
    return { name = name, path = path, address = address or i.address, fields = kOwnFields }
  end
  return { instance = i,
    targets = {
      target("model", "/v1/completions"),
      target("plain", "/v1/services/objednavky/stock"),
      target("no route", "/v2/anything"), target("readiness", "/readyz"),
      target("operators", "/v1/admin/config?base=0&author=x"),
      target("metrics", "/metrics") },
    ports = { peers = target("peers' port", "/", i.listen_peer),
              tunnels = target("tunnels' port", "/", tunnel_address) },
    restart = function() fleet:restart(i) end,
    ready = function() return fleet:wait_ready(kReadyMs) end,
    ordinary = function() return own.completion(i.address, "an ordinary prompt", 4) end }
end

local kRelayFields = "Authorization: Token key-for-tests\r\nX-Attempt-Id: abuse\r\n" ..
    "X-Deadline-Ms: 3000\r\nX-Token-Counts: 1000,100\r\n"
function stacks.relay(form, caller_limits)
  local fleet = platform.start{ engines = 1, plain = 1, instances = 1,
      caller_limits = caller_limits, max_descriptors = form.descriptors,
      limits = { max_body_bytes = kMaxBodyBytes } }
  local i = fleet.instances[1]
  local function target(name, path, address)
    return { name = name, path = path, address = address or i.address,
             fields = kRelayFields }
  end
  return { instance = i,
    targets = { target("model", "/stream/x"), target("plain", "/often/x"),
                target("no route", "/nowhere/x"),
                target("readiness", "/readyz", i.ready),
                target("metrics", "/metrics", i.metrics) },
    ports = { peers = target("peers' port", "/", i.peer),
              tunnels = target("tunnels' port", "/", i.tunnel) },
    restart = function() fleet:start(i) end,
    ready = function() return fleet:wait_ready(kReadyMs) end,
    ordinary = function()
      local request = platform.request(i.address, "/often/x", "ordinary")
      request.body = string.rep("x", 1000)
      return request
    end }
end

-- Returns what the crowd's connections have not sent yet; those that the instance
-- closed count as sent.
local function unsent_bytes(crowd)
  local sum = 0
  for _, connection in ipairs(crowd) do
    local bytes, closed = unsent(connection)
    sum = sum + (closed and 0 or bytes)
  end
  return sum
end

local function run_row(form, stack_name, stack, target)
  local instance, row = stack.instance, form.name .. ", " .. stack_name .. ", " .. target.name
  local pid = instance.pid
  local descriptors = 0
  local function observe()
    local use = process_use(pid)
    descriptors = math.max(descriptors, use and use.descriptors or 0)
    return use
  end
  local idle = observe()
  local crowd = {}
  for n = 1, form.crowd do
    crowd[n] = open_raw(target.address, { source = kCrowdAddress,
                                          receive_buffer = form.receive_buffer or 0 })
  end
  check(#crowd == form.crowd, row .. ": the crowd connects")
  for _, bytes in ipairs(form.send(target)) do
    for _, connection in ipairs(crowd) do send_raw(connection, bytes) end
    sleep(form.pause_ms or 0)
    observe()
  end
  -- An instance that does not read on leaves bytes unsent.
  local left, since, limit = -1, now(), now() + kMaxSendMs
  while now() - since < kSettleMs and now() < limit do
    sleep(kPollMs)
    observe()
    local bytes = unsent_bytes(crowd)
    if bytes ~= left then left, since = bytes, now() end
  end
  local ordinary = stack.ordinary()
  ordinary.keep, ordinary.timeout_ms = row, kAnswerMs
  local response = call(ordinary)
  local use = observe()
  check(exited(pid) == nil, row .. ": the process lives")
  check(response.status == 200, row .. ": an ordinary request is answered: " ..
                                to_json{ response.status or response.error })
  local peak_mb = use and use.peak_bytes / 1024 / 1024 or 0
  local max_descriptors = form.descriptors - form.reserved
  check(peak_mb <= form.memory_mb,
        string.format("%s: resident memory reached %.0f MB of %d MB", row, peak_mb,
                      form.memory_mb))
  check(descriptors <= max_descriptors,
        string.format("%s: %d of %d descriptors were open", row, descriptors,
                      max_descriptors))
  note(string.format("%s: idle %.0f MB and %d descriptors, peak %.0f of %d MB and %d of %d" ..
                     ", %d bytes unsent, response %s", row, idle.peak_bytes / 1024 / 1024,
                     idle.descriptors, peak_mb, form.memory_mb, descriptors,
                     max_descriptors, left, tostring(response.status or response.error)))
  for _, connection in ipairs(crowd) do close_raw(connection) end
end

local abuse = {}

-- Runs the form `name` against the targets of both stacks; `port` ("peers" or
-- "tunnels"): against that port between instances only.
function abuse.run(name, port)
  local form = forms[name]
  local caller_limits = { memory_mb = form.memory_mb, reserved_descriptors = form.reserved }
  for key, value in pairs(form.limits or {}) do caller_limits[key] = value end
  for _, stack_name in ipairs{ "own", "relay" } do
    local stack = stacks[stack_name](form, caller_limits)
    local first = true
    for _, target in ipairs(port and { stack.ports[port] } or stack.targets) do
      if not form.only or form.only[target.name] then
        if not first then
          signal(stack.instance.pid, "KILL")
          stack.restart()
          check(stack.ready(), "the instance becomes ready again")
        end
        first = false
        if stack_name == "relay" and form.query then
          target.path = target.path .. form.query[target.name]
        end
        run_row(form, stack_name, stack, target)
      end
    end
    signal(stack.instance.pid, "KILL")
  end
end

return abuse
