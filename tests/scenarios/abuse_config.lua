-- Forms of abuse by callers: what each caller of a crowd sends, how many there are
-- and the limits of the instance that the crowd exceeds.
local kMegabyte = 1024 * 1024
local kBodyBytes, kUnsentBytes = 2 * kMegabyte, 100
local kOversizedBytes = 9 * kMegabyte
local kPieceBytes, kChunkBytes = 16 * 1024, 1024
local kHeadBytes = 15 * 1024
local kMaxUnreadMs, kRateWindowMs = 2000, 2000

-- Returns the first lines of a head, without the empty line.
local function head(target, more)
  return "POST " .. target.path .. " HTTP/1.1\r\nHost: h\r\n" .. target.fields ..
         (more or "")
end

local function with_length(target, length)
  return head(target, "Content-Length: " .. length .. "\r\n\r\n")
end

local function chunked(target, bytes)
  local chunk = string.format("%x\r\n", kChunkBytes) .. string.rep("x", kChunkBytes) .. "\r\n"
  return head(target, "Transfer-Encoding: chunked\r\n\r\n") ..
         string.rep(chunk, bytes // kChunkBytes)
end

local function pieces(bytes)
  local list = {}
  for first = 1, #bytes, kPieceBytes do
    list[#list + 1] = bytes:sub(first, first + kPieceBytes - 1)
  end
  return list
end

local function body(length) return string.rep("x", length) end

local function short_fields(bytes)
  local fields = {}
  for n = 1, bytes // 7 do fields[n] = string.format("%x:\r\n", 0x1000 + n) end
  return table.concat(fields)
end

-- Of each form: `send(target)` -> what each caller sends, in order; crowd;
-- memory_mb, descriptors and reserved: the limits; pause_ms: between two sends of a
-- crowd; limits: further `caller_limits`; only: names of the targets; query: of a
-- target's path, by its name; receive_buffer: of the callers.
local forms = {}
local kBodies = { crowd = 60, memory_mb = 48, descriptors = 300, reserved = 100 }
local kConnections = { crowd = 200, memory_mb = 48, descriptors = 160, reserved = 40 }

local function add(name, base, change)
  local form = { name = name }
  for _, from in ipairs{ base, change } do
    for key, value in pairs(from) do form[key] = value end
  end
  forms[name] = form
end

add("bodies_whole", kBodies, { send = function(target)
  return { with_length(target, kBodyBytes) .. body(kBodyBytes - kUnsentBytes) }
end })
add("bodies_pieces", kBodies, { pause_ms = 2, send = function(target)
  return pieces(with_length(target, kBodyBytes) .. body(kBodyBytes - kUnsentBytes))
end })
add("bodies_chunked", kBodies, { send = function(target)
  return { chunked(target, kBodyBytes - kChunkBytes) }
end })
add("oversized_with_length", kBodies, { send = function(target)
  return { with_length(target, 1000 * kMegabyte) .. body(kOversizedBytes) }
end })
add("oversized_chunked", kBodies, { send = function(target)
  return { chunked(target, kOversizedBytes) }
end })
-- A field of a head takes far more memory than its bytes.
add("head_fields", kBodies, { memory_mb = 24, crowd = 100, send = function(target)
  return { head(target, "Content-Length: 1000\r\n" .. short_fields(kHeadBytes) ..
                        "\r\n") .. body(900) }
end })
add("trailer_fields", kBodies, { send = function(target)
  return { head(target, "Transfer-Encoding: chunked\r\n\r\n5\r\nxxxxx\r\n0\r\n") ..
           string.rep("a:\r\n", kMegabyte // 2) }
end })
add("extension_of_one_chunk", kBodies, { send = function(target)
  return { head(target, "Transfer-Encoding: chunked\r\n\r\n5;a=") .. body(kBodyBytes) }
end })
add("extensions_of_all_chunks", kBodies, { send = function(target)
  return { head(target, "Transfer-Encoding: chunked\r\n\r\n") ..
           string.rep("1;a=" .. body(1000) .. "\r\nx\r\n", kBodyBytes // 1000) }
end })
add("pipelining", kBodies, { receive_buffer = 4096, send = function(target)
  return { string.rep(with_length(target, 2000) .. body(2000), 500) }
end })
add("byte_a_second", kConnections, { pause_ms = 1000,
    limits = { min_body_rate_window_ms = kRateWindowMs }, send = function(target)
  return { with_length(target, 1000), "x", "x", "x", "x", "x" }
end })
-- The service of the own interface repeats the body in its response.
add("unread_responses", kBodies, { receive_buffer = 4096, only = { plain = true },
    limits = { max_unread_response_ms = kMaxUnreadMs },
    query = { plain = "?padding=2000000" }, send = function(target)
  return { with_length(target, kMegabyte) .. body(kMegabyte) }
end })
add("unread_streams", kBodies, { receive_buffer = 4096, only = { model = true },
    limits = { max_unread_response_ms = kMaxUnreadMs },
    query = { model = "?events=2000&padding=10000" }, send = function(target)
  local text = to_json{ model = "poradna", prompt = "hello", max_tokens = 8000,
                        stream = true }
  return { with_length(target, #text) .. text }
end })
-- Without a whole head, targets of one address are the same.
local kAddresses = { model = true, readiness = true, metrics = true, ["peers' port"] = true,
                     ["tunnels' port"] = true }
add("silent", kConnections, { only = kAddresses, send = function() return {} end })
add("silent_of_one_address", kConnections, { only = kAddresses,
    limits = { max_connections_per_address = 40 }, send = function() return {} end })
add("half_a_head", kConnections, { only = kAddresses, send = function(target)
  return { head(target, "X-Half") }
end })

return forms
