-- Connections that send nothing must not use up the descriptors.
require("abuse_fleet").run("silent")
