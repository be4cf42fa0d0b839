-- Invalid input gets a specific error with was_run "no", leaves no request in
-- flight, and never ends an instance.
local fleet = require("fleet")
local f = fleet.start{ instances = 2, runners = 2, services = 1 }
local a = f.instances[1]

local function body(change)
  local b = { model = "poradna", prompt = "hello", max_tokens = 4 }
  for k, v in pairs(change or {}) do b[k] = v end
  return to_json(b)
end

local chat = "/v1/chat/completions"
local book = "/v1/services/objednavky/book"
local rows = {
  -- name, path, body, headers, status, kind
  { "not JSON", "/v1/completions", "{", nil, 400, "bad_request" },
  { "an empty body", "/v1/completions", "", nil, 400, "bad_request" },
  { "an array", "/v1/completions", "[]", nil, 400, "bad_request" },
  { "deep nesting", "/v1/completions", string.rep("[", 200000), nil, 400, "bad_request" },
  { "deep nesting that is valid JSON", "/v1/completions",
    '{"model":"poradna","prompt":"x","more":' .. string.rep("[", 100000) ..
    string.rep("]", 100000) .. "}", nil, 400, "bad_request" },
  { "invalid UTF-8", "/v1/completions", '{"model":"poradna","prompt":"\xff"}', nil, 400, "bad_request" },
  { "no prompt", "/v1/completions", '{"model":"poradna"}', nil, 400, "bad_request" },
  { "no tokens", "/v1/completions", body{ max_tokens = 0 }, nil, 400, "bad_request" },
  { "an unknown model", "/v1/completions", body{ model = "x" }, nil, 404, "unknown_model" },
  { "no key", "/v1/completions", body(), { Authorization = "none" }, 401, "unauthenticated" },
  { "a wrong key", "/v1/completions", body(), { Authorization = "Bearer x" }, 401, "unauthenticated" },
  { "a non-numeric deadline", "/v1/completions", body(), { ["X-Deadline-Ms"] = "soon" }, 400, "deadline_out_of_range" },
  { "a zero deadline", "/v1/completions", body(), { ["X-Deadline-Ms"] = "0" }, 400, "deadline_out_of_range" },
  { "a deadline above the limit", "/v1/completions", body(), { ["X-Deadline-Ms"] = "99999999999" }, 400, "deadline_out_of_range" },
  { "a prompt over the limit", "/v1/completions", body{ prompt = string.rep("x", 4100000) }, nil, 413, "prompt_too_long" },
  { "a body over the limit", "/v1/completions", body{ prompt = string.rep("x", 9000000) }, nil, 413, "body_too_large" },
  { "a header over the limit", "/v1/completions", body(), { ["X-Long"] = string.rep("x", 40000) }, 431, "header_too_large" },
  { "no messages", chat, body(), nil, 400, "bad_request" },
  { "an unknown call", "/v1/services/objednavky/burn", "x", nil, 404, "unknown_call" },
  { "an unknown service", "/v1/services/nobody/book", "x", nil, 404, "unknown_call" },
  { "a model called as a service", "/v1/services/poradna/book", "x", nil, 404, "unknown_call" },
  { "no idempotency key", book, "x", nil, 400, "idempotency_key_missing" },
  { "an unknown path", "/v2/anything", "x", nil, 404, "not_found" },
  { "an operator's path without a key", "/v1/admin/drain", "x", nil, 401, "unauthenticated" },
}
for _, row in ipairs(rows) do
  local response = call(fleet.post(a.address, row[2], row[3], row[4]))
  local e = response.json and response.json.error
  check(response.status == row[5] and e and e.kind == row[6],
        row[1] .. ": " .. to_json{ response.status, e and e.kind or response.error })
  check(e and e.was_run == "no", row[1] .. ": was_run is no")
end

-- Malformed HTTP, callers that disconnect in mid-request, and slow callers.
local garbage = { "\0\1\2\3\r\n\r\n", "GET\r\n\r\n", string.rep("A", 70000),
                  "POST /v1/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                  "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nshort" }
for _, bytes in ipairs(garbage) do
  raw(a.address, bytes, 300)
  raw(a.listen_peer, bytes, 300)
  datagram(a.listen_peer, bytes)
end
local slow = raw(a.address, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n", 17000)
check(slow:find("408") and slow:find("slow_caller"),
      "a slow caller gets a 408 response: " .. slow:sub(1, 60))

local status = f:status(a)
check(exited(a.pid) == nil, "the instance is still running")
check(status.in_flight == 0, "no request remains in flight")
local response = call(fleet.completion(a.address, "after all that", 4))
check(response.status == 200, "the instance serves")
