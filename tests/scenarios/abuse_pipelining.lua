-- Hundreds of requests sent ahead on each connection, whose responses the caller does
-- not read, must not be held without a limit.
require("abuse_fleet").run("pipelining")
