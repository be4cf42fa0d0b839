-- Builds fleets of real processes for scenarios.
local fleet = {}

fleet.key = "svaz-key-for-tests"
fleet.operator_key = "operator-key-for-tests"
fleet.peer_secret = "peer-secret-for-tests"

-- The seed selects the port range, so that processes left over from another run
-- do not collide. A range that another run has reserved is passed over.
local kFirstPort, kLastPort, kReservedPorts = 10000, 32000, 500
local ports = tonumber((options or ""):match("ports=(%d+)") or 500)
local function reserve_ports()
  local ranges = (kLastPort - kFirstPort) // ports
  for n = 0, ranges - 1 do
    local first = kFirstPort + (seed + n) % ranges * ports
    local reserved = true
    for port = first - first % kReservedPorts, first + ports - 1, kReservedPorts do
      reserved = reserved and reserve_port(port)
    end
    if reserved then return first end
  end
  error("all port ranges are in use")
end
local next_port = reserve_ports()
function fleet.address()
  next_port = next_port + 1
  return "127.0.0.1:" .. next_port
end

function fleet.port_of(address)
  return address:match(":(%d+)$")
end

-- The default configuration; `change` may edit it.
function fleet.config(change)
  local config = {
    defaults = {
      classes = {
        { name = "short", max_prompt_tokens = 4096, first_token_ms = 960,
          time_limit_ms = 20000 },
        { name = "medium", max_prompt_tokens = 65536, first_token_ms = 5000,
          time_limit_ms = 60000 },
        { name = "long", max_prompt_tokens = 1000000, first_token_ms = 60000,
          time_limit_ms = 120000, long = true } },
      recovery = { max_attempts = 3 } },
    organisations = {
      { name = "svaz", key_sha256 = sha256(fleet.key) } },
    services = {
      { name = "poradna", model = "poradna", prefill_tokens_per_second = 200000 },
      { name = "objednavky", kind = "plain", calls = {
          { name = "stock" },
          { name = "book", repeatable = false, time_limit_ms = 5000 } } } },
    objectives = { { class = "short", target = 0.95 } } }
  if change then change(config) end
  return config
end

function fleet.post(address, path, body, headers, timeout_ms)
  headers = headers or {}
  headers["Authorization"] = headers["Authorization"] or "Bearer " .. fleet.key
  return { method = "POST", address = address, path = path, body = body,
           headers = headers, timeout_ms = timeout_ms }
end

function fleet.completion(address, prompt, tokens, more)
  local body = { model = "poradna", prompt = prompt, max_tokens = tokens or 8,
                 stream = more and more.stream or false }
  return fleet.post(address, "/v1/completions", to_json(body),
                    more and more.headers)
end

function fleet.booking(address, key, body)
  return fleet.post(address, "/v1/services/objednavky/book", body or key,
                    { ["Idempotency-Key"] = key })
end

function fleet.admin(method, address, path, body)
  return call{ method = method, address = address, path = "/v1/admin/" .. path,
               body = body,
               headers = { Authorization = "Bearer " .. fleet.operator_key } }
end

-- Waits until `condition` holds; false after `limit_ms`.
function fleet.wait(limit_ms, condition)
  local limit = now() + limit_ms
  while now() < limit do
    if condition() then return true end
    sleep(20)
  end
  return condition() and true or false
end

local fleet_class = {}
fleet_class.__index = fleet_class

function fleet_class:publish_instances()
  local groups = { __array = true }
  for _, u in ipairs(self.upstreams) do
    if not u.unlisted then
      groups[#groups + 1] = { targets = { u.address }, labels = {
        service = u.service, availability_zone = u.zone,
        state = u.leaving and "leaving" or "live" } }
    end
  end
  for _, i in ipairs(self.instances) do
    groups[#groups + 1] = { targets = { i.peer },
                            labels = { service = "cactusward" } }
  end
  call{ method = "PUT", address = self.platform, path = "/v1/instances",
        body = to_json(groups) }
end

function fleet_class:platform_fault(faults)
  return call{ method = "POST", address = self.platform, path = "/control",
               body = to_json(faults) }.json
end

function fleet_class:add_runner(options)
  options = options or {}
  local address = fleet.address()
  local name = "runner-" .. fleet.port_of(address)
  local arguments = { "cactusward_standin", "--role=runner",
    "--port=" .. fleet.port_of(address),
    "--time_scale=" .. (options.time_scale or 0.1) }
  if options.crash_marker then
    arguments[#arguments + 1] = "--crash_marker=" .. options.crash_marker
  end
  if options.crash_linger_ms then
    arguments[#arguments + 1] = "--crash_linger_ms=" .. options.crash_linger_ms
  end
  if options.kv_capacity then
    arguments[#arguments + 1] = "--kv_capacity=" .. options.kv_capacity
  end
  local runner = { address = address, service = "poradna", arguments = arguments,
                   zone = options.zone or "brno", name = name }
  runner.pid = start(name, arguments)
  self.upstreams[#self.upstreams + 1] = runner
  return runner
end

function fleet_class:add_service(options)
  local address = fleet.address()
  local arguments = { "cactusward_standin", "--role=service",
    "--port=" .. fleet.port_of(address),
    "--run_time_ms=" .. (options and options.run_time_ms or 10) }
  local service = { address = address, service = "objednavky", zone = "brno",
                    name = "service-" .. fleet.port_of(address) }
  service.pid = start(service.name, arguments)
  self.upstreams[#self.upstreams + 1] = service
  return service
end

-- Options: key_value, advertise, name, drain_grace_ms,
-- drain_limit_ms, listen, peer, tunnel_listen, caller_limits, max_descriptors.
function fleet_class:add_instance(options)
  options = options or {}
  self.count = (self.count or 0) + 1
  local instance = { name = options.name or "instance-" .. self.count,
                     address = options.listen or fleet.address(),
                     listen_peer = fleet.address() }
  instance.peer = options.advertise or instance.listen_peer
  local settings = {
    instance = instance.name, availability_zone = options.zone or "brno",
    listen = instance.address, peer_listen = instance.listen_peer,
    tunnel_listen = options.tunnel_listen,
    peer_advertise = instance.peer,
    platform = { key_value = options.key_value or self.platform,
                 instance_list = options.instance_list or self.platform },
    secrets = { peers = options.peer_secret or fleet.peer_secret,
                operators = fleet.operator_key },
    seed_peers = options.seed_peers,
    caller_limits = options.caller_limits,
    drain_grace_ms = options.drain_grace_ms or 300,
    drain_limit_ms = options.drain_limit_ms }
  instance.settings = work .. "/" .. instance.name .. "-" ..
                      fleet.port_of(instance.address) .. ".json"
  write_file(instance.settings, to_json(settings))
  instance.max_descriptors = options.max_descriptors
  instance.pid = start(instance.name,
                       { "cactuswardd", "--settings=" .. instance.settings }, nil,
                       instance.max_descriptors)
  self.instances[#self.instances + 1] = instance
  return instance
end

-- Waits until the process `pid`, which was killed or stops, has ended and its
-- ports are free.
local kMaxEndMs = 10000
function fleet.wait_for_end(pid)
  check(fleet.wait(kMaxEndMs, function() return exited(pid) end),
        "a killed process ends")
end

-- Starts a process that was killed or has ended again.
function fleet_class:restart(instance)
  fleet.wait_for_end(instance.pid)
  instance.pid = start(instance.name,
                       { "cactuswardd", "--settings=" .. instance.settings }, nil,
                       instance.max_descriptors)
end

function fleet_class:put_config(config, base, author, instance)
  return fleet.admin("PUT", (instance or self.instances[1]).address,
    "config?base=" .. (base or 0) .. "&author=" .. (author or "tests"),
    type(config) == "string" and config or to_json(config))
end

function fleet.ready(instance)
  return call{ address = instance.address, path = "/readyz",
               timeout_ms = 500 }.status == 200
end

function fleet_class:status(instance)
  return fleet.admin("GET", instance.address,
                     "status?scope=instance").json or {}
end

-- Waits until every instance is ready, knows all members and sees every upstream
-- as accepting.
function fleet_class:wait_ready(limit_ms)
  return fleet.wait(limit_ms or 10000, function()
    for _, i in ipairs(self.instances) do
      if not fleet.ready(i) then return false end
      if self:status(i).live_members ~= #self.instances then return false end
      local seen = 0
      for _, u in ipairs(fleet.admin("GET", i.address,
                                     "upstreams?scope=instance").json or {}) do
        if u.accepting then seen = seen + 1 end
      end
      if seen < #self.upstreams then return false end
    end
    return true
  end)
end

function fleet.record(upstream)
  return call{ address = upstream.address, path = "/record" }.json
end

function fleet.control(upstream, faults)
  return call{ method = "POST", address = upstream.address, path = "/control",
               body = to_json(faults) }
end

-- Starts platform, upstreams and instances and waits until all are ready.
-- Options: instances, runners, services, runner, service, config, wait.
function fleet.start(options)
  options = options or {}
  local self = setmetatable({ upstreams = {}, instances = {} }, fleet_class)
  self.platform = fleet.address()
  start("platform", { "cactusward_standin", "--role=platform",
    "--port=" .. fleet.port_of(self.platform),
    "--list_lag_ms=" .. (options.list_lag_ms or 50) })
  for _ = 1, options.runners or 2 do self:add_runner(options.runner) end
  for _ = 1, options.services or 1 do self:add_service(options.service) end
  for _ = 1, options.instances or 3 do self:add_instance(options.instance) end
  fleet.wait(5000, function()
    return call{ address = self.platform, path = "/v1/instances",
                 timeout_ms = 200 }.status == 200
  end)
  self:publish_instances()
  if #self.instances == 0 then return self end
  fleet.wait(5000, function()
    return self:put_config(options.config or fleet.config()).status == 200
  end)
  if options.wait ~= false then
    check(self:wait_ready(), "the fleet becomes ready")
  end
  return self
end

return fleet
