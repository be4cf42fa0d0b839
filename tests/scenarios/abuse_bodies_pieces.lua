-- As abuse_bodies_whole.lua, in small pieces.
require("abuse_fleet").run("bodies_pieces")
