-- Callers that send a byte a second must not use up the descriptors.
require("abuse_fleet").run("byte_a_second")
