-- Bodies far over the limit, with a length, are not read into memory.
require("abuse_fleet").run("oversized_with_length")
