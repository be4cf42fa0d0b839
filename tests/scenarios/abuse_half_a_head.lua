-- Connections that send half a head must not use up the descriptors.
require("abuse_fleet").run("half_a_head")
