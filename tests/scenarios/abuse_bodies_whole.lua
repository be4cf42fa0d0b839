-- Bodies of legal size, many at once, that stop just short of their end and stay
-- open, must not take more memory than the instance has.
require("abuse_fleet").run("bodies_whole")
