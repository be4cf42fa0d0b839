-- Long extensions of many chunks are not held.
require("abuse_fleet").run("extensions_of_all_chunks")
