-- As abuse_silent.lua, with a limit of connections per address.
require("abuse_fleet").run("silent_of_one_address")
