-- As abuse_bodies_whole.lua, chunked.
require("abuse_fleet").run("bodies_chunked")
