-- The forms of abuse against the port for tunnels, which callers can reach in networks
-- that do not separate the two.
local abuse = require("abuse_fleet")
for _, form in ipairs{ "bodies_whole", "bodies_pieces", "bodies_chunked",
                       "oversized_with_length", "oversized_chunked", "head_fields",
                       "trailer_fields", "extension_of_one_chunk",
                       "extensions_of_all_chunks", "pipelining", "byte_a_second", "silent",
                       "silent_of_one_address", "half_a_head" } do
  abuse.run(form, "tunnels")
end
